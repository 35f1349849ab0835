package rollout

import (
	"fmt"

	"quilldoor/internal/canary"
)

// sampleInterval is the time between two samples of the canary analysis, microseconds.
const sampleInterval = second

// maxFleetSamples bounds the memory of a watch: hours of samples.
const maxFleetSamples = 20_000

// stageWatch compares changed and unchanged routers once all of a stage have changed.
type stageWatch struct {
	startedAt     int64            // 0: not all of the stage have changed
	analyzer      *canary.Analyzer // nil: no stage is watched
	sampledAt     int64
	verdict       canary.Verdict
	verdictReason string
	// Losses of all routers together, by samples: of this watch, and of the one before
	// if the same router led then.
	fleetLosses         []float64
	previousFleetLosses []float64
}

// stop ends the watch: each decided state may change the fleet.
func (w *stageWatch) stop() {
	w.startedAt = 0
	w.analyzer = nil
}

func (l *leader) startWatch(n *Node) {
	l.watch.startedAt = n.now
	l.watch.sampledAt = n.now
	l.watch.analyzer = canary.New(n.plan.CanarySettings(), len(n.plan.Stages))
	l.watch.verdict = canary.VerdictInconclusive
	l.watch.verdictReason = ""
	l.watch.fleetLosses = nil
	for i := range l.routers {
		r := &l.routers[i]
		r.drainsAtWatchStart = r.report.DrainsSeen
		r.purgesAtWatchStart = r.report.PurgesSeen
	}
}

// sample gives the analyzer what routers have done since the last sample. Those that are
// changing, unreachable, or changed shortly before are left out.
func (l *leader) sample(n *Node) {
	watch := &l.watch
	if watch.analyzer == nil || watch.startedAt == 0 || n.now-watch.sampledAt < sampleInterval {
		return
	}
	watch.sampledAt = n.now
	var fleet canary.Counts
	for i := range l.routers {
		router := &l.routers[i]
		if n.now-router.reportedAt > reachableReportAge || router.report.Changing ||
			n.now-router.generationSince < watch.analyzer.SkipMicros() {
			router.sampledAt = 0
			continue
		}
		counts := router.report.Counts.Minus(router.sampledCounts)
		if router.sampledAt > 0 && counts.Requests >= 0 { // fewer than before: its counts began anew
			watch.analyzer.Observe(n.plan.Routers[i].Office, router.report.Upgraded, counts)
			fleet.Requests += counts.Requests
			fleet.WeightOffered += counts.WeightOffered
			fleet.WeightEarned += counts.WeightEarned
		}
		router.sampledCounts = router.report.Counts
		router.sampledAt = n.now
	}
	settings := n.plan.CanarySettings()
	if loss, enough := settings.LossOf(fleet); enough && len(watch.fleetLosses) < maxFleetSamples {
		watch.fleetLosses = append(watch.fleetLosses, loss)
	}
	watch.analyzer.EndSample()
	watch.verdict, watch.verdictReason = watch.analyzer.Verdict()
}

// watchStage returns what the watch of a stage has shown, and begins it if need be.
func (l *leader) watchStage(n *Node, s *State) (condition, string) {
	if l.watch.startedAt == 0 {
		l.startWatch(n)
		return conditionNone, ""
	}
	stage := &n.plan.Stages[s.Stage]
	watched := n.now - l.watch.startedAt
	if l.watch.verdict == canary.VerdictWorse {
		return canaryWorse, l.watch.verdictReason
	}
	if watched < secondsToMicros(stage.MinWatchSeconds) {
		return conditionNone, ""
	}
	missing := l.missingEvents(n, s, stage)
	if l.watch.verdict == canary.VerdictPass && missing == "" {
		return stagePassed, l.watch.verdictReason
	}
	if watched <= secondsToMicros(stage.MaxWatchSeconds) {
		return conditionNone, ""
	}
	if missing != "" {
		return canaryInconclusive, "can't tell: " + missing
	}
	if l.unchangedCount(s) > 0 {
		return canaryInconclusive, "can't tell: " + l.watch.verdictReason
	}
	// No unchanged router is left to compare with: the guardrails and the fleet's own
	// past are all there is.
	if regression := l.fleetRegression(n); regression != "" {
		return canaryInconclusive, regression
	}
	return stagePassed, "no unchanged router is left to compare with, no guardrail was exceeded"
}

// fleetRegression says by how much all routers together lose more than before the last
// stage; "": they do not. That it began with the change proves nothing, so it pauses the
// rollout and does not roll it back.
func (l *leader) fleetRegression(n *Node) string {
	by, regressed := canary.FleetRegressed(
		n.plan.CanarySettings(), len(n.plan.Stages), l.watch.previousFleetLosses, l.watch.fleetLosses)
	if !regressed {
		return ""
	}
	return fmt.Sprintf("can't tell: all are new, and lose at least %.4f more than while some were old", by)
}

// missingEvents names a changed router that was notified of fewer drains or purges than
// the stage asks for; "": none. One that ignores them shows it only then.
func (l *leader) missingEvents(n *Node, s *State, stage *Stage) string {
	for i := range l.routers {
		if !s.Changed.Has(i) || s.Skipped.Has(i) {
			continue
		}
		r := &l.routers[i]
		drains := r.report.DrainsSeen - r.drainsAtWatchStart
		purges := r.report.PurgesSeen - r.purgesAtWatchStart
		if drains < stage.MinDrains || purges < stage.MinPurges {
			return fmt.Sprintf("%s was told of %d drains and %d purges, %d and %d are wanted",
				n.plan.Routers[i].Name, max(drains, 0), max(purges, 0), stage.MinDrains, stage.MinPurges)
		}
	}
	return ""
}

// unchangedCount counts the reachable routers with the old generation.
func (l *leader) unchangedCount(s *State) (count int) {
	for i := range l.routers {
		if !s.Changed.Has(i) && !s.Skipped.Has(i) {
			count++
		}
	}
	return count
}
