package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

type kind uint8

const (
	cache kind = iota
	parent
	ledger
)

var kindNames = [...]string{"box", "hub", "ledger"}

// server is a cache, a parent or the ledger.
type server struct {
	w      *World
	uid    string
	kind   kind
	office int // -1: at a trunk
	trunk  int
	weight float64 // flows that it can send at once when it is warm

	up, silent, fell bool
	listed           policy.EndpointState // as the board will tell
	born             int64                // 0: long past
	pauses           int                  // in force
	life             int64                // counts starts: what began in an earlier one is void

	cpu     *share // of a cache or the ledger: its cores or workers
	out     *share // of a parent or the ledger: its link out
	store   *store
	hops    []*Hop // that have come and not ended
	queue   []*Hop
	slots   int // taken
	fills   map[int64]*fill
	fillsN  int
	spent   []spend
	spentOf float64
	slow    float64 // the ledger: times slower
	stopped bool
	asked   []int64 // the ledger: arrivals of the last three seconds

	load         map[string]float64 // the report that is visible
	served, hits int                // since the last report
	usedCPU      float64
	usedLink     float64
}

type spend struct {
	at   int64
	work float64
}

// fill is a fetch that is under way; hops that join it wait for it as well.
type fill struct {
	at      *server
	key     int64
	hops    []*Hop
	rank    int
	jobs    []*job
	left    int // parts of the transfer that are not over
	begun   int64
	issued  int64
	note    policy.Reason
	life    int64
	dropped bool
}

func (s *server) entry() Server {
	e := Server{policy.Endpoint{ID: s.uid, Kind: kindNames[s.kind], State: s.listed, Weight: s.weight, StartedAt: s.born}}
	if s.office >= 0 {
		e.Zone = zoneName(s.office)
	} else {
		e.Zone = trunkName(s.trunk)
	}
	return e
}

func (w *World) newCache(office int, uid string) *server {
	f := &w.set.Fleet
	s := &server{
		w: w, uid: uid, kind: cache, office: office, trunk: f.Trunk(office), weight: float64(f.Cores), up: true,
		listed: policy.EndpointActive, slow: 1, fills: map[int64]*fill{},
	}
	// Work is told in core-microseconds; a core sends one flow.
	s.cpu = &share{w: w, total: float64(f.Cores), most: 1}
	s.store = newStore(f.CacheShare * w.cat.officeKB / float64(f.Caches))
	w.servers[uid] = s
	w.after(w.jitter(f.ReportMS*1000), s.report)
	return s
}

func (w *World) newParent(trunk int, uid string) *server {
	f := &w.set.Fleet
	offices := (f.Offices + f.Trunks - 1 - trunk) / f.Trunks
	kb := f.ParentLink * f.OfficeLinkKBPerS() * float64(max(offices, 1)) / float64(max(f.Parents, 1))
	s := &server{
		w: w, uid: uid, kind: parent, office: -1, trunk: trunk, weight: kb / f.FlowKBPerS, up: true,
		listed: policy.EndpointActive, slow: 1, fills: map[int64]*fill{}, out: w.link(kb),
	}
	s.store = newStore(f.ParentCacheShare * w.cat.allKB)
	w.servers[uid] = s
	w.after(w.jitter(f.ReportMS*1000), s.report)
	return s
}

func (w *World) newLedger() *server {
	f := &w.set.Fleet
	kb := f.OriginLinkKBPerS
	if kb == 0 { // what all offices' links could ask for, if half of it is at parents
		kb = f.OfficeLinkKBPerS() * float64(f.Offices)
	}
	s := &server{
		w: w, uid: "ledger", kind: ledger, office: -1, trunk: 0, weight: float64(f.OriginWorkers), up: true,
		listed: policy.EndpointActive, slow: 1, out: w.link(kb),
	}
	s.cpu = &share{w: w, total: float64(f.OriginWorkers), most: 1}
	w.servers[s.uid] = s
	return s
}

// able is the share of its power that a server has now, by warmth.
func (s *server) able() float64 {
	f := &s.w.set.Fleet
	from, lasts := f.SlowStartFrom, f.SlowStartS
	if s.kind == parent {
		from, lasts = f.ParentSlowStartFrom, f.ParentSlowStartS
	}
	if s.born == 0 || s.kind == ledger {
		return 1
	}
	return min(1, from+(1-from)*float64(s.w.now-s.born)/(lasts*1e6))
}

// power sets the cores' rate by warmth, crowd, pauses and slowness.
func (s *server) power() {
	f := &s.w.set.Fleet
	rate := s.able()
	if s.pauses > 0 || s.stopped {
		rate = 0
	}
	switch s.kind {
	case cache:
		over := float64(len(s.cpu.jobs))/float64(f.Cores) - 4
		if over > 0 {
			rate *= max(1-f.Thrash*over, 0.3)
		}
		s.cpu.change(rate*float64(f.Cores), rate)
	case parent:
		kb := s.weight * f.FlowKBPerS / 1e6
		s.out.change(rate*kb, rate*kb)
	case ledger:
		s.cpu.change(rate*float64(f.OriginWorkers)/s.slow, rate/s.slow)
	}
}

// warming moves a started server's power up in steps.
func (s *server) warming(life int64) {
	if s.life != life || !s.up {
		return
	}
	s.power()
	if s.able() < 1 {
		s.w.after(250*ms, func() { s.warming(life) })
	}
}

// charge adds work that was sent to a server, in its own units (microseconds of a
// flow), and tells whether it falls over: sent more than a multiple of what it can
// do now over the window, by all routers together.
func (s *server) charge(work float64) bool {
	f := &s.w.set.Fleet
	window := int64(f.OverloadMS * 1000)
	s.spent = append(s.spent, spend{s.w.now, work})
	s.spentOf += work
	old := 0
	for s.spent[old].at <= s.w.now-window {
		s.spentOf -= s.spent[old].work
		old++
	}
	if old > 0 {
		s.spent = slices.Delete(s.spent, 0, old)
	}
	return s.able() < 1 && s.spentOf > f.OverloadMultiple*s.able()*s.weight*float64(window)
}

// fall is what becomes of a server that was pushed over: it stays down.
func (s *server) fall() {
	s.fell = true
	s.w.note(Entry{Kind: eventlog.KindOverloaded, Endpoint: s.uid, Work: s.spentOf / 1e6})
	s.w.Result.Fallen++
	s.die(false)
	s.w.list(s, policy.EndpointGone, s.w.jitter(s.w.set.Fleet.DeathDetectionMS*1000))
}

// die ends a server's process. Reset tells its routers; a silent one tells nobody.
func (s *server) die(silent bool) {
	s.up, s.silent = false, silent
	s.life++
	s.w.note(Entry{Kind: eventlog.KindDown, Endpoint: s.uid})
	hops := slices.Clone(s.hops)
	for _, h := range hops {
		if silent {
			s.stop(h)
		} else {
			s.end(h, End{Outcome: policy.OutcomeConnectionReset})
		}
	}
	for _, h := range s.hops {
		h.state = ended
	}
	s.hops, s.queue, s.slots = nil, nil, 0
	for _, key := range sortedKeys(s.fills) {
		s.fills[key].drop()
	}
	s.fills, s.fillsN = map[int64]*fill{}, 0
	if s.store != nil {
		s.store.clear()
	}
	if s.cpu != nil {
		s.cpu.advance()
		s.cpu.jobs = nil
		s.cpu.set()
	}
	s.spent, s.spentOf, s.pauses = nil, 0, 0
}

func sortedKeys(m map[int64]*fill) (keys []int64) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// start brings a server back, cold and empty.
func (s *server) start() {
	if s.fell || s.up {
		return
	}
	s.up, s.silent = true, false
	s.life++
	s.born = max(s.w.now, 1)
	s.w.note(Entry{Kind: eventlog.KindStarted, Endpoint: s.uid})
	s.warming(s.life)
}

// ---- Hops ----

// Hop takes a hop that a router sends at its time. It comes to the server after
// the way there.
func (w *World) Hop(h *Hop) {
	w.Result.Hops++
	h.at, h.sent = w.servers[h.Server], w.now
	h.from = w.servers[h.Source]
	h.obj = w.cat.id(h.Object)
	w.note(Entry{
		Kind: eventlog.KindSent, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: h.Server, Source: h.Source, Object: h.Object,
		Group: h.Group, Class: w.rules[h.Rule].Name,
	})
	if h.at == nil {
		return // a server that never was: nothing answers
	}
	h.latent = w.away(w.routers[h.Router].office, h.at)
	w.hops[hopKey{h.Router, h.Txn, h.N}] = h
	w.after(h.latent, func() { w.come(h) })
}

// Cancel takes that a router gives a hop up; the server hears of it later.
func (w *World) Cancel(router int, txn string, n int) {
	key := hopKey{router, txn, n}
	if h := w.hops[key]; h != nil {
		delete(w.hops, key)
		w.after(h.latent, func() { h.at.stop(h) })
	}
}

func (w *World) come(h *Hop) {
	s := h.at
	switch {
	case h.state == ended:
		return
	case !s.up && s.silent:
		return
	case !s.up:
		s.end(h, End{Outcome: policy.OutcomeConnectionRefused})
		return
	}
	w.note(Entry{Kind: eventlog.KindArrived, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: s.uid})
	h.place = len(s.hops)
	s.hops = append(s.hops, h)
	work := h.SizeKB / w.set.Fleet.FlowKBPerS * 1e6
	if s.charge(work) {
		s.fall()
		return
	}
	switch s.kind {
	case cache:
		s.admit(h)
	case parent:
		s.fetchFor(h)
	case ledger:
		s.ledgerWork(h)
	}
}

// end answers a hop. What the router gets takes the way back, and a trouble may
// get between.
func (s *server) end(h *Hop, e End) {
	if h.state == ended {
		return
	}
	s.stop(h)
	e.Load = s.load
	if e.Outcome != policy.OutcomeConnectionReset && e.Outcome != policy.OutcomeConnectionRefused {
		s.w.Result.Ends[e.Outcome.String()]++
		if e = s.w.spoil(s, e); e.Outcome == policy.OutcomeUnknown {
			return // it never comes
		}
	}
	s.w.after(h.latent, func() { s.w.deliver(h, e) })
}

func (w *World) deliver(h *Hop, e End) {
	key := hopKey{h.Router, h.Txn, h.N}
	if w.hops[key] != h {
		return // the router has given it up
	}
	delete(w.hops, key)
	w.note(Entry{Kind: eventlog.KindEnded, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: h.Server, Outcome: e.Outcome.String(), Issued: e.Issued})
	w.driver.End(h.Router, h, e)
}

// stop takes a hop off its server: it has ended, or was given up.
func (s *server) stop(h *Hop) {
	if h.state == ended {
		return
	}
	was := h.state
	h.state = ended
	if h.place < len(s.hops) && s.hops[h.place] == h {
		last := len(s.hops) - 1
		s.hops[h.place] = s.hops[last]
		s.hops[h.place].place = h.place
		s.hops[last] = nil
		s.hops = s.hops[:last]
	}
	if f := h.fill; f != nil {
		h.fill = nil
		f.leave(h)
	}
	if h.job != nil {
		h.job.of.remove(h.job)
		h.job = nil
	}
	if s.kind != cache {
		return
	}
	switch was {
	case waiting:
		if i := slices.Index(s.queue, h); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case working:
		s.slots--
		s.power()
		s.next()
	}
}

// admit takes a hop in at a cache: to work, to the waiting room, or not.
func (s *server) admit(h *Hop) {
	f := &s.w.set.Fleet
	switch {
	case s.slots < f.SlotsPerCore*f.Cores:
		s.work(h)
	case len(s.queue) < f.QueuePerCore*f.Cores:
		h.state = waiting
		s.queue = append(s.queue, h)
	default:
		s.end(h, End{Outcome: policy.OutcomeBusy})
	}
}

func (s *server) next() {
	f := &s.w.set.Fleet
	for s.up && len(s.queue) > 0 && s.slots < f.SlotsPerCore*f.Cores {
		h := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.work(h)
	}
}

// work looks for a copy, or begins a fill.
func (s *server) work(h *Hop) {
	w, f := s.w, &s.w.set.Fleet
	h.state = working
	s.slots++
	key := keyOf(h.obj, h.Part)
	within := h.Within
	if within == 0 {
		within = w.rules[h.Rule].FreshFor
	}
	s.served++
	if c := s.lookup(h, key); c != nil && w.now-c.issued <= within {
		s.hits++
		note := policy.ReasonHit
		if w.now-c.issued > w.rules[h.Rule].FreshFor {
			note = policy.ReasonStale
		}
		s.send(h, note, c.issued, 0)
		return
	}
	switch {
	case h.from == nil || h.from == s:
		s.end(h, End{Outcome: policy.OutcomeMiss, Reason: policy.ReasonNoFill})
	case h.FillMode&policy.FillWaitFor != 0 && s.fills[key] != nil:
		x := s.fills[key]
		x.rank = max(x.rank, h.Rank)
		x.hops = append(x.hops, h)
		h.fill = x
	case s.fillsN >= f.FillsPerCore*f.Cores:
		s.end(h, End{Outcome: policy.OutcomeBusy})
	default:
		x := &fill{at: s, key: key, hops: []*Hop{h}, rank: h.Rank, begun: w.now, life: s.life, note: policy.ReasonMiss}
		h.fill = x
		s.fillsN++
		if s.fills[key] == nil {
			s.fills[key] = x
		}
		x.ask(h)
	}
}

// lookup finds a copy. Where the run begins warm, what was popular then counts as
// kept by the server that is asked for it first: which one that is, is the
// routers' to choose.
func (s *server) lookup(h *Hop, key int64) *kept {
	if c := s.store.get(key); c != nil || h.obj >= s.w.cat.warm[s.kind] || s.life > 0 || s.born > 0 {
		return c
	}
	place := s.office
	if s.kind == parent {
		place = -1 - s.trunk
	}
	mark := warmKey{place, key}
	if s.w.warmed[mark] || s.w.purgedAt(h.obj, h.Group) > 0 {
		return nil
	}
	s.w.warmed[mark] = true
	s.store.put(key, h.SizeKB, 1, h.Group, 1)
	return s.store.get(key)
}

// send sends a copy from the cache: the core is taken for the time of sending.
func (s *server) send(h *Hop, note policy.Reason, issued, waited int64) {
	work := h.SizeKB / s.w.set.Fleet.FlowKBPerS * 1e6
	s.w.ran(h)
	h.job = s.cpu.add(work, func() {
		h.job = nil
		s.end(h, End{Outcome: policy.OutcomeDone, Reason: note, Issued: issued, Waited: waited, SizeKB: h.SizeKB})
	})
	s.power()
}

// ran notes that a hop's work was done in part at least.
func (w *World) ran(h *Hop) {
	w.note(Entry{Kind: eventlog.KindRan, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: h.at.uid, Class: w.rules[h.Rule].Name})
}

// ---- Fills ----

// ask sends a fill to its source.
func (x *fill) ask(h *Hop) {
	w, from := x.at.w, h.from
	way := w.away(x.at.office, from)
	ask := *h // the hop may leave while the fill runs on
	w.after(way, func() {
		if x.dropped {
			return
		}
		work := ask.SizeKB / w.set.Fleet.FlowKBPerS * 1e6
		switch {
		case !from.up && from.silent:
			return // until the hop is given up
		case !from.up:
			w.after(way, func() { x.fail(policy.ReasonUpstreamDown) })
			return
		case from.kind != ledger && from.charge(work):
			from.fall()
			w.after(way, func() { x.fail(policy.ReasonUpstreamDown) })
			return
		}
		from.supply(&ask, func(issued int64, note policy.Reason) {
			if note >= policy.ReasonUpstreamBusy {
				w.after(way, func() { x.fail(note) })
				return
			}
			x.issued, x.note = issued, note
			w.after(way, func() { x.transfer(&ask, from) })
		})
	})
}

// transfer takes a fill's bytes over the source's link out, the office's link in,
// and no faster than its pace; it is over when all three are.
func (x *fill) transfer(h *Hop, from *server) {
	w, f := x.at.w, &x.at.w.set.Fleet
	if x.dropped || x.life != x.at.life {
		return
	}
	pace := f.FillSpeed * f.FlowKBPerS / 1e6 / float64(1+w.trunks(x.at.office, from))
	part := func() {
		if x.left--; x.left == 0 && !x.dropped {
			x.done(h)
		}
	}
	w.Result.filled(w, h.SizeKB, from.kind == ledger)
	x.left = 2
	if from.out != nil {
		x.left++
		x.jobs = append(x.jobs, from.out.add(h.SizeKB, part))
	}
	x.jobs = append(x.jobs, w.links[x.at.office].add(h.SizeKB, part))
	w.after(int64(h.SizeKB/pace), part)
}

func (x *fill) over() {
	x.at.fillsN--
	if x.at.fills[x.key] == x {
		delete(x.at.fills, x.key)
	}
}

func (x *fill) done(h *Hop) {
	s := x.at
	x.dropped = true
	x.over()
	if x.rank > 0 && x.issued > s.w.purgedAt(h.obj, h.Group) {
		s.store.put(x.key, h.SizeKB, x.issued, h.Group, x.rank)
	}
	for i, h := range x.hops {
		h.fill = nil
		note := x.note
		if i > 0 {
			note = policy.ReasonCoalesced
		}
		s.send(h, note, x.issued, s.w.now-x.begun)
	}
	x.hops = nil
}

func (x *fill) fail(note policy.Reason) {
	if x.dropped || x.life != x.at.life {
		return
	}
	x.drop()
	x.over()
	hops := x.hops
	x.hops = nil
	for _, h := range hops {
		h.fill = nil
		x.at.end(h, End{Outcome: policy.OutcomeError, Reason: note, Waited: x.at.w.now - x.begun})
	}
}

// drop ends a fill's transfers.
func (x *fill) drop() {
	x.dropped = true
	for _, j := range x.jobs {
		j.of.remove(j)
	}
	x.jobs = nil
}

// leave takes a hop from a fill; one that nobody waits for is dropped, or runs on.
func (x *fill) leave(h *Hop) {
	x.hops = slices.DeleteFunc(x.hops, func(o *Hop) bool { return o == h })
	if len(x.hops) == 0 && !x.dropped && !x.at.w.set.Fleet.OrphanFills {
		x.drop()
		x.over()
	}
}

// supply is what a source does for a fill: a parent or another cache gives what
// it holds, or fetches it; the ledger makes it.
func (s *server) supply(h *Hop, done func(issued int64, note policy.Reason)) {
	w := s.w
	switch s.kind {
	case ledger:
		s.read(done)
	case cache: // another office's: only what it holds
		if c := s.store.get(keyOf(h.obj, h.Part)); c != nil && c.issued > w.purgedAt(h.obj, h.Group) {
			done(c.issued, policy.ReasonMiss)
		} else {
			done(0, policy.ReasonUpstreamMiss)
		}
	default:
		s.fetch(h, done)
	}
}

// fetch gives a parent's copy, or has it from the ledger first.
func (s *server) fetch(h *Hop, done func(issued int64, note policy.Reason)) {
	w, f := s.w, &s.w.set.Fleet
	key, life := keyOf(h.obj, h.Part), s.life
	within := h.Within
	if within == 0 {
		within = w.rules[h.Rule].FreshFor
	}
	s.served++
	if c := s.lookup(h, key); c != nil && w.now-c.issued <= within {
		s.hits++
		done(c.issued, policy.ReasonMiss)
		return
	}
	if h.FillMode&policy.FillNoFetch != 0 {
		done(0, policy.ReasonUpstreamMiss)
		return
	}
	if x := s.fills[key]; x != nil && f.ParentCoalesces {
		x.waits(func() { done(x.issued, x.note) })
		return
	}
	x := &fill{at: s, key: key, begun: w.now, life: life}
	s.fills[key] = x
	s.fillsN++
	way := w.away(0, w.ledger) + int64(f.FarMS*500*float64(abs(s.trunk-w.ledger.trunk)))
	finish := func(issued int64, note policy.Reason) {
		if s.life != life { // it died meanwhile
			done(0, policy.ReasonUpstreamDown)
			return
		}
		x.over()
		x.issued, x.note = issued, note
		if note < policy.ReasonUpstreamBusy && h.FillMode&policy.FillNoKeep == 0 && issued > w.purgedAt(h.obj, h.Group) {
			s.store.put(key, h.SizeKB, issued, h.Group, 1)
		}
		done(issued, note)
		for _, j := range x.joined() {
			j()
		}
	}
	w.after(way, func() {
		w.ledger.read(func(issued int64, note policy.Reason) {
			if note >= policy.ReasonUpstreamBusy {
				w.after(way, func() { finish(0, note) })
				return
			}
			if w.phase() != "settle" {
				w.Result.LedgerKB += h.SizeKB
			}
			w.ledger.out.add(h.SizeKB, func() { w.after(way, func() { finish(issued, policy.ReasonMissOrigin) }) })
		})
	})
}

// waiters of a parent's fetch stand as jobs without a share.
func (x *fill) waits(do func()) { x.jobs = append(x.jobs, &job{place: -1, done: do}) }

func (x *fill) joined() (out []func()) {
	for _, j := range x.jobs {
		out = append(out, j.done)
	}
	x.jobs = nil
	return out
}

func abs(i int) int { return max(i, -i) }

// fetchFor is a hop straight to a parent.
func (s *server) fetchFor(h *Hop) {
	h.state = working
	life := s.life
	s.fetch(h, func(issued int64, note policy.Reason) {
		if h.state == ended || s.life != life {
			return
		}
		if note >= policy.ReasonUpstreamBusy {
			outcome := policy.OutcomeError
			if note == policy.ReasonUpstreamMiss {
				outcome = policy.OutcomeMiss
			}
			s.end(h, End{Outcome: outcome, Reason: note})
			return
		}
		s.w.ran(h)
		s.crossing(h, func() { s.end(h, End{Outcome: policy.OutcomeDone, Reason: note, Issued: issued, SizeKB: h.SizeKB}) })
	})
}

// crossing brings an answer from a trunk into the office of its router, at a
// client's flow at the most.
func (s *server) crossing(h *Hop, done func()) {
	w := s.w
	w.Result.filled(w, h.SizeKB, s.kind == ledger)
	left := 3
	part := func() {
		if left--; left == 0 && h.state != ended {
			done()
		}
	}
	w.after(int64(h.SizeKB/w.set.Fleet.FlowKBPerS*1e6), part)
	s.out.add(h.SizeKB, part)
	w.links[w.routers[h.Router].office].add(h.SizeKB, part)
}

// ---- The ledger ----

// takes tells whether the ledger takes one thing more; pushed over, it stops.
func (s *server) takes() bool {
	w, f := s.w, &s.w.set.Fleet
	const window = 3 * second
	for len(s.asked) > 0 && s.asked[0] <= w.now-window {
		s.asked = s.asked[1:]
	}
	s.asked = append(s.asked, w.now)
	able := float64(f.OriginWorkers) / (f.OriginServiceMS / 1000) / s.slow
	if !s.stopped && float64(len(s.asked)) > f.OriginStopMultiple*able*3 {
		s.stopped = true
		w.Result.LedgerStops++
		w.note(Entry{Kind: eventlog.KindStopped, Endpoint: s.uid})
		s.power()
		w.after(int64(f.OriginStopS*1e6), func() {
			s.stopped = false
			s.asked = nil
			s.power()
		})
	}
	places := 4 * f.OriginWorkers // at work and waiting
	return !s.stopped && float64(len(s.cpu.jobs)) < f.OriginRejectShare*float64(places)
}

// crowd makes the ledger's work longer the fuller it is.
func (s *server) effort() float64 {
	f := &s.w.set.Fleet
	full := float64(len(s.cpu.jobs)) / float64(4*f.OriginWorkers)
	return f.OriginServiceMS * 1000 * (1 + 0.5*full) * (0.5 + s.w.dice.ExpFloat64()*0.5)
}

// read makes an object for a fill.
func (s *server) read(done func(issued int64, note policy.Reason)) {
	if !s.up || !s.takes() {
		done(0, policy.ReasonUpstreamBusy)
		return
	}
	s.cpu.add(s.effort(), func() { done(s.w.now, policy.ReasonMissOrigin) })
}

// ledgerWork is a hop straight to the ledger: a write, or a read past the caches.
func (s *server) ledgerWork(h *Hop) {
	h.state = working
	if !s.takes() {
		s.end(h, End{Outcome: policy.OutcomeBusy})
		return
	}
	s.w.ran(h) // from here on a write may have its effect
	h.job = s.cpu.add(s.effort(), func() {
		h.job = nil
		issued := s.w.now
		if h.Write {
			s.w.note(Entry{Kind: eventlog.KindEffect, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: s.uid, Class: s.w.rules[h.Rule].Name})
			s.end(h, End{Outcome: policy.OutcomeDone, Reason: policy.ReasonMissOrigin, SizeKB: 1})
			return
		}
		s.crossing(h, func() {
			s.end(h, End{Outcome: policy.OutcomeDone, Reason: policy.ReasonMissOrigin, Issued: issued, SizeKB: h.SizeKB})
		})
	})
}

// ---- Load reports ----

// report works out a server's load; it is seen in answers after its delay.
func (s *server) report() {
	w, f := s.w, &s.w.set.Fleet
	every := w.jitter(f.ReportMS * 1000)
	if s.listed == policy.EndpointGone && !s.up && s.fell {
		return
	}
	noise := func(v float64) float64 { return max(0, v*(1+f.ReportNoise*w.dice.NormFloat64())) }
	load := map[string]float64{}
	if s.cpu != nil {
		s.cpu.advance()
		load["util"] = noise(min(1, (s.cpu.served-s.usedCPU)/float64(every)/s.weight))
		s.usedCPU = s.cpu.served
	}
	if s.served > 0 {
		load["x0"] = float64(s.hits) / float64(s.served)
	}
	s.served, s.hits = 0, 0
	if s.office >= 0 {
		l := w.links[s.office]
		l.advance()
		load["x1"] = noise(min(1, (l.served-s.usedLink)/float64(every)/l.total))
		s.usedLink = l.served
	} else {
		load["x1"] = float64(s.fillsN)
	}
	w.after(int64(f.ReportDelayMS*1000)+w.reportLag, func() { s.load = load })
	w.after(every, s.report)
}
