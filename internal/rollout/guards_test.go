package rollout

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// Three guards by themselves, each with what it keeps from happening.
func TestGuards(t *testing.T) {
	says := func(out []Outgoing, k Kind) bool {
		return slices.ContainsFunc(out, func(o Outgoing) bool { return o.Message.Kind == k })
	}
	for _, off := range []bool{false, true} {
		f := newFleet(t, planText, 1)
		f.play(6)
		f.nodes[4].Command(f.clock(4), CommandStart)
		f.play(8)
		n := f.nodes[4]
		if !n.IsLeader() || n.leads.decided.Phase != PhaseForward {
			t.Fatalf("it does not lead forward: %+v", n.leads)
		}
		// Who was told forward a moment ago may still begin: nobody decides to go back yet.
		n.wrong.turnsAtOnce = off
		n.leads.told, n.orders = n.now, []Command{CommandRollBack}
		if s := n.leads.step(n); (s.Phase == PhaseRollingBack) != off {
			t.Errorf("turned at once: %v with the guard off %v", s.Phase, off)
		}
		n.leads.told = n.now - 2*actWithin
		if s := n.leads.step(n); !off && s.Phase != PhaseRollingBack {
			t.Errorf("the order is lost: %v", s.Phase)
		}
		n.leads.turning = false
		// A leader whose lease is over tells nobody anything.
		n.wrong.noLease, n.leads.lease = off, n.now-1
		if out := n.Receive(n.now, "a1", &Message{Kind: KindPoll, Plan: f.plan.Digest, Nonce: 7, Report: &Report{}}); says(out, KindDecided) != off {
			t.Errorf("tells without a lease: %v", !off)
		}
		// One that has lost its disk promises nothing until it has been told.
		m := NewNode(f.plan, "a1", nil, rand.New(rand.NewPCG(1, 1)), second)
		m.wrong.forgets = off
		m.Tick(2 * second)
		if out := m.Receive(10*second, "a2", &Message{Kind: KindPrepare, Plan: f.plan.Digest, Term: 9000}); says(out, KindPromise) != off {
			t.Errorf("promises with nothing known: %v", !off)
		}
	}
}

// A rule that a changed router's keeper has seen it break turns all back, unless one
// that has not changed breaks it as well.
func TestRulesSeenBroken(t *testing.T) {
	for _, c := range []struct {
		name           string
		first, other   uint8
		trusts, turned bool
	}{
		{"nothing", 0, 0, false, false},
		{"the changed one", 8, 0, false, true},
		{"both", 8, 8, false, false},
		{"both, and another", 8 | 32, 8, false, true},
		{"the other", 0, 8, false, false},
		{"no guard", 8, 0, true, false},
	} {
		f := newFleet(t, planText, 3)
		f.nodes[4].Command(f.clock(4), CommandStart)
		f.play(12)
		f.wrong.trusts = c.trusts
		for i := range f.nodes {
			f.nodes[i].wrong = f.wrong
		}
		if !f.local[0].onNew {
			t.Fatal("the first has not changed")
		}
		f.local[0].broken, f.local[5].broken = c.first, c.other
		f.play(8)
		if turned := f.way() == PhaseRollingBack || f.way() == PhaseRolledBack; turned != c.turned {
			t.Errorf("%s: %v", c.name, f.way())
		}
	}
}

// A stage that wants drains and purges to be told does not pass before.
func TestUntried(t *testing.T) {
	for _, told := range []bool{false, true} {
		f := newFleet(t, strings.Replace(planText, "least_s: 10}", "least_s: 10, drains: 1, purges: 2}", 1), 3)
		f.nodes[4].Command(f.clock(4), CommandStart)
		f.play(30)
		if told {
			f.local[0].drains, f.local[0].purges = 1, 2
		}
		f.play(50)
		v, _ := f.nodes[4].View()
		if (f.way() == PhasePaused) == told || !told && !strings.Contains(v.Reason, "a1 was told of 0 drains") || told && v.Stage == 0 {
			t.Errorf("told %v: %v at stage %d, %s", told, f.way(), v.Stage, v.Reason)
		}
	}
}
