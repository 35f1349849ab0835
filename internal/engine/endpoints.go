package engine

import "quilldoor/internal/policy"

// Endpoint is an entry of the endpoint list with its address, host:port.
type Endpoint struct {
	policy.Endpoint
	Address string
}

// Active reports whether the endpoint may be sent new work.
func (s *Endpoint) Active() bool { return s.State == policy.EndpointActive }

// UpdateEndpoints takes changes of the endpoint list (ScopeDiff) or a whole one
// (ScopeInitial at the start, else ScopeSnapshot). It returns the endpoints, as they were
// listed before, that take no new work at their addresses any more.
func (e *Engine) UpdateEndpoints(now int64, scope policy.UpdateScope, list []Endpoint) (retired []*Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	event := policy.Event{Kind: policy.EventEndpoints, Scope: scope}
	listed := map[string]bool{}
	for _, endpoint := range list {
		listed[endpoint.ID] = true
		event.Endpoints = append(event.Endpoints, endpoint.Endpoint)
		old := e.endpoints[endpoint.ID]
		if old != nil && (!endpoint.Active() || old.Address != endpoint.Address) {
			retired = append(retired, old)
		}
		e.endpoints[endpoint.ID] = &endpoint
		if endpoint.State == policy.EndpointGone {
			delete(e.endpoints, endpoint.ID)
		}
	}
	if scope != policy.ScopeDiff {
		retired = append(retired, e.removeUnlisted(listed)...)
	}
	e.handle(now, event)
	return retired
}

// removeUnlisted removes the endpoints that a whole list does not name.
func (e *Engine) removeUnlisted(listed map[string]bool) (removed []*Endpoint) {
	for id, old := range e.endpoints {
		if !listed[id] {
			delete(e.endpoints, id)
			removed = append(removed, old)
		}
	}
	return removed
}
