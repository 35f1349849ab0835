package diskrunner

import (
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

// recover opens the directory and restores the parts that its index names. It returns false if
// the directory cannot be used; the cache then stays off.
func (c *Cache) recover() bool {
	began := time.Now()
	settings := &c.config.Settings
	store, err := diskstore.Open(c.config.FS, c.config.Superblock)
	if err != nil {
		c.log.WithError(err).Error("disk cache off")
		return false
	}
	settings.Seed = store.Seed()
	c.mu.Lock()
	now := c.now()
	c.store = store
	c.policy = diskcache.New(now, *settings)
	c.applyDiscoveryOverdue()
	c.mu.Unlock()

	restorer := newRestorer(c)
	found, err := store.Recover(restorer)
	if err != nil {
		store.Close()
		c.handleEvent(diskcache.EventClosed, nil)
		c.log.WithError(err).Error("disk cache off")
		return false
	}
	c.mu.Lock()
	c.policy.AdvanceSeq(found.MaxSeq)
	size := c.policy.Size()
	c.mu.Unlock()
	c.ready.Store(true)
	c.log.WithFields(logrus.Fields{
		"parts": size.Parts, "left_out": restorer.refused, "bytes": size.Bytes,
		"frames": found.Frames, "bad_frames": found.BadFrames, "took_ms": time.Since(began).Milliseconds(),
	}).Info("disk cache recovered")
	return true
}

// restorer adds the entries of the index on disk to the policy. It locks for each entry, so
// that purges may be applied between two entries.
type restorer struct {
	*Cache
	classIndexByHash map[uint32]int // hash of the class name -> index in Settings.Classes
	refused          int            // entries that the policy did not restore
}

func newRestorer(c *Cache) *restorer {
	r := &restorer{Cache: c, classIndexByHash: map[uint32]int{}}
	for i, class := range c.config.Settings.Classes {
		r.classIndexByHash[diskstore.ClassHash(class.Name)] = i
	}
	return r
}

// Put restores a part. Entries arrive in the order of the index, and the last one counts as
// the most recently used.
func (r *restorer) Put(entry *diskstore.Entry) {
	const unknownClass = -1
	class, known := r.classIndexByHash[entry.ClassHash]
	if !known {
		class = unknownClass
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.policy.Restore(&diskcache.CachedPart{
		Key: entry.Key, Object: entry.Object, Issued: entry.Issued, Seq: entry.Seq, Length: entry.Length,
		ClassIndex: class, Group: entry.Group, Extents: entry.Extents,
	}) {
		r.refused++
	}
}

// Drop removes a part that Put has restored and that a later frame of the index drops.
func (r *restorer) Drop(drop diskcache.Drop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.RemoveRestored(drop)
}
