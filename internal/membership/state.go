package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

// State is the state of a member in one node's view.
type State uint8

// States of a member. Their numbers are sent in messages. A node holds StateJoining and StateNameConflict of itself
// only.
const (
	StateUnknown      State = iota // named as a seed and not heard of yet, or forgotten
	StateJoining                   // started, and has not heard from any other member yet
	StateAlive                     // present
	StateSuspect                   // somebody's probe failed; the member may refute it
	StateDead                      // the suspicion timeout passed without a refutation
	StateLeaving                   // it has announced that it will go
	StateLeft                      // it has announced its departure
	StateNameConflict              // another process has the name, and this one keeps quiet
)

var stateNames = [...]string{"unknown", "joining", "alive", "suspected", "dead", "leaving", "left", "doubled"}

// String returns the state's word in logs and tools: unknown, joining, alive, suspected, dead, leaving, left, or
// doubled for a name conflict.
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// absent reports states of members that are not probed and not counted as present.
func (s State) absent() bool { return s == StateUnknown || s == StateDead || s == StateLeft }

// InstanceID tells apart the instances of one name: the successive processes of a router that each started anew. (A
// process that takes over by a handoff continues the instance.) Compare gives a total order in which a later
// instance of a name is higher.
type InstanceID struct {
	_ struct{} `cbor:",toarray"`
	// Epoch numbers a name's instances. It starts as a guess of Settings and is raised above the Epoch of every other
	// instance of the name that the node hears of, so that no stable storage is needed.
	Epoch uint32 `json:"Life"`
	// Nonce is drawn at random at the start. It orders two instances that chose the same Epoch.
	Nonce uint32
}

// Compare orders instances of one name: negative where id is the earlier one, 0 where both are the same.
func (id InstanceID) Compare(other InstanceID) int {
	return cmp.Or(cmp.Compare(id.Epoch, other.Epoch), cmp.Compare(id.Nonce, other.Nonce))
}

// Reach is how the last probe of a member, or its last message, came through.
type Reach uint8

// Ways in which a member was reached.
const (
	ReachReported Reach = iota // not yet by this node: others say that it is there
	ReachDirect                // a message came from it, or it acknowledged a ping
	ReachRelayed               // it acknowledged an indirect ping, by way of another member
	ReachNone                  // the last probe failed
)

var reachNames = [...]string{"told", "direct", "relayed", "none"}

// String returns the word for it in logs and tools: told (reported), direct, relayed or none.
func (r Reach) String() string { return reachNames[min(int(r), len(reachNames)-1)] }

// maxMembers bounds the members that are held, absent ones included.
const maxMembers = 512

// member is what a node holds of one other member. BenchmarkMemory watches its size.
type member struct {
	name, zone  string
	addr        netip.AddrPort
	id          InstanceID
	process     *ProcessInfo
	since       int64 // of state
	incarnation uint32
	state       State
	seed        bool

	// Contact.
	reach        Reach
	failedProbes uint8  // own probes in a row without an acknowledgement
	rtt          int32  // of its last direct acknowledgement
	viewDigest   uint32 // folded, of its last message
	lastHeardAt  int64  // last accepted message of its own; 0: none
	// highestSequence and sequenceWindow tell replayed messages: bit i of the window is set once the message with
	// the number highestSequence-i was accepted.
	highestSequence uint64
	sequenceWindow  uint64

	// Dissemination and suspicion.
	enqueuedAt    int64                    // when its update was queued last
	transmissions uint8                    // messages that are still to carry its update
	ownProbeBegun bool                     // this node has probed the suspect in this suspicion
	suspectedBy   [maxConfirmations]uint16 // confirmerID of the members that suspect it; 0: none
	ownProbeAt    int64                    // when to probe the suspect early; 0: only shortly before the deadline
	deadline      int64                    // when the suspect becomes dead
}

func compareNames(a, b *member) int { return cmp.Compare(a.name, b.name) }

func isAlive(m *member) bool { return m.state == StateAlive }

func isPresent(m *member) bool { return !m.state.absent() }

// event is what a node learns of a member.
type event uint8

const (
	eventAlive       event = iota // it says that it is there, in a higher incarnation or instance
	eventLeaving                  // it says that it will go
	eventLeft                     // it says that it goes now
	eventSuspect                  // another member suspects it
	eventDead                     // another member holds it dead
	eventProbeFailed              // this node's ping and indirect pings had no acknowledgement
	eventHeard                    // a message of its own was accepted
	eventTimeout                  // the suspicion timeout has passed
	eventForget                   // it was absent for long, or there are too many absent members
	eventCount
)

// action is what a node does on an event beside the change of state.
type action uint8

const (
	actionNone       action = iota
	actionSpread            // send its update with the next messages
	actionSpreadOnce        // send its update with few messages: each of the others has its own timeout
	actionSuspect           // begin a suspicion with its first confirmation, and spread it
	actionConfirm           // count a confirmation, and spread it if it is new
	actionDoubt             // count a confirmation and probe the member, which also tells it of the suspicion
	actionExtend            // extend the suspicion's deadline: the member answers
	actionInform            // tell the member what is held of it, so that it can refute it
	actionForget            // drop all that is held of it
)

type transition struct {
	next   State
	action action
}

// transitions is the protocol's state machine for one member. Updates of an earlier instance or a lower incarnation
// are dropped before they become an event (applyUpdate). Another member's report never makes a member dead: it counts
// as one confirmation of a suspicion, and each node waits for its own timeout.
var transitions = [...][eventCount]transition{
	StateUnknown: {
		eventAlive:       {StateAlive, actionSpread},
		eventLeaving:     {StateLeaving, actionSpread},
		eventLeft:        {StateLeft, actionNone},
		eventSuspect:     {StateSuspect, actionSuspect},
		eventDead:        {StateDead, actionNone},
		eventProbeFailed: {StateUnknown, actionNone},
		eventHeard:       {StateUnknown, actionNone},
		eventTimeout:     {StateUnknown, actionNone},
		eventForget:      {StateUnknown, actionForget},
	},
	StateAlive: {
		eventAlive:       {StateAlive, actionSpread},
		eventLeaving:     {StateLeaving, actionSpread},
		eventLeft:        {StateLeft, actionSpread},
		eventSuspect:     {StateSuspect, actionSuspect},
		eventDead:        {StateSuspect, actionDoubt},
		eventProbeFailed: {StateSuspect, actionSuspect},
		eventHeard:       {StateAlive, actionNone},
		eventTimeout:     {StateAlive, actionNone},
		eventForget:      {StateAlive, actionNone},
	},
	StateSuspect: {
		eventAlive:       {StateAlive, actionSpread},
		eventLeaving:     {StateLeaving, actionSpread},
		eventLeft:        {StateLeft, actionSpread},
		eventSuspect:     {StateSuspect, actionConfirm},
		eventDead:        {StateSuspect, actionDoubt},
		eventProbeFailed: {StateSuspect, actionConfirm},
		eventHeard:       {StateSuspect, actionExtend},
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
		eventHeard:       {StateDead, actionInform},
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
		eventHeard:       {StateLeaving, actionNone},
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
		eventHeard:       {StateLeft, actionInform},
		eventTimeout:     {StateLeft, actionNone},
		eventForget:      {StateUnknown, actionForget},
	},
}

// apply looks up the transition for an event and carries it out. confirmer is who suspects the member, where the
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
	case actionDoubt:
		if n.confirm(m, confirmer) && n.payForPing() {
			n.ping(m)
		}
	case actionExtend:
		n.extendSuspicion(m)
	case actionInform:
		if n.payForPing() {
			n.send(m, KindPing, Message{}) // piggyback adds what is held of the receiver
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
	m.since = n.now
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

// setPresence puts a member into the probe order at a random place, or takes it out, as its next state demands.
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

// forget drops a member. Of a seed the address stays.
func (n *Node) forget(m *member) {
	m.transmissions = 0
	n.gossipQueue = slices.DeleteFunc(n.gossipQueue, func(queued *member) bool { return queued == m })
	delete(n.members, m.name)
	if m.seed {
		n.members[m.name] = &member{name: m.name, addr: m.addr, seed: true}
	}
}
