package rollout

import "quilldoor/internal/canary"

// leader is the volatile state that a router holds while it leads. A new leader does not
// receive that of the previous leader, so it watches the current stage from the beginning.
type leader struct {
	term        uint64
	proposed    State // sent in the current rounds
	decided     State // accepted by a quorum
	hasDecided  bool  // whether decided was accepted in this term
	roundNumber uint64
	rounds      map[uint64]*round // the latest ones, by number
	lastRoundAt int64             // when the latest round was sent
	leaseUntil  int64

	// A rollback is decided only once no router may begin to upgrade any more
	// (forwardPermitDuration). Until then it is pending.
	lastForwardPermitAt int64 // when a router was last permitted to upgrade
	rollbackPending     bool
	pendingCondition    condition
	pendingReason       string

	routers []routerInfo
	watch   stageWatch
}

// round is a proposal that was sent to all routers.
type round struct {
	sentAt     int64
	seq        uint64
	acceptedBy Set
}

// routerInfo is the leader's record of a router.
type routerInfo struct {
	report          Report
	reportedAt      int64
	generationSince int64 // when Report.Upgraded last changed
	// Values at the router's change to the new generation.
	memoryBeforeChangeMB float64
	restartsAtChange     int
	// Values at the start of the stage's watch.
	drainsAtWatchStart int
	purgesAtWatchStart int
	// Counts at the last sample. With sampledAt 0 the next sample only records the counts.
	sampledCounts canary.Counts
	sampledAt     int64
}

const (
	// recentReportAge is the age below which the leader relies on a report in a decision:
	// two heartbeats.
	recentReportAge = 2 * heartbeatInterval
	// reachableReportAge is the age of the last report up to which a router may be sampled
	// or changed: four heartbeats.
	reachableReportAge = 4 * heartbeatInterval
)

func newLeader(n *Node, s State) *leader {
	l := &leader{
		term:     n.candidateTerm,
		proposed: s,
		decided:  s,
		rounds:   map[uint64]*round{},
		routers:  make([]routerInfo, len(n.plan.Routers)),
	}
	l.proposed.Seq++ // the accepted state must be decided again in this term
	for i := range l.routers {
		l.routers[i].reportedAt = n.now // a router's silence is measured from now
		l.routers[i].generationSince = n.now
	}
	l.setReport(n.now, n.self, &n.report)
	return l
}

// holdsLease reports whether a quorum accepted a round within the lease duration.
func (l *leader) holdsLease(n *Node) bool {
	return l.hasDecided && n.checks.leaseHeld(n.now, l.leaseUntil)
}

// forwardSuspended reports whether no router is permitted to upgrade, because a rollback is
// pending or proposed but not yet decided.
func (l *leader) forwardSuspended() bool {
	return l.rollbackPending || l.proposed.Phase == PhaseRollingBack && l.decided.Phase != PhaseRollingBack
}

func (l *leader) setReport(now int64, from int, report *Report) {
	router := &l.routers[from]
	if report.Upgraded != router.report.Upgraded {
		router.generationSince = now
		if report.Upgraded {
			router.memoryBeforeChangeMB = router.report.MemoryMB
			router.restartsAtChange = report.Restarts
		}
		router.sampledAt = 0
	}
	router.reportedAt = now
	router.report = *report
}

// tick proposes the next state once the last proposal is decided, and repeats the
// proposal as a heartbeat.
func (l *leader) tick(n *Node) {
	if l.holdsLease(n) && l.decided.Seq == l.proposed.Seq {
		l.sample(n)
		next := l.nextState(n)
		if next.Seq != l.proposed.Seq {
			l.proposed = next
			l.lastRoundAt = 0 // send the round at once
		}
	}
	if n.now-l.lastRoundAt < heartbeatInterval {
		return
	}
	if n.checks.deposed(l.term, n.PromisedTerm) {
		return // this router has promised a later term to another candidate
	}
	l.sendRound(n)
}

func (l *leader) sendRound(n *Node) {
	const keptRounds = 16
	l.lastRoundAt = n.now
	l.roundNumber++
	l.rounds[l.roundNumber] = &round{sentAt: n.now, seq: l.proposed.Seq, acceptedBy: Set(nil).With(n.self)}
	delete(l.rounds, l.roundNumber-keptRounds)
	n.accept(l.term, &l.proposed)
	state := l.proposed
	n.broadcast(Message{Kind: KindAccept, Term: l.term, Round: l.roundNumber, State: &state})
	l.tryDecide(n, l.roundNumber)
}

func (l *leader) receiveAccepted(n *Node, from int, m *Message) {
	r := l.rounds[m.Round]
	if r == nil || r.seq != m.Nonce {
		return
	}
	r.acceptedBy = r.acceptedBy.With(from)
	l.tryDecide(n, m.Round)
}

// tryDecide handles a round once a quorum has accepted it: it extends the lease, and the
// round's state is decided.
func (l *leader) tryDecide(n *Node, roundNumber uint64) {
	r := l.rounds[roundNumber]
	if r.acceptedBy.Count() < n.quorum() {
		return
	}
	l.leaseUntil = max(l.leaseUntil, r.sentAt+leaseDuration)
	if r.seq == l.proposed.Seq && (!l.hasDecided || l.decided.Seq != l.proposed.Seq) {
		l.decided = l.proposed
		l.hasDecided = true
		l.watch.stop()
	}
	if l.hasDecided && !l.forwardSuspended() {
		l.updateOwnView(n, r.sentAt)
	}
}

// updateOwnView updates the leader's own view, as a poll updates a follower's.
func (l *leader) updateOwnView(n *Node, sentAt int64) {
	if l.decided.Batch.Has(n.self) && l.decided.Phase != PhaseRollingBack {
		l.lastForwardPermitAt = n.now
	}
	n.view = l.decided
	n.viewAt = max(n.viewAt, sentAt)
}

// receivePoll records a follower's report and replies with the decided state if the leader
// holds the lease. While a rollback is pending, routers of the batch get no reply.
func (l *leader) receivePoll(n *Node, from int, m *Message) {
	l.setReport(n.now, from, m.Report)
	if !l.holdsLease(n) {
		return
	}
	state := l.decided
	if state.Batch.Has(from) && state.Phase != PhaseRollingBack {
		if l.forwardSuspended() {
			return
		}
		l.lastForwardPermitAt = n.now
	}
	n.send(from, Message{Kind: KindDecided, Nonce: m.Nonce, State: &state})
}
