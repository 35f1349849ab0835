package checker

import "quilldoor/internal/eventlog"

// stall is a time in which a router's process stood still.
type stall struct {
	from, until int64 // until 0: it still stands still
}

// wakeUpGrace is how long a router that has stood still may take to answer what was due
// meanwhile: what waits in its sockets is read first.
const wakeUpGrace = 300 * ms

// stalledAt tells whether a router could not run at a time, or had just woken up.
func (c *Checker) stalledAt(router int, at int64) bool {
	last, known := c.stalls[router]
	return known && at >= last.from && (last.until == 0 || at <= last.until+wakeUpGrace)
}

// knownAt is when a router could know what came at a time: what came while it stood still
// is known once it has woken up.
func (c *Checker) knownAt(router int, at int64) int64 {
	if last, known := c.stalls[router]; known && at >= last.from && at < last.until {
		return last.until
	}
	return at
}

func (c *Checker) routerWoken(entry *eventlog.Entry) {
	if last := c.stalls[entry.Router]; last.until == 0 {
		c.stalls[entry.Router] = stall{last.from, entry.At}
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
	delete(c.stalls, entry.Router)
}

// routerUp notifies a router of the endpoint list as it is.
func (c *Checker) routerUp(entry *eventlog.Entry) {
	c.notified[entry.Router] = map[string]notification{}
	for endpoint, listed := range c.listed {
		c.notified[entry.Router][endpoint] = notification{listed.state, entry.At}
	}
}
