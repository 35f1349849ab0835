package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
)

// Manifest is a generation: a program and the settings that it runs with. Program is
// where it lies, the others are the keeper's own copies.
type Manifest struct {
	Generation uint64 `json:"generation" cbor:"1,keyasint"`
	Program    string `json:"program" cbor:"2,keyasint"`
	ProgramSum string `json:"program_sum" cbor:"3,keyasint"` // xxHash64 of its bytes
	Config     string `json:"config" cbor:"4,keyasint"`
	Operator   string `json:"operator" cbor:"5,keyasint"`
	Settings   uint64 `json:"settings,string" cbor:"6,keyasint"` // digest
	Version    string `json:"version" cbor:"7,keyasint"`
}

// File is what outlasts the keeper, its generations and the machine's power.
type File struct {
	Format   int            `json:"format"`
	Next     uint64         `json:"next"` // number of the next generation
	Settled  *Manifest      `json:"settled"`
	Previous *Manifest      `json:"previous,omitempty"`
	Rollout  *RolloutRecord `json:"rollout,omitempty"`
	// Running are processes that a keeper to come may find, with their start as the
	// system tells it: a number alone may be another one's by then.
	Running []Running `json:"running,omitempty"`
}

// RolloutRecord is what a rollout has made of this router.
type RolloutRecord struct {
	RunID         uint64    `json:"run,string"`
	NewGeneration uint64    `json:"new,omitempty"` // generation; 0: it is not on the new one
	Previous      *Manifest `json:"before,omitempty"`
	FailureReason string    `json:"failed,omitempty"`
}

// Running is a process of a generation.
type Running struct {
	Generation uint64 `json:"generation"`
	PID        int    `json:"pid"`
	Started    uint64 `json:"started"` // ticks since the machine's start
}

// FileFormat is that of the file.
const FileFormat = 1

// ErrNewerFormat says that a later text has written the file.
var ErrNewerFormat = errors.New("written by a later text")

// ReadFile reads the state file; nil without one. A broken one is an error: it was
// put in its place whole, so that somebody else has written it.
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

// ParseFile reads the file's text. Unknown keys are passed over.
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

// Write puts the file in its place whole, and makes it last where the disk does.
func (f *File) Write(path string) error {
	f.Format = FileFormat
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	return WriteFileAtomic(path, append(text, '\n'))
}

// WriteFileAtomic writes a file whole or not at all, and syncs it and its folder.
func WriteFileAtomic(path string, text []byte) error {
	if err := renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path))); err != nil {
		return err
	}
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// FileDigest is the xxHash64 of a program's bytes, in hex.
func FileDigest(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	d := xxhash.New()
	if _, err := io.Copy(d, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%016x", d.Sum64()), nil
}
