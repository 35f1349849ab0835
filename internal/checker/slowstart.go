package checker

import (
	"slices"

	"quilldoor/internal/eventlog"
)

// warmUp is the work that has reached an endpoint since its last start.
type warmUp struct {
	startedAt int64
	work      []warmingWork // within the overload window
}

// warmingWork is the work of one attempt at a warming endpoint.
type warmingWork struct {
	at       int64
	seconds  float64
	notified bool // its router was notified of the start, or counted as notified, when it sent the attempt
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
		at: entry.At, seconds: entry.Work,
		notified: c.wasNotifiedOfStart(entry.Router, entry.Endpoint, warm.startedAt, c.sentAt(entry)),
	})
}

// sentAt is when the attempt that an entry is about was sent. Its work reaches an endpoint later, that of a fill by the
// queue of the cache and the way to the source.
func (c *Checker) sentAt(entry *eventlog.Entry) int64 {
	if request := c.requests[requestID{entry.Router, entry.Request}]; request != nil {
		if attempt := request.attempt(entry); attempt != nil {
			return attempt.sentAt
		}
	}
	return entry.At
}

// wasNotifiedOfStart reports whether a router was notified of an endpoint's start at a time, or counted as notified.
func (c *Checker) wasNotifiedOfStart(router int, endpoint string, startedAt, at int64) bool {
	notified := c.notified[router][endpoint]
	if notified.startedAt >= startedAt && c.isProcessed(router, notified.at, at) {
		return true
	}
	listed := c.listed[endpoint]
	return listed.startedAt >= startedAt && c.isProcessed(router, listed.notifiedBy, at)
}

// isProcessed reports whether a router has processed a notification at a time. One that arrived while the router was
// suspended waits behind the requests that arrived before it, all of which the router handles in the instant in which it
// resumes.
func (c *Checker) isProcessed(router int, notifiedAt, at int64) bool {
	processableAt := c.processableAt(router, notifiedAt)
	if processableAt > notifiedAt {
		return at > processableAt
	}
	return at >= notifiedAt
}

// checkOverload checks rule 4: a warming endpoint must not collapse under work of which at least two
// thirds came from routers that were notified of its start. Work without an entry in the log counts
// as sent by notified routers.
func (c *Checker) checkOverload(entry *eventlog.Entry) {
	unnotified := 0.0
	if warm := c.warming[entry.Endpoint]; warm != nil {
		for _, w := range warm.work {
			if !w.notified {
				unnotified += w.seconds
			}
		}
	}
	// More than one third of the work from routers without the notice makes a collapse a late notice.
	const lateNoticeDivisor = 3
	if lateNoticeDivisor*unnotified > entry.Work {
		c.LateNotices++
		return
	}
	c.violate(ruleSlowStart, entry,
		"collapsed under %.2f s of work within the window while it was warming up, %.2f s of it from routers not notified of its start",
		entry.Work, unnotified)
}
