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
	Name, Site string
	Most       int     // txns across at once, to all peers, and from all peers
	Reserve    float64 // share of Most that what comes from peers never takes
	Beat       int64   // a beat goes out as often
}

// Trust is how far a peer is relied on.
type Trust uint8

// The states of a peer.
const (
	Away     Trust = 1 << iota // no connection
	Trial                      // connected, not heard of yet
	Trusted                    // beats come in time: the only state in which anything is handed over
	Doubted                    // a beat is late
	Leaving                    // it drains
	anyTrust = Away | Trial | Trusted | Doubted | Leaving
)

func (t Trust) String() string {
	return map[Trust]string{Away: "away", Trial: "trial", Trusted: "trusted", Doubted: "doubted", Leaving: "leaving"}[t]
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
	in   Trust
	sign sign
	next Trust
	do   func(*Gate, *Peer)
}{
	{Away, signUp, Trial, (*Gate).fresh},
	{Trial | Doubted, signBeat, Trusted, nil},
	{Trusted, signLate, Doubted, nil},
	{Trial | Trusted | Doubted | Leaving, signSilent, Away, (*Gate).cut},
	{Trial | Trusted | Doubted, signDrain, Leaving, nil},
	{Trial | Trusted | Doubted | Leaving, signLost, Away, (*Gate).cut},
}

const lateBeats, silentBeats = 2, 5

// Patience is how many beats of silence a peer's txns are worked on for: one less than
// it takes the peer itself, cut off at the same moment, to answer them at home.
const Patience = silentBeats - 1

// Peer is a router of another site as this one sees it.
type Peer struct {
	Name, Site  string
	Trust       Trust
	Incarnation uint64 // of its process; a higher one is a restart
	Room        int    // txns that it offers to take
	Out         int    // txns that are there
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
	Over, Completed, Refused, Aborted, Cut, Stale, Late int64
}

type end struct {
	at  int64
	bad bool
}

// Gate is the state: peers, what is across, and what came from there.
type Gate struct {
	set   Settings
	peers []*Peer // in the order of their names
	out   map[string]*crossing
	in    map[string]*Peer
	home  []end   // how the module ended the last home txns
	inCap float64 // learned: txns from peers at once
	inAt  int64   // it was cut
	acts  []Action
	Moved Counts
}

// Counts are totals of what came from peers.
type Counts struct{ Taken, Turned int64 }

// Action is something to do on the sockets.
type Action struct {
	Kind ActionKind
	Peer string
	Txn  string
	End  Outcome // of Answer
}

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Answer   ActionKind = iota // the txn that was handed over ends so
	Withdraw                   // tell the peer that the txn is given up
	GiveUp                     // end the connection to the peer
)

// New makes a gate. Peers are the only ones it ever deals with.
func New(set Settings, peers map[string]string) *Gate {
	g := &Gate{set: set, out: map[string]*crossing{}, in: map[string]*Peer{}, inCap: inFirst}
	for name, site := range peers {
		g.peers = append(g.peers, &Peer{Name: name, Site: site, Trust: Away})
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
func (g *Gate) Peer(name string) *Peer {
	for _, p := range g.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Peers are all of them, by name.
func (g *Gate) Peers() []*Peer { return g.peers }

func (g *Gate) do(a Action) { g.acts = append(g.acts, a) }

// Actions takes what is to be done.
func (g *Gate) Actions() []Action {
	a := g.acts
	g.acts = nil
	return a
}

func (g *Gate) judge(p *Peer, s sign) {
	for _, row := range trustTable {
		if row.in&p.Trust != 0 && row.sign == s {
			p.Trust = row.next
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
func (g *Gate) fresh(p *Peer) {
	p.Limit, p.Room, p.trips, p.took, p.asked = first, 0, nil, nil, nil
}

// cut ends what is out at a peer that is gone.
func (g *Gate) cut(p *Peer) {
	p.Room = 0
	g.do(Action{Kind: GiveUp, Peer: p.Name})
	var ids []string
	for id, c := range g.out {
		if c.peer == p {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.Counts.Cut++
		g.step(id, inCut, 0)
	}
}

// Up takes that a connection to a peer stands. False: this is the greeting of a
// process that was there before a later one.
func (g *Gate) Up(now int64, name string, incarnation uint64) bool {
	p := g.Peer(name)
	if p == nil || incarnation < p.Incarnation {
		return false
	}
	if p.Trust != Away { // a new connection takes the old one's place
		g.judge(p, signLost)
	}
	p.Incarnation, p.heard = incarnation, now
	g.judge(p, signUp)
	return true
}

// Lost takes that the connection to a peer has ended.
func (g *Gate) Lost(name string) {
	if p := g.Peer(name); p != nil {
		g.judge(p, signLost)
	}
}

// Beat takes a peer's beat: what it offers, whether it drains, and the round trip
// of our own beat that it echoes (0: none yet).
func (g *Gate) Beat(now int64, name string, room int, drains bool, trip int64) {
	p := g.Peer(name)
	if p == nil || p.Trust == Away {
		return
	}
	p.heard, p.Room = now, max(room, 0)
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
func (g *Gate) Tick(now int64) {
	for _, p := range g.peers {
		switch silence := now - p.heard; {
		case p.Trust == Away:
		case silence > silentBeats*g.set.Beat:
			g.judge(p, signSilent)
		case silence > lateBeats*g.set.Beat:
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
		g.do(Action{Kind: Withdraw, Peer: c.peer.Name, Txn: id})
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
func (g *Gate) learn(now int64, p *Peer, good bool) {
	const look, round = 8, 200 * ms
	p.asked = note(p.asked, now, !good)
	bad := 0
	for i := len(p.asked) - 1; i >= 0 && i >= len(p.asked)-look; i-- {
		if p.asked[i].bad {
			bad++
		}
	}
	switch {
	case good && float64(p.Out)+1 >= p.Limit/2:
		p.Limit = min(p.Limit+1/p.Limit, float64(g.set.Most))
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
	Safe Effect = iota
	Keyed
	Unsafe
)

// Outcome is how a txn that was handed over ends for its client.
type Outcome uint8

// Outcomes.
const (
	None Outcome = iota
	Completed
	Rejected
	Aborted
)

// Ask is a txn that the module has refused.
type Ask struct {
	Txn      string
	Effect   Effect
	Clean    bool // no hop of it can have run
	Deadline int64
	Route    []string // routers that it has come through, the first one first
}

// Reason says why a txn was not handed over, or was turned away.
type Reason uint8

// Reasons.
const (
	Good Reason = iota
	MayHaveRun
	NoTime
	NoPeer
	NoRoom
	Circles
	TooMany
	HomeFirst
	Twin
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
	{chosen, inWritten, out, None, None},
	{chosen, inUnsent, over, Rejected, Rejected},
	{chosen, inCut, over, Rejected, Rejected},
	{chosen, inDue, over, Rejected, Rejected},
	{chosen | out, inRefused, over, Rejected, Rejected},
	{out, inCompleted, over, Completed, Completed},
	{out, inStale, over, Rejected, Aborted},
	{out, inFailed, over, Aborted, Aborted},
	{out, inCut, over, Rejected, Aborted},
	{out, inDue, over, Aborted, Aborted},
	{chosen | out, inLeft, over, None, None},
}

func (g *Gate) step(id string, what input, now int64) {
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
		c.peer.Out--
		end := row.other
		if c.effect == Safe {
			end = row.repeatable
		}
		if end != None {
			g.do(Action{Kind: Answer, Peer: c.peer.Name, Txn: id, End: end})
		}
		return
	}
}

// Cross chooses the peer to which a refused txn is handed over. It is the one
// whose share of its room in use is least, and where an answer can be back in
// time. A txn that came from another site goes no further: it would circle.
func (g *Gate) Cross(now int64, a *Ask) (*Peer, Reason) {
	switch {
	case !a.Clean && a.Effect != Safe:
		return nil, MayHaveRun
	case len(a.Route) > 0:
		return nil, Circles
	case g.out[a.Txn] != nil:
		return nil, Twin
	case len(g.out) >= g.set.Most:
		return nil, TooMany
	}
	var best *Peer
	reason := NoPeer
	least := 0.0
	for _, p := range g.peers {
		if p.Trust != Trusted || p.Site == g.set.Site {
			continue
		}
		// Three quarters of the answers came within that; none yet: one trip and a half.
		need := quantile(p.took, 0.75, quantile(p.trips, 0.5, 50*ms)*3/2)
		most := min(p.Limit, float64(p.Room))
		switch {
		case now+need >= a.Deadline-g.margin():
			if reason == NoPeer {
				reason = NoTime
			}
		case float64(p.Out) >= most:
			reason = NoRoom
		case best == nil || float64(p.Out)/most < least:
			best, least = p, float64(p.Out)/most
		}
	}
	if best == nil {
		return nil, reason
	}
	g.out[a.Txn] = &crossing{peer: best, effect: a.Effect, deadline: a.Deadline - g.margin(), sent: now, state: chosen}
	best.Out++
	best.Counts.Over++
	return best, Good
}

// margin is what Tick, called four times a beat, may come late, and an answer's
// way to its client: a txn is given up so long before its time is over.
func (g *Gate) margin() int64 { return g.set.Beat/4 + 10*ms }

// Budget is what a txn that is handed over now has over there: here it is given up when
// its deadline comes, and an answer takes half a round trip.
func (g *Gate) Budget(now int64, id string) int64 {
	c := g.out[id]
	if c == nil {
		return 0
	}
	return max(c.deadline-now-quantile(c.peer.trips, 0.5, 0)/2, 0)
}

// Written takes that the txn's request goes onto the connection: from now on it
// may have come whole. False: it has ended, or was written already, and must not
// be written.
func (g *Gate) Written(id string) bool {
	c := g.out[id]
	if c == nil || c.state != chosen {
		return false
	}
	g.step(id, inWritten, 0)
	return true
}

// Unsent takes that it was not written and will not be.
func (g *Gate) Unsent(id string) { g.step(id, inUnsent, 0) }

// Left takes that its client has gone.
func (g *Gate) Left(id string) {
	if c := g.out[id]; c != nil {
		g.do(Action{Kind: Withdraw, Peer: c.peer.Name, Txn: id})
		g.step(id, inLeft, 0)
	}
}

// Far is what a peer answers.
type Far struct {
	End    Outcome
	Proof  bool  // of Rejected: it never ran there
	Issued int64 // of Completed: Unix ms at which the origin gave the copy out; 0: no copy
	Least  int64 // the youngest purge that binds it here, Unix ms; 0: none
}

// Returned takes a peer's answer to a txn. A second one, or one for a txn that has
// ended, changes nothing.
func (g *Gate) Returned(now int64, name, id string, f Far) {
	c := g.out[id]
	if c == nil || c.peer.Name != name || c.state != out {
		return
	}
	p := c.peer
	what := inFailed
	switch {
	case f.End == Completed && f.Issued > 0 && f.Issued <= f.Least:
		what = inStale
		p.Counts.Stale++
	case f.End == Completed:
		what = inCompleted
		p.took = sample(p.took, now-c.sent)
		p.Counts.Completed++
	case f.End == Rejected && f.Proof:
		what = inRefused
		p.Counts.Refused++
	case f.End == Rejected && c.effect == Safe:
		what = inRefused // it may have run, and may run again
		p.Counts.Refused++
	default:
		p.Counts.Aborted++
	}
	g.learn(now, p, what == inCompleted)
	g.step(id, what, now)
}

// ---- What comes ----

// inFirst is what is taken from peers at once before anything is known.
const inFirst = 4

// Arrive decides whether a txn of a peer is taken. A turned away one never ran.
func (g *Gate) Arrive(now int64, name, id string, route []string, delay int64) Reason {
	p := g.Peer(name)
	reason := Good
	switch {
	case p == nil || p.Trust == Leaving:
		reason = NoPeer
	case len(route) != 1 || route[0] != name || slices.Contains(route, g.set.Name):
		reason = Circles // one hop between sites, by who says it
	case g.in[key(name, id)] != nil:
		reason = Twin
	case delay > staleAfter:
		reason = NoTime // it lay in a buffer, of ours or theirs: it may be over there
	case float64(len(g.in)) >= min(g.inCap, (1-g.set.Reserve)*float64(g.set.Most)):
		reason = NoRoom
	case g.pressed(now):
		reason = HomeFirst
	}
	if reason != Good {
		g.Moved.Turned++
		return reason
	}
	g.in[key(name, id)] = p
	g.Moved.Taken++
	return Good
}

// staleAfter is how much longer than the quickest a request may have been under
// way: a side that stood still for longer may wake to txns that have ended.
const staleAfter = 500 * ms

func key(peer, id string) string { return peer + "/" + id }

// Served takes how the module ended a txn of a peer.
func (g *Gate) Served(now int64, name, id string, completed bool) {
	delete(g.in, key(name, id))
	switch {
	case completed && float64(len(g.in))+1 >= g.inCap/2:
		g.inCap = min(g.inCap+1/g.inCap, float64(g.set.Most))
	case !completed && now-g.inAt > 200*ms:
		g.inAt = now
		g.inCap = max(g.inCap*0.7, 1)
	}
}

// Home takes how the module ended a txn of this site.
func (g *Gate) Home(now int64, refused bool) {
	g.home = note(g.home, now, refused)
	if refused && now-g.inAt > 200*ms { // what came from elsewhere takes home's room
		g.inAt = now
		g.inCap = max(g.inCap*0.7, 1)
	}
}

// pressed tells whether home txns are refused here: an eighth of the last within
// a second.
func (g *Gate) pressed(now int64) bool {
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

// Offer is the room that a beat tells peers of.
func (g *Gate) Offer(now int64) int {
	if g.pressed(now) {
		return 0
	}
	return max(int(min(g.inCap, (1-g.set.Reserve)*float64(g.set.Most)))-len(g.in), 0)
}

// In tells how many txns of peers are here, Out how many are across.
func (g *Gate) In() int  { return len(g.in) }
func (g *Gate) Out() int { return len(g.out) }

// Has tells whether a txn is across.
func (g *Gate) Has(id string) bool { return g.out[id] != nil }

// Withdrawn takes back a txn of which it is proven after all that no byte went
// out: the connection had no room for it. It ends without an answer from here.
func (g *Gate) Withdrawn(id string) {
	if c := g.out[id]; c != nil {
		delete(g.out, id)
		c.peer.Out--
	}
}
