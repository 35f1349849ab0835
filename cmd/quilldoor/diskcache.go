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

// discoveryLossLimit is how long discovery may be unreachable before copies on disk are
// revalidated one by one: a few polls.
const discoveryLossLimit = 2 * time.Second

// openDiskCache starts the disk cache as the operator's file has it.
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
	r.diskCache.Store(cache)
	r.downstream.SetDiskCache(cache)
	return nil
}

func (r *router) diskCacheSettings(file *operatorconfig.DiskCache) (*diskcache.Settings, error) {
	// The queue takes a quarter of the memory for bodies at most: requests need the same
	// buffers.
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
		DiscoveryLossLimit:  discoveryLossLimit.Microseconds(),
	}, nil
}

// Why responses of a traffic class are not kept on disk.
var (
	errClassWrites        = errors.New("writes, which leave no copy")
	errClassNotIdempotent = errors.New("is not idempotent (Effect is not safe)")
	errClassDoesNotAge    = errors.New("has no freshness time (GoodForMs)")
)

// checkCacheable tells why responses of a traffic class can't be kept on disk; nil: they can.
func checkCacheable(class *policy.TrafficClass) error {
	switch {
	case class.Write:
		return errClassWrites
	case class.Effect != policy.EffectIdempotent:
		return errClassNotIdempotent
	case class.FreshFor <= 0:
		return errClassDoesNotAge
	}
	return nil
}

// cacheableClasses are the router's traffic classes, cacheable where they can be and
// where the operator's file names them or none.
func cacheableClasses(classes []policy.TrafficClass, chosen []string) ([]diskcache.TrafficClass, error) {
	var list []diskcache.TrafficClass
	for _, class := range classes {
		obstacle := checkCacheable(&class)
		named := slices.Contains(chosen, class.Name)
		if named && obstacle != nil {
			return nil, fmt.Errorf("disk.rules: %s: %w", class.Name, obstacle)
		}
		list = append(list, diskcache.TrafficClass{
			Name:             class.Name,
			FreshFor:         class.FreshFor,
			StaleGrace:       class.StaleGrace,
			LatencyObjective: class.LatencyObjective,
			Cacheable:        obstacle == nil && (named || len(chosen) == 0),
		})
	}
	for _, name := range chosen {
		if !slices.ContainsFunc(list, func(c diskcache.TrafficClass) bool { return c.Name == name }) {
			return nil, fmt.Errorf("disk.rules: %s is no traffic class of the settings", name)
		}
	}
	return list, nil
}
