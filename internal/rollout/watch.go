package rollout

import (
	"fmt"

	"quilldoor/internal/canary"
)

// sampleInterval is the time between two samples of the canary analysis, in microseconds.
const sampleInterval = second

// maxFleetSamples bounds the memory of a watch. It covers several hours of samples.
const maxFleetSamples = 20_000

// stageWatch compares changed and unchanged routers once all routers of a stage have
// changed.
type stageWatch struct {
	startedAt     int64            // 0: not started
	analyzer      *canary.Analyzer // nil: no stage is watched
	sampledAt     int64
	verdict       canary.Verdict
	verdictReason string
	// Loss of all routers together, one value for each sample: of this watch, and of the
	// previous stage's if the same router was leader then.
	fleetLosses         []float64
	previousFleetLosses []float64
}

// stop ends the watch. It is called on each newly decided state, since the fleet may
// change.
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

// sample passes the routers' counts since the last sample to the analyzer. Routers that are
// changing, are unreachable or have changed recently are left out.
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
		if router.sampledAt > 0 && counts.Requests >= 0 { // negative: the router's counts were reset
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

// watchStage starts the watch of a stage, or returns the condition that follows from the
// watch.
func (l *leader) watchStage(n *Node, s *State) (condition, string) {
	if l.watch.startedAt == 0 {
		l.startWatch(n)
		return conditionNone, ""
	}
	stage := &n.plan.Stages[s.Stage]
	watchDuration := n.now - l.watch.startedAt
	if l.watch.verdict == canary.VerdictWorse {
		return canaryWorse, l.watch.verdictReason
	}
	if watchDuration < secondsToMicros(stage.MinWatchSeconds) {
		return conditionNone, ""
	}
	missing := l.missingEvents(n, s, stage)
	if l.watch.verdict == canary.VerdictPass && missing == "" {
		return stagePassed, l.watch.verdictReason
	}
	if watchDuration <= secondsToMicros(stage.MaxWatchSeconds) {
		return conditionNone, ""
	}
	if missing != "" {
		return canaryInconclusive, "can't tell: " + missing
	}
	if l.unchangedCount(s) > 0 {
		return canaryInconclusive, "can't tell: " + l.watch.verdictReason
	}
	// No unchanged router is left to compare with. Only the guardrails, and the fleet's loss
	// before the stage, can still show that the new generation is worse.
	if regression := l.fleetRegression(n); regression != "" {
		return canaryInconclusive, regression
	}
	return stagePassed, "no unchanged router is left to compare with, and no guardrail was exceeded"
}

// fleetRegression returns a reason if the loss of all routers together has risen since the
// watch of the previous stage, and "" otherwise. The rise may have another cause than the
// change, so it counts as inconclusive and not as worse.
func (l *leader) fleetRegression(n *Node) string {
	excess, regressed := canary.FleetRegressed(
		n.plan.CanarySettings(), len(n.plan.Stages), l.watch.previousFleetLosses, l.watch.fleetLosses)
	if !regressed {
		return ""
	}
	return fmt.Sprintf("can't tell: all routers have the new generation and lose at least %.4f more than while some had the old one", excess)
}

// missingEvents returns a reason if a changed router was notified of fewer drains or purges
// than the stage requires, and "" otherwise. A generation that ignores these events can be
// detected only once they have occurred.
func (l *leader) missingEvents(n *Node, s *State, stage *Stage) string {
	for i := range l.routers {
		if !s.Changed.Has(i) || s.Skipped.Has(i) {
			continue
		}
		router := &l.routers[i]
		drains := router.report.DrainsSeen - router.drainsAtWatchStart
		purges := router.report.PurgesSeen - router.purgesAtWatchStart
		if drains < stage.MinDrains || purges < stage.MinPurges {
			return fmt.Sprintf("%s was notified of %d drains and %d purges, %d and %d are required",
				n.plan.Routers[i].Name, max(drains, 0), max(purges, 0), stage.MinDrains, stage.MinPurges)
		}
	}
	return ""
}

// unchangedCount returns the number of routers with the old generation that are not
// skipped.
func (l *leader) unchangedCount(s *State) (count int) {
	for i := range l.routers {
		if !s.Changed.Has(i) && !s.Skipped.Has(i) {
			count++
		}
	}
	return count
}
