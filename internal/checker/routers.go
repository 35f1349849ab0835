package checker

import "quilldoor/internal/eventlog"

// suspension is an interval in which a router's process was suspended.
type suspension struct {
	from, until int64 // until 0: it is still suspended
}

// resumeGrace is how long a router may take after a suspension to answer the requests that came
// due during it: the router first reads the data that its sockets have buffered.
const resumeGrace = 300 * ms

// suspendedAt reports whether a router was suspended at a time or had resumed at most resumeGrace before.
func (c *Checker) suspendedAt(router int, at int64) bool {
	last, known := c.suspensions[router]
	return known && at >= last.from && (last.until == 0 || at <= last.until+resumeGrace)
}

// suspendedSince reports whether a router was suspended at a time or later.
func (c *Checker) suspendedSince(router int, at int64) bool {
	last, known := c.suspensions[router]
	return known && (last.until == 0 || last.until >= at)
}

// processableAt is the earliest time at which a router can process a notification that arrives at
// a given time: the end of the suspension if the router was suspended, else the given time.
func (c *Checker) processableAt(router int, at int64) int64 {
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

// excuseRequestsOf excuses the requests of a router that lost a process while another process
// continues to serve.
func (c *Checker) excuseRequestsOf(router int) {
	for id, request := range c.requests {
		if id.router == router {
			request.excused = true
		}
	}
}

// routerDown releases a router that went down from the requests that it had accepted. They are kept
// for endedRetention, since the routers that they were forwarded to may still work on them.
func (c *Checker) routerDown(entry *eventlog.Entry) {
	for id, request := range c.requests {
		if id.router != entry.Router {
			continue
		}
		delete(c.requests, id)
		if _, known := c.requestsOfDownRouters[id]; !known {
			c.requestsOfDownRouters[id] = request
			c.ended = append(c.ended, endedRequest{id, entry.At})
		}
	}
	delete(c.notified, entry.Router)
	delete(c.purges, entry.Router)
	delete(c.suspensions, entry.Router)
}

// routerUp records that a router starts with the current endpoint list.
func (c *Checker) routerUp(entry *eventlog.Entry) {
	c.notified[entry.Router] = map[string]notification{}
	for endpoint, listed := range c.listed {
		c.notified[entry.Router][endpoint] = notification{listed.state, listed.startedAt, entry.At}
	}
}
