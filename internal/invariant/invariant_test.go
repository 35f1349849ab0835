package invariant

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"quilldoor/internal/policy"
)

// figures of a small site: budgets of 4 cores and 2 routers, windows of a second.
var figures = Settings{
	DrainGraceMicros: 500 * ms, PurgeGraceMicros: 300 * ms, WindowMicros: second,
	SlowStart: map[string]SlowStartBudget{"box": {From: 0.25, Multiple: 2, DurationMicros: 10 * second, Routers: 2}},
}

const epoch = 1_000_000 * second

func entry(id string, state policy.EndpointState, born int64) policy.Endpoint {
	return policy.Endpoint{ID: id, Kind: "box", State: state, Weight: 4, StartedAt: born}
}

// play feeds acts ten times a second from one time to another, and judges them.
func play(j *Monitor, from, to int64, do func(now int64) *Activity) Violations {
	for now := from; now < to; now += second / 10 {
		if a := do(now); a != nil {
			j.Observe(now, 1, a)
		}
		j.Tick(now)
	}
	for range 15 { // what waits
		j.Tick(to + 2*second)
	}
	return j.Violations(1)
}

// What each rule takes to be proven, and what is borne.
func TestRules(t *testing.T) {
	to := func(id string, work float64) func(int64) *Activity {
		return func(now int64) *Activity {
			return &Activity{Endpoints: []EndpointUse{{Endpoint: id, LastSentMicros: now, WorkMicros: work}}}
		}
	}
	for _, c := range []struct {
		name string
		want Rule // 0: nothing is proven
		do   func(j *Monitor) Violations
	}{
		{"calm", 0, func(j *Monitor) Violations { return play(j, epoch, epoch+30*second, to("a", 0.05e6)) }},
		{"drained, on and on", RuleDrained, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointDraining, 0)})
			return play(j, epoch, epoch+12*second, to("a", 0))
		}},
		{"named as source", RuleDrained, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointGone, 0)})
			return play(j, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSourcedMicros: now}}}
			})
		}},
		{"drained, as long as a way to the board may hang", 0, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointDraining, 0)})
			return play(j, epoch, epoch+7*second, to("a", 0))
		}},
		{"drained, and back before that comes here", 0, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointDraining, 0)})
			return play(j, epoch+10*second, epoch+30*second, func(now int64) *Activity {
				if now == epoch+10*second+900*ms {
					j.EndpointsChanged(now, false, []policy.Endpoint{entry("a", policy.EndpointActive, 0)})
				}
				return to("a", 0)(now)
			})
		}},
		{"drained, while the board can't be reached", 0, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointDraining, 0)})
			j.SetBlind(epoch+second, true)
			return play(j, epoch+10*second, epoch+30*second, to("a", 0))
		}},
		{"left out of a whole list", RuleDrained, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, true, []policy.Endpoint{entry("b", policy.EndpointActive, 0)})
			return play(j, epoch, epoch+12*second, to("a", 0))
		}},
		{"old copies, on and on", RuleStale, func(j *Monitor) Violations {
			j.Purged(epoch, "", 7, epoch-second)
			return play(j, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Responses: []Response{{Object: hash("x"), Group: 7, SentMicros: now, IssuedMicros: epoch - 2*second}}}
			})
		}},
		{"of an object by name", RuleStale, func(j *Monitor) Violations {
			j.Purged(epoch, "x", 0, epoch-second)
			return play(j, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Responses: []Response{{Object: hash("x"), Group: 9, SentMicros: now, IssuedMicros: epoch - 2*second}}}
			})
		}},
		{"of another object, and newer ones", 0, func(j *Monitor) Violations {
			j.Purged(epoch, "x", 0, epoch-second)
			j.Purged(epoch, "", 7, epoch-second)
			return play(j, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Responses: []Response{{Object: hash("y"), Group: 9, SentMicros: now, IssuedMicros: epoch - 2*second}, {Object: hash("x"), Group: 7, SentMicros: now, IssuedMicros: epoch - second}}}
			})
		}},
		{"asked for before the purge was told", 0, func(j *Monitor) Violations {
			j.Purged(epoch, "", 7, epoch-second)
			return play(j, epoch, epoch+12*second, func(int64) *Activity {
				return &Activity{Responses: []Response{{Group: 7, SentMicros: epoch - ms, IssuedMicros: epoch - 2*second}}}
			})
		}},
		{"a cold server's part, twice", RuleOverBudget, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointActive, epoch)})
			return play(j, epoch, epoch+2*second, to("a", 0.3e6)) // 3 s of work a second; at 1 s its part is 2 * (0.25+0.075) * 4 / 2
		}},
		{"a cold server's part", 0, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointActive, epoch)})
			return play(j, epoch, epoch+20*second, to("a", 0.09e6))
		}},
		{"a warm one", 0, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointActive, epoch-11*second)})
			return play(j, epoch, epoch+5*second, to("a", 2e6))
		}},
		{"words that come late and together", 0, func(j *Monitor) Violations {
			j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointActive, epoch)})
			for i := range int64(30) {
				j.Observe(epoch+3*second, 1, to("a", 0.09e6)(epoch+i*second/10))
			}
			return j.Violations(1)
		}},
		{"an effect twice", RuleDuplicate, func(j *Monitor) Violations {
			return play(j, epoch, epoch+second, func(now int64) *Activity {
				if now == epoch {
					return &Activity{DuplicateAttempts: 1}
				}
				return nil
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := New(figures)
			j.EndpointsChanged(epoch-100*second, true, []policy.Endpoint{entry("a", policy.EndpointActive, 0), entry("b", policy.EndpointActive, 0)})
			s := c.do(j)
			want := uint8(0)
			if c.want != 0 {
				want = 1 << c.want
			}
			if s.Rules != want || (s.Text != "") != (want != 0) {
				t.Errorf("%+v", s)
			}
			if c.want != 0 && !strings.HasPrefix(s.Text, fmt.Sprintf("rule %d, ", c.want)) {
				t.Error(s.Text)
			}
			for range 100 { // what is old does not count for ever
				j.Tick(epoch + 200*second)
			}
			if s := j.Violations(1); s.Rules != 0 {
				t.Errorf("after minutes: %+v", s)
			}
		})
	}
}

// router is one that hears the same board on a way of its own, keeps the rules by what
// it has heard, and tells of its acts.
type router struct {
	deafDrains, deafPurges bool
	state                  map[string]policy.EndpointState
	purged                 []purge // told: when it heard
}

// world draws a board's news and a router that hears them up to two seconds later than
// the witness or sooner, with both cut off at times, and returns what was seen.
func world(draw func(what string, low, high int64) int64, r *router) Violations {
	j := New(figures)
	ids := []string{"a", "b", "c"}
	var list []policy.Endpoint
	r.state = map[string]policy.EndpointState{}
	for _, id := range ids {
		list = append(list, entry(id, policy.EndpointActive, 0))
		r.state[id] = policy.EndpointActive
	}
	j.EndpointsChanged(epoch, true, list)
	type news struct {
		at int64
		do func(now int64)
	}
	var mine, theirs []news
	cut := int64(0) // the board tells nobody before
	tell := func(now int64, to *[]news, late int64, do func(int64)) {
		at := max(now, cut) + late
		for _, n := range *to { // in order
			at = max(at, n.at)
		}
		*to = append(*to, news{at, do})
	}
	down := map[string]bool{}
	blind := false
	for now := int64(epoch); now < epoch+40*second; now += second / 10 {
		switch draw("event", 0, 30) {
		case 0, 1:
			id := ids[draw("server", 0, 2)]
			down[id] = !down[id]
			state := map[bool]policy.EndpointState{true: policy.EndpointDraining, false: policy.EndpointActive}[down[id]]
			tell(now, &mine, draw("late here", 0, 900*ms), func(now int64) { j.EndpointsChanged(now, false, []policy.Endpoint{entry(id, state, 0)}) })
			tell(now, &theirs, draw("late there", 0, 900*ms), func(int64) { r.state[id] = state })
		case 2, 3:
			group := draw("group", 0, 2)
			tell(now, &mine, draw("late here", 0, 900*ms), func(at int64) { j.Purged(at, "", group, now) })
			tell(now, &theirs, draw("late there", 0, 900*ms), func(at int64) { r.purged = append(r.purged, purge{group: group, made: now, told: at}) })
		case 4:
			if now >= cut {
				cut = now + draw("cut", second, 6*second)
			}
		}
		for _, q := range []*[]news{&mine, &theirs} {
			for len(*q) > 0 && (*q)[0].at <= now {
				(*q)[0].do(now)
				*q = (*q)[1:]
			}
		}
		if cutNow := now < cut; cutNow != blind {
			blind = cutNow
			j.SetBlind(now, blind)
		}
		a := &Activity{}
		for _, id := range ids {
			if r.state[id] == policy.EndpointActive || r.deafDrains {
				a.Endpoints = append(a.Endpoints, EndpointUse{Endpoint: id, LastSentMicros: now})
			}
		}
		for g := range int64(3) {
			x := Response{Group: g, SentMicros: now, IssuedMicros: now - 10*second}
			for _, p := range r.purged {
				if p.group == g && !r.deafPurges {
					x.IssuedMicros = max(x.IssuedMicros, p.made)
				}
			}
			a.Responses = append(a.Responses, x)
		}
		j.Observe(now, 1, a)
		j.Tick(now)
	}
	j.Tick(epoch + 42*second)
	return j.Violations(1)
}

// One that keeps the rules by its own news is never said to break one, whatever is told
// when; one that is deaf mostly is.
func TestWhateverIsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(what string, low, high int64) int64 { return rapid.Int64Range(low, high).Draw(t, what) }
		if s := world(draw, &router{}); s.Rules != 0 {
			t.Fatalf("a good one: %+v", s)
		}
	})
	const runs = 300
	for _, c := range []struct {
		want  Rule
		deaf  router
		least int // servers come back and boards are cut: then nothing goes on for long enough
	}{{0, router{}, 0}, {RuleDrained, router{deafDrains: true}, runs / 3}, {RuleStale, router{deafPurges: true}, runs * 9 / 10}} {
		found := 0
		for seed := range uint64(runs) {
			dice := rand.New(rand.NewPCG(seed, 5))
			r := c.deaf
			s := world(func(_ string, low, high int64) int64 { return low + dice.Int64N(high-low+1) }, &r)
			if s.Rules&^(1<<c.want) != 0 {
				t.Errorf("seed %d, %v: %+v", seed, c.want, s)
			}
			if s.Rules != 0 {
				found++
			}
		}
		if t.Logf("%v: seen in %d of %d", c.want, found, runs); found < c.least {
			t.Errorf("%v: seen in %d of %d", c.want, found, runs)
		}
	}
}

// Each guard is needed: without it a good router is accused.
func TestWrongWitnesses(t *testing.T) {
	back := func(j *Monitor) Violations { // told of a return a little sooner than the witness, time and again
		return play(j, epoch, epoch+30*second, func(now int64) *Activity {
			switch at := (now - epoch) % (5 * second); {
			case at == 0:
				j.EndpointsChanged(now, false, []policy.Endpoint{entry("a", policy.EndpointDraining, 0)})
			case at == 4*second:
				j.EndpointsChanged(now, false, []policy.Endpoint{entry("a", policy.EndpointActive, 0)})
			case at >= 3500*ms:
				return &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSentMicros: now}}}
			}
			return nil
		})
	}
	hang := func(j *Monitor) Violations {
		j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointDraining, 0)})
		return play(j, epoch, epoch+6*second, func(now int64) *Activity {
			return &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSentMicros: now}}}
		})
	}
	lost := func(j *Monitor) Violations { // it came back while the board told nobody here
		j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointDraining, 0)})
		j.SetBlind(epoch+second, true)
		return play(j, epoch+5*second, epoch+20*second, func(now int64) *Activity {
			return &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSentMicros: now}}}
		})
	}
	late := func(j *Monitor) Violations {
		j.EndpointsChanged(epoch, false, []policy.Endpoint{entry("a", policy.EndpointActive, epoch)})
		for i := range int64(30) {
			j.Observe(epoch+3*second, 1, &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSentMicros: epoch + i*second/10, WorkMicros: 0.09e6}}})
		}
		return j.Violations(1)
	}
	for name, c := range map[string]struct {
		wrong wrong
		do    func(*Monitor) Violations
	}{
		"judged at once": {wrong{atOnce: true}, back}, "a way that hangs is deafness": {wrong{noHang: true}, hang},
		"what is not told does not happen": {wrong{seesAll: true}, lost}, "work counts when its word comes": {wrong{byTheWay: true}, late},
	} {
		for _, off := range []bool{false, true} {
			j := New(figures)
			if off {
				j.wrong = c.wrong
			}
			j.EndpointsChanged(epoch-100*second, true, []policy.Endpoint{entry("a", policy.EndpointActive, 0)})
			if s := c.do(j); (s.Rules != 0) != off {
				t.Errorf("%s, guard off %v: %+v", name, off, s)
			}
		}
	}
}

// A clock that is moved accuses nobody, and what was proven stays so.
func TestJumped(t *testing.T) {
	for _, by := range []int64{-20 * second, 20 * second} {
		j := New(figures)
		j.EndpointsChanged(epoch, true, []policy.Endpoint{entry("a", policy.EndpointDraining, 0)})
		j.Purged(epoch, "", 7, epoch)
		j.ClockJumped(epoch+by+100*ms, by)
		s := play(j, epoch+by, epoch+by+2*second, func(now int64) *Activity {
			return &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSentMicros: now}}, Responses: []Response{{Group: 7, SentMicros: now, IssuedMicros: epoch - second}}}
		})
		if s.Rules != 0 {
			t.Errorf("%+d s: %+v", by/second, s)
		}
	}
}

// Bounds hold whatever comes.
func TestBounds(t *testing.T) {
	r := NewRecorder()
	for i := range 3 * mostSent {
		r.RecordAttempt(epoch, fmt.Sprint("s", i), fmt.Sprint("p", i), "page", false)
		r.RecordResponse("page", "x", 1, epoch, epoch-second, 1000)
	}
	a := r.Take()
	if len(a.Endpoints) > mostSent || len(a.Responses) > mostAnswers || a.Dropped == 0 {
		t.Error(len(a.Endpoints), len(a.Responses), a.Dropped)
	}
	if b := r.Take(); len(b.Endpoints)+len(b.Responses)+b.Dropped != 0 {
		t.Errorf("%+v", b)
	}
	j := New(figures)
	for i := range 2 * mostPurges {
		j.Purged(epoch, "", int64(i), epoch)
	}
	for i := range 2 * mostServers {
		j.EndpointsChanged(epoch, false, []policy.Endpoint{entry(fmt.Sprint("s", i), policy.EndpointGone, 0)})
	}
	for p := range uint64(2 * mostProcesses) {
		for range 2 * mostWaiting {
			j.Observe(epoch, p, a)
		}
	}
	if len(j.purges) > mostPurges || len(j.servers) > mostServers || len(j.processes) > mostProcesses || len(j.processes[0].waiting) > mostWaiting || j.Dropped == 0 {
		t.Error(len(j.purges), len(j.servers), len(j.processes), j.Dropped)
	}
	j.EndpointsChanged(epoch+keepGone+second, false, nil)
	if len(j.servers) != 0 {
		t.Errorf("%d servers that went long ago", len(j.servers))
	}
	var none *Recorder
	none.RecordAttempt(1, "a", "b", "page", true)
	none.RecordResponse("page", "x", 1, 1, 1, 1)
	if none.Take() != nil {
		t.Error("nobody looks on")
	}
	// Its own work is the mean of what answers took.
	r.RecordAttempt(epoch, "a", "a", "page", true)
	if a := r.Take(); a.DuplicateAttempts != 1 || len(a.Endpoints) != 1 || a.Endpoints[0].WorkMicros < 999 || a.Endpoints[0].WorkMicros > 1001 {
		t.Errorf("%+v", a)
	}
}
