package rollout

// A router that has lost its durable state may have promised or accepted what it no
// longer knows. It takes no part until it knows as much as any quorum could.

func (n *Node) recovering() bool { return n.recoveryNonce != 0 }

func (n *Node) askForRecovery() {
	if n.now-n.recoveryAskedAt >= heartbeatInterval {
		n.recoveryAskedAt = n.now
		n.broadcast(Message{Kind: KindRecover, Nonce: n.recoveryNonce})
	}
}

// answerRecovery tells a recovering router what this one has stored.
func (n *Node) answerRecovery(to int, m *Message) {
	state := n.State
	n.send(to, Message{
		Kind: KindRecovered, Nonce: m.Nonce,
		Term: n.PromisedTerm, AcceptedTerm: n.AcceptedTerm, State: &state,
	})
}

func (n *Node) receiveRecovering(from int, m *Message) {
	switch {
	case m.Kind == KindRecovered && m.Nonce == n.recoveryNonce:
		n.recoveryReplies[from] = m
		n.tryRecover()
	case m.Kind == KindRecover: // the sender learns that this router has lost its state, too
		n.send(from, Message{Kind: KindRecovered, Nonce: m.Nonce})
	}
}

// tryRecover ends the recovery once a quorum of others has sent its state: each quorum
// that promised or accepted anything shares a router with it. If all others have
// answered, some of them that they have lost their state, too, nobody knows more.
func (n *Node) tryRecover() {
	states := 0
	for _, r := range n.recoveryReplies {
		if r.State != nil {
			states++
		}
	}
	if states < n.quorum() && len(n.recoveryReplies) < len(n.plan.Routers)-1 {
		return
	}
	for _, r := range n.recoveryReplies {
		if r.State == nil {
			continue
		}
		n.PromisedTerm = max(n.PromisedTerm, r.Term)
		if supersedes(r.AcceptedTerm, r.State, n.AcceptedTerm, &n.State) {
			n.AcceptedTerm = r.AcceptedTerm
			n.State = *r.State
		}
	}
	n.recoveryNonce = 0
	n.recoveryReplies = nil
	n.leaderHeardAt = n.now
	n.noPromiseUntil = n.now + promiseHoldoff
}
