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
	return New(Settings{Name: "n", Site: "north", MaxRequests: 40, LocalReserve: 0.5, HeartbeatInterval: 250 * millisecond}, sites)
}

// makeHealthy makes a peer healthy, with a limit of ten.
func makeHealthy(g *Controller, name string, capacity int) *Peer {
	g.Connected(start, name, 1)
	g.Heartbeat(start, name, capacity, false, 20*millisecond)
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
	g.Tick(start + 500*millisecond)
	step("two beats", StateHealthy)
	g.Tick(start + 501*millisecond)
	step("later", StateSuspect)
	if _, r := g.Forward(start, &Request{RequestID: "t", Deadline: start + second}); r != ReasonNoPeer {
		t.Fatalf("forwarded to a suspect: %v", r)
	}
	g.Heartbeat(start+600*millisecond, "a", 5, false, 0)
	step("heard", StateHealthy)
	g.Heartbeat(start+700*millisecond, "a", 5, true, 0)
	step("drains", StateDraining)
	g.Tick(start + 700*millisecond + 5*250*millisecond + 1)
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
	if got != " a b a a b a no capacity" {
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
		"no time":      {Request{RequestID: "x", Deadline: start + 100*millisecond}, ReasonNoTime},
	} {
		if _, r := g.Forward(start, &c.ask); r != c.want {
			t.Errorf("%s: %v, want %v", name, r, c.want)
		}
	}
	one := newController("a")
	makeHealthy(one, "a", 1000).Limit = 1000
	for n := range 41 {
		if _, r := one.Forward(start, ask(n)); (r == ReasonForwardLimit) != (n == 40) {
			t.Fatalf("%d: %v", n, r)
		}
	}
}

// A site that was back once got all at once that was rejected meanwhile.
func TestReturningPeerGetsFewRequestsAtFirst(t *testing.T) {
	g := newController("a")
	now := start
	g.Connected(now, "a", 1)
	g.Heartbeat(now, "a", 1000, false, millisecond)
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
		now += 20 * millisecond
		for _, id := range ids {
			g.HandleAnswer(now, "a", id, PeerAnswer{Outcome: OutcomeCompleted})
		}
	}
	if most < 20 {
		t.Fatalf("%d at once after 200 good rounds", most)
	}
	for range 30 { // and less where answers are bad
		now += 300 * millisecond
		g.Heartbeat(now, "a", 1000, false, millisecond)
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
		"lay in wait":   {"a", []string{"a"}, 501 * millisecond, ReasonNoTime},
		"a little late": {"a", []string{"a"}, 500 * millisecond, ReasonOK},
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
	if r := h.Admit(start, "a", "z", []string{"a"}, 0); r != ReasonLocalOverload || h.OfferedCapacity(start) != 0 {
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

// randomForwards forwards requests to two peers while anything happens to them.
type randomForwards struct {
	controller *Controller
	random     *rand.Rand
	now        int64
	count      int             // of requests
	open       map[string]bool // forwarded, and not answered yet
	answers    map[string]int
}

// step lets one thing happen.
func (f *randomForwards) step() {
	f.now += f.random.Int64N(100 * millisecond)
	peer := []string{"a", "b"}[f.random.IntN(2)]
	var id string
	if ids := slices.Sorted(maps.Keys(f.open)); len(ids) > 0 {
		id = ids[f.random.IntN(len(ids))]
	}
	c := f.controller
	switch f.random.IntN(9) {
	case 0:
		c.Connected(f.now, peer, uint64(f.random.IntN(5)))
	case 1:
		c.Disconnected(peer)
	case 2, 3:
		c.Heartbeat(f.now, peer, f.random.IntN(20), f.random.IntN(40) == 0, int64(f.random.IntN(1000)))
	case 4:
		c.Tick(f.now)
	case 5:
		c.HandleAnswer(f.now, peer, id, PeerAnswer{Outcome: Outcome(1 + f.random.IntN(3)), NeverRan: f.random.IntN(2) == 0})
	case 6:
		c.MarkSent(id)
	default:
		f.forward()
	}
}

func (f *randomForwards) forward() {
	f.count++
	request := &Request{
		RequestID: fmt.Sprint(f.count), Effect: Effect(f.random.IntN(3)), NeverRan: true,
		Deadline: f.now + f.random.Int64N(second),
	}
	if _, reason := f.controller.Forward(f.now, request); reason == ReasonOK {
		f.open[request.RequestID] = true
	}
}

// takeAnswers fails the test if a request is answered that is not open.
func (f *randomForwards) takeAnswers(t *testing.T) {
	t.Helper()
	for _, action := range f.controller.Actions() {
		if action.Kind != ActionAnswer {
			continue
		}
		f.answers[action.RequestID]++
		if !f.open[action.RequestID] || f.answers[action.RequestID] > 1 {
			t.Fatalf("request %s answered %d times", action.RequestID, f.answers[action.RequestID])
		}
		delete(f.open, action.RequestID)
	}
}

// checkInFlight fails the test if the counts of requests in flight disagree.
func (f *randomForwards) checkInFlight(t *testing.T) {
	t.Helper()
	inFlight := 0
	for _, peer := range f.controller.Peers() {
		if peer.InFlight < 0 || peer.State == StateDisconnected && peer.InFlight > 0 {
			t.Fatalf("%d in flight at a peer that is %v", peer.InFlight, peer.State)
		}
		inFlight += peer.InFlight
	}
	if total := f.controller.ForwardedInFlight(); inFlight != total || len(f.open) != inFlight {
		t.Fatalf("%d in flight by peers, %d in total, %d open", inFlight, total, len(f.open))
	}
}

// Long random lives of many requests: each that is forwarded is answered once at most, and
// the counts agree.
func TestEachForwardedRequestIsAnsweredOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		forwards := &randomForwards{
			controller: newController("a", "b"), random: random, now: start,
			open: map[string]bool{}, answers: map[string]int{},
		}
		for range 400 {
			forwards.step()
			forwards.takeAnswers(t)
			forwards.checkInFlight(t)
		}
	}
}
