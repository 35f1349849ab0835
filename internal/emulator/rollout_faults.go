package emulator

import "quilldoor/internal/simulation"

// rejects tells whether a router's new program rejects a request without need. It draws only
// where it might.
func (r *rolloutRun) rejects(router int, class string) bool {
	config := r.config
	switch {
	case !r.servesNew(router), config.RejectShare == 0:
		return false
	case config.RejectOnceComplete && !r.allServeNew():
		return false
	case config.RejectClass != "" && config.RejectClass != class:
		return false
	case r.random.Float64() >= config.RejectShare:
		return false
	}
	r.countHarm()
	return true
}

// misses tells whether a router's new program misses a discovery event. The checker counts
// what it violates by that.
func (r *rolloutRun) misses(router int, event simulation.DiscoveryEvent) bool {
	missesKind := r.config.MissesDrains
	if event.Purge {
		missesKind = r.config.MissesPurges
	}
	missed := missesKind && r.servesNew(router)
	if missed {
		r.noteHarm()
	}
	return missed
}

// extraTimeShare is how much longer a router's attempts take, as a share.
func (r *rolloutRun) extraTimeShare(router int) float64 {
	if !r.servesNew(router) {
		return 0
	}
	return r.config.ExtraTimeShare
}

// countHarm counts a request that the new program did harm to.
func (r *rolloutRun) countHarm() {
	r.outcome.HarmedRequests++
	r.noteHarm()
}

// noteHarm notes when the new program first did harm.
func (r *rolloutRun) noteHarm() {
	if r.outcome.FirstHarmS == 0 {
		r.outcome.FirstHarmS = float64(r.simulation.Now()) / microsPerSecond
	}
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
