package checker

import (
	"testing"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// entry returns an entry about request t at router 1, at a time in milliseconds.
func entry(at int64, kind eventlog.Kind, more eventlog.Entry) *eventlog.Entry {
	more.At = at * ms
	more.Kind = kind
	more.Router = 1
	more.Request = "t"
	return &more
}

func taken(class string) *eventlog.Entry {
	return entry(0, eventlog.KindReceived, eventlog.Entry{Class: class, Object: "o", Group: 3, Deadline: 1000 * ms})
}

func takenWithLongDeadline() *eventlog.Entry {
	return entry(0, eventlog.KindReceived, eventlog.Entry{Class: "read", Object: "o", Group: 3, Deadline: 20 * second})
}

func sent(at int64, attempt int, endpoint, source string) *eventlog.Entry {
	return entry(at, eventlog.KindSent, eventlog.Entry{Attempt: attempt, Endpoint: endpoint, Source: source})
}

func ran(at int64, attempt int) *eventlog.Entry {
	return entry(at, eventlog.KindRan, eventlog.Entry{Attempt: attempt, Endpoint: "a"})
}

func ended(at int64, attempt int, outcome string) *eventlog.Entry {
	return entry(at, eventlog.KindEnded, eventlog.Entry{Attempt: attempt, Outcome: outcome})
}

func answered(at int64, outcome string, issued int64) *eventlog.Entry {
	return entry(at, eventlog.KindAnswered, eventlog.Entry{Outcome: outcome, Issued: issued * ms})
}

func notified(at int64, endpoint, state string) *eventlog.Entry {
	return entry(at, eventlog.KindNotified, eventlog.Entry{Endpoint: endpoint, State: state})
}

func suspended(at int64) *eventlog.Entry {
	return entry(at, eventlog.KindRouterSuspended, eventlog.Entry{})
}

func resumed(at int64) *eventlog.Entry {
	return entry(at, eventlog.KindRouterResumed, eventlog.Entry{})
}

// ruleCase is an event log and the only rule that it violates; 0: none.
type ruleCase struct {
	name    string
	rule    int
	entries []*eventlog.Entry
}

// checkRules checks that each event log violates its rule and no other.
func checkRules(t *testing.T, cases []ruleCase) {
	t.Helper()
	for _, test := range cases {
		checker := New(Settings{
			AnswerSlack: 8 * ms, DrainGrace: 500 * ms, PurgeGrace: 300 * ms, NotificationDeadline: 7 * second,
			OverloadWindow: second,
			Classes: []policy.TrafficClass{
				{Name: "read", Effect: policy.EffectIdempotent},
				{Name: "sign", Effect: policy.EffectUnsafe, Write: true},
				{Name: "keyed", Effect: policy.EffectIdempotencyKey, DedupWindow: 100 * ms},
			},
		})
		for _, entry := range test.entries {
			checker.Observe(entry)
		}
		total := 0
		for rule, count := range checker.CountByRule {
			total += count
			if count > 0 && rule != test.rule {
				t.Errorf("%s: rule %d: %v", test.name, rule, checker.Violations)
			}
		}
		if test.rule > 0 && total == 0 {
			t.Errorf("%s: the violation of rule %d was not detected", test.name, test.rule)
		}
	}
}

// Rule 1: a request gets one final answer in time, unless its router was suspended or killed.
func TestRequestsGetOneAnswerInTime(t *testing.T) {
	checkRules(t, []ruleCase{
		{"one answer", 0, []*eventlog.Entry{
			taken("read"), sent(1, 0, "a", "o"), ran(2, 0), ended(5, 0, "done"),
			answered(5, "completed", 4),
		}},
		{"two answers", 1, []*eventlog.Entry{
			taken("read"), answered(5, "rejected", 0), answered(6, "rejected", 0),
		}},
		{"client times out during a long suspension", 0, []*eventlog.Entry{
			taken("read"), suspended(500), entry(1050, eventlog.KindClientTimedOut, eventlog.Entry{}),
			started(12000), started(16000), resumed(21000), answered(21001, "aborted", 0),
		}},
		{"a second answer after a long suspension", 1, []*eventlog.Entry{
			taken("read"), answered(5, "rejected", 0), suspended(500), started(12000), resumed(21000),
			answered(21001, "rejected", 0),
		}},
		{"late by the slack", 0, []*eventlog.Entry{taken("read"), answered(1008, "aborted", 0)}},
		{"late by more than the slack", 1, []*eventlog.Entry{taken("read"), answered(1009, "aborted", 0)}},
		{"no answer", 1, []*eventlog.Entry{taken("read"), entry(1010, eventlog.KindClientTimedOut, eventlog.Entry{})}},
		{"answer without a request", 1, []*eventlog.Entry{answered(5, "completed", 4)}},
		{"attempt after the answer", 1, []*eventlog.Entry{
			taken("read"), answered(5, "rejected", 0), sent(6, 0, "a", ""),
		}},
		{"router goes down before its forwarded request arrives", 0, []*eventlog.Entry{
			taken("read"), entry(5, eventlog.KindRouterDown, eventlog.Entry{}),
			{At: 9 * ms, Kind: eventlog.KindForwarded, Router: 2, Request: "t", Attempt: 1},
			{At: 9 * ms, Kind: eventlog.KindSent, Router: 2, Request: "t", Endpoint: "a", Source: "o"},
		}},
		{"router killed", 0, []*eventlog.Entry{
			taken("read"), entry(5, eventlog.KindRouterDown, eventlog.Entry{}),
		}},
		{"connection refused", 0, []*eventlog.Entry{
			taken("read"), entry(5, eventlog.KindRefused, eventlog.Entry{}),
		}},
		{"due during the suspension", 0, []*eventlog.Entry{
			taken("read"), suspended(500), entry(1010, eventlog.KindClientTimedOut, eventlog.Entry{}),
		}},
		{"answered within the grace after the suspension", 0, []*eventlog.Entry{
			taken("read"), suspended(500), resumed(2000), answered(2200, "aborted", 0),
		}},
		{"answered after the grace", 1, []*eventlog.Entry{
			taken("read"), suspended(500), resumed(2000), answered(2301, "aborted", 0),
		}},
		{"due after the suspension", 1, []*eventlog.Entry{
			taken("read"), suspended(100), resumed(600), entry(1010, eventlog.KindClientTimedOut, eventlog.Entry{}),
		}},
		{"suspended before the request", 1, []*eventlog.Entry{
			suspended(-900), resumed(-400), taken("read"), answered(1009, "aborted", 0),
		}},
	})
}

// Rule 2: a request with an effect is not sent again without proof that it was not executed.
func TestNoEffectHappensTwice(t *testing.T) {
	checkRules(t, []ruleCase{
		{"write sent again by the router that it was forwarded to", 2, []*eventlog.Entry{
			taken("sign"), sent(1, 0, "a", "o"), ran(2, 0),
			entry(5, eventlog.KindRouterDown, eventlog.Entry{}),
			{At: 9 * ms, Kind: eventlog.KindForwarded, Router: 2, Request: "t", Attempt: 1},
			{At: 9 * ms, Kind: eventlog.KindSent, Router: 2, Request: "t", Endpoint: "a", Source: "o"},
		}},
		{"read sent again", 0, []*eventlog.Entry{
			taken("read"), sent(1, 0, "a", "o"), ran(2, 0), ended(3, 0, "econnreset"), sent(4, 1, "b", "o"),
			answered(5, "rejected", 0),
		}},
		{"write sent again on proof", 0, []*eventlog.Entry{
			taken("sign"), sent(1, 0, "o", "o"), ended(3, 0, "busy"), sent(4, 1, "o", "o"), ran(5, 1),
			ended(6, 1, "done"), answered(6, "completed", 0),
		}},
		{"write sent again after a reset", 2, []*eventlog.Entry{
			taken("sign"), sent(1, 0, "o", "o"), ended(3, 0, "econnreset"), sent(4, 1, "o", "o"),
		}},
		{"write sent again without a response", 2, []*eventlog.Entry{
			taken("sign"), sent(1, 0, "o", "o"), sent(4, 1, "o", "o"),
		}},
		{"write rejected on proof", 0, []*eventlog.Entry{
			taken("sign"), sent(1, 0, "o", "o"), ended(3, 0, "econnrefused"), answered(4, "rejected", 0),
		}},
		{"write rejected after execution", 2, []*eventlog.Entry{
			taken("sign"), sent(1, 0, "o", "o"), ran(2, 0), ended(3, 0, "econnreset"),
			answered(4, "rejected", 0),
		}},
		{"write aborted after execution", 0, []*eventlog.Entry{
			taken("sign"), sent(1, 0, "o", "o"), ran(2, 0), ended(3, 0, "econnreset"),
			answered(4, "aborted", 0),
		}},
		{"keyed request sent again within its window", 0, []*eventlog.Entry{
			taken("keyed"), sent(1, 0, "o", "o"), ended(3, 0, "econnreset"), sent(90, 1, "o", "o"),
			answered(99, "rejected", 0),
		}},
		{"keyed request sent again past its window", 2, []*eventlog.Entry{
			taken("keyed"), sent(1, 0, "o", "o"), ended(3, 0, "econnreset"), sent(101, 1, "o", "o"),
		}},
	})
}

// Rule 3: nothing new goes to an endpoint after the router was notified that it drains or is removed.
func TestNothingNewGoesToDrainingEndpoints(t *testing.T) {
	checkRules(t, []ruleCase{
		{"draining, within the grace", 0, []*eventlog.Entry{
			notified(0, "a", "leaving"), taken("read"), sent(500, 0, "a", "o"),
			answered(501, "rejected", 0),
		}},
		{"draining, after the grace", 3, []*eventlog.Entry{
			notified(0, "a", "leaving"), taken("read"), sent(501, 0, "a", "o"),
		}},
		{"removed source", 3, []*eventlog.Entry{
			notified(0, "p", "left"), taken("read"), sent(501, 0, "a", "p"),
		}},
		{"notified of the drain, then of the removal", 3, []*eventlog.Entry{
			notified(0, "a", "leaving"), notified(400, "a", "left"), taken("read"), sent(600, 0, "a", "o"),
		}},
		{"active again", 0, []*eventlog.Entry{
			notified(0, "a", "left"), notified(400, "a", "active"), taken("read"), sent(900, 0, "a", "o"),
			answered(901, "rejected", 0),
		}},
		{"past the notification deadline", 3, []*eventlog.Entry{
			entry(0, eventlog.KindListed, eventlog.Entry{Endpoint: "a", State: "left"}), taken("read"),
			sent(7501, 0, "a", "o"),
		}},
		{"before the notification deadline", 0, []*eventlog.Entry{
			entry(0, eventlog.KindListed, eventlog.Entry{Endpoint: "a", State: "left"}), taken("read"),
			sent(900, 0, "a", "o"), answered(901, "rejected", 0),
		}},
		{"past the notification deadline, nothing sent", 0, []*eventlog.Entry{
			entry(0, eventlog.KindListed, eventlog.Entry{Endpoint: "a", State: "left"}), takenWithLongDeadline(),
			sent(7501, 0, "a", "o"), ended(7502, 0, "econnrefused"), answered(7503, "rejected", 0),
		}},
		{"past the notification deadline, connection reset", 3, []*eventlog.Entry{
			entry(0, eventlog.KindListed, eventlog.Entry{Endpoint: "a", State: "left"}), takenWithLongDeadline(),
			sent(7501, 0, "a", "o"), ended(7502, 0, "econnreset"), answered(7503, "rejected", 0),
		}},
		{"past the notification deadline, source removed", 3, []*eventlog.Entry{
			entry(0, eventlog.KindListed, eventlog.Entry{Endpoint: "p", State: "left"}), takenWithLongDeadline(),
			sent(7501, 0, "a", "p"), ended(7502, 0, "econnrefused"), answered(7503, "rejected", 0),
		}},
		{"draining, after the grace, nothing sent", 3, []*eventlog.Entry{
			notified(0, "a", "left"), taken("read"), sent(501, 0, "a", "o"), ended(502, 0, "econnrefused"),
			answered(503, "rejected", 0),
		}},
		{"notified during a suspension, within the grace", 0, []*eventlog.Entry{
			suspended(-100), notified(0, "a", "leaving"), resumed(700), takenWithLongDeadline(), sent(1200, 0, "a", "o"),
			answered(1201, "rejected", 0),
		}},
		{"notified during a suspension, after the grace", 3, []*eventlog.Entry{
			suspended(-100), notified(0, "a", "leaving"), resumed(700), taken("read"), sent(1201, 0, "a", "o"),
		}},
		{"notification deadline during a suspension", 0, []*eventlog.Entry{
			entry(0, eventlog.KindListed, eventlog.Entry{Endpoint: "a", State: "left"}), suspended(5000),
			resumed(9000), takenWithLongDeadline(), sent(9400, 0, "a", "o"), answered(9401, "rejected", 0),
		}},
	})
}

// Rule 4: the collapse of a warming endpoint shows that its budget was exceeded.
func TestSlowStartBudgetsHold(t *testing.T) {
	checkRules(t, []ruleCase{
		{"collapse of an endpoint without entries of its work", 4, []*eventlog.Entry{entry(3, eventlog.KindOverloaded, eventlog.Entry{Endpoint: "a"})}},
	})
}

// Rule 5: an attempt that is sent after the router was notified of a purge returns no older copy.
func TestNoCopyIsOlderThanAPurge(t *testing.T) {
	checkRules(t, []ruleCase{
		{"older than a purge", 5, []*eventlog.Entry{
			entry(100, eventlog.KindPurgeNotified, eventlog.Entry{Object: "o", Until: 90 * ms}),
			taken("read"), sent(401, 0, "a", "o"), ended(410, 0, "done"), answered(410, "completed", 89),
		}},
		{"older than a purge of its group", 5, []*eventlog.Entry{
			entry(100, eventlog.KindPurgeNotified, eventlog.Entry{Group: 3, Until: 90 * ms}), taken("read"),
			sent(401, 0, "a", "o"), ended(410, 0, "done"), answered(410, "completed", 89),
		}},
		{"sent within the grace", 0, []*eventlog.Entry{
			entry(100, eventlog.KindPurgeNotified, eventlog.Entry{Object: "o", Until: 90 * ms}),
			taken("read"), sent(400, 0, "a", "o"), ended(410, 0, "done"), answered(410, "completed", 89),
		}},
		{"issued at the time of the purge", 0, []*eventlog.Entry{
			entry(100, eventlog.KindPurgeNotified, eventlog.Entry{Object: "o", Until: 90 * ms}),
			taken("read"), sent(401, 0, "a", "o"), ended(410, 0, "done"), answered(410, "completed", 90),
		}},
		{"notified of the purge during a suspension", 5, []*eventlog.Entry{
			suspended(50),
			entry(100, eventlog.KindPurgeNotified, eventlog.Entry{Object: "o", Until: 90 * ms}), resumed(400),
			taken("read"), sent(701, 0, "a", "o"), ended(710, 0, "done"), answered(710, "completed", 89),
		}},
		{"purge of another group", 0, []*eventlog.Entry{
			entry(100, eventlog.KindPurgeNotified, eventlog.Entry{Group: 4, Until: 90 * ms}), taken("read"),
			sent(401, 0, "a", "o"), ended(410, 0, "done"), answered(410, "completed", 89),
		}},
	})
}
