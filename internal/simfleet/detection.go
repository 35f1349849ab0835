package simfleet

import (
	"math/rand/v2"

	"quilldoor/internal/membership"
)

// Detection kills one router after another and measures the time until all others consider it dead.
func (e Experiment) Detection(kills int) *Durations {
	const restartTimeout = 20 * second
	f := e.newConvergedFleet()
	random := rand.New(rand.NewPCG(e.Seed, detectionStream))
	durations := newDurations()
	for range kills {
		f.RunUntil(f.Now + 2*second + random.Int64N(second))
		victim := random.IntN(e.Routers)
		durations.record(f.killAndDetect(victim))
		f.Start(victim)
		f.runUntilConverged(restartTimeout)
	}
	return durations
}

// killAndDetect kills a router and returns the time until all others consider it dead. detected is false if they do not
// within the timeout.
func (f *Fleet) killAndDetect(victim int) (elapsed int64, detected bool) {
	const detectionTimeout = 20 * second
	observers := 0
	detectedAt := int64(0)
	f.OnChange = func(_ *Host, change membership.Change) {
		if change.Name != Name(victim) || change.To != membership.StateDead {
			return
		}
		observers++
		if observers == len(f.Hosts)-1 {
			detectedAt = f.Now
		}
	}
	f.Kill(victim)
	killedAt := f.Now
	f.RunUntil(killedAt + detectionTimeout)
	f.OnChange = nil
	return detectedAt - killedAt, detectedAt != 0
}

// KillHalf kills half of the routers at once and measures the time until each of the others considers all of them dead.
// It then starts them at once and measures the time until all routers agree.
func (e Experiment) KillHalf() (detection, recovery *Durations) {
	const settleTime = 10 * second
	f := e.newConvergedFleet()
	detection = newDurations()
	recovery = newDurations()
	f.RunUntil(f.Now + settleTime)
	killed, observers := e.halves()
	killedAt := f.Now
	for _, i := range killed {
		f.Kill(i)
	}
	for !f.allConsiderDead(observers, killed) && f.Now < killedAt+recoveryTimeout {
		f.RunUntil(f.Now + stepInterval)
	}
	detection.record(f.Now-killedAt, f.allConsiderDead(observers, killed))
	for _, i := range killed {
		f.Start(i)
	}
	recovery.record(f.runUntilConverged(recoveryTimeout))
	return detection, recovery
}
