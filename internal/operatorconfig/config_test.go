package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestErrorsNameKeyAndLine(t *testing.T) {
	for text, want := range map[string]string{
		"disk:\n  path: /x\n  size_mb: 1\n":                                             "f:3: disk.size_mb: 1 is not within",
		"\ndisk:\n  size_mb: 100\n":                                                     "f:3: disk.path: missing",
		"disk:\n  path: x\n  size_mb: 100\n":                                            `f:2: disk.path: "x" is not an absolute`,
		"disk:\n  path: /x\n  sise_mb: 100\n":                                           "f:3: sise_mb: unknown field",
		"disk:\n  path: /x\n  size_mb: soon\n":                                          "f:3: soon: ",
		"disk:\n  path: /x\n  size_mb: 100\n  rules: [a, b, a]\n":                       "f:4: disk.rules[2]",
		"disk:\n  path: /x\n  size_mb: 16000000\n":                                      "disk.memory_mb: 16 MB are too few",
		"disk:\n  path: /x\n  path: /y\n  size_mb: 100\n":                               "f:3: ",
		"disk: [1, 2]\n":                                                                "f:1: ",
		"disk: {path: /x, size_mb: 16}\n---\nmetrics: {file: /x/y}\n":                   "f:3: file: more than one YAML document",
		"metrics:\n  every_s: 5\n":                                                      `metrics.file: "" is not an absolute`,
		"metrics:\n  file: /m\n  every_s: 5000\n":                                       "f:3: metrics.every_s",
		"gateway:\n  name: n\n":                                                         "gateway.",
		gatewayWith("peers: []"):                                                        "f:8: gateway.peers: 0 peers",
		gatewayWith("peers: [{name: n, site: s, addr: \"127.0.0.1:1\"}]"):               "f:8: gateway.peers[0].name",
		gatewayWith("peers: [{name: m, site: north, addr: \"127.0.0.1:1\"}]"):           "f:8: gateway.peers[0].site",
		gatewayWith("peers: [{name: m, site: s, addr: there}]"):                         `f:8: gateway.peers[0].addr: "there"`,
		gatewayWith("peers: [{name: m, site: s, addr: \"127.0.0.1:1\"}]\n  reserve: 1"): "f:9: gateway.reserve",
		"\tdisk: 1\n":                              "f:1: ",
		"members:\n  listen: 127.0.0.1:1\n":        `members.name: "" is empty`,
		membersWith("peers: []"):                   "f:5: members.peers: 0 peers",
		membersWith("peers: [{name: a, addr: x}]"): `f:5: members.peers[0].addr: "x"`,
		membersWith("peers: [{name: a, addr: \"127.0.0.1:1\"}, {name: a, addr: \"127.0.0.1:1\"}]"): "f:5: members.peers[1].name",
		membersWith("peers: [{name: a, addr: \"127.0.0.1:1\"}]\n  rate_bytes_per_s: 5"):            "f:6: members.rate_bytes_per_s",
		"members:\n  name: n\n  listen: 0.0.0.0:7000\n  key_file: /k\n":                            `f:3: members.listen: "0.0.0.0:7000"`,
		"members:\n  name: n\n  listen: 127.0.0.1:1\n  key_file: k\n":                              `f:4: members.key_file: "k"`,
	} {
		if _, err := Parse("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: the error has several lines: %v", text, err)
		}
	}
}

// gatewayWith returns a gateway part that has all required keys except peers, and the
// given lines.
func gatewayWith(lines string) string {
	return "gateway:\n  name: n\n  site: north\n  listen: 127.0.0.1:1\n  cert: c\n  key: k\n  ca: a\n  " + lines + "\n"
}

// membersWith returns a members part that has all required keys except peers, and the
// given lines.
func membersWith(lines string) string {
	return "members:\n  name: n\n  listen: 127.0.0.1:1\n  key_file: /k\n  " + lines + "\n"
}

func TestAbsentAndEmptyFilesTurnAllOff(t *testing.T) {
	t.Chdir(t.TempDir())
	noVariables := func(string) string { return "" }
	for _, text := range []string{"", "# nothing\n", "---\n", "{}\n"} {
		c, err := Parse("f", []byte(text))
		if err != nil || c.DiskCache != nil || c.Metrics != nil || c.Membership != nil {
			t.Errorf("%q: %+v, %v", text, c, err)
		}
	}
	if c, err := Load("", noVariables); err != nil || c.DiskCache != nil {
		t.Errorf("no file at the default path: %+v, %v", c, err)
	}
	if _, err := Load("there.yaml", noVariables); err == nil {
		t.Error("no error for a named file that does not exist")
	}
	if err := os.WriteFile("here.yaml", []byte("disk: {path: /x, size_mb: 64}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Load("", func(string) string { return filepath.Join(".", "here.yaml") })
	if err != nil || c.DiskCache == nil {
		t.Fatalf("file named by the environment variable: %+v, %v", c, err)
	}
	if c.DiskCache.SlotKB != 16 || c.DiskCache.Slots() != 4096 || c.DiskCache.MaxEntries() != 4096 {
		t.Errorf("defaults of the disk cache: %+v", c.DiskCache)
	}
}
