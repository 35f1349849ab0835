package operatorconfig

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"quilldoor/internal/diskcache/diskstore"
	"quilldoor/internal/yamlfile"
)

// DiskCache is the cache of responses on disk: the part "disk" of the file.
type DiskCache struct {
	// Path is the cache's own directory; absolute, required. It must exist, empty or made
	// by a router, and no other router may use it.
	Path string `yaml:"path"`

	// SizeMB is the size of the data on disk in megabytes, from 16; required. It may grow
	// from one start to the next; where it shrinks, entries beyond its end are dropped.
	SizeMB int `yaml:"size_mb"`

	// SlotKB is the size of a slot in kilobytes (default 16), from 1 to 1024: an entry
	// takes whole slots. Small slots waste less of the last one of each entry and take
	// more memory for the same disk. A directory made with another value is refused.
	SlotKB int `yaml:"slot_kb"`

	// MemoryMB is the memory for the index in megabytes (default 16). It bounds the number
	// of entries: with little memory a large disk stays partly unused.
	MemoryMB int `yaml:"memory_mb"`

	// WriteMBPerSecond bounds what is written in the long run, in megabytes a second
	// (default 8). A low rate spares the disk and requests that read it; what does not
	// fit the queue meanwhile is not cached.
	WriteMBPerSecond int `yaml:"write_mb_per_s"`

	// QueueMB is the memory for entries that are not written yet, in megabytes (default
	// 4). A long queue takes in bursts, at the cost of memory for bodies; a quarter of
	// that memory bounds it, too.
	QueueMB int `yaml:"queue_mb"`

	// SyncIntervalMS is the time between two syncs in milliseconds (default 1000), from 10
	// to 60000. A crash loses what was written since the last one; frequent syncs slow
	// the disk down.
	SyncIntervalMS int `yaml:"sync_ms"`

	// MaxConcurrentReads bounds the reads at the same time, those that wait for the disk
	// included (default 16). Further requests go on without the disk.
	MaxConcurrentReads int `yaml:"reads"`

	// ReadWaitMS is how long a request waits for the disk, in milliseconds (default 20),
	// from 1 to 1000, before it goes on without. A long wait serves more from a slow disk
	// and adds to the latency of the requests that it does not serve.
	ReadWaitMS int `yaml:"read_wait_ms"`

	// TrafficClasses are the names of those that are cached (default: all that may be). A
	// class that writes, is not idempotent or has no freshness time is refused.
	TrafficClasses []string `yaml:"rules"`
}

const (
	defaultSlotKB             = 16
	defaultMemoryMB           = 16
	defaultWriteMBPerSecond   = 8
	defaultQueueMB            = 4
	defaultSyncIntervalMS     = 1000
	defaultMaxConcurrentReads = 16
	defaultReadWaitMS         = 20
)

func (d *DiskCache) validate() error {
	if d.Path == "" {
		return yamlfile.Errorf("disk.path", "missing")
	}
	if !filepath.IsAbs(d.Path) {
		return yamlfile.Errorf("disk.path", "not an absolute path")
	}
	if err := d.validateLimits(); err != nil {
		return err
	}
	if d.MaxEntries() < minEntries {
		return yamlfile.Errorf("disk.memory_mb", "%d MB are too few for %d slots: use larger slots or more memory",
			d.MemoryMB, d.Slots())
	}
	for i, class := range d.TrafficClasses {
		if class == "" || slices.Index(d.TrafficClasses, class) < i {
			return yamlfile.Errorf(fmt.Sprintf("disk.rules[%d]", i), "%q is empty or stands twice", class)
		}
	}
	return nil
}

// validateLimits fills in defaults and checks ranges.
func (d *DiskCache) validateLimits() error {
	const noDefault = 0
	for _, limit := range []struct {
		key       string
		value     *int
		byDefault int
		low, high int
	}{
		{"size_mb", &d.SizeMB, noDefault, 16, 16 << 20},
		{"slot_kb", &d.SlotKB, defaultSlotKB, diskstore.MinSlotBytes / kilobyte, diskstore.MaxSlotBytes / kilobyte},
		{"memory_mb", &d.MemoryMB, defaultMemoryMB, 1, 64 << 10},
		{"write_mb_per_s", &d.WriteMBPerSecond, defaultWriteMBPerSecond, 1, 10_000},
		{"queue_mb", &d.QueueMB, defaultQueueMB, 1, 1 << 10},
		{"sync_ms", &d.SyncIntervalMS, defaultSyncIntervalMS, 10, 60_000},
		{"reads", &d.MaxConcurrentReads, defaultMaxConcurrentReads, 1, 4096},
		{"read_wait_ms", &d.ReadWaitMS, defaultReadWaitMS, 1, 1000},
	} {
		*limit.value = cmp.Or(*limit.value, limit.byDefault)
		if err := yamlfile.CheckRange("disk."+limit.key, *limit.value, limit.low, limit.high); err != nil {
			return err
		}
	}
	return nil
}

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// Memory that the index takes, in bytes.
const (
	// bytesPerSlot: a slot's place in its chain, and a bit.
	bytesPerSlot = 33.0 / 8
	// bytesPerEntry: the entry, its places in the hash buckets, and its share of the
	// frequency sketch; tables of powers of two are half empty at worst.
	bytesPerEntry = 64 + 16 + 8
)

// minEntries is the least number of entries that a disk cache is useful with.
const minEntries = 256

// Slots returns how many slots SizeMB gives.
func (d *DiskCache) Slots() int { return d.SizeMB * (megabyte / kilobyte) / d.SlotKB }

// MaxEntries returns how many entries the memory holds, at most one for each slot.
func (d *DiskCache) MaxEntries() int {
	available := float64(d.MemoryMB)*megabyte - float64(d.Slots())*bytesPerSlot
	return max(min(d.Slots(), int(available/bytesPerEntry)), 0)
}
