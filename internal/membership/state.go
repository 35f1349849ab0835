package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

// State is the state of a member in one node's view.
type State uint8

// States of a member. Their numbers are sent in messages. A node uses StateJoining and StateNameConflict for itself
// only.
const (
	StateUnknown      State = iota // a seed without any update yet, or a forgotten member
	StateJoining                   // started, and has accepted no message of another member yet
	StateAlive                     // running
	StateSuspect                   // a node's probe of it failed; the member may refute the suspicion
	StateDead                      // the suspicion timeout passed without a refutation
	StateLeaving                   // it has announced that it will leave
	StateLeft                      // it has announced its departure
	StateNameConflict              // another process holds the name, and this one does not participate
)

var stateNames = [...]string{"unknown", "joining", "alive", "suspected", "dead", "leaving", "left", "doubled"}

// String returns the state's name in logs and tools: unknown, joining, alive, suspected, dead, leaving, left, or
// doubled for a name conflict.
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// absent reports whether members in this state are neither probed nor counted as present.
func (s State) absent() bool { return s == StateUnknown || s == StateDead || s == StateLeft }

// InstanceID identifies one of the instances of a name: the successive processes of a router, of which each started
// without the state of the one before. (A process that takes over by a handoff continues the instance.) Compare gives a
// total order in which a later instance of a name is higher.
type InstanceID struct {
	_ struct{} `cbor:",toarray"`
	// Epoch numbers a name's instances. It starts as the guess in Settings and is raised above the Epoch of every other
	// instance of the name in received updates, so that no stable storage is needed.
	Epoch uint32 `json:"Life"`
	// Nonce is drawn at random at the start. It orders two instances that chose the same Epoch.
	Nonce uint32
}

// Compare orders instances of one name: negative if id is the earlier one, 0 if both are the same.
func (id InstanceID) Compare(other InstanceID) int {
	return cmp.Or(cmp.Compare(id.Epoch, other.Epoch), cmp.Compare(id.Nonce, other.Nonce))
}

// Reach is how this node last reached a member: by its last probe or, before the first probe has an outcome, by a
// message.
type Reach uint8

// Ways in which a member was reached.
const (
	ReachReported Reach = iota // not yet; the member is known from other members' updates
	ReachDirect                // it sent a message or acknowledged a ping
	ReachRelayed               // it acknowledged an indirect ping, through another member
	ReachNone                  // the last probe failed
)

var reachNames = [...]string{"told", "direct", "relayed", "none"}

// String returns the name of r in logs and tools: told (reported), direct, relayed or none.
func (r Reach) String() string { return reachNames[min(int(r), len(reachNames)-1)] }

// maxMembers bounds the members that are held, absent ones included.
const maxMembers = 512

// member is a node's record of one other member. BenchmarkMemory measures its size.
type member struct {
	name, zone  string
	addr        netip.AddrPort
	id          InstanceID
	process     *ProcessInfo
	stateSince  int64 // time of the last change of state
	incarnation uint32
	state       State
	seed        bool

	// Contact.
	reach        Reach
	failedProbes uint8  // consecutive probes by this node without an acknowledgement
	rtt          int32  // round trip of its last direct acknowledgement
	viewDigest   uint32 // folded digest in its last message
	lastHeardAt  int64  // its last accepted message or acknowledgement; 0: none
	// highestSequence and sequenceWindow detect replayed messages: bit i of the window is set if the message with the
	// sequence number highestSequence-i was accepted.
	highestSequence uint64
	sequenceWindow  uint64

	// Dissemination and suspicion.
	enqueuedAt    int64                    // when its update was last queued
	transmissions uint8                    // number of messages that are still to carry its update
	ownProbeBegun bool                     // this node has sent its own probe for this suspicion
	suspectedBy   [maxConfirmations]uint16 // confirmerID of the members that suspect it; 0: none
	ownProbeAt    int64                    // when to probe the suspect early; 0: probe it only shortly before the deadline
	deadline      int64                    // when the suspect is declared dead
}

func compareNames(a, b *member) int { return cmp.Compare(a.name, b.name) }

func isAlive(m *member) bool { return m.state == StateAlive }

func isPresent(m *member) bool { return !m.state.absent() }

// event is an observation or report about a member.
type event uint8

const (
	eventAlive       event = iota // it reports itself alive in a higher incarnation or instance
	eventLeaving                  // it announces that it will leave
	eventLeft                     // it announces its departure
	eventSuspect                  // another member suspects it
	eventDead                     // another member reports it dead
	eventProbeFailed              // this node's ping and indirect pings had no acknowledgement
	eventContact                  // it sent an accepted message or acknowledged a ping
	eventTimeout                  // the suspicion timeout has passed
	eventForget                   // its retention has ended, or there are too many absent members
	eventCount
)

// action is the response of a node to an event, in addition to the state transition.
type action uint8

const (
	actionNone            action = iota
	actionSpread                 // send its update with the next messages
	actionSpreadOnce             // send its update with fewer messages, as each other node has its own timeout
	actionSuspect                // begin a suspicion with its first confirmation, and spread the update
	actionConfirm                // count a confirmation, and spread the update if the confirmation is new
	actionConfirmAndProbe        // count a confirmation; ping the member on a new one, which notifies it of the suspicion
	actionExtend                 // extend the suspicion's deadline, as the member responds
	actionNotify                 // notify the member of the state that is held for it, so that it can refute it
	actionForget                 // drop the record of the member
)

type transition struct {
	next   State
	action action
}

// transitions is the protocol's state machine for one member. applyUpdate drops updates of an earlier instance or a
// lower incarnation before they become an event. Another member's report never makes a present member dead: it counts
// as one confirmation of a suspicion, and each node waits for its own timeout.
var transitions = [...][eventCount]transition{
	StateUnknown: {
		eventAlive:       {StateAlive, actionSpread},
		eventLeaving:     {StateLeaving, actionSpread},
		eventLeft:        {StateLeft, actionNone},
		eventSuspect:     {StateSuspect, actionSuspect},
		eventDead:        {StateDead, actionNone},
		eventProbeFailed: {StateUnknown, actionNone},
		eventContact:     {StateUnknown, actionNone},
		eventTimeout:     {StateUnknown, actionNone},
		eventForget:      {StateUnknown, actionForget},
	},
	StateAlive: {
		eventAlive:       {StateAlive, actionSpread},
		eventLeaving:     {StateLeaving, actionSpread},
		eventLeft:        {StateLeft, actionSpread},
		eventSuspect:     {StateSuspect, actionSuspect},
		eventDead:        {StateSuspect, actionConfirmAndProbe},
		eventProbeFailed: {StateSuspect, actionSuspect},
		eventContact:     {StateAlive, actionNone},
		eventTimeout:     {StateAlive, actionNone},
		eventForget:      {StateAlive, actionNone},
	},
	StateSuspect: {
		eventAlive:       {StateAlive, actionSpread},
		eventLeaving:     {StateLeaving, actionSpread},
		eventLeft:        {StateLeft, actionSpread},
		eventSuspect:     {StateSuspect, actionConfirm},
		eventDead:        {StateSuspect, actionConfirmAndProbe},
		eventProbeFailed: {StateSuspect, actionConfirm},
		eventContact:     {StateSuspect, actionExtend},
		eventTimeout:     {StateDead, actionSpreadOnce},
		eventForget:      {StateSuspect, actionNone},
	},
	StateDead: {
		eventAlive:       {StateAlive, actionSpread},
		eventLeaving:     {StateLeaving, actionSpread},
		eventLeft:        {StateLeft, actionNone},
		eventSuspect:     {StateDead, actionNone},
		eventDead:        {StateDead, actionNone},
		eventProbeFailed: {StateDead, actionNone},
		eventContact:     {StateDead, actionNotify},
		eventTimeout:     {StateDead, actionNone},
		eventForget:      {StateUnknown, actionForget},
	},
	StateLeaving: {
		eventAlive:       {StateAlive, actionSpread},
		eventLeaving:     {StateLeaving, actionSpread},
		eventLeft:        {StateLeft, actionSpread},
		eventSuspect:     {StateLeaving, actionNone},
		eventDead:        {StateLeaving, actionNone},
		eventProbeFailed: {StateLeft, actionSpread},
		eventContact:     {StateLeaving, actionNone},
		eventTimeout:     {StateLeaving, actionNone},
		eventForget:      {StateLeaving, actionNone},
	},
	StateLeft: {
		eventAlive:       {StateAlive, actionSpread},
		eventLeaving:     {StateLeaving, actionSpread},
		eventLeft:        {StateLeft, actionNone},
		eventSuspect:     {StateLeft, actionNone},
		eventDead:        {StateLeft, actionNone},
		eventProbeFailed: {StateLeft, actionNone},
		eventContact:     {StateLeft, actionNotify},
		eventTimeout:     {StateLeft, actionNone},
		eventForget:      {StateUnknown, actionForget},
	},
}

// apply looks up the transition for an event and carries it out. confirmer identifies the suspecting member if the
// event is a suspicion.
func (n *Node) apply(m *member, e event, confirmer uint16) {
	t := transitions[m.state][e]
	if t.next != m.state {
		n.setState(m, t.next, e)
	}
	switch t.action {
	case actionNone:
	case actionSpread:
		n.enqueue(m, transmissionsPerDoubling)
	case actionSpreadOnce:
		n.enqueue(m, 1)
	case actionSuspect:
		m.addConfirmer(confirmer)
		n.setDeadline(m)
		n.enqueue(m, transmissionsPerDoubling)
	case actionConfirm:
		if n.confirm(m, confirmer) {
			n.enqueue(m, 1)
		}
	case actionConfirmAndProbe:
		if n.confirm(m, confirmer) && n.consumePingTokens() {
			n.ping(m)
		}
	case actionExtend:
		n.extendSuspicion(m)
	case actionNotify:
		if n.consumePingTokens() {
			n.send(m, KindPing, Message{}) // piggyback adds the update about the receiver
		}
	case actionForget:
		n.forget(m)
	}
}

func (n *Node) setState(m *member, next State, e event) {
	n.changes = append(n.changes, Change{At: n.now, Name: m.name, From: m.state, To: next, ID: m.id})
	n.toggleDigest(m)
	n.setPresence(m, next)
	m.state = next
	m.stateSince = n.now
	n.toggleDigest(m)
	switch next {
	case StateSuspect:
		n.Counts.Suspicions++
		n.beginSuspicion(m, e)
	case StateDead:
		n.Counts.Deaths++
	}
	if next != StateSuspect {
		m.suspectedBy = [maxConfirmations]uint16{}
	}
}

// setPresence inserts a member into the probe order at a random index if its next state is present, and removes it if
// that state is absent.
func (n *Node) setPresence(m *member, next State) {
	before, after := isPresent(m), !next.absent()
	switch {
	case !before && after:
		n.present++
		n.probeOrder = append(n.probeOrder, m)
		i := n.random.IntN(len(n.probeOrder))
		last := len(n.probeOrder) - 1
		n.probeOrder[i], n.probeOrder[last] = n.probeOrder[last], n.probeOrder[i]
	case before && !after:
		n.present--
		if i := slices.Index(n.probeOrder, m); i >= 0 {
			n.probeOrder = slices.Delete(n.probeOrder, i, i+1)
			if i < n.probeIndex {
				n.probeIndex--
			}
		}
	}
}

// forget drops the record of a member. A seed keeps its name and address.
func (n *Node) forget(m *member) {
	m.transmissions = 0
	n.gossipQueue = slices.DeleteFunc(n.gossipQueue, func(queued *member) bool { return queued == m })
	delete(n.members, m.name)
	if m.seed {
		n.members[m.name] = &member{name: m.name, addr: m.addr, seed: true}
	}
}
