package rollout

// The acceptor. Its invariants, which require that Durable outlasts the process:
//
//   - No round of a term below PromisedTerm is accepted.
//   - A promise carries the latest accepted state, so that each later leader receives a
//     state that a quorum accepted.
//   - Within a term, states are accepted in the order of Seq.
//   - No promise is given for promiseHoldoff after a round was accepted.

// receivePrepare promises a candidate's term, unless this router has promised the same or
// a later term, or a leader may hold a lease.
func (n *Node) receivePrepare(from int, m *Message) {
	if m.Term <= n.PromisedTerm || n.now < n.noPromiseUntil {
		n.reject(from)
		return
	}
	n.PromisedTerm = m.Term
	n.promises = nil
	n.leader = nil
	state := n.State
	n.send(from, Message{Kind: KindPromise, Term: m.Term, AcceptedTerm: n.AcceptedTerm, State: &state})
}

// receiveAccept accepts a leader's round and follows that leader.
func (n *Node) receiveAccept(from int, m *Message) {
	if m.State == nil || m.Term < n.PromisedTerm || m.Term == n.AcceptedTerm && m.State.Seq < n.State.Seq {
		n.reject(from)
		return
	}
	n.PromisedTerm = m.Term
	n.promises = nil
	n.accept(m.Term, m.State)
	n.leaderIndex = from
	n.leaderContactAt = n.now
	n.leader = nil
	n.send(from, Message{Kind: KindAccepted, Term: m.Term, Round: m.Round, Nonce: m.State.Seq})
}

// accept stores a state and gives no promise while the leader's lease may rely on it.
func (n *Node) accept(term uint64, s *State) {
	n.AcceptedTerm = term
	n.State = *s
	n.noPromiseUntil = n.now + promiseHoldoff
}

func (n *Node) reject(to int) { n.send(to, Message{Kind: KindReject, Term: n.PromisedTerm}) }
