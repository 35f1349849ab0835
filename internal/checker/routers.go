package checker

import "quilldoor/internal/eventlog"

// suspension is a time in which a router's process was suspended.
type suspension struct {
	from, until int64 // until 0: it still is
}

// resumeGrace is how long a router that was suspended may take to answer what was due
// meanwhile: what waits in its sockets is read first.
const resumeGrace = 300 * ms

// suspendedAt tells whether a router could not run at a time, or had just resumed.
func (c *Checker) suspendedAt(router int, at int64) bool {
	last, known := c.suspensions[router]
	return known && at >= last.from && (last.until == 0 || at <= last.until+resumeGrace)
}

// suspendedSince tells whether a router was suspended at a time or later.
func (c *Checker) suspendedSince(router int, at int64) bool {
	last, known := c.suspensions[router]
	return known && (last.until == 0 || last.until >= at)
}

// knownAt is when a router could know what came at a time: what came while it was suspended
// is known once it has resumed.
func (c *Checker) knownAt(router int, at int64) int64 {
	if last, known := c.suspensions[router]; known && at >= last.from && at < last.until {
		return last.until
	}
	return at
}

func (c *Checker) routerResumed(entry *eventlog.Entry) {
	if last := c.suspensions[entry.Router]; last.until == 0 {
		c.suspensions[entry.Router] = suspension{last.from, entry.At}
	}
}

// excuseRequestsOf excuses the requests of a router of which a process was killed while
// another one goes on.
func (c *Checker) excuseRequestsOf(router int) {
	for id, request := range c.requests {
		if id.router == router {
			request.excused = true
		}
	}
}

// routerDown releases a router from what it had taken.
func (c *Checker) routerDown(entry *eventlog.Entry) {
	for id, request := range c.requests {
		if id.router != entry.Router {
			continue
		}
		delete(c.requests, id)
		if _, known := c.ofDeadRouters[id]; !known {
			c.ofDeadRouters[id] = request
			c.ended = append(c.ended, endedRequest{id, entry.At})
		}
	}
	delete(c.notified, entry.Router)
	delete(c.purges, entry.Router)
	delete(c.suspensions, entry.Router)
}

// routerUp notifies a router of the endpoint list as it is.
func (c *Checker) routerUp(entry *eventlog.Entry) {
	c.notified[entry.Router] = map[string]notification{}
	for endpoint, listed := range c.listed {
		c.notified[entry.Router][endpoint] = notification{listed.state, listed.startedAt, entry.At}
	}
}
