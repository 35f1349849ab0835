package rollout

import "quilldoor/internal/canary"

// leader is what the leading router knows besides the register. A new leader starts
// without it, and watches the current stage from the beginning.
type leader struct {
	term       uint64
	proposed   State // sent in the current rounds
	decided    State // accepted by a quorum
	hasDecided bool  // in this term
	round      uint64
	rounds     map[uint64]*round // the latest ones
	roundAt    int64             // when the latest round was sent
	leaseUntil int64

	// A rollback waits until no router may begin to go forward (forwardPermitDuration).
	forwardPermitAt  int64 // when a router was last allowed to go forward
	rollbackPending  bool
	pendingCondition condition
	pendingReason    string

	routers []routerInfo
	watch   stageWatch
}

// round is a proposal that was sent to all.
type round struct {
	sentAt     int64
	seq        uint64
	acceptedBy Set
}

// routerInfo is what the leader knows of a router.
type routerInfo struct {
	report          Report
	heardAt         int64
	generationSince int64 // when Report.Upgraded last changed
	// When it changed to the new generation:
	oldMemoryMB  float64
	restartsThen int
	// When the watch of the stage began:
	drainsThen int
	purgesThen int
	// Counts of the last sample; sampledAt 0: the next sample only takes them.
	sampledCounts canary.Counts
	sampledAt     int64
}

const (
	// recentlyHeard bounds the age of a report that a decision relies on: two heartbeats.
	recentlyHeard = 2 * heartbeatInterval
	// reachable bounds the age of the report of a router that may be sampled or asked to
	// change: four heartbeats.
	reachable = 4 * heartbeatInterval
)

func newLeader(n *Node, s State) *leader {
	l := &leader{
		term:     n.candidateTerm,
		proposed: s,
		decided:  s,
		rounds:   map[uint64]*round{},
		routers:  make([]routerInfo, len(n.plan.Routers)),
	}
	l.proposed.Seq++ // whatever was accepted is decided anew in this term
	for i := range l.routers {
		l.routers[i].heardAt = n.now // the silence of a router counts from now
		l.routers[i].generationSince = n.now
	}
	l.setReport(n.now, n.self, &n.report)
	return l
}

// holdsLease reports whether a quorum accepted a round lately enough.
func (l *leader) holdsLease(n *Node) bool {
	return l.hasDecided && n.checks.leaseHeld(n.now, l.leaseUntil)
}

// forwardClosed reports whether no router is allowed to go forward any more: a rollback
// is pending or proposed, and not decided yet.
func (l *leader) forwardClosed() bool {
	return l.rollbackPending || l.proposed.Phase == PhaseRollingBack && l.decided.Phase != PhaseRollingBack
}

func (l *leader) setReport(now int64, from int, report *Report) {
	r := &l.routers[from]
	if report.Upgraded != r.report.Upgraded {
		r.generationSince = now
		if report.Upgraded {
			r.oldMemoryMB = r.report.MemoryMB
			r.restartsThen = report.Restarts
		}
		r.sampledAt = 0
	}
	r.heardAt = now
	r.report = *report
}

// tick proposes the state that follows once the last one is decided, and repeats the
// proposal as a heartbeat.
func (l *leader) tick(n *Node) {
	if l.holdsLease(n) && l.decided.Seq == l.proposed.Seq {
		l.sample(n)
		next := l.nextState(n)
		if next.Seq != l.proposed.Seq {
			l.proposed = next
			l.roundAt = 0 // at once
		}
	}
	if n.now-l.roundAt < heartbeatInterval {
		return
	}
	if n.checks.deposed(l.term, n.PromisedTerm) {
		return // this router's promise to another candidate binds it
	}
	l.sendRound(n)
}

func (l *leader) sendRound(n *Node) {
	const keptRounds = 16
	l.roundAt = n.now
	l.round++
	l.rounds[l.round] = &round{sentAt: n.now, seq: l.proposed.Seq, acceptedBy: Set(nil).With(n.self)}
	delete(l.rounds, l.round-keptRounds)
	n.accept(l.term, &l.proposed)
	state := l.proposed
	n.broadcast(Message{Kind: KindAccept, Term: l.term, Round: l.round, State: &state})
	l.decideByQuorum(n, l.round)
}

func (l *leader) receiveAccepted(n *Node, from int, m *Message) {
	r := l.rounds[m.Round]
	if r == nil || r.seq != m.Nonce {
		return
	}
	r.acceptedBy = r.acceptedBy.With(from)
	l.decideByQuorum(n, m.Round)
}

// decideByQuorum extends the lease by a round that a quorum accepted, and takes its
// state as decided.
func (l *leader) decideByQuorum(n *Node, number uint64) {
	r := l.rounds[number]
	if r.acceptedBy.Count() < n.quorum() {
		return
	}
	l.leaseUntil = max(l.leaseUntil, r.sentAt+leaseDuration)
	if r.seq == l.proposed.Seq && (!l.hasDecided || l.decided.Seq != l.proposed.Seq) {
		l.decided = l.proposed
		l.hasDecided = true
		l.watch.stop()
	}
	if l.hasDecided && !l.forwardClosed() {
		l.updateOwnView(n, r.sentAt)
	}
}

// updateOwnView is the leader's poll of itself.
func (l *leader) updateOwnView(n *Node, sentAt int64) {
	if l.decided.Batch.Has(n.self) && l.decided.Phase != PhaseRollingBack {
		l.forwardPermitAt = n.now
	}
	n.view = l.decided
	n.viewAt = max(n.viewAt, sentAt)
}

// receivePoll takes a follower's report, and answers with the decided state under a
// lease. While a rollback is pending no router of the batch is answered.
func (l *leader) receivePoll(n *Node, from int, m *Message) {
	l.setReport(n.now, from, m.Report)
	if !l.holdsLease(n) {
		return
	}
	state := l.decided
	if state.Batch.Has(from) && state.Phase != PhaseRollingBack {
		if l.forwardClosed() {
			return
		}
		l.forwardPermitAt = n.now
	}
	n.send(from, Message{Kind: KindDecided, Nonce: m.Nonce, State: &state})
}
