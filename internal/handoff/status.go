package handoff

import "quilldoor/internal/upgrade"

// Status is a supervisor's status report. `quilldoor change status --json` prints it as
// JSON.
type Status struct {
	State             string    `cbor:"1,keyasint" json:"state"`                        // of its upgrade.Machine
	SinceMS           int64     `cbor:"2,keyasint" json:"since_ms"`                     // how long it has been in State
	Serving           *Process  `cbor:"3,keyasint,omitempty" json:"serving,omitempty"`  // of the settled generation
	Next              *Process  `cbor:"4,keyasint,omitempty" json:"next,omitempty"`     // of the generation that may replace it
	Settled           *Manifest `cbor:"5,keyasint,omitempty" json:"settled,omitempty"`  // the generation that a cold start begins with
	Previous          *Manifest `cbor:"6,keyasint,omitempty" json:"previous,omitempty"` // the generation that a rollback returns to
	LastOutcome       string    `cbor:"7,keyasint,omitempty" json:"last,omitempty"`     // of the last change
	Persistent        bool      `cbor:"8,keyasint,omitempty" json:"lasting"`            // the last write of the state file succeeded
	SupervisorPID     int       `cbor:"9,keyasint,omitempty" json:"keeper_pid"`
	Restarts          int       `cbor:"10,keyasint,omitempty" json:"restarts"`     // of the settled generation after crashes
	LastCrashMS       int64     `cbor:"11,keyasint,omitempty" json:"last_fall_ms"` // from the last crash until the router served again
	DrainingProcesses int       `cbor:"14,keyasint,omitempty" json:"others"`       // besides Serving and Next
	// PeakMB and PeakDescriptors are the peak use of all processes together, the
	// supervisor's included, since the supervisor started.
	PeakMB          int `cbor:"12,keyasint,omitempty" json:"most_mb"`
	PeakDescriptors int `cbor:"13,keyasint,omitempty" json:"most_descriptors"`
}

// Process is the status of a running process of a generation.
type Process struct {
	Generation     uint64                `cbor:"1,keyasint" json:"generation"`
	PID            int                   `cbor:"2,keyasint" json:"pid"`
	AgentState     string                `cbor:"3,keyasint" json:"part"`                  // name of an upgrade.AgentState
	MemoryMB       int                   `cbor:"4,keyasint,omitempty" json:"memory_mb"`   // in use, in units of 2^20 bytes
	Descriptors    int                   `cbor:"5,keyasint,omitempty" json:"descriptors"` // open files and sockets
	Requests       upgrade.RequestCounts `cbor:"6,keyasint,omitempty" json:"ends"`        // by outcome, since the process started
	HeartbeatAgeMS int64                 `cbor:"7,keyasint,omitempty" json:"beat_ms"`     // since its last message
	// ViolatedRule describes the invariant that the supervisor observed the process
	// violate.
	ViolatedRule string `cbor:"8,keyasint,omitempty" json:"broken,omitempty"`
}
