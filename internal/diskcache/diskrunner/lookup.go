package diskrunner

import (
	"time"

	"quilldoor/internal/diskcache"
)

// Request is a read request that cached copies may answer.
type Request struct {
	Class, Object string
	Part          int64
	Group         uint8
	Remaining     time.Duration // until its timeout
}

// policyRequest is the request in the decisions' form; false: its class is unknown.
func (c *Cache) policyRequest(r *Request) (diskcache.Request, bool) {
	class, known := c.classIndexes[r.Class]
	return diskcache.Request{
		ClassIndex: class, Object: r.Object, Part: r.Part, Group: r.Group, Remaining: r.Remaining.Microseconds(),
	}, known
}

// Get looks a copy up and reads it, within the time that a request may wait for the disk;
// nil: there is none, and the request is forwarded.
func (c *Cache) Get(request *Request) *Copy {
	if !c.ready.Load() {
		return nil
	}
	wanted, known := c.policyRequest(request)
	if !known {
		return nil
	}
	c.mu.Lock()
	verdict, found := c.policy.Lookup(c.now(), &wanted)
	c.mu.Unlock()
	if verdict == diskcache.VerdictMiss {
		return nil
	}
	job := &readJob{
		request: request, found: found, fresh: verdict == diskcache.VerdictServe,
		classIndex: wanted.ClassIndex, result: make(chan *Copy, 1),
	}
	select {
	case <-c.stop:
		return nil
	case c.reads <- job: // Lookup allows no more than the channel takes
	}
	return job.await(min(c.config.ReadTimeout, request.Remaining/2))
}
