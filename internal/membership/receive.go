package membership

import (
	"cmp"
	"net/netip"
)

// maxQueuedPayloads bounds the payloads that are kept between two calls of Payloads; further ones are dropped.
const maxQueuedPayloads = 64

// Receive handles an authenticated message and returns the messages to send in response. source is the address that
// the message came from; only queries of tools are answered to it.
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
		n.announceInstance(m, msg)
	default:
		if m = n.acceptSender(m, msg); m != nil {
			n.accept(m, msg)
		}
	}
}

// announceInstance answers a ping that is addressed to another instance of this node's name. Its sender does not hold
// the present instance yet.
func (n *Node) announceInstance(m *member, msg *Message) {
	if m == nil {
		m = &member{name: msg.Sender.Name, addr: msg.Sender.Addr}
	}
	if msg.Kind == KindPing && m.addr.IsValid() {
		n.send(m, KindHello, Message{})
	}
}

// accept processes a message of a known sender that is not a replay.
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
	n.apply(m, eventContact, 0)
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

// acceptSender returns the member that sent a message, and applies the sender's update about itself. It returns nil if
// the message is a replay or from an earlier instance of the sender, or if no further member can be held.
func (n *Node) acceptSender(m *member, msg *Message) *member {
	sender := &msg.Sender
	if m != nil && m.state != StateUnknown {
		switch order := sender.ID.Compare(m.id); {
		case order < 0:
			n.Counts.Misaddressed++
			n.notifyOutdated(m, msg)
			return nil
		case order == 0 && n.safeguardEnabled(safeguardReplayWindow) && !m.markSequence(msg.Sequence):
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

// markSequence marks the sequence number of a message as received. It reports false for a number that was received
// before or is older than the window. The window allows for datagrams that arrive out of order (RFC 4303, appendix A).
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

// preferredAddr returns the address of a member: that of the operator's settings takes precedence over the reported
// one.
func (m *member) preferredAddr(reported netip.AddrPort) netip.AddrPort {
	if m.seed && m.addr.IsValid() || !reported.IsValid() {
		return m.addr
	}
	return reported
}

// applyUpdate applies an update about a router. It ignores updates about an earlier instance. Within an instance it
// applies an update only if the incarnation is higher, or if the incarnation is the same and the state suspect or dead.
// For an ignored update from a state exchange (exchanged) it spreads the held one, if that is newer or the member is
// held dead. It returns the member, or nil if the update is about this node, has state joining, or is about a new
// member while maxMembers are held.
func (n *Node) applyUpdate(update *Update, exchanged bool) *member {
	if update.Name == n.self.Name {
		n.applySelfUpdate(update)
		return nil
	}
	if update.State == StateJoining {
		return nil // only the sender's update about itself may have this state
	}
	m := n.findOrAdd(update.Name)
	if m == nil {
		return nil
	}
	if update.ID == m.id {
		m.fillMissingFields(update)
	}
	switch order := update.ID.Compare(m.id); {
	case m.state == StateUnknown || order > 0:
		n.replaceInstance(m, update)
	case order < 0:
		if exchanged {
			n.enqueue(m, 1)
		}
		return m
	case !n.safeguardEnabled(safeguardIncarnationOrder):
		m.incarnation = update.Incarnation
	case !m.supersededBy(update):
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
		// The sender has probably sent the update to other members, too.
		m.transmissions = min(m.transmissions, uint8(log2(n.present+1)))
	}
	return m
}

// findOrAdd returns the member of that name, and adds it if it is not held. It returns nil if maxMembers are held.
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

// fillMissingFields sets the fields that earlier brief updates have left out.
func (m *member) fillMissingFields(u *Update) {
	m.zone = cmp.Or(m.zone, u.Zone)
	if !m.addr.IsValid() {
		m.addr = u.Addr
	}
}

// supersededBy reports whether an update about the member's present instance takes precedence over the held state. An
// update by the member itself needs a higher incarnation. Suspicions and deaths are reported by other members, and
// apply to the incarnation that they name.
func (m *member) supersededBy(u *Update) bool {
	if u.Incarnation == m.incarnation {
		return u.State == StateSuspect || u.State == StateDead
	}
	return u.Incarnation > m.incarnation
}

// replaceInstance replaces the member's record by that of a new instance.
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
		stateSince:    n.now,
		process:       u.Process,
		transmissions: m.transmissions,
	}
	n.toggleDigest(m)
}

// refreshInstance sets the fields of the member's present instance from an update, except for its state.
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
