package rollout

// termStride exceeds MaxRouters: a candidate's terms are congruent to its index
// modulo termStride, so that no two routers ever use the same term.
const termStride = 1024

// electionDue reports whether this router becomes a candidate. The leader was silent for
// long, the last candidacy has come to nothing, no promise is held off, and there is
// something to lead.
func (n *Node) electionDue() bool {
	if n.now-n.leaderHeardAt <= electionTimeout+int64(n.self)*electionStagger {
		return false
	}
	retryDelay := electionTimeout/2 + n.random.Int64N(second)
	return n.now-n.candidateSince > retryDelay && n.now >= n.noPromiseUntil && n.leaderNeeded()
}

func (n *Node) leaderNeeded() bool { return n.State.Phase != PhaseNone || len(n.commands) > 0 }

// becomeCandidate asks all for a promise in a new term. The candidate itself promises
// only once a quorum has: one that can't win, since the others follow a leader, would
// otherwise reject that leader's rounds for ever.
func (n *Node) becomeCandidate() {
	n.candidateSince = n.now
	n.candidateTerm = (max(n.PromisedTerm, n.candidateTerm, n.highestSeenTerm)/termStride+1)*termStride + uint64(n.self)
	n.promises = map[int]*Message{n.self: {AcceptedTerm: n.AcceptedTerm, State: &n.State}}
	n.broadcast(Message{Kind: KindPrepare, Term: n.candidateTerm})
	n.becomeLeaderByQuorum()
}

func (n *Node) receivePromise(from int, m *Message) {
	if n.promises == nil || m.Term != n.candidateTerm || m.State == nil {
		return
	}
	n.promises[from] = m
	n.becomeLeaderByQuorum()
}

// becomeLeaderByQuorum makes the candidate lead once a quorum has promised. It goes on
// from the latest state that any of them accepted, since that may have been decided.
func (n *Node) becomeLeaderByQuorum() {
	if n.promises == nil || len(n.promises) < n.quorum() || n.candidateTerm < n.PromisedTerm {
		return
	}
	n.PromisedTerm = n.candidateTerm
	latest := n.promises[n.self]
	for _, p := range n.promises {
		if n.checks.supersedes(p.AcceptedTerm, p.State, latest.AcceptedTerm, latest.State) {
			latest = p
		}
	}
	n.promises = nil
	n.leader = newLeader(n, *latest.State)
	n.leaderIndex = n.self
	n.leader.tick(n)
}

// receiveReject takes the term that another router has promised instead: a leader of an
// earlier one is deposed.
func (n *Node) receiveReject(m *Message) {
	n.highestSeenTerm = max(n.highestSeenTerm, m.Term)
	if n.leader != nil && n.checks.deposed(n.leader.term, m.Term) {
		n.leader = nil
		n.leaderIndex = -1
	}
}
