package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
)

// handoffFleet runs the routers a, b and c without delay between them. Successors replace the process of a.
type handoffFleet struct {
	t       *testing.T
	now     int64
	nodes   []*Node
	sentByA []*Message // delivered messages of a, in order
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

// newNode starts a process of a router with the given generation. It continues the predecessor's instance unless
// predecessor is nil.
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

// settle runs the fleet for three seconds. It fails the test if b or c then set the state of a to anything but alive or
// joining.
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

// checkChanges fails the test if a change sets the state of a to anything but alive or joining.
func (f *handoffFleet) checkChanges(observer string, changes []Change) {
	f.t.Helper()
	for _, c := range changes {
		if c.Name == "a" && c.To != StateAlive && c.To != StateJoining {
			f.t.Errorf("%s sets the state of router a to %v at %d ms", observer, c.To, f.now/millisecond)
		}
	}
}

// deliver delivers messages and the replies to them, until there are no further replies.
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
				f.sentByA = append(f.sentByA, next.Message)
			}
			from := max(slices.Index(handoffNames, sender), 0)
			out = append(out, n.Receive(f.now, handoffAddr(from), next.Message)...)
		}
	}
}

// expectGeneration fails the test unless b and c hold a alive, with its present instance and that generation.
func (f *handoffFleet) expectGeneration(generation uint32) {
	f.t.Helper()
	for i := 1; i < len(f.nodes); i++ {
		for _, m := range f.nodes[i].View().Members {
			if m.Name != "a" {
				continue
			}
			if m.Process == nil || m.Process.Generation != generation || m.ID != f.nodes[0].Self().ID || m.State != StateAlive {
				f.t.Errorf("%s holds router a %v with instance %v and process %+v, want alive with %v and generation %d",
					handoffNames[i], m.State, m.ID, m.Process, f.nodes[0].Self().ID, generation)
			}
		}
	}
}

// A successor continues its predecessor's instance: the other members hold it alive throughout, accept its messages and
// receive its process info, and reject replayed messages. A predecessor that continues after its successor has failed
// takes precedence over the successor.
func TestSuccessorContinuesInstance(t *testing.T) {
	f := newHandoffFleet(t)
	f.settle()
	instance := f.nodes[0].Self().ID
	first := f.nodes[0].Handoff()
	f.nodes[0] = f.newNode(0, 2, first)
	if s := f.nodes[0].Connectivity(); s.State == StateAlive {
		t.Errorf("connectivity before the first Tick has state %v", s.State)
	}
	sentBefore := f.sentByA
	f.settle()
	f.expectGeneration(2)
	// The successor fails, and the predecessor continues with the state that it had handed over.
	first.SkipSuccessorNumbers()
	f.nodes[0] = f.newNode(0, 1, first)
	f.settle()
	f.expectGeneration(1)
	if f.nodes[0].Self().ID != instance {
		t.Errorf("instance is %v after the handoffs, was %v", f.nodes[0].Self().ID, instance)
	}
	received := f.nodes[1].Counts.Received
	for _, msg := range sentBefore[len(sentBefore)-5:] {
		if msg.To == "b" && msg.Kind != KindHello {
			f.nodes[1].Receive(f.now, handoffAddr(0), msg)
		}
	}
	if f.nodes[1].Counts.Received != received {
		t.Errorf("%d replayed messages of the instance were accepted", f.nodes[1].Counts.Received-received)
	}
}

// A node starts an instance of its own where its predecessor was leaving, had left, or had yielded its name.
func TestLostOrLeftInstanceIsNotContinued(t *testing.T) {
	f := newHandoffFleet(t)
	f.settle()
	for _, s := range []State{StateNameConflict, StateLeft, StateLeaving} {
		n := f.newNode(0, 3, &HandoffState{ID: InstanceID{Epoch: 99, Nonce: 1}, State: s})
		if n.Self().ID.Epoch == 99 {
			t.Errorf("an instance in state %v is continued", s)
		}
	}
}
