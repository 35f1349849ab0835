package peerpolicy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

const start = 100 * second

func newController(peers ...string) *Controller {
	sites := map[string]string{}
	for _, p := range peers {
		sites[p] = "south"
	}
	return New(Settings{Name: "n", Site: "north", MaxRequests: 40, LocalReserve: 0.5, HeartbeatInterval: 250 * ms}, sites)
}

// makeHealthy makes a peer healthy, with a limit of ten.
func makeHealthy(g *Controller, name string, capacity int) *Peer {
	g.Connected(start, name, 1)
	g.Heartbeat(start, name, capacity, false, 20*ms)
	p := g.Peer(name)
	p.Limit = 10
	g.Actions()
	return p
}

func TestPeerStates(t *testing.T) {
	g := newController("a")
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
		t.Fatalf("forwarded in probation: %v", r)
	}
	g.Heartbeat(start, "a", 5, false, 0)
	step("beat", StateHealthy)
	g.Tick(start + 500*ms)
	step("two beats", StateHealthy)
	g.Tick(start + 501*ms)
	step("later", StateSuspect)
	if _, r := g.Forward(start, &Request{RequestID: "t", Deadline: start + second}); r != ReasonNoPeer {
		t.Fatalf("forwarded to a suspect: %v", r)
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
		t.Fatal("an earlier process was accepted, or a later one was not")
	}
	if g.Connected(start, "stranger", 1) {
		t.Fatal("an unknown router was accepted")
	}
}

func TestForwardChoosesThePeerWithTheLeastShareInUse(t *testing.T) {
	g := newController("a", "b")
	a, b := makeHealthy(g, "a", 4), makeHealthy(g, "b", 2)
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
	one := newController("a")
	makeHealthy(one, "a", 1000).Limit = 1000
	for n := range 41 {
		if _, r := one.Forward(start, ask(n)); (r == ReasonTooMany) != (n == 40) {
			t.Fatalf("%d: %v", n, r)
		}
	}
}

// A site that was back once got all at once that was rejected meanwhile.
func TestReturningPeerGetsFewRequestsAtFirst(t *testing.T) {
	g := newController("a")
	now := start
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

func TestAdmit(t *testing.T) {
	g := newController("a", "b")
	makeHealthy(g, "a", 0)
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
	if n+2 != initialInboundLimit || g.OfferedCapacity(start) != 0 {
		t.Fatalf("%d at first, %d offered", n+2, g.OfferedCapacity(start))
	}
	for id := range n {
		g.FinishInbound(start, "a", fmt.Sprint(id), true)
	}
	// However well it goes, the reserve stays home's.
	for range 10_000 {
		g.Admit(start, "a", "x", []string{"a"}, 0)
		g.FinishInbound(start, "a", "x", true)
		g.inboundLimit = 1000
	}
	n = g.InboundInFlight()
	for g.Admit(start, "a", fmt.Sprint("y", n), []string{"a"}, 0) == ReasonOK {
		n++
	}
	if n != 20 {
		t.Fatalf("%d taken of 40 with half in reserve", n)
	}
	h := newController("a")
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

func TestResponseOlderThanAPurgeIsNotUsed(t *testing.T) {
	for issued, want := range map[int64]Outcome{999: OutcomeRejected, 1000: OutcomeRejected, 1001: OutcomeCompleted} {
		g := newController("a")
		makeHealthy(g, "a", 9)
		g.Forward(start, &Request{RequestID: "t", Deadline: start + second})
		g.MarkSent("t")
		g.HandleAnswer(start, "a", "t", PeerAnswer{Outcome: OutcomeCompleted, IssuedMillis: issued, LatestPurgeMillis: 1000})
		if a := g.Actions(); len(a) != 1 || a[0].Outcome != want {
			t.Errorf("issued %d: %+v", issued, a)
		}
	}
}

// exchange is one request and all that can happen to it between the two ends: the home end
// is the gate, the far end and the wire are written out here.
type exchange struct {
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
	do   func(x *exchange) bool
}{
	{"cross", func(x *exchange) bool {
		if x.crossed {
			return false
		}
		x.crossed = true
		_, r := x.g.Forward(x.now, &Request{RequestID: "t", Effect: x.effect, NeverRan: true, Deadline: x.now + second})
		return r == ReasonOK
	}},
	{"write", func(x *exchange) bool {
		if !x.up || x.onWire || x.far != "" || !x.g.MarkSent("t") {
			return false
		}
		x.onWire = true
		return true
	}},
	{"write again", func(x *exchange) bool { // as a careless writer would
		if !x.up || x.onWire || !x.g.IsForwarded("t") || x.far == "" {
			return false
		}
		if _, r := x.g.Forward(x.now, &Request{RequestID: "t", Effect: x.effect, NeverRan: true, Deadline: x.now + second}); r == ReasonOK {
			x.onWire = true
			return true
		}
		return false
	}},
	{"come", func(x *exchange) bool {
		if !x.onWire {
			return false
		}
		x.onWire, x.far = false, "has"
		return true
	}},
	{"run", func(x *exchange) bool { // also once its asker is gone: a far side that wakes up late
		if x.far != "has" {
			return false
		}
		x.far = "ran"
		x.runs++
		return true
	}},
	{"turn away", func(x *exchange) bool {
		if x.far != "has" || !x.up || x.coming != nil {
			return false
		}
		x.far, x.coming = "", &PeerAnswer{Outcome: OutcomeRejected, NeverRan: true}
		return true
	}},
	{"answer", func(x *exchange) bool {
		if x.far != "ran" || !x.up || x.coming != nil {
			return false
		}
		x.coming = &PeerAnswer{Outcome: OutcomeCompleted}
		return true
	}},
	{"fail", func(x *exchange) bool {
		if x.far != "ran" || !x.up || x.coming != nil {
			return false
		}
		x.coming = &PeerAnswer{Outcome: OutcomeAborted}
		return true
	}},
	{"refuse after it ran", func(x *exchange) bool { // a repeatable one may be refused though it ran
		if x.far != "ran" || !x.up || x.coming != nil {
			return false
		}
		x.coming = &PeerAnswer{Outcome: OutcomeRejected}
		return true
	}},
	{"deliver", func(x *exchange) bool {
		if x.coming == nil {
			return false
		}
		x.g.HandleAnswer(x.now, "a", "t", *x.coming)
		x.coming = nil
		return true
	}},
	{"deliver twice", func(x *exchange) bool {
		if x.coming == nil {
			return false
		}
		x.g.HandleAnswer(x.now, "a", "t", *x.coming)
		return true
	}},
	{"cut", func(x *exchange) bool { // bytes on the wire may still come, or not
		if !x.up {
			return false
		}
		x.up, x.coming = false, nil
		x.g.Disconnected("a")
		return true
	}},
	{"lose the wire", func(x *exchange) bool {
		if x.up || !x.onWire {
			return false
		}
		x.onWire = false
		return true
	}},
	{"join", func(x *exchange) bool {
		if x.up || x.restarts > 1 {
			return false
		}
		x.restarts++
		x.up = true
		x.g.Connected(x.now, "a", uint64(1+x.restarts))
		x.g.Heartbeat(x.now, "a", 9, false, ms)
		return true
	}},
	{"time is over", func(x *exchange) bool {
		if x.now > start+second {
			return false
		}
		x.now += 2 * second
		x.g.Heartbeat(x.now, "a", 9, false, ms)
		x.g.Tick(x.now)
		return true
	}},
	{"client leaves", func(x *exchange) bool {
		if x.left || !x.g.IsForwarded("t") {
			return false
		}
		x.left = true
		x.g.ClientGone("t")
		return true
	}},
}

func newExchange(effect Effect) *exchange {
	x := &exchange{g: newController("a"), effect: effect, up: true, now: start}
	makeHealthy(x.g, "a", 9)
	return x
}

// step makes a move and judges the rules at once.
func (x *exchange) step(i int) (could bool, broken string) {
	could = moves[i].do(x)
	for _, a := range x.g.Actions() {
		if a.Kind == ActionAnswer {
			x.answers = append(x.answers, a.Outcome)
		}
	}
	switch {
	case len(x.answers) > 1:
		broken = "two answers"
	case x.left && len(x.answers) > 0:
		broken = "an answer to a client that had left"
	case x.effect != EffectIdempotent && x.runs > 1:
		broken = "run twice"
	case x.effect != EffectIdempotent && x.runs > 0 && len(x.answers) > 0 && x.answers[0] == OutcomeRejected:
		broken = "rejected, and it ran"
	}
	return could, broken
}

func (x *exchange) key() string {
	state := forwardState(0)
	if c := x.g.forwarded["t"]; c != nil {
		state = c.state
	}
	return fmt.Sprint(x.effect, x.onWire, x.coming, x.up, x.far, x.runs, string(x.answers), x.now, x.crossed, x.left, x.restarts, state, x.g.Peer("a").State)
}

// Every order of what can happen to one request, from the first move to the last: no
// state that can be reached breaks a rule, and each ends with one outcome.
func TestOneOutcomeInEveryOrderOfEvents(t *testing.T) {
	for _, effect := range []Effect{EffectIdempotent, EffectIdempotencyKey, EffectUnsafe} {
		seen := map[string]bool{}
		edges := 0
		type path []int
		queue := []path{{}}
		for len(queue) > 0 {
			p := queue[0]
			queue = queue[1:]
			for i := range moves {
				x := newExchange(effect)
				for _, j := range p {
					x.step(j)
				}
				could, broken := x.step(i)
				if broken != "" {
					var names []string
					for _, j := range append(p, i) {
						names = append(names, moves[j].name)
					}
					t.Fatalf("effect %d: %s after %q", effect, broken, names)
				}
				edges++
				if k := x.key(); could && !seen[k] {
					seen[k] = true
					queue = append(queue, append(p[:len(p):len(p)], i))
					// Whatever the state, time brings an end.
					if x.now += 10 * second; x.g.IsForwarded("t") {
						x.g.Tick(x.now)
						for _, a := range x.g.Actions() {
							if a.Kind == ActionAnswer {
								x.answers = append(x.answers, a.Outcome)
							}
						}
						if x.g.IsForwarded("t") || len(x.answers) != 1 {
							t.Fatalf("effect %d: %d answers at the end of time", effect, len(x.answers))
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

// Long random lives of many requests: as many answers as were handed over, and the
// books agree.
func TestEachForwardedRequestIsAnsweredOnce(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		g := newController("a", "b")
		now, n := start, 0
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
						t.Fatalf("request %s answered %d times", a.RequestID, answers[a.RequestID])
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
