package rollout

import (
	"math/rand/v2"

	"quilldoor/internal/canary"
)

// Phase is where a rollout goes.
type Phase uint8

// Ways.
const (
	PhaseNone        Phase = iota // there is none
	PhaseForward                  //
	PhasePaused                   // nothing moves until the operator says so
	PhaseRollingBack              // all go back
	PhaseDone                     // the fleet has the new generation; who comes late changes, too
	PhaseRolledBack               // the fleet has the old one
)

var wayNames = [...]string{"none", "forward", "holding", "back", "done", "undone"}

func (w Phase) String() string { return wayNames[min(int(w), len(wayNames)-1)] }

// State is what a majority has decided. A later one has a higher Seq.
type State struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Plan    uint64 `cbor:"2,keyasint,omitempty"` // digest
	Phase   Phase  `cbor:"3,keyasint,omitempty" json:"Way"`
	Stage   int    `cbor:"4,keyasint,omitempty"`
	Batch   Set    `cbor:"5,keyasint,omitempty"` // who changes now, in the way's direction
	Changed Set    `cbor:"6,keyasint,omitempty"` // who has the new generation
	Skipped Set    `cbor:"7,keyasint,omitempty"` // who was silent for long
	Reason  string `cbor:"8,keyasint,omitempty" json:"Why"`
	RunID   uint64 `cbor:"9,keyasint,omitempty" json:"Run"` // tells two rollouts of one plan apart
}

// Report is what a router says of itself.
type Report struct {
	Upgraded       bool          `cbor:"1,keyasint,omitempty" json:"OnNew"`  // it serves with the new generation, settled
	Changing       bool          `cbor:"2,keyasint,omitempty"`               // on its way, in either direction
	FailureReason  string        `cbor:"3,keyasint,omitempty" json:"Failed"` // why the change did not come about, in this run
	Capable        bool          `cbor:"4,keyasint,omitempty" json:"Able"`   // it has the plan, and what the plan names
	Counts         canary.Counts `cbor:"5,keyasint,omitempty"`               // since its first generation, going on over changes
	Restarts       int           `cbor:"6,keyasint,omitempty"`               // unasked
	MemoryMB       float64       `cbor:"7,keyasint,omitempty"`
	RunID          uint64        `cbor:"8,keyasint,omitempty" json:"Run"`     // that Failed and OnNew are of
	ViolatedRules  uint8         `cbor:"9,keyasint,omitempty" json:"Broken"`  // rules that its keeper has seen it break within the last minute, a bit each
	FirstViolation string        `cbor:"10,keyasint,omitempty" json:"Broke"`  // the first of them
	DrainsSeen     int           `cbor:"11,keyasint,omitempty" json:"Drains"` // that its keeper was told of; so are
	PurgesSeen     int           `cbor:"12,keyasint,omitempty" json:"Purges"`
}

// Kind of a message.
type Kind uint8

// Kinds of messages.
const (
	KindPrepare   Kind = 1 + iota // may I lead, in Term?
	KindPromise                   // yes, and this is the latest that I hold
	KindReject                    // no: Term is that of another, or one leads
	KindAccept                    // hold State; Round counts, for the lease
	KindAccepted                  // I do
	KindPoll                      // what is decided? Nonce; with the asker's Report
	KindDecided                   // State, as decided, under a lease that holds
	KindRecover                   // I have forgotten all: what do you hold? Nonce
	KindRecovered                 //
	KindCommand                   // of an operator, passed on to who leads: Word
)

// Message is what routers say to each other.
type Message struct {
	Kind         Kind    `cbor:"1,keyasint"`
	Plan         uint64  `cbor:"2,keyasint"` // digest; of another plan nothing is heard
	Term         uint64  `cbor:"3,keyasint,omitempty"`
	AcceptedTerm uint64  `cbor:"4,keyasint,omitempty"` // term in which State was taken
	State        *State  `cbor:"5,keyasint,omitempty"`
	Round        uint64  `cbor:"6,keyasint,omitempty"`
	Nonce        uint64  `cbor:"7,keyasint,omitempty"`
	Report       *Report `cbor:"8,keyasint,omitempty"`
	Command      Command `cbor:"9,keyasint,omitempty"`
}

// Outgoing is a message to be sent, to a place of the plan.
type Outgoing struct {
	To      int
	Message *Message
}

// Command is an operator's.
type Command uint8

// Commands.
const (
	CommandStart Command = 1 + iota
	CommandPause
	CommandResume
	CommandRollBack
)

// Times of the register, microseconds.
const (
	ms, second = int64(1000), int64(1_000_000)

	beatEvery = 500 * ms
	// leaseFor is how long who leads may act on a round that a majority has answered,
	// from when it was sent; stickFor is how long those who answered promise nothing to
	// another. What lies between covers clocks that drift by a tenth and what was told
	// shortly before the end.
	leaseFor = 2 * second
	// actWithin is how old, by the own clock and from when it was asked for, a word may
	// be on which a router begins to change.
	actWithin = second
	stickFor  = 4 * second
	// standAfter without hearing from who leads a router stands itself, each place in
	// the plan a little later.
	standAfter = 5 * second
	standStep  = 700 * ms
)

// Durable is what must outlast a process, where a disk lasts. A router that has lost it
// takes no part until a majority of the others has told it what they hold.
type Durable struct {
	PromisedTerm uint64 `json:"promised"`
	AcceptedTerm uint64 `json:"held"` // term in which State was taken
	State        State  `json:"state"`
}

// Node is a router's part in the rollout. One goroutine at a time.
type Node struct {
	plan *Plan
	me   int
	dice *rand.Rand
	now  int64

	Durable
	recovering uint64 // nonce of the question; 0: it takes part
	recovered  map[int]*Message
	askedAll   int64

	leads   *lead  // nil: another one leads, or nobody
	leader  int    // who was heard to lead; -1: nobody
	heard   int64  // from who leads
	stuck   int64  // nothing is promised before
	stood   int64  // when it stood last
	term    uint64 // in which it stood last
	above   uint64 // the highest that another has told
	votes   map[int]*Message
	nonce   uint64
	askedAt int64
	view    State // as told last
	viewAt  int64 // when it was asked for; 0: never told
	report  Report
	orders  []Command
	out     []Outgoing
	wrong   wrong
}

// wrong switches guards off. Only tests set it.
type wrong struct {
	noLease       bool // who leads acts on what it decided once
	noMajority    bool // a third is enough
	staleView     bool // what was told is acted on whenever
	anyOfTerm     bool // of a term's states not the latest is gone on from
	promisesFirst bool // who stands refuses all others at once
	turnsAtOnce   bool // who leads does not wait for those it has let go forward
	leadsOn       bool // who leads does not hear that its time is over
	trusts        bool // rules seen broken are no guard
	forgets       bool // a restarted router takes part at once, with nothing
}

// NewNode starts a router's part. Durable nil: it has lost what it knew; fresh: there
// was never a rollout of this plan here or elsewhere.
func NewNode(p *Plan, name string, d *Durable, dice *rand.Rand, now int64) *Node {
	n := &Node{plan: p, me: p.Index(name), dice: dice, now: now, leader: -1, heard: now}
	if d != nil {
		n.Durable = *d
		n.stuck = now + stickFor // the life before may have answered a round just now
	} else {
		n.recovering, n.recovered = dice.Uint64()|1, map[int]*Message{}
	}
	return n
}

func (n *Node) majority() int {
	if n.wrong.noMajority {
		return max(len(n.plan.Routers)/3, 1)
	}
	return len(n.plan.Routers)/2 + 1
}

func (n *Node) send(to int, m Message) {
	m.Plan = n.plan.Digest
	n.out = append(n.out, Outgoing{to, &m})
}

func (n *Node) toAll(m Message) {
	for i := range n.plan.Routers {
		if i != n.me {
			n.send(i, m)
		}
	}
}

// IsLeader tells whether this router leads now, under a lease that holds.
func (n *Node) IsLeader() bool { return n.leads != nil && n.leads.holds(n.now) }

// View is what is known of the rollout, and how old that is; -1: never told.
func (n *Node) View() (State, int64) {
	if n.viewAt == 0 {
		return n.view, -1
	}
	return n.view, n.now - n.viewAt
}

// Target is what this router is to be.
type Target struct {
	New      bool
	MayStart bool // it may begin to change into that now
}

// Target tells it. Forward only on what was asked for just now. Back as well, but for a
// router that hears of nobody any more: where the plan says so it goes back alone, if
// nothing has shown that the new generation is good.
func (n *Node) Target(now int64) Target {
	n.now = max(now, n.now)
	v := n.view
	fresh := n.viewAt > 0 && (n.now-n.viewAt <= actWithin || n.wrong.staleView)
	cut := n.viewAt > 0 && n.now-n.viewAt > int64(n.plan.SilentSeconds*1e6)
	if n.report.Upgraded && cut && v.Phase != PhaseDone && (v.Phase == PhaseRollingBack || n.plan.OnIsolated == "back" && !n.passed()) {
		return Target{false, true}
	}
	switch {
	case v.Phase == PhaseRolledBack:
		return Target{false, true}
	case v.Phase == PhaseRollingBack && v.Batch.Has(n.me):
		return Target{false, fresh}
	case (v.Phase == PhaseForward || v.Phase == PhaseDone) && v.Batch.Has(n.me):
		return Target{true, fresh}
	}
	return Target{n.report.Upgraded, false}
}

// passed tells whether the stage that this router changed in was found good.
func (n *Node) passed() bool {
	return n.view.Stage > 0 && n.plan.ChangedThrough(n.view.Stage-1).Has(n.me)
}

// SetReport tells what the router is and has done.
func (n *Node) SetReport(r Report) {
	if n.report = r; n.leads != nil {
		n.leads.report(n.now, n.me, &n.report)
	}
}

// Command takes an operator's, at any router of the plan.
func (n *Node) Command(now int64, c Command) {
	n.now = max(now, n.now)
	if c == CommandStart {
		n.stood, n.heard = n.now-second, n.now-standAfter-int64(len(n.plan.Routers))*standStep // it stands at once
	}
	n.order(c)
}

// order keeps a few commands until they are done; what comes beyond is lost, and asked
// for again by whoever wants it.
func (n *Node) order(c Command) {
	const most = 8
	if len(n.orders) < most {
		n.orders = append(n.orders, c)
	}
}

// Tick does what time brings. It wants to be called some ten times a second.
func (n *Node) Tick(now int64) []Outgoing {
	n.now = max(now, n.now)
	if n.me < 0 {
		return nil
	}
	switch {
	case n.recovering != 0 && n.wrong.forgets:
		n.recovering = 0
	case n.recovering != 0:
		if n.now-n.askedAll >= beatEvery {
			n.askedAll = n.now
			n.toAll(Message{Kind: KindRecover, Nonce: n.recovering})
		}
		return n.take()
	}
	if n.leads != nil {
		n.leads.tick(n)
	} else if n.now-n.heard > standAfter+int64(n.me)*standStep && n.now-n.stood > standAfter/2+n.dice.Int64N(second) && n.now >= n.stuck && n.wanted() {
		n.stand()
	}
	if n.leads == nil && n.leader >= 0 && n.now-n.askedAt >= beatEvery {
		n.askedAt, n.nonce = n.now, n.dice.Uint64()|1
		r := n.report
		n.send(n.leader, Message{Kind: KindPoll, Nonce: n.nonce, Report: &r})
		for _, c := range n.orders {
			n.send(n.leader, Message{Kind: KindCommand, Command: c})
		}
		n.orders = nil
	}
	return n.take()
}

// wanted tells whether there is anything to lead.
func (n *Node) wanted() bool { return n.State.Phase != PhaseNone || len(n.orders) > 0 }

func (n *Node) take() (out []Outgoing) {
	out, n.out = n.out, nil
	return out
}

// stand asks to lead in a term of its own: terms are told apart by place. It promises
// itself only once a majority has: one that can't be chosen, since the others follow
// somebody, would else refuse that one's word for ever.
func (n *Node) stand() {
	const places = 1024
	n.stood = n.now
	n.term = (max(n.PromisedTerm, n.term, n.above)/places+1)*places + uint64(n.me)
	if n.wrong.promisesFirst {
		n.PromisedTerm = n.term
	}
	n.votes = map[int]*Message{n.me: {AcceptedTerm: n.Durable.AcceptedTerm, State: &n.Durable.State}}
	n.toAll(Message{Kind: KindPrepare, Term: n.term})
	n.count()
}

// count makes this router lead, once a majority has promised.
func (n *Node) count() {
	if n.votes == nil || len(n.votes) < n.majority() || n.term < n.PromisedTerm {
		return
	}
	n.PromisedTerm = n.term
	best := n.votes[n.me]
	for _, v := range n.votes {
		if v.AcceptedTerm > best.AcceptedTerm || v.AcceptedTerm == best.AcceptedTerm && v.State.Seq > best.State.Seq && !n.wrong.anyOfTerm {
			best = v
		}
	}
	n.votes = nil
	n.leads = newLead(n, *best.State)
	n.leader = n.me
	n.leads.tick(n)
}

// follow notes who leads.
func (n *Node) follow(from int) {
	n.leader, n.heard = from, n.now
	if n.leads != nil && from != n.me {
		n.leads = nil
	}
}

// Receive takes a message from a router of the plan.
func (n *Node) Receive(now int64, from string, m *Message) []Outgoing {
	n.now = max(now, n.now)
	at := n.plan.Index(from)
	if at < 0 || at == n.me || n.me < 0 || m.Plan != n.plan.Digest {
		return nil
	}
	if n.recovering != 0 {
		switch {
		case m.Kind == KindRecovered && m.Nonce == n.recovering:
			n.relearn(at, m)
		case m.Kind == KindRecover: // it has lost all, too
			n.send(at, Message{Kind: KindRecovered, Nonce: m.Nonce})
		}
		return n.take()
	}
	switch m.Kind {
	case KindPrepare:
		if m.Term <= n.PromisedTerm || n.now < n.stuck {
			n.send(at, Message{Kind: KindReject, Term: n.PromisedTerm})
			break
		}
		n.PromisedTerm, n.votes, n.leads = m.Term, nil, nil
		s := n.State
		n.send(at, Message{Kind: KindPromise, Term: m.Term, AcceptedTerm: n.Durable.AcceptedTerm, State: &s})
	case KindPromise:
		if n.votes != nil && m.Term == n.term && m.State != nil {
			n.votes[at] = m
			n.count()
		}
	case KindReject:
		if n.above = max(n.above, m.Term); n.leads != nil && m.Term > n.leads.term && !n.wrong.leadsOn {
			n.leads, n.leader = nil, -1 // its time is over
		}
	case KindAccept:
		if m.State == nil || m.Term < n.PromisedTerm || m.Term == n.Durable.AcceptedTerm && m.State.Seq < n.State.Seq {
			n.send(at, Message{Kind: KindReject, Term: n.PromisedTerm})
			break
		}
		n.PromisedTerm, n.Durable.AcceptedTerm, n.State, n.votes = m.Term, m.Term, *m.State, nil
		n.stuck = n.now + stickFor
		n.follow(at)
		n.send(at, Message{Kind: KindAccepted, Term: m.Term, Round: m.Round, Nonce: m.State.Seq})
	case KindAccepted:
		if n.leads != nil && m.Term == n.leads.term {
			n.leads.accepted(n, at, m)
		}
	case KindPoll:
		if n.leads == nil || m.Report == nil {
			break
		}
		n.leads.report(n.now, at, m.Report)
		if n.leads.holds(n.now) || n.wrong.noLease {
			s := n.leads.decided
			if s.Batch.Has(at) && s.Phase != PhaseRollingBack {
				if n.leads.closed() {
					break
				}
				n.leads.told = n.now
			}
			n.send(at, Message{Kind: KindDecided, Nonce: m.Nonce, State: &s})
		}
	case KindDecided:
		if m.Nonce == n.nonce && m.State != nil && (m.State.Seq >= n.view.Seq || m.State.RunID != n.view.RunID) {
			n.view, n.viewAt, n.nonce = *m.State, n.askedAt, 0
		}
	case KindRecover:
		s := n.State
		n.send(at, Message{Kind: KindRecovered, Nonce: m.Nonce, Term: n.PromisedTerm, AcceptedTerm: n.Durable.AcceptedTerm, State: &s})
	case KindCommand:
		if n.leads != nil {
			n.order(m.Command)
		}
	}
	return n.take()
}

// relearn gathers what the others hold, until a majority of the plan has told: any
// majority that promised or took something before has one of them in it. Where all
// others have answered, some of them that they have lost everything, too, nobody is
// left who could hold more.
func (n *Node) relearn(at int, m *Message) {
	n.recovered[at] = m
	told := 0
	for _, r := range n.recovered {
		if r.State != nil {
			told++
		}
	}
	if told < n.majority() && len(n.recovered) < len(n.plan.Routers)-1 {
		return
	}
	for _, r := range n.recovered {
		if r.State == nil {
			continue
		}
		n.PromisedTerm = max(n.PromisedTerm, r.Term)
		if r.AcceptedTerm > n.Durable.AcceptedTerm || r.AcceptedTerm == n.Durable.AcceptedTerm && r.State.Seq > n.State.Seq {
			n.Durable.AcceptedTerm, n.State = r.AcceptedTerm, *r.State
		}
	}
	n.recovering, n.recovered = 0, nil
	n.heard, n.stuck = n.now, n.now+stickFor
}
