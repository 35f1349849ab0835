package emulator

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"

	"quilldoor/internal/canary"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/invariant"
	"quilldoor/internal/rollout"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// RolloutOptions is a rollout on the virtual clock. Rollout nodes and invariant monitors are the
// routers' own; messages arrive at the next step, upgrades take TrialS, and the new program
// differs from the old one as set here.
type RolloutOptions struct {
	Plan   *rollout.Plan
	StartS float64
	TrialS float64
	// The faults of the new program.
	Refuses                float64 // the share of requests that it rejects without need
	Of                     string  // the only traffic class that it rejects; "": all
	OnlyAll                bool    // it rejects only once all routers run it
	Slower                 float64 // how much longer its attempts take, as a share
	DeafDrains, DeafPurges bool    // the discovery notices that it misses
	// NoJudge: stages pass when their time is over. AtOnce: all routers change at StartS, and
	// there is no canary analysis.
	NoJudge, AtOnce bool
}

// RolloutResult is the result of a rollout.
type RolloutResult struct {
	*Result
	Way     rollout.Phase
	Stage   int
	Why     string
	EndedS  float64 // when the rollout was done or rolled back; 0: it was not
	TurnedS float64 // when the rollback began; 0: never
	HarmedS float64 // when the new program first rejected, delayed or missed something
	Harmed  int     // requests that it rejected or delayed
	Accused int     // routers that were seen to break a rule
	News    int     // routers with the new program in the end
}

// rolloutRun is the state of a rollout run: a rollout node and a simulated upgrade for each router.
type rolloutRun struct {
	*virtualRun
	config     *RolloutOptions
	outcome    RolloutResult
	nodes      []*rollout.Node
	states     []rolloutState
	deliveries []rolloutDelivery
	random     *rand.Rand
	seed       uint64
	started    bool
	monitors   []*routerMonitor
	weights    map[string]float64         // priority weights by traffic class
	objectives map[string]int64           // latency objectives by traffic class, in microseconds
	pending    map[string]*rolloutRequest // requests without an answer
}

// rolloutRequest is what the canary analysis needs of a request until it is answered.
type rolloutRequest struct {
	takenAt  int64
	class    string
	attempts int
}

const (
	// rolloutSeed sets the rollout's random draws apart from those of the simulation.
	rolloutSeed = 41
	// minLatencyMicros bounds latencies from below, as their logarithms are summed.
	minLatencyMicros = 1000
	// routerMemoryMB is the memory that routers report.
	routerMemoryMB  = 20
	microsPerSecond = 1e6
)

// rolloutState is which program a router runs, and what its canary analysis counts.
type rolloutState struct {
	upgraded, upgrading, targetNew bool
	upgradeEnds                    int64
	runID                          uint64
	counts                         canary.Counts
}

// rolloutDelivery is a message between rollout nodes that is delivered at the next step.
type rolloutDelivery struct {
	from, to int
	message  *rollout.Message
}

// VirtualRollout plays a scenario with a rollout in it.
func VirtualRollout(ctx context.Context, s *scenario.Scenario, seed uint64, set RolloutOptions) (*RolloutResult, error) {
	if count := s.Fleet.Offices * s.Fleet.Routers; count != len(set.Plan.Routers) {
		return nil, fmt.Errorf("%s: %d routers, the plan has %d", s.Name, count, len(set.Plan.Routers))
	}
	r := newRolloutRun(s, seed, &set)
	result, err := RunVirtual(ctx, s, Options{
		Seed:          seed,
		RejectRequest: r.rejects,
		MissesUpdate:  r.misses,
		Slowdown:      r.slowdown,
		Record:        r.record,
		OnTick:        r.step,
		observer:      r,
		onStart:       func(v *virtualRun) { r.virtualRun = v },
	})
	if err != nil {
		return nil, err
	}
	r.outcome.Result = result
	for i := range r.states {
		if r.states[i].upgraded {
			r.outcome.News++
		}
		if r.monitors[i].accused {
			r.outcome.Accused++
		}
	}
	return &r.outcome, nil
}

func newRolloutRun(s *scenario.Scenario, seed uint64, set *RolloutOptions) *rolloutRun {
	r := &rolloutRun{
		config:     set,
		random:     rand.New(rand.NewPCG(seed, rolloutSeed)),
		seed:       seed,
		states:     make([]rolloutState, len(set.Plan.Routers)),
		weights:    map[string]float64{},
		objectives: map[string]int64{},
		pending:    map[string]*rolloutRequest{},
	}
	setup := s.Settings(0, 0)
	settings := setup.PolicySettings()
	for range r.states {
		r.monitors = append(r.monitors, &routerMonitor{
			monitor:  invariant.New(invariant.SettingsFrom(&settings)),
			recorder: invariant.NewRecorder(),
		})
	}
	for _, class := range s.Classes() {
		r.weights[class.Name] = class.PriorityWeight
		r.objectives[class.Name] = class.LatencyObjective + int64(class.ObjectiveStretch*250_000)
	}
	return r
}

// rejects tells whether a router's new program rejects a request without need. It draws only
// where it might.
func (r *rolloutRun) rejects(router int, class string) bool {
	set := r.config
	if !r.servesNew(router) || set.Refuses == 0 || set.OnlyAll && !r.allServeNew() || set.Of != "" && set.Of != class {
		return false
	}
	if r.random.Float64() >= set.Refuses {
		return false
	}
	r.countHarm()
	return true
}

// misses tells whether a router's new program misses a discovery notice. The checker counts
// what it violates by that.
func (r *rolloutRun) misses(router int, notice simulation.DiscoveryEvent) bool {
	missed := r.servesNew(router) && (notice.Purge && r.config.DeafPurges || !notice.Purge && r.config.DeafDrains)
	if missed {
		r.noteHarm()
	}
	return missed
}

// slowdown is how much longer a router's attempts take, as a share.
func (r *rolloutRun) slowdown(router int) float64 {
	if !r.servesNew(router) {
		return 0
	}
	return r.config.Slower
}

// noteHarm notes when the new program first did harm.
func (r *rolloutRun) noteHarm() {
	if r.outcome.HarmedS == 0 {
		r.outcome.HarmedS = float64(r.simulation.Now()) / microsPerSecond
	}
}

// countHarm counts a request that the new program did harm to.
func (r *rolloutRun) countHarm() {
	r.outcome.Harmed++
	r.noteHarm()
}

// record follows the requests in the event log.
func (r *rolloutRun) record(e *eventlog.Entry) {
	switch e.Kind {
	case eventlog.KindTaken:
		r.pending[e.Request] = &rolloutRequest{takenAt: e.At, class: e.Class}
	case eventlog.KindSent:
		if request := r.pending[e.Request]; request != nil {
			request.attempts++
		}
	case eventlog.KindAnswered, eventlog.KindLeft:
		if request := r.pending[e.Request]; request != nil {
			delete(r.pending, e.Request)
			r.count(e, request)
		}
	}
}

// count adds the end of a request to its router's counts, as the router does.
func (r *rolloutRun) count(e *eventlog.Entry, request *rolloutRequest) {
	weight := r.weights[request.class]
	objective := r.objectives[request.class]
	latency := e.At - request.takenAt
	counts := &r.states[e.Router].counts
	counts.Requests++
	counts.WeightOffered += weight
	counts.Attempts += float64(request.attempts)
	earned := 0.0
	switch e.Outcome {
	case outcomeCompleted:
		counts.Completed++
		counts.LogLatencySum += math.Log(float64(max(latency, minLatencyMicros)) / float64(objective))
		if r.config.Slower > 0 && r.servesNew(e.Router) {
			r.countHarm()
		}
		if latency <= objective {
			earned = weight
		}
	case outcomeRejected:
		counts.Rejected++
	default:
		counts.Failed++
	}
	counts.WeightEarned += earned
	if counts.Classes == nil {
		counts.Classes = map[string]canary.ClassCounts{}
	}
	class := counts.Classes[request.class]
	class.Requests++
	class.WeightOffered += weight
	class.WeightEarned += earned
	counts.Classes[request.class] = class
}

// servesNew tells whether a router's new program serves.
func (r *rolloutRun) servesNew(router int) bool {
	state := &r.states[router]
	return state.upgraded && (!state.upgrading || state.targetNew)
}

// allServeNew tells whether the new program serves everywhere.
func (r *rolloutRun) allServeNew() bool {
	for i := range r.states {
		if !r.servesNew(i) {
			return false
		}
	}
	return true
}

// step is called at each tick of the virtual clock.
func (r *rolloutRun) step(now int64) {
	due := !r.started && now >= int64(r.config.StartS*microsPerSecond)
	if r.config.AtOnce {
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
	if r.config.NoJudge { // the same everywhere, so that no router is worse
		even := float64(now) / 1e4
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
	r.outcome.Way = phase
	r.outcome.Stage = stage
	r.outcome.Why = reason
	seconds := float64(now) / microsPerSecond
	if phase == rollout.PhaseRollingBack && r.outcome.TurnedS == 0 {
		r.outcome.TurnedS = seconds
	}
	if (phase == rollout.PhaseDone || phase == rollout.PhaseRolledBack) && r.outcome.EndedS == 0 {
		r.outcome.EndedS = seconds
	}
}

// enqueue keeps a node's messages for the next step.
func (r *rolloutRun) enqueue(from int, out []rollout.Outgoing) {
	for _, outgoing := range out {
		r.deliveries = append(r.deliveries, rolloutDelivery{from, outgoing.To, outgoing.Message})
	}
}
