package checker

import (
	"testing"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// entry is a line of request t at router 1 and a millisecond.
func entry(at int64, kind eventlog.Kind, more eventlog.Entry) *eventlog.Entry {
	more.At, more.Kind, more.Router, more.Request = at*ms, kind, 1, "t"
	return &more
}

// Each event log violates just the rule named, or none (0).
func TestRules(t *testing.T) {
	type e = eventlog.Entry
	taken := func(rule string) *e {
		return entry(0, eventlog.KindTaken, e{Class: rule, Object: "o", Group: 3, Deadline: 1000 * ms})
	}
	takenLong := entry(0, eventlog.KindTaken, e{Class: "read", Object: "o", Group: 3, Deadline: 20 * second})
	sent := func(at int64, hop int, server, source string) *e {
		return entry(at, eventlog.KindSent, e{Attempt: hop, Endpoint: server, Source: source})
	}
	ran := func(at int64, hop int) *e { return entry(at, eventlog.KindRan, e{Attempt: hop, Endpoint: "a"}) }
	end := func(at int64, hop int, code string) *e {
		return entry(at, eventlog.KindEnded, e{Attempt: hop, Outcome: code})
	}
	final := func(at int64, outcome string, issued int64) *e {
		return entry(at, eventlog.KindAnswered, e{Outcome: outcome, Issued: issued * ms})
	}
	told := func(at int64, server, state string) *e {
		return entry(at, eventlog.KindNotified, e{Endpoint: server, State: state})
	}
	stop := func(at int64) *e { return entry(at, eventlog.KindRouterStopped, e{}) }
	wake := func(at int64) *e { return entry(at, eventlog.KindRouterWoken, e{}) }
	for name, c := range map[string]struct {
		rule  int
		lines []*e
	}{
		"one answer":           {0, []*e{taken("read"), sent(1, 0, "a", "o"), ran(2, 0), end(5, 0, "done"), final(5, "completed", 4)}},
		"two answers":          {1, []*e{taken("read"), final(5, "rejected", 0), final(6, "rejected", 0)}},
		"late by the slack":    {0, []*e{taken("read"), final(1008, "aborted", 0)}},
		"too late":             {1, []*e{taken("read"), final(1009, "aborted", 0)}},
		"none":                 {1, []*e{taken("read"), entry(1010, eventlog.KindLeft, e{})}},
		"nothing taken":        {1, []*e{final(5, "completed", 4)}},
		"hop after the answer": {1, []*e{taken("read"), final(5, "rejected", 0), sent(6, 0, "a", "")}},
		"home dies on the way": {0, []*e{
			taken("read"), entry(5, eventlog.KindRouterDown, e{}),
			{At: 9 * ms, Kind: eventlog.KindForwarded, Router: 2, Request: "t", Attempt: 1},
			{At: 9 * ms, Kind: eventlog.KindSent, Router: 2, Request: "t", Endpoint: "a", Source: "o"},
		}},
		"home dies, rule 2 holds": {2, []*e{
			taken("sign"), sent(1, 0, "a", "o"), ran(2, 0), entry(5, eventlog.KindRouterDown, e{}),
			{At: 9 * ms, Kind: eventlog.KindForwarded, Router: 2, Request: "t", Attempt: 1},
			{At: 9 * ms, Kind: eventlog.KindSent, Router: 2, Request: "t", Endpoint: "a", Source: "o"},
		}},
		"killed":                  {0, []*e{taken("read"), entry(5, eventlog.KindRouterDown, e{})}},
		"refused":                 {0, []*e{taken("read"), entry(5, eventlog.KindRefused, e{})}},
		"read again":              {0, []*e{taken("read"), sent(1, 0, "a", "o"), ran(2, 0), end(3, 0, "econnreset"), sent(4, 1, "b", "o"), final(5, "rejected", 0)}},
		"write again on proof":    {0, []*e{taken("sign"), sent(1, 0, "o", "o"), end(3, 0, "busy"), sent(4, 1, "o", "o"), ran(5, 1), end(6, 1, "done"), final(6, "completed", 0)}},
		"write again after reset": {2, []*e{taken("sign"), sent(1, 0, "o", "o"), end(3, 0, "econnreset"), sent(4, 1, "o", "o")}},
		"write again unanswered":  {2, []*e{taken("sign"), sent(1, 0, "o", "o"), sent(4, 1, "o", "o")}},
		"write rejected on proof": {0, []*e{taken("sign"), sent(1, 0, "o", "o"), end(3, 0, "econnrefused"), final(4, "rejected", 0)}},
		"write rejected, ran":     {2, []*e{taken("sign"), sent(1, 0, "o", "o"), ran(2, 0), end(3, 0, "econnreset"), final(4, "rejected", 0)}},
		"write aborted, ran":      {0, []*e{taken("sign"), sent(1, 0, "o", "o"), ran(2, 0), end(3, 0, "econnreset"), final(4, "aborted", 0)}},
		"keyed within":            {0, []*e{taken("keyed"), sent(1, 0, "o", "o"), end(3, 0, "econnreset"), sent(90, 1, "o", "o"), final(99, "rejected", 0)}},
		"keyed past its window":   {2, []*e{taken("keyed"), sent(1, 0, "o", "o"), end(3, 0, "econnreset"), sent(101, 1, "o", "o")}},
		"drained within grace":    {0, []*e{told(0, "a", "leaving"), taken("read"), sent(500, 0, "a", "o"), final(501, "rejected", 0)}},
		"drained":                 {3, []*e{told(0, "a", "leaving"), taken("read"), sent(501, 0, "a", "o")}},
		"drained source":          {3, []*e{told(0, "p", "left"), taken("read"), sent(501, 0, "a", "p")}},
		"told twice":              {3, []*e{told(0, "a", "leaving"), told(400, "a", "left"), taken("read"), sent(600, 0, "a", "o")}},
		"back again":              {0, []*e{told(0, "a", "left"), told(400, "a", "active"), taken("read"), sent(900, 0, "a", "o"), final(901, "rejected", 0)}},
		"never told":              {3, []*e{entry(0, eventlog.KindListed, e{Endpoint: "a", State: "left"}), taken("read"), sent(7501, 0, "a", "o")}},
		"not told yet":            {0, []*e{entry(0, eventlog.KindListed, e{Endpoint: "a", State: "left"}), taken("read"), sent(900, 0, "a", "o"), final(901, "rejected", 0)}},
		"cold":                    {4, []*e{entry(3, eventlog.KindOverloaded, e{Endpoint: "a"})}},
		"older than a purge": {5, []*e{
			entry(100, eventlog.KindPurgeNotified, e{Object: "o", Until: 90 * ms}), taken("read"), sent(401, 0, "a", "o"),
			end(410, 0, "done"), final(410, "completed", 89),
		}},
		"of a group": {5, []*e{
			entry(100, eventlog.KindPurgeNotified, e{Group: 3, Until: 90 * ms}), taken("read"), sent(401, 0, "a", "o"),
			end(410, 0, "done"), final(410, "completed", 89),
		}},
		"sent within grace": {0, []*e{
			entry(100, eventlog.KindPurgeNotified, e{Object: "o", Until: 90 * ms}), taken("read"), sent(400, 0, "a", "o"),
			end(410, 0, "done"), final(410, "completed", 89),
		}},
		"given out since": {0, []*e{
			entry(100, eventlog.KindPurgeNotified, e{Object: "o", Until: 90 * ms}), taken("read"), sent(401, 0, "a", "o"),
			end(410, 0, "done"), final(410, "completed", 90),
		}},
		"due while it stood still":        {0, []*e{taken("read"), stop(500), entry(1010, eventlog.KindLeft, e{})}},
		"answered as it woke":             {0, []*e{taken("read"), stop(500), wake(2000), final(2200, "aborted", 0)}},
		"answered long after it woke":     {1, []*e{taken("read"), stop(500), wake(2000), final(2301, "aborted", 0)}},
		"due after it woke":               {1, []*e{taken("read"), stop(100), wake(600), entry(1010, eventlog.KindLeft, e{})}},
		"stood still before":              {1, []*e{stop(-900), wake(-400), taken("read"), final(1009, "aborted", 0)}},
		"drained while it stood, in time": {0, []*e{stop(-100), told(0, "a", "leaving"), wake(700), takenLong, sent(1200, 0, "a", "o"), final(1201, "rejected", 0)}},
		"drained while it stood":          {3, []*e{stop(-100), told(0, "a", "leaving"), wake(700), taken("read"), sent(1201, 0, "a", "o")}},
		"never told, woken": {0, []*e{
			entry(0, eventlog.KindListed, e{Endpoint: "a", State: "left"}), stop(5000), wake(9000), takenLong, sent(9400, 0, "a", "o"),
			final(9401, "rejected", 0),
		}},
		"purged while it stood": {5, []*e{
			stop(50), entry(100, eventlog.KindPurgeNotified, e{Object: "o", Until: 90 * ms}), wake(400), taken("read"), sent(701, 0, "a", "o"),
			end(710, 0, "done"), final(710, "completed", 89),
		}},
		"another group": {0, []*e{
			entry(100, eventlog.KindPurgeNotified, e{Group: 4, Until: 90 * ms}), taken("read"), sent(401, 0, "a", "o"),
			end(410, 0, "done"), final(410, "completed", 89),
		}},
	} {
		r := New(Settings{
			AnswerSlack: 8 * ms, DrainGrace: 500 * ms, PurgeGrace: 300 * ms, NotificationDeadline: 7 * second,
			Classes: []policy.TrafficClass{
				{Name: "read", Effect: policy.EffectIdempotent},
				{Name: "sign", Effect: policy.EffectUnsafe, Write: true},
				{Name: "keyed", Effect: policy.EffectIdempotencyKey, DedupWindow: 100 * ms},
			},
		})
		for _, l := range c.lines {
			r.Observe(l)
		}
		total := 0
		for rule, n := range r.CountByRule {
			if total += n; n > 0 && rule != c.rule {
				t.Errorf("%s: rule %d: %v", name, rule, r.Violations)
			}
		}
		if c.rule > 0 && total == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}
