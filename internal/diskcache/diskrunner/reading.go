package diskrunner

import (
	"errors"
	"sync/atomic"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

// readJob is a queued read of a part.
type readJob struct {
	request    *Request
	found      diskcache.LookupResult
	fresh      bool
	classIndex int
	settled    atomic.Bool // set by the first of the timeout and the end of the read
	result     chan *Copy  // capacity 1; receives nil if the read was of no use
}

// await returns the copy, or nil after the timeout. After a timeout the reader releases the
// copy.
func (j *readJob) await(timeout time.Duration) *Copy {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case c := <-j.result:
		return c
	case <-timer.C:
		if j.settled.CompareAndSwap(false, true) {
			return nil
		}
		return <-j.result
	}
}

// readAll reads parts until the cache is closed. Requests whose reads are still queued by
// then end with the timeout of await.
func (c *Cache) readAll() {
	for {
		select {
		case <-c.stop:
			return
		case job := <-c.reads:
			part := c.readPart(job)
			if job.settled.CompareAndSwap(false, true) {
				job.result <- part
			} else if part != nil {
				part.Release()
			}
		}
	}
}

// readPart reads one part and reports the outcome to the policy. It returns nil if the part
// cannot be used.
func (c *Cache) readPart(job *readJob) *Copy {
	began := time.Now()
	record, body, outcome, err := c.readBody(job)
	c.mu.Lock()
	usable, healthChanged := c.policy.FinishRead(c.now(), job.found.Ref, outcome)
	c.readTimes.RecordValue(max(time.Since(began).Microseconds(), 1))
	health := c.policy.Health()
	c.mu.Unlock()
	if healthChanged {
		c.logHealth(health, err)
	}
	if !usable {
		body.Release()
		return nil
	}
	return &Copy{
		Body: body, Tag: record.Tag, Fresh: job.fresh, cache: c, ref: job.found.Ref,
		classIndex: job.classIndex, staleIfError: job.found.StaleIfError,
	}
}

// readBody reads the record of a part and checks that it is intact and the requested one.
func (c *Cache) readBody(job *readJob) (record diskstore.Record, body *bufferpool.Body, outcome diskcache.ReadOutcome, err error) {
	record, reader, err := c.store.Read(job.found.Extents, job.found.Length)
	if err == nil && record.BodyBytes > 0 {
		body, err = c.bodies.ReadBody(reader, record.BodyBytes)
	}
	switch {
	case errors.Is(err, bufferpool.ErrFull):
		outcome = diskcache.ReadUnused
	case err != nil || !reader.Intact() || record.Seq != job.found.Ref.Seq():
		outcome = diskcache.ReadCorrupt
	case !job.request.matches(&record):
		outcome = diskcache.ReadUnused // another part with the same hash
	default:
		outcome = diskcache.ReadIntact
	}
	return record, body, outcome, err
}

// matches reports whether a record holds the requested part.
func (r *Request) matches(record *diskstore.Record) bool {
	return record.Class == r.Class && record.Object == r.Object && record.Part == r.Part && record.Group == r.Group
}
