package membership

import "slices"

const (
	// maxNameReclaims is how often a node reclaims its name within nameReclaimWindow. On a further conflict it yields
	// the name, as another running process holds it.
	maxNameReclaims   = 3
	nameReclaimWindow = 60 * second
	// nameConflictBackoff is how long a node that has yielded its name waits before each attempt to reclaim it.
	nameConflictBackoff = 30 * second
)

// applySelfUpdate refutes another member's update about this node, or reclaims the name from a higher instance.
func (n *Node) applySelfUpdate(u *Update) {
	switch order := u.ID.Compare(n.self.ID); {
	case order < 0, order == 0 && !n.needsRefutation(u):
	case !n.safeguardEnabled(safeguardRefutation):
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

// raiseIncarnation raises the node's incarnation above its present one and the given one, so that its next update about
// itself takes precedence over both.
func (n *Node) raiseIncarnation(above uint32) {
	n.self.Incarnation = max(above, n.self.Incarnation) + 1
	n.viewChangedAt = n.now
}

// reclaimName reclaims the name from a higher instance: usually an earlier one of this router, where Settings.Epoch was
// too low. If the other instance is a running process, it reclaims the name in turn, until the two processes exchange
// messages (receiveFromNamesake) or this node yields the name.
func (n *Node) reclaimName(u *Update) {
	n.nameReclaims = slices.DeleteFunc(n.nameReclaims, func(at int64) bool { return n.now-at > nameReclaimWindow })
	if len(n.nameReclaims) >= maxNameReclaims {
		n.yieldName()
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

// receiveFromNamesake handles a message from another process with this node's name. A hello may be a replay from an
// earlier instance, so it is only answered. A message to this instance proves that its sender is running and has
// received a message of this instance; the lower one of the two instances then yields the name.
func (n *Node) receiveFromNamesake(msg *Message) {
	sender := &msg.Sender
	switch {
	case sender.ID.Nonce == n.self.ID.Nonce: // a message of this node itself
	case msg.Kind != KindHello && msg.ToInstance != n.self.ID:
		n.Counts.Misaddressed++
	case msg.Kind != KindHello && sender.ID.Compare(n.self.ID) > 0:
		n.yieldName()
	case sender.Addr.IsValid() && n.self.State != StateNameConflict:
		n.send(&member{name: n.self.Name, addr: sender.Addr, id: sender.ID}, KindWelcome, Message{})
	}
}

func (n *Node) yieldName() {
	if n.self.State != StateNameConflict {
		change := Change{At: n.now, Name: n.self.Name, From: n.self.State, To: StateNameConflict, ID: n.self.ID}
		n.changes = append(n.changes, change)
	}
	n.self.State = StateNameConflict
	n.conflictCheckedAt = n.now
}

// retryNameConflict sends hellos once per nameConflictBackoff, to find out whether the name is free again.
func (n *Node) retryNameConflict() {
	if n.now-n.conflictCheckedAt < nameConflictBackoff {
		return
	}
	n.conflictCheckedAt = n.now
	n.sendHellos()
}
