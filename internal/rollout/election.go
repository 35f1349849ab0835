package rollout

// termStride exceeds MaxRouters: a candidate's terms are congruent to its index
// modulo termStride, so that no two routers ever use the same term.
const termStride = 1024

// electionDue reports whether this router becomes a candidate: it has had no contact with
// a leader for the election timeout, the retry delay since its last candidacy has passed,
// it may give a promise, and the plan needs a leader.
func (n *Node) electionDue() bool {
	if n.now-n.leaderContactAt <= electionTimeout+int64(n.self)*electionStagger {
		return false
	}
	retryDelay := electionTimeout/2 + n.random.Int64N(second)
	return n.now-n.candidacyStartedAt > retryDelay && n.now >= n.noPromiseUntil && n.leaderNeeded()
}

func (n *Node) leaderNeeded() bool { return n.State.Phase != PhaseNone || len(n.commands) > 0 }

// becomeCandidate requests a promise for a new term from all routers. The candidate itself
// promises the term only once a quorum has: otherwise a candidate that can't win, since
// the others follow a leader, would reject that leader's rounds forever.
func (n *Node) becomeCandidate() {
	n.candidacyStartedAt = n.now
	n.candidateTerm = (max(n.PromisedTerm, n.candidateTerm, n.highestSeenTerm)/termStride+1)*termStride + uint64(n.self)
	n.promises = map[int]*Message{n.self: {AcceptedTerm: n.AcceptedTerm, State: &n.State}}
	n.broadcast(Message{Kind: KindPrepare, Term: n.candidateTerm})
	n.tryBecomeLeader()
}

func (n *Node) receivePromise(from int, m *Message) {
	if n.promises == nil || m.Term != n.candidateTerm || m.State == nil {
		return
	}
	n.promises[from] = m
	n.tryBecomeLeader()
}

// tryBecomeLeader makes the candidate the leader once a quorum has promised its term. The
// new leader continues from the latest state in the promises, which may have been decided.
func (n *Node) tryBecomeLeader() {
	if n.promises == nil || len(n.promises) < n.quorum() || n.candidateTerm < n.PromisedTerm {
		return
	}
	n.PromisedTerm = n.candidateTerm
	latest := n.promises[n.self]
	for _, promise := range n.promises {
		if n.checks.supersedes(promise.AcceptedTerm, promise.State, latest.AcceptedTerm, latest.State) {
			latest = promise
		}
	}
	n.promises = nil
	n.leader = newLeader(n, *latest.State)
	n.leaderIndex = n.self
	n.leader.tick(n)
}

// receiveReject notes the term that another router has promised. A leader of an earlier
// term is deposed.
func (n *Node) receiveReject(m *Message) {
	n.highestSeenTerm = max(n.highestSeenTerm, m.Term)
	if n.leader != nil && n.checks.deposed(n.leader.term, m.Term) {
		n.leader = nil
		n.leaderIndex = -1
	}
}
