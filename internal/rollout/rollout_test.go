package rollout

import (
	"strings"
	"testing"
)

// A new generation that is no different passes all stages. A worse one is rolled back in
// the first stage, after which all routers have the old generation.
func TestSamePassesAllStagesAndWorseIsRolledBack(t *testing.T) {
	f := newFleet(t, sevenRouterPlan, 1)
	f.command(4, CommandStart)
	f.runFor(15)
	if _, upgraded := f.views(); upgraded != 1 || !f.routers[0].upgraded {
		t.Errorf("%d routers are upgraded after 15 s, want only the first", upgraded)
	}
	f.runFor(200)
	if views, upgraded := f.views(); upgraded != 7 || f.phase() != PhaseDone {
		t.Errorf("phase %v, %d routers are upgraded: %v; want done with all 7", f.phase(), upgraded, views)
	}
	if f.maxConcurrent != 1 || len(f.violations) > 0 {
		t.Errorf("%d concurrent changes in an office, violations %v", f.maxConcurrent, f.violations)
	}
	f = newFleet(t, sevenRouterPlan, 2)
	f.newGenerationLoss = 0.25
	f.command(0, CommandStart)
	for f.now < 200*second && f.phase() != PhaseRolledBack {
		f.step()
	}
	_, upgraded := f.views()
	if upgraded != 0 || f.phase() != PhaseRolledBack {
		t.Errorf("phase %v, %d routers are upgraded, want undone with none", f.phase(), upgraded)
	}
	if len(f.startedChanges) != 2 || len(f.violations) > 0 {
		t.Errorf("changes %+v, violations %v", f.startedChanges, f.violations)
	}
	view, _ := f.nodes[3].View()
	if !strings.Contains(view.Reason, "lost weight") {
		t.Errorf("reason %q does not name the lost weight", view.Reason)
	}
}

// The leader is repeatedly stopped, frozen, and partitioned with a minority or a majority,
// while messages are lost and delayed and clock rates differ. Guards against routers that
// upgrade after a rollback was decided, two concurrent changes in an office, and a rollout
// that does not end in one generation.
func TestRolloutEndsInOneGenerationUnderFaults(t *testing.T) {
	finalPhases := map[Phase]int{}
	for seed := range uint64(60) {
		f := newFleet(t, sevenRouterPlan, seed)
		f.keepsDisks = seed%3 != 0
		f.lossRate, f.maxDelay = 0.05, 200*millisecond
		if seed%2 == 1 {
			f.newGenerationLoss = 0.25
		}
		f.runFor(6)
		f.command(int(seed%7), CommandStart)
		for faultNumber := range 10 {
			f.runFor(3 + 5*f.random.Float64())
			f.injectFault(seed, faultNumber)
		}
		f.lossRate = 0
		f.runFor(320)
		views, upgraded := f.views()
		phase := f.phase()
		finalPhases[phase]++
		inOneGeneration := phase == PhaseDone && upgraded == 7 ||
			phase == PhaseRolledBack && upgraded == 0 ||
			phase == PhaseNone && upgraded == 0 || // the router with the start command stopped before a decision
			phase == PhasePaused
		switch {
		case len(f.violations) > 0:
			t.Errorf("seed %d: violations %v", seed, f.violations)
		case !inOneGeneration:
			t.Errorf("seed %d: phase %v, %d routers are upgraded: %v", seed, phase, upgraded, views)
		case phase == PhaseDone && f.newGenerationLoss > 0:
			t.Errorf("seed %d: a worse generation has passed all stages", seed)
		}
	}
	t.Logf("final phases: %v", finalPhases)
}

// injectFault simulates a fault of the leader, or every third time of a random router. The
// fault has ended when it returns.
func (f *fleet) injectFault(seed uint64, faultNumber int) {
	i := int(seed % 7)
	for j, n := range f.nodes {
		if n != nil && n.leader != nil {
			i = j
			break
		}
	}
	if faultNumber%3 == 2 {
		i = f.random.IntN(7)
	}
	if !f.routers[i].up || f.routers[i].frozen {
		return
	}
	switch faultNumber % 5 {
	case 0:
		f.stopRouter(i)
		f.runFor(2 + 9*f.random.Float64())
		f.startRouter(i)
	case 1:
		f.routers[i].frozen = true
		f.runFor(10)
		f.routers[i].frozen = false
	case 2: // partitioned together with one other router, or with a majority
		side := map[int]bool{i: true}
		for len(side) < 2+3*f.random.IntN(2) {
			side[f.random.IntN(7)] = true
		}
		f.partition = func(from, to int) bool { return side[from] != side[to] }
		f.runFor(8 + 10*f.random.Float64())
		f.partition = nil
	case 3: // receives messages, but none of its own are delivered
		f.partition = func(from, _ int) bool { return from == i }
		f.runFor(8)
		f.partition = nil
	case 4:
		j := (i + 1) % 7
		if f.routers[j].up {
			f.stopRouter(i)
			f.stopRouter(j)
			f.runFor(1)
			f.startRouter(i)
			f.startRouter(j)
		}
	}
}

// If no router has durable state, the recovery ends only once all have reported that they
// lost theirs. If only one has lost it, the replies of a majority of the others suffice.
func TestRouterWithoutDurableStateRecoversFromOthers(t *testing.T) {
	f := newFleet(t, sevenRouterPlan, 5)
	f.keepsDisks = false
	for i := range f.nodes {
		f.stopRouter(i)
	}
	for i := range f.nodes[1:] {
		f.startRouter(i + 1)
	}
	f.runFor(5)
	for i := range f.nodes[1:] {
		if !f.nodes[i+1].recovering() {
			t.Errorf("router %d has recovered although one router has not replied", i+1)
		}
	}
	f.startRouter(0)
	f.runFor(5)
	for i := range f.nodes {
		if f.nodes[i].recovering() {
			t.Errorf("router %d has not recovered", i)
		}
	}
	f.command(0, CommandStart)
	f.runFor(20)
	stored := f.nodes[3].Durable
	f.stopRouter(3)
	f.startRouter(3)
	f.stopRouter(5)
	f.runFor(3)
	recovered := f.nodes[3].Durable
	if recovered.PromisedTerm < stored.PromisedTerm || recovered.State.Seq < stored.State.Seq || stored.State.Seq == 0 {
		t.Errorf("recovered %+v, want at least the lost %+v", recovered, stored)
	}
}

// A rollout is started on each side of a partition. No router of the minority changes while
// the partition lasts, and the fleet ends in one generation after it.
func TestMinoritySideChangesNothing(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, sevenRouterPlan, seed)
		f.runFor(6)
		f.partition = func(from, to int) bool { return (from < 3) != (to < 3) }
		f.command(1, CommandStart)
		f.command(5, CommandStart)
		f.runFor(25)
		for i := range 3 {
			if f.routers[i].upgraded || f.routers[i].changing {
				t.Errorf("seed %d: %s changes on the minority side", seed, f.plan.Routers[i].Name)
			}
		}
		f.partition = nil
		f.runFor(300)
		_, upgraded := f.views()
		ended := f.phase() == PhaseDone || f.phase() == PhaseRolledBack
		if len(f.violations) > 0 || upgraded != 0 && upgraded != 7 || !ended {
			t.Errorf("seed %d: phase %v, %d routers are upgraded, violations %v", seed, f.phase(), upgraded, f.violations)
		}
	}
}

// A stage that requires drains and purges passes only once its changed routers were notified
// of them. Otherwise it ends inconclusive, which pauses the rollout.
func TestStageWaitsForDrainsAndPurges(t *testing.T) {
	for _, notified := range []bool{false, true} {
		plan := strings.Replace(sevenRouterPlan, "least_s: 10}", "least_s: 10, drains: 1, purges: 2}", 1)
		f := newFleet(t, plan, 3)
		f.command(4, CommandStart)
		f.runFor(30)
		if notified {
			f.routers[0].drainsSeen, f.routers[0].purgesSeen = 1, 2
		}
		f.runFor(50)
		view, _ := f.nodes[4].View()
		paused := f.phase() == PhasePaused
		reasonNamed := strings.Contains(view.Reason, "a1 was notified of 0 drains")
		if paused == notified || !notified && !reasonNamed || notified && view.Stage == 0 {
			t.Errorf("notified %v: phase %v at stage %d, reason %q", notified, f.phase(), view.Stage, view.Reason)
		}
	}
}
