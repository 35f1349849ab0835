package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against a static build: a library that is preloaded into the router's process takes
// effect only if the built program is linked with the C library.
func TestBuiltRouterNeedsTheCLibrary(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no build line")
	}
	out := t.TempDir()
	build, found := strings.CutPrefix(string(line[1]), "mkdir -p bin && ")
	build = strings.Replace(build, " -o bin/ ./cmd/...", " -o "+out+" ./cmd/quilldoor", 1)
	if !found || !strings.Contains(build, out) {
		t.Fatalf("the build line has an unexpected form: %s", line[1])
	}
	cmd := exec.Command("sh", "-c", build)
	cmd.Dir = "../.."
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	program, err := elf.Open(filepath.Join(out, "quilldoor"))
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	libraries, err := program.ImportedLibraries()
	isCLibrary := func(library string) bool { return strings.HasPrefix(library, "libc.so") }
	if err != nil || !slices.ContainsFunc(libraries, isCLibrary) {
		t.Errorf("the program needs the libraries %v, want libc among them (error: %v)", libraries, err)
	}
}
