package rollout

// silent reports whether a router was not heard of for Plan.SilentSeconds.
func (l *leader) silent(n *Node, i int) bool {
	return n.now-l.routers[i].heardAt > n.plan.silentMicros()
}

func (l *leader) heardRecently(n *Node, i int) bool {
	return n.now-l.routers[i].heardAt < recentlyHeard
}

// lostChange reports whether a changed router has the old generation again, as after a
// start without its files: it changes once more.
func (l *leader) lostChange(n *Node, s *State, i int) bool {
	report := &l.routers[i].report
	return s.Phase != PhaseRollingBack && s.Changed.Has(i) && l.heardRecently(n, i) && !report.Upgraded && !report.Changing
}

// completed reports whether a router has the generation that the phase leads to. Forward
// its report must be of this run.
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

// areSetsOutdated reports whether updateSets would change the state.
func (l *leader) areSetsOutdated(n *Node, s *State) bool {
	for i := range l.routers {
		switch {
		case l.lostChange(n, s, i),
			s.Batch.Has(i) && (l.completed(s, i) || l.silent(n, i)),
			s.Skipped.Has(i) && l.heardRecently(n, i):
			return true
		}
	}
	return false
}

// updateSets takes routers that have changed out of the batch, passes over silent
// ones and takes those back that are heard again.
func (l *leader) updateSets(n *Node, s *State) {
	for i := range l.routers {
		switch {
		case s.Skipped.Has(i) && l.heardRecently(n, i):
			s.Skipped = s.Skipped.Without(i)
			report := &l.routers[i].report
			s.setChanged(i, report.Upgraded && report.RunID == s.RunID)
		case l.silent(n, i) && (s.Batch.Has(i) || s.Changed.Has(i)):
			s.Batch = s.Batch.Without(i)
			s.Skipped = s.Skipped.With(i)
		case l.lostChange(n, &l.decided, i):
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

// isDue reports whether a router has yet to change in the phase's direction, where it
// belongs to those that must.
func (s *State) isDue(must Set, i int) bool {
	return must.Has(i) && !s.Skipped.Has(i) && s.Changed.Has(i) == (s.Phase == PhaseRollingBack)
}

// mustChange returns all routers that change for the stage, or go back.
func (l *leader) mustChange(n *Node, s *State) Set {
	switch s.Phase {
	case PhaseRollingBack:
		return s.Changed
	case PhaseDone:
		return n.plan.ChangedThrough(len(n.plan.Stages) - 1)
	default:
		return n.plan.ChangedThrough(s.Stage)
	}
}

// anyDue reports whether a router has yet to change.
func (l *leader) anyDue(n *Node, s *State) bool {
	must := l.mustChange(n, s)
	for i := range l.routers {
		if s.isDue(must, i) {
			return true
		}
	}
	return false
}

// nextBatch returns the routers to change next: of each office as many as the plan
// allows at once, among those that are reachable, able, and not changing already.
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
	must := l.mustChange(n, s)
	for i := range l.routers {
		r := &l.routers[i]
		office := n.plan.Routers[i].Office
		ready := n.now-r.heardAt < reachable && !r.report.Changing && (r.report.Capable || rollingBack)
		if s.isDue(must, i) && ready && changing[office] < maxConcurrent {
			batch = batch.With(i)
			changing[office]++
		}
	}
	return batch
}
