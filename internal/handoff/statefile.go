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
	ProgramSum string `json:"program_sum" cbor:"3,keyasint"`     // FileDigest of it
	Config     string `json:"config" cbor:"4,keyasint"`          // path of the supervisor's own copy
	Operator   string `json:"operator" cbor:"5,keyasint"`        // path of the supervisor's own copy
	Settings   uint64 `json:"settings,string" cbor:"6,keyasint"` // upgrade.Digest of them
	Version    string `json:"version" cbor:"7,keyasint"`         // as the program says
}

// File is the state that outlasts the supervisor, its processes and a power failure.
type File struct {
	Format   int            `json:"format"`             // FileFormat of the writer
	Next     uint64         `json:"next"`               // number of the next generation
	Settled  *Manifest      `json:"settled"`            // what a cold start begins with
	Previous *Manifest      `json:"previous,omitempty"` // what a roll back returns to; nil: none
	Rollout  *RolloutRecord `json:"rollout,omitempty"`  // nil: none has changed this router
	// Running are the processes that a restarted supervisor may find.
	Running []Running `json:"running,omitempty"`
}

// RolloutRecord is what a rollout has made of this router.
type RolloutRecord struct {
	RunID         uint64    `json:"run,string"`       // rollout.State.RunID
	NewGeneration uint64    `json:"new,omitempty"`    // 0: this router does not run the rollout's generation
	Previous      *Manifest `json:"before,omitempty"` // the generation to go back to
	FailureReason string    `json:"failed,omitempty"` // why this router's change failed; "": it has not
}

// Running is a process of a generation. Its start time tells it from a later process
// with the same PID.
type Running struct {
	Generation uint64 `json:"generation"`
	PID        int    `json:"pid"`
	Started    uint64 `json:"started"` // ticks since the machine's start
}

// FileFormat is the version of the state file.
const FileFormat = 1

// ErrNewerFormat says that a later version has written the file.
var ErrNewerFormat = errors.New("written by a later version")

// ReadFile reads the state file; nil when there is none. A broken file is an error, see
// ParseFile: it is replaced atomically, so something else has damaged it.
func ReadFile(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return ParseFile(path, text)
}

// ParseFile parses the state file's text. Unknown keys are ignored. The path is for
// errors: of JSON, of a file without a settled generation, or one that wraps
// ErrNewerFormat.
func ParseFile(path string, text []byte) (*File, error) {
	f := new(File)
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Format > FileFormat {
		return nil, fmt.Errorf("%s: format %d: %w", path, f.Format, ErrNewerFormat)
	}
	if f.Settled == nil || f.Settled.Program == "" || f.Settled.Config == "" {
		return nil, fmt.Errorf("%s: settled: missing, or without program or config", path)
	}
	return f, nil
}

// Write replaces the state file atomically and durably.
func (f *File) Write(path string) error {
	f.Format = FileFormat
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	return WriteFileAtomic(path, append(text, '\n'))
}
