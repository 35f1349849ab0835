package rollout

import "fmt"

// memoryMarginMB is added to Guardrails.MemoryRatio, so that small processes do not exceed it.
const memoryMarginMB = 16

// checkRouters looks at the routers in the plan's order, and returns the first guardrail
// that one exceeds, or that one has fallen silent. Nothing is checked once all routers
// have the new generation or return to the old one: no decision would follow.
func (l *leader) checkRouters(n *Node, s *State) (condition, string) {
	if s.Phase == PhaseRollingBack || s.Phase == PhaseDone {
		return conditionNone, ""
	}
	alsoByUnchanged := l.violatedByUnchanged(s)
	for i := range l.routers {
		if reason := l.exceededGuardrail(n, s, i, alsoByUnchanged); reason != "" {
			return guardrailExceeded, reason
		}
		silent := l.silent(n, i)
		if s.Batch.Has(i) && silent || s.Changed.Has(i) && silent && !s.Skipped.Has(i) {
			return setsOutdated, ""
		}
	}
	return conditionNone, ""
}

// exceededGuardrail returns why a router stops the rollout by itself; "": it does not.
func (l *leader) exceededGuardrail(n *Node, s *State, i int, alsoByUnchanged uint8) string {
	r := &l.routers[i]
	name := n.plan.Routers[i].Name
	if r.report.RunID == s.RunID && r.report.FailureReason != "" {
		return fmt.Sprintf("%s did not change, or went back by itself: %s", name, r.report.FailureReason)
	}
	if !s.Changed.Has(i) || !r.report.Upgraded {
		return ""
	}
	if r.report.Restarts > r.restartsAtChange {
		return fmt.Sprintf("%s has died and was started again", name)
	}
	if r.memoryBeforeChangeMB > 0 && r.report.MemoryMB > n.plan.Guardrails.MemoryRatio*r.memoryBeforeChangeMB+memoryMarginMB {
		return fmt.Sprintf("%s takes %.0f MB, %.0f before", name, r.report.MemoryMB, r.memoryBeforeChangeMB)
	}
	if n.checks.newViolations(r.report.ViolatedRules, alsoByUnchanged) != 0 {
		return fmt.Sprintf("%s breaks %s", name, r.report.FirstViolation)
	}
	return ""
}

// violatedByUnchanged returns the rules that some router with the old generation
// violates: they are no fault of the change.
func (l *leader) violatedByUnchanged(s *State) (rules uint8) {
	for i := range l.routers {
		report := &l.routers[i].report
		if !s.Changed.Has(i) && !s.Batch.Has(i) && !report.Upgraded && !report.Changing {
			rules |= report.ViolatedRules
		}
	}
	return rules
}
