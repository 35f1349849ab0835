package checker

import (
	"testing"

	"quilldoor/internal/eventlog"
)

func started(at int64) *eventlog.Entry {
	return entry(at, eventlog.KindStarted, eventlog.Entry{Endpoint: "a"})
}

func notifiedOfStart(at, startedAt int64) *eventlog.Entry {
	return entry(at, eventlog.KindNotified, eventlog.Entry{Endpoint: "a", State: "active", StartedAt: startedAt * ms})
}

func listedStart(at, startedAt int64) *eventlog.Entry {
	return entry(at, eventlog.KindListed, eventlog.Entry{Endpoint: "a", State: "active", StartedAt: startedAt * ms})
}

func warmingWorkOf(at int64, seconds float64) *eventlog.Entry {
	return entry(at, eventlog.KindWarmingWork, eventlog.Entry{Endpoint: "a", Work: seconds})
}

func overloaded(at int64) *eventlog.Entry {
	return entry(at, eventlog.KindOverloaded, eventlog.Entry{Endpoint: "a", Work: 3})
}

// Guards against counting a collapse as a violation when the routers had not been notified of the start, and
// against not counting one that notified routers caused, by two thirds of the work or more.
func TestOverloadCountsWhereRoutersKnewOfTheStart(t *testing.T) {
	checkRules(t, []ruleCase{
		{"not notified yet", 0, []*eventlog.Entry{
			notifiedOfStart(0, 0), started(100), warmingWorkOf(200, 3), overloaded(200),
		}},
		{"notified", 4, []*eventlog.Entry{
			started(100), notifiedOfStart(150, 100), warmingWorkOf(200, 3), overloaded(200),
		}},
		{"two thirds after the notification", 4, []*eventlog.Entry{
			started(100), warmingWorkOf(120, 1), notifiedOfStart(150, 100), warmingWorkOf(200, 2), overloaded(200),
		}},
		{"under two thirds after the notification", 0, []*eventlog.Entry{
			started(100), warmingWorkOf(120, 1.1), notifiedOfStart(150, 100), warmingWorkOf(200, 1.9), overloaded(200),
		}},
		{"work from before the notification and the window", 4, []*eventlog.Entry{
			started(100), warmingWorkOf(120, 3), notifiedOfStart(150, 100), warmingWorkOf(1120, 3), overloaded(1120),
		}},
		{"counts as notified", 4, []*eventlog.Entry{
			started(100), listedStart(100, 100), warmingWorkOf(7100, 3), overloaded(7100),
		}},
		{"does not count as notified yet", 0, []*eventlog.Entry{
			started(100), listedStart(100, 100), warmingWorkOf(7099, 3), overloaded(7099),
		}},
		{"notified of an earlier start", 0, []*eventlog.Entry{
			started(100), notifiedOfStart(150, 100), started(300), warmingWorkOf(350, 3), overloaded(350),
		}},
		{"sent before the notification, arrived after it", 0, []*eventlog.Entry{
			taken("read"), started(100), sent(140, 0, "a", "a"), notifiedOfStart(150, 100), warmingWorkOf(200, 3), overloaded(200),
			answered(300, "rejected", 0),
		}},
		{"sent at the notification", 4, []*eventlog.Entry{
			taken("read"), started(100), notifiedOfStart(150, 100), sent(150, 0, "a", "a"), warmingWorkOf(200, 3), overloaded(200),
			answered(300, "rejected", 0),
		}},
		{"notified during a suspension, sent as the router resumes", 0, []*eventlog.Entry{
			suspended(50), started(100), notifiedOfStart(150, 100), resumed(400), warmingWorkOf(400, 3), overloaded(400),
		}},
		{"notified during a suspension, sent after the router has resumed", 4, []*eventlog.Entry{
			suspended(50), started(100), notifiedOfStart(150, 100), resumed(400), warmingWorkOf(401, 3), overloaded(401),
		}},
		{"work without an entry in the log", 4, []*eventlog.Entry{started(100), warmingWorkOf(150, 1), overloaded(200)}},
		{"router started with the current list", 4, []*eventlog.Entry{
			started(100), listedStart(100, 100), entry(150, eventlog.KindRouterUp, eventlog.Entry{}),
			warmingWorkOf(200, 3), overloaded(200),
		}},
	})
}
