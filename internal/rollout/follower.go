package rollout

// Target is the generation that a router is to have.
type Target struct {
	New      bool // the new generation; else the old one
	MayStart bool // it may begin to change to that generation now
}

// View returns the decided state as last known here, and its age in microseconds; -1:
// none is known.
func (n *Node) View() (State, int64) {
	if n.viewAt == 0 {
		return n.view, -1
	}
	return n.view, n.now - n.viewAt
}

// Target returns what this router is to be. A change begins only on a view that was
// polled for just now, in both directions: one that was stopped or cut off meanwhile
// must not act on an old decision. An isolated router is the exception: it may roll back
// alone.
func (n *Node) Target(now int64) Target {
	n.advance(now)
	if n.rollsBackIsolated() {
		return Target{New: false, MayStart: true}
	}
	fresh := n.viewAt > 0 && n.checks.viewFresh(n.now-n.viewAt)
	inBatch := n.view.Batch.Has(n.self)
	switch {
	case n.view.Phase == PhaseRolledBack:
		return Target{New: false, MayStart: true}
	case n.view.Phase == PhaseRollingBack && inBatch:
		return Target{New: false, MayStart: fresh}
	case (n.view.Phase == PhaseForward || n.view.Phase == PhaseDone) && inBatch:
		return Target{New: true, MayStart: fresh}
	}
	return Target{New: n.report.Upgraded, MayStart: false}
}

// rollsBackIsolated reports whether a changed router that has had no view for
// Plan.SilentSeconds rolls back by itself: a rollback was decided, or the plan says so
// and the stage that it changed in has not passed.
func (n *Node) rollsBackIsolated() bool {
	isolated := n.viewAt > 0 && n.now-n.viewAt > n.plan.silentMicros()
	if !n.report.Upgraded || !isolated || n.view.Phase == PhaseDone {
		return false
	}
	return n.view.Phase == PhaseRollingBack || n.plan.OnIsolated == ReactionRollBack && !n.stagePassed()
}

// stagePassed reports whether the stage that this router changed in has passed.
func (n *Node) stagePassed() bool {
	return n.view.Stage > 0 && n.plan.ChangedThrough(n.view.Stage-1).Has(n.self)
}

// pollLeader asks for the decided state, and passes on the operator's commands.
func (n *Node) pollLeader() {
	n.polledAt = n.now
	n.pollNonce = n.newNonce()
	report := n.report
	n.send(n.leaderIndex, Message{Kind: KindPoll, Nonce: n.pollNonce, Report: &report})
	for _, c := range n.commands {
		n.send(n.leaderIndex, Message{Kind: KindCommand, Command: c})
	}
	n.commands = nil
}

// receiveDecided takes the answer to the open poll. The view's age counts from the poll,
// since the answer may have been delayed by any time. Within a run no view goes back.
func (n *Node) receiveDecided(m *Message) {
	if m.Nonce != n.pollNonce || m.State == nil {
		return
	}
	if m.State.Seq >= n.view.Seq || m.State.RunID != n.view.RunID {
		n.view = *m.State
		n.viewAt = n.polledAt
		n.pollNonce = 0
	}
}
