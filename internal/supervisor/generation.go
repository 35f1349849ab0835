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

// platformKeys are the keys of the configuration that always come from the platform's
// own file, since their values change at each start or belong to the machine.
var platformKeys = []string{"name", "listen", "seed", "board", "known", "limits"}

// maxSettingsBytes bounds a settings file, and a program's report on `check --json`.
const maxSettingsBytes = 16 << 20

// prepare creates a generation's subfolder with copies of its settings, has the program
// check them, and writes the manifest. It uses no state of the loop, so it may run in
// another goroutine.
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
	// A generation runs without its flat settings; the next change is rejected with the
	// missing file as the reason.
	_ = writeJSON(filepath.Join(folder, settingsFile), checked.Flat)
	return manifest, checked, writeJSON(filepath.Join(folder, manifestFile), manifest)
}

// copySettings copies a settings file. If it may be missing and is, the copy is empty.
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
		return nil, fmt.Errorf("generation %d: manifest has generation %d and program %q", generation, m.Generation, m.Program)
	}
	return m, nil
}

// writeProcessConfig writes the configuration that a process is started with: that of the
// generation, with platformKeys from the platform's file, the seed, and the budget as
// limits. A zero budget keeps the platform's limits.
func (s *Supervisor) writeProcessConfig(
	manifest *handoff.Manifest, seed string, budget upgrade.Resources,
) (path string, err error) {
	var config, platform map[string]json.RawMessage
	if err := readJSON(manifest.Config, &config); err != nil {
		return "", err
	}
	if config == nil {
		return "", fmt.Errorf("%s: null instead of an object", manifest.Config)
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
	_ = json.Unmarshal(config["limits"], &limits) // the program's check reports invalid limits
	if limits == nil {                            // they are null
		limits = map[string]any{}
	}
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
	path = s.generationPath(manifest.Generation, processConfigFile)
	return path, writeJSON(path, config)
}

// reload commands the old process to reload the settings that can change while it runs. It
// also has the observer read the address of discovery again.
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
		s.observer.followDiscovery()
	}
}
