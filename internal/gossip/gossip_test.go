package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
)

// Durations are microseconds.
const millisecond, second = int64(1000), int64(1_000_000)

// wall is the Unix time at the start of a test, in microseconds.
const wall = 1_700_000_000 * second

const (
	active   = policy.EndpointActive
	draining = policy.EndpointDraining
	gone     = policy.EndpointRemoved
)

func newReplica(without string) *gossip.Replica {
	return gossip.New(gossip.Settings{PurgeRetention: 30 * second}.WithoutSafeguard(without))
}

func endpoint(id string, state policy.EndpointState, startedAt int64) gossip.Endpoint {
	return gossip.Endpoint{
		Endpoint: policy.Endpoint{ID: id, Zone: "z", Kind: "box", State: state, Weight: 3, StartedAt: startedAt},
		Address:  "of-" + id,
	}
}

// testSite simulates the routers of a site. Its slices are indexed by router.
type testSite struct {
	now      int64
	replicas []*gossip.Replica
	applied  []map[string]gossip.Endpoint // endpoint states applied by the router, by endpoint id
	purges   []map[string]int64           // times of the purges applied by the router, by object and group
}

func newTestSite(routers int, without string) *testSite {
	s := &testSite{now: second}
	for range routers {
		s.replicas = append(s.replicas, newReplica(without))
		s.applied, s.purges = append(s.applied, map[string]gossip.Endpoint{}), append(s.purges, map[string]int64{})
	}
	return s
}

func (s *testSite) apply(router int, endpoints []gossip.Endpoint, purges []gossip.Purge) {
	for _, e := range endpoints {
		s.applied[router][e.ID] = e
	}
	for _, p := range purges {
		key := fmt.Sprint(p.Object, p.Group)
		s.purges[router][key] = max(s.purges[router][key], p.At)
	}
}

// announce announces endpoints to some routers as their local sources would. Bit i of routers selects router i.
func (s *testSite) announce(routers int, complete bool, announced ...gossip.Endpoint) {
	for i, r := range s.replicas {
		if routers>>i&1 == 1 {
			s.apply(i, r.ApplyLocal(s.now, complete, announced), nil)
		}
	}
}

// announcePurge announces a purge to some routers as their local sources would. Bit i of routers selects router i.
func (s *testSite) announcePurge(routers int, p gossip.Purge) {
	for i, r := range s.replicas {
		if routers>>i&1 == 1 {
			r.ApplyLocalPurge(s.now, p)
			s.apply(i, nil, []gossip.Purge{p})
		}
	}
}

// exchange delivers a peer's digest to a router, the router's requests to the peer, and the responses to the router.
func (s *testSite) exchange(router, peer int) {
	const chunkBytes, maxBytes = 1000, 1090
	handle := func(receiver, sender int, body []byte) gossip.Result {
		digest := s.replicas[sender].Digest()
		return s.replicas[receiver].HandlePayload(s.now, wall+s.now, fmt.Sprint(sender), digest, body, chunkBytes)
	}
	for _, request := range handle(router, peer, nil).Replies {
		for _, response := range handle(peer, router, request).Replies {
			if len(response) > maxBytes {
				panic(fmt.Sprintf("response of %d bytes, want at most %d", len(response), maxBytes))
			}
			result := handle(router, peer, response)
			s.apply(router, result.Endpoints, result.Purges)
		}
	}
}

// advance moves the time forward. Every 100 ms each router exchanges with one of the others, in turn, and ticks.
func (s *testSite) advance(duration int64) {
	for until := s.now + duration; s.now < until; {
		s.now += 100 * millisecond
		for i, r := range s.replicas {
			s.exchange(i, (i+1+int(s.now/(100*millisecond))%(len(s.replicas)-1))%len(s.replicas))
			s.apply(i, r.Tick(s.now, wall+s.now), nil)
		}
	}
}

// Sets of the routers of newDisconnectedSite, one bit for each router.
const all, connected, disconnected = 0b1111, 0b0111, 0b1000

// newDisconnectedSite returns a site of four routers with the endpoints a, b and c. The tests leave the source of the
// fourth router disconnected while those of the others announce changes.
func newDisconnectedSite(without string) *testSite {
	s := newTestSite(4, without)
	s.announce(all, true, endpoint("a", active, 0), endpoint("b", active, 0), endpoint("c", active, 0))
	s.advance(3 * second)
	return s
}

// A router whose source is disconnected applies the drains, removals, restarts and purges that the others report, for
// as long as they report them. Once its source is connected again, only that source reactivates an endpoint.
func TestReportsReachRouterWithoutSource(t *testing.T) {
	s := newDisconnectedSite("")
	s.announce(connected, false, endpoint("a", draining, 0))
	s.announcePurge(connected, gossip.Purge{Object: "o", At: wall + s.now})
	s.announcePurge(connected, gossip.Purge{Group: 7, At: wall + s.now})
	s.advance(4 * second)
	if got := s.applied[3]["a"]; got.State != draining || got.Address != "of-a" {
		t.Fatalf("endpoint a after its drain: %+v", got)
	}
	if s.purges[3]["o0"] == 0 || s.purges[3]["7"] == 0 {
		t.Errorf("applied purges: %v", s.purges[3])
	}
	s.announce(connected, false, endpoint("a", gone, 0), endpoint("b", gone, 0))
	s.advance(4 * second)
	s.announce(connected, false, endpoint("b", active, wall+s.now))
	for range 40 { // for much longer than the lifetime of a claim
		s.advance(second)
		a, b := s.applied[3]["a"], s.applied[3]["b"]
		if a.State != gone || s.now > 16*second && (b.State != active || b.StartedAt == 0) {
			t.Fatalf("at %d s: a is %+v, b is %+v", s.now/second, a, b)
		}
	}
	// Its source is connected again and announces the missed events in order: an endpoint that is gone stays gone until
	// the source announces that it is active.
	start := s.applied[3]["b"].StartedAt
	for _, e := range []gossip.Endpoint{endpoint("a", draining, 0), endpoint("a", gone, 0), endpoint("b", gone, 0)} {
		s.announce(disconnected, false, e)
		if s.applied[3]["a"].State != gone && e.ID == "a" || e.ID == "b" && s.applied[3]["b"].State != gone {
			t.Errorf("its source announced %s as %s: a is %+v, b is %+v", e.ID, e.State, s.applied[3]["a"], s.applied[3]["b"])
		}
	}
	s.announce(disconnected, false, endpoint("b", active, start))
	if s.applied[3]["b"].State != active {
		t.Errorf("reactivation by the local source is not applied: %+v", s.applied[3]["b"])
	}
	// Only the local source reactivates an endpoint that it has announced as gone.
	s.announce(all, false, endpoint("b", gone, start))
	s.announce(connected, false, endpoint("b", active, wall+s.now))
	s.advance(3 * second)
	if s.applied[3]["b"].State != gone {
		t.Errorf("reactivated by reports of other routers: %+v", s.applied[3]["b"])
	}
	// Only the local source reverts a drain.
	s.announce(all, false, endpoint("c", draining, 0))
	s.announce(disconnected, false, endpoint("c", active, 0))
	if s.applied[3]["c"].State != active {
		t.Errorf("drain reverted by the local source is still applied: %+v", s.applied[3]["c"])
	}
	s.announce(connected, false, endpoint("c", active, 0))
	s.advance(20 * second)
	for i := range 4 {
		if s.applied[i]["c"].State != active {
			t.Errorf("router %d: the reactivated endpoint is %+v", i, s.applied[i]["c"])
		}
	}
	if n, _ := s.replicas[0].ListSizes(); n != 3 {
		t.Errorf("%d endpoints held, want 3", n)
	}
	s.advance(130 * second)
	if n, p := s.replicas[0].ListSizes(); n != 2 || p != 0 {
		t.Errorf("after 130 s: %d endpoints and %d purges held, want 2 and 0", n, p)
	}
}

// A replica that starts with an outdated list and without its source sends its first requests without waiting.
func TestNewReplicaAsksAtOnce(t *testing.T) {
	s := newDisconnectedSite("")
	s.announce(connected, false, endpoint("a", gone, 0))
	s.announcePurge(connected, gossip.Purge{Group: 7, At: wall + s.now})
	s.replicas[3] = newReplica("")
	s.applied[3], s.purges[3] = map[string]gossip.Endpoint{}, map[string]int64{}
	s.announce(disconnected, true, endpoint("a", active, 0), endpoint("b", active, 0), endpoint("c", active, 0))
	s.advance(300 * millisecond)
	if s.applied[3]["a"].State != gone || s.purges[3]["7"] == 0 {
		t.Errorf("after 300 ms: a is %+v, purges are %v", s.applied[3]["a"], s.purges[3])
	}
}

// Each safeguard is needed: its scenario passes with all safeguards on and fails without this one.
func TestEverySafeguardIsNeeded(t *testing.T) {
	for name, scenario := range map[string]func(without string) error{
		"confirmations": faultyReportScenario,
		"order":         lateSourcesScenario,
		"expiry":        departedReportersScenario,
	} {
		if err := scenario(""); err != nil {
			t.Errorf("%s: with all safeguards: %v", name, err)
		}
		if err := scenario(name); err == nil {
			t.Errorf("%s: the scenario passes without the safeguard", name)
		} else {
			t.Logf("%s: %v", name, err)
		}
	}
}

// faultyReportScenario has one router report all endpoints as gone. The others must not apply that.
func faultyReportScenario(without string) error {
	s := newDisconnectedSite(without)
	s.announce(0b0001, false, endpoint("a", gone, 0), endpoint("b", gone, 0), endpoint("c", gone, 0))
	s.advance(20 * second)
	for i := 1; i < 4; i++ {
		if s.applied[i]["a"].State != active {
			return fmt.Errorf("router %d applies the report of a single router: %+v", i, s.applied[i]["a"])
		}
	}
	return nil
}

// lateSourcesScenario has two routers whose sources are late report an earlier start. The others must not go back.
func lateSourcesScenario(without string) error {
	s := newDisconnectedSite(without)
	s.announce(0b0011, false, endpoint("a", gone, 0), endpoint("a", active, wall+s.now))
	s.advance(20 * second)
	for i := range 2 {
		if s.applied[i]["a"].StartedAt == 0 {
			return fmt.Errorf("router %d goes back to an earlier start: %+v", i, s.applied[i]["a"])
		}
	}
	return nil
}

// departedReportersScenario has two routers report a drain that the other sources never announce, and removes both. The
// claim must expire.
func departedReportersScenario(without string) error {
	s := newDisconnectedSite(without)
	s.announce(0b0011, false, endpoint("a", draining, 0))
	s.advance(5 * second)
	if s.applied[3]["a"].State != draining {
		return fmt.Errorf("the claim is not accepted: %+v", s.applied[3]["a"])
	}
	s.replicas = slices.Delete(s.replicas, 0, 2)
	s.applied = slices.Delete(s.applied, 0, 2)
	s.purges = slices.Delete(s.purges, 0, 2)
	s.advance(20 * second)
	if s.applied[1]["a"].State != active {
		return fmt.Errorf("the claim outlasts the routers that reported it: %+v", s.applied[1]["a"])
	}
	return nil
}

// Implausible reports are rejected: purges in the future or older than their retention, starts in the future, unknown
// states, requests with the wrong number of digests.
func TestImplausibleReportsAreRejected(t *testing.T) {
	r := newReplica("")
	r.SetSingleConfirmation(true)
	r.ApplyLocal(second, true, []gossip.Endpoint{endpoint("a", active, 0)})
	receive := func(p gossip.Payload) gossip.Result {
		return r.HandlePayload(second, wall, "x", 0, p.Encode(), 1000)
	}
	peer := gossip.New(gossip.Settings{PurgeRetention: 1 << 60})
	for _, p := range []gossip.Purge{{Object: "late", At: wall - 31*second}, {Object: "soon", At: wall + 3*second}} {
		peer.ApplyLocalPurge(second, p)
	}
	peer.ApplyLocal(second, true, []gossip.Endpoint{
		endpoint("a", active, wall+10*second), endpoint("a", "odd", wall), endpoint("new", draining, 5),
	})
	request := r.NewRequest()
	for _, chunk := range peer.Respond(&request, 1000) {
		if got := receive(gossip.Payload{Response: &chunk}); len(got.Endpoints)+len(got.Purges) > 0 {
			t.Errorf("implausible reports accepted: %+v", got)
		}
	}
	if got := r.Respond(&gossip.DigestRequest{Digests: []uint32{1}}, 1000); got != nil {
		t.Errorf("request with one digest got the response %v", got)
	}
	if r.Counts.Rejected < 4 {
		t.Errorf("%d rejected, want at least 4: %+v", r.Counts.Rejected, r.Counts)
	}
}

// Any body is handled without a panic and with at most 12 replies.
func FuzzHandlePayload(f *testing.F) {
	r := newReplica("")
	request := r.NewRequest()
	f.Add((&gossip.Payload{Request: &request}).Encode())
	r.ApplyLocal(second, true, []gossip.Endpoint{endpoint("a", active, 0)})
	r.ApplyLocalPurge(second, gossip.Purge{Object: "o", At: wall})
	for _, chunk := range r.Respond(&request, 1000) {
		f.Add((&gossip.Payload{Response: &chunk}).Encode())
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		r := newReplica("")
		r.SetSingleConfirmation(true)
		r.ApplyLocal(second, true, []gossip.Endpoint{endpoint("a", active, 0)})
		for i := range 3 {
			if got := r.HandlePayload(second*int64(i+1), wall, "x", 1, body, 1000); len(got.Replies) > 12 {
				t.Fatalf("%d replies to one body", len(got.Replies))
			}
		}
		r.Tick(10*second, wall)
	})
}

// randomSite is a site whose sources announce the same changes of three endpoints, each at its own pace.
type randomSite struct {
	*testSite
	random      *rand.Rand
	changes     [][]gossip.Endpoint          // in order; the first is the complete list
	announced   []int                        // by router: number of changes that its source has announced
	current     map[string]gossip.Endpoint   // after all changes, by endpoint id
	starts      int64                        // restarts of endpoints so far
	lastApplied []map[string]gossip.Endpoint // by router: endpoint states applied at the last checkOrder
}

func newRandomSite(routers int, seed uint64) *randomSite {
	s := &randomSite{
		testSite:  newTestSite(routers, ""),
		random:    rand.New(rand.NewPCG(seed, 1)),
		changes:   [][]gossip.Endpoint{{endpoint("a", active, 0), endpoint("b", active, 0), endpoint("c", active, 0)}},
		announced: make([]int, routers),
		current:   map[string]gossip.Endpoint{},
	}
	for _, e := range s.changes[0] {
		s.current[e.ID] = e
	}
	for i := range routers {
		s.catchUp(i)
		s.lastApplied = append(s.lastApplied, map[string]gossip.Endpoint{})
	}
	return s
}

// catchUp announces the changes that a router's source has not announced yet.
func (s *randomSite) catchUp(router int) {
	for ; s.announced[router] < len(s.changes); s.announced[router]++ {
		s.announce(1<<router, s.announced[router] == 0, s.changes[s.announced[router]]...)
	}
}

// step performs one random event.
func (s *randomSite) step() {
	switch s.random.IntN(6) {
	case 0, 1:
		s.changeEndpoint()
	case 2, 3:
		s.catchUp(s.random.IntN(len(s.replicas)))
	case 4:
		s.restartReplica(s.random.IntN(len(s.replicas)))
	case 5:
		s.advance(int64(s.random.IntN(30)) * 100 * millisecond)
	}
}

func (s *randomSite) changeEndpoint() {
	e := s.current[string(rune('a'+s.random.IntN(3)))]
	switch e.State {
	case active:
		e.State = []policy.EndpointState{draining, gone}[s.random.IntN(2)]
	case draining:
		e.State = gone
	default:
		s.starts++ // so that no two starts have the same time
		e.State, e.StartedAt = active, wall+s.now+s.starts
	}
	s.current[e.ID] = e
	s.changes = append(s.changes, []gossip.Endpoint{e})
}

// restartReplica replaces a router's replica by a new one that starts with the current list.
func (s *randomSite) restartReplica(router int) {
	s.replicas[router] = newReplica("")
	s.applied[router], s.lastApplied[router] = map[string]gossip.Endpoint{}, map[string]gossip.Endpoint{}
	s.announced[router] = len(s.changes)
	var list []gossip.Endpoint
	for _, e := range s.current {
		if e.State != gone {
			list = append(list, e)
		}
	}
	s.announce(1<<router, true, list...)
}

// checkOrder fails the test if a router has gone back to an earlier state of an endpoint since the last check. Going
// back from gone within one start counts only if the router's source has announced all changes.
func (s *randomSite) checkOrder(t *rapid.T) {
	for i := range s.replicas {
		for id, e := range s.applied[i] {
			previous, known := s.lastApplied[i][id]
			earlierStart := e.StartedAt < previous.StartedAt
			reactivated := e.StartedAt == previous.StartedAt && previous.State == gone && e.State != gone
			if known && (earlierStart || reactivated && s.announced[i] == len(s.changes)) {
				t.Fatalf("router %d goes back from %+v to %+v", i, previous, e)
			}
			s.lastApplied[i][id] = e
		}
	}
}

// checkAgreement fails the test unless each router has applied the current state of all endpoints. A router need not
// know an endpoint that is gone.
func (s *randomSite) checkAgreement(t *rapid.T) {
	for i := range s.replicas {
		for id, e := range s.current {
			got, known := s.applied[i][id]
			if (e.State != gone || known) && (got.State != e.State || got.StartedAt != e.StartedAt) {
				t.Fatalf("router %d has applied %+v, want %+v", i, got, e)
			}
		}
	}
}

// Sources announce the same changes at different times, while replicas restart and exchange their states in any order.
// No router goes back to an earlier state, and once all sources have caught up all routers apply the same states.
func TestConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRandomSite(5, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			s.step()
			s.checkOrder(t)
		}
		for i := range s.replicas {
			s.catchUp(i)
		}
		s.advance(10 * second)
		s.checkAgreement(t)
	})
}
