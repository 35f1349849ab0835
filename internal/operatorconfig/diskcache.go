package operatorconfig

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"quilldoor/internal/diskcache/diskstore"
	"quilldoor/internal/yamlfile"
)

// DiskCache is the cache of responses on disk.
type DiskCache struct {
	Path   string `yaml:"path"`    // its own directory; absolute
	SizeMB int    `yaml:"size_mb"` // of the slots on disk
	// SlotKB is the size of a slot in kilobytes (default 16). Smaller slots waste less of
	// the last one of each entry and take more memory for the same disk.
	SlotKB int `yaml:"slot_kb"`
	// MemoryMB is the memory for the index (default 16), which bounds the entries.
	MemoryMB         int `yaml:"memory_mb"`
	WriteMBPerSecond int `yaml:"write_mb_per_s"` // default 8; spares the disk and its readers
	QueueMB          int `yaml:"queue_mb"`       // memory for entries not written yet (default 4)
	// SyncIntervalMS is the time between two syncs in milliseconds (default 1000): a crash
	// loses what was written since.
	SyncIntervalMS     int `yaml:"sync_ms"`
	MaxConcurrentReads int `yaml:"reads"` // default 16
	// ReadWaitMS is how long a request waits for the disk, in milliseconds (default 20),
	// before it goes on without.
	ReadWaitMS     int      `yaml:"read_wait_ms"`
	TrafficClasses []string `yaml:"rules"` // that are cached; empty: all that may be
}

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

func (d *DiskCache) validateLimits() error {
	for _, limit := range []struct {
		key       string
		value     *int
		byDefault int // 0: none
		low, high int
	}{
		{"size_mb", &d.SizeMB, 0, 16, 16 << 20},
		{"slot_kb", &d.SlotKB, 16, diskstore.MinSlotBytes >> 10, diskstore.MaxSlotBytes >> 10},
		{"memory_mb", &d.MemoryMB, 16, 1, 64 << 10},
		{"write_mb_per_s", &d.WriteMBPerSecond, 8, 1, 10_000},
		{"queue_mb", &d.QueueMB, 4, 1, 1 << 10},
		{"sync_ms", &d.SyncIntervalMS, 1000, 10, 60_000},
		{"reads", &d.MaxConcurrentReads, 16, 1, 4096},
		{"read_wait_ms", &d.ReadWaitMS, 20, 1, 1000},
	} {
		*limit.value = cmp.Or(*limit.value, limit.byDefault)
		if err := yamlfile.CheckRange("disk."+limit.key, *limit.value, limit.low, limit.high); err != nil {
			return err
		}
	}
	return nil
}

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
func (d *DiskCache) Slots() int { return d.SizeMB << 10 / d.SlotKB }

// MaxEntries returns how many entries the memory holds, at most one for each slot.
func (d *DiskCache) MaxEntries() int {
	available := float64(d.MemoryMB)*(1<<20) - float64(d.Slots())*bytesPerSlot
	return max(min(d.Slots(), int(available/bytesPerEntry)), 0)
}
