package emulator

import (
	"maps"
	"math/rand/v2"

	"quilldoor/internal/canary"
	"quilldoor/internal/rollout"
)

const (
	// routerMemoryMB is the memory use that routers report.
	routerMemoryMB = 20
	// evenRequestIntervalMicros is the interval between requests in the equal counts that all
	// routers report if there is no canary analysis.
	evenRequestIntervalMicros = 10_000
)

// rolloutState is the state of a router's program, and its counts for the canary analysis.
type rolloutState struct {
	upgraded    bool   // it runs the new program, or is changing to it
	upgrading   bool   // it is changing its program, in either direction
	targetNew   bool   // the current or last change is to the new program
	upgradeEnds int64  // end of the current change
	runID       uint64 // ID of the rollout run with the last change
	counts      canary.Counts
}

// rolloutDelivery is a message between rollout nodes that is delivered at the next step.
type rolloutDelivery struct {
	from, to int
	message  *rollout.Message
}

// step delivers the rollout's messages and runs its nodes. It is called at each tick of the virtual
// clock.
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
	for router, node := range r.nodes {
		r.stepNode(now, router, node)
	}
}

// upgradeAll changes all routers to the new program at once.
func (r *rolloutRun) upgradeAll() {
	for i := range r.states {
		r.states[i].upgraded = true
	}
}

// startNodes creates a rollout node for each router of the plan.
func (r *rolloutRun) startNodes(now int64) {
	for i, router := range r.config.Plan.Routers {
		random := rand.New(rand.NewPCG(r.seed, uint64(i)))
		r.nodes = append(r.nodes, rollout.NewNode(r.config.Plan, router.Name, &rollout.Durable{}, random, now+1))
	}
}

// deliver passes the messages of the previous step to the nodes.
func (r *rolloutRun) deliver(now int64) {
	due := r.deliveries
	r.deliveries = nil
	for _, delivery := range due {
		from := r.config.Plan.Routers[delivery.from].Name
		r.enqueue(delivery.to, r.nodes[delivery.to].Receive(now+1, from, delivery.message))
	}
}

// stepNode reports a router's state to its node, and begins the change of program that the node's
// target requires.
func (r *rolloutRun) stepNode(now int64, router int, node *rollout.Node) {
	state := &r.states[router]
	if state.upgrading && now >= state.upgradeEnds {
		state.upgrading = false
	}
	node.SetReport(r.report(now, router))
	r.enqueue(router, node.Tick(now+1))
	target := node.Target(now + 1)
	if target.MayStart && !state.upgrading && target.Upgraded != state.upgraded {
		view, _ := node.View()
		state.upgrading = true
		state.targetNew = target.Upgraded
		state.upgraded = target.Upgraded
		state.runID = view.RunID
		state.upgradeEnds = now + int64(r.config.TrialS*microsPerSecond)
	}
	if view, age := node.View(); node.IsLeader() && age >= 0 {
		r.recordView(now, view.Phase, view.Stage, view.Reason)
	}
}

// report returns the report of a router to its node.
func (r *rolloutRun) report(now int64, router int) rollout.Report {
	state := &r.states[router]
	counts := state.counts
	counts.Classes = maps.Clone(counts.Classes)
	if r.config.NoAnalysis { // equal counts, so that no router looks worse than another
		even := float64(now) / evenRequestIntervalMicros
		counts = canary.Counts{Requests: even, WeightOffered: even, WeightEarned: even}
	}
	violations := r.observe(now, router)
	drains, purges := r.monitors[router].monitor.EventCounts()
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

// recordView records the leader's view of the rollout's state in the result.
func (r *rolloutRun) recordView(now int64, phase rollout.Phase, stage int, reason string) {
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

// enqueue queues a node's messages for delivery at the next step.
func (r *rolloutRun) enqueue(from int, out []rollout.Outgoing) {
	for _, outgoing := range out {
		r.deliveries = append(r.deliveries, rolloutDelivery{from, outgoing.To, outgoing.Message})
	}
}
