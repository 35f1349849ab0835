package upgrade

import (
	"strings"
	"testing"
)

// search goes through every order of events, up to a number of states.
func search(kills, stops, delays int, variant modelVariant, limit int) (states int, violation string, longest int64) {
	seen := map[string]bool{}
	todo := []model{newModel(kills, stops, delays, variant)}
	for len(todo) > 0 && states < limit {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		k := s.key()
		if seen[k] {
			continue
		}
		seen[k] = true
		states++
		problem, outage := s.check()
		if problem != "" {
			return states, problem + " after " + strings.Join(s.path, ", "), 0
		}
		longest = max(longest, outage)
		if len(s.processes) > 7 { // a restart of the settled one each time: nothing new
			continue
		}
		for _, move := range s.moves() {
			n := s.clone()
			n.path = append(n.path, move(&n))
			n.noticeEnds()
			todo = append(todo, n)
		}
	}
	return states, "", longest
}

// Every order of messages, time, deaths and stops of any process: never do two
// generations serve, and in the end one does, the settled one.
func TestOneGenerationServesInEveryOrder(t *testing.T) {
	for _, c := range []struct{ kills, stops, delays int }{{1, 0, 4}, {2, 0, 2}, {3, 0, 0}, {0, 2, 2}, {2, 1, 1}} {
		states, violation, longest := search(c.kills, c.stops, c.delays, faultless, 400_000)
		t.Logf("%d kills, %d stops, %d late messages: %d states; nobody served for %.2f s at the most",
			c.kills, c.stops, c.delays, states, float64(longest)/1e6)
		if violation != "" {
			t.Errorf("%+v: %s", c, violation)
		}
	}
}

// Without the lock, or with the file written before the new process knows, the search
// finds a violation.
func TestSearchFindsFaultyVariants(t *testing.T) {
	for _, variant := range []modelVariant{noLock, fileFirst} {
		states, violation, _ := search(1, 0, 2, variant, 400_000)
		if violation == "" {
			t.Errorf("%v: not found in %d states", variant, states)
		} else {
			t.Logf("%v: %s", variant, violation)
		}
	}
}
