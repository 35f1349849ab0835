package membership

import (
	"math/rand/v2"
	"net/netip"
)

// Outbound is a message to be sent to the member named To, at Addr.
type Outbound struct {
	To      string
	Addr    netip.AddrPort
	Message *Message
}

// Change is a state transition of a member, or of the node itself when it yields its name.
type Change struct {
	At   int64 // microseconds, on the clock of Tick
	Name string
	From State
	To   State
	ID   InstanceID // instance that is now in state To
}

// Counts are totals since the start of the node.
type Counts struct {
	Sent           int64 `cbor:"1,keyasint,omitempty"`                   // messages
	Received       int64 `cbor:"2,keyasint,omitempty" json:"Taken"`      // messages that were accepted
	Misaddressed   int64 `cbor:"3,keyasint,omitempty" json:"Foreign"`    // dropped: to another instance or name
	Replayed       int64 `cbor:"4,keyasint,omitempty"`                   // dropped: received before, or beyond the replay window
	Malformed      int64 `cbor:"5,keyasint,omitempty" json:"Bad"`        // dropped: out of bounds
	Suspicions     int64 `cbor:"6,keyasint,omitempty"`                   // members that became suspect
	Refutations    int64 `cbor:"7,keyasint,omitempty" json:"Refuted"`    // of updates about the node itself
	Deaths         int64 `cbor:"8,keyasint,omitempty"`                   // members that became dead
	Resumes        int64 `cbor:"9,keyasint,omitempty" json:"Wakings"`    // detected pauses of the process
	Relayed        int64 `cbor:"10,keyasint,omitempty"`                  // pings sent for other members' indirect pings
	StateExchanges int64 `cbor:"11,keyasint,omitempty" json:"Compared"`  // started by this node
	RejectedFull   int64 `cbor:"12,keyasint,omitempty" json:"TooMany"`   // new members not added, as 512 are held
	NameReclaims   int64 `cbor:"13,keyasint,omitempty" json:"Outbidden"` // times that the node reclaimed its name
}

// Node is one router's replica of the membership. It is not safe for concurrent use.
type Node struct {
	// Counts may be read between calls of the methods.
	Counts Counts

	settings Settings
	random   *rand.Rand
	now      int64
	self     Update

	members map[string]*member
	present int // number of members that are neither unknown, dead nor left

	lastSequence  uint64 // sequence number of the last message sent
	lastRequestID uint32
	outbox        []Outbound
	changes       []Change
	payloads      []Payload
	gossipDigest  uint32 // set by SetGossipDigest

	// Probing.
	probeOrder    []*member // present members, shuffled for each round
	probeIndex    int       // index in probeOrder of the next member to probe
	lastProbeAt   int64
	pendingProbes []pendingProbe
	relayedProbes []relayedProbe
	rttSamples    [probeSamples]int32 // round trips of direct acknowledgements
	probeOutcomes [probeSamples]bool  // whether the last probes were acknowledged, directly or indirectly
	probeCount    int                 // number of probes with an outcome

	// Dissemination.
	gossipQueue    []*member // members whose updates are still to be sent
	gossipTokens   float64   // bytes of updates that may be sent now
	gossipTokensAt int64
	viewChangedAt  int64

	// State exchange.
	membersDigest       uint64 // digest of the members without the node itself
	bucketDigests       [digestBuckets]uint32
	lastStateExchangeAt int64
	exchangeQueue       []*member // members still to be sent to exchangePeer
	exchangePeer        *member
	exchangeTokens      float64 // bytes that may be sent in state exchanges now
	exchangeTokensAt    int64

	// Local health.
	localHealth int   // 0: healthy, up to maxLocalHealth
	nextTickAt  int64 // time of the next call, as returned by the last Tick; 0: Tick was not called yet
	resumedAt   int64 // end of the last pause of the process, until another member acknowledges a ping; 0: not resuming
	lastHeardAt int64 // time of the last accepted message

	// Joining and name conflicts.
	startedAt         int64
	joinedAt          int64 // time of the first accepted message; 0: none
	lastRejoinAt      int64
	nameReclaims      []int64 // times of the reclaims within nameReclaimWindow
	conflictCheckedAt int64   // when the node last yielded its name or tried to reclaim it

	queryAllowedAt int64 // virtual time of the last answered query, for the rate limit of queries
	connectivity   Connectivity
}

// New returns the node of a router that starts. The node owns random from then on. now is the time of a steady clock
// in microseconds; all later calls must use the same clock.
func New(settings Settings, random *rand.Rand, now int64) *Node {
	settings = settings.withDefaults()
	n := &Node{
		settings:         settings,
		random:           random,
		now:              now,
		members:          map[string]*member{},
		startedAt:        now,
		lastHeardAt:      now,
		gossipTokens:     gossipBurstBytes,
		gossipTokensAt:   now,
		exchangeTokens:   exchangeBurstBytes,
		exchangeTokensAt: now,
		viewChangedAt:    now,
		connectivity:     Connectivity{MajoritySince: now},
		self: Update{
			Name:        settings.Name,
			Zone:        settings.Zone,
			Addr:        settings.Addr,
			ID:          InstanceID{Epoch: max(settings.Epoch, 1), Nonce: random.Uint32()},
			Incarnation: 1,
			State:       StateJoining,
			Process:     settings.Process,
		},
	}
	for _, s := range settings.Seeds {
		if s.Name != settings.Name {
			n.members[s.Name] = &member{name: s.Name, addr: s.Addr, seed: true}
		}
	}
	if settings.Handoff != nil {
		n.continueInstance(settings.Handoff)
	}
	return n
}

// Self returns the node's update about itself.
func (n *Node) Self() Update { return n.self }

// State returns the state of a member, or StateUnknown for a name that is not held.
func (n *Node) State(name string) State {
	if name == n.self.Name {
		return n.self.State
	}
	if m := n.members[name]; m != nil {
		return m.state
	}
	return StateUnknown
}

// Tick carries out all work that is due. It returns the time at which it must be called next, the messages to send and
// the state transitions since the last call. A call that comes more than 60 ms after the returned time worsens the
// local health score; more than 300 ms after it the process counts as paused.
func (n *Node) Tick(now int64) (next int64, out []Outbound, changes []Change) {
	n.advanceClock(now)
	switch n.self.State {
	case StateNameConflict:
		n.retryNameConflict()
	case StateLeft:
	default:
		n.rejoin()
		n.probe()
		n.checkPendingProbes()
		n.checkTimeouts()
		n.sendExchangeChunk()
	}
	n.endResume()
	n.updateConnectivity()
	n.nextTickAt = n.now + n.tickInterval()
	changes, n.changes = n.changes, nil
	return n.nextTickAt, n.takeOutbox(), changes
}

func (n *Node) tickInterval() int64 {
	const maxTickInterval = 50 * millisecond
	if n.probesFailing() {
		return n.settings.ProbeInterval / failingProbeSpeedup
	}
	return min(n.settings.ProbeInterval/2, maxTickInterval)
}

func (n *Node) takeOutbox() (out []Outbound) {
	out, n.outbox = n.outbox, nil
	return out
}

// send queues a message to a member, with updates piggybacked where its kind carries them.
func (n *Node) send(to *member, kind Kind, msg Message) {
	n.lastSequence++
	msg.Kind = kind
	msg.To = to.name
	msg.Sequence = n.lastSequence
	msg.ViewDigest = n.viewDigest()
	msg.GossipDigest = n.gossipDigest
	msg.Sender = n.self
	if kind == KindPing || kind == KindAck || kind == KindIndirectPing || kind == KindNack {
		msg.Sender.Zone = "" // the receiver holds the zone from an earlier message
	}
	if msg.Sender.State == StateNameConflict {
		msg.Sender.State = StateJoining // a node that yielded its name requests to be admitted again
	}
	if kind != KindHello {
		msg.ToInstance = to.id
	}
	if kind.carriesUpdates() {
		msg.Updates = n.piggyback(to)
	}
	n.Counts.Sent++
	n.outbox = append(n.outbox, Outbound{To: to.name, Addr: to.addr, Message: &msg})
}

// randomMember draws a present member that is eligible, or returns nil if there is none.
func (n *Node) randomMember(eligible func(*member) bool) *member {
	if len(n.probeOrder) == 0 {
		return nil
	}
	start := n.random.IntN(len(n.probeOrder))
	for i := range n.probeOrder {
		if m := n.probeOrder[(start+i)%len(n.probeOrder)]; eligible(m) {
			return m
		}
	}
	return nil
}

// SetGossipDigest sets the digest of the replica of package gossip. All later messages carry it.
func (n *Node) SetGossipDigest(digest uint32) { n.gossipDigest = digest }

// SendPayload returns the message with a payload for another subsystem of a member. It returns nil if the member is not
// present, if the node itself has left or has yielded its name, or if the body is longer than Settings.MaxMessageBytes
// less the 110 bytes that are reserved for the rest of the message.
func (n *Node) SendPayload(to string, body []byte) []Outbound {
	m := n.members[to]
	if m == nil || m.state.absent() || len(body) > n.settings.MaxMessageBytes-messageOverheadBytes {
		return nil
	}
	if n.self.State == StateNameConflict || n.self.State == StateLeft {
		return nil
	}
	n.send(m, KindPayload, Message{Body: body})
	return n.takeOutbox()
}

// Payloads returns the payloads received since the last call. All are from accepted messages: none was replayed, and
// all were addressed to this instance.
func (n *Node) Payloads() (list []Payload) {
	list, n.payloads = n.payloads, nil
	return list
}

// Leave announces, with the next messages, that the router will leave. The node still answers until Depart.
func (n *Node) Leave(now int64) {
	n.advanceClock(now)
	if n.self.State == StateAlive || n.self.State == StateJoining {
		n.self.State = StateLeaving
		n.raiseIncarnation(n.self.Incarnation)
	}
}

// Depart returns the messages that announce the departure to some members, which spread it. From then on the node
// initiates no messages.
func (n *Node) Depart(now int64) []Outbound {
	n.advanceClock(now)
	if n.self.State == StateNameConflict {
		return nil
	}
	n.self.State = StateLeft
	n.raiseIncarnation(n.self.Incarnation)
	for range 2 * fanout {
		if m := n.randomMember(isAlive); m != nil {
			n.send(m, KindPing, Message{})
		}
	}
	return n.takeOutbox()
}
