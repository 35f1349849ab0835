package membership

import "slices"

const (
	// maxNameReclaims is how often a node takes its name back within nameReclaimWindow, before it holds that another
	// process has the name.
	maxNameReclaims   = 3
	nameReclaimWindow = 60 * second
	// nameConflictBackoff is how long a node that gave its name up keeps quiet before it tries to get it back.
	nameConflictBackoff = 30 * second
)

// applySelfUpdate refutes what another member says of this node, or reclaims the name from a higher instance.
func (n *Node) applySelfUpdate(u *Update) {
	switch order := u.ID.Compare(n.self.ID); {
	case order < 0, order == 0 && !n.needsRefutation(u):
	case !n.guards(safeguardRefutation):
	case n.self.State == StateNameConflict && !u.State.absent():
	case order == 0:
		n.Counts.Refutations++
		if u.State == StateSuspect {
			n.worsenHealth()
		}
		n.raiseIncarnation(u.Incarnation)
	default:
		n.reclaimName(u)
	}
}

// needsRefutation reports whether an update about this instance contradicts the node.
func (n *Node) needsRefutation(u *Update) bool {
	if u.Incarnation < n.self.Incarnation {
		return false
	}
	switch u.State {
	case StateSuspect, StateDead, StateLeft:
		return true
	case StateLeaving:
		return n.self.State != StateLeaving
	}
	return false
}

// raiseIncarnation makes what the node says of itself from now on count over the given incarnation.
func (n *Node) raiseIncarnation(above uint32) {
	n.self.Incarnation = max(above, n.self.Incarnation) + 1
	n.viewChangedAt = n.now
}

// reclaimName takes the name back from a higher instance: mostly an earlier one of this router, where Settings.Epoch
// was too low. Another process of the name that runs does the same in turn; then the two write to each other
// (receiveFromNamesake), or this node gives the name up.
func (n *Node) reclaimName(u *Update) {
	n.nameReclaims = slices.DeleteFunc(n.nameReclaims, func(at int64) bool { return n.now-at > nameReclaimWindow })
	if len(n.nameReclaims) >= maxNameReclaims {
		n.giveNameUp()
		return
	}
	n.nameReclaims = append(n.nameReclaims, n.now)
	n.Counts.NameReclaims++
	n.self.ID.Epoch = u.ID.Epoch + 1
	n.raiseIncarnation(0)
	if n.self.State == StateNameConflict {
		n.self.State = StateJoining
	}
	if !u.State.absent() && u.Addr.IsValid() && u.Addr != n.self.Addr {
		n.send(&member{name: n.self.Name, addr: u.Addr, id: u.ID}, KindHello, Message{})
	}
}

// receiveFromNamesake handles a message of another process with this node's name. A hello may be a replay of an
// earlier instance: it is only answered. By a message to this very instance both know of each other, and the higher
// instance keeps the name on both sides.
func (n *Node) receiveFromNamesake(msg *Message) {
	sender := &msg.Sender
	switch {
	case sender.ID.Nonce == n.self.ID.Nonce: // this node's own message came back
	case msg.Kind != KindHello && msg.ToInstance != n.self.ID:
		n.Counts.Misaddressed++
	case msg.Kind != KindHello && sender.ID.Compare(n.self.ID) > 0:
		n.giveNameUp()
	case sender.Addr.IsValid() && n.self.State != StateNameConflict:
		n.send(&member{name: n.self.Name, addr: sender.Addr, id: sender.ID}, KindWelcome, Message{})
	}
}

func (n *Node) giveNameUp() {
	if n.self.State != StateNameConflict {
		change := Change{At: n.now, Name: n.self.Name, From: n.self.State, To: StateNameConflict, ID: n.self.ID}
		n.changes = append(n.changes, change)
	}
	n.self.State = StateNameConflict
	n.conflictAt = n.now
}

// retryNameConflict says hello from time to time, to learn whether the name is free again.
func (n *Node) retryNameConflict() {
	if n.now-n.conflictAt < nameConflictBackoff {
		return
	}
	n.conflictAt = n.now
	n.sendHellos()
}
