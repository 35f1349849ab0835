package handoff

import "quilldoor/internal/upgrade"

// Status is what a supervisor reports of itself. Its JSON is printed by
// `quilldoor change status --json`.
type Status struct {
	State             string    `cbor:"1,keyasint" json:"state"`                        // of its upgrade.Machine
	SinceMS           int64     `cbor:"2,keyasint" json:"since_ms"`                     // how long it has been in State
	Serving           *Process  `cbor:"3,keyasint,omitempty" json:"serving,omitempty"`  // of the settled generation
	Next              *Process  `cbor:"4,keyasint,omitempty" json:"next,omitempty"`     // of the one that may replace it
	Settled           *Manifest `cbor:"5,keyasint,omitempty" json:"settled,omitempty"`  // what a cold start begins with
	Previous          *Manifest `cbor:"6,keyasint,omitempty" json:"previous,omitempty"` // what a roll back returns to
	LastOutcome       string    `cbor:"7,keyasint,omitempty" json:"last,omitempty"`     // of the last change
	Persistent        bool      `cbor:"8,keyasint,omitempty" json:"lasting"`            // the state file could be written
	SupervisorPID     int       `cbor:"9,keyasint,omitempty" json:"keeper_pid"`
	Restarts          int       `cbor:"10,keyasint,omitempty" json:"restarts"`     // of the settled generation after crashes
	LastCrashMS       int64     `cbor:"11,keyasint,omitempty" json:"last_fall_ms"` // from the last crash until it served again
	DrainingProcesses int       `cbor:"14,keyasint,omitempty" json:"others"`       // processes beside Serving and Next, which drain
	// PeakMB and PeakDescriptors are of all processes together, this one included, since the supervisor began.
	PeakMB          int `cbor:"12,keyasint,omitempty" json:"most_mb"`
	PeakDescriptors int `cbor:"13,keyasint,omitempty" json:"most_descriptors"`
}

// Process is a running process of a generation.
type Process struct {
	Generation     uint64                `cbor:"1,keyasint" json:"generation"`
	PID            int                   `cbor:"2,keyasint" json:"pid"`
	AgentState     string                `cbor:"3,keyasint" json:"part"`                  // an upgrade.AgentState
	MemoryMB       int                   `cbor:"4,keyasint,omitempty" json:"memory_mb"`   // in use, in units of 2^20 bytes
	Descriptors    int                   `cbor:"5,keyasint,omitempty" json:"descriptors"` // open files and sockets
	Requests       upgrade.RequestCounts `cbor:"6,keyasint,omitempty" json:"ends"`        // how they ended since the process began
	HeartbeatAgeMS int64                 `cbor:"7,keyasint,omitempty" json:"beat_ms"`     // since it was last heard of
	// ViolatedRule is the invariant that its supervisor saw it violate.
	ViolatedRule string `cbor:"8,keyasint,omitempty" json:"broken,omitempty"`
}
