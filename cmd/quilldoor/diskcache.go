package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/diskcache/diskstore"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/policy"
)

// discoveryLossLimit returns how long events may be overdue until each copy on disk is revalidated
// when it is requested: until the router is expected to know of a purge among them, and the grace
// in which older copies may still be sent.
func (r *router) discoveryLossLimit() int64 {
	return r.limits.PollLossTime.Microseconds() + r.policy.Hierarchy.PurgeGrace
}

// openDiskCache starts the disk cache as configured in the operator's file. Discovery may be
// overdue already.
func (r *router) openDiskCache(file *operatorconfig.DiskCache) error {
	settings, err := r.diskCacheSettings(file)
	if err != nil {
		return err
	}
	cache := diskrunner.Start(diskrunner.Config{
		FS:          diskstore.Dir{Path: file.Path},
		Path:        file.Path,
		Superblock:  diskstore.Superblock{SlotBytes: settings.SlotBytes, Seed: rand.Uint64()},
		ReadTimeout: time.Duration(file.ReadWaitMS) * time.Millisecond,
		Settings:    *settings,
	}, r.buffers, r.log)
	cache.SetDiscoveryOverdue(r.overdueSince)
	r.diskCache.Store(cache)
	r.downstream.SetDiskCache(cache)
	return nil
}

func (r *router) diskCacheSettings(file *operatorconfig.DiskCache) (*diskcache.Settings, error) {
	// The write queue holds at most a quarter of the memory for bodies, since requests need
	// the same buffers.
	const queueDivisor = 4
	classes, err := cacheableClasses(r.policy.Classes, file.TrafficClasses)
	if err != nil {
		return nil, err
	}
	return &diskcache.Settings{
		Classes:             classes,
		SlotBytes:           file.SlotKB * bytesPerKB,
		Slots:               file.Slots(),
		MaxEntries:          file.MaxEntries(),
		WriteBytesPerSecond: int64(file.WriteMBPerSecond) * bytesPerMB,
		QueueBytes:          min(int64(file.QueueMB)*bytesPerMB, r.limits.MaxBufferedBytes/queueDivisor),
		SyncInterval:        int64(file.SyncIntervalMS) * microsPerMilli,
		MaxReads:            file.MaxConcurrentReads,
		FlowBytesPerSecond:  r.config.ClientBytesPerSecond,
		LinkBytesPerSecond:  r.config.LinkBytesPerSecond,
		PurgeTime:           r.policy.Hierarchy.PurgeSettleTime,
		MaxRequestTime:      r.limits.MaxRequestTimeout.Microseconds(),
		DiscoveryLossLimit:  r.discoveryLossLimit(),
	}, nil
}

// Reasons why the disk cache can't store responses of a traffic class.
var (
	errClassWrites        = errors.New("its requests are writes, which leave no copy")
	errClassNotIdempotent = errors.New("its requests are not idempotent (Effect is not safe)")
	errClassNeverFresh    = errors.New("it has no freshness time (GoodForMs)")
)

// checkCacheable returns the reason why the disk cache can't store responses of a traffic
// class, or nil if it can.
func checkCacheable(class *policy.TrafficClass) error {
	switch {
	case class.Write:
		return errClassWrites
	case class.Effect != policy.EffectIdempotent:
		return errClassNotIdempotent
	case class.FreshFor <= 0:
		return errClassNeverFresh
	}
	return nil
}

// cacheableClasses returns the disk cache's settings for the router's traffic classes. A
// class is cacheable if checkCacheable permits it and if the chosen classes, those that the
// operator's file names, include it or are none.
func cacheableClasses(classes []policy.TrafficClass, chosen []string) ([]diskcache.TrafficClass, error) {
	var list []diskcache.TrafficClass
	for _, class := range classes {
		refusal := checkCacheable(&class)
		named := slices.Contains(chosen, class.Name)
		if named && refusal != nil {
			return nil, fmt.Errorf("disk.rules: traffic class %q can't be cached: %w", class.Name, refusal)
		}
		list = append(list, diskcache.TrafficClass{
			Name:             class.Name,
			FreshFor:         class.FreshFor,
			StaleGrace:       class.StaleGrace,
			LatencyObjective: class.LatencyObjective,
			Cacheable:        refusal == nil && (named || len(chosen) == 0),
		})
	}
	for _, name := range chosen {
		if !slices.ContainsFunc(list, func(c diskcache.TrafficClass) bool { return c.Name == name }) {
			return nil, fmt.Errorf("disk.rules: the settings have no traffic class %q", name)
		}
	}
	return list, nil
}
