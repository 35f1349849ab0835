package emulator

import "quilldoor/internal/simulation"

// rejectsRequest reports whether a router's new program rejects a request that it could serve. It
// draws a random number only if the options allow a rejection.
func (r *rolloutRun) rejectsRequest(router int, class string) bool {
	config := r.config
	switch {
	case !r.servesNewProgram(router), config.RejectShare == 0:
		return false
	case config.RejectOnceComplete && !r.allServeNewProgram():
		return false
	case config.RejectClass != "" && config.RejectClass != class:
		return false
	case r.random.Float64() >= config.RejectShare:
		return false
	}
	r.countHarmedRequest()
	return true
}

// missesUpdate reports whether a router's new program misses a discovery event. The checker counts
// the violations that follow from it.
func (r *rolloutRun) missesUpdate(router int, event simulation.DiscoveryEvent) bool {
	missesKind := r.config.MissesDrains
	if event.Purge {
		missesKind = r.config.MissesPurges
	}
	missed := missesKind && r.servesNewProgram(router)
	if missed {
		r.recordFirstHarm()
	}
	return missed
}

// extraTimeShare is the time added to a router's attempts, as a share of their duration.
func (r *rolloutRun) extraTimeShare(router int) float64 {
	if !r.servesNewProgram(router) {
		return 0
	}
	return r.config.ExtraTimeShare
}

// countHarmedRequest counts a request that the new program has rejected or delayed by a fault.
func (r *rolloutRun) countHarmedRequest() {
	r.outcome.HarmedRequests++
	r.recordFirstHarm()
}

// recordFirstHarm records the time at which a fault of the new program first had an effect.
func (r *rolloutRun) recordFirstHarm() {
	if r.outcome.FirstHarmS == 0 {
		r.outcome.FirstHarmS = float64(r.simulation.Now()) / microsPerSecond
	}
}

// servesNewProgram reports whether a router's new program serves its requests. During an upgrade the
// new program serves; during a rollback the old one does.
func (r *rolloutRun) servesNewProgram(router int) bool {
	state := &r.states[router]
	return state.upgraded && (!state.upgrading || state.targetNew)
}

// allServeNewProgram reports whether the new program serves at all routers.
func (r *rolloutRun) allServeNewProgram() bool {
	for i := range r.states {
		if !r.servesNewProgram(i) {
			return false
		}
	}
	return true
}
