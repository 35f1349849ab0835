package main

import (
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/gonum/stat"

	"quilldoor/internal/emulator"
	"quilldoor/internal/rollout"
)

// rolloutFigures are the results of a case over all runs. Times are in seconds.
type rolloutFigures struct {
	runs, done, rolledBack, paused int
	rolledBackAt                   [rolloutStages]int // by stage
	earned                         []float64          // share of the offered weight, by run
	harmed                         float64            // requests, mean over the runs
	harmToRollbackS                []float64          // from the first harm until the rollback started
	harmToEndS                     []float64          // from the first harm until all routers were rolled back
	doneAfterS                     []float64
	violations                     [ruleArrayLength]int // by rule
	accusedRouters                 int                  // routers that violated a rule, over all runs
}

// summarize returns the figures of the runs of a case.
func summarize(results []*emulator.RolloutResult) *rolloutFigures {
	figures := &rolloutFigures{runs: len(results)}
	for _, result := range results {
		figures.add(result)
	}
	return figures
}

// add adds the result of a run. f.runs must be set before.
func (f *rolloutFigures) add(result *emulator.RolloutResult) {
	f.earned = append(f.earned, result.EarnedShare())
	f.harmed += float64(result.HarmedRequests) / float64(f.runs)
	f.accusedRouters += result.AccusedRouters
	for rule, count := range result.CountByRule {
		f.violations[rule] += count
	}
	switch result.Phase {
	case rollout.PhaseDone:
		f.done++
		f.doneAfterS = append(f.doneAfterS, result.EndS)
	case rollout.PhaseRolledBack, rollout.PhaseRollingBack:
		f.rolledBack++
		f.rolledBackAt[result.Stage]++
		if result.FirstHarmS > 0 {
			f.harmToRollbackS = append(f.harmToRollbackS, result.RollbackStartS-result.FirstHarmS)
			f.harmToEndS = append(f.harmToEndS, result.EndS-result.FirstHarmS)
		}
	case rollout.PhasePaused, rollout.PhaseForward:
		f.paused++
	}
}

// print writes the results as the remaining cells of a line of the table.
func (f *rolloutFigures) print(to io.Writer) {
	fmt.Fprintf(to, "%d\t%d\t%d\t%d\t", f.runs, f.done, f.rolledBack, f.paused)
	for _, count := range f.rolledBackAt {
		fmt.Fprintf(to, "%d\t", count)
	}
	fmt.Fprintf(to, "%.4f\t%.0f\t", stat.Mean(f.earned, nil), f.harmed)
	fmt.Fprintf(to, "%s\t%s\t", formatQuantile(f.harmToRollbackS, 0.5), formatQuantile(f.harmToRollbackS, 1))
	fmt.Fprintf(to, "%s\t%s\t", formatQuantile(f.harmToEndS, 1), formatQuantile(f.doneAfterS, 0.5))
	fmt.Fprintf(to, "%v\t%d\t\n", f.violations[1:], f.accusedRouters)
}

// formatQuantile formats the q-quantile of a list of seconds, or "-" if the list is empty.
func formatQuantile(list []float64, q float64) string {
	if len(list) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(list))
	return fmt.Sprintf("%.0f", stat.Quantile(q, stat.Empirical, sorted, nil))
}
