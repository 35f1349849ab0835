// Package testsupport provides helpers for the tests of several packages.
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

// WaitUntil polls until a condition holds. It fails the test after maxPolls polls; the description
// names the awaited event.
func WaitUntil(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for range maxPolls {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatal("timed out waiting for", description)
}

// RunRapidWithFixedSeed is the TestMain of a package whose tests use rapid. Every run checks the
// same cases, and a failure is printed but not written to a file.
func RunRapidWithFixedSeed(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
