package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// mainVariable is an environment variable. Where it is set, the test binary runs the program's
// commands in place of the tests.
const mainVariable = "QUILLDOOR_TEST_MAIN"

// ownCommand returns a process of the test binary that runs one of the program's commands.
func ownCommand(args ...string) *exec.Cmd {
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), mainVariable+"=1")
	return command
}

// TestMain runs the program's commands, or bad clients, in a process that a test has started, and
// the tests otherwise.
func TestMain(m *testing.M) {
	if kind, addr, found := strings.Cut(os.Getenv(badClientsVariable), "@"); found {
		sendBadRequests(kind, addr)
		return
	}
	if os.Getenv(mainVariable) != "" {
		execute(processConstructor())
		return
	}
	code := m.Run()
	if code == 0 {
		code = undecidedExitCode()
	}
	os.Exit(code)
}
