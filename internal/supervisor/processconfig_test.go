package supervisor

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// writeProcessConfigFrom writes the configuration of a process from the texts of its
// generation's and the platform's, with a budget, and returns its text.
func writeProcessConfigFrom(t *testing.T, config, platform string) (string, error) {
	t.Helper()
	s := &Supervisor{config: Config{Folder: t.TempDir(), Platform: filepath.Join(t.TempDir(), "platform.json")}}
	manifest := &handoff.Manifest{Generation: 1, Config: s.generationPath(1, configFile)}
	if err := os.MkdirAll(s.generationPath(1), folderMode); err != nil {
		t.Fatal(err)
	}
	for path, text := range map[string]string{manifest.Config: config, s.config.Platform: platform} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path, err := s.writeProcessConfig(manifest, "7", upgrade.Resources{MemoryMB: 64, Descriptors: 100})
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text), nil
}

// Guards against a supervisor that panics, and so ends, at a configuration that is null
// or no object.
func TestConfigurationThatIsNoObjectIsAnError(t *testing.T) {
	for _, text := range []string{"null", "[]", "7"} {
		if _, err := writeProcessConfigFrom(t, text, `{"name":"n"}`); err == nil || !strings.Contains(err.Error(), configFile) {
			t.Errorf("configuration %s: error %v, want one that names the file", text, err)
		}
	}
}

// Guards against a supervisor that panics at a platform's configuration with limits that
// are null.
func TestNullLimitsOfThePlatformCountAsNone(t *testing.T) {
	text, err := writeProcessConfigFrom(t, `{}`, `{"name":"n","limits":null}`)
	if err != nil || !strings.Contains(text, `"memory_mb":64`) {
		t.Errorf("wrote %s: %v", text, err)
	}
	if _, err := writeProcessConfigFrom(t, `{}`, `null`); err != nil {
		t.Errorf("a platform's configuration that is null: %v", err)
	}
}
