package emulator

import (
	"maps"
	"math/rand/v2"

	"quilldoor/internal/canary"
	"quilldoor/internal/rollout"
)

const (
	// routerMemoryMB is the memory that routers report.
	routerMemoryMB = 20
	// evenRequestIntervalMicros is the time between two requests in the counts that all routers
	// report alike where there is no canary analysis.
	evenRequestIntervalMicros = 10_000
)

// rolloutState is which program a router runs, and what its canary analysis counts.
type rolloutState struct {
	upgraded    bool   // it runs the new program, or changes to it
	upgrading   bool   // it changes its program now
	targetNew   bool   // that change, or the last one, is to the new program
	upgradeEnds int64  // when the change that is under way ends
	runID       uint64 // the rollout's run in which it changed last
	counts      canary.Counts
}

// rolloutDelivery is a message between rollout nodes that is delivered at the next step.
type rolloutDelivery struct {
	from, to int
	message  *rollout.Message
}

// step is called at each tick of the virtual clock.
func (r *rolloutRun) step(now int64) {
	due := !r.started && now >= int64(r.config.StartS*microsPerSecond)
	if r.config.AllAtOnce {
		if due {
			r.started = true
			r.upgradeAll()
		}
		return
	}
	if r.nodes == nil {
		r.startNodes(now)
	}
	r.deliver(now)
	if due {
		r.started = true
		r.nodes[0].Command(now+1, rollout.CommandStart)
	}
	for i, node := range r.nodes {
		r.stepNode(now, i, node)
	}
}

func (r *rolloutRun) upgradeAll() {
	for i := range r.states {
		r.states[i].upgraded = true
	}
}

func (r *rolloutRun) startNodes(now int64) {
	for i, router := range r.config.Plan.Routers {
		random := rand.New(rand.NewPCG(r.seed, uint64(i)))
		r.nodes = append(r.nodes, rollout.NewNode(r.config.Plan, router.Name, &rollout.Durable{}, random, now+1))
	}
}

// deliver hands the nodes the messages of the step before.
func (r *rolloutRun) deliver(now int64) {
	due := r.deliveries
	r.deliveries = nil
	for _, delivery := range due {
		from := r.config.Plan.Routers[delivery.from].Name
		r.enqueue(delivery.to, r.nodes[delivery.to].Receive(now+1, from, delivery.message))
	}
}

// stepNode reports a router's state to its node and begins the upgrade that the node wants.
func (r *rolloutRun) stepNode(now int64, i int, node *rollout.Node) {
	state := &r.states[i]
	if state.upgrading && now >= state.upgradeEnds {
		state.upgrading = false
	}
	node.SetReport(r.report(now, i))
	r.enqueue(i, node.Tick(now+1))
	target := node.Target(now + 1)
	if target.MayStart && !state.upgrading && target.New != state.upgraded {
		view, _ := node.View()
		state.upgrading = true
		state.targetNew = target.New
		state.upgraded = target.New
		state.runID = view.RunID
		state.upgradeEnds = now + int64(r.config.TrialS*microsPerSecond)
	}
	if view, age := node.View(); node.IsLeader() && age >= 0 {
		r.noteView(now, view.Phase, view.Stage, view.Reason)
	}
}

// report is what a router tells its node.
func (r *rolloutRun) report(now int64, i int) rollout.Report {
	state := &r.states[i]
	counts := state.counts
	counts.Classes = maps.Clone(counts.Classes)
	if r.config.NoAnalysis { // the same everywhere, so that no router is worse
		even := float64(now) / evenRequestIntervalMicros
		counts = canary.Counts{Requests: even, WeightOffered: even, WeightEarned: even}
	}
	violations := r.observe(now, i)
	drains, purges := r.monitors[i].monitor.EventCounts()
	return rollout.Report{
		Upgraded:       state.upgraded && !state.upgrading,
		Changing:       state.upgrading,
		Capable:        true,
		Counts:         counts,
		RunID:          state.runID,
		MemoryMB:       routerMemoryMB,
		ViolatedRules:  violations.Rules,
		FirstViolation: violations.Text,
		DrainsSeen:     drains,
		PurgesSeen:     purges,
	}
}

// noteView notes the rollout's state as its leader sees it.
func (r *rolloutRun) noteView(now int64, phase rollout.Phase, stage int, reason string) {
	r.outcome.Phase = phase
	r.outcome.Stage = stage
	r.outcome.Reason = reason
	seconds := float64(now) / microsPerSecond
	if phase == rollout.PhaseRollingBack && r.outcome.RollbackStartS == 0 {
		r.outcome.RollbackStartS = seconds
	}
	if (phase == rollout.PhaseDone || phase == rollout.PhaseRolledBack) && r.outcome.EndS == 0 {
		r.outcome.EndS = seconds
	}
}

// enqueue keeps a node's messages for the next step.
func (r *rolloutRun) enqueue(from int, out []rollout.Outgoing) {
	for _, outgoing := range out {
		r.deliveries = append(r.deliveries, rolloutDelivery{from, outgoing.To, outgoing.Message})
	}
}
