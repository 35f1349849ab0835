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

// Rolling is a rollout on the virtual clock: the routers' real decisions, with words
// that take up to a tenth of a second, changes that take as long as a trial, a witness
// beside each, and a new program that differs in one way.
type Rolling struct {
	Plan   *rollout.Plan
	StartS float64
	TrialS float64
	// Of the new program: the share of txns that it refuses without need, of one remap
	// rule where that is named, how much longer its hops take, and what of the board it
	// does not hear.
	Refuses                float64
	Of                     string
	OnlyAll                bool // it does so only once all routers have it
	Slower                 float64
	DeafDrains, DeafPurges bool
	// Judge off: stages pass when their watch is over. AtOnce: all change at StartS, and
	// nobody looks.
	NoJudge, AtOnce bool
}

// Rolled is what came of it.
type Rolled struct {
	*Result
	Way     rollout.Phase
	Stage   int
	Why     string
	EndedS  float64 // when all had ended in one generation; 0: they had not
	TurnedS float64 // when it was turned back; 0: never
	HarmedS float64 // when the first txn was refused, or answered more slowly, by the new program
	Harmed  int     // txns
	Accused int     // routers that were seen to break a rule
	News    int     // routers with the new generation in the end
}

// rolloutRun is the state of a rollout run: a rollout node and a simulated upgrade for each router.
type rolloutRun struct {
	*virtualRun
	config     *Rolling
	outcome    Rolled
	nodes      []*rollout.Node
	states     []rolloutState
	deliveries []rolloutDelivery
	random     *rand.Rand
	seed       uint64
	started    bool
	monitors   []*routerMonitor
}

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

// VirtualRollout plays a script with a rollout in it.
func VirtualRollout(ctx context.Context, s *scenario.Scenario, seed uint64, set Rolling) (*Rolled, error) {
	if count := s.Fleet.Offices * s.Fleet.Routers; count != len(set.Plan.Routers) {
		return nil, fmt.Errorf("%s: %d routers, the plan has %d", s.Name, count, len(set.Plan.Routers))
	}
	r := &rolloutRun{config: &set, random: rand.New(rand.NewPCG(seed, 41)), seed: seed, states: make([]rolloutState, len(set.Plan.Routers))}
	setup := s.Settings(0, 0)
	settings := setup.PolicySettings()
	for range r.states {
		r.monitors = append(r.monitors, &routerMonitor{monitor: invariant.New(invariant.SettingsFrom(&settings)), recorder: invariant.NewRecorder()})
	}
	weights := map[string]float64{}
	objectives := map[string]int64{}
	for _, class := range s.Classes() {
		weights[class.Name], objectives[class.Name] = class.PriorityWeight, class.LatencyObjective+int64(class.ObjectiveStretch*250_000)
	}
	type openRequest struct {
		at   int64
		rule string
		hops int
	}
	open := map[string]*openRequest{}
	countHarm := func() {
		if r.outcome.Harmed++; r.outcome.HarmedS == 0 {
			r.outcome.HarmedS = float64(r.world.Now()) / 1e6
		}
	}
	opt := Options{
		Seed: seed, observer: r,
		Refuse: func(router int, rule string) bool {
			if !r.servesNew(router) || set.Refuses == 0 || set.OnlyAll && !r.allServeNew() || set.Of != "" && set.Of != rule || r.random.Float64() >= set.Refuses {
				return false
			}
			countHarm()
			return true
		},
		Deaf: func(router int, notice simulation.Notice) bool {
			deaf := r.servesNew(router) && (notice.Purge && set.DeafPurges || !notice.Purge && set.DeafDrains)
			if deaf && r.outcome.HarmedS == 0 { // the referee counts what it breaks by that
				r.outcome.HarmedS = float64(r.world.Now()) / 1e6
			}
			return deaf
		},
		Lag: func(router int) float64 {
			if !r.servesNew(router) {
				return 0
			}
			return set.Slower
		},
		Record: func(e *eventlog.Entry) {
			switch e.Kind {
			case eventlog.KindTaken:
				open[e.Request] = &openRequest{at: e.At, rule: e.Class}
			case eventlog.KindSent:
				if x := open[e.Request]; x != nil {
					x.hops++
				}
			case eventlog.KindAnswered, eventlog.KindLeft:
				x, ok := open[e.Request]
				if !ok {
					return
				}
				delete(open, e.Request)
				c := &r.states[e.Router].counts
				c.Requests++
				c.WeightOffered += weights[x.rule]
				c.Attempts += float64(x.hops)
				earned := 0.0
				if e.Outcome == "completed" {
					c.Completed++
					c.LogLatencySum += math.Log(float64(max(e.At-x.at, 1000)) / float64(objectives[x.rule]))
					if set.Slower > 0 && r.servesNew(e.Router) {
						countHarm()
					}
				}
				switch {
				case e.Outcome == "completed" && e.At-x.at <= objectives[x.rule]:
					earned = weights[x.rule]
				case e.Outcome == "rejected":
					c.Rejected++
				case e.Outcome != "completed":
					c.Failed++
				}
				c.WeightEarned += earned
				if c.Classes == nil {
					c.Classes = map[string]canary.ClassCounts{}
				}
				w := c.Classes[x.rule]
				c.Classes[x.rule] = canary.ClassCounts{Requests: w.Requests + 1, WeightOffered: w.WeightOffered + weights[x.rule], WeightEarned: w.WeightEarned + earned}
			}
		},
		Each: r.step,
	}
	opt.onStart = func(v *virtualRun) { r.virtualRun = v }
	res, err := Virtual(ctx, s, opt)
	if err != nil {
		return nil, err
	}
	r.outcome.Result = res
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

// servesNew tells whether a router's new program serves.
func (r *rolloutRun) servesNew(router int) bool {
	state := &r.states[router]
	return state.upgraded && (!state.upgrading || state.targetNew)
}

// allServeNew tells whether it serves everywhere.
func (r *rolloutRun) allServeNew() bool {
	for i := range r.states {
		if !r.servesNew(i) {
			return false
		}
	}
	return true
}

// step is called ten times a second.
func (r *rolloutRun) step(now int64) {
	if r.config.AtOnce {
		if !r.started && now >= int64(r.config.StartS*1e6) {
			r.started = true
			for i := range r.states {
				r.states[i].upgraded = true
			}
		}
		return
	}
	if r.nodes == nil {
		for i, router := range r.config.Plan.Routers {
			r.nodes = append(r.nodes, rollout.NewNode(r.config.Plan, router.Name, &rollout.Durable{}, rand.New(rand.NewPCG(r.seed, uint64(i))), now+1))
		}
	}
	due := r.deliveries
	r.deliveries = nil
	for _, delivery := range due {
		r.enqueue(delivery.to, r.nodes[delivery.to].Receive(now+1, r.config.Plan.Routers[delivery.from].Name, delivery.message))
	}
	if !r.started && now >= int64(r.config.StartS*1e6) {
		r.started = true
		r.nodes[0].Command(now+1, rollout.CommandStart)
	}
	for i, node := range r.nodes {
		state := &r.states[i]
		if state.upgrading && now >= state.upgradeEnds {
			state.upgrading = false
		}
		counts := state.counts
		counts.Classes = maps.Clone(counts.Classes)
		if r.config.NoJudge { // nothing is ever worse
			counts = canary.Counts{Requests: float64(now) / 1e4, WeightOffered: float64(now) / 1e4, WeightEarned: float64(now) / 1e4}
		}
		violations := r.observe(now, i)
		drains, purges := r.monitors[i].monitor.EventCounts()
		node.SetReport(rollout.Report{
			Upgraded: state.upgraded && !state.upgrading, Changing: state.upgrading, Capable: true, Counts: counts, RunID: state.runID, MemoryMB: 20, ViolatedRules: violations.Rules, FirstViolation: violations.Text,
			DrainsSeen: drains, PurgesSeen: purges,
		})
		r.enqueue(i, node.Tick(now+1))
		if target := node.Target(now + 1); target.MayStart && !state.upgrading && target.New != state.upgraded {
			view, _ := node.View()
			state.upgrading, state.targetNew, state.upgraded, state.runID = true, target.New, target.New, view.RunID
			state.upgradeEnds = now + int64(r.config.TrialS*1e6)
		}
		if view, age := node.View(); node.IsLeader() && age >= 0 {
			if r.outcome.Way, r.outcome.Stage, r.outcome.Why = view.Phase, view.Stage, view.Reason; view.Phase == rollout.PhaseRollingBack && r.outcome.TurnedS == 0 {
				r.outcome.TurnedS = float64(now) / 1e6
			}
			if (view.Phase == rollout.PhaseDone || view.Phase == rollout.PhaseRolledBack) && r.outcome.EndedS == 0 {
				r.outcome.EndedS = float64(now) / 1e6
			}
		}
	}
}

func (r *rolloutRun) enqueue(from int, out []rollout.Outgoing) {
	for _, outgoing := range out {
		r.deliveries = append(r.deliveries, rolloutDelivery{from, outgoing.To, outgoing.Message})
	}
}
