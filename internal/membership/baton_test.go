package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
)

// A generation goes on with its predecessor's life: the others hold it alive all the
// while, hear its words and what it runs; its own replayed words prove nothing. One
// that comes back after its successor failed is believed over it.
func TestBaton(t *testing.T) {
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
	}
	names := []string{"a", "b", "c"}
	var seeds []Seed
	for i, n := range names {
		seeds = append(seeds, Seed{n, addr(i)})
	}
	make1 := func(i int, now int64, gen uint32, b *HandoffState) *Node {
		return New(Settings{Name: names[i], Addr: addr(i), Seeds: seeds, Epoch: 1, Process: &ProcessInfo{Generation: gen}, Handoff: b},
			rand.New(rand.NewPCG(uint64(i), uint64(gen))), now)
	}
	var nodes []*Node
	for i := range names {
		nodes = append(nodes, make1(i, 1, 1, nil))
	}
	now := int64(1)
	var last []*Message // of a's words
	play := func(long int64) {
		for end := now + long; now < end; now += 10 * ms {
			var out []Outbound
			for i, n := range nodes {
				_, o, news := n.Tick(now)
				for _, c := range news {
					if i > 0 && c.Name == "a" && c.To != StateAlive && c.To != StateJoining {
						t.Errorf("%s holds a %v at %d ms", names[i], c.To, now/ms)
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
							last = append(last, o.Message)
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
	runs := func(gen uint32) {
		t.Helper()
		for i := 1; i < 3; i++ {
			for _, s := range nodes[i].View().Members {
				if s.Name == "a" && (s.Process == nil || s.Process.Generation != gen || s.ID != nodes[0].Self().ID || s.State != StateAlive) {
					t.Errorf("%s holds a %v life %v, %+v, want generation %d", names[i], s.State, s.ID, s.Process, gen)
				}
			}
		}
	}
	play(3 * second)
	life := nodes[0].Self().ID
	first := nodes[0].Handoff()
	nodes[0] = make1(0, now, 2, first)
	if s := nodes[0].Connectivity(); s.State == StateAlive {
		t.Error("a standing before its first run")
	}
	old := last
	play(3 * second)
	runs(2)
	// The second fails, and the first comes back with what it had handed over.
	first.Reclaim()
	nodes[0] = make1(0, now, 1, first)
	play(3 * second)
	runs(1)
	if nodes[0].Self().ID != life {
		t.Errorf("life %v, was %v", nodes[0].Self().ID, life)
	}
	taken := nodes[1].Counts.Received
	for _, w := range old[len(old)-5:] {
		if w.To == "b" && w.Kind != KindHello {
			nodes[1].Receive(now, addr(0), w)
		}
	}
	if nodes[1].Counts.Received != taken {
		t.Error("replayed words of the life are taken")
	}
	// One that was doubled or has left is not gone on with.
	for _, s := range []State{StateNameConflict, StateLeft, StateLeaving} {
		if n := make1(0, now, 3, &HandoffState{ID: InstanceID{Epoch: 99, Nonce: 1}, State: s}); n.Self().ID.Epoch == 99 {
			t.Errorf("goes on with a life that is %v", s)
		}
	}
}
