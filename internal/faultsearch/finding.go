package faultsearch

import (
	"fmt"

	"quilldoor/internal/scenario"
)

// Finding is a drawn scenario and the outcome of its run.
type Finding struct {
	Number      int    // of the draw, from 1
	Violation   string // the violated invariants, a panic or an error; empty: none
	EarnedShare float64
	Scenario    *scenario.Scenario
}

// String is a one-line summary.
func (f *Finding) String() string {
	return fmt.Sprintf("scenario %d: %s, weight earned %.3f", f.Number, f.Violation, f.EarnedShare)
}
