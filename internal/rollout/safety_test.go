package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func hasKind(out []Outgoing, kind Kind) bool {
	return slices.ContainsFunc(out, func(o Outgoing) bool { return o.Message.Kind == kind })
}

// Each of three checks is necessary: the same input has no effect with the check, and the
// forbidden effect without it.
func TestSafetyChecksAreNeeded(t *testing.T) {
	for _, checkOff := range []bool{false, true} {
		f := newFleet(t, sevenRouterPlan, 1)
		f.runFor(6)
		f.command(4, CommandStart)
		f.runFor(8)
		n := f.nodes[4]
		if !n.IsLeader() || n.leader.decided.Phase != PhaseForward {
			t.Fatalf("router 4 is not the leader of a rollout in PhaseForward: %+v", n.leader)
		}
		// A router that was just permitted to upgrade may still begin, so that no rollback
		// may be decided yet.
		checks := n.checks
		if checkOff {
			n.checks.forwardPermitsExpired = func(int64) bool { return true }
		}
		n.leader.lastForwardPermitAt, n.commands = n.now, []Command{CommandRollBack}
		if next := n.leader.nextState(n); (next.Phase == PhaseRollingBack) != checkOff {
			t.Errorf("rollback right after a forward permit: next phase %v, check off %v", next.Phase, checkOff)
		}
		n.leader.lastForwardPermitAt = n.now - 2*viewMaxAge
		if next := n.leader.nextState(n); !checkOff && next.Phase != PhaseRollingBack {
			t.Errorf("the pending rollback is lost: next phase %v", next.Phase)
		}
		n.leader.rollbackPending = false
		// A leader whose lease has expired does not reply to a poll.
		n.checks = checks
		if checkOff {
			n.checks.leaseHeld = func(int64, int64) bool { return true }
		}
		n.leader.leaseUntil = n.now - 1
		poll := Message{Kind: KindPoll, Plan: f.plan.Digest, Nonce: 7, Report: &Report{}}
		if out := n.Receive(n.now, "a1", &poll); hasKind(out, KindDecided) != checkOff {
			t.Errorf("replies to a poll without a lease: %v, check off %v", !checkOff, checkOff)
		}
		// A router that has lost its durable state promises nothing before it has recovered.
		recovering := NewNode(f.plan, "a1", nil, rand.New(rand.NewPCG(1, 1)), second)
		if checkOff {
			recovering.recoveryNonce = 0
		}
		recovering.Tick(2 * second)
		prepare := Message{Kind: KindPrepare, Plan: f.plan.Digest, Term: 9000}
		if out := recovering.Receive(10*second, "a2", &prepare); hasKind(out, KindPromise) != checkOff {
			t.Errorf("promises without durable state: %v, check off %v", !checkOff, checkOff)
		}
	}
}

// A rule that a changed router violates, as observed by its supervisor, causes a rollback
// unless an unchanged router violates it as well.
func TestViolatedRuleRollsBack(t *testing.T) {
	for _, tc := range []struct {
		name               string
		changed, unchanged uint8
		checkOff           bool
		rolledBack         bool
	}{
		{"no violation", 0, 0, false, false},
		{"by the changed router", 8, 0, false, true},
		{"by both routers", 8, 8, false, false},
		{"one by both, another by the changed router", 8 | 32, 8, false, true},
		{"by the unchanged router", 0, 8, false, false},
		{"check off", 8, 0, true, false},
	} {
		f := newFleet(t, sevenRouterPlan, 3)
		f.command(4, CommandStart)
		f.runFor(12)
		if tc.checkOff {
			for _, n := range f.nodes {
				n.checks.newViolations = func(uint8, uint8) uint8 { return 0 }
			}
		}
		if !f.routers[0].upgraded {
			t.Fatal("the first router is not upgraded")
		}
		f.routers[0].violatedRules, f.routers[5].violatedRules = tc.changed, tc.unchanged
		f.runFor(8)
		rolledBack := f.phase() == PhaseRollingBack || f.phase() == PhaseRolledBack
		if rolledBack != tc.rolledBack {
			t.Errorf("%s: phase %v, want rollback %v", tc.name, f.phase(), tc.rolledBack)
		}
	}
}

// A router may begin a change on a view for one second by its own clock, counted from its
// poll. Guards against a router that was frozen after the poll and begins a change on it.
func TestStaleViewBeginsNoChange(t *testing.T) {
	for _, checkOff := range []bool{false, true} {
		f := newFleet(t, sevenRouterPlan, 1)
		n := f.nodes[0]
		if checkOff {
			n.checks.viewFresh = func(int64) bool { return true }
		}
		n.view, n.viewAt = State{Seq: 3, Phase: PhaseForward, Batch: Set(nil).With(0)}, n.now
		if target := n.Target(n.now + viewMaxAge/2); !target.Upgraded || !target.MayStart {
			t.Errorf("fresh view: target %+v, want the new generation at once", target)
		}
		if target := n.Target(n.now + 10*viewMaxAge); target.MayStart != checkOff {
			t.Errorf("stale view, check off %v: target %+v", checkOff, target)
		}
	}
}

// With a quorum of a third of the routers, two leaders decide differently.
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
		t.Error("no seed found a violation")
	}
}

// If a check of the protocol is weakened, some sequence of faults violates the invariants.
func TestFaultSequencesFindWeakenedProtocols(t *testing.T) {
	for name, v := range map[string]variant{
		"a new leader continues from any state of the latest term": {weaken: func(c *safetyChecks) {
			c.supersedes = func(term uint64, _ *State, otherTerm uint64, _ *State) bool { return term > otherTerm }
		}},
		"a candidate promises its own term before a quorum": {promisesItselfFirst: true},
		"a deposed leader continues": {weaken: func(c *safetyChecks) {
			c.deposed = func(uint64, uint64) bool { return false }
		}},
	} {
		if violations, sequences, _, _ := runFaultSequences(t, 4, v); len(violations) == 0 {
			t.Errorf("%s: no violation found in %d sequences", name, sequences)
		} else {
			t.Logf("%s: %s", name, violations[0])
		}
	}
}
