package rollout

import "math/rand/v2"

// Node runs the rollout protocol for one router: it is an acceptor and a follower, and at
// times a candidate or the leader. It must be used by one goroutine at a time.
type Node struct {
	plan   *Plan
	self   int // index in the plan; -1: not one of its routers
	random *rand.Rand
	now    int64
	checks safetyChecks

	// The acceptor (register.go) and its recovery.
	Durable
	noPromiseUntil      int64            // until then a leader's lease may rely on this router
	recoveryNonce       uint64           // of the recovery requests; 0: not recovering
	recoveryReplies     map[int]*Message // by router index
	recoveryRequestedAt int64

	// The candidate (election.go).
	candidateTerm      uint64
	candidacyStartedAt int64
	highestSeenTerm    uint64           // from rejections
	promises           map[int]*Message // by router index; nil: not a candidate

	// The leader (leader.go); nil: this router does not lead.
	leader *leader

	// The follower (follower.go).
	leaderIndex     int    // last known leader; -1: none
	leaderContactAt int64  // of its last accept; at first, when this router started
	pollNonce       uint64 // of the poll that awaits a reply
	polledAt        int64
	view            State     // last decided state received from the leader
	viewAt          int64     // when the poll for view, or the leader's own round, was sent; 0: never
	report          Report    // of this router
	commands        []Command // not yet forwarded or, at the leader, not yet applied

	outbox []Outgoing
}

// NewNode returns the node of a router of the plan, by name. A nil Durable means that the
// router lost its durable state and must recover; a zero Durable, that no router of the
// site has ever run this plan. The random source jitters elections and generates nonces.
func NewNode(plan *Plan, name string, durable *Durable, random *rand.Rand, now int64) *Node {
	n := &Node{
		plan: plan, self: plan.Index(name), random: random, now: now, checks: defaultSafetyChecks(),
		leaderIndex: -1, leaderContactAt: now,
	}
	if durable != nil {
		n.Durable = *durable
		n.noPromiseUntil = now + promiseHoldoff // it may have accepted a round just before it stopped
		return n
	}
	n.recoveryNonce = n.newNonce()
	n.recoveryReplies = map[int]*Message{}
	return n
}

// newNonce returns a nonzero random number.
func (n *Node) newNonce() uint64 { return n.random.Uint64() | 1 }

func (n *Node) quorum() int { return n.checks.quorum(len(n.plan.Routers)) }

// IsLeader reports whether this router leads under a valid lease.
func (n *Node) IsLeader() bool { return n.leader != nil && n.leader.holdsLease(n) }

// SetReport replaces the report that this router sends to the leader.
func (n *Node) SetReport(report Report) {
	n.report = report
	if n.leader != nil {
		n.leader.setReport(n.now, n.self, &n.report)
	}
}

// Command accepts an operator's command. Any router of the plan can accept it.
func (n *Node) Command(now int64, command Command) {
	n.advance(now)
	if command == CommandStart {
		// There may be no leader yet: this router becomes a candidate without waiting for
		// the election timeout.
		n.candidacyStartedAt = n.now - second
		n.leaderContactAt = n.now - electionTimeout - int64(len(n.plan.Routers))*electionStagger
	}
	n.queueCommand(command)
}

// queueCommand adds a command to the queue, or drops it if the queue is full: the operator
// repeats a command that has no effect.
func (n *Node) queueCommand(command Command) {
	const maxCommands = 8
	if len(n.commands) < maxCommands {
		n.commands = append(n.commands, command)
	}
}

// Tick handles all timers that are due and returns the messages to send. The caller calls
// it about ten times a second.
func (n *Node) Tick(now int64) []Outgoing {
	n.advance(now)
	if n.self < 0 {
		return nil
	}
	if n.recovering() {
		n.requestRecovery()
		return n.takeOutbox()
	}
	if n.leader != nil {
		n.leader.tick(n)
	} else if n.electionDue() {
		n.becomeCandidate()
	}
	if n.leader == nil && n.leaderIndex >= 0 && n.now-n.polledAt >= heartbeatInterval {
		n.pollLeader()
	}
	return n.takeOutbox()
}

// Receive handles a message from another router and returns the messages to send. Messages
// of another plan, or from a router that is not in the plan, are dropped.
func (n *Node) Receive(now int64, from string, m *Message) []Outgoing {
	n.advance(now)
	sender := n.plan.Index(from)
	if sender < 0 || sender == n.self || n.self < 0 || m.Plan != n.plan.Digest {
		return nil
	}
	if n.recovering() {
		n.receiveRecovering(sender, m)
	} else {
		n.receive(sender, m)
	}
	return n.takeOutbox()
}

func (n *Node) receive(from int, message *Message) {
	switch message.Kind {
	case KindPrepare:
		n.receivePrepare(from, message)
	case KindPromise:
		n.receivePromise(from, message)
	case KindReject:
		n.receiveReject(message)
	case KindAccept:
		n.receiveAccept(from, message)
	case KindAccepted:
		if n.leader != nil && message.Term == n.leader.term {
			n.leader.receiveAccepted(n, from, message)
		}
	case KindPoll:
		if n.leader != nil && message.Report != nil {
			n.leader.receivePoll(n, from, message)
		}
	case KindDecided:
		n.receiveDecided(message)
	case KindRecover:
		n.sendRecovered(from, message)
	case KindRecovered: // late reply: this router has recovered already
	case KindCommand:
		if n.leader != nil {
			n.queueCommand(message.Command)
		}
	}
}

// advance sets the node's time, which never decreases.
func (n *Node) advance(now int64) { n.now = max(now, n.now) }

func (n *Node) send(to int, m Message) {
	m.Plan = n.plan.Digest
	n.outbox = append(n.outbox, Outgoing{To: to, Message: &m})
}

func (n *Node) broadcast(m Message) {
	for i := range n.plan.Routers {
		if i != n.self {
			n.send(i, m)
		}
	}
}

func (n *Node) takeOutbox() (out []Outgoing) {
	out, n.outbox = n.outbox, nil
	return out
}
