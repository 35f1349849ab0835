package engine

import "quilldoor/internal/policy"

// Endpoint is an entry of the endpoint list with its address, as host:port.
type Endpoint struct {
	policy.Endpoint
	Address string
}

// Active reports whether the endpoint may be sent new work.
func (e *Endpoint) Active() bool { return e.State == policy.EndpointActive }

// replaces reports whether the endpoint is another process than the previous one with its id:
// connections to that one may be open and silent still.
func (e *Endpoint) replaces(previous *Endpoint) bool {
	return previous.Address != e.Address || e.StartedAt > previous.StartedAt
}

// startTime is when an endpoint started: as listed, on the system's clock, and on the
// clock of decisions. An endpoint that is listed with the same time again has not
// started again, whatever the clocks show by then.
type startTime struct{ listed, local int64 }

// localStartTime returns a listed start time on the clock of decisions.
func (e *Engine) localStartTime(id string, listed int64) int64 {
	known, isKnown := e.startTimes[id]
	if !isKnown || known.listed != listed {
		known = startTime{listed: listed}
		if listed > 0 {
			known.local = max(listed-e.clockStep, 1) // 0 would mean long ago
		}
		e.startTimes[id] = known
	}
	return known.local
}

// UpdateEndpoints applies changes of the endpoint list (ScopeDiff) or a complete list
// (ScopeInitial at the start, otherwise ScopeSnapshot). It returns the previous
// entries of endpoints that are not active, are no longer listed, have a new address
// or have started again: none of them may be sent new work on its connections.
func (e *Engine) UpdateEndpoints(now int64, scope policy.UpdateScope, list []Endpoint) (retired []*Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	event := policy.Event{Kind: policy.EventEndpoints, Scope: scope}
	listed := map[string]bool{}
	for _, endpoint := range list {
		listed[endpoint.ID] = true
		local := endpoint.Endpoint
		local.StartedAt = e.localStartTime(endpoint.ID, endpoint.StartedAt)
		event.Endpoints = append(event.Endpoints, local)
		previous := e.endpoints[endpoint.ID]
		if previous != nil && (!endpoint.Active() || endpoint.replaces(previous)) {
			retired = append(retired, previous)
		}
		e.endpoints[endpoint.ID] = &endpoint
		if endpoint.State == policy.EndpointRemoved {
			delete(e.endpoints, endpoint.ID)
			delete(e.startTimes, endpoint.ID)
		}
	}
	if scope != policy.ScopeDiff {
		retired = append(retired, e.removeUnlisted(listed)...)
	}
	e.handle(now, event)
	return retired
}

// removeUnlisted removes the endpoints that are not in a complete list.
func (e *Engine) removeUnlisted(listed map[string]bool) (removed []*Endpoint) {
	for id, endpoint := range e.endpoints {
		if !listed[id] {
			delete(e.endpoints, id)
			delete(e.startTimes, id)
			removed = append(removed, endpoint)
		}
	}
	return removed
}
