package operatorconfig

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"quilldoor/internal/diskcache/diskstore"
	"quilldoor/internal/yamlfile"
)

// DiskCache configures the cache of responses on disk: the part "disk" of the file.
type DiskCache struct {
	// Path is the directory of the cache; absolute, required. It must exist, and be empty
	// or hold the cache of an earlier run. No other router may use it.
	Path string `yaml:"path"`

	// SizeMB is the size of the data on disk in megabytes, from 16; required. It may change
	// between two starts; if it shrinks, entries beyond its end are dropped.
	SizeMB int `yaml:"size_mb"`

	// SlotKB is the size of a slot in kilobytes (default 16), from 1 to 1024. An entry
	// occupies whole slots: small slots waste less of the last slot of each entry, but take
	// more memory for the same disk size. A directory created with another value is refused.
	SlotKB int `yaml:"slot_kb"`

	// MemoryMB is the memory for the index in megabytes (default 16). It bounds the number
	// of entries: with little memory, a part of a large disk stays unused.
	MemoryMB int `yaml:"memory_mb"`

	// WriteMBPerSecond bounds the average write rate in megabytes per second (default 8). A
	// low rate reduces the load on the disk and the delay of reads; responses that do not
	// fit into the queue are not cached.
	WriteMBPerSecond int `yaml:"write_mb_per_s"`

	// QueueMB is the memory for entries that are not written yet, in megabytes (default
	// 4). A long queue absorbs bursts, at the cost of memory for bodies. It is also bounded
	// by a quarter of the memory for bodies.
	QueueMB int `yaml:"queue_mb"`

	// SyncIntervalMS is the time between two syncs in milliseconds (default 1000), from 10
	// to 60000. A crash loses the entries written since the last sync; frequent syncs slow
	// the disk down.
	SyncIntervalMS int `yaml:"sync_ms"`

	// MaxConcurrentReads bounds the concurrent reads, including those that wait for the
	// disk (default 16). Further requests proceed without the disk cache.
	MaxConcurrentReads int `yaml:"reads"`

	// ReadWaitMS is how long a request waits for the disk, in milliseconds (default 20),
	// from 1 to 1000, before it proceeds without the disk cache. With a long wait a slow
	// disk serves more requests, and those that it does not serve take longer.
	ReadWaitMS int `yaml:"read_wait_ms"`

	// TrafficClasses are the names of the traffic classes that are cached (default: all
	// that can be). A class of writes, of requests that are not idempotent or without a
	// freshness time is refused.
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
		return yamlfile.Errorf("disk.path", "%q is not an absolute path", d.Path)
	}
	if err := d.validateLimits(); err != nil {
		return err
	}
	if d.MaxEntries() < minEntries {
		return yamlfile.Errorf("disk.memory_mb", "%d MB are too few for the index of %d slots: increase disk.slot_kb or disk.memory_mb",
			d.MemoryMB, d.Slots())
	}
	for i, class := range d.TrafficClasses {
		if class == "" || slices.Index(d.TrafficClasses, class) < i {
			return yamlfile.Errorf(fmt.Sprintf("disk.rules[%d]", i), "%q is empty or a duplicate", class)
		}
	}
	return nil
}

// validateLimits fills in the defaults of the numbers and checks their ranges.
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

// Memory of the index, in bytes.
const (
	// bytesPerSlot is the 32-bit link of a slot in its chain, and a bit that marks its use.
	bytesPerSlot = 33.0 / 8
	// bytesPerEntry is the entry, its share of the hash buckets and its share of the
	// frequency sketch. Tables whose sizes are powers of two are half empty at worst.
	bytesPerEntry = 64 + 16 + 8
)

// minEntries is the smallest number of entries with which a disk cache is useful.
const minEntries = 256

// Slots returns the number of slots of SlotKB in SizeMB.
func (d *DiskCache) Slots() int { return d.SizeMB * (megabyte / kilobyte) / d.SlotKB }

// MaxEntries returns the number of entries whose index fits into MemoryMB, at most one for
// each slot.
func (d *DiskCache) MaxEntries() int {
	available := float64(d.MemoryMB)*megabyte - float64(d.Slots())*bytesPerSlot
	return max(min(d.Slots(), int(available/bytesPerEntry)), 0)
}
