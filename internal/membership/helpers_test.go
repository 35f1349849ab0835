package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
	"quilldoor/internal/simfleet"
)

// Durations in microseconds.
const millisecond, second = int64(1000), int64(1_000_000)

// newFleet starts a fleet of n routers that have no reliable clocks: the Epoch of each instance starts at 1. disabled
// names a safeguard to turn off; "": none.
func newFleet(n int, seed uint64, disabled string, loss float64) *simfleet.Fleet {
	net := netsim.New(300, 700, rand.New(rand.NewPCG(seed, 2)))
	if loss > 0 {
		net.AddFault(&netsim.Fault{Loss: loss})
	}
	instances := uint64(0)
	f := simfleet.New(n, seed, net, func(h *simfleet.Host, now int64) simfleet.Detector {
		instances++
		settings := membership.Settings{
			Name: h.Name, Zone: "office", Addr: simfleet.Addr(h.ID), Seeds: simfleet.Seeds(min(n, 3)), Epoch: 1,
		}
		return membership.New(settings.WithoutSafeguard(disabled), rand.New(rand.NewPCG(seed, instances)), now)
	})
	for i := range n {
		f.Start(i)
	}
	return f
}

// converge runs the fleet until all views are correct, or for the time within. It returns the elapsed virtual time, and
// a reason if the views did not converge.
func converge(f *simfleet.Fleet, within int64) (elapsed int64, reason string) {
	start := f.Now
	for f.Now < start+within {
		f.RunUntil(f.Now + 20*millisecond)
		ok := false
		if ok, reason = f.Converged(); ok {
			return f.Now - start, ""
		}
	}
	return within, reason
}

// mustConverge fails the test if the views of the fleet do not converge in time.
func mustConverge(t *testing.T, f *simfleet.Fleet, within int64) {
	t.Helper()
	if _, reason := converge(f, within); reason != "" {
		t.Fatalf("views have not converged within %d ms: %s", within/millisecond, reason)
	}
}

// newLoneNode starts a node with that many seeds, none of which runs.
func newLoneNode(seeds int) *membership.Node {
	settings := membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(seeds)}
	return membership.New(settings, rand.New(rand.NewPCG(1, 1)), 1)
}

// testNetwork holds a few nodes by address, and the messages in flight, which a test delivers or drops.
type testNetwork struct {
	now       int64
	nodes     []*membership.Node // nil: not running
	addrs     []netip.AddrPort
	names     []string
	paused    []bool
	instances uint64
	inFlight  []datagram
}

// datagram is an encoded message in flight between two nodes.
type datagram struct {
	from, to int // indices in testNetwork.nodes
	message  []byte
}

func newTestNetwork(names ...string) *testNetwork {
	network := &testNetwork{now: second}
	for i, name := range names {
		network.names, network.addrs = append(network.names, name), append(network.addrs, simfleet.Addr(i))
		network.nodes, network.paused = append(network.nodes, nil), append(network.paused, false)
	}
	for i := range names {
		network.start(i)
	}
	return network
}

func (network *testNetwork) start(i int) {
	network.instances++
	seeds := []membership.Seed{
		{Name: network.names[0], Addr: network.addrs[0]},
		{Name: network.names[1], Addr: network.addrs[1]},
	}
	settings := membership.Settings{Name: network.names[i], Addr: network.addrs[i], Seeds: seeds, Epoch: 1}
	network.nodes[i] = membership.New(settings, rand.New(rand.NewPCG(7, network.instances)), network.now)
}

// killOrStart kills a node that is running, paused or not, and starts one that is not.
func (network *testNetwork) killOrStart(i int) {
	network.paused[i] = false
	if network.nodes[i] != nil {
		network.nodes[i] = nil
	} else {
		network.start(i)
	}
}

// enqueue puts the messages of a node in flight. It drops the oldest ones above maxInFlight.
func (network *testNetwork) enqueue(from int, out []membership.Outbound) {
	const maxInFlight = 40
	for _, o := range out {
		if to := slices.Index(network.addrs, o.Addr); to >= 0 && to != from {
			b, _ := cbor.Marshal(o.Message)
			network.inFlight = append(network.inFlight, datagram{from, to, b})
		}
	}
	if excess := len(network.inFlight) - maxInFlight; excess > 0 {
		network.inFlight = slices.Delete(network.inFlight, 0, excess)
	}
}

// advance advances the time by steps of 50 ms, and calls Tick of all running nodes in each step.
func (network *testNetwork) advance(steps int) {
	for range steps {
		network.now += 50 * millisecond
		for i, n := range network.nodes {
			if n != nil && !network.paused[i] {
				_, out, _ := n.Tick(network.now)
				network.enqueue(i, out)
			}
		}
	}
}

// deliver delivers the messages in flight from one node to another; -1: any node. Messages to paused nodes stay in
// flight.
func (network *testNetwork) deliver(from, to int) {
	queued := network.inFlight
	network.inFlight = nil
	for _, d := range queued {
		n := network.nodes[d.to]
		if from >= 0 && d.from != from || to >= 0 && d.to != to || network.paused[d.to] {
			network.inFlight = append(network.inFlight, d)
		} else if n != nil {
			var msg membership.Message
			if err := cbor.Unmarshal(d.message, &msg); err != nil {
				panic(err)
			}
			network.enqueue(d.to, n.Receive(network.now, netip.AddrPort{}, &msg))
		}
	}
}

// runFor advances the time by a duration and delivers all messages.
func (network *testNetwork) runFor(duration int64) {
	for until := network.now + duration; network.now < until; {
		network.advance(1)
		for range 3 {
			network.deliver(-1, -1)
		}
	}
}

// disagreement describes a view that is wrong; "": none is.
func (network *testNetwork) disagreement() string {
	for i, n := range network.nodes {
		if n == nil {
			continue
		}
		for j := range network.nodes {
			if reason := network.disagreementOn(i, j); reason != "" {
				return reason
			}
		}
	}
	return ""
}

// disagreementOn describes an error in a node's view of another node, or of itself; "": there is none.
func (network *testNetwork) disagreementOn(viewer, member int) string {
	node, other := network.nodes[viewer], network.nodes[member]
	state := node.State(network.names[member])
	otherRuns := slices.ContainsFunc(network.nodes, func(n *membership.Node) bool { return n != nil && n != node })
	if viewer == member && state == membership.StateJoining && !otherRuns {
		return "" // no other node has sent it a message since its start
	}
	if (state == membership.StateAlive) != (other != nil) {
		return fmt.Sprintf("%s holds %s %v", network.names[viewer], network.names[member], state)
	}
	for _, seen := range node.View().Members {
		if other != nil && seen.Name == network.names[member] && seen.ID != other.Self().ID {
			return fmt.Sprintf("%s holds instance %v of %s, want %v", network.names[viewer], seen.ID, seen.Name, other.Self().ID)
		}
	}
	return ""
}

// fingerprint returns a text that is equal for networks in the same state, apart from timers.
func (network *testNetwork) fingerprint() string {
	var b strings.Builder
	for i, n := range network.nodes {
		if n == nil {
			b.WriteString("-;")
			continue
		}
		fmt.Fprint(&b, network.paused[i], n.Self().ID.Epoch, n.Self().Incarnation, n.Self().State)
		for _, s := range n.View().Members {
			fmt.Fprint(&b, s.Name, s.State, s.ID, s.Incarnation, s.Confirmations, s.Reach, ",")
		}
		b.WriteByte(';')
	}
	for _, d := range network.inFlight {
		fmt.Fprint(&b, d.from, d.to, len(d.message), ",")
	}
	return b.String()
}
