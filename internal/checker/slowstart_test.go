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

func fell(at int64) *eventlog.Entry {
	return entry(at, eventlog.KindOverloaded, eventlog.Entry{Endpoint: "a", Work: 3})
}

// Guards against endpoints that fall over before any router could know of their start being held against the routers,
// and against those being passed over that fall by work of routers that know it.
func TestOverloadCountsWhereRoutersKnewOfTheStart(t *testing.T) {
	checkRules(t, []ruleCase{
		{"not notified yet", 0, []*eventlog.Entry{
			notifiedOfStart(0, 0), started(100), warmingWorkOf(200, 3), fell(200),
		}},
		{"notified", 4, []*eventlog.Entry{
			started(100), notifiedOfStart(150, 100), warmingWorkOf(200, 3), fell(200),
		}},
		{"two thirds by then", 4, []*eventlog.Entry{
			started(100), warmingWorkOf(120, 1), notifiedOfStart(150, 100), warmingWorkOf(200, 2), fell(200),
		}},
		{"under two thirds", 0, []*eventlog.Entry{
			started(100), warmingWorkOf(120, 1.1), notifiedOfStart(150, 100), warmingWorkOf(200, 1.9), fell(200),
		}},
		{"before the window", 4, []*eventlog.Entry{
			started(100), warmingWorkOf(120, 3), notifiedOfStart(150, 100), warmingWorkOf(1120, 3), fell(1120),
		}},
		{"counts as notified", 4, []*eventlog.Entry{
			started(100), listedStart(100, 100), warmingWorkOf(7100, 3), fell(7100),
		}},
		{"does not count as notified yet", 0, []*eventlog.Entry{
			started(100), listedStart(100, 100), warmingWorkOf(7099, 3), fell(7099),
		}},
		{"of an earlier start", 0, []*eventlog.Entry{
			started(100), notifiedOfStart(150, 100), started(300), warmingWorkOf(350, 3), fell(350),
		}},
		{"work that the log does not show", 4, []*eventlog.Entry{started(100), warmingWorkOf(150, 1), fell(200)}},
		{"a router that starts with the list", 4, []*eventlog.Entry{
			started(100), listedStart(100, 100), entry(150, eventlog.KindRouterUp, eventlog.Entry{}),
			warmingWorkOf(200, 3), fell(200),
		}},
	})
}
