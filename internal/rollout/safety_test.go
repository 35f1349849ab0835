package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func hasKind(out []Outgoing, k Kind) bool {
	return slices.ContainsFunc(out, func(o Outgoing) bool { return o.Message.Kind == k })
}

// Each of three checks prevents what it is for, and nothing else does: the same input
// has the forbidden effect once the check is off.
func TestSafetyChecksAreNeeded(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newFleet(t, sevenRouterPlan, 1)
		f.runFor(6)
		f.command(4, CommandStart)
		f.runFor(8)
		n := f.nodes[4]
		if !n.IsLeader() || n.leader.decided.Phase != PhaseForward {
			t.Fatalf("it does not lead forward: %+v", n.leader)
		}
		// A router that was allowed to go forward a moment ago may still begin: no
		// rollback is decided yet.
		checks := n.checks
		if off {
			n.checks.forwardPermitsExpired = func(int64) bool { return true }
		}
		n.leader.lastForwardPermitAt, n.commands = n.now, []Command{CommandRollBack}
		if s := n.leader.nextState(n); (s.Phase == PhaseRollingBack) != off {
			t.Errorf("rolls back at once: %v with the check off %v", s.Phase, off)
		}
		n.leader.lastForwardPermitAt = n.now - 2*viewMaxAge
		if s := n.leader.nextState(n); !off && s.Phase != PhaseRollingBack {
			t.Errorf("the command is lost: %v", s.Phase)
		}
		n.leader.rollbackPending = false
		// A leader whose lease is over answers no poll.
		n.checks = checks
		if off {
			n.checks.leaseHeld = func(int64, int64) bool { return true }
		}
		n.leader.leaseUntil = n.now - 1
		poll := Message{Kind: KindPoll, Plan: f.plan.Digest, Nonce: 7, Report: &Report{}}
		if out := n.Receive(n.now, "a1", &poll); hasKind(out, KindDecided) != off {
			t.Errorf("answers without a lease: %v", !off)
		}
		// A router that has lost its durable state promises nothing before it has recovered.
		m := NewNode(f.plan, "a1", nil, rand.New(rand.NewPCG(1, 1)), second)
		if off {
			m.recoveryNonce = 0
		}
		m.Tick(2 * second)
		prepare := Message{Kind: KindPrepare, Plan: f.plan.Digest, Term: 9000}
		if out := m.Receive(10*second, "a2", &prepare); hasKind(out, KindPromise) != off {
			t.Errorf("promises with nothing known: %v", !off)
		}
	}
}

// A rule that the supervisor of a changed router sees it violate rolls all back, unless
// an unchanged router violates it as well.
func TestViolatedRuleRollsBack(t *testing.T) {
	for _, c := range []struct {
		name               string
		changed, unchanged uint8
		checkOff           bool
		rolledBack         bool
	}{
		{"nothing", 0, 0, false, false},
		{"the changed one", 8, 0, false, true},
		{"both", 8, 8, false, false},
		{"both, and another", 8 | 32, 8, false, true},
		{"the unchanged one", 0, 8, false, false},
		{"check off", 8, 0, true, false},
	} {
		f := newFleet(t, sevenRouterPlan, 3)
		f.command(4, CommandStart)
		f.runFor(12)
		if c.checkOff {
			for _, n := range f.nodes {
				n.checks.newViolations = func(uint8, uint8) uint8 { return 0 }
			}
		}
		if !f.routers[0].upgraded {
			t.Fatal("the first has not changed")
		}
		f.routers[0].violatedRules, f.routers[5].violatedRules = c.changed, c.unchanged
		f.runFor(8)
		rolledBack := f.phase() == PhaseRollingBack || f.phase() == PhaseRolledBack
		if rolledBack != c.rolledBack {
			t.Errorf("%s: %v", c.name, f.phase())
		}
	}
}

// A view lets a router begin for a second by its own clock, from when it polled; one that
// was frozen meanwhile begins nothing.
func TestStaleViewBeginsNoChange(t *testing.T) {
	for _, checkOff := range []bool{false, true} {
		f := newFleet(t, sevenRouterPlan, 1)
		n := f.nodes[0]
		if checkOff {
			n.checks.viewFresh = func(int64) bool { return true }
		}
		n.view, n.viewAt = State{Seq: 3, Phase: PhaseForward, Batch: Set(nil).With(0)}, n.now
		if target := n.Target(n.now + viewMaxAge/2); !target.New || !target.MayStart {
			t.Error(target)
		}
		if target := n.Target(n.now + 10*viewMaxAge); target.MayStart != checkOff {
			t.Error(checkOff, target)
		}
	}
}

// With a quorum of a third, two leaders decide differently.
func TestQuorumBelowMajorityIsUnsafe(t *testing.T) {
	third := variant{weaken: func(c *safetyChecks) {
		c.quorum = func(routers int) int { return max(routers/3, 1) }
	}}
	found := false
	for seed := uint64(0); seed < 200 && !found; seed++ {
		f := newFleetOf(t, sevenRouterPlan, seed, third)
		f.maxDelay = 100 * millisecond
		f.command(0, CommandStart)
		f.runFor(8 + 4*f.random.Float64())
		side := map[int]bool{}
		for len(side) < 3 {
			side[f.random.IntN(7)] = true
		}
		frozen := f.random.IntN(7)
		f.routers[frozen].frozen = seed%2 == 0
		f.partition = func(from, to int) bool { return side[from] != side[to] }
		f.runFor(14)
		for i := range f.nodes {
			if f.random.IntN(2) == 0 && !f.routers[i].frozen {
				f.command(i, CommandRollBack)
			}
		}
		f.runFor(14)
		f.routers[frozen].frozen = false
		f.runFor(10)
		f.partition = nil
		f.runFor(30)
		found = len(f.violations) > 0
		if found {
			t.Logf("seed %d: %v", seed, f.violations[0])
		}
	}
	if !found {
		t.Error("not found")
	}
}

// Without one of the checks some sequence of faults violates the invariants.
func TestFaultSequencesFindWeakenedProtocols(t *testing.T) {
	for name, v := range map[string]variant{
		"a new leader goes on from any state of the latest term": {weaken: func(c *safetyChecks) {
			c.supersedes = func(term uint64, _ *State, otherTerm uint64, _ *State) bool { return term > otherTerm }
		}},
		"a candidate promises itself first": {promisesItselfFirst: true},
		"a deposed leader goes on": {weaken: func(c *safetyChecks) {
			c.deposed = func(uint64, uint64) bool { return false }
		}},
	} {
		if violations, sequences, _, _ := runFaultSequences(t, 4, v); len(violations) == 0 {
			t.Errorf("%s: not found in %d sequences", name, sequences)
		} else {
			t.Logf("%s: %s", name, violations[0])
		}
	}
}
