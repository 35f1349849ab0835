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

// newFleet starts a fleet without clocks to rely on: the Epoch of each instance starts at 1. without names a safeguard
// that is turned off.
func newFleet(n int, seed uint64, without string, loss float64) *simfleet.Fleet {
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
		return membership.New(settings.WithoutSafeguard(without), rand.New(rand.NewPCG(seed, instances)), now)
	})
	for i := range n {
		f.Start(i)
	}
	return f
}

// converge runs until all views are right.
func converge(f *simfleet.Fleet, within int64) (took int64, why string) {
	from := f.Now
	for f.Now < from+within {
		f.RunUntil(f.Now + 20*millisecond)
		ok := false
		if ok, why = f.Converged(); ok {
			return f.Now - from, ""
		}
	}
	return within, why
}

func mustConverge(t *testing.T, f *simfleet.Fleet, within int64) {
	t.Helper()
	if _, why := converge(f, within); why != "" {
		t.Fatalf("no agreement within %d ms: %s", within/millisecond, why)
	}
}

// newLoneNode starts a node with so many seeds that nobody answers for.
func newLoneNode(seeds int) *membership.Node {
	settings := membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(seeds)}
	return membership.New(settings, rand.New(rand.NewPCG(1, 1)), 1)
}

// testNetwork holds a few nodes by address, and messages in flight that a test delivers or drops as it likes.
type testNetwork struct {
	now       int64
	nodes     []*membership.Node // nil: dead
	addrs     []netip.AddrPort
	names     []string
	paused    []bool
	instances uint64
	inFlight  []datagram
}

type datagram struct {
	from, to int
	message  []byte
}

func newTestNetwork(names ...string) *testNetwork {
	x := &testNetwork{now: second}
	for i, name := range names {
		x.names, x.addrs = append(x.names, name), append(x.addrs, simfleet.Addr(i))
		x.nodes, x.paused = append(x.nodes, nil), append(x.paused, false)
	}
	for i := range names {
		x.start(i)
	}
	return x
}

func (x *testNetwork) start(i int) {
	x.instances++
	seeds := []membership.Seed{{Name: x.names[0], Addr: x.addrs[0]}, {Name: x.names[1], Addr: x.addrs[1]}}
	settings := membership.Settings{Name: x.names[i], Addr: x.addrs[i], Seeds: seeds, Epoch: 1}
	x.nodes[i] = membership.New(settings, rand.New(rand.NewPCG(7, x.instances)), x.now)
}

// killOrStart kills a node that runs, paused or not, and starts one that is dead.
func (x *testNetwork) killOrStart(i int) {
	x.paused[i] = false
	if x.nodes[i] != nil {
		x.nodes[i] = nil
	} else {
		x.start(i)
	}
}

func (x *testNetwork) enqueue(from int, out []membership.Outbound) {
	const most = 40
	for _, o := range out {
		if to := slices.Index(x.addrs, o.Addr); to >= 0 && to != from {
			b, _ := cbor.Marshal(o.Message)
			x.inFlight = append(x.inFlight, datagram{from, to, b})
		}
	}
	if over := len(x.inFlight) - most; over > 0 {
		x.inFlight = slices.Delete(x.inFlight, 0, over)
	}
}

// advance lets time pass, in steps in which all running nodes are called.
func (x *testNetwork) advance(steps int) {
	for range steps {
		x.now += 50 * millisecond
		for i, n := range x.nodes {
			if n != nil && !x.paused[i] {
				_, out, _ := n.Tick(x.now)
				x.enqueue(i, out)
			}
		}
	}
}

// deliver delivers what is in flight from one node to another; -1: any.
func (x *testNetwork) deliver(from, to int) {
	list := x.inFlight
	x.inFlight = nil
	for _, f := range list {
		n := x.nodes[f.to]
		if from >= 0 && f.from != from || to >= 0 && f.to != to || x.paused[f.to] {
			x.inFlight = append(x.inFlight, f)
		} else if n != nil {
			var msg membership.Message
			if err := cbor.Unmarshal(f.message, &msg); err != nil {
				panic(err)
			}
			x.enqueue(f.to, n.Receive(x.now, netip.AddrPort{}, &msg))
		}
	}
}

// runFor delivers all messages for so long.
func (x *testNetwork) runFor(length int64) {
	for until := x.now + length; x.now < until; {
		x.advance(1)
		for range 3 {
			x.deliver(-1, -1)
		}
	}
}

// disagreement says which view is wrong; "": none.
func (x *testNetwork) disagreement() string {
	for i, n := range x.nodes {
		if n == nil {
			continue
		}
		for j := range x.nodes {
			if why := x.disagreementOn(i, j); why != "" {
				return why
			}
		}
	}
	return ""
}

// disagreementOn says what is wrong in a node's view of another one, or of itself; "": nothing.
func (x *testNetwork) disagreementOn(viewer, member int) string {
	node, other := x.nodes[viewer], x.nodes[member]
	state := node.State(x.names[member])
	othersRun := slices.ContainsFunc(x.nodes, func(n *membership.Node) bool { return n != nil && n != node })
	if viewer == member && state == membership.StateJoining && !othersRun {
		return "" // it has been alone since its start
	}
	if (state == membership.StateAlive) != (other != nil) {
		return fmt.Sprintf("%s holds %s %v", x.names[viewer], x.names[member], state)
	}
	for _, seen := range node.View().Members {
		if other != nil && seen.Name == x.names[member] && seen.ID != other.Self().ID {
			return fmt.Sprintf("%s holds an earlier instance of %s", x.names[viewer], x.names[member])
		}
	}
	return ""
}

func (x *testNetwork) fingerprint() string {
	var b strings.Builder
	for i, n := range x.nodes {
		if n == nil {
			b.WriteString("-;")
			continue
		}
		fmt.Fprint(&b, x.paused[i], n.Self().ID.Epoch, n.Self().Incarnation, n.Self().State)
		for _, s := range n.View().Members {
			fmt.Fprint(&b, s.Name, s.State, s.ID, s.Incarnation, s.Confirmations, s.Reach, ",")
		}
		b.WriteByte(';')
	}
	for _, f := range x.inFlight {
		fmt.Fprint(&b, f.from, f.to, len(f.message), ",")
	}
	return b.String()
}
