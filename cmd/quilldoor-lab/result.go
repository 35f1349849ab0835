package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"quilldoor/internal/emulator"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

const (
	maxViolationsShown = 10
	timelineWidth      = 60 // characters of the longest bar, which the busiest second has
)

// printResult writes the result of a run as text.
func printResult(to io.Writer, s *scenario.Scenario, result *emulator.Result) {
	fmt.Fprintf(to, "%s: %s\n", s.Name, s.About)
	for _, fault := range result.Faults {
		fmt.Fprintln(to, "  ", fault)
	}
	printClasses(to, result)
	printTotals(to, result)
	printTimeline(to, result)
	printViolations(to, result)
}

// printClasses writes a table with a line for each traffic class and phase.
func printClasses(to io.Writer, result *emulator.Result) {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer table.Flush()
	fmt.Fprintln(table, "class\tphase\trequests\tin time\tlate\tstale\trejected\tfailed\tweight earned\tp50 ms\tp99 ms\t")
	for _, class := range result.Classes {
		for _, phase := range simulation.Phases {
			outcomes := class.Phases[phase]
			if outcomes == nil {
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t\n",
				class.Name, phase, outcomes.Requests, outcomes.InTime, outcomes.Late, outcomes.Stale,
				outcomes.Rejected, outcomes.Failed, outcomes.EarnedWeight/outcomes.PossibleWeight,
				class.Quantile(50)/microsPerMilli, class.Quantile(99)/microsPerMilli)
		}
	}
}

// printTotals writes the figures of the whole run.
func printTotals(to io.Writer, result *emulator.Result) {
	fmt.Fprintf(to, "weight earned after warm-up %.4f; %d requests with retries, %d attempts, %d requests unanswered; "+
		"%d servers overloaded, the origin stopped %d times\n",
		result.EarnedShare(), result.ClientAttempts, result.Attempts, result.TimedOut, result.Collapsed, result.OriginStops)
	fmt.Fprintf(to, "bytes into offices %.2f of those requested, from the origin %.2f; ends of attempts %v\n",
		result.FilledKB/result.RequestedKB, result.OriginKB/result.RequestedKB, result.AttemptOutcomes)
	if result.Forwarded > 0 {
		fmt.Fprintf(to, "forwarded to another site %d, completed there %d\n", result.Forwarded, result.ForwardedCompleted)
	}
	if result.Cost.CPU > 0 {
		cpu := result.Cost.CPU
		fmt.Fprintf(to, "router processes: %.2f s of CPU, %.0f us a request; the largest %.1f MB\n",
			cpu.Seconds(), float64(cpu.Microseconds())/float64(max(result.ClientAttempts, 1)),
			float64(result.Cost.MaxMemoryKB)/kbPerMB)
	}
	if result.Excused > 0 {
		fmt.Fprintf(to, "due while their router was stopped: %d requests, counted apart\n", result.Excused)
	}
	if members := result.Members; members != nil {
		fmt.Fprintf(to, "membership views: sampled %d times; converged %d ms after the last change of a fault (-1: not); "+
			"live routers declared dead by all: %v\n",
			members.Comparisons, members.AgreedAfter/microsPerMilli, members.DeadByAll)
	}
}

// printViolations writes the first violations that the checker found, and their counts by rule.
func printViolations(to io.Writer, result *emulator.Result) {
	if len(result.Violations) == 0 {
		fmt.Fprintf(to, "the checker judged %d requests: no rule violated\n", result.Judged)
		return
	}
	fmt.Fprintf(to, "rules violated, by rule: %v\n", result.CountByRule[1:])
	for i, violation := range result.Violations {
		if i == maxViolationsShown {
			fmt.Fprintln(to, "   ...")
			break
		}
		fmt.Fprintln(to, "  ", violation)
	}
}

// printTimeline writes a bar for each second, made of the requests completed in time, completed
// late and not completed.
func printTimeline(to io.Writer, result *emulator.Result) {
	busiest := 1
	for _, second := range result.Timeline {
		busiest = max(busiest, second.InTime+second.Late+second.NotCompleted)
	}
	bar := func(n int, symbol string) string {
		return strings.Repeat(symbol, (n*timelineWidth+busiest/2)/busiest)
	}
	fmt.Fprintln(to, "    s  caches  link  responses: # in time, ~ late, . none; ! a fault is active")
	for _, second := range result.Timeline {
		mark := " "
		if second.ActiveFaults > 0 {
			mark = "!"
		}
		fmt.Fprintf(to, "%s%4d %6d  %3.0f%%  %s%s%s\n", mark, second.At, second.Servers, 100*second.LinkUtilization,
			bar(second.InTime, "#"), bar(second.Late, "~"), bar(second.NotCompleted, "."))
	}
}
