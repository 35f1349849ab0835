package checker

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// provesNeverRan holds the outcomes that prove that an attempt was not executed.
var provesNeverRan = map[string]bool{"busy": true, "enoent": true, "econnrefused": true, "skipped": true}

// checkRetry checks rule 2 for an attempt that follows earlier ones.
func (c *Checker) checkRetry(entry *eventlog.Entry, request *request) {
	if request.class.Effect == policy.EffectIdempotent {
		return
	}
	window := request.class.DedupWindow
	for _, earlier := range request.attempts {
		if provesNeverRan[earlier.outcome] {
			continue
		}
		switch {
		case request.class.Effect == policy.EffectUnsafe:
			c.violate(ruleNoDuplicateEffect, entry, "sent again while attempt %d (%q) may have run",
				earlier.number, earlier.outcome)
		case window > 0 && entry.At-earlier.sentAt >= window:
			c.violate(ruleNoDuplicateEffect, entry, "a request with an idempotency key sent again %d ms after attempt %d, past the deduplication window",
				(entry.At-earlier.sentAt)/ms, earlier.number)
		}
	}
}

func (c *Checker) checkAnswerTime(entry *eventlog.Entry, request *request) {
	switch {
	case entry.At <= request.deadline+c.settings.AnswerSlack:
	case c.suspendedAt(entry.Router, request.deadline) && c.suspendedAt(entry.Router, entry.At):
		c.Excused++
	default:
		c.violate(ruleOneAnswer, entry, "answered %d ms after the deadline", (entry.At-request.deadline)/ms)
	}
}

// checkRejection checks rule 2 for a rejected request: a rejection promises that the request was
// not executed.
func (c *Checker) checkRejection(entry *eventlog.Entry, request *request) {
	for _, attempt := range request.attempts {
		if attempt.ran || !provesNeverRan[attempt.outcome] {
			c.violate(ruleNoDuplicateEffect, entry, "rejected while attempt %d (%q) may have run",
				attempt.number, attempt.outcome)
		}
	}
}
