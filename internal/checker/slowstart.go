package checker

import (
	"slices"

	"quilldoor/internal/eventlog"
)

// warmUp is what has reached an endpoint since it started.
type warmUp struct {
	startedAt int64
	work      []warmingWork // of the overload window
}

// warmingWork is the work of one attempt at an endpoint that warms up.
type warmingWork struct {
	at       int64
	seconds  float64
	informed bool // its router was notified of the start, or counts as notified
}

func (c *Checker) warmingWorkArrived(entry *eventlog.Entry) {
	warm := c.warming[entry.Endpoint]
	if warm == nil {
		return
	}
	warm.work = slices.DeleteFunc(warm.work, func(w warmingWork) bool {
		return w.at <= entry.At-c.settings.OverloadWindow
	})
	warm.work = append(warm.work, warmingWork{
		at: entry.At, seconds: entry.Work, informed: c.knowsStart(entry.Router, entry.Endpoint, warm.startedAt),
	})
}

// knowsStart tells whether a router was notified of an endpoint's start, or counts as notified.
func (c *Checker) knowsStart(router int, endpoint string, startedAt int64) bool {
	notified := c.notified[router][endpoint]
	if notified.startedAt >= startedAt && c.now >= c.knownAt(router, notified.at) {
		return true
	}
	listed := c.listed[endpoint]
	return listed.startedAt >= startedAt && c.now >= c.knownAt(router, listed.notifiedBy)
}

// checkOverload judges rule 4: a warming endpoint must not fall over by work of which two thirds
// came from routers that knew of its start. Work whose router is not in the log counts as theirs.
func (c *Checker) checkOverload(entry *eventlog.Entry) {
	uninformed := 0.0
	if warm := c.warming[entry.Endpoint]; warm != nil {
		for _, w := range warm.work {
			if !w.informed {
				uninformed += w.seconds
			}
		}
	}
	const allowedOneIn = 3
	if allowedOneIn*uninformed > entry.Work {
		c.LateNotices++
		return
	}
	c.violate(ruleSlowStart, entry,
		"sent %.2f s of work within the window while it was warming up, %.2f s of it by routers that did not know: it fell over",
		entry.Work, uninformed)
}
