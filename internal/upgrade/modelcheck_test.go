package upgrade

import (
	"strings"
	"testing"
)

const (
	// maxStates bounds the states of one search.
	maxStates = 400_000
	// maxProcesses is the number of processes above which a state's successors are not
	// searched: further processes only repeat the restart of the settled generation.
	maxProcesses = 7
)

// search visits the states that follow from every order of events, up to a number of
// states. It returns the first violation with the events that lead to it, or else the
// longest outage in microseconds.
func search(kills, stops, delays int, variant modelVariant, limit int) (
	states int, violation string, longestOutage int64,
) {
	visited := map[string]bool{}
	pending := []model{newModel(kills, stops, delays, variant)}
	for len(pending) > 0 && states < limit {
		current := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		key := current.key()
		if visited[key] {
			continue
		}
		visited[key] = true
		states++
		problem, outage := current.check()
		if problem != "" {
			return states, problem + " after " + strings.Join(current.path, ", "), 0
		}
		longestOutage = max(longestOutage, outage)
		if len(current.processes) > maxProcesses {
			continue
		}
		for _, move := range current.moves() {
			next := current.clone()
			next.path = append(next.path, move(&next))
			next.noticeEnds()
			pending = append(pending, next)
		}
	}
	return states, "", longestOutage
}

// Guards against two generations that serve at once, and against an upgrade that ends with
// no generation serving or with one that is not settled. The search covers every order of
// messages, timeouts, kills and stops of any process.
func TestOneGenerationServesInEveryOrder(t *testing.T) {
	for _, c := range []struct{ kills, stops, delays int }{{1, 0, 4}, {2, 0, 2}, {3, 0, 0}, {0, 2, 2}, {2, 1, 1}} {
		states, violation, longestOutage := search(c.kills, c.stops, c.delays, faultless, maxStates)
		t.Logf("%d kills, %d stops, %d delayed messages: %d states; no process served for at most %.2f s",
			c.kills, c.stops, c.delays, states, float64(longestOutage)/1e6)
		if violation != "" {
			t.Errorf("%+v: %s", c, violation)
		}
	}
}

// Guards against a search that misses violations: it must find one where processes serve
// without the lock, and one where the state file is written before the new process is
// notified that it is settled.
func TestSearchFindsFaultyVariants(t *testing.T) {
	for _, variant := range []modelVariant{noLock, fileFirst} {
		states, violation, _ := search(1, 0, 2, variant, maxStates)
		if violation == "" {
			t.Errorf("%v: no violation found in %d states", variant, states)
		} else {
			t.Logf("%v: %s", variant, violation)
		}
	}
}
