package rollout

import "fmt"

// memoryMarginMB is added to the memory limit that follows from Guardrails.MemoryRatio, so
// that small processes do not exceed it.
const memoryMarginMB = 16

// checkRouters checks the routers in the plan's order and returns the first condition that
// it finds: guardrailExceeded, or setsOutdated for a silent router. Nothing is checked once
// all routers have the new generation or the rollout is rolling back, where a guardrail
// causes no transition.
func (l *leader) checkRouters(n *Node, s *State) (condition, string) {
	if s.Phase == PhaseRollingBack || s.Phase == PhaseDone {
		return conditionNone, ""
	}
	violatedByUnchanged := l.violatedByUnchanged(s)
	for i := range l.routers {
		if reason := l.exceededGuardrail(n, s, i, violatedByUnchanged); reason != "" {
			return guardrailExceeded, reason
		}
		silent := l.silent(n, i)
		if s.Batch.Has(i) && silent || s.Changed.Has(i) && silent && !s.Skipped.Has(i) {
			return setsOutdated, ""
		}
	}
	return conditionNone, ""
}

// exceededGuardrail returns the reason why a single router stops the rollout, and "" if it
// does not.
func (l *leader) exceededGuardrail(n *Node, s *State, i int, violatedByUnchanged uint8) string {
	router := &l.routers[i]
	name := n.plan.Routers[i].Name
	if router.report.RunID == s.RunID && router.report.FailureReason != "" {
		return fmt.Sprintf("%s did not change, or rolled back by itself: %s", name, router.report.FailureReason)
	}
	if !s.Changed.Has(i) || !router.report.Upgraded {
		return ""
	}
	if router.report.Restarts > router.restartsAtChange {
		return fmt.Sprintf("the process of %s ended unexpectedly and was restarted", name)
	}
	if router.memoryBeforeChangeMB > 0 &&
		router.report.MemoryMB > n.plan.Guardrails.MemoryRatio*router.memoryBeforeChangeMB+memoryMarginMB {
		return fmt.Sprintf("%s uses %.0f MB of memory, %.0f MB before the change", name, router.report.MemoryMB, router.memoryBeforeChangeMB)
	}
	if n.checks.newViolations(router.report.ViolatedRules, violatedByUnchanged) != 0 {
		return fmt.Sprintf("%s breaks %s", name, router.report.FirstViolation)
	}
	return ""
}

// violatedByUnchanged returns the rules that some router with the old generation violates.
// The change is not the cause of these violations.
func (l *leader) violatedByUnchanged(s *State) (rules uint8) {
	for i := range l.routers {
		report := &l.routers[i].report
		if !s.Changed.Has(i) && !s.Batch.Has(i) && !report.Upgraded && !report.Changing {
			rules |= report.ViolatedRules
		}
	}
	return rules
}
