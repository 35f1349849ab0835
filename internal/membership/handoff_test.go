package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
)

// handoffFleet runs the routers a, b and c, of which a is replaced by its successors. Its messages arrive at once.
type handoffFleet struct {
	t     *testing.T
	now   int64
	nodes []*Node
	sent  []*Message // by a
}

var handoffNames = []string{"a", "b", "c"}

func handoffAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

func newHandoffFleet(t *testing.T) *handoffFleet {
	f := &handoffFleet{t: t, now: 1}
	for i := range handoffNames {
		f.nodes = append(f.nodes, f.newNode(i, 1, nil))
	}
	return f
}

// newNode starts a router's process of a generation; a predecessor's state may be nil.
func (f *handoffFleet) newNode(i int, generation uint32, predecessor *HandoffState) *Node {
	var seeds []Seed
	for j, name := range handoffNames {
		seeds = append(seeds, Seed{name, handoffAddr(j)})
	}
	settings := Settings{
		Name: handoffNames[i], Addr: handoffAddr(i), Seeds: seeds, Epoch: 1,
		Process: &ProcessInfo{Generation: generation}, Handoff: predecessor,
	}
	return New(settings, rand.New(rand.NewPCG(uint64(i), uint64(generation))), f.now)
}

// settle lets some seconds pass, and fails the test if b or c hold a anything but alive or joining in that time.
func (f *handoffFleet) settle() {
	f.t.Helper()
	for end := f.now + 3*second; f.now < end; f.now += 10 * millisecond {
		var out []Outbound
		for i, n := range f.nodes {
			_, sent, changes := n.Tick(f.now)
			if i > 0 {
				f.checkChanges(handoffNames[i], changes)
			}
			out = append(out, sent...)
		}
		f.deliver(out)
	}
}

func (f *handoffFleet) checkChanges(by string, changes []Change) {
	f.t.Helper()
	for _, c := range changes {
		if c.Name == "a" && c.To != StateAlive && c.To != StateJoining {
			f.t.Errorf("%s holds a %v at %d ms", by, c.To, f.now/millisecond)
		}
	}
}

// deliver delivers messages and what is sent in reply, until nothing more is sent.
func (f *handoffFleet) deliver(out []Outbound) {
	for len(out) > 0 {
		next := out[0]
		out = out[1:]
		sender := next.Message.Sender.Name
		for i, n := range f.nodes {
			if handoffAddr(i) != next.Addr {
				continue
			}
			if sender == "a" {
				f.sent = append(f.sent, next.Message)
			}
			from := max(slices.Index(handoffNames, sender), 0)
			out = append(out, n.Receive(f.now, handoffAddr(from), next.Message)...)
		}
	}
}

// expectGeneration fails the test unless b and c hold a alive, in its instance and of that generation.
func (f *handoffFleet) expectGeneration(generation uint32) {
	f.t.Helper()
	for i := 1; i < len(f.nodes); i++ {
		for _, m := range f.nodes[i].View().Members {
			if m.Name != "a" {
				continue
			}
			if m.Process == nil || m.Process.Generation != generation || m.ID != f.nodes[0].Self().ID || m.State != StateAlive {
				f.t.Errorf("%s holds a %v in instance %v, %+v, want generation %d",
					handoffNames[i], m.State, m.ID, m.Process, generation)
			}
		}
	}
}

// A successor continues its predecessor's instance: the others hold it alive throughout, accept its messages and learn
// its process; replayed messages are not accepted. A predecessor that goes on after its successor failed counts over it.
func TestSuccessorContinuesInstance(t *testing.T) {
	f := newHandoffFleet(t)
	f.settle()
	instance := f.nodes[0].Self().ID
	first := f.nodes[0].Handoff()
	f.nodes[0] = f.newNode(0, 2, first)
	if s := f.nodes[0].Connectivity(); s.State == StateAlive {
		t.Error("connectivity before the first tick")
	}
	sentBefore := f.sent
	f.settle()
	f.expectGeneration(2)
	// The successor fails, and the predecessor goes on with what it had handed over.
	first.Reclaim()
	f.nodes[0] = f.newNode(0, 1, first)
	f.settle()
	f.expectGeneration(1)
	if f.nodes[0].Self().ID != instance {
		t.Errorf("instance %v, was %v", f.nodes[0].Self().ID, instance)
	}
	received := f.nodes[1].Counts.Received
	for _, msg := range sentBefore[len(sentBefore)-5:] {
		if msg.To == "b" && msg.Kind != KindHello {
			f.nodes[1].Receive(f.now, handoffAddr(0), msg)
		}
	}
	if f.nodes[1].Counts.Received != received {
		t.Error("replayed messages of the instance are accepted")
	}
}

func TestLostOrLeftInstanceIsNotContinued(t *testing.T) {
	f := newHandoffFleet(t)
	f.settle()
	for _, s := range []State{StateNameConflict, StateLeft, StateLeaving} {
		n := f.newNode(0, 3, &HandoffState{ID: InstanceID{Epoch: 99, Nonce: 1}, State: s})
		if n.Self().ID.Epoch == 99 {
			t.Errorf("continues an instance that is %v", s)
		}
	}
}
