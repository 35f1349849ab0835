package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
)

// Update is a response of the discovery service. The initial endpoint list of a
// configuration has the same format. Parse decodes an Update, and Watcher.Apply applies it.
type Update struct {
	Revision int64   `json:"Rev"`     // the service's current revision
	Events   []event `json:"Notices"` // in the order of their revisions
}

// event is a change of the endpoint list, a purge, or both.
type event struct {
	Revision  int64           `json:"Rev"`
	Endpoints *endpointChange `json:"Pool"`
	Purge     *purge          `json:"Flush"`
}

// endpointChange is a list of changed endpoints, or a complete list.
type endpointChange struct {
	Complete bool       `json:"All"` // Entries replace the whole list
	Entries  []endpoint `json:"Targets"`
}

// purge is the purge of an object, or of a group if no object is named.
type purge struct {
	Object     *string `json:"Asset"`
	Group      *int64  `json:"Collection"`
	UnixMillis int64   `json:"MS"`
}

// namesObject reports whether the purge is of an object. An empty name counts as none.
func (p *purge) namesObject() bool { return p.Object != nil && *p.Object != "" }

// endpoint is an entry of the endpoint list.
type endpoint struct {
	ID            string  `json:"UID"`
	Address       string  `json:"Endpoint"`
	Zone          string  `json:"AZ"`
	Kind          string  `json:"Model"`
	State         string  `json:"State"`
	Cell          int     `json:"pod_group"`
	Weight        float64 `json:"capacity_hint"`
	StartedMillis float64 `json:"boot_ms"`
}

// endpointStates maps the states of the service's protocol to those of the policy.
var endpointStates = map[string]policy.EndpointState{
	"ready":    policy.EndpointActive,
	"draining": policy.EndpointDraining,
	"gone":     policy.EndpointRemoved,
}

// Parse decodes and validates an update. Every endpoint needs a plain id and a known state,
// and every purge an object or a group. Validation errors name the revision of the event
// and the keys of the service's protocol.
func Parse(text []byte) (*Update, error) {
	var update Update
	if err := json.Unmarshal(text, &update); err != nil {
		return nil, err
	}
	for _, event := range update.Events {
		if err := event.validate(); err != nil {
			return nil, fmt.Errorf("notice %d: %w", event.Revision, err)
		}
	}
	return &update, nil
}

// validate reports the first entry or purge that can't be applied.
func (e *event) validate() error {
	if e.Purge != nil && !e.Purge.namesObject() && e.Purge.Group == nil {
		return errors.New("flush without asset or collection")
	}
	if e.Endpoints == nil {
		return nil
	}
	for _, endpoint := range e.Endpoints.Entries {
		if !cacheproto.IsValidValue(endpoint.ID) || endpointStates[endpoint.State] == "" {
			return fmt.Errorf("target with invalid uid %.40q or unknown state %.20q", endpoint.ID, endpoint.State)
		}
	}
	return nil
}

// engineEndpoint converts an entry of the list to the engine's type.
func (e *endpoint) engineEndpoint() engine.Endpoint {
	return engine.Endpoint{
		Address: e.Address,
		Endpoint: policy.Endpoint{
			ID:        e.ID,
			Zone:      e.Zone,
			Kind:      e.Kind,
			Cell:      e.Cell,
			State:     endpointStates[e.State],
			Weight:    e.Weight,
			StartedAt: settings.Micros(e.StartedMillis),
		},
	}
}
