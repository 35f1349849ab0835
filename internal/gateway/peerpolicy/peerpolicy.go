// Package peerpolicy decides what a router hands over to routers of another site
// and what it takes from them. It does no I/O and reads no clock: its caller hands
// in the time (microseconds that only go forward) and holds a lock around it.
//
// The module chooses servers, retries and refusals on the side where a txn runs.
// Crossing begins where the module refuses: a refusal says that trying again is
// harmless, so that trying at the other site is, too. docs/gateway.md tells why.
package peerpolicy

import (
	"slices"
)

const ms, second = int64(1000), int64(1_000_000)

// Settings are the gate's figures. Times are microseconds.
type Settings struct {
	Name, Site        string
	MaxRequests       int     // txns across at once, to all peers, and from all peers
	LocalReserve      float64 // share of Most that what comes from peers never takes
	HeartbeatInterval int64   // a beat goes out as often
}

// PeerState is how far a peer is relied on.
type PeerState uint8

// The states of a peer.
const (
	StateDisconnected PeerState = 1 << iota // no connection
	StateProbation                          // connected, not heard of yet
	StateHealthy                            // beats come in time: the only state in which anything is handed over
	StateSuspect                            // a beat is late
	StateDraining                           // it drains
	anyTrust          = StateDisconnected | StateProbation | StateHealthy | StateSuspect | StateDraining
)

func (t PeerState) String() string {
	return map[PeerState]string{StateDisconnected: "away", StateProbation: "trial", StateHealthy: "trusted", StateSuspect: "doubted", StateDraining: "leaving"}[t]
}

type sign uint8

const (
	signUp     sign = iota // a connection stands, its greeting was good
	signBeat               // a beat came
	signLate               // two beats have not come
	signSilent             // five have not: the connection is to be given up
	signDrain              // it said that it drains
	signLost               // the connection has ended
)

// trustTable: two late beats may be chance, five are a cut link or a machine that
// stands still. It harms where a link stalls for long and holds all the same.
var trustTable = []struct {
	in   PeerState
	sign sign
	next PeerState
	do   func(*Controller, *Peer)
}{
	{StateDisconnected, signUp, StateProbation, (*Controller).fresh},
	{StateProbation | StateSuspect, signBeat, StateHealthy, nil},
	{StateHealthy, signLate, StateSuspect, nil},
	{StateProbation | StateHealthy | StateSuspect | StateDraining, signSilent, StateDisconnected, (*Controller).cut},
	{StateProbation | StateHealthy | StateSuspect, signDrain, StateDraining, nil},
	{StateProbation | StateHealthy | StateSuspect | StateDraining, signLost, StateDisconnected, (*Controller).cut},
}

const lateBeats, silentBeats = 2, 5

// MaxSilentHeartbeats is how many beats of silence a peer's txns are worked on for: one less than
// it takes the peer itself, cut off at the same moment, to answer them at home.
const MaxSilentHeartbeats = silentBeats - 1

// Peer is a router of another site as this one sees it.
type Peer struct {
	Name, Site  string
	State       PeerState
	Incarnation uint64 // of its process; a higher one is a restart
	Capacity    int    // txns that it offers to take
	InFlight    int    // txns that are there
	Limit       float64
	cutAt       int64
	heard       int64
	trips       []int64 // round trips of beats, the last samples
	took        []int64 // from handing over to a good answer
	asked       []end   // how the last ones ended
	Counts      PeerCounts
}

// PeerCounts are totals since the start.
type PeerCounts struct {
	Forwarded, Completed, Rejected, Aborted, ConnectionLost, Stale, Late int64
}

type end struct {
	at  int64
	bad bool
}

// Controller is the state: peers, what is across, and what came from there.
type Controller struct {
	set           Settings
	peers         []*Peer // in the order of their names
	out           map[string]*crossing
	in            map[string]*Peer
	home          []end   // how the module ended the last home txns
	inCap         float64 // learned: txns from peers at once
	inAt          int64   // it was cut
	acts          []Action
	InboundCounts InboundCounts
}

// InboundCounts are totals of what came from peers.
type InboundCounts struct{ Taken, Rejected int64 }

// Action is something to do on the sockets.
type Action struct {
	Kind      ActionKind
	Peer      string
	RequestID string
	Outcome   Outcome // of Answer
}

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The actions.
const (
	ActionAnswer     ActionKind = iota // the txn that was handed over ends so
	ActionWithdraw                     // tell the peer that the txn is given up
	ActionDisconnect                   // end the connection to the peer
)

// New makes a gate. Peers are the only ones it ever deals with.
func New(set Settings, peers map[string]string) *Controller {
	g := &Controller{set: set, out: map[string]*crossing{}, in: map[string]*Peer{}, inCap: inFirst}
	for name, site := range peers {
		g.peers = append(g.peers, &Peer{Name: name, Site: site, State: StateDisconnected})
	}
	slices.SortFunc(g.peers, func(a, b *Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return g
}

// Peer finds one by its name; nil: it is none of ours.
func (g *Controller) Peer(name string) *Peer {
	for _, p := range g.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Peers are all of them, by name.
func (g *Controller) Peers() []*Peer { return g.peers }

func (g *Controller) do(a Action) { g.acts = append(g.acts, a) }

// Actions takes what is to be done.
func (g *Controller) Actions() []Action {
	a := g.acts
	g.acts = nil
	return a
}

func (g *Controller) judge(p *Peer, s sign) {
	for _, row := range trustTable {
		if row.in&p.State != 0 && row.sign == s {
			p.State = row.next
			if row.do != nil {
				row.do(g, p)
			}
			return
		}
	}
}

// first is what a peer is handed at once when it has just come: a site that is
// back is not to be stormed with all that was refused meanwhile.
const first = 2

// fresh forgets what a peer was before.
func (g *Controller) fresh(p *Peer) {
	p.Limit, p.Capacity, p.trips, p.took, p.asked = first, 0, nil, nil, nil
}

// cut ends what is out at a peer that is gone.
func (g *Controller) cut(p *Peer) {
	p.Capacity = 0
	g.do(Action{Kind: ActionDisconnect, Peer: p.Name})
	var ids []string
	for id, c := range g.out {
		if c.peer == p {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.Counts.ConnectionLost++
		g.step(id, inCut, 0)
	}
}

// Connected takes that a connection to a peer stands. False: this is the greeting of a
// process that was there before a later one.
func (g *Controller) Connected(now int64, name string, incarnation uint64) bool {
	p := g.Peer(name)
	if p == nil || incarnation < p.Incarnation {
		return false
	}
	if p.State != StateDisconnected { // a new connection takes the old one's place
		g.judge(p, signLost)
	}
	p.Incarnation, p.heard = incarnation, now
	g.judge(p, signUp)
	return true
}

// Disconnected takes that the connection to a peer has ended.
func (g *Controller) Disconnected(name string) {
	if p := g.Peer(name); p != nil {
		g.judge(p, signLost)
	}
}

// Heartbeat takes a peer's beat: what it offers, whether it drains, and the round trip
// of our own beat that it echoes (0: none yet).
func (g *Controller) Heartbeat(now int64, name string, room int, drains bool, trip int64) {
	p := g.Peer(name)
	if p == nil || p.State == StateDisconnected {
		return
	}
	p.heard, p.Capacity = now, max(room, 0)
	if trip > 0 {
		p.trips = sample(p.trips, trip)
	}
	if drains {
		g.judge(p, signDrain)
		return
	}
	g.judge(p, signBeat)
}

// Tick does what time brings: silent peers, txns whose time is over. It is to be
// called four times a beat.
func (g *Controller) Tick(now int64) {
	for _, p := range g.peers {
		switch silence := now - p.heard; {
		case p.State == StateDisconnected:
		case silence > silentBeats*g.set.HeartbeatInterval:
			g.judge(p, signSilent)
		case silence > lateBeats*g.set.HeartbeatInterval:
			g.judge(p, signLate)
		}
	}
	var due []string
	for id, c := range g.out {
		if now >= c.deadline {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		c := g.out[id]
		c.peer.Counts.Late++
		g.learn(now, c.peer, false)
		g.do(Action{Kind: ActionWithdraw, Peer: c.peer.Name, RequestID: id})
		g.step(id, inDue, 0)
	}
}

const keepSamples = 32

func sample(list []int64, v int64) []int64 {
	if len(list) >= keepSamples {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

func quantile(list []int64, q float64, without int64) int64 {
	if len(list) == 0 {
		return without
	}
	s := slices.Sorted(slices.Values(list))
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

func note(list []end, now int64, bad bool) []end {
	if len(list) >= keepSamples {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, end{now, bad})
}

// learn moves a peer's limit: up by one for each round of good answers while half
// of it is used, down by 30% when a quarter of the last eight ended badly, then
// not again for a round.
func (g *Controller) learn(now int64, p *Peer, good bool) {
	const look, round = 8, 200 * ms
	p.asked = note(p.asked, now, !good)
	bad := 0
	for i := len(p.asked) - 1; i >= 0 && i >= len(p.asked)-look; i-- {
		if p.asked[i].bad {
			bad++
		}
	}
	switch {
	case good && float64(p.InFlight)+1 >= p.Limit/2:
		p.Limit = min(p.Limit+1/p.Limit, float64(g.set.MaxRequests))
	case !good && 4*bad >= look && now-p.cutAt > round:
		p.cutAt = now
		p.Limit = max(p.Limit*0.7, 1)
	}
}

// ---- What goes over ----

// Effect of a remap rule, as the settings word it.
type Effect uint8

// Effects.
const (
	EffectIdempotent Effect = iota
	EffectIdempotencyKey
	EffectUnsafe
)

// Outcome is how a txn that was handed over ends for its client.
type Outcome uint8

// Outcomes.
const (
	OutcomeNone Outcome = iota
	OutcomeCompleted
	OutcomeRejected
	OutcomeAborted
)

// Request is a txn that the module has refused.
type Request struct {
	RequestID string
	Effect    Effect
	NeverRan  bool // no hop of it can have run
	Deadline  int64
	Route     []string // routers that it has come through, the first one first
}

// Reason says why a txn was not handed over, or was turned away.
type Reason uint8

// Reasons.
const (
	ReasonOK Reason = iota
	ReasonMaybeExecuted
	ReasonNoTime
	ReasonNoPeer
	ReasonNoCapacity
	ReasonRoutingLoop
	ReasonTooMany
	ReasonLocalPriority
	ReasonDuplicate
	reasons
)

func (r Reason) String() string {
	return [reasons]string{"good", "may_have_run", "no_time", "no_peer", "no_room", "circles", "too_many", "home_first", "twin"}[r]
}

type state uint8

const (
	chosen state = 1 << iota // not a byte of it is on the connection
	out                      // it may have come whole
	over
)

type input uint8

const (
	inWritten   input = iota
	inUnsent          // it was not written, and will not be
	inRefused         // the far side proves that it never ran there
	inCompleted       // its answer came whole, and is young enough
	inStale           // its answer is older than a purge known here
	inFailed          // the far side says that it failed
	inCut             // the connection has ended
	inDue             // its time is over
	inLeft            // its client has gone
)

type crossing struct {
	peer     *Peer
	effect   Effect
	deadline int64
	sent     int64
	state    state
}

// outTable says what becomes of a txn that was handed over, by whether it may be
// tried again once it may have run: a repeatable one is rejected where it stands,
// so that its client may; any other is aborted. Nothing is ever handed over twice.
var outTable = []struct {
	in         state
	what       input
	next       state
	repeatable Outcome
	other      Outcome
}{
	{chosen, inWritten, out, OutcomeNone, OutcomeNone},
	{chosen, inUnsent, over, OutcomeRejected, OutcomeRejected},
	{chosen, inCut, over, OutcomeRejected, OutcomeRejected},
	{chosen, inDue, over, OutcomeRejected, OutcomeRejected},
	{chosen | out, inRefused, over, OutcomeRejected, OutcomeRejected},
	{out, inCompleted, over, OutcomeCompleted, OutcomeCompleted},
	{out, inStale, over, OutcomeRejected, OutcomeAborted},
	{out, inFailed, over, OutcomeAborted, OutcomeAborted},
	{out, inCut, over, OutcomeRejected, OutcomeAborted},
	{out, inDue, over, OutcomeAborted, OutcomeAborted},
	{chosen | out, inLeft, over, OutcomeNone, OutcomeNone},
}

func (g *Controller) step(id string, what input, now int64) {
	c := g.out[id]
	if c == nil {
		return
	}
	for _, row := range outTable {
		if row.in&c.state == 0 || row.what != what {
			continue
		}
		if c.state = row.next; c.state != over {
			return
		}
		delete(g.out, id)
		c.peer.InFlight--
		end := row.other
		if c.effect == EffectIdempotent {
			end = row.repeatable
		}
		if end != OutcomeNone {
			g.do(Action{Kind: ActionAnswer, Peer: c.peer.Name, RequestID: id, Outcome: end})
		}
		return
	}
}

// Forward chooses the peer to which a refused txn is handed over. It is the one
// whose share of its room in use is least, and where an answer can be back in
// time. A txn that came from another site goes no further: it would circle.
func (g *Controller) Forward(now int64, a *Request) (*Peer, Reason) {
	switch {
	case !a.NeverRan && a.Effect != EffectIdempotent:
		return nil, ReasonMaybeExecuted
	case len(a.Route) > 0:
		return nil, ReasonRoutingLoop
	case g.out[a.RequestID] != nil:
		return nil, ReasonDuplicate
	case len(g.out) >= g.set.MaxRequests:
		return nil, ReasonTooMany
	}
	var best *Peer
	reason := ReasonNoPeer
	least := 0.0
	for _, p := range g.peers {
		if p.State != StateHealthy || p.Site == g.set.Site {
			continue
		}
		// Three quarters of the answers came within that; none yet: one trip and a half.
		need := quantile(p.took, 0.75, quantile(p.trips, 0.5, 50*ms)*3/2)
		most := min(p.Limit, float64(p.Capacity))
		switch {
		case now+need >= a.Deadline-g.margin():
			if reason == ReasonNoPeer {
				reason = ReasonNoTime
			}
		case float64(p.InFlight) >= most:
			reason = ReasonNoCapacity
		case best == nil || float64(p.InFlight)/most < least:
			best, least = p, float64(p.InFlight)/most
		}
	}
	if best == nil {
		return nil, reason
	}
	g.out[a.RequestID] = &crossing{peer: best, effect: a.Effect, deadline: a.Deadline - g.margin(), sent: now, state: chosen}
	best.InFlight++
	best.Counts.Forwarded++
	return best, ReasonOK
}

// margin is what Tick, called four times a beat, may come late, and an answer's
// way to its client: a txn is given up so long before its time is over.
func (g *Controller) margin() int64 { return g.set.HeartbeatInterval/4 + 10*ms }

// Budget is what a txn that is handed over now has over there: here it is given up when
// its deadline comes, and an answer takes half a round trip.
func (g *Controller) Budget(now int64, id string) int64 {
	c := g.out[id]
	if c == nil {
		return 0
	}
	return max(c.deadline-now-quantile(c.peer.trips, 0.5, 0)/2, 0)
}

// MarkSent takes that the txn's request goes onto the connection: from now on it
// may have come whole. False: it has ended, or was written already, and must not
// be written.
func (g *Controller) MarkSent(id string) bool {
	c := g.out[id]
	if c == nil || c.state != chosen {
		return false
	}
	g.step(id, inWritten, 0)
	return true
}

// Unsent takes that it was not written and will not be.
func (g *Controller) Unsent(id string) { g.step(id, inUnsent, 0) }

// ClientGone takes that its client has gone.
func (g *Controller) ClientGone(id string) {
	if c := g.out[id]; c != nil {
		g.do(Action{Kind: ActionWithdraw, Peer: c.peer.Name, RequestID: id})
		g.step(id, inLeft, 0)
	}
}

// PeerAnswer is what a peer answers.
type PeerAnswer struct {
	Outcome           Outcome
	NeverRan          bool  // of Rejected: it never ran there
	IssuedMillis      int64 // of Completed: Unix ms at which the origin gave the copy out; 0: no copy
	LatestPurgeMillis int64 // the youngest purge that binds it here, Unix ms; 0: none
}

// HandleAnswer takes a peer's answer to a txn. A second one, or one for a txn that has
// ended, changes nothing.
func (g *Controller) HandleAnswer(now int64, name, id string, f PeerAnswer) {
	c := g.out[id]
	if c == nil || c.peer.Name != name || c.state != out {
		return
	}
	p := c.peer
	what := inFailed
	switch {
	case f.Outcome == OutcomeCompleted && f.IssuedMillis > 0 && f.IssuedMillis <= f.LatestPurgeMillis:
		what = inStale
		p.Counts.Stale++
	case f.Outcome == OutcomeCompleted:
		what = inCompleted
		p.took = sample(p.took, now-c.sent)
		p.Counts.Completed++
	case f.Outcome == OutcomeRejected && f.NeverRan:
		what = inRefused
		p.Counts.Rejected++
	case f.Outcome == OutcomeRejected && c.effect == EffectIdempotent:
		what = inRefused // it may have run, and may run again
		p.Counts.Rejected++
	default:
		p.Counts.Aborted++
	}
	g.learn(now, p, what == inCompleted)
	g.step(id, what, now)
}

// ---- What comes ----

// inFirst is what is taken from peers at once before anything is known.
const inFirst = 4

// Admit decides whether a txn of a peer is taken. A turned away one never ran.
func (g *Controller) Admit(now int64, name, id string, route []string, delay int64) Reason {
	p := g.Peer(name)
	reason := ReasonOK
	switch {
	case p == nil || p.State == StateDraining:
		reason = ReasonNoPeer
	case len(route) != 1 || route[0] != name || slices.Contains(route, g.set.Name):
		reason = ReasonRoutingLoop // one hop between sites, by who says it
	case g.in[key(name, id)] != nil:
		reason = ReasonDuplicate
	case delay > staleAfter:
		reason = ReasonNoTime // it lay in a buffer, of ours or theirs: it may be over there
	case float64(len(g.in)) >= min(g.inCap, (1-g.set.LocalReserve)*float64(g.set.MaxRequests)):
		reason = ReasonNoCapacity
	case g.pressed(now):
		reason = ReasonLocalPriority
	}
	if reason != ReasonOK {
		g.InboundCounts.Rejected++
		return reason
	}
	g.in[key(name, id)] = p
	g.InboundCounts.Taken++
	return ReasonOK
}

// staleAfter is how much longer than the quickest a request may have been under
// way: a side that stood still for longer may wake to txns that have ended.
const staleAfter = 500 * ms

func key(peer, id string) string { return peer + "/" + id }

// FinishInbound takes how the module ended a txn of a peer.
func (g *Controller) FinishInbound(now int64, name, id string, completed bool) {
	delete(g.in, key(name, id))
	switch {
	case completed && float64(len(g.in))+1 >= g.inCap/2:
		g.inCap = min(g.inCap+1/g.inCap, float64(g.set.MaxRequests))
	case !completed && now-g.inAt > 200*ms:
		g.inAt = now
		g.inCap = max(g.inCap*0.7, 1)
	}
}

// ObserveLocal takes how the module ended a txn of this site.
func (g *Controller) ObserveLocal(now int64, refused bool) {
	g.home = note(g.home, now, refused)
	if refused && now-g.inAt > 200*ms { // what came from elsewhere takes home's room
		g.inAt = now
		g.inCap = max(g.inCap*0.7, 1)
	}
}

// pressed tells whether home txns are refused here: an eighth of the last within
// a second.
func (g *Controller) pressed(now int64) bool {
	bad, all := 0, 0
	for _, e := range g.home {
		if e.at > now-second {
			all++
			if e.bad {
				bad++
			}
		}
	}
	return all >= 8 && 8*bad >= all
}

// OfferedCapacity is the room that a beat tells peers of.
func (g *Controller) OfferedCapacity(now int64) int {
	if g.pressed(now) {
		return 0
	}
	return max(int(min(g.inCap, (1-g.set.LocalReserve)*float64(g.set.MaxRequests)))-len(g.in), 0)
}

// InboundInFlight tells how many txns of peers are here, Out how many are across.
func (g *Controller) InboundInFlight() int   { return len(g.in) }
func (g *Controller) ForwardedInFlight() int { return len(g.out) }

// IsForwarded tells whether a txn is across.
func (g *Controller) IsForwarded(id string) bool { return g.out[id] != nil }

// Withdrawn takes back a txn of which it is proven after all that no byte went
// out: the connection had no room for it. It ends without an answer from here.
func (g *Controller) Withdrawn(id string) {
	if c := g.out[id]; c != nil {
		delete(g.out, id)
		c.peer.InFlight--
	}
}
