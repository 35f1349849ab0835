// Package testsupport has the helpers that tests of several packages share.
package testsupport

import (
	"flag"
	"testing"
	"time"
)

const (
	pollInterval = time.Millisecond
	maxPolls     = 5000
)

// WaitUntil polls a condition, and fails the test if it does not come to hold.
func WaitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range maxPolls {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatal(what, "has not come")
}

// RunRapidWithFixedSeed is the TestMain of a package whose tests use rapid. They check the
// same cases at each run, and a failure is printed but not kept in a file.
func RunRapidWithFixedSeed(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
