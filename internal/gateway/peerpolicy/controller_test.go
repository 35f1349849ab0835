package peerpolicy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

const start = 100 * second

// newController makes a controller of router n at site north, with peers at site south.
func newController(peers ...string) *Controller {
	sites := map[string]string{}
	for _, name := range peers {
		sites[name] = "south"
	}
	return New(Settings{Name: "n", Site: "north", MaxRequests: 40, LocalReserve: 0.5, HeartbeatInterval: 250 * millisecond}, sites)
}

// makeHealthy connects a peer and makes it healthy, with a limit of ten requests.
func makeHealthy(controller *Controller, name string, capacity int) *Peer {
	controller.Connected(start, name, 1)
	controller.Heartbeat(start, name, capacity, false, 20*millisecond)
	peer := controller.Peer(name)
	peer.Limit = 10
	controller.Actions()
	return peer
}

func TestPeerStates(t *testing.T) {
	controller := newController("a")
	peer := controller.Peer("a")
	expectState := func(event string, want PeerState) {
		t.Helper()
		if peer.State != want {
			t.Fatalf("%s: state %v, want %v", event, peer.State, want)
		}
	}
	if controller.Heartbeat(start, "a", 5, false, 0); peer.State != StateDisconnected {
		t.Fatalf("heartbeat without a connection: state %v, want %v", peer.State, StateDisconnected)
	}
	controller.Connected(start, "a", 7)
	expectState("connected", StateProbation)
	if _, reason := controller.Forward(start, &Request{RequestID: "t", Deadline: start + second}); reason != ReasonNoPeer {
		t.Fatalf("Forward with the peer in probation: %v, want %v", reason, ReasonNoPeer)
	}
	controller.Heartbeat(start, "a", 5, false, 0)
	expectState("first heartbeat", StateHealthy)
	controller.Tick(start + 500*millisecond)
	expectState("silent for two heartbeat intervals", StateHealthy)
	controller.Tick(start + 501*millisecond)
	expectState("silent for longer than two heartbeat intervals", StateSuspect)
	if _, reason := controller.Forward(start, &Request{RequestID: "t", Deadline: start + second}); reason != ReasonNoPeer {
		t.Fatalf("Forward with the peer suspect: %v, want %v", reason, ReasonNoPeer)
	}
	controller.Heartbeat(start+600*millisecond, "a", 5, false, 0)
	expectState("late heartbeat", StateHealthy)
	controller.Heartbeat(start+700*millisecond, "a", 5, true, 0)
	expectState("heartbeat of a draining peer", StateDraining)
	controller.Tick(start + 700*millisecond + 5*250*millisecond + 1)
	expectState("silent for longer than five heartbeat intervals", StateDisconnected)
	if actions := controller.Actions(); len(actions) != 1 || actions[0].Kind != ActionDisconnect {
		t.Fatalf("actions %+v, want one ActionDisconnect", actions)
	}
	if controller.Connected(start, "a", 6) || !controller.Connected(start, "a", 7) || !controller.Connected(start, "a", 8) || peer.State != StateProbation {
		t.Fatalf("after incarnation 7, 6 must be refused, 7 and 8 accepted; state %v, want %v", peer.State, StateProbation)
	}
	if controller.Connected(start, "unknown", 1) {
		t.Fatal("a router that is not a configured peer was accepted")
	}
}

func TestForwardChoosesThePeerWithTheLeastShareInUse(t *testing.T) {
	controller := newController("a", "b")
	a, b := makeHealthy(controller, "a", 4), makeHealthy(controller, "b", 2)
	newRequest := func(n int) *Request { return &Request{RequestID: fmt.Sprint(n), Deadline: start + second} }
	got := ""
	for n := range 7 {
		peer, reason := controller.Forward(start, newRequest(n))
		if peer == nil {
			got += " " + reason.String()
			continue
		}
		got += " " + peer.Name
	}
	if got != " a b a a b a no capacity" {
		t.Fatalf("peers chosen, in order:%s", got)
	}
	if a.InFlight != 4 || b.InFlight != 2 {
		t.Fatalf("in flight: %d at a and %d at b, want 4 and 2", a.InFlight, b.InFlight)
	}
	for name, test := range map[string]struct {
		request Request
		want    Reason
	}{
		"unsafe, maybe executed":          {Request{RequestID: "x", Effect: EffectUnsafe, Deadline: start + second}, ReasonMaybeExecuted},
		"idempotency key, maybe executed": {Request{RequestID: "x", Effect: EffectIdempotencyKey, Deadline: start + second}, ReasonMaybeExecuted},
		"from another site":               {Request{RequestID: "x", Route: []string{"m"}, Deadline: start + second}, ReasonRoutingLoop},
		"forwarded already":               {Request{RequestID: "1", Deadline: start + second}, ReasonDuplicate},
		"deadline too near":               {Request{RequestID: "x", Deadline: start + 100*millisecond}, ReasonNoTime},
	} {
		if _, reason := controller.Forward(start, &test.request); reason != test.want {
			t.Errorf("%s: %v, want %v", name, reason, test.want)
		}
	}
	manyRequests := newController("a")
	makeHealthy(manyRequests, "a", 1000).Limit = 1000
	for n := range 41 {
		if _, reason := manyRequests.Forward(start, newRequest(n)); (reason == ReasonForwardLimit) != (n == 40) {
			t.Fatalf("%v with %d requests forwarded; MaxRequests is 40", reason, n)
		}
	}
}

// Guards against overloading a site that has just reconnected. Without a low initial limit it
// received at once all requests that had been rejected while it was disconnected.
func TestReturningPeerGetsFewRequestsAtFirst(t *testing.T) {
	controller := newController("a")
	now := start
	controller.Connected(now, "a", 1)
	controller.Heartbeat(now, "a", 1000, false, millisecond)
	mostInFlight, nextID := 0, 0
	for round := range 200 {
		inFlight := 0
		var ids []string
		for {
			id := fmt.Sprint(nextID)
			nextID++
			if _, reason := controller.Forward(now, &Request{RequestID: id, Deadline: now + second}); reason != ReasonOK {
				break
			}
			controller.MarkSent(id)
			ids, inFlight = append(ids, id), inFlight+1
		}
		if mostInFlight = max(mostInFlight, inFlight); round == 0 && inFlight != 2 {
			t.Fatalf("%d requests forwarded in the first round, want 2", inFlight)
		}
		now += 20 * millisecond
		for _, id := range ids {
			controller.HandleAnswer(now, "a", id, PeerAnswer{Outcome: OutcomeCompleted})
		}
	}
	if mostInFlight < 20 {
		t.Fatalf("at most %d requests in flight in 200 rounds of completed requests, want 20 or more", mostInFlight)
	}
	for range 30 { // rejections reduce the limit again
		now += 300 * millisecond
		controller.Heartbeat(now, "a", 1000, false, millisecond)
		id := fmt.Sprint(nextID)
		nextID++
		controller.Forward(now, &Request{RequestID: id, Deadline: now + second})
		controller.MarkSent(id)
		controller.HandleAnswer(now, "a", id, PeerAnswer{Outcome: OutcomeRejected, NeverRan: true})
	}
	if limit := controller.Peer("a").Limit; limit > 2 {
		t.Fatalf("limit %.1f after 30 rejections, want 2 or less", limit)
	}
}

func TestAdmit(t *testing.T) {
	controller := newController("a", "b")
	makeHealthy(controller, "a", 0)
	for id, test := range map[string]struct {
		peer       string
		route      []string
		extraDelay int64
		want       Reason
	}{
		"valid":                    {"a", []string{"a"}, 0, ReasonOK},
		"unknown peer":             {"x", []string{"x"}, 0, ReasonNoPeer},
		"no route":                 {"a", nil, 0, ReasonRoutingLoop},
		"route of another peer":    {"a", []string{"b"}, 0, ReasonRoutingLoop},
		"two hops":                 {"a", []string{"a", "b"}, 0, ReasonRoutingLoop},
		"route of this router":     {"a", []string{"n"}, 0, ReasonRoutingLoop},
		"delayed beyond the bound": {"a", []string{"a"}, 501 * millisecond, ReasonNoTime},
		"delayed up to the bound":  {"a", []string{"a"}, 500 * millisecond, ReasonOK},
	} {
		if reason := controller.Admit(start, test.peer, id, test.route, test.extraDelay); reason != test.want {
			t.Errorf("%s: %v, want %v", id, reason, test.want)
		}
	}
	if reason := controller.Admit(start, "a", "valid", []string{"a"}, 0); reason != ReasonDuplicate {
		t.Errorf("the ID of a request in flight: %v, want %v", reason, ReasonDuplicate)
	}
	admitted := 0
	for controller.Admit(start, "a", fmt.Sprint(admitted), []string{"a"}, 0) == ReasonOK {
		admitted++
	}
	if admitted+2 != initialInboundLimit || controller.OfferedCapacity(start) != 0 {
		t.Fatalf("%d requests admitted at first, want %d; then %d offered, want 0",
			admitted+2, initialInboundLimit, controller.OfferedCapacity(start))
	}
	for id := range admitted {
		controller.FinishInbound(start, "a", fmt.Sprint(id), true)
	}
	// However high the inbound limit is, inbound requests never use the local reserve.
	for range 10_000 {
		controller.Admit(start, "a", "x", []string{"a"}, 0)
		controller.FinishInbound(start, "a", "x", true)
		controller.inboundLimit = 1000
	}
	admitted = controller.InboundInFlight()
	for controller.Admit(start, "a", fmt.Sprint("y", admitted), []string{"a"}, 0) == ReasonOK {
		admitted++
	}
	if admitted != 20 {
		t.Fatalf("%d requests in flight, want 20: half of MaxRequests (40) is reserved", admitted)
	}
	overloaded := newController("a")
	for range 7 {
		overloaded.ObserveLocal(start, false)
	}
	overloaded.ObserveLocal(start, true)
	if reason := overloaded.Admit(start, "a", "z", []string{"a"}, 0); reason != ReasonLocalOverload || overloaded.OfferedCapacity(start) != 0 {
		t.Fatalf("while one in eight local requests is rejected: %v, want %v; %d offered, want 0",
			reason, ReasonLocalOverload, overloaded.OfferedCapacity(start))
	}
	if reason := overloaded.Admit(start+2*second, "a", "z", []string{"a"}, 0); reason != ReasonOK {
		t.Fatalf("two seconds after the local rejection: %v, want %v", reason, ReasonOK)
	}
}

func TestResponseOlderThanAPurgeIsNotUsed(t *testing.T) {
	for issued, want := range map[int64]Outcome{999: OutcomeRejected, 1000: OutcomeRejected, 1001: OutcomeCompleted} {
		controller := newController("a")
		makeHealthy(controller, "a", 9)
		controller.Forward(start, &Request{RequestID: "t", Deadline: start + second})
		controller.MarkSent("t")
		controller.HandleAnswer(start, "a", "t", PeerAnswer{Outcome: OutcomeCompleted, IssuedMillis: issued, LatestPurgeMillis: 1000})
		if actions := controller.Actions(); len(actions) != 1 || actions[0].Outcome != want {
			t.Errorf("issued at %d, purged at 1000: actions %+v, want one of outcome %d", issued, actions, want)
		}
	}
}

// randomForwards forwards requests to two peers while random events happen to the requests
// and the peers.
type randomForwards struct {
	controller *Controller
	random     *rand.Rand
	now        int64
	created    int             // number of requests; their IDs count from 1
	open       map[string]bool // IDs of requests forwarded and not answered yet
	answers    map[string]int  // by request ID
}

// step makes one random event happen.
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

// forward forwards a new request of random effect and deadline.
func (f *randomForwards) forward() {
	f.created++
	request := &Request{
		RequestID: fmt.Sprint(f.created), Effect: Effect(f.random.IntN(3)), NeverRan: true,
		Deadline: f.now + f.random.Int64N(second),
	}
	if _, reason := f.controller.Forward(f.now, request); reason == ReasonOK {
		f.open[request.RequestID] = true
	}
}

// collectAnswers handles the controller's actions, and fails the test on an answer to a request
// that is not open.
func (f *randomForwards) collectAnswers(t *testing.T) {
	t.Helper()
	for _, action := range f.controller.Actions() {
		if action.Kind != ActionAnswer {
			continue
		}
		f.answers[action.RequestID]++
		if !f.open[action.RequestID] || f.answers[action.RequestID] > 1 {
			t.Fatalf("request %s: %d answers, open: %v", action.RequestID, f.answers[action.RequestID], f.open[action.RequestID])
		}
		delete(f.open, action.RequestID)
	}
}

// checkInFlight fails the test if the counts of requests in flight differ, or if a
// disconnected peer has requests in flight.
func (f *randomForwards) checkInFlight(t *testing.T) {
	t.Helper()
	inFlight := 0
	for _, peer := range f.controller.Peers() {
		if peer.InFlight < 0 || peer.State == StateDisconnected && peer.InFlight > 0 {
			t.Fatalf("%d requests in flight at peer %s in state %v", peer.InFlight, peer.Name, peer.State)
		}
		inFlight += peer.InFlight
	}
	if total := f.controller.ForwardedInFlight(); inFlight != total || len(f.open) != inFlight {
		t.Fatalf("in flight: %d as the sum over the peers, %d by the controller, %d open", inFlight, total, len(f.open))
	}
}

// Applies long random sequences of events: each forwarded request is answered at most once,
// and the counts of requests in flight agree after every event.
func TestEachForwardedRequestIsAnsweredOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		forwards := &randomForwards{
			controller: newController("a", "b"), random: random, now: start,
			open: map[string]bool{}, answers: map[string]int{},
		}
		for range 400 {
			forwards.step()
			forwards.collectAnswers(t)
			forwards.checkInFlight(t)
		}
	}
}
