package main

import (
	"os"
	"testing"
)

// The test's own binary is the router where a test starts one to kill it.
func TestMain(m *testing.M) {
	if os.Getenv("QUILLDOOR_TEST_MAIN") != "" {
		main()
		return
	}
	code := m.Run()
	if code == 0 {
		code = undecidedExitCode()
	}
	os.Exit(code)
}
