package membership

import (
	"cmp"
	"net/netip"
)

// maxQueuedPayloads bounds the payloads between two calls of Payloads; more are dropped.
const maxQueuedPayloads = 64

// Receive handles a message whose authentication was checked, and returns the messages to send for it. source is
// where it came from; only a tool's query is answered there.
func (n *Node) Receive(now int64, source netip.AddrPort, msg *Message) []Outbound {
	n.advanceClock(now)
	n.receive(source, msg)
	return n.takeOutbox()
}

func (n *Node) receive(source netip.AddrPort, msg *Message) {
	switch {
	case !msg.valid():
		n.Counts.Malformed++
		return
	case msg.To != n.self.Name:
		n.Counts.Misaddressed++
		return
	case msg.Kind == KindQuery:
		n.answerQuery(source, msg)
		return
	case msg.Sender.Name == n.self.Name:
		n.receiveFromNamesake(msg)
		return
	case n.self.State == StateLeft, n.self.State == StateNameConflict && msg.Kind != KindWelcome:
		return
	}
	m := n.members[msg.Sender.Name]
	switch {
	case msg.Kind == KindHello:
		n.Counts.Received++
		n.answerHello(m, msg)
	case msg.ToInstance != n.self.ID:
		n.Counts.Misaddressed++
		n.introduce(m, msg)
	default:
		if m = n.acceptSender(m, msg); m != nil {
			n.accept(m, msg)
		}
	}
}

// introduce answers a ping for an earlier instance of this node: its sender does not know the present one yet.
func (n *Node) introduce(m *member, msg *Message) {
	if m == nil {
		m = &member{name: msg.Sender.Name, addr: msg.Sender.Addr}
	}
	if msg.Kind == KindPing && m.addr.IsValid() {
		n.send(m, KindHello, Message{})
	}
}

// accept carries out a message of a known sender that is no replay.
func (n *Node) accept(m *member, msg *Message) {
	n.Counts.Received++
	n.lastHeardAt = n.now
	m.lastHeardAt = n.now
	if m.reach == ReachReported {
		m.reach = ReachDirect
	}
	if n.self.State == StateJoining {
		n.self.State = StateAlive
		n.joinedAt = n.now
	}
	n.apply(m, eventHeard, 0)
	for i := range msg.Updates {
		n.applyUpdate(&msg.Updates[i], msg.Kind == KindStateExchange)
	}
	n.dispatch(m, msg)
	if msg.Kind.carriesPayload() && len(n.payloads) < maxQueuedPayloads {
		n.payloads = append(n.payloads, Payload{From: m.name, Digest: msg.GossipDigest, Body: msg.Body})
	}
}

func (n *Node) dispatch(m *member, msg *Message) {
	switch msg.Kind {
	case KindPing:
		n.send(m, KindAck, Message{RequestID: msg.RequestID})
	case KindAck:
		if n.forwardAck(m, msg.RequestID) {
			return
		}
		n.acknowledge(msg.RequestID, msg.Target != "")
		n.compareViews(m, msg)
	case KindWelcome:
		n.compareViews(m, msg)
	case KindNack:
		n.countNack(msg.RequestID)
	case KindIndirectPing:
		n.relayPing(m, msg)
	case KindDigestExchange:
		n.answerStateExchange(m, msg)
	}
}

// acceptSender finds the member that a message is from and applies what it says of itself. nil: the message is a
// replay or from an instance that is over.
func (n *Node) acceptSender(m *member, msg *Message) *member {
	sender := &msg.Sender
	if m != nil && m.state != StateUnknown {
		switch order := sender.ID.Compare(m.id); {
		case order < 0:
			n.Counts.Misaddressed++
			n.tellOutdated(m, msg)
			return nil
		case order == 0 && n.guards(safeguardReplayWindow) && !m.markSequence(msg.Sequence):
			n.Counts.Replayed++
			return nil
		}
	}
	if sender.State == StateJoining {
		sender.State = StateAlive
	}
	if m = n.applyUpdate(sender, false); m == nil {
		return nil
	}
	if m.highestSequence == 0 {
		m.markSequence(msg.Sequence)
	}
	m.viewDigest = foldDigest(msg.ViewDigest)
	return m
}

// markSequence marks a message's number as received. It reports false for one that was received before or is too old
// to tell. The window lets datagrams overtake each other (RFC 4303, appendix A).
func (m *member) markSequence(sequence uint64) bool {
	const windowBits = 64
	if sequence > m.highestSequence {
		if ahead := sequence - m.highestSequence; ahead < windowBits {
			m.sequenceWindow = m.sequenceWindow<<ahead | 1
		} else {
			m.sequenceWindow = 1
		}
		m.highestSequence = sequence
		return true
	}
	behind := m.highestSequence - sequence
	if behind >= windowBits || m.sequenceWindow&(1<<behind) != 0 {
		return false
	}
	m.sequenceWindow |= 1 << behind
	return true
}

// preferredAddr is the address of a member: that of the operator's file takes precedence over the reported one.
func (m *member) preferredAddr(reported netip.AddrPort) netip.AddrPort {
	if m.seed && m.addr.IsValid() || !reported.IsValid() {
		return m.addr
	}
	return reported
}

// applyUpdate applies what is said of a router. Nothing of an earlier instance counts, and within an instance only
// what has a higher incarnation, or a suspicion of the same one. exchanged says that it is from a state exchange: then
// what this node knows better is spread. It returns the member; nil: the update was about this node, or of no use.
func (n *Node) applyUpdate(update *Update, exchanged bool) *member {
	if update.Name == n.self.Name {
		n.applySelfUpdate(update)
		return nil
	}
	if update.State == StateJoining {
		return nil // a node says that of itself only
	}
	m := n.findOrAdd(update.Name)
	if m == nil {
		return nil
	}
	if update.ID == m.id {
		m.completeFrom(update)
	}
	switch order := update.ID.Compare(m.id); {
	case m.state == StateUnknown || order > 0:
		n.replaceInstance(m, update)
	case order < 0:
		if exchanged {
			n.enqueue(m, 1)
		}
		return m
	case !n.guards(safeguardIncarnationOrder):
		m.incarnation = update.Incarnation
	case !m.isNews(update):
		older := update.Incarnation < m.incarnation
		if exchanged && (older || m.state == StateDead) {
			n.enqueue(m, 1)
		}
		return m
	default:
		n.refreshInstance(m, update)
	}
	n.applyState(m, update)
	if exchanged {
		// The member that sent it will have sent it to others, too.
		m.transmissions = min(m.transmissions, uint8(log2(n.present+1)))
	}
	return m
}

// findOrAdd returns nil where a new member would be one too many.
func (n *Node) findOrAdd(name string) *member {
	m := n.members[name]
	if m != nil {
		return m
	}
	if len(n.members) >= maxMembers {
		n.Counts.RejectedFull++
		return nil
	}
	m = &member{name: name}
	n.members[name] = m
	return m
}

// completeFrom fills in what brief updates have left out.
func (m *member) completeFrom(u *Update) {
	m.zone = cmp.Or(m.zone, u.Zone)
	if !m.addr.IsValid() {
		m.addr = u.Addr
	}
}

// isNews reports whether an update of the member's present instance counts. What a member says of itself needs a
// higher incarnation; that it is suspect or dead is said by another member of the incarnation that it names.
func (m *member) isNews(u *Update) bool {
	if u.Incarnation == m.incarnation {
		return u.State == StateSuspect || u.State == StateDead
	}
	return u.Incarnation > m.incarnation
}

// replaceInstance starts over with an instance that was not known before.
func (n *Node) replaceInstance(m *member, u *Update) {
	n.toggleDigest(m)
	n.setPresence(m, StateUnknown)
	*m = member{
		name:          m.name,
		zone:          u.Zone,
		addr:          m.preferredAddr(u.Addr),
		seed:          m.seed,
		id:            u.ID,
		incarnation:   u.Incarnation,
		since:         n.now,
		process:       u.Process,
		transmissions: m.transmissions,
	}
	n.toggleDigest(m)
}

// refreshInstance takes what an update says of the member's present instance, its state left out.
func (n *Node) refreshInstance(m *member, u *Update) {
	n.toggleDigest(m)
	m.incarnation = u.Incarnation
	m.addr = m.preferredAddr(u.Addr)
	if u.Zone != "" {
		m.zone = u.Zone
	}
	if u.Process != nil {
		m.process = u.Process
	}
	n.toggleDigest(m)
}

func (n *Node) applyState(m *member, u *Update) {
	switch u.State {
	case StateAlive:
		n.apply(m, eventAlive, 0)
	case StateLeaving:
		n.apply(m, eventLeaving, 0)
	case StateLeft:
		n.apply(m, eventLeft, 0)
	case StateSuspect:
		for _, confirmer := range u.SuspectedBy {
			n.apply(m, eventSuspect, confirmer)
		}
		if len(u.SuspectedBy) == 0 {
			n.apply(m, eventSuspect, anonymousConfirmer)
		}
	case StateDead:
		n.apply(m, eventDead, anonymousConfirmer)
	}
}
