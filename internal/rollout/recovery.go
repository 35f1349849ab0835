package rollout

// A router that lost its durable state may have given promises or accepted states of which
// it has no record. It neither promises nor accepts anything until it has received every
// promise and state that a quorum may rely on.

func (n *Node) recovering() bool { return n.recoveryNonce != 0 }

func (n *Node) requestRecovery() {
	if n.now-n.recoveryRequestedAt >= heartbeatInterval {
		n.recoveryRequestedAt = n.now
		n.broadcast(Message{Kind: KindRecover, Nonce: n.recoveryNonce})
	}
}

// sendRecovered sends this router's durable state to a recovering router.
func (n *Node) sendRecovered(to int, m *Message) {
	state := n.State
	n.send(to, Message{
		Kind: KindRecovered, Nonce: m.Nonce,
		Term: n.PromisedTerm, AcceptedTerm: n.AcceptedTerm, State: &state,
	})
}

// receiveRecovering handles the messages that a recovering router accepts.
func (n *Node) receiveRecovering(from int, m *Message) {
	switch {
	case m.Kind == KindRecovered && m.Nonce == n.recoveryNonce:
		n.recoveryReplies[from] = m
		n.tryFinishRecovery()
	case m.Kind == KindRecover: // a reply without State: this router has lost its own, too
		n.send(from, Message{Kind: KindRecovered, Nonce: m.Nonce})
	}
}

// tryFinishRecovery ends the recovery once a quorum of other routers has sent its state:
// each quorum that promised or accepted anything shares a router with it. The recovery
// also ends once all others have replied, even if some have lost their state as well,
// since no further router can send a state.
func (n *Node) tryFinishRecovery() {
	states := 0
	for _, reply := range n.recoveryReplies {
		if reply.State != nil {
			states++
		}
	}
	if states < n.quorum() && len(n.recoveryReplies) < len(n.plan.Routers)-1 {
		return
	}
	for _, reply := range n.recoveryReplies {
		if reply.State == nil {
			continue
		}
		n.PromisedTerm = max(n.PromisedTerm, reply.Term)
		if supersedes(reply.AcceptedTerm, reply.State, n.AcceptedTerm, &n.State) {
			n.AcceptedTerm = reply.AcceptedTerm
			n.State = *reply.State
		}
	}
	n.recoveryNonce = 0
	n.recoveryReplies = nil
	n.leaderContactAt = n.now
	n.noPromiseUntil = n.now + promiseHoldoff
}
