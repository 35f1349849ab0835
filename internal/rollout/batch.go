package rollout

// silent reports whether a router has sent no report for Plan.SilentSeconds.
func (l *leader) silent(n *Node, i int) bool {
	return n.now-l.routers[i].reportedAt > n.plan.silentMicros()
}

func (l *leader) reportedRecently(n *Node, i int) bool {
	return n.now-l.routers[i].reportedAt < recentReportAge
}

// lostNewGeneration reports whether a changed router runs the old generation again, for
// example because it restarted without its files. It is then changed once more.
func (l *leader) lostNewGeneration(n *Node, s *State, i int) bool {
	report := &l.routers[i].report
	return s.Phase != PhaseRollingBack && s.Changed.Has(i) && l.reportedRecently(n, i) && !report.Upgraded && !report.Changing
}

// completed reports whether a router has changed to the generation of the phase's
// direction. For the new generation its report must be of this run.
func (l *leader) completed(s *State, i int) bool {
	report := &l.routers[i].report
	if report.Changing {
		return false
	}
	if s.Phase == PhaseRollingBack {
		return !report.Upgraded
	}
	return report.Upgraded && report.RunID == s.RunID
}

// setsNeedUpdate reports whether updateSets must update the state. Silent changed routers
// outside the batch are left to checkRouters.
func (l *leader) setsNeedUpdate(n *Node, s *State) bool {
	for i := range l.routers {
		switch {
		case l.lostNewGeneration(n, s, i),
			s.Batch.Has(i) && (l.completed(s, i) || l.silent(n, i)),
			s.Skipped.Has(i) && l.reportedRecently(n, i):
			return true
		}
	}
	return false
}

// updateSets removes the routers that have completed their change from the batch, skips
// silent routers, no longer skips those that report again, and removes routers that have lost
// the new generation from the changed ones.
func (l *leader) updateSets(n *Node, s *State) {
	for i := range l.routers {
		switch {
		case s.Skipped.Has(i) && l.reportedRecently(n, i):
			s.Skipped = s.Skipped.Without(i)
			report := &l.routers[i].report
			s.setChanged(i, report.Upgraded && report.RunID == s.RunID)
		case l.silent(n, i) && (s.Batch.Has(i) || s.Changed.Has(i)):
			s.Batch = s.Batch.Without(i)
			s.Skipped = s.Skipped.With(i)
		case l.lostNewGeneration(n, &l.decided, i):
			s.Changed = s.Changed.Without(i)
		case s.Batch.Has(i) && l.completed(&l.decided, i):
			s.Batch = s.Batch.Without(i)
			s.setChanged(i, s.Phase != PhaseRollingBack)
		}
	}
}

func (s *State) setChanged(i int, changed bool) {
	if changed {
		s.Changed = s.Changed.With(i)
	} else {
		s.Changed = s.Changed.Without(i)
	}
}

// isDue reports whether a router has yet to change in the phase's direction, given the set
// of routers that must change.
func (s *State) isDue(required Set, i int) bool {
	return required.Has(i) && !s.Skipped.Has(i) && s.Changed.Has(i) == (s.Phase == PhaseRollingBack)
}

// routersToChange returns the routers that must have changed by the end of the stage, or
// that roll back, whether or not they have done so already.
func (l *leader) routersToChange(n *Node, s *State) Set {
	switch s.Phase {
	case PhaseRollingBack:
		return s.Changed
	case PhaseDone:
		return n.plan.ChangedThrough(len(n.plan.Stages) - 1)
	default:
		return n.plan.ChangedThrough(s.Stage)
	}
}

// anyDue reports whether any router has yet to change.
func (l *leader) anyDue(n *Node, s *State) bool {
	required := l.routersToChange(n, s)
	for i := range l.routers {
		if s.isDue(required, i) {
			return true
		}
	}
	return false
}

// nextBatch returns the routers to change next: in each office up to the plan's limit of
// concurrent changes, among the routers that are reachable, capable and not changing yet.
func (l *leader) nextBatch(n *Node, s *State) (batch Set) {
	rollingBack := s.Phase == PhaseRollingBack
	maxConcurrent := n.plan.MaxConcurrent
	if rollingBack {
		maxConcurrent = n.plan.MaxConcurrentRollback
	}
	changing := map[string]int{} // by office
	for i := range l.routers {
		if l.routers[i].report.Changing {
			changing[n.plan.Routers[i].Office]++
		}
	}
	required := l.routersToChange(n, s)
	for i := range l.routers {
		router := &l.routers[i]
		office := n.plan.Routers[i].Office
		ready := n.now-router.reportedAt < reachableReportAge && !router.report.Changing &&
			(router.report.Capable || rollingBack)
		if s.isDue(required, i) && ready && changing[office] < maxConcurrent {
			batch = batch.With(i)
			changing[office]++
		}
	}
	return batch
}
