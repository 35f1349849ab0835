package diskrunner

import (
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

// maxBatchBytes is the size from which a batch is committed before the sync interval ends: the
// sync of a larger batch delays reads.
const maxBatchBytes = 8 << 20

// writeJob is a queued write of a copy.
type writeJob struct {
	placement diskcache.Placement
	record    diskstore.Record
	body      *bufferpool.Body
	entry     diskstore.Entry
}

// batch collects the changes that the next commit writes to the index on disk.
type batch struct {
	puts  []diskstore.Entry
	drops []diskcache.Drop
	bytes int // length of the records in puts
}

// Offer offers the response to a read request for caching. If the policy admits it, the body
// is retained until it is written or no longer needed.
func (c *Cache) Offer(request *Request, tag string, issuedMillis int64, body *bufferpool.Body) {
	if !c.ready.Load() {
		return
	}
	offered, known := c.policyRequest(request)
	if !known || tag == "" || issuedMillis <= 0 {
		return
	}
	record := diskstore.Record{
		Issued: issuedMillis, Part: request.Part, Class: request.Class, Object: request.Object,
		Tag: tag, Group: request.Group, BodyBytes: body.Len(),
	}
	length := record.Length()
	c.mu.Lock()
	placement, reason := c.policy.Offer(c.now(), &diskcache.Candidate{Request: offered, Issued: issuedMillis, Length: length})
	c.mu.Unlock()
	if reason != diskcache.ReasonOK {
		return
	}
	record.Seq = placement.Ref.Seq()
	job := &writeJob{
		placement: placement, record: record, body: body.Retain(),
		entry: diskstore.Entry{
			Key: placement.Key, Object: placement.Object, Issued: issuedMillis, Seq: record.Seq, Length: length,
			ClassHash: diskstore.ClassHash(request.Class), Group: request.Group, Extents: placement.Extents,
		},
	}
	select {
	case <-c.stop:
	case c.writes <- job:
	}
}

// writeAll writes queued copies and commits them once per sync interval, until the cache is
// closed. It then writes and commits the copies that are still queued.
func (c *Cache) writeAll() {
	syncTicker := time.NewTicker(time.Duration(c.config.Settings.SyncInterval) * time.Microsecond)
	defer syncTicker.Stop()
	var b batch
	for open := true; open; {
		select {
		case job := <-c.writes:
			c.writePart(job, &b)
			if b.bytes >= maxBatchBytes {
				c.commit(&b)
			}
		case <-syncTicker.C:
			c.commit(&b)
		case <-c.stop:
			open = false
		}
	}
	c.writeQueued(&b)
	c.commit(&b)
	c.handleEvent(diskcache.EventClosed, nil)
}

// writeQueued writes the copies that are queued, without waiting for more.
func (c *Cache) writeQueued(b *batch) {
	for {
		select {
		case job := <-c.writes:
			c.writePart(job, b)
		default:
			return
		}
	}
}

// writePart writes one copy, unless it was dropped while queued or the disk takes no writes,
// and adds its entry to the batch.
func (c *Cache) writePart(job *writeJob, b *batch) {
	defer job.body.Release()
	c.mu.Lock()
	needed := c.policy.WriteNeeded(job.placement.Ref) && c.policy.Health() == diskcache.HealthOn
	c.mu.Unlock()
	var err error
	if needed {
		err = c.store.Write(job.placement.Extents, &job.record, job.body.AppendBuffers(nil))
	}
	c.mu.Lock()
	written := c.policy.FinishWrite(job.placement.Ref, job.entry.Length, needed && err == nil)
	c.mu.Unlock()
	if err != nil {
		c.handleEvent(writeFailure(err), err)
	}
	if written {
		b.puts = append(b.puts, job.entry)
		b.bytes += job.entry.Length
	}
}

// writeFailure returns the event for a failed write or sync.
func writeFailure(err error) diskcache.Event {
	if diskstore.IsNoSpace(err) {
		return diskcache.EventNoSpace
	}
	return diskcache.EventWriteFailed
}

// commit writes a batch and the pending drops to the index on disk and syncs. If the disk is
// full, the batch is kept for a later commit; after any other failure no more is written.
func (c *Cache) commit(b *batch) {
	c.mu.Lock()
	c.policy.Sweep(c.now())
	health := c.policy.Health()
	if health == diskcache.HealthOn {
		b.drops = append(b.drops, c.policy.TakeDrops()...)
	}
	partCount := c.policy.Size().Parts
	c.mu.Unlock()
	if health != diskcache.HealthOn {
		return
	}
	if err := c.commitBatch(b, partCount); err != nil {
		c.handleEvent(writeFailure(err), err)
	}
}

// commitBatch commits and clears a batch, and compacts the index if it has grown too large for
// the number of cached parts.
func (c *Cache) commitBatch(b *batch, partCount int) error {
	if err := c.store.Commit(b.puts, b.drops); err != nil {
		return err
	}
	*b = batch{puts: b.puts[:0], drops: b.drops[:0]}
	c.mu.Lock()
	c.policy.Synced()
	c.mu.Unlock()
	if c.store.NeedsCompaction(partCount) {
		return c.compact()
	}
	return nil
}

// compact replaces the index on disk by one that names only the parts that can be read.
func (c *Cache) compact() error {
	began := time.Now()
	partCount := 0
	err := c.store.Compact(func(add func(*diskstore.Entry) error) error {
		var entries []diskstore.Entry
		for from := 0; from >= 0; {
			entries, from = c.scan(entries[:0], from)
			for i := range entries {
				if err := add(&entries[i]); err != nil {
					return err
				}
			}
			partCount += len(entries)
		}
		return nil
	})
	c.log.WithField("parts", partCount).WithField("took_ms", time.Since(began).Milliseconds()).Debug("disk cache: index compacted")
	return err
}

// scan appends the next chunk of entries and returns the position of the chunk after it, which
// is negative at the end. It holds c.mu for one chunk only, so that requests wait no longer
// than that for the lock.
func (c *Cache) scan(entries []diskstore.Entry, from int) ([]diskstore.Entry, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.policy.Scan(from, func(part diskcache.CachedPart) {
		entries = append(entries, diskstore.Entry{
			Key: part.Key, Object: part.Object, Issued: part.Issued, Seq: part.Seq, Length: part.Length,
			ClassHash: diskstore.ClassHash(c.config.Settings.Classes[part.ClassIndex].Name),
			Group:     part.Group, Extents: part.Extents,
		})
	})
	return entries, next
}
