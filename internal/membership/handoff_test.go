package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
)

// A successor continues its predecessor's instance: the others hold it alive throughout, accept its messages and learn
// its process; replayed messages are not accepted. A predecessor that goes on after its successor failed counts over it.
func TestSuccessorContinuesInstance(t *testing.T) {
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
	}
	names := []string{"a", "b", "c"}
	var seeds []Seed
	for i, n := range names {
		seeds = append(seeds, Seed{n, addr(i)})
	}
	start := func(i int, now int64, generation uint32, b *HandoffState) *Node {
		settings := Settings{
			Name: names[i], Addr: addr(i), Seeds: seeds, Epoch: 1,
			Process: &ProcessInfo{Generation: generation}, Handoff: b,
		}
		return New(settings, rand.New(rand.NewPCG(uint64(i), uint64(generation))), now)
	}
	var nodes []*Node
	for i := range names {
		nodes = append(nodes, start(i, 1, 1, nil))
	}
	now := int64(1)
	var sentByA []*Message
	runFor := func(length int64) {
		for end := now + length; now < end; now += 10 * millisecond {
			var out []Outbound
			for i, n := range nodes {
				_, o, changes := n.Tick(now)
				for _, c := range changes {
					if i > 0 && c.Name == "a" && c.To != StateAlive && c.To != StateJoining {
						t.Errorf("%s holds a %v at %d ms", names[i], c.To, now/millisecond)
					}
				}
				out = append(out, o...)
			}
			for len(out) > 0 {
				o := out[0]
				out = out[1:]
				for i, n := range nodes {
					if addr(i) == o.Addr {
						if o.Message.Sender.Name == "a" {
							sentByA = append(sentByA, o.Message)
						}
						from := 0
						for j, name := range names {
							if name == o.Message.Sender.Name {
								from = j
							}
						}
						out = append(out, n.Receive(now, addr(from), o.Message)...)
					}
				}
			}
		}
	}
	expectGeneration := func(generation uint32) {
		t.Helper()
		for i := 1; i < 3; i++ {
			for _, s := range nodes[i].View().Members {
				if s.Name != "a" {
					continue
				}
				if s.Process == nil || s.Process.Generation != generation || s.ID != nodes[0].Self().ID || s.State != StateAlive {
					t.Errorf("%s holds a %v in instance %v, %+v, want generation %d", names[i], s.State, s.ID, s.Process, generation)
				}
			}
		}
	}
	runFor(3 * second)
	instance := nodes[0].Self().ID
	first := nodes[0].Handoff()
	nodes[0] = start(0, now, 2, first)
	if s := nodes[0].Connectivity(); s.State == StateAlive {
		t.Error("connectivity before the first tick")
	}
	old := sentByA
	runFor(3 * second)
	expectGeneration(2)
	// The successor fails, and the predecessor goes on with what it had handed over.
	first.Reclaim()
	nodes[0] = start(0, now, 1, first)
	runFor(3 * second)
	expectGeneration(1)
	if nodes[0].Self().ID != instance {
		t.Errorf("instance %v, was %v", nodes[0].Self().ID, instance)
	}
	received := nodes[1].Counts.Received
	for _, msg := range old[len(old)-5:] {
		if msg.To == "b" && msg.Kind != KindHello {
			nodes[1].Receive(now, addr(0), msg)
		}
	}
	if nodes[1].Counts.Received != received {
		t.Error("replayed messages of the instance are accepted")
	}
	// An instance that lost its name or has left is not continued.
	for _, s := range []State{StateNameConflict, StateLeft, StateLeaving} {
		if n := start(0, now, 3, &HandoffState{ID: InstanceID{Epoch: 99, Nonce: 1}, State: s}); n.Self().ID.Epoch == 99 {
			t.Errorf("continues an instance that is %v", s)
		}
	}
}
