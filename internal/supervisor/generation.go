package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// platformKeys are keys of the configuration that are always taken from the platform's
// own file: they are new at each start, or belong to the machine.
var platformKeys = []string{"name", "listen", "seed", "board", "known", "limits"}

// maxSettingsBytes bounds a file of settings, and what a program says of them.
const maxSettingsBytes = 16 << 20

// prepare makes a generation's folder: copies of its settings, and its manifest. It also
// lets the program check them. It runs beside the loop.
func (s *Supervisor) prepare(generation uint64, program, config, operator string) (
	*handoff.Manifest, *CheckResult, error,
) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, nil, err
	}
	folder := s.generationPath(generation)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, nil, err
	}
	manifest := &handoff.Manifest{
		Generation: generation, Program: program,
		Config: filepath.Join(folder, configFile), Operator: filepath.Join(folder, operatorFile),
	}
	if err := copySettings(config, manifest.Config, config == ""); err != nil {
		return nil, nil, err
	}
	if err := copySettings(operator, manifest.Operator, true); err != nil {
		return nil, nil, err
	}
	if manifest.ProgramSum, err = handoff.FileDigest(program); err != nil {
		return nil, nil, fmt.Errorf("program: %w", err)
	}
	checked, err := s.check(manifest)
	if err != nil {
		return nil, nil, err
	}
	manifest.Settings = checked.Digest
	manifest.Version = checked.Version
	// A generation without flat settings is run; the next change says what is missing.
	_ = writeJSON(filepath.Join(folder, settingsFile), checked.Flat)
	return manifest, checked, writeJSON(filepath.Join(folder, manifestFile), manifest)
}

// copySettings copies a file; where it may be missing, it is empty then.
func copySettings(from, to string, mayBeMissing bool) error {
	text, err := os.ReadFile(from)
	missing := from == "" || errors.Is(err, fs.ErrNotExist)
	if err != nil && (!missing || !mayBeMissing) {
		return err
	}
	if len(text) > maxSettingsBytes {
		return fmt.Errorf("%s: longer than %d MB", from, maxSettingsBytes>>20)
	}
	return handoff.WriteFileAtomic(to, text)
}

func writeJSON(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return handoff.WriteFileAtomic(path, text)
}

// readManifest reads the manifest of a generation.
func (s *Supervisor) readManifest(generation uint64) (*handoff.Manifest, error) {
	m := new(handoff.Manifest)
	if err := readJSON(s.generationPath(generation, manifestFile), m); err != nil {
		return nil, err
	}
	if m.Generation != generation || m.Program == "" {
		return nil, fmt.Errorf("generation %d: its manifest is of another", generation)
	}
	return m, nil
}

// writeProcessConfig writes the configuration that a process is started with: the
// generation's own, the platform's keys, the seed, and a part of the machine. Without a
// budget the platform's limits stay.
func (s *Supervisor) writeProcessConfig(
	manifest *handoff.Manifest, seed string, budget upgrade.Resources,
) (path string, err error) {
	var config, platform map[string]json.RawMessage
	if err := readJSON(manifest.Config, &config); err != nil {
		return "", err
	}
	if err := readJSON(s.config.Platform, &platform); err != nil {
		return "", err
	}
	for _, key := range platformKeys {
		delete(config, key)
		if platform[key] != nil {
			config[key] = platform[key]
		}
	}
	limits := map[string]any{}
	_ = json.Unmarshal(config["limits"], &limits) // the program's check names what is wrong
	if budget != (upgrade.Resources{}) {
		limits["memory_mb"] = budget.MemoryMB
		limits["sockets"] = budget.Descriptors
	}
	if config["limits"], err = json.Marshal(limits); err != nil {
		return "", err
	}
	if config["seed"], err = json.Marshal(seed); err != nil {
		return "", err
	}
	path = s.generationPath(manifest.Generation, processConfFile)
	return path, writeJSON(path, config)
}

// reload lets the settled generation read again what can change while it runs.
func (s *Supervisor) reload() {
	if s.old == nil {
		return
	}
	if _, err := s.writeProcessConfig(s.old.manifest, s.old.seed, s.old.budget); err != nil {
		s.log.WithError(err).Error("supervisor: new configuration rejected, the old one stays")
		return
	}
	s.old.send(&handoff.Message{Kind: handoff.KindReload})
	if s.observer != nil {
		s.observer.follow()
	}
}
