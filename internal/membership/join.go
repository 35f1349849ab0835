package membership

import "slices"

const (
	// rejoinInterval is the time between two hellos to dead members or unknown seeds.
	rejoinInterval = second
	// joinInterval replaces rejoinInterval while the node is joining.
	joinInterval = rejoinInterval / 5
	// joinGracePeriod is the time after its start in which a joining node does not answer hellos without a RequestID.
	joinGracePeriod = second / 4
)

// rejoin sends a hello to a dead member or an unknown seed once per interval, so that the two sides of a healed
// partition find each other and a restarted router is admitted.
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

// helloCandidates returns the dead members and the unknown seeds. If there are none, it returns the present members to a
// node in a name conflict.
func (n *Node) helloCandidates() (list []*member) {
	for _, m := range n.members {
		unknownSeed := m.state == StateUnknown && m.seed
		if (m.state == StateDead || unknownSeed) && m.addr.IsValid() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareNames)
	if n.self.State == StateNameConflict && len(list) == 0 {
		list = append(list, n.probeOrder...)
	}
	return list
}

// answerHello welcomes the sender of a hello. A hello may be a replay, so none of its contents is applied. Its sender
// is admitted once it sends a message to this instance, whose ID is in the welcome.
func (n *Node) answerHello(m *member, msg *Message) {
	unsolicited := msg.RequestID == 0
	if n.self.State == StateJoining && n.now-n.startedAt < joinGracePeriod && unsolicited {
		return
	}
	sender := &member{name: msg.Sender.Name, addr: msg.Sender.Addr, id: msg.Sender.ID}
	if m != nil {
		sender.addr = m.preferredAddr(msg.Sender.Addr)
		order := m.id.Compare(msg.Sender.ID)
		if m.state != StateUnknown && (order > 0 || order == 0 && m.state.absent()) {
			n.notifyOutdated(m, msg)
			return
		}
	}
	if sender.addr.IsValid() {
		n.send(sender, KindWelcome, Message{RequestID: msg.RequestID})
	}
}

// notifyOutdated answers an instance that this node holds absent, or that is lower than the held one of its name. The
// answer carries the held update, which the sender needs to refute it or to reclaim the name.
func (n *Node) notifyOutdated(m *member, msg *Message) {
	held := m.briefUpdate()
	sender := &member{name: m.name, addr: m.preferredAddr(msg.Sender.Addr), id: msg.Sender.ID}
	n.send(sender, KindWelcome, Message{RequestID: msg.RequestID})
	welcome := n.outbox[len(n.outbox)-1].Message
	welcome.Updates = append([]Update{held}, welcome.Updates...)
}
