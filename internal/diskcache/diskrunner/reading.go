package diskrunner

import (
	"errors"
	"sync/atomic"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

// readJob is a part to be read from disk.
type readJob struct {
	request    *Request
	found      diskcache.LookupResult
	fresh      bool
	classIndex int
	settled    atomic.Bool // nobody waits any more, or the copy was handed over
	result     chan *Copy
}

// await gives the copy, or nil once the time is over; then the reader releases it.
func (j *readJob) await(within time.Duration) *Copy {
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	select {
	case c := <-j.result:
		return c
	case <-timeout.C:
		if j.settled.CompareAndSwap(false, true) {
			return nil
		}
		return <-j.result
	}
}

// readAll reads parts until the cache is closed. Requests that wait then go on at the end
// of their wait.
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

// readPart reads one part; nil: it can't be used.
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
	case !job.request.names(&record):
		outcome = diskcache.ReadUnused // another part with the same hash
	default:
		outcome = diskcache.ReadIntact
	}
	return record, body, outcome, err
}

// names tells whether a record is the part that is requested.
func (r *Request) names(record *diskstore.Record) bool {
	return record.Class == r.Class && record.Object == r.Object && record.Part == r.Part && record.Group == r.Group
}
