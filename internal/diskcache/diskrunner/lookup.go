package diskrunner

import (
	"time"

	"quilldoor/internal/diskcache"
)

// Request is a read request that a cached copy may answer.
type Request struct {
	Class, Object string
	Part          int64
	Group         uint8
	Remaining     time.Duration // until its timeout
}

// policyRequest converts a request to the policy's type. It returns false if no class of the
// settings has the request's class name.
func (c *Cache) policyRequest(r *Request) (diskcache.Request, bool) {
	class, known := c.classIndexes[r.Class]
	return diskcache.Request{
		ClassIndex: class, Object: r.Object, Part: r.Part, Group: r.Group, Remaining: r.Remaining.Microseconds(),
	}, known
}

// Get looks up a copy and reads it. It returns nil, so that the request is forwarded, if no
// copy may be read or if the read takes longer than Config.ReadTimeout or half of the
// request's remaining time.
func (c *Cache) Get(request *Request) *Copy {
	if !c.ready.Load() {
		return nil
	}
	lookup, known := c.policyRequest(request)
	if !known {
		return nil
	}
	c.mu.Lock()
	verdict, found := c.policy.Lookup(c.now(), &lookup)
	c.mu.Unlock()
	if verdict == diskcache.VerdictMiss {
		return nil
	}
	job := &readJob{
		request: request, found: found, fresh: verdict == diskcache.VerdictServe,
		classIndex: lookup.ClassIndex, result: make(chan *Copy, 1),
	}
	select {
	case <-c.stop:
		return nil
	case c.reads <- job: // never blocks: Lookup admits MaxReads reads, the capacity of the channel
	}
	return job.await(min(c.config.ReadTimeout, request.Remaining/2))
}
