// Package policy holds every decision of a quilldoor router. New starts an instance from its settings and
// seed; Handle takes one event with the clock (whole microseconds) and appends the actions it decides on, in
// order. The module does no I/O, reads no clock and starts no goroutine. Its interface stands in types.go;
// docs/design.md tells what follows the paper.
package policy

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"quilldoor/internal/tinylfu"
)

const ms, sec = int64(1000), int64(1000 * 1000)

// listCap bounds what a router remembers of one edge cache: longer lists hardly filled, 32 kept too little.
// It is divided by the root of the location's routers (simulated; see docs/design.md).
const listCap = 64

// admit is the design's rule: the rank at which a cache shall keep the object.
func (r *Router) admit(s *server, h uint64) int {
	if i := slices.Index(s.kept, h); i >= 0 {
		s.kept = slices.Delete(s.kept, i, i+1)
	} else if len(s.kept) >= r.listCap {
		if r.sketch.Estimate(h) <= r.sketch.Estimate(s.kept[0]) {
			return 0
		}
		s.kept = slices.Delete(s.kept, 0, 1)
	}
	s.kept = append(s.kept, h)
	return 2 // the middle rank
}

// hash is FNV-1a with a final mix: the same at every router.
func hash(text string, more ...uint64) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	for _, m := range more {
		h = (h ^ m) * 1099511628211
	}
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// ---- Servers and their health ----

type health uint8

const (
	up health = 1 << iota
	doubt
	down
	trial
	always = up | doubt | down | trial
)

type sign uint8

const (
	signGood   sign = iota // it answered, whatever it said
	signBad                // refused, broke off or let a probe run out
	signSilent             // said nothing for far longer than it used to
	signLate               // its fills are late, those of others are not
	signDue                // its time away is over
	signBorn               // the list tells of a new start
	signNone               // tells nothing of the server
)

// healthTable judges by outcomes alone, whatever their cause. One bad sign may be chance; another a moment on
// with nothing good between, or silence, are not. It harms where a server fails so and is well: it rests.
var healthTable = []struct {
	in   health
	sign sign
	next health
	do   func(*Router, *server)
}{
	{up, signBad, doubt, nil},
	{up, signSilent, doubt, (*Router).ask},
	{doubt | trial, signBad, down, (*Router).rest},
	{doubt | trial, signSilent, down, (*Router).rest},
	{up | doubt | trial, signLate, down, (*Router).rest},
	{down, signDue, trial, (*Router).ask},
	{doubt, signGood, up, nil},
	{down | trial, signGood, up, (*Router).back},
	{always, signBorn, up, (*Router).back},
}

func (r *Router) judge(s *server, sign sign) {
	const moment = 100 * ms // several answers of a busy server; hops that end together are one sign
	switch {
	case s == nil || sign == signBad && s.health == doubt && r.now < s.due:
		return
	case sign == signBad && s.health == up:
		s.due = r.now + moment
	case sign == signGood:
		s.waiting = r.now
	}
	for _, row := range healthTable {
		if row.in&s.health != 0 && row.sign == sign {
			s.health = row.next
			if row.do != nil {
				row.do(r, s)
			}
			return
		}
	}
}

// spend is work sent to a server, by its rule's mean sending time where sizes are not told.
type spend struct {
	at, work int64
	vary     float64
}

type server struct {
	id           string
	hash         uint64
	role         role
	zone         string
	cell         int
	weight, size float64 // as listed; for the hash
	born         int64   // 0: long past
	returned     int64   // from its last rest
	listed, gone bool
	out          int   // hops out
	waiting      int64 // since when the longest silence with hops out runs
	health       health
	due          int64
	rests        int64
	spent        []spend
	link         float64  // how full its location's link in was reported
	late         []end    // of a source: the last fills that named it
	kept         []uint64 // objects it was asked to keep, by recency, latest last
	own          [3]room
	room         *[3]room // by kind of hop
}

type role uint8

const (
	edge role = iota
	parent
	origin
)

// rest keeps a failing server out, doubling: a process is back in seconds, a silent machine costs one hop.
func (r *Router) rest(s *server) {
	const restFirst, restMost = 1 * sec, 4 * sec
	s.late = nil
	s.due = r.now + min(restFirst<<s.rests, restMost)
	s.rests = min(s.rests+1, 8)
	r.do(Action{Kind: ActionLog, Text: "server rests: " + s.id})
}

// ask probes where that is allowed; else the next hop tells.
func (r *Router) ask(s *server) {
	if r.canProbe {
		r.do(Action{Kind: ActionHealthCheck, Endpoint: s.id})
	}
}

// back forgets what a server did before; its list stays.
func (r *Router) back(s *server) {
	s.rests, s.late, s.returned = 0, nil, r.now
	r.do(Action{Kind: ActionLog, Text: "server is back: " + s.id})
}

const keepSamples = 32 // of a list: enough for a tail, few enough to forget in seconds

func sample[T any](list []T, v T) []T {
	if len(list) >= keepSamples {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, v)
}

func mean(list []int64, without int64) int64 {
	if len(list) == 0 {
		return without
	}
	sum := int64(0)
	for _, v := range list {
		sum += v
	}
	return sum / int64(len(list))
}

func variance(list []int64) float64 {
	m, sum := float64(mean(list, 0)), 0.0
	for _, v := range list {
		sum += (float64(v) - m) * (float64(v) - m)
	}
	return sum / float64(max(len(list), 1))
}

// supplied notes whether a fill that named a source came in time. A parent is late when half of its last
// fills were and twice the share of the best other source: a slow origin makes all sources late alike. Where
// probes are allowed each late fill asks for the parent. It harms where one parent alone has the objects that
// are slow to make, or the origin is idle but small; behind a slow origin probes are wasted.
func (r *Router) supplied(s *server, timely bool) {
	s.late = r.note(s.late, !timely)
	if s.role != parent || timely {
		return
	}
	own, all := r.lateOf(s.late, window)
	if 2*own >= max(all, window) && slices.ContainsFunc(r.order, func(p *server) bool {
		l, n := r.lateOf(p.late, window)
		return p != s && p.listed && p.health != down && 2*n >= window && own*n > 2*l*all
	}) {
		r.judge(s, signLate)
	} else if r.canProbe && s.health == up {
		r.judge(s, signSilent)
	}
}

// coldShare is the part of the fall-over budget in use: the rest covers who learns late. Where sizes are not
// told, coldMargin deviations of the sum stay free as well: few hops may all be large.
const coldShare, coldMargin = 0.75, 3

// start is when a server began. A cache that comes back from a rest may have been started anew: for as long
// as the list may not have told so, it is taken for that. It harms where it has only been out of reach.
func (r *Router) start(s *server) int64 {
	const untold = 7 * sec
	if s.role == edge && s.returned > s.born && r.now-s.returned < untold {
		return s.returned
	}
	return s.born
}

func (r *Router) warm(s *server) bool {
	began := r.start(s)
	return began == 0 || r.now-began >= r.cold[s.role].lasts
}

// affords tells whether a server can be sent the txn: any once warm, else this router's share in a window.
func (r *Router) affords(s *server, t *txn) bool {
	if r.warm(s) {
		return true
	}
	if r.now < r.holdTill {
		return false
	}
	c, age, sum, vary := r.cold[s.role], r.now-r.start(s), float64(t.cost), t.vary
	s.spent = slices.DeleteFunc(s.spent, func(p spend) bool { return p.at <= r.now-r.fallFor })
	for _, p := range s.spent {
		sum, vary = sum+float64(p.work), vary+p.vary
	}
	able := c.from + (1-c.from)*float64(max(age, 0))/float64(c.lasts)
	most := c.multiple * able * s.weight * float64(r.fallFor)
	all := sum * c.routers // if every router sends as much
	return all <= coldShare*most && all+coldMargin*math.Sqrt(vary*c.routers) <= most
}

func (r *Router) charge(s *server, t *txn) {
	if r.warm(s) { // nobody asks; at a thousand txns a second the list was a tenth of the module's time
		s.spent = nil
		return
	}
	s.spent = slices.DeleteFunc(s.spent, func(p spend) bool { return p.at <= r.now-r.fallFor })
	s.spent = append(s.spent, spend{r.now, t.cost, t.vary})
}

// sla is the time within which the txn's answer earns all. Where sizes are not told, half the rule's SLA
// time stands for the sending time: measured ones grow with the jam that they should show.
func (t *txn) sla() int64 {
	work := t.work
	if work == 0 {
		work = t.rule.sla / 2
	}
	return t.rule.sla + int64(t.rule.stretch*float64(work))
}

// room is how many hops of a kind a cache has lately answered in time.
type room struct {
	out, limit float64
	beside     float64 // out at the other generation of this router, while one takes the other's place
	size       float64 // the cache's, as listed
	cutAt      int64
	late       []end // the last hops
}

const (
	fills = iota // hops that may bring a fill
	looks        // hops that take only what the cache holds
	loans        // fills of only what the parent holds
)

// learn moves a limit: up by a quarter of the least a round of timely answers, down by 30% when a quarter of
// the last were late or refused, then not again for a round; all in this router's part. It harms where fewer
// hops don't mend what is late: so it leaves what keeps an eighth of the cache's link busy.
func (r *Router) learn(m *room, timely bool) {
	const cut, round = 0.7, 200 * ms
	least := max(2, m.size/8)
	w := max(int(window*r.part), 4)
	m.late = r.note(m.late, !timely)
	late, all := r.lateOf(m.late, w)
	switch {
	case timely && m.out+1 >= m.limit/2:
		m.limit += least * r.part / (4 * m.limit)
	case !timely && 4*late >= max(all, w) && r.now-m.cutAt > round:
		m.cutAt = r.now
		m.limit = max(min(m.limit, m.out+1)*cut, least*r.part)
	}
}

// window is how many of the last hops a share is taken of at least: enough that a quarter is no chance. All
// of lately count: at hundreds a second a quarter of sixteen in a round is late by chance.
const window, lately = 16, 250 * ms

type end struct {
	at  int64
	bad bool
}

func (r *Router) note(list []end, bad bool) []end {
	for len(list) >= window && list[0].at <= r.now-lately {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, end{r.now, bad})
}

func (r *Router) lateOf(list []end, least int) (late, all int) {
	for i := len(list) - 1; i >= 0 && (all < least || list[i].at > r.now-lately); i-- {
		if all++; list[i].bad {
			late++
		}
	}
	return late, all
}

// chance draws from [0, 1) by PCG (XSH-RR, 64 bits of state).
func (r *Router) chance() float64 {
	old := r.dice
	r.dice = old*6364136223846793005 + 1442695040888963407
	return float64(bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))) / (1 << 32)
}

// jammed tells whether a cache has no room for the txn. What earns least for its sending time is shed first:
// the poorest at half the limit, the best at half above it. Below one hop it is a chance from the own seed.
func (r *Router) jammed(t *txn, m *room) bool {
	below := 0.0
	for _, v := range r.values {
		below += float64(1+cmp.Compare(t.value, v)) / 2
	}
	most := m.limit * (0.5 + below/float64(max(len(r.values), 1)))
	return m.out+m.beside >= most || most < 1 && r.chance() >= most
}

type state uint8

const (
	clean     state = 1 << iota // no hop that ended may have run
	tainted                     // one may have
	streaming                   // the answer has begun
	closed
	choosing = clean | tainted
)

type input uint8

const (
	inUnrun   input = iota // a hop ended and is proven not to have run
	inMaybe                // a hop ended and may have run
	inLost                 // a hop is out at a server that went silent
	inDue                  // the time of a held txn has come
	inStarted              // the answer begins
	inFinal                // closed by an outcome or by the client
	inArrive
)

type txnRow struct {
	in   state
	what input
	next state // 0: the same
	do   func(*Router, *txn)
}

var txnTable []txnRow

// The table is filled here, since its effects lead back to it.
func init() {
	txnTable = []txnRow{
		{clean, inArrive, 0, (*Router).hop},
		{choosing, inUnrun, 0, (*Router).again},
		{choosing, inMaybe, tainted, (*Router).again},
		{choosing, inLost, 0, (*Router).double},
		{choosing, inDue, 0, (*Router).hop},
		{choosing, inStarted, streaming, nil},
		{choosing | streaming, inFinal, closed, (*Router).forget},
	}
}

func (r *Router) step(t *txn, what input) {
	for _, row := range txnTable {
		if t != nil && row.in&t.state != 0 && row.what == what {
			if row.next != 0 {
				t.state = row.next
			}
			if row.do != nil {
				row.do(r, t)
			}
			return
		}
	}
}

type effect uint8

const (
	repeatable effect = iota
	keyedAll
	keyedZone
	keyedCell
	unrepeatable
)

// effectOf gives the row of mayTable for a traffic class.
func effectOf(e Effect, group DedupGroup) effect {
	switch {
	case e == EffectIdempotent:
		return repeatable
	case e == EffectUnsafe:
		return unrepeatable
	case group == DedupGroupZone:
		return keyedZone
	case group == DedupGroupCell:
		return keyedCell
	}
	return keyedAll
}

// mayTable says what rule 2 leaves once a hop may have run or is out: another, within window and group.
var mayTable = []struct{ again, reject, timed, zone, cell bool }{
	repeatable:   {again: true, reject: true},
	keyedAll:     {again: true, reject: true, timed: true},
	keyedZone:    {again: true, timed: true, zone: true},
	keyedCell:    {again: true, timed: true, zone: true, cell: true},
	unrepeatable: {},
}

type hop struct {
	server, source *server
	sent           int64
	out, lost      bool
	overdue        bool
	kind           int
}

type txn struct {
	id       string
	rule     *rule
	key      uint64
	object   string
	group    int64
	work     int64 // sending time, where the size is told
	cost     int64 // what its next hop is charged with, and the variance of that
	vary     float64
	value    float64
	deadline int64
	looked   int // the last of looks and loans it has had
	state    state
	due      int64   // of a held txn; 0: not held
	luck     float64 // drawn once; 0: not yet
	firstRun int64   // when the first hop that may have run went out
	hops     []hop
	tried    []*server // servers and sources that failed this txn
}

type rule struct {
	effect       effect
	window       int64
	sla          int64
	stretch      float64
	fresh, grace int64
	write        bool
	importance   float64
	works        []int64 // sending times of the last txns
}

func (t *txn) pending() bool { return slices.ContainsFunc(t.hops, func(h hop) bool { return h.out }) }

// taint tells whether rule 2 binds now: a hop may have run or is out.
func (t *txn) taint() bool { return t.state == tainted || t.pending() }

// may tells whether rule 2 lets the txn go to a server now.
func (r *Router) may(t *txn, s *server) bool {
	if !t.taint() {
		return true
	}
	m := &mayTable[t.rule.effect]
	first := t.hops[slices.IndexFunc(t.hops, func(h hop) bool { return h.sent == t.firstRun })].server
	return m.again && (!m.timed || r.now-t.firstRun < t.rule.window) &&
		(!m.zone || s.zone == first.zone) && (!m.cell || s.cell == first.cell)
}

type cold struct {
	from, multiple, routers float64
	lasts                   int64
}

// Router is one instance.
type Router struct {
	now            int64
	out            []Action
	sketch         *tinylfu.Sketch
	sampleN        int
	servers        map[string]*server
	order          []*server // every server of use here, by id, until it is gone and its hops are over
	origin         *server
	rules          map[string]*rule
	txns           map[string]*txn
	open           []*txn // in order of arrival; closed ones leave at the next sweep
	failed         []end  // of the last hops that might fill: those that brought no answer
	dice           uint64
	part           float64 // this router's of its location
	holdTill       int64   // cold servers get nothing before
	beyond         [3]room // for hops that pass the caches by: they share one link in
	waits          waits
	values         []float64 // importance for sending time of the last txns
	purges         []purge
	ticking        bool
	halveAt, askAt int64

	zone                                  string
	kinds                                 map[string]role
	cold                                  [3]cold
	fallFor                               int64
	quiet                                 int64   // how long a server may say nothing with hops out
	flow                                  float64 // KB in a microsecond
	purgeDone, stay                       int64
	maxHops, listCap                      int
	direct, joins, canProbe, cancel, pair bool
	pull, live, told                      bool // discovery is asked, weights follow load, answers give reasons
}

type purge struct {
	object string
	group  int64
	at     int64
}

// New starts an instance: the settings become the figures that decisions use.
func New(set Settings, seed uint64) *Router {
	c, f, l := &set.Contract, &set.Hierarchy, &set.Limits
	r := &Router{
		sketch:  newSketch(),
		servers: map[string]*server{}, rules: map[string]*rule{}, txns: map[string]*txn{},
		dice: seed, zone: set.Zone, kinds: map[string]role{}, fallFor: c.OverloadWindow, flow: f.StreamKBPerS / float64(sec),
		purgeDone: f.PurgeSettleTime, maxHops: max(l.MaxAttempts, 1), direct: f.CacheBypass, joins: f.CoalescesFills,
		canProbe: l.HealthChecks, cancel: l.Cancel, pair: l.Hedging, pull: set.Discovery == "ask",
		live: set.WeightKind == "live", told: f.ReasonsGiven == "all",
	}
	r.stay = map[bool]int64{true: l.MaxRetryAfter}[l.RetryAfter]
	for i, name := range set.EndpointKinds {
		r.kinds[name] = map[int]role{f.ParentKind: parent, f.OriginKind: origin}[i]
	}
	near := max(set.Routers, 1)
	if i := slices.Index(set.Zones, set.Zone); i >= 0 && i < len(f.RoutersByZone) && f.RoutersByZone[i] > 0 {
		near = f.RoutersByZone[i]
	}
	r.part = 1 / float64(near)
	r.listCap = int(listCap * math.Sqrt(r.part))
	r.cold[edge] = cold{c.SlowStartFrom, c.OverloadMultiple, float64(near), c.SlowStartFor}
	r.cold[parent] = cold{f.ParentSlowStartFrom, f.ParentOverloadMultiple, float64(max(set.Routers, 1)), f.ParentSlowStartFor}
	for _, k := range set.Classes {
		r.quiet = max(r.quiet, 3*k.LatencyObjective/2) // a rule's whole SLA time and half of it again
		r.rules[k.Name] = &rule{
			effect: effectOf(k.Effect, k.DedupGroup), window: k.DedupWindow, sla: k.LatencyObjective, stretch: k.ObjectiveStretch,
			fresh: k.FreshFor, grace: k.StaleGrace, write: k.Write, importance: k.PriorityWeight,
		}
	}
	return r
}

// Handle takes one event at the given time and appends the actions to out.
func (r *Router) Handle(now int64, e Event, out []Action) []Action {
	r.now, r.out = now, out
	s, t := r.servers[e.Endpoint], r.txns[e.Request] // nil where unknown or closed
	switch e.Kind {
	case EventEndpoints:
		r.discover(e)
	case EventRequest:
		r.arrive(e)
	case EventLocalHit: // answered from copies of the router's own
		r.count(hash(e.Object, uint64(e.Part)))
	case EventAttemptEnded:
		r.answer(e, s, t)
	case EventResponseStarted:
		r.judge(s, signGood)
		r.step(t, inStarted)
	case EventClientGone:
		r.step(t, inFinal)
	case EventHealthCheck:
		r.judge(s, map[bool]sign{true: signGood, false: signBad}[e.Outcome == OutcomeDone])
	case EventPurge:
		r.purges = append(r.purges, purge{e.Object, e.Group, now - e.Age})
	case EventSlowStartHold:
		r.holdTill = e.HoldUntil
	case EventOtherGeneration:
		r.beside(e.InFlight)
	case EventTimer:
		r.ticking = false
		r.sweep()
	}
	r.tick()
	return r.out
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

const tickEvery = 25 * ms // well under any SLA time, and cheap

// tick keeps one timer running.
func (r *Router) tick() {
	if !r.ticking {
		r.ticking = true
		r.do(Action{Kind: ActionSetTimer, Due: r.now + tickEvery, Token: 1})
	}
}

// discover follows the list; a full one removes whom it does not name.
func (r *Router) discover(e Event) {
	const retry = 1 * sec // after a failed call to discovery; it is shared by all routers
	if e.Scope == ScopeError {
		r.askAt = r.now + retry
		return
	}
	if e.Scope == ScopeDisk { // an earlier life may have spent this router's share of cold budgets
		r.holdTill = max(r.holdTill, r.now+r.fallFor)
	}
	if r.pull && e.Scope == ScopeDisk {
		r.do(Action{Kind: ActionSubscribe})
	}
	if e.Scope != ScopeDiff {
		for _, s := range r.order {
			s.listed, s.gone = false, true
		}
	}
	const start = 3 // above any use in calm: answers bring it down; twice and half of it cost (simulated)
	for _, n := range e.Endpoints {
		if n.Zone != r.zone && r.kinds[n.Kind] == edge {
			continue // never asked: what a txn or a timer touches must not grow with the fleet
		}
		s := r.servers[n.ID]
		if s == nil {
			s = &server{id: n.ID, hash: hash(n.ID), born: n.StartedAt, health: up}
			r.servers[n.ID] = s
			at, _ := slices.BinarySearchFunc(r.order, s, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
			r.order = slices.Insert(r.order, at, s)
		}
		s.role, s.zone, s.cell, s.weight = r.kinds[n.Kind], n.Zone, n.Cell, max(n.Weight, 0.1)
		if s.room = &r.beyond; s.role == edge {
			s.room = &s.own
			for i := range s.room {
				s.own[i].size, r.beyond[i].size = s.weight, s.weight
				s.own[i].limit = cmp.Or(s.own[i].limit, start*s.weight*r.part)
				r.beyond[i].limit = cmp.Or(r.beyond[i].limit, s.own[i].limit)
			}
		}
		s.listed, s.gone = n.State == EndpointActive, n.State == EndpointGone
		if n.StartedAt > s.born {
			s.born = n.StartedAt
			r.judge(s, signBorn)
			s.returned = 0
		}
		if s.size = s.weight; r.live {
			s.size = 1 // the same at every router
		}
	}
	for i := range r.beyond {
		r.beyond[i].limit = cmp.Or(r.beyond[i].limit, start*r.part) // no cache of its own was ever listed
	}
	r.sampleN, r.origin = 0, nil
	for _, s := range r.order {
		if s.listed && s.role == origin {
			r.origin = s
		}
		if s.listed && s.role == edge {
			r.sampleN += 10 * r.listCap // the paper's ten times the cache size
		}
	}
}

func (r *Router) arrive(e Event) {
	k := r.rules[e.Class]
	if k == nil { // never listed: the most careful reading
		k = &rule{effect: unrepeatable, sla: e.Remaining, write: e.Write}
		r.rules[e.Class] = k
	}
	t := &txn{
		id: e.Request, state: clean, rule: k, key: hash(e.Object, uint64(e.Part)), object: e.Object,
		group: e.Group, deadline: r.now + e.Remaining,
	}
	work := k.sla // where sizes are not told
	if e.SizeKB > 0 && r.flow > 0 {
		t.work = int64(e.SizeKB / r.flow)
		k.works = sample(k.works, t.work)
		work = max(t.work, mean(k.works, k.sla)/8)
	}
	t.value = k.importance / float64(work)
	r.values = sample(r.values, t.value)
	r.txns[t.id] = t
	r.open = append(r.open, t)
	if !k.write {
		r.count(t.key)
	}
	r.step(t, inArrive)
}

func (r *Router) count(h uint64) {
	r.sketch.Record(h)
	if samples := r.sketch.AddSample(); r.sampleN > 0 && samples >= r.sampleN {
		r.sketch.Halve()
	}
}

// usable tells whether a server may be sent this txn now or supply it.
func (r *Router) usable(s *server, t *txn) bool {
	tried := s.health == trial && (s.out > 0 || r.canProbe)
	return s.listed && s.health != down && !tried && r.affords(s, t)
}

// idle tells whether a cache has room for txns of a jammed one. In a jam of all it must not scatter copies.
func (r *Router) idle(s *server) bool {
	late, all := r.lateOf(s.room[fills].late, window)
	return window*late < max(all, 1) && 3*(s.room[fills].out+s.room[fills].beside) < s.room[fills].limit
}

// pick is rendezvous hashing, weighted by size: the best usable server, those that failed this txn last.
func (r *Router) pick(t *txn, role role, fit func(*server) bool) *server {
	var best *server
	var top float64
	failed := true
	for _, s := range r.order {
		if s.role != role || role == edge && !r.may(t, s) || !r.usable(s, t) || fit != nil && !fit(s) {
			continue
		}
		f := slices.Contains(t.tried, s)
		score := -s.size / math.Log(float64(hash("", t.key, s.hash)>>11+1)/(1<<53+1))
		if best == nil || failed && !f || f == failed && score > top {
			best, top, failed = s, score, f
		}
	}
	return best
}

func (r *Router) source(t *txn) *server {
	if p := r.pick(t, parent, nil); p != nil && !slices.Contains(t.tried, p) {
		return p
	}
	return r.origin
}

// age bounds copies by the purges that may still matter (rule 5).
func (r *Router) age(t *txn, grace int64) int64 {
	age := t.rule.fresh + grace
	for _, p := range r.purges {
		since := r.now - p.at
		if since < r.purgeDone+ms && (p.object == t.object || p.object == "" && p.group == t.group) {
			since = max(since-ms, 1)
			if age == 0 || since < age {
				age = since
			}
		}
	}
	return age
}

// hop sends the txn out, or gives it up where nowhere is left.
func (r *Router) hop(t *txn) {
	t.due = 0
	left := t.deadline - r.now
	if t.cost, t.vary = t.work, 0; t.work == 0 {
		t.cost, t.vary = mean(t.rule.works, t.rule.sla), variance(t.rule.works)
	}
	var to, from *server
	if t.rule.write && r.direct {
		to, from = r.origin, r.origin
	} else if to = r.pick(t, edge, nil); to != nil {
		from = r.source(t)
		if t.rule.write {
			from = r.origin
		}
	} else if r.direct {
		to, from = r.source(t), r.origin
	}
	// A second place may have what the first lacks; more tries only feed a jam.
	const mostReads = 4 // one of them a look, one a loan
	most := r.maxHops
	if !t.rule.write {
		most = min(most, mostReads)
	}
	if to == nil || from == nil || left <= 0 || len(t.hops) >= most || !r.may(t, to) {
		r.giveUp(t)
		return
	}
	// Where fills are late, hits need not be: a look takes what the cache holds, then a loan what the parent
	// holds, without the origin behind it. Else it is given up, unless a fill has room by then.
	const slack = 0.5 // a fuller link in makes fills late itself
	rank, mode, kind, grace := 0, FillMode(0), fills, int64(0)
	shed := !t.rule.write && r.shed(t)
	if to.role != origin && !t.rule.write && (shed || r.jammed(t, &to.room[fills])) {
		if next := r.pick(t, edge, r.idle); next != nil && !shed {
			to = next
		} else if t.looked++; t.looked == looks && !r.jammed(t, &to.room[looks]) {
			kind, from, grace = looks, to, t.rule.grace
		} else if t.looked == loans && from.role == parent && to.link < slack && !r.jammed(t, &to.room[loans]) {
			kind, mode = loans, FillNoFetch
		} else {
			r.giveUp(t)
			return
		}
	}
	if to.role == edge && !t.rule.write && kind != looks {
		rank = r.admit(to, t.key)
		if t.rule.fresh > 0 {
			mode |= FillBackground
		}
	}
	if r.joins && !t.rule.write {
		mode |= FillWaitFor
	}
	until := int64(0) // rule 2 binds when the hop is written, which may be later than now
	if t.state == clean && !t.taint() {
		t.firstRun = r.now
	} else if mayTable[t.rule.effect].timed {
		until = t.firstRun + t.rule.window
	}
	t.hops = append(t.hops, hop{server: to, source: from, sent: r.now, out: true, kind: kind})
	to.room[kind].out++
	if to.out++; to.out == 1 {
		to.waiting = r.now
	}
	r.charge(to, t)
	if from != to {
		r.charge(from, t)
	}
	cap := left
	if to.role == edge { // at twice its SLA time it earns little, holds a place, and may never be answered
		cap = min(left, 2*t.sla())
	}
	r.do(Action{
		Kind: ActionSend, Request: t.id, Endpoint: to.id, Source: from.id, CachePriority: rank,
		MaxAge: r.age(t, grace), Timeout: cap, SendBefore: until, FillMode: mode,
	})
}

// waits is how long the origin lets fills wait, of late against what it used to. One router sees few fills,
// but the origin gets those of all: each leaves out the part by which it is slower than bearable, before it
// stops. It takes answers that give their reasons; without them limits alone hold fills back.
type waits struct {
	calm, told, late float64 // means: of a minute, of the last told, of those and the overdue
	at               int64   // of the last told
}

// bearable is how much longer than in calm fills may wait: where that doubles, half of them are left out. It
// harms where parents are slow and the origin is not.
const bearable = 2

// note takes in a wait, told or the age of a fill that is overdue. An overdue fill may be its cache's: it
// counts once waits that were told are longer, too.
func (w *waits) note(now int64, us float64, told bool) {
	const minute, few, suspect = 60 * float64(sec), 4, 1.5
	switch {
	case told && w.calm == 0:
		w.calm, w.told, w.late, w.at = us, us, us, now
	case told:
		part := min(float64(now-w.at)/minute, 1./16)
		w.calm += min(us-w.calm, w.calm) * part // a jam is no calm
		w.told += (us - w.told) / few
		w.at = now
	case w.told <= suspect*w.calm:
		return
	}
	w.late += (us - w.late) / few
}

// fail takes in a fill that the origin failed: it is far from calm, and with each farther.
func (w *waits) fail() {
	const far, farthest = 4 * bearable, 32 * bearable
	w.late = min(max(1.25*w.late, far*w.calm), farthest*w.calm)
}

// ease lets what was long ago count less: an origin that stopped comes back, and nobody asks it.
func (w *waits) ease(every, within int64) {
	if w.late > w.calm {
		w.late -= (w.late - w.calm) * float64(every) / float64(within)
	}
}

// shed tells whether the txn is to take nothing from the origin; once it is, it stays so.
func (r *Router) shed(t *txn) bool {
	if r.waits.late <= bearable*r.waits.calm {
		return false
	}
	if t.luck == 0 {
		t.luck = r.chance()
	}
	return t.luck*r.waits.late > bearable*r.waits.calm
}

// again follows a hop that ended without an answer.
func (r *Router) again(t *txn) {
	if t.pending() {
		return
	}
	if t.rule.write {
		const pause = 60 * ms // lets a crowded origin breathe; a few fit into a write's SLA time
		t.due = r.now + pause
		barred := t.taint() && !mayTable[t.rule.effect].again
		if barred || t.due+2*tickEvery >= t.deadline || len(t.hops) >= r.maxHops {
			r.giveUp(t)
		}
		return
	}
	// A read goes again only while few fills fail: tries after failures feed a jam and cost a crowded origin the
	// writes. It harms where one cache of few fails alone, until that one rests.
	failed, all := r.lateOf(r.failed, window)
	if 4*failed >= max(all, window) && t.hops[len(t.hops)-1].kind == fills {
		r.giveUp(t)
		return
	}
	r.hop(t)
}

// double sends a second copy while the first is out, or withdraws the first so that its end brings another.
func (r *Router) double(t *txn) {
	switch {
	case t.rule.effect != repeatable:
	case !r.pair && r.cancel:
		r.do(Action{Kind: ActionCancel, Request: t.id, Attempt: len(t.hops) - 1})
	case r.pair && len(t.hops) < r.maxHops && r.pick(t, edge, nil) != nil:
		r.hop(t)
	}
}

// giveUp answers at once: rejected where rule 2 allows, else aborted.
func (r *Router) giveUp(t *txn) {
	if r.now < t.deadline && (!t.taint() || mayTable[t.rule.effect].reject) {
		r.do(Action{Kind: ActionReject, Request: t.id, RetryAfter: r.stay})
	} else {
		r.do(Action{Kind: ActionFail, Request: t.id})
	}
	r.step(t, inFinal)
}

// forget withdraws hops still out for a closed txn; their ends are only heard.
func (r *Router) forget(t *txn) {
	for i, h := range t.hops {
		if h.out {
			h.server.out--
			h.server.room[h.kind].out--
			if r.cancel {
				r.do(Action{Kind: ActionCancel, Request: t.id, Attempt: i})
			}
		}
	}
	delete(r.txns, t.id)
}

// outcomes turns a hop's end into what it means for the txn and its server.
var outcomes = map[Outcome]struct {
	txn  input
	sign sign
}{
	OutcomeDone: {inFinal, signGood}, OutcomeError: {inMaybe, signGood}, OutcomeBusy: {inUnrun, signGood},
	OutcomeMiss: {inUnrun, signGood}, OutcomeTimeout: {inMaybe, signNone}, OutcomeConnectionRefused: {inUnrun, signBad},
	OutcomeConnectionReset: {inMaybe, signBad}, OutcomeCanceled: {inMaybe, signNone}, OutcomeSkipped: {inUnrun, signNone},
}

func (r *Router) answer(e Event, s *server, t *txn) {
	o, known := outcomes[e.Outcome]
	if !known || s == nil {
		return
	}
	if x, told := e.Load["x1"]; told {
		s.link = x
	}
	r.judge(s, o.sign)
	if t == nil || e.Attempt < 0 || e.Attempt >= len(t.hops) || !t.hops[e.Attempt].out {
		return
	}
	h := &t.hops[e.Attempt]
	h.out = false
	s.room[h.kind].out--
	s.out--
	if e.Outcome == OutcomeDone && t.work == 0 && !t.rule.write {
		t.rule.works = sample(t.rule.works, e.RTT)
	}
	// A reset tells nothing of a cache's room; nor, where reasons are told, an error without one: it is the
	// txn's own or chance. Spells of them cut every limit. It harms where one cache errs alone: a hop more each.
	mute := e.Outcome == OutcomeCanceled || e.Outcome == OutcomeConnectionReset || e.Outcome == OutcomeError && e.Reason == ReasonNone && r.told
	if !mute && e.Outcome != OutcomeMiss {
		r.ended(t, h, e.Outcome == OutcomeDone && !r.overdue(t, h))
	}
	if h.kind == fills && !t.rule.write && e.Outcome == OutcomeDone && e.Reason == ReasonMissOrigin {
		r.waits.note(r.now, float64(max(e.OriginWait, ms)), true)
	} else if h.kind == fills && !t.rule.write && e.Reason == ReasonOriginError {
		r.waits.fail()
		t.luck = 1 // one call is enough of an origin that fails
	}
	if h.kind == fills && !t.rule.write && !mute {
		r.failed = r.note(r.failed, e.Outcome != OutcomeDone)
	}
	if e.Final {
		r.step(t, inFinal)
		return
	}
	if h.kind == fills {
		t.tried = append(t.tried, s)
	}
	// Untold, or after a time-out, the source may be what failed.
	if h.source != s && (e.Reason.SourceFailed() || e.Outcome == OutcomeTimeout) {
		t.tried = append(t.tried, h.source)
	}
	r.step(t, o.txn)
}

// overdue is late, from four fifths of the SLA time on: at two thirds a purge kept limits down all day.
func (r *Router) overdue(t *txn, h *hop) bool { return 5*(r.now-h.sent) > 4*t.sla() }

// ended draws the lessons of a hop, once: at its end or when it is overdue.
func (r *Router) ended(t *txn, h *hop, timely bool) {
	if h.overdue || h.server.role == origin || t.rule.write {
		return
	}
	h.overdue = !timely
	if h.kind == fills && !timely && h.out {
		r.waits.note(r.now, float64(r.now-h.sent), false)
	}
	r.learn(&h.server.room[h.kind], timely)
	if h.kind != looks && h.server.role == edge {
		r.supplied(h.source, timely)
	}
}

// sweep does what time brings.
func (r *Router) sweep() {
	const halveEvery = 30 * sec // the design page starts at 10; at few txns a second that forgot what is popular
	if r.now >= r.halveAt {
		if r.halveAt > 0 {
			r.sketch.Halve()
		}
		r.halveAt = r.now + halveEvery
	}
	if r.askAt > 0 && r.now >= r.askAt {
		r.askAt = 0
		r.do(Action{Kind: ActionSubscribe})
	}
	const backIn = 3 * sec // a stopped origin is back after some seconds; they are not told
	r.waits.ease(tickEvery, backIn)
	r.purges = slices.DeleteFunc(r.purges, func(p purge) bool { return r.now-p.at > r.purgeDone+ms })
	for _, s := range r.order {
		if s.health == down && r.now >= s.due {
			r.judge(s, signDue)
		}
		// Silent: several hops unanswered for far longer than answers take. It harms where answers are few and
		// all slow, hence the count; a probe settles it.
		const unheard = 3
		if s.out >= unheard && r.now-s.waiting > r.quiet {
			r.judge(s, signSilent)
			s.waiting = r.now
		}
	}
	r.order = slices.DeleteFunc(r.order, func(s *server) bool { // a long day replaces them all, time and again
		over := s.gone && s.out == 0
		if over {
			delete(r.servers, s.id)
		}
		return over
	})
	r.open = slices.DeleteFunc(r.open, func(t *txn) bool { return t.state == closed })
	for _, t := range r.open {
		if t.due > 0 && r.now >= t.due {
			r.step(t, inDue)
			continue
		}
		for i := range t.hops {
			if h := &t.hops[i]; h.out && r.overdue(t, h) {
				r.ended(t, h, false)
			}
		}
		h := &t.hops[len(t.hops)-1] // an open txn has had one
		stuck := h.kind == fills && h.source.health == down && r.now-h.sent > t.rule.sla/2
		if h.out && !h.lost && (stuck || h.server.health == down) {
			h.lost = true
			t.tried = append(t.tried, h.server)
			r.step(t, inLost)
		}
	}
}
