package checker

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// requestID is a request at a router.
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
	left        bool // the client's time was over without an answer
	excused     bool // a process that may have had it was killed
	attempts    []attempt
	executions  int
	forwardedTo []int // other routers that have it
}

type attempt struct {
	router   int
	number   int
	sentAt   int64
	endpoint string
	outcome  string
	ran      bool
}

type endedRequest struct {
	id requestID
	at int64
}

// The outcomes of requests and attempts that matter here.
const (
	requestCompleted = "completed"
	requestRejected  = "rejected"
	attemptDone      = "done"
)

// provesNeverRan has the outcomes which prove that an attempt was not executed.
var provesNeverRan = map[string]bool{"busy": true, "enoent": true, "econnrefused": true, "skipped": true}

func (r *request) attempt(e *eventlog.Entry) *attempt {
	for i := range r.attempts {
		if r.attempts[i].router == e.Router && r.attempts[i].number == e.Attempt {
			return &r.attempts[i]
		}
	}
	return nil
}

func (c *Checker) requestTaken(e *eventlog.Entry) {
	id := requestID{e.Router, e.Request}
	if c.requests[id] != nil {
		return // the client's mistake
	}
	c.Checked++
	c.requests[id] = &request{class: c.classes[e.Class], object: e.Object, group: e.Group, deadline: e.Deadline}
}

// requestForwarded makes a request that another router took, and that runs here, one with
// the first. The first router may have died meanwhile.
func (c *Checker) requestForwarded(e *eventlog.Entry) {
	from := requestID{e.Attempt, e.Request}
	r := c.requests[from]
	if r == nil {
		r = c.ofDeadRouters[from]
	}
	if r != nil {
		c.requests[requestID{e.Router, e.Request}] = r
		r.forwardedTo = append(r.forwardedTo, e.Router)
	}
}

func (c *Checker) attemptSent(e *eventlog.Entry) {
	r := c.requests[requestID{e.Router, e.Request}]
	if r == nil {
		c.violate(ruleOneAnswer, e, "an attempt for a request that it has not taken")
		return
	}
	if r.outcome != "" {
		c.violate(ruleOneAnswer, e, "an attempt after the final answer")
	}
	c.checkDraining(e, e.Endpoint, "sent to")
	if e.Source != e.Endpoint {
		c.checkDraining(e, e.Source, "named as source")
	}
	c.checkRetry(e, r)
	r.attempts = append(r.attempts, attempt{router: e.Router, number: e.Attempt, sentAt: e.At, endpoint: e.Endpoint})
}

// checkRetry judges rule 2 where an attempt follows others.
func (c *Checker) checkRetry(e *eventlog.Entry, r *request) {
	if r.class.Effect == policy.EffectIdempotent {
		return
	}
	window := r.class.DedupWindow
	for _, earlier := range r.attempts {
		if provesNeverRan[earlier.outcome] {
			continue
		}
		switch {
		case r.class.Effect == policy.EffectUnsafe:
			c.violate(ruleNoDuplicateEffect, e, "sent again while attempt %d (%q) may have run", earlier.number, earlier.outcome)
		case window > 0 && e.At-earlier.sentAt >= window:
			c.violate(ruleNoDuplicateEffect, e, "a keyed request sent again %d ms after attempt %d, past the window",
				(e.At-earlier.sentAt)/ms, earlier.number)
		}
	}
}

func (c *Checker) attemptRan(e *eventlog.Entry) {
	r := c.requests[requestID{e.Router, e.Request}]
	if r == nil {
		return
	}
	r.executions++
	if a := r.attempt(e); a != nil {
		a.ran = true
	}
	if r.class.Effect != policy.EffectUnsafe {
		return
	}
	if r.executions > 1 {
		c.violate(ruleNoDuplicateEffect, e, "run %d times", r.executions)
	}
	if r.outcome == requestRejected {
		c.violate(ruleNoDuplicateEffect, e, "run after it was rejected")
	}
}

func (c *Checker) attemptEnded(e *eventlog.Entry) {
	r := c.requests[requestID{e.Router, e.Request}]
	if r == nil {
		return
	}
	if a := r.attempt(e); a != nil && a.outcome == "" {
		a.outcome = e.Outcome
	}
}

func (c *Checker) requestAnswered(e *eventlog.Entry) {
	id := requestID{e.Router, e.Request}
	r := c.requests[id]
	switch {
	case r == nil:
		c.violate(ruleOneAnswer, e, "an answer to nothing that was taken")
		return
	case r.outcome != "":
		c.violate(ruleOneAnswer, e, "a second answer, %s after %s", e.Outcome, r.outcome)
		return
	case r.left:
		return // judged as unanswered already
	}
	c.checkAnswerTime(e, r)
	r.outcome = e.Outcome
	c.ended = append(c.ended, endedRequest{id, e.At})
	if e.Outcome == requestRejected && r.class.Effect == policy.EffectUnsafe {
		c.checkRejection(e, r)
	}
	if e.Outcome == requestCompleted && !r.class.Write {
		c.checkFreshness(e, r)
	}
}

func (c *Checker) checkAnswerTime(e *eventlog.Entry, r *request) {
	switch {
	case e.At <= r.deadline+c.settings.AnswerSlack:
	case c.stalledAt(e.Router, r.deadline) && c.stalledAt(e.Router, e.At):
		c.Excused++
	default:
		c.violate(ruleOneAnswer, e, "answered %d ms too late", (e.At-r.deadline)/ms)
	}
}

// checkRejection judges rule 2 where a request is rejected, which promises that it did not
// run.
func (c *Checker) checkRejection(e *eventlog.Entry, r *request) {
	for _, a := range r.attempts {
		if a.ran || !provesNeverRan[a.outcome] {
			c.violate(ruleNoDuplicateEffect, e, "rejected while attempt %d (%q) may have run", a.number, a.outcome)
		}
	}
}

func (c *Checker) clientLeft(e *eventlog.Entry) {
	id := requestID{e.Router, e.Request}
	r := c.requests[id]
	if r == nil || r.outcome != "" {
		return
	}
	r.left = true
	if r.excused || c.stalledAt(e.Router, r.deadline) {
		c.Excused++
	} else {
		c.violate(ruleOneAnswer, e, "no answer before the client's time was over")
	}
	c.ended = append(c.ended, endedRequest{id, e.At})
}

// forgetEnded forgets requests that ended some time ago. Until then a second answer may
// come, or work that begins after the first.
func (c *Checker) forgetEnded() {
	const remembered = 10 * second
	for len(c.ended) > 0 && c.ended[0].at < c.now-remembered {
		id := c.ended[0].id
		r := c.requests[id]
		if r == nil {
			r = c.ofDeadRouters[id]
		}
		if r != nil {
			for _, other := range r.forwardedTo {
				delete(c.requests, requestID{other, id.request})
			}
		}
		delete(c.requests, id)
		delete(c.ofDeadRouters, id)
		c.ended = c.ended[1:]
	}
}
