package checker

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// requestID identifies a request at a router.
type requestID struct {
	router  int
	request string
}

type request struct {
	class       policy.TrafficClass
	object      string
	group       int64
	deadline    int64
	outcome     string
	abandoned   bool // the client timed out without an answer
	excused     bool // a process that may have held the request was killed
	attempts    []attempt
	executions  int
	forwardedTo []int // other routers that hold the request
}

type attempt struct {
	router   int
	number   int
	sentAt   int64
	endpoint string
	outcome  string
	ran      bool
	unaware  bool // sent to an endpoint that drains or is removed, of which its router was not notified
}

type endedRequest struct {
	id requestID
	at int64
}

// The outcomes of requests and attempts that the rules distinguish.
const (
	requestCompleted = "completed"
	requestRejected  = "rejected"
	attemptDone      = "done"
	attemptRefused   = "econnrefused" // no connection was established, so nothing was sent
)

func (r *request) attempt(entry *eventlog.Entry) *attempt {
	for i := range r.attempts {
		if r.attempts[i].router == entry.Router && r.attempts[i].number == entry.Attempt {
			return &r.attempts[i]
		}
	}
	return nil
}

// completedAttemptSentAt is when the attempt that returned the answer was sent; -1: there is none.
func (r *request) completedAttemptSentAt() int64 {
	for i := range r.attempts {
		if r.attempts[i].outcome == attemptDone {
			return r.attempts[i].sentAt
		}
	}
	return -1
}

func (c *Checker) requestTaken(entry *eventlog.Entry) {
	id := requestID{entry.Router, entry.Request}
	if c.requests[id] != nil {
		return // a client that uses a request ID twice is at fault, not the router
	}
	c.Checked++
	c.requests[id] = &request{
		class: c.classes[entry.Class], object: entry.Object, group: entry.Group, deadline: entry.Deadline,
	}
}

// requestForwarded records that the router that entry.Attempt names has forwarded a request to
// entry.Router: both routers work on the same request. The first router may be down by now.
func (c *Checker) requestForwarded(entry *eventlog.Entry) {
	from := requestID{entry.Attempt, entry.Request}
	request := c.requests[from]
	if request == nil {
		request = c.requestsOfDownRouters[from]
	}
	if request != nil {
		c.requests[requestID{entry.Router, entry.Request}] = request
		request.forwardedTo = append(request.forwardedTo, entry.Router)
	}
}

func (c *Checker) attemptSent(entry *eventlog.Entry) {
	request := c.requests[requestID{entry.Router, entry.Request}]
	if request == nil {
		c.violate(ruleOneAnswer, entry, "an attempt for a request that the router has not accepted")
		return
	}
	if request.outcome != "" {
		c.violate(ruleOneAnswer, entry, "an attempt after the final answer")
	}
	unaware := c.checkDraining(entry, entry.Endpoint, "sent to")
	if entry.Source != entry.Endpoint {
		c.checkDraining(entry, entry.Source, "named as source")
	}
	c.checkRetry(entry, request)
	request.attempts = append(request.attempts, attempt{
		router: entry.Router, number: entry.Attempt, sentAt: entry.At, endpoint: entry.Endpoint, unaware: unaware,
	})
}

func (c *Checker) attemptRan(entry *eventlog.Entry) {
	request := c.requests[requestID{entry.Router, entry.Request}]
	if request == nil {
		return
	}
	request.executions++
	if attempt := request.attempt(entry); attempt != nil {
		attempt.ran = true
	}
	if request.class.Effect != policy.EffectUnsafe {
		return
	}
	if request.executions > 1 {
		c.violate(ruleNoDuplicateEffect, entry, "executed %d times", request.executions)
	}
	if request.outcome == requestRejected {
		c.violate(ruleNoDuplicateEffect, entry, "executed after it was rejected")
	}
}

func (c *Checker) attemptEnded(entry *eventlog.Entry) {
	request := c.requests[requestID{entry.Router, entry.Request}]
	if request == nil {
		return
	}
	attempt := request.attempt(entry)
	if attempt == nil || attempt.outcome != "" {
		return
	}
	attempt.outcome = entry.Outcome
	if attempt.unaware && attempt.outcome == attemptRefused {
		c.retractUnsent(entry, attempt)
	}
}

func (c *Checker) requestAnswered(entry *eventlog.Entry) {
	id := requestID{entry.Router, entry.Request}
	request := c.requests[id]
	switch {
	case request == nil:
		c.violate(ruleOneAnswer, entry, "an answer to a request that the router has not accepted")
		return
	case request.outcome != "":
		c.violate(ruleOneAnswer, entry, "a second answer, %s after %s", entry.Outcome, request.outcome)
		return
	case request.abandoned:
		return // clientLeft has handled the missing answer
	}
	c.checkAnswerTime(entry, request)
	request.outcome = entry.Outcome
	c.ended = append(c.ended, endedRequest{id, entry.At})
	if entry.Outcome == requestRejected && request.class.Effect == policy.EffectUnsafe {
		c.checkRejection(entry, request)
	}
	if entry.Outcome == requestCompleted && !request.class.Write {
		c.checkFreshness(entry, request)
	}
}

func (c *Checker) clientLeft(entry *eventlog.Entry) {
	id := requestID{entry.Router, entry.Request}
	request := c.requests[id]
	if request == nil || request.outcome != "" {
		return
	}
	request.abandoned = true
	if request.excused || c.suspendedAt(entry.Router, request.deadline) {
		c.Excused++
	} else {
		c.violate(ruleOneAnswer, entry, "no answer before the client timed out")
	}
	c.ended = append(c.ended, endedRequest{id, entry.At})
}

// endedRetention is how long a request is kept after its end, to detect a second answer and
// executions after the first one.
const endedRetention = 10 * second

// expireEnded deletes requests that ended more than endedRetention ago. Those of a router that was
// suspended since then are kept longer: the router still holds them and ends them after it resumes.
func (c *Checker) expireEnded() {
	for len(c.ended) > 0 && c.ended[0].at < c.now-endedRetention {
		id := c.ended[0].id
		if c.suspendedSince(id.router, c.now-endedRetention) {
			c.ended = append(c.ended[1:], endedRequest{id, c.now})
			continue
		}
		request := c.requests[id]
		if request == nil {
			request = c.requestsOfDownRouters[id]
		}
		if request != nil {
			for _, other := range request.forwardedTo {
				delete(c.requests, requestID{other, id.request})
			}
		}
		delete(c.requests, id)
		delete(c.requestsOfDownRouters, id)
		c.ended = c.ended[1:]
	}
}
