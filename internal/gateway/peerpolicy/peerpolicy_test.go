package peerpolicy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

const start = 100 * second

func gate(peers ...string) *Controller {
	sites := map[string]string{}
	for _, p := range peers {
		sites[p] = "south"
	}
	return New(Settings{Name: "n", Site: "north", MaxRequests: 40, LocalReserve: 0.5, HeartbeatInterval: 250 * ms}, sites)
}

// trusted makes a peer one that anything may be handed to.
func trusted(g *Controller, now int64, name string, room int) *Peer {
	g.Connected(now, name, 1)
	g.Heartbeat(now, name, room, false, 20*ms)
	p := g.Peer(name)
	p.Limit = 10
	g.Actions()
	return p
}

func TestTrust(t *testing.T) {
	g := gate("a")
	p := g.Peer("a")
	step := func(what string, want PeerState) {
		t.Helper()
		if p.State != want {
			t.Fatalf("%s: %v, want %v", what, p.State, want)
		}
	}
	if g.Heartbeat(start, "a", 5, false, 0); p.State != StateDisconnected {
		t.Fatal("a beat without a connection")
	}
	g.Connected(start, "a", 7)
	step("up", StateProbation)
	if _, r := g.Forward(start, &Request{RequestID: "t", Deadline: start + second}); r != ReasonNoPeer {
		t.Fatalf("handed over on trial: %v", r)
	}
	g.Heartbeat(start, "a", 5, false, 0)
	step("beat", StateHealthy)
	g.Tick(start + 500*ms)
	step("two beats", StateHealthy)
	g.Tick(start + 501*ms)
	step("later", StateSuspect)
	if _, r := g.Forward(start, &Request{RequestID: "t", Deadline: start + second}); r != ReasonNoPeer {
		t.Fatalf("handed over in doubt: %v", r)
	}
	g.Heartbeat(start+600*ms, "a", 5, false, 0)
	step("heard", StateHealthy)
	g.Heartbeat(start+700*ms, "a", 5, true, 0)
	step("drains", StateDraining)
	g.Tick(start + 700*ms + 5*250*ms + 1)
	step("silent", StateDisconnected)
	if a := g.Actions(); len(a) != 1 || a[0].Kind != ActionDisconnect {
		t.Fatalf("%+v", a)
	}
	if g.Connected(start, "a", 6) || !g.Connected(start, "a", 7) || !g.Connected(start, "a", 8) || p.State != StateProbation {
		t.Fatal("a ghost was greeted, or its successor was not")
	}
	if g.Connected(start, "stranger", 1) {
		t.Fatal("a stranger was greeted")
	}
}

func TestWhoIsChosen(t *testing.T) {
	g := gate("a", "b")
	a, b := trusted(g, start, "a", 4), trusted(g, start, "b", 2)
	ask := func(n int) *Request { return &Request{RequestID: fmt.Sprint(n), Deadline: start + second} }
	got := ""
	for n := range 7 {
		p, r := g.Forward(start, ask(n))
		if p == nil {
			got += " " + r.String()
			continue
		}
		got += " " + p.Name
	}
	if got != " a b a a b a no_room" {
		t.Fatalf("order%s", got)
	}
	if a.InFlight != 4 || b.InFlight != 2 {
		t.Fatalf("%d and %d out", a.InFlight, b.InFlight)
	}
	for name, c := range map[string]struct {
		ask  Request
		want Reason
	}{
		"may have run": {Request{RequestID: "x", Effect: EffectUnsafe, Deadline: start + second}, ReasonMaybeExecuted},
		"keyed":        {Request{RequestID: "x", Effect: EffectIdempotencyKey, Deadline: start + second}, ReasonMaybeExecuted},
		"from afar":    {Request{RequestID: "x", Route: []string{"m"}, Deadline: start + second}, ReasonRoutingLoop},
		"across":       {Request{RequestID: "1", Deadline: start + second}, ReasonDuplicate},
		"no time":      {Request{RequestID: "x", Deadline: start + 100*ms}, ReasonNoTime},
	} {
		if _, r := g.Forward(start, &c.ask); r != c.want {
			t.Errorf("%s: %v, want %v", name, r, c.want)
		}
	}
	one := gate("a")
	trusted(one, start, "a", 1000).Limit = 1000
	for n := range 41 {
		if _, r := one.Forward(start, ask(n)); (r == ReasonTooMany) != (n == 40) {
			t.Fatalf("%d: %v", n, r)
		}
	}
}

// A site that is back is handed two txns at first, and more as they come back.
func TestReturnWithoutStorm(t *testing.T) {
	g := gate("a")
	now := int64(start)
	g.Connected(now, "a", 1)
	g.Heartbeat(now, "a", 1000, false, ms)
	most, n := 0, 0
	for round := range 200 {
		out := 0
		var ids []string
		for {
			id := fmt.Sprint(n)
			n++
			if _, r := g.Forward(now, &Request{RequestID: id, Deadline: now + second}); r != ReasonOK {
				break
			}
			g.MarkSent(id)
			ids, out = append(ids, id), out+1
		}
		if most = max(most, out); round == 0 && out != 2 {
			t.Fatalf("%d at first", out)
		}
		now += 20 * ms
		for _, id := range ids {
			g.HandleAnswer(now, "a", id, PeerAnswer{Outcome: OutcomeCompleted})
		}
	}
	if most < 20 {
		t.Fatalf("%d at once after 200 good rounds", most)
	}
	for range 30 { // and less where answers are bad
		now += 300 * ms
		g.Heartbeat(now, "a", 1000, false, ms)
		id := fmt.Sprint(n)
		n++
		g.Forward(now, &Request{RequestID: id, Deadline: now + second})
		g.MarkSent(id)
		g.HandleAnswer(now, "a", id, PeerAnswer{Outcome: OutcomeRejected, NeverRan: true})
	}
	if l := g.Peer("a").Limit; l > 2 {
		t.Fatalf("limit %.1f after thirty refusals", l)
	}
}

func TestWhatIsTakenFromPeers(t *testing.T) {
	g := gate("a", "b")
	trusted(g, start, "a", 0)
	for name, c := range map[string]struct {
		peer  string
		route []string
		delay int64
		want  Reason
	}{
		"good":          {"a", []string{"a"}, 0, ReasonOK},
		"stranger":      {"x", []string{"x"}, 0, ReasonNoPeer},
		"no route":      {"a", nil, 0, ReasonRoutingLoop},
		"another's":     {"a", []string{"b"}, 0, ReasonRoutingLoop},
		"two hops":      {"a", []string{"a", "b"}, 0, ReasonRoutingLoop},
		"our own":       {"a", []string{"n"}, 0, ReasonRoutingLoop},
		"lay in wait":   {"a", []string{"a"}, 501 * ms, ReasonNoTime},
		"a little late": {"a", []string{"a"}, 500 * ms, ReasonOK},
	} {
		if r := g.Admit(start, c.peer, name, c.route, c.delay); r != c.want {
			t.Errorf("%s: %v, want %v", name, r, c.want)
		}
	}
	if r := g.Admit(start, "a", "good", []string{"a"}, 0); r != ReasonDuplicate {
		t.Errorf("the same again: %v", r)
	}
	n := 0
	for g.Admit(start, "a", fmt.Sprint(n), []string{"a"}, 0) == ReasonOK {
		n++
	}
	if n+2 != inFirst || g.OfferedCapacity(start) != 0 {
		t.Fatalf("%d at first, %d offered", n+2, g.OfferedCapacity(start))
	}
	for id := range n {
		g.FinishInbound(start, "a", fmt.Sprint(id), true)
	}
	// However well it goes, the reserve stays home's.
	for range 10_000 {
		g.Admit(start, "a", "x", []string{"a"}, 0)
		g.FinishInbound(start, "a", "x", true)
		g.inCap = 1000
	}
	for n = g.InboundInFlight(); g.Admit(start, "a", fmt.Sprint("y", n), []string{"a"}, 0) == ReasonOK; n++ {
	}
	if n != 20 {
		t.Fatalf("%d taken of 40 with half in reserve", n)
	}
	h := gate("a")
	for range 7 {
		h.ObserveLocal(start, false)
	}
	h.ObserveLocal(start, true)
	if r := h.Admit(start, "a", "z", []string{"a"}, 0); r != ReasonLocalPriority || h.OfferedCapacity(start) != 0 {
		t.Fatalf("taken while home is refused: %v", r)
	}
	if r := h.Admit(start+2*second, "a", "z", []string{"a"}, 0); r != ReasonOK {
		t.Fatalf("long after: %v", r)
	}
}

func TestOlderThanAPurgeIsNotPassedOn(t *testing.T) {
	for issued, want := range map[int64]Outcome{999: OutcomeRejected, 1000: OutcomeRejected, 1001: OutcomeCompleted} {
		g := gate("a")
		trusted(g, start, "a", 9)
		g.Forward(start, &Request{RequestID: "t", Deadline: start + second})
		g.MarkSent("t")
		g.HandleAnswer(start, "a", "t", PeerAnswer{Outcome: OutcomeCompleted, IssuedMillis: issued, LatestPurgeMillis: 1000})
		if a := g.Actions(); len(a) != 1 || a[0].Outcome != want {
			t.Errorf("issued %d: %+v", issued, a)
		}
	}
}

// duo is one txn and all that can happen to it between the two ends: the home end
// is the gate, the far end and the wire are written out here.
type duo struct {
	g        *Controller
	effect   Effect
	onWire   bool        // the request
	coming   *PeerAnswer // an answer on the wire
	up       bool
	far      string // "", "has" it, "ran" it
	runs     int
	answers  []Outcome
	now      int64
	crossed  bool
	left     bool
	restarts int
}

// moves are what can happen; each tells whether it could.
var moves = []struct {
	name string
	do   func(d *duo) bool
}{
	{"cross", func(d *duo) bool {
		if d.crossed {
			return false
		}
		d.crossed = true
		_, r := d.g.Forward(d.now, &Request{RequestID: "t", Effect: d.effect, NeverRan: true, Deadline: d.now + second})
		return r == ReasonOK
	}},
	{"write", func(d *duo) bool {
		if !d.up || d.onWire || d.far != "" || !d.g.MarkSent("t") {
			return false
		}
		d.onWire = true
		return true
	}},
	{"write again", func(d *duo) bool { // as a careless writer would
		if !d.up || d.onWire || !d.g.IsForwarded("t") || d.far == "" {
			return false
		}
		if _, r := d.g.Forward(d.now, &Request{RequestID: "t", Effect: d.effect, NeverRan: true, Deadline: d.now + second}); r == ReasonOK {
			d.onWire = true
			return true
		}
		return false
	}},
	{"come", func(d *duo) bool {
		if !d.onWire {
			return false
		}
		d.onWire, d.far = false, "has"
		return true
	}},
	{"run", func(d *duo) bool { // also once its asker is gone: a far side that wakes up late
		if d.far != "has" {
			return false
		}
		d.far = "ran"
		d.runs++
		return true
	}},
	{"turn away", func(d *duo) bool {
		if d.far != "has" || !d.up || d.coming != nil {
			return false
		}
		d.far, d.coming = "", &PeerAnswer{Outcome: OutcomeRejected, NeverRan: true}
		return true
	}},
	{"answer", func(d *duo) bool {
		if d.far != "ran" || !d.up || d.coming != nil {
			return false
		}
		d.coming = &PeerAnswer{Outcome: OutcomeCompleted}
		return true
	}},
	{"fail", func(d *duo) bool {
		if d.far != "ran" || !d.up || d.coming != nil {
			return false
		}
		d.coming = &PeerAnswer{Outcome: OutcomeAborted}
		return true
	}},
	{"refuse after it ran", func(d *duo) bool { // a repeatable one may be refused though it ran
		if d.far != "ran" || !d.up || d.coming != nil {
			return false
		}
		d.coming = &PeerAnswer{Outcome: OutcomeRejected}
		return true
	}},
	{"deliver", func(d *duo) bool {
		if d.coming == nil {
			return false
		}
		d.g.HandleAnswer(d.now, "a", "t", *d.coming)
		d.coming = nil
		return true
	}},
	{"deliver twice", func(d *duo) bool {
		if d.coming == nil {
			return false
		}
		d.g.HandleAnswer(d.now, "a", "t", *d.coming)
		return true
	}},
	{"cut", func(d *duo) bool { // bytes on the wire may still come, or not
		if !d.up {
			return false
		}
		d.up, d.coming = false, nil
		d.g.Disconnected("a")
		return true
	}},
	{"lose the wire", func(d *duo) bool {
		if d.up || !d.onWire {
			return false
		}
		d.onWire = false
		return true
	}},
	{"join", func(d *duo) bool {
		if d.up || d.restarts > 1 {
			return false
		}
		d.restarts++
		d.up = true
		d.g.Connected(d.now, "a", uint64(1+d.restarts))
		d.g.Heartbeat(d.now, "a", 9, false, ms)
		return true
	}},
	{"time is over", func(d *duo) bool {
		if d.now > start+second {
			return false
		}
		d.now += 2 * second
		d.g.Heartbeat(d.now, "a", 9, false, ms)
		d.g.Tick(d.now)
		return true
	}},
	{"client leaves", func(d *duo) bool {
		if d.left || !d.g.IsForwarded("t") {
			return false
		}
		d.left = true
		d.g.ClientGone("t")
		return true
	}},
}

func newDuo(effect Effect) *duo {
	d := &duo{g: gate("a"), effect: effect, up: true, now: start}
	trusted(d.g, start, "a", 9)
	return d
}

// step makes a move and judges the rules at once.
func (d *duo) step(i int) (could bool, broken string) {
	could = moves[i].do(d)
	for _, a := range d.g.Actions() {
		if a.Kind == ActionAnswer {
			d.answers = append(d.answers, a.Outcome)
		}
	}
	switch {
	case len(d.answers) > 1:
		broken = "two answers"
	case d.left && len(d.answers) > 0:
		broken = "an answer to a client that had left"
	case d.effect != EffectIdempotent && d.runs > 1:
		broken = "run twice"
	case d.effect != EffectIdempotent && d.runs > 0 && len(d.answers) > 0 && d.answers[0] == OutcomeRejected:
		broken = "rejected, and it ran"
	}
	return could, broken
}

func (d *duo) key() string {
	state := state(0)
	if c := d.g.out["t"]; c != nil {
		state = c.state
	}
	return fmt.Sprint(d.effect, d.onWire, d.coming, d.up, d.far, d.runs, d.answers, d.now, d.crossed, d.left, d.restarts, state, d.g.Peer("a").State)
}

// Every order of what can happen to one txn, from the first move to the last: no
// state that can be reached breaks a rule, and each ends with one outcome.
func TestEveryOrderOfEvents(t *testing.T) {
	for _, effect := range []Effect{EffectIdempotent, EffectIdempotencyKey, EffectUnsafe} {
		seen := map[string]bool{}
		edges := 0
		type path []int
		queue := []path{{}}
		for len(queue) > 0 {
			p := queue[0]
			queue = queue[1:]
			for i := range moves {
				d := newDuo(effect)
				for _, j := range p {
					d.step(j)
				}
				could, broken := d.step(i)
				if broken != "" {
					var names []string
					for _, j := range append(p, i) {
						names = append(names, moves[j].name)
					}
					t.Fatalf("effect %d: %s after %q", effect, broken, names)
				}
				edges++
				if k := d.key(); could && !seen[k] {
					seen[k] = true
					queue = append(queue, append(p[:len(p):len(p)], i))
					// Whatever the state, time brings an end.
					if d.now += 10 * second; d.g.IsForwarded("t") {
						d.g.Tick(d.now)
						for _, a := range d.g.Actions() {
							if a.Kind == ActionAnswer {
								d.answers = append(d.answers, a.Outcome)
							}
						}
						if d.g.IsForwarded("t") || len(d.answers) != 1 {
							t.Fatalf("effect %d: %d answers at the end of time", effect, len(d.answers))
						}
					}
				}
			}
		}
		if len(seen) < 100 {
			t.Fatalf("%d states: too few to tell anything", len(seen))
		}
		t.Logf("effect %d: %d states, %d moves tried", effect, len(seen), edges)
	}
}

// Long random lives of many txns: as many answers as were handed over, and the
// books agree.
func TestLongLives(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		g := gate("a", "b")
		now, n := int64(start), 0
		open, answers := map[string]bool{}, map[string]int{}
		for range 400 {
			now += r.Int64N(100 * ms)
			name := []string{"a", "b"}[r.IntN(2)]
			var id string
			if ids := slices.Sorted(maps.Keys(open)); len(ids) > 0 {
				id = ids[r.IntN(len(ids))]
			}
			switch r.IntN(9) {
			case 0:
				g.Connected(now, name, uint64(r.IntN(5)))
			case 1:
				g.Disconnected(name)
			case 2, 3:
				g.Heartbeat(now, name, r.IntN(20), r.IntN(40) == 0, int64(r.IntN(1000)))
			case 4:
				g.Tick(now)
			case 5:
				g.HandleAnswer(now, name, id, PeerAnswer{Outcome: Outcome(1 + r.IntN(3)), NeverRan: r.IntN(2) == 0})
			case 6:
				g.MarkSent(id)
			default:
				n++
				id := fmt.Sprint(n)
				if _, why := g.Forward(now, &Request{RequestID: id, Effect: Effect(r.IntN(3)), NeverRan: true, Deadline: now + r.Int64N(second)}); why == ReasonOK {
					open[id] = true
				}
			}
			for _, a := range g.Actions() {
				if a.Kind == ActionAnswer {
					answers[a.RequestID]++
					if !open[a.RequestID] || answers[a.RequestID] > 1 {
						t.Fatalf("txn %s answered %d times", a.RequestID, answers[a.RequestID])
					}
					delete(open, a.RequestID)
				}
			}
			out := 0
			for _, p := range g.Peers() {
				if p.InFlight < 0 || p.State == StateDisconnected && p.InFlight > 0 {
					t.Fatalf("%d out at %v peer", p.InFlight, p.State)
				}
				out += p.InFlight
			}
			if out != g.ForwardedInFlight() || len(open) != out {
				t.Fatalf("%d out by peers, %d by the gate, %d open", out, g.ForwardedInFlight(), len(open))
			}
		}
	}
}
