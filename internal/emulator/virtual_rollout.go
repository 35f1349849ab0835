package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"

	"quilldoor/internal/invariant"
	"quilldoor/internal/rollout"
	"quilldoor/internal/scenario"
)

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

const (
	// rolloutSeed sets the rollout's random draws apart from those of the simulation.
	rolloutSeed = 41
	// assumedTransferMicros is the transfer time that each latency objective allows for: event
	// log entries have no size to compute it from.
	assumedTransferMicros = 250_000
)

// VirtualRollout plays a scenario with a rollout in it.
func VirtualRollout(
	ctx context.Context, s *scenario.Scenario, seed uint64, options RolloutOptions,
) (*RolloutResult, error) {
	if count := s.Fleet.Offices * s.Fleet.Routers; count != len(options.Plan.Routers) {
		return nil, fmt.Errorf("%s: %d routers, the plan has %d", s.Name, count, len(options.Plan.Routers))
	}
	run := newRolloutRun(s, seed, &options)
	result, err := RunVirtual(ctx, s, Options{
		Seed:           seed,
		RejectRequest:  run.rejects,
		MissesUpdate:   run.misses,
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
		if run.monitors[i].accused {
			run.outcome.AccusedRouters++
		}
	}
	return &run.outcome, nil
}

func newRolloutRun(s *scenario.Scenario, seed uint64, options *RolloutOptions) *rolloutRun {
	run := &rolloutRun{
		config:     options,
		random:     rand.New(rand.NewPCG(seed, rolloutSeed)),
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
