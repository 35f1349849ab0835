package main

import (
	"os"
	"os/exec"
	"testing"
)

// mainVariable is set in the environment of processes of the test binary that are to run
// its commands in place of its tests.
const mainVariable = "QUILLDOOR_TEST_MAIN"

// ownCommand is a process of the test binary that runs one of the program's commands.
func ownCommand(args ...string) *exec.Cmd {
	command := exec.Command(os.Args[0], args...)
	command.Env = append(os.Environ(), mainVariable+"=1")
	return command
}

// TestMain makes the test binary the router where a test starts one as a process.
func TestMain(m *testing.M) {
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
