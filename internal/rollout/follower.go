package rollout

// Target is the generation that a router should run.
type Target struct {
	Upgraded bool // the new generation; otherwise the old one
	MayStart bool // the router may begin to change to that generation now
}

// View returns the last decided state that this router received, and its age in
// microseconds; -1: it has received none.
func (n *Node) View() (State, int64) {
	if n.viewAt == 0 {
		return n.view, -1
	}
	return n.view, n.now - n.viewAt
}

// Target returns the generation that this router should run. In both directions a change
// begins only on a fresh view, since a router that was suspended or partitioned must not act
// on an old decision. Two cases need no fresh view: after a completed rollback any router may
// return to the old generation, and an isolated router may roll back by itself.
func (n *Node) Target(now int64) Target {
	n.advance(now)
	if n.rollsBackWhileIsolated() {
		return Target{Upgraded: false, MayStart: true}
	}
	fresh := n.viewAt > 0 && n.checks.viewFresh(n.now-n.viewAt)
	inBatch := n.view.Batch.Has(n.self)
	switch {
	case n.view.Phase == PhaseRolledBack:
		return Target{Upgraded: false, MayStart: true}
	case n.view.Phase == PhaseRollingBack && inBatch:
		return Target{Upgraded: false, MayStart: fresh}
	case (n.view.Phase == PhaseForward || n.view.Phase == PhaseDone) && inBatch:
		return Target{Upgraded: true, MayStart: fresh}
	}
	return Target{Upgraded: n.report.Upgraded, MayStart: false}
}

// rollsBackWhileIsolated reports whether this router, after it has changed and received no
// view for Plan.SilentSeconds, rolls back by itself. It does if its last view is a
// rollback, or if the plan requires it and the stage in which the router changed has not
// passed.
func (n *Node) rollsBackWhileIsolated() bool {
	isolated := n.viewAt > 0 && n.now-n.viewAt > n.plan.silentMicros()
	if !n.report.Upgraded || !isolated || n.view.Phase == PhaseDone {
		return false
	}
	return n.view.Phase == PhaseRollingBack || n.plan.OnIsolated == ReactionRollBack && !n.ownStagePassed()
}

// ownStagePassed reports whether the stage in which this router changed has passed.
func (n *Node) ownStagePassed() bool {
	return n.view.Stage > 0 && n.plan.ChangedThrough(n.view.Stage-1).Has(n.self)
}

// pollLeader requests the decided state and forwards the operator's commands.
func (n *Node) pollLeader() {
	n.polledAt = n.now
	n.pollNonce = n.newNonce()
	report := n.report
	n.send(n.leaderIndex, Message{Kind: KindPoll, Nonce: n.pollNonce, Report: &report})
	for _, command := range n.commands {
		n.send(n.leaderIndex, Message{Kind: KindCommand, Command: command})
	}
	n.commands = nil
}

// receiveDecided updates the view from the reply to the last poll. The view's age counts
// from when the poll was sent, since the reply may have been delayed by any time. Within a
// run, a reply with a lower Seq than the view's is ignored.
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
