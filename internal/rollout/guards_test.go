package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Three guards by themselves, each with what it keeps from happening.
func TestGuards(t *testing.T) {
	says := func(out []Out, k Kind) bool {
		return slices.ContainsFunc(out, func(o Out) bool { return o.Msg.Kind == k })
	}
	for _, off := range []bool{false, true} {
		f := newFleet(t, planText, 1)
		f.play(6)
		f.nodes[4].Command(f.clock(4), Start)
		f.play(8)
		n := f.nodes[4]
		if !n.Leads() || n.leads.decided.Way != Forward {
			t.Fatalf("it does not lead forward: %+v", n.leads)
		}
		// Who was told forward a moment ago may still begin: nobody decides to go back yet.
		n.wrong.turnsAtOnce = off
		n.leads.told, n.orders = n.now, []Command{Back}
		if s := n.leads.step(n); (s.Way == Backward) != off {
			t.Errorf("turned at once: %v with the guard off %v", s.Way, off)
		}
		n.leads.told = n.now - 2*actWithin
		if s := n.leads.step(n); !off && s.Way != Backward {
			t.Errorf("the order is lost: %v", s.Way)
		}
		n.leads.turning = false
		// A leader whose lease is over tells nobody anything.
		n.wrong.noLease, n.leads.lease = off, n.now-1
		if out := n.Heard(n.now, "a1", &Msg{Kind: Ask, Plan: f.plan.Digest, Nonce: 7, Report: &Report{}}); says(out, Tell) != off {
			t.Errorf("tells without a lease: %v", !off)
		}
		// One that has lost its disk promises nothing until it has been told.
		m := NewNode(f.plan, "a1", nil, rand.New(rand.NewPCG(1, 1)), second)
		m.wrong.forgets = off
		m.Tick(2 * second)
		if out := m.Heard(10*second, "a2", &Msg{Kind: Prepare, Plan: f.plan.Digest, Term: 9000}); says(out, Promise) != off {
			t.Errorf("promises with nothing known: %v", !off)
		}
	}
}
