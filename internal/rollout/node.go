package rollout

import "math/rand/v2"

// Node is one router's part in the rollout: acceptor, follower, and at times candidate
// or leader. It is used by one goroutine at a time.
type Node struct {
	plan   *Plan
	self   int // index in the plan; -1: not one of its routers
	random *rand.Rand
	now    int64
	checks safetyChecks

	// The acceptor (register.go) and its recovery.
	Durable
	noPromiseUntil  int64            // a leader may hold a lease that rests on this router
	recoveryNonce   uint64           // 0: not recovering
	recoveryReplies map[int]*Message // by router
	recoveryAskedAt int64

	// The candidate (election.go).
	candidateTerm   uint64
	candidateSince  int64
	highestSeenTerm uint64           // from rejections
	promises        map[int]*Message // by router; nil: not a candidate

	// The leader (leader.go); nil: another router leads, or none.
	leader *leader

	// The follower (follower.go).
	leaderIndex   int // router last heard to lead; -1: none
	leaderHeardAt int64
	pollNonce     uint64 // of the open poll
	polledAt      int64
	view          State // last decided state received from the leader
	viewAt        int64 // when it was polled for; 0: never
	report        Report
	commands      []Command // for the leader

	outbox []Outgoing
}

// NewNode returns the part of the router with this name. A nil Durable means that the
// router has lost what it stored and must recover; a zero one, that no router of the
// site has ever run this plan. The random source spreads elections and makes nonces.
func NewNode(p *Plan, name string, d *Durable, random *rand.Rand, now int64) *Node {
	n := &Node{
		plan: p, self: p.Index(name), random: random, now: now, checks: defaultSafetyChecks(),
		leaderIndex: -1, leaderHeardAt: now,
	}
	if d != nil {
		n.Durable = *d
		n.noPromiseUntil = now + promiseHoldoff // it may have accepted a round just before it stopped
		return n
	}
	n.recoveryNonce = n.newNonce()
	n.recoveryReplies = map[int]*Message{}
	return n
}

// newNonce returns a random number other than 0.
func (n *Node) newNonce() uint64 { return n.random.Uint64() | 1 }

func (n *Node) quorum() int { return n.checks.quorum(len(n.plan.Routers)) }

// IsLeader reports whether this router leads now, under a lease that holds.
func (n *Node) IsLeader() bool { return n.leader != nil && n.leader.holdsLease(n) }

// SetReport takes what the router is and has done.
func (n *Node) SetReport(r Report) {
	n.report = r
	if n.leader != nil {
		n.leader.setReport(n.now, n.self, &n.report)
	}
}

// Command takes an operator's command, at any router of the plan.
func (n *Node) Command(now int64, c Command) {
	n.advance(now)
	if c == CommandStart {
		// There may be no leader yet: this router need not wait for its silence before it becomes a candidate.
		n.candidateSince = n.now - second
		n.leaderHeardAt = n.now - electionTimeout - int64(len(n.plan.Routers))*electionStagger
	}
	n.queueCommand(c)
}

// queueCommand drops commands beyond a few: their operators repeat them.
func (n *Node) queueCommand(c Command) {
	const maxCommands = 8
	if len(n.commands) < maxCommands {
		n.commands = append(n.commands, c)
	}
}

// Tick does what is due and returns the messages to send. Call it some ten times a second.
func (n *Node) Tick(now int64) []Outgoing {
	n.advance(now)
	if n.self < 0 {
		return nil
	}
	if n.recovering() {
		n.askForRecovery()
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

// Receive takes a message from a router of the plan and returns the messages to send.
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
		n.answerRecovery(from, message)
	case KindRecovered: // recovered already
	case KindCommand:
		if n.leader != nil {
			n.queueCommand(message.Command)
		}
	}
}

// advance moves the node's time, which never goes back.
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
