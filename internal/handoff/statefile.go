package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// Manifest describes a generation: a program and the settings that it runs with.
type Manifest struct {
	Generation uint64 `json:"generation" cbor:"1,keyasint"`
	Program    string `json:"program" cbor:"2,keyasint"`         // path, as the operator gave it
	ProgramSum string `json:"program_sum" cbor:"3,keyasint"`     // FileDigest of Program
	Config     string `json:"config" cbor:"4,keyasint"`          // path of the supervisor's own copy
	Operator   string `json:"operator" cbor:"5,keyasint"`        // path of the supervisor's own copy
	Settings   uint64 `json:"settings,string" cbor:"6,keyasint"` // upgrade.Digest of the settings
	Version    string `json:"version" cbor:"7,keyasint"`         // as the program reports it
}

// StateFile is the content of the state file, which outlasts the supervisor, its processes and
// a power failure.
type StateFile struct {
	Format   int            `json:"format"`             // StateFileFormat of the writer
	Next     uint64         `json:"next"`               // number of the next generation
	Settled  *Manifest      `json:"settled"`            // the generation that a cold start begins with
	Previous *Manifest      `json:"previous,omitempty"` // the generation that a rollback returns to; nil: none
	Rollout  *RolloutRecord `json:"rollout,omitempty"`  // nil: no rollout has changed this router
	// Running lists the router processes, some of which a restarted supervisor may find
	// still running.
	Running []RunningProcess `json:"running,omitempty"`
}

// RolloutRecord is what a rollout has changed on this router.
type RolloutRecord struct {
	RunID         uint64    `json:"run,string"`       // rollout.State.RunID
	NewGeneration uint64    `json:"new,omitempty"`    // 0: this router does not run the rollout's generation
	Previous      *Manifest `json:"before,omitempty"` // the generation to return to
	FailureReason string    `json:"failed,omitempty"` // why this router's change failed; "": it has not failed
}

// RunningProcess is a process of a generation. Its start time distinguishes it from a later
// process with the same PID.
type RunningProcess struct {
	Generation uint64 `json:"generation"`
	PID        int    `json:"pid"`
	Started    uint64 `json:"started"` // clock ticks since the machine started
}

// StateFileFormat is the version of the state file.
const StateFileFormat = 1

// ErrNewerFormat is the error of a state file that a later version has written.
var ErrNewerFormat = errors.New("written by a later version")

// ReadStateFile reads the state file. It returns nil and no error if there is no file. The
// errors of a broken file are those of ParseStateFile: the supervisor replaces the file
// atomically, so something else has damaged it.
func ReadStateFile(path string) (*StateFile, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return ParseStateFile(path, text)
}

// ParseStateFile parses the text of a state file. Unknown keys are ignored. Errors are for text
// that is not JSON, that has no settled generation with a program and a config, or that
// has a later format (wrapping ErrNewerFormat). The path appears only in errors.
func ParseStateFile(path string, text []byte) (*StateFile, error) {
	file := new(StateFile)
	if err := json.Unmarshal(text, file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if file.Format > StateFileFormat {
		return nil, fmt.Errorf("%s: format %d: %w", path, file.Format, ErrNewerFormat)
	}
	if file.Settled == nil || file.Settled.Program == "" || file.Settled.Config == "" {
		return nil, fmt.Errorf("%s: settled: missing, or without program or config", path)
	}
	return file, nil
}

// Write replaces the state file atomically and durably.
func (f *StateFile) Write(path string) error {
	f.Format = StateFileFormat
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	return WriteFileAtomic(path, append(text, '\n'))
}
