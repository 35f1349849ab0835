package rollout

import (
	"strings"
	"testing"
)

// A new generation that is the same passes all stages; one that is worse is rolled back
// at the first, and all have the old one in the end.
func TestSamePassesAllStagesAndWorseIsRolledBack(t *testing.T) {
	f := newFleet(t, sevenRouterPlan, 1)
	f.command(4, CommandStart)
	f.runFor(15)
	if _, upgraded := f.views(); upgraded != 1 || !f.routers[0].upgraded {
		t.Errorf("after 15 s %d have changed", upgraded)
	}
	f.runFor(200)
	if views, upgraded := f.views(); upgraded != 7 || f.phase() != PhaseDone {
		t.Errorf("%v: %v, %d have changed", f.phase(), views, upgraded)
	}
	if f.maxConcurrent != 1 || len(f.violations) > 0 {
		t.Error(f.maxConcurrent, f.violations)
	}
	f = newFleet(t, sevenRouterPlan, 2)
	f.newGenerationLoss = 0.25
	f.command(0, CommandStart)
	for f.now < 200*second && f.phase() != PhaseRolledBack {
		f.step()
	}
	_, upgraded := f.views()
	if upgraded != 0 || f.phase() != PhaseRolledBack {
		t.Errorf("%v, %d have changed", f.phase(), upgraded)
	}
	if len(f.startedChanges) != 2 || len(f.violations) > 0 {
		t.Errorf("%+v, %v", f.startedChanges, f.violations)
	}
	v, _ := f.nodes[3].View()
	if !strings.Contains(v.Reason, "lost weight") {
		t.Error(v.Reason)
	}
}

// The leader is killed, frozen, partitioned with few and with many, again and again,
// while messages are lost and late and clocks drift: never two directions, never two
// changes of an office at once, and an end.
func TestRolloutEndsInOneGenerationUnderFaults(t *testing.T) {
	ends := map[Phase]int{}
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
		ends[phase]++
		inOneGeneration := phase == PhaseDone && upgraded == 7 ||
			phase == PhaseRolledBack && upgraded == 0 ||
			phase == PhaseNone && upgraded == 0 || // the router that took the command stopped before a decision
			phase == PhasePaused
		switch {
		case len(f.violations) > 0:
			t.Errorf("seed %d: %v", seed, f.violations)
		case !inOneGeneration:
			t.Errorf("seed %d: %v, %d have changed: %v", seed, phase, upgraded, views)
		case phase == PhaseDone && f.newGenerationLoss > 0:
			t.Errorf("seed %d: a worse one has passed", seed)
		}
	}
	t.Logf("ends: %v", ends)
}

// injectFault plays a fault of the leader, or of any router each third time.
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
	case 2: // with one other, or with most
		side := map[int]bool{i: true}
		for len(side) < 2+3*f.random.IntN(2) {
			side[f.random.IntN(7)] = true
		}
		f.partition = func(from, to int) bool { return side[from] != side[to] }
		f.runFor(8 + 10*f.random.Float64())
		f.partition = nil
	case 3: // it hears, and is not heard
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

// Where no router has any durable state, as at the very first, all take part once all
// have said so; where one alone has lost it, a majority of the others is enough.
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
			t.Errorf("%d takes part, and one is missing", i+1)
		}
	}
	f.startRouter(0)
	f.runFor(5)
	for i := range f.nodes {
		if f.nodes[i].recovering() {
			t.Errorf("%d asks for ever", i)
		}
	}
	f.command(0, CommandStart)
	f.runFor(20)
	stored := f.nodes[3].Durable
	f.stopRouter(3)
	f.startRouter(3)
	f.stopRouter(5)
	f.runFor(3)
	if d := f.nodes[3].Durable; d.PromisedTerm < stored.PromisedTerm || d.State.Seq < stored.State.Seq || stored.State.Seq == 0 {
		t.Errorf("it had stored %+v and has %+v", stored, d)
	}
}

// Two rollouts are started on two sides of a partition: the minority's waits or comes to
// nothing, and the fleet ends in one generation.
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
				t.Errorf("seed %d: %s changes on the smaller side", seed, f.plan.Routers[i].Name)
			}
		}
		f.partition = nil
		f.runFor(300)
		_, upgraded := f.views()
		ended := f.phase() == PhaseDone || f.phase() == PhaseRolledBack
		if len(f.violations) > 0 || upgraded != 0 && upgraded != 7 || !ended {
			t.Errorf("seed %d: %v with %d, %v", seed, f.phase(), upgraded, f.violations)
		}
	}
}

// A stage that asks for drains and purges does not pass before changed routers were
// notified of them.
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
		v, _ := f.nodes[4].View()
		paused := f.phase() == PhasePaused
		reasonNamed := strings.Contains(v.Reason, "a1 was notified of 0 drains")
		if paused == notified || !notified && !reasonNamed || notified && v.Stage == 0 {
			t.Errorf("notified %v: %v at stage %d, %s", notified, f.phase(), v.Stage, v.Reason)
		}
	}
}
