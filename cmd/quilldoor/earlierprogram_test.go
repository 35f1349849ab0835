package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

const (
	// previousCommit is the default earlier version in the tests that mix versions: the last
	// commit before comments, names and log texts were reworded, which must not change any
	// data or messages.
	previousCommit = "53cc78ce570e0fc618b51a311cf74952d0f4c871"

	// decisionsCommit is the last commit that changed decisions on purpose.
	decisionsCommit = "a6c32fd14b891f73443d254dbd90e6ba9dbca0fb"

	// earlierProgramVariable is the environment variable with the path of a built quilldoor that
	// these tests use in place of previousCommit's.
	earlierProgramVariable = "QUILLDOOR_TEST_EARLIER_PROGRAM"
)

// Names of the repository's commands and of the programs built from them.
const (
	routerCommand  = "quilldoor"
	adapterCommand = "simadapter"
)

// earlierBuilds holds the sources and programs of earlier commits that this test binary has
// extracted and built.
var earlierBuilds = struct {
	sync.Mutex
	sources  map[string]string // folder by commit
	programs map[string]bool   // by path
}{sources: map[string]string{}, programs: map[string]bool{}}

// earlierRouter returns the path of the earlier router: the program that
// earlierProgramVariable names, else previousCommit's.
func earlierRouter(t *testing.T) string {
	t.Helper()
	named := os.Getenv(earlierProgramVariable)
	if named == "" {
		return buildEarlier(t, previousCommit, routerCommand)
	}
	program, err := filepath.Abs(named)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(program); err != nil {
		t.Fatalf("%s: %v", earlierProgramVariable, err)
	}
	return program
}

// earlierAdapter returns the path of the simadapter in the folder of the program that
// earlierProgramVariable names, else previousCommit's.
func earlierAdapter(t *testing.T) string {
	t.Helper()
	if os.Getenv(earlierProgramVariable) == "" {
		return buildEarlier(t, previousCommit, adapterCommand)
	}
	program := filepath.Join(filepath.Dir(earlierRouter(t)), adapterCommand)
	if _, err := os.Stat(program); err != nil {
		t.Skipf("not decided: no adapter in the folder of the earlier program: %v", err)
	}
	return program
}

// buildEarlier builds a command of an earlier commit, once per test binary, and returns the
// program's path. It skips the test if the repository's history is not available.
func buildEarlier(t *testing.T, commit, command string) string {
	t.Helper()
	earlierBuilds.Lock()
	defer earlierBuilds.Unlock()
	sources := earlierBuilds.sources[commit]
	if sources == "" {
		sources = extractCommit(t, commit)
		earlierBuilds.sources[commit] = sources
	}
	program := filepath.Join(sources, "built", command)
	if !earlierBuilds.programs[program] {
		run(t, "go", "build", "-C", sources, "-buildvcs=false", "-o", program, "./cmd/"+command)
		earlierBuilds.programs[program] = true
	}
	return program
}

// extractCommit writes a commit's files to a new folder, which it returns. The folder is next
// to the test binary and is removed with it by go test.
func extractCommit(t *testing.T, commit string) string {
	t.Helper()
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Skip("not decided: the repository's history is not available")
	}
	root := strings.TrimSpace(string(top))
	if exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}").Run() != nil {
		t.Skip("not decided: the history does not reach back to", commit)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	folder, err := os.MkdirTemp(filepath.Dir(self), "earlier-")
	if err != nil {
		t.Fatal(err)
	}
	archive := filepath.Join(folder, "text.tar")
	run(t, "git", "-C", root, "archive", "-o", archive, commit)
	run(t, "tar", "-xf", archive, "-C", folder)
	return folder
}

// run runs a command and fails the test if the command fails.
func run(t *testing.T, name string, args ...string) {
	t.Helper()
	if output, err := exec.Command(name, args...).CombinedOutput(); err != nil {
		t.Fatalf("%s %v: %v, %s", name, args, err, output)
	}
}
