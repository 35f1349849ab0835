package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"quilldoor/internal/canary"
)

const sevenRouterPlan = `
name: test
program: /opt/new
routers: [{name: a1, office: a}, {name: a2, office: a}, {name: b1, office: b}, {name: b2, office: b}, {name: c1, office: c}, {name: c2, office: c}, {name: c3, office: c}]
stages:
  - {routers: [a1], watch_s: 60, least_s: 10}
  - {share: 0.5, watch_s: 60, least_s: 10}
  - {share: 1, watch_s: 20, least_s: 5}
silent_s: 15
guards: {most_loss: 0.1, loss: 0.02, refusals: 0.02, failures: 0.02}
`

// variant is a weakened variant of the protocol. The zero variant is the protocol itself.
type variant struct {
	weaken func(*safetyChecks) // nil: no check is weakened
	// A candidate promises its own term before a quorum has promised it.
	promisesItselfFirst bool
}

func (v *variant) newNode(plan *Plan, name string, durable *Durable, random *rand.Rand, now int64) *Node {
	n := NewNode(plan, name, durable, random, now)
	if v.weaken != nil {
		v.weaken(&n.checks)
	}
	return n
}

// fleet simulates a plan's routers on a virtual clock, with a network that loses and delays
// messages and can be partitioned.
type fleet struct {
	plan    *Plan
	now     int64
	random  *rand.Rand
	variant variant

	nodes   []*Node // nil: not running
	routers []simRouter
	disks   []*Durable // nil: the durable state is lost
	// keepsDisks is whether a router that stops keeps its durable state.
	keepsDisks bool

	partition func(from, to int) bool // reports whether a link is cut; nil: none is
	lossRate  float64
	maxDelay  int64
	inFlight  []delivery

	newGenerationLoss float64 // share of its requests that a router with the new generation loses

	startedChanges []startedChange
	maxConcurrent  int // highest number of concurrent upgrades in an office
	violations     []string
	// majorityLost is whether a majority has been without durable state at the same time.
	// No protocol can recover from that.
	majorityLost bool
}

// simRouter is the simulated process and machine of a router.
type simRouter struct {
	up, frozen         bool
	upgraded, changing bool
	changingToNew      bool
	changeEndsAt       int64
	failureReason      string
	runID              uint64
	counts             canary.Counts
	violatedRules      uint8
	drainsSeen         int
	purgesSeen         int
	clockRate          float64
	clockOffset        int64
}

type delivery struct {
	at       int64
	from, to int
	message  *Message
}

// startedChange records that a router has begun a change.
type startedChange struct {
	router int
	toNew  bool
	seq    uint64
}

func newFleet(t *testing.T, planText string, seed uint64) *fleet {
	t.Helper()
	return newFleetOf(t, planText, seed, variant{})
}

func newFleetOf(t *testing.T, planText string, seed uint64, v variant) *fleet {
	t.Helper()
	plan, err := ParsePlan("plan.yaml", []byte(planText))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{plan: plan, now: second, random: rand.New(rand.NewPCG(seed, 11)), variant: v, keepsDisks: true}
	for i := range plan.Routers {
		f.routers = append(f.routers, simRouter{
			clockRate:   0.96 + 0.08*f.random.Float64(),
			clockOffset: f.random.Int64N(1000 * second),
		})
		f.disks = append(f.disks, &Durable{})
		f.nodes = append(f.nodes, nil)
		f.startRouter(i)
	}
	return f
}

// clock returns a router's own time. The clocks of routers differ in offset and in rate.
func (f *fleet) clock(i int) int64 {
	r := &f.routers[i]
	return r.clockOffset + int64(float64(f.now)*r.clockRate)
}

// startRouter starts a router, with its durable state unless that is lost.
func (f *fleet) startRouter(i int) {
	r := &f.routers[i]
	r.up, r.frozen = true, false
	if f.disks[i] == nil { // the record of the settled generation is lost as well
		r.upgraded, r.runID, r.failureReason = false, 0, ""
	}
	r.changing = false // the supervisor returns to the settled generation
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	f.nodes[i] = f.variant.newNode(f.plan, f.plan.Routers[i].Name, f.disks[i], random, f.clock(i))
}

// stopRouter stops a router. Its durable state is lost unless keepsDisks is set and the
// router is not recovering.
func (f *fleet) stopRouter(i int) {
	f.routers[i].up = false
	if durable := f.nodes[i].Durable; f.keepsDisks && !f.nodes[i].recovering() {
		f.disks[i] = &durable
	} else {
		f.disks[i] = nil
	}
	f.nodes[i] = nil
	lost := 0
	for j, n := range f.nodes {
		if n == nil && f.disks[j] == nil || n != nil && n.recovering() {
			lost++
		}
	}
	f.majorityLost = f.majorityLost || 2*lost > len(f.nodes)
}

func (f *fleet) command(i int, command Command) { f.nodes[i].Command(f.clock(i), command) }

func (f *fleet) send(from int, out []Outgoing) {
	for _, outgoing := range out {
		if f.partition != nil && f.partition(from, outgoing.To) || f.random.Float64() < f.lossRate {
			continue
		}
		at := f.now + 5*millisecond + f.random.Int64N(f.maxDelay+1)
		f.inFlight = append(f.inFlight, delivery{at, from, outgoing.To, outgoing.Message})
	}
}

// step advances the simulation by 50 ms.
func (f *fleet) step() {
	f.now += 50 * millisecond
	f.deliver()
	for i := range f.nodes {
		if r := &f.routers[i]; r.up && !r.frozen {
			f.stepRouter(i)
		}
	}
	f.checkConcurrency()
}

func (f *fleet) deliver() {
	var later []delivery
	due := f.inFlight
	f.inFlight = nil
	for _, d := range due {
		if d.at > f.now || f.routers[d.to].frozen {
			later = append(later, d)
			continue
		}
		if f.routers[d.to].up {
			f.send(d.to, f.nodes[d.to].Receive(f.clock(d.to), f.plan.Routers[d.from].Name, d.message))
		}
	}
	f.inFlight = append(f.inFlight, later...)
}

func (f *fleet) stepRouter(i int) {
	r, n := &f.routers[i], f.nodes[i]
	if r.changing && f.now >= r.changeEndsAt {
		r.changing, r.upgraded = false, r.changingToNew
	}
	f.serveRequests(r)
	n.SetReport(Report{
		Upgraded: r.upgraded && !r.changing, Changing: r.changing, FailureReason: r.failureReason, Capable: true,
		Counts: r.counts, RunID: r.runID, ViolatedRules: r.violatedRules, DrainsSeen: r.drainsSeen, PurgesSeen: r.purgesSeen,
	})
	out := n.Tick(f.clock(i))
	if f.variant.promisesItselfFirst && n.promises != nil {
		n.PromisedTerm = max(n.PromisedTerm, n.candidateTerm)
	}
	f.send(i, out)
	target := n.Target(f.clock(i))
	failedBefore := target.Upgraded && r.failureReason != ""
	if target.MayStart && !r.changing && target.Upgraded != r.upgraded && !failedBefore {
		if view, _ := n.View(); !target.Upgraded && view.Phase == PhaseForward {
			r.failureReason = "isolated"
		}
		f.startChange(i, target.Upgraded)
	}
}

func (f *fleet) serveRequests(r *simRouter) {
	for range 3 {
		r.counts.Requests++
		r.counts.WeightOffered++
		lost := r.upgraded && f.random.Float64() < f.newGenerationLoss
		if !lost {
			r.counts.WeightEarned++
		}
	}
}

// startChange starts a router's change. It records a violation if the router upgrades after
// a rollback of its run was decided.
func (f *fleet) startChange(i int, toNew bool) {
	r := &f.routers[i]
	view, _ := f.nodes[i].View()
	r.changing, r.changingToNew, r.changeEndsAt, r.runID = true, toNew, f.now+second, view.RunID
	f.startedChanges = append(f.startedChanges, startedChange{i, toNew, view.Seq})
	if !toNew {
		return
	}
	// No leader may have decided to roll back this run in a later state, and no router may
	// have begun to roll back on a later state.
	for j, n := range f.nodes {
		if n == nil || n.leader == nil || !n.leader.hasDecided {
			continue
		}
		decided := n.leader.decided
		rolledBack := decided.Phase == PhaseRollingBack || decided.Phase == PhaseRolledBack
		if rolledBack && decided.Seq > view.Seq && decided.RunID == view.RunID {
			f.recordViolation("%s upgrades on state %d after %s has decided in state %d to roll back",
				f.plan.Routers[i].Name, view.Seq, f.plan.Routers[j].Name, decided.Seq)
		}
	}
	for _, change := range f.startedChanges {
		if !change.toNew && change.seq > view.Seq {
			f.recordViolation("%s upgrades on state %d after a router has begun to roll back on state %d",
				f.plan.Routers[i].Name, view.Seq, change.seq)
		}
	}
}

func (f *fleet) recordViolation(format string, args ...any) {
	if len(f.violations) < 5 {
		f.violations = append(f.violations, fmt.Sprintf("%.2f s: ", float64(f.now)/1e6)+fmt.Sprintf(format, args...))
	}
}

// checkConcurrency records a violation if more routers of an office upgrade at the same time
// than the plan allows.
func (f *fleet) checkConcurrency() {
	changing := map[string]int{}
	for i := range f.routers {
		if r := &f.routers[i]; r.up && r.changing && r.changingToNew {
			changing[f.plan.Routers[i].Office]++
			f.maxConcurrent = max(f.maxConcurrent, changing[f.plan.Routers[i].Office])
		}
	}
	for office, count := range changing {
		if count > f.plan.MaxConcurrent {
			f.recordViolation("%d routers of office %s change at the same time, %d are allowed", count, office, f.plan.MaxConcurrent)
		}
	}
}

// runFor advances the simulation by a number of seconds.
func (f *fleet) runFor(seconds float64) {
	for end := f.now + int64(seconds*1e6); f.now < end; {
		f.step()
	}
}

// views describes the view of each running router, and returns how many routers have the new
// generation.
func (f *fleet) views() (list []string, upgraded int) {
	for i, n := range f.nodes {
		if f.routers[i].upgraded {
			upgraded++
		}
		if n != nil {
			view, _ := n.View()
			list = append(list, fmt.Sprintf("%s: %v, stage %d, state %d", f.plan.Routers[i].Name, view.Phase, view.Stage, view.Seq))
		}
	}
	return list, upgraded
}

// phase returns the phase that the leader has decided; PhaseNone without a leader.
func (f *fleet) phase() Phase {
	phase := PhaseNone
	for _, n := range f.nodes {
		if n != nil && n.IsLeader() {
			phase = n.leader.decided.Phase
		}
	}
	return phase
}
