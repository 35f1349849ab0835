package supervisor

import (
	"maps"
	"slices"

	"quilldoor/internal/canary"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgrade"
)

// rolloutReport returns this router's report to the rollout's leader.
func (s *Supervisor) rolloutReport() rollout.Report {
	report := rollout.Report{
		Changing: s.machine.Busy(), Capable: s.hasPlannedFiles(), Restarts: s.settledStarts,
		Upgraded: s.isUpgraded(),
	}
	if record := s.file.Rollout; record != nil {
		report.RunID = record.RunID
		report.FailureReason = record.FailureReason
	}
	if s.old != nil {
		s.countRequests(s.old)
		report.MemoryMB = float64(s.old.usage.MemoryMB)
	}
	r := &s.rollout
	report.Counts = canaryCounts(r.previousRequests.Add(r.currentRequests))
	violations := s.violations(s.old, nil)
	report.ViolatedRules = violations.Rules
	report.FirstViolation = violations.Text
	if s.observer != nil {
		report.DrainsSeen, report.PurgesSeen = s.observer.monitor.EventCounts()
	}
	return report
}

// countRequests updates the request counts from a process, whose own counts begin at 0.
// Another generation, or a lower count in the same one, shows a new process: the counts of
// the process before it are then added to previousRequests.
func (s *Supervisor) countRequests(p *process) {
	r := &s.rollout
	restarted := p.requests.WeightOffered < r.currentRequests.WeightOffered
	if p.manifest.Generation != r.currentGeneration || restarted {
		r.previousRequests = r.previousRequests.Add(r.currentRequests)
		r.currentGeneration = p.manifest.Generation
	}
	r.currentRequests = p.requests
}

// canaryCounts converts request counts for the canary analysis.
func canaryCounts(c upgrade.RequestCounts) canary.Counts {
	counts := canary.Counts{
		Requests:      float64(c.Completed + c.Rejected + c.Aborted + c.ClientGone),
		WeightOffered: c.WeightOffered,
		WeightEarned:  c.WeightEarned,
		Rejected:      float64(c.Rejected),
		Failed:        float64(c.Aborted + c.ClientGone),
		Completed:     float64(c.Completed),
		LogLatencySum: c.LogLatencySum,
		Attempts:      float64(c.Attempts),
		Classes:       canaryClasses(c.Classes),
	}
	if c.Attempts == 0 {
		counts.Completed = 0 // of an earlier version, which reports neither latency nor attempts
	}
	return counts
}

// canaryClasses converts the counts of the first canary.MaxClasses classes by name.
func canaryClasses(classes map[string][3]float64) map[string]canary.ClassCounts {
	var counts map[string]canary.ClassCounts
	for i, name := range slices.Sorted(maps.Keys(classes)) {
		if i >= canary.MaxClasses {
			break
		}
		if counts == nil {
			counts = map[string]canary.ClassCounts{}
		}
		class := classes[name]
		counts[name] = canary.ClassCounts{Requests: class[0], WeightOffered: class[1], WeightEarned: class[2]}
	}
	return counts
}
