package diskrunner

import (
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

// maxBatchBytes is when a batch is synced before its time: longer syncs delay reads.
const maxBatchBytes = 8 << 20

// writeJob is a copy to be written to disk.
type writeJob struct {
	placement diskcache.Placement
	record    diskstore.Record
	body      *bufferpool.Body
	entry     diskstore.Entry
}

// batch is what the index on disk has not been told.
type batch struct {
	puts  []diskstore.Entry
	drops []diskcache.Drop
	bytes int
}

// Offer offers what a read request was answered with. The body is retained until it is
// written or found not to be worth it.
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

// writeAll writes until the cache is closed, and then what still waits.
func (c *Cache) writeAll() {
	syncs := time.NewTicker(time.Duration(c.config.Settings.SyncInterval) * time.Microsecond)
	defer syncs.Stop()
	var b batch
	for open := true; open; {
		select {
		case job := <-c.writes:
			c.writePart(job, &b)
			if b.bytes >= maxBatchBytes {
				c.commit(&b)
			}
		case <-syncs.C:
			c.commit(&b)
		case <-c.stop:
			open = false
		}
	}
	c.writeWaiting(&b)
	c.commit(&b)
	c.handleEvent(diskcache.EventClosed, nil)
}

func (c *Cache) writeWaiting(b *batch) {
	for {
		select {
		case job := <-c.writes:
			c.writePart(job, b)
		default:
			return
		}
	}
}

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

func writeFailure(err error) diskcache.Event {
	if diskstore.IsNoSpace(err) {
		return diskcache.EventNoSpace
	}
	return diskcache.EventWriteFailed
}

// commit makes a batch durable. On a full disk it is kept and tried again; after any other
// failure nothing more is written.
func (c *Cache) commit(b *batch) {
	c.mu.Lock()
	c.policy.Sweep(c.now())
	health := c.policy.Health()
	if health == diskcache.HealthOn {
		b.drops = append(b.drops, c.policy.TakeDrops()...)
	}
	parts := c.policy.Size().Parts
	c.mu.Unlock()
	if health != diskcache.HealthOn {
		return
	}
	if err := c.commitBatch(b, parts); err != nil {
		c.handleEvent(writeFailure(err), err)
	}
}

func (c *Cache) commitBatch(b *batch, parts int) error {
	if err := c.store.Commit(b.puts, b.drops); err != nil {
		return err
	}
	*b = batch{puts: b.puts[:0], drops: b.drops[:0]}
	c.mu.Lock()
	c.policy.Synced()
	c.mu.Unlock()
	if c.store.NeedsCompaction(parts) {
		return c.compact()
	}
	return nil
}

// compact writes the index on disk anew.
func (c *Cache) compact() error {
	began := time.Now()
	parts := 0
	err := c.store.Compact(func(add func(*diskstore.Entry) error) error {
		var entries []diskstore.Entry
		for from := 0; from >= 0; {
			entries, from = c.scan(entries[:0], from)
			for i := range entries {
				if err := add(&entries[i]); err != nil {
					return err
				}
			}
			parts += len(entries)
		}
		return nil
	})
	c.log.WithField("parts", parts).WithField("took_ms", time.Since(began).Milliseconds()).Debug("disk cache: index compacted")
	return err
}

// scan gives the next entries, some at a time so that the lock is not held for long.
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
