package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"

	"quilldoor/internal/invariant"
	"quilldoor/internal/rollout"
	"quilldoor/internal/scenario"
)

// rolloutRun is a virtual run with a rollout: each router has a rollout node and a simulated
// upgrade.
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
	pending    map[string]*rolloutRequest // unanswered requests by ID
}

const (
	// rolloutRandomStream separates the random draws of the rollout from those of the simulation.
	rolloutRandomStream = 41
	// assumedTransferMicros is the transfer time that each latency objective allows for. The event
	// log doesn't hold the size from which the actual transfer time could be computed.
	assumedTransferMicros = 250_000
)

// VirtualRollout plays a scenario on the virtual clock with a rollout during the run.
func VirtualRollout(
	ctx context.Context, s *scenario.Scenario, seed uint64, options RolloutOptions,
) (*RolloutResult, error) {
	if count := s.Fleet.Offices * s.Fleet.Routers; count != len(options.Plan.Routers) {
		return nil, fmt.Errorf("scenario %s has %d routers, the rollout plan %d", s.Name, count, len(options.Plan.Routers))
	}
	run := newRolloutRun(s, seed, &options)
	result, err := RunVirtual(ctx, s, Options{
		Seed:           seed,
		RejectRequest:  run.rejectsRequest,
		MissesUpdate:   run.missesUpdate,
		ExtraTimeShare: run.extraTimeShare,
		Record:         run.record,
		OnTick:         run.step,
		observer:       run,
		onStart:        func(v *virtualRun) { run.virtualRun = v },
	})
	if err != nil {
		return nil, err
	}
	run.outcome.Result = result
	for i := range run.states {
		if run.states[i].upgraded {
			run.outcome.UpgradedRouters++
		}
		if run.monitors[i].violatedRule {
			run.outcome.AccusedRouters++
		}
	}
	return &run.outcome, nil
}

func newRolloutRun(s *scenario.Scenario, seed uint64, options *RolloutOptions) *rolloutRun {
	run := &rolloutRun{
		config:     options,
		random:     rand.New(rand.NewPCG(seed, rolloutRandomStream)),
		seed:       seed,
		states:     make([]rolloutState, len(options.Plan.Routers)),
		weights:    map[string]float64{},
		objectives: map[string]int64{},
		pending:    map[string]*rolloutRequest{},
	}
	setup := s.Settings(0, 0)
	settings := setup.PolicySettings()
	for range run.states {
		run.monitors = append(run.monitors, &routerMonitor{
			monitor:  invariant.New(invariant.SettingsFrom(&settings)),
			recorder: invariant.NewRecorder(),
		})
	}
	for _, class := range s.Classes() {
		run.weights[class.Name] = class.PriorityWeight
		run.objectives[class.Name] = class.LatencyObjective + int64(class.ObjectiveStretch*assumedTransferMicros)
	}
	return run
}
