package main

import (
	"os"
	"testing"
)

// TestMain makes the test binary the router where a test starts one as a process.
func TestMain(m *testing.M) {
	if os.Getenv("QUILLDOOR_TEST_MAIN") != "" {
		execute(processConstructor())
		return
	}
	code := m.Run()
	if code == 0 {
		code = undecidedExitCode()
	}
	os.Exit(code)
}
