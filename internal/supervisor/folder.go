package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"

	"quilldoor/internal/handoff"
)

// Files of the supervisor's folder; upgradeagent has those of the socket and the serving
// lock.
const (
	stateFile   = "state.json"
	lockFile    = "keep.lock"    // locked by the supervisor; holds its PID
	rolloutFile = "rollout.json" // a durableRollout
)

// Files of a generation's subfolder.
const (
	configFile        = "config.json"
	operatorFile      = "operator.yaml"
	manifestFile      = "generation.json"
	settingsFile      = "settings.json" // by flat key
	processConfigFile = "run.json"      // configuration that its process is started with
)

// Properties of the folder itself.
const (
	folderKey    = "keep.folder" // key of the operator's file, named in errors
	folderMode   = 0o700
	privateMode  = 0o600 // of the socket and the lock file
	maxPIDLength = 16    // bytes of the lock file that are read
)

// ErrFolderLocked is returned by Run when another supervisor uses the folder.
var ErrFolderLocked = errors.New("another supervisor uses this folder")

func (s *Supervisor) path(parts ...string) string {
	return filepath.Join(append([]string{s.config.Folder}, parts...)...)
}

func (s *Supervisor) generationPath(generation uint64, parts ...string) string {
	return s.path(append([]string{generationName(generation)}, parts...)...)
}

func generationName(generation uint64) string { return strconv.FormatUint(generation, 10) }

// lockFolder makes this process the only supervisor of the folder.
func (s *Supervisor) lockFolder() error {
	if err := os.MkdirAll(s.config.Folder, folderMode); err != nil {
		return fmt.Errorf("%s: %w", folderKey, err)
	}
	lock, err := os.OpenFile(s.path(lockFile), os.O_CREATE|os.O_RDWR, privateMode)
	if err != nil {
		return fmt.Errorf("%s: %w", folderKey, err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		holder := make([]byte, maxPIDLength)
		n, _ := lock.ReadAt(holder, 0) // the PID is for the message only
		lock.Close()
		return fmt.Errorf("%s: %s: %w (process %s)", folderKey, s.config.Folder, ErrFolderLocked, holder[:n])
	}
	_ = lock.Truncate(0)
	_, _ = lock.WriteAt([]byte(strconv.Itoa(os.Getpid())), 0) // the PID is for the message only
	s.lock = lock
	return nil
}

// writeState replaces the state file, and lists the running processes in it. It reports
// whether the write succeeded; otherwise a cold start begins with the file's old content.
func (s *Supervisor) writeState() bool {
	s.file.Running = nil
	for _, p := range s.processes() {
		s.file.Running = append(s.file.Running, handoff.RunningProcess{
			Generation: p.manifest.Generation, PID: p.pid, Started: p.startTicks,
		})
	}
	err := s.file.Write(s.path(stateFile))
	if err != nil && s.persistent {
		s.log.WithError(err).Error("supervisor: state file can't be written")
	}
	s.persistent = err == nil
	return s.persistent
}

// removeUnusedGenerations removes the subfolders of generations that are no longer needed.
func (s *Supervisor) removeUnusedGenerations() {
	needed := s.neededGenerations()
	entries, _ := os.ReadDir(s.config.Folder) // on an error, the next call removes the rest
	for _, entry := range entries {
		_, err := strconv.ParseUint(entry.Name(), 10, 64)
		if err != nil || !entry.IsDir() || needed[entry.Name()] {
			continue
		}
		_ = os.RemoveAll(s.path(entry.Name())) // on an error, the next call removes the rest
	}
}

// neededGenerations returns the names of the subfolders that have to stay.
func (s *Supervisor) neededGenerations() map[string]bool {
	manifests := []*handoff.Manifest{s.file.Settled, s.file.Previous}
	if s.file.Rollout != nil {
		manifests = append(manifests, s.file.Rollout.Previous)
	}
	for _, p := range s.processes() {
		manifests = append(manifests, p.manifest)
	}
	if s.change != nil {
		manifests = append(manifests, s.change.manifest)
	}
	needed := map[string]bool{}
	for _, m := range manifests {
		if m != nil {
			needed[generationName(m.Generation)] = true
		}
	}
	return needed
}

// SettledSettings returns the flat settings, see upgrade.Flatten, of the settled generation
// in a supervisor's folder. It returns an error when no supervisor has used the folder, when
// the state file can't be read, is broken or was written by a later version
// (handoff.ErrNewerFormat), and when the generation's settings file is missing or broken.
func SettledSettings(folder string) (map[string]string, error) {
	f, err := handoff.ReadStateFile(filepath.Join(folder, stateFile))
	if err != nil {
		return nil, err
	}
	if f == nil {
		return nil, fmt.Errorf("%s: no supervisor has used this folder", folder)
	}
	flat := map[string]string{}
	return flat, readJSON(filepath.Join(folder, generationName(f.Settled.Generation), settingsFile), &flat)
}

func readJSON(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
