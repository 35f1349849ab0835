package emulator

import (
	"encoding/json"

	"quilldoor/internal/settings"
)

// platformConfig is the configuration file that the platform writes for a router.
type platformConfig struct {
	Discovery     string          `json:"board"` // address of the discovery service
	FlowBytesPerS float64         `json:"flow_bytes_per_s,omitempty"`
	Known         discoveryUpdate `json:"known"` // the endpoint list at the start
	Limits        processLimits   `json:"limits"`
	LinkBytesPerS float64         `json:"link_bytes_per_s,omitempty"`
	Listen        string          `json:"listen"`
	Name          string          `json:"name"`
	Seed          string          `json:"seed"`
	Settings      settings.Setup  `json:"settings"`
}

// processLimits are the limits of a router process.
type processLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// discoveryUpdate is the discovery service's answer to a poll: the events after a revision.
type discoveryUpdate struct {
	Revision int               `json:"rev"` // revision of the last event
	Events   []json.RawMessage `json:"notices"`
}
