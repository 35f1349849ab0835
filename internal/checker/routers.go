package checker

import "quilldoor/internal/eventlog"

// stall is a time in which a router's process stood still.
type stall struct {
	from, until int64 // until 0: it still does
}

// wakeUpGrace is how long a router that has stood still may take to answer what was due
// meanwhile: what waits in its sockets is read first.
const wakeUpGrace = 300 * ms

// stalledAt tells whether a router could not run at a time, or had just woken up.
func (c *Checker) stalledAt(router int, at int64) bool {
	s, ever := c.stalls[router]
	return ever && at >= s.from && (s.until == 0 || at <= s.until+wakeUpGrace)
}

// knownAt is when a router could know what came at a time: what came while it stood still
// is known once it has woken up.
func (c *Checker) knownAt(router int, at int64) int64 {
	if s, ever := c.stalls[router]; ever && at >= s.from && at < s.until {
		return s.until
	}
	return at
}

func (c *Checker) routerWoken(e *eventlog.Entry) {
	if s := c.stalls[e.Router]; s.until == 0 {
		c.stalls[e.Router] = stall{s.from, e.At}
	}
}

// excuseRequestsOf excuses the requests of a router of which a process was killed while
// another one goes on.
func (c *Checker) excuseRequestsOf(router int) {
	for id, r := range c.requests {
		if id.router == router {
			r.excused = true
		}
	}
}

// routerDown releases a router from what it had taken.
func (c *Checker) routerDown(e *eventlog.Entry) {
	for id, r := range c.requests {
		if id.router != e.Router {
			continue
		}
		delete(c.requests, id)
		if _, known := c.ofDeadRouters[id]; !known {
			c.ofDeadRouters[id] = r
			c.ended = append(c.ended, endedRequest{id, e.At})
		}
	}
	delete(c.notified, e.Router)
	delete(c.purges, e.Router)
	delete(c.stalls, e.Router)
}

// routerUp notifies a router of the endpoint list as it is.
func (c *Checker) routerUp(e *eventlog.Entry) {
	c.notified[e.Router] = map[string]notification{}
	for endpoint, listed := range c.listed {
		c.notified[e.Router][endpoint] = notification{listed.state, e.At}
	}
}
