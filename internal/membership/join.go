package membership

import "slices"

const (
	// rejoinInterval is the time between two hellos to members that are dead or were never heard of.
	rejoinInterval = second
	// joinInterval is the same while the node has not heard from anybody.
	joinInterval = rejoinInterval / 5
	// seedGracePeriod is how long after its start a node that has joined nobody lets the hellos of nodes in the same
	// situation go unanswered.
	seedGracePeriod = second / 4
)

// rejoin says hello to a dead member or a seed that was never heard of, once an interval: so the two sides of a
// partition that has healed find each other, and a router that comes back is admitted.
func (n *Node) rejoin() {
	interval := int64(rejoinInterval)
	if n.self.State == StateJoining {
		interval = joinInterval
	}
	if n.now-n.lastRejoinAt < interval {
		return
	}
	n.lastRejoinAt = n.now - int64(n.random.IntN(rejoinInterval/10))
	n.sendHellos()
}

func (n *Node) sendHellos() {
	candidates := n.helloCandidates()
	count := 1
	if n.self.State == StateJoining {
		count = fanout
	}
	for range min(count, len(candidates)) {
		i := n.random.IntN(len(candidates))
		n.lastRequestID++
		n.send(candidates[i], KindHello, Message{RequestID: n.lastRequestID})
		candidates = slices.Delete(candidates, i, i+1)
	}
}

// helloCandidates are the dead members and the unknown seeds; in a name conflict all present members, if there are
// none.
func (n *Node) helloCandidates() (list []*member) {
	for _, m := range n.members {
		unheardSeed := m.state == StateUnknown && m.seed
		if (m.state == StateDead || unheardSeed) && m.addr.IsValid() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareNames)
	if n.self.State == StateNameConflict && len(list) == 0 {
		list = append(list, n.probeOrder...)
	}
	return list
}

// answerHello welcomes the sender of a hello. A hello may be a replay, so nothing that it says is applied: its sender
// counts once it writes to this very instance, which the welcome names.
func (n *Node) answerHello(m *member, msg *Message) {
	unasked := msg.RequestID == 0
	if n.self.State == StateJoining && n.now-n.startedAt < seedGracePeriod && unasked {
		return
	}
	sender := &member{name: msg.Sender.Name, addr: msg.Sender.Addr, id: msg.Sender.ID}
	if m != nil {
		sender.addr = m.preferredAddr(msg.Sender.Addr)
		order := m.id.Compare(msg.Sender.ID)
		if m.state != StateUnknown && (order > 0 || order == 0 && m.state.absent()) {
			n.tellOutdated(m, msg)
			return
		}
	}
	if sender.addr.IsValid() {
		n.send(sender, KindWelcome, Message{RequestID: msg.RequestID})
	}
}

// tellOutdated answers an instance that this node holds absent, or lower than one that it has heard of. The sender
// needs to know what is held of its name to refute it or to reclaim the name.
func (n *Node) tellOutdated(m *member, msg *Message) {
	held := m.briefUpdate()
	sender := &member{name: m.name, addr: m.preferredAddr(msg.Sender.Addr), id: msg.Sender.ID}
	n.send(sender, KindWelcome, Message{RequestID: msg.RequestID})
	welcome := n.outbox[len(n.outbox)-1].Message
	welcome.Updates = append([]Update{held}, welcome.Updates...)
}
