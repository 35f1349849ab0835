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

// Update is a response of the discovery service, and the form of what a
// configuration knows at the start. Parse makes it; Watcher.Apply reads its events.
type Update struct {
	Revision int64   `json:"Rev"`     // up to which it has all events
	Events   []event `json:"Notices"` // by revision
}

type event struct {
	Revision  int64           `json:"Rev"`
	Endpoints *endpointChange `json:"Pool"`
	Purge     *purge          `json:"Flush"`
}

type endpointChange struct {
	Whole   bool       `json:"All"` // the list replaces the one before
	Entries []endpoint `json:"Targets"`
}

// purge names an object or a group.
type purge struct {
	Object     *string `json:"Asset"`
	Group      *int64  `json:"Collection"`
	UnixMillis int64   `json:"MS"`
}

// namesObject reports whether the purge is of an object. An empty name is none.
func (p *purge) namesObject() bool { return p.Object != nil && *p.Object != "" }

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

// endpointStates are the policy's states by the service's words.
var endpointStates = map[string]policy.EndpointState{
	"ready":    policy.EndpointActive,
	"draining": policy.EndpointDraining,
	"gone":     policy.EndpointGone,
}

// Parse reads an update and checks that all of it can be used: that endpoint ids are plain
// and states known, and that each purge names an object or a group. Its errors, of JSON or
// these, name the service's keys and the event's revision.
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

func (e *event) validate() error {
	if e.Purge != nil && !e.Purge.namesObject() && e.Purge.Group == nil {
		return errors.New("flush without asset or collection")
	}
	if e.Endpoints == nil {
		return nil
	}
	for _, endpoint := range e.Endpoints.Entries {
		if !cacheproto.IsPlain(endpoint.ID) || endpointStates[endpoint.State] == "" {
			return fmt.Errorf("target %.40q in state %.20q", endpoint.ID, endpoint.State)
		}
	}
	return nil
}

// engineEndpoint maps an entry of the list to the engine's form.
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
