package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// Outbound is a word to be sent.
type Outbound struct {
	To      string
	Addr    netip.AddrPort
	Message *Message
}

// Change is news for the log: a member's state, or why a word was dropped.
type Change struct {
	At   int64
	Name string
	From State
	To   State
	ID   InstanceID
}

// Counts are totals since the start.
type Counts struct {
	Sent           int64 `cbor:"1,keyasint,omitempty"` // words
	Received       int64 `cbor:"2,keyasint,omitempty" json:"Taken"`
	Misaddressed   int64 `cbor:"3,keyasint,omitempty" json:"Foreign"` // dropped: to another life or name
	Replayed       int64 `cbor:"4,keyasint,omitempty"`                // dropped: seen already, or too old
	Malformed      int64 `cbor:"5,keyasint,omitempty" json:"Bad"`     // dropped: unusable
	Suspicions     int64 `cbor:"6,keyasint,omitempty"`
	Refutations    int64 `cbor:"7,keyasint,omitempty" json:"Refuted"` // what was said of oneself
	Deaths         int64 `cbor:"8,keyasint,omitempty"`
	Resumes        int64 `cbor:"9,keyasint,omitempty" json:"Wakings"`
	Relayed        int64 `cbor:"10,keyasint,omitempty"`
	StateExchanges int64 `cbor:"11,keyasint,omitempty" json:"Compared"`
	RejectedFull   int64 `cbor:"12,keyasint,omitempty" json:"TooMany"`   // not taken: the list is full
	NameReclaims   int64 `cbor:"13,keyasint,omitempty" json:"Outbidden"` // the own name taken back
}

// Node is a router's knowledge. One goroutine at a time.
type Node struct {
	set     Settings
	dice    *rand.Rand
	now     int64
	planned int64 // when Run was to be called; 0: not yet
	self    Update
	members map[string]*member
	round   []*member // in the order of asking
	at      int
	asked   []question
	relayed []relay
	hot     []*member // whose rumour is passed on
	seq     uint32
	n       uint64
	pinged  int64 // last question of the round
	retried int64
	compare int64 // last comparing of views
	chunk   []*member
	chunkTo *member // who is told of them
	health  int
	started int64
	since   int64 // of the first word heard
	waking  int64 // since when it has slept and not yet heard; 0: it has
	heard   int64 // last fresh word of anybody
	rtts    [calmSamples]int32
	answers [calmSamples]bool // own questions: was there an answer, in any way
	nth     int
	tokens  float64 // bytes that may be passed on
	filled  int64
	telling float64 // bytes that may be told to those who compare
	toldAt  int64
	digest  uint64
	parts   [buckets]uint32
	alive   int // members that are there, oneself left out
	quiet   int64
	outbids []int64
	doubled int64 // since when
	queried int64 // tools' queries that were answered, as time
	stood   Connectivity
	out     []Outbound
	news    []Change
	letters []Payload
	tag     uint32
	Counts  Counts
}

type question struct {
	seq     uint32
	to      *member
	id      InstanceID
	sent    int64
	due     int64
	through bool // others have been asked
	nacks   int
	over    bool // counted as silent; a late answer still tells its time
}

type relay struct {
	seq  uint32 // of the own ping
	back uint32 // of the Through
	from string
	due  int64
}

// New makes a router's knowledge at its start. The dice are its own.
func New(set Settings, dice *rand.Rand, now int64) *Node {
	if set.ProbeInterval == 0 {
		set.ProbeInterval = defaultPeriod
	}
	if set.MaxMessageBytes == 0 {
		set.MaxMessageBytes = defaultMost
	}
	if set.GossipBytesPerSecond == 0 {
		set.GossipBytesPerSecond = defaultRate
	}
	n := &Node{
		set: set, dice: dice, now: now, started: now, heard: now, filled: now, tokens: burst, telling: 2 * burst, toldAt: now, quiet: now, members: map[string]*member{},
		self: Update{Name: set.Name, Zone: set.Zone, Addr: set.Addr, ID: InstanceID{Epoch: max(set.Epoch, 1), Nonce: dice.Uint32()}, Incarnation: 1, State: StateJoining, Process: set.Process},
	}
	for _, s := range set.Seeds {
		if s.Name != set.Name {
			n.members[s.Name] = &member{name: s.Name, addr: s.Addr, seed: true}
		}
	}
	n.stood = Connectivity{MajoritySince: now}
	if set.Handoff != nil {
		n.takeOver(set.Handoff)
	}
	return n
}

// Self is what the router says of itself.
func (n *Node) Self() Update { return n.self }

// clock takes the time; a jump means that the process was stopped, or starved.
// What it knew is that old, and nobody has failed because it asked nobody.
func (n *Node) clock(now int64) {
	last := n.now
	n.now = max(now, n.now)
	if n.planned == 0 || n.now <= n.planned+lateAfter {
		return
	}
	late := n.now - max(n.planned, last)
	if late <= lateAfter {
		return
	}
	n.planned = n.now
	n.health = min(n.health+1, mostHealth)
	if late <= sleepAfter || n.set.wrong.wakesTalking {
		return
	}
	n.Counts.Resumes++
	n.waking = n.now
	// Answers that waited meanwhile would tell the stop's time for the way's.
	n.asked, n.relayed, n.chunk = nil, nil, nil
	for _, m := range n.members {
		if m.state == StateSuspect {
			m.due += late
		}
		m.spread = 0
	}
	n.hot = n.hot[:0]
	n.refute(n.self.Incarnation)
	// First it hears what has become of the others.
	n.compare = n.now - askEvery
	for range relays {
		if m := n.any(func(m *member) bool { return !m.state.gone() }); m != nil {
			n.ask(m)
		}
	}
}

// Tick does what has fallen due and tells when to come again.
func (n *Node) Tick(now int64) (next int64, out []Outbound, news []Change) {
	n.clock(now)
	if n.self.State != StateNameConflict && n.self.State != StateLeft {
		n.retry()
		n.probe()
		n.overdue()
		n.dues()
		n.told()
	} else if n.self.State == StateNameConflict && n.now-n.doubled >= doubledRest {
		n.doubled = n.now
		n.hello()
	}
	const longAwake = 2 * second
	if len(n.round) == 0 || n.waking > 0 && n.now-n.waking > longAwake {
		n.waking = 0 // there is nobody to hear from
	}
	n.stand()
	n.planned = n.now + min(n.set.ProbeInterval/2, 50*ms)
	if n.failing() {
		n.planned = n.now + n.set.ProbeInterval/3
	}
	return n.planned, n.take(), n.newsTaken()
}

func (n *Node) take() (out []Outbound) {
	out, n.out = n.out, nil
	return out
}

func (n *Node) newsTaken() (news []Change) {
	news, n.news = n.news, nil
	return news
}

// send makes a word and lets rumours ride on it.
func (n *Node) send(m *member, k Kind, w Message) {
	w.Kind, w.To, w.Sender = k, m.name, n.self
	n.n++
	w.Sequence = n.n
	w.ViewDigest = n.whole()
	if k == KindPing || k == KindAck || k == KindIndirectPing || k == KindNack {
		w.Sender.Zone = "" // known from the words before
	}
	if w.Sender.State == StateNameConflict {
		w.Sender.State = StateJoining // it asks to be taken in again
	}
	if k != KindHello {
		w.ToInstance = m.id
		if k != KindStateExchange && k != KindDigestExchange && k != KindPayload {
			w.Updates = n.ride(m)
		}
	}
	w.GossipDigest = n.tag
	n.Counts.Sent++
	n.out = append(n.out, Outbound{m.name, m.addr, &w})
}

// SetGossipDigest sets what words say of the router's news.
func (n *Node) SetGossipDigest(tag uint32) { n.tag = tag }

// SendPayload sends a body to a router that is there.
func (n *Node) SendPayload(to string, body []byte) []Outbound {
	m := n.members[to]
	if m == nil || m.state.gone() || n.self.State == StateNameConflict || n.self.State == StateLeft || len(body) > n.set.MaxMessageBytes-headBytes {
		return nil
	}
	n.send(m, KindPayload, Message{Body: body})
	return n.take()
}

// Payloads are those that have come since it was called last, all of them fresh and
// to this very life.
func (n *Node) Payloads() (list []Payload) {
	list, n.letters = n.letters, nil
	return list
}

// ride picks rumours for a word: first what is held of the one who is spoken to, if
// that is bad, then those that have ridden least. Bytes are bounded for each word
// and over time.
func (n *Node) ride(to *member) (list []Update) {
	const most = 400 // of a word's bytes: a ping stays small
	n.fill()
	room := min(float64(min(most, n.set.MaxMessageBytes-headBytes)), n.tokens)
	if n.set.wrong.noBound {
		room = most
	}
	add := func(r Update) bool {
		size := float64(r.size())
		if size > room {
			return false
		}
		room, n.tokens = room-size, n.tokens-size
		list = append(list, r)
		return true
	}
	if to.state == StateSuspect || to.state == StateDead || to.state == StateLeft {
		room += float64(to.size())
		add(to.rumour())
	}
	if n.waking > 0 {
		return list
	}
	slices.SortStableFunc(n.hot, func(a, b *member) int { return int(b.spread) - int(a.spread) })
	same := to.view == fold(n.whole()) && !n.set.wrong.noBound // it knows all but suspicions
	for _, m := range n.hot {
		if same && m.state != StateSuspect {
			continue
		}
		if m != to && m.spread > 0 && add(m.rumour()) && !n.set.wrong.noBound {
			m.spread--
		}
	}
	n.hot = slices.DeleteFunc(n.hot, func(m *member) bool {
		if n.now-m.passed > staleRumour && !n.set.wrong.noBound {
			m.spread = 0 // who has not heard it by now compares views
		}
		return m.spread == 0
	})
	return list
}

// fill adds what time allows to be passed on.
func (n *Node) fill() {
	n.tokens = min(n.tokens+float64(n.now-n.filled)*float64(n.set.GossipBytesPerSecond)/second, burst)
	n.filled = n.now
}

func (m *member) size() int { r := m.rumour(); return r.size() }

// rumour is what is passed on; brief where the others know who it is.
func (m *member) rumour() Update {
	r := m.whole()
	if m.state == StateSuspect || m.state == StateDead {
		r.Zone, r.Addr = "", netip.AddrPort{}
	}
	return r
}

func (m *member) whole() Update {
	r := Update{Name: m.name, Zone: m.place, Addr: m.addr, ID: m.id, Incarnation: m.inc, State: m.state, Process: m.runs}
	for _, w := range m.witnesses {
		if w != 0 && m.state == StateSuspect {
			r.SuspectedBy = append(r.SuspectedBy, w)
		}
	}
	return r
}

// pass lets a member's rumour ride on the next words: so many for each doubling
// of the members.
func (n *Node) pass(m *member, each int64) {
	m.spread, m.passed = max(m.spread, uint8(min(each*log2(n.alive+1), 255))), n.now
	if !slices.Contains(n.hot, m) {
		n.hot = append(n.hot, m)
	}
	n.quiet = n.now
}

// ---- Asking ----

// any draws a member.
func (n *Node) any(fit func(*member) bool) *member {
	if len(n.round) == 0 {
		return nil
	}
	at := n.dice.IntN(len(n.round))
	for i := range n.round {
		if m := n.round[(at+i)%len(n.round)]; fit(m) {
			return m
		}
	}
	return nil
}

// probe asks the next of the round. Each comes up once a round, in an order of
// chance (SWIM's bounded time to the first question).
//
// When many fail at once there is more to ask: three times as often, while a quarter
// of the last questions had no answer.
func (n *Node) probe() {
	every := n.set.ProbeInterval * int64(1+n.health)
	if n.failing() {
		every = n.set.ProbeInterval / 3
	}
	if n.now-n.pinged < every {
		return
	}
	n.pinged = n.now
	for range len(n.round) + 1 {
		if n.at >= len(n.round) {
			n.at = 0
			n.dice.Shuffle(len(n.round), func(i, j int) { n.round[i], n.round[j] = n.round[j], n.round[i] })
			if len(n.round) == 0 {
				return
			}
		}
		m := n.round[n.at]
		n.at++
		if !m.state.gone() {
			n.ping(m)
			return
		}
	}
}

func (n *Node) failing() bool {
	if n.nth < calmSamples || n.waking > 0 {
		return false
	}
	answered := 0
	for _, ok := range n.answers {
		if ok {
			answered++
		}
	}
	return 4*answered <= 3*calmSamples
}

func (n *Node) ping(m *member) {
	if len(n.asked) >= mostAsked {
		// Those that were answered by nobody only wait for a late answer's time. Where
		// all the others may still be answered, no more is asked: who is never waited
		// for long enough is never found silent.
		i := slices.IndexFunc(n.asked, func(q question) bool { return q.over })
		if i < 0 {
			return
		}
		n.asked = slices.Delete(n.asked, i, i+1)
	}
	n.seq++
	n.asked = append(n.asked, question{seq: n.seq, to: m, id: m.id, sent: n.now, due: n.now + n.wait(m)})
	n.send(m, KindPing, Message{RequestID: n.seq})
}

// wait is how long an answer may take: three times what nine in ten of the last
// took, twice what this one took last; longer while oneself is in doubt.
func (n *Node) wait(m *member) int64 {
	sorted := n.rtts
	slices.Sort(sorted[:])
	w := max(n.set.ProbeInterval/2, 3*int64(sorted[calmSamples-2]), 2*int64(m.rtt))
	return min(w*int64(1+n.health), mostDelay)
}

// overdue asks through others what was not answered, and then counts it.
func (n *Node) overdue() {
	kept := n.asked[:0]
	for _, q := range n.asked {
		switch {
		case q.to.id != q.id: // it has another life since
			continue
		case q.over:
			if n.now-q.sent > 2*mostDelay {
				continue
			}
		case n.now < q.due:
		case !q.through:
			q.through, q.due = true, n.now+2*n.wait(q.to)
			for range relays {
				r := n.any(func(m *member) bool { return m != q.to && m.state == StateAlive })
				if r != nil {
					n.send(r, KindIndirectPing, Message{RequestID: q.seq, Target: q.to.name})
				}
			}
		default:
			q.over = true
			n.sample(false)
			q.to.silent = min(q.to.silent+1, 200)
			q.to.reach = ReachNone
			// Nobody has said even that it can't say: the fault is nearer here.
			if q.nacks == 0 && n.alive > 1 && n.now-n.heard > n.set.ProbeInterval {
				n.health = min(n.health+1, mostHealth)
			}
			n.input(q.to, inSilent, witnessOf(n.self.Name))
		}
		kept = append(kept, q)
	}
	n.asked = kept
	n.relayed = slices.DeleteFunc(n.relayed, func(r relay) bool {
		if n.now < r.due {
			return false
		}
		if m := n.members[r.from]; m != nil && !m.state.gone() {
			n.send(m, KindNack, Message{RequestID: r.back})
		}
		return true
	})
}

func (n *Node) sample(answered bool) {
	n.answers[n.nth%calmSamples] = answered
	n.nth++
}

// answered takes a proof that a question's member lives.
func (n *Node) answered(seq uint32, relayed bool) {
	for i := range n.asked {
		q := &n.asked[i]
		if q.seq != seq {
			continue
		}
		took := n.now - q.sent
		q.to.heard, q.to.silent = n.now, 0
		if relayed {
			q.to.reach = ReachRelayed
		} else {
			q.to.reach, q.to.rtt = ReachDirect, int32(min(took, mostDelay))
			n.rtts[n.dice.IntN(calmSamples)] = int32(min(took, mostDelay))
			n.health = max(n.health-1, 0)
		}
		if !q.over {
			n.sample(true)
		}
		if q.sent >= n.waking {
			n.waking = 0
		}
		n.input(q.to, inProof, 0)
		n.asked = slices.Delete(n.asked, i, i+1)
		return
	}
}

// retry says hello to one of the dead, or to a seed that was never heard: so a cut
// that heals is found, and a router that comes back is taken in.
func (n *Node) retry() {
	if n.now-n.retried < retryEvery && !(n.self.State == StateJoining && n.now-n.retried >= retryEvery/5) {
		return
	}
	n.retried = n.now - int64(n.dice.IntN(int(retryEvery/10)))
	n.hello()
}

func (n *Node) hello() {
	var list []*member
	for _, m := range n.members {
		if (m.state == StateDead || m.state == StateUnknown && m.seed) && m.addr.IsValid() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return compareNames(a, b) })
	if n.self.State == StateNameConflict && len(list) == 0 {
		list = append(list, n.round...)
	}
	if len(list) == 0 {
		return
	}
	count := 1
	if n.self.State == StateJoining {
		count = relays
	}
	for range min(count, len(list)) {
		i := n.dice.IntN(len(list))
		n.seq++
		n.send(list[i], KindHello, Message{RequestID: n.seq})
		list = slices.Delete(list, i, i+1)
	}
}

// ask has views compared.
func (n *Node) ask(m *member) {
	n.Counts.StateExchanges++
	parts := n.parts
	own := digest(n.self.Name, n.self.ID, n.self.Incarnation, n.self.State)
	parts[bucketOf(n.self.Name)] ^= fold(own)
	all := uint32(0)
	if n.now-n.since < 2*second { // it knows nothing of the dead either
		all = 1
	}
	n.send(m, KindDigestExchange, Message{RequestID: all, BucketDigests: parts[:]})
}

// whole is the digest of all who are there, oneself among them.
func (n *Node) whole() uint64 {
	return n.digest ^ digest(n.self.Name, n.self.ID, n.self.Incarnation, n.self.State)
}

// told sends a next piece of the members that somebody asked for.
func (n *Node) told() {
	if len(n.chunk) == 0 || n.chunkTo.state.gone() {
		n.chunk = nil
		return
	}
	n.telling = min(n.telling+float64(n.now-n.toldAt)*float64(2*n.set.GossipBytesPerSecond)/second, 2*burst)
	n.toldAt = n.now
	var list []Update
	room := min(float64(n.set.MaxMessageBytes-headBytes), n.telling)
	for len(n.chunk) > 0 && len(list) < mostRumours {
		r := n.chunk[0].whole()
		if size := float64(r.size()); size <= room {
			room, n.telling = room-size, n.telling-size
		} else {
			break
		}
		list = append(list, r)
		n.chunk = n.chunk[1:]
	}
	if len(list) > 0 {
		n.send(n.chunkTo, KindStateExchange, Message{Updates: list})
	}
}

// dues ends suspicions and forgets who has long been gone.
func (n *Node) dues() {
	gone := 0
	for _, m := range n.members {
		if m.state == StateDead || m.state == StateLeft {
			gone++
		}
	}
	var all []*member
	for _, m := range n.members {
		if m.state == StateSuspect && (n.now >= m.due-checkBefore || m.checkAt > 0 && n.now >= m.checkAt && !m.checked) || m.state == StateDead && n.now-m.since > keepDead && !m.seed ||
			m.state == StateLeft && n.now-m.since > keepLeft && !m.seed {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, compareNames)
	for _, m := range all {
		switch {
		case m.state == StateSuspect && m.silent == 0:
			if !m.checked {
				m.checked = true
				n.ping(m)
			}
		case m.state == StateSuspect && n.now < m.due:
		case m.state == StateSuspect:
			n.input(m, inDue, 0)
		default:
			n.input(m, inForget, 0)
			gone--
		}
	}
	for ; gone > mostGone; gone-- {
		var oldest *member
		for _, m := range n.members {
			if m.state.gone() && !m.seed && (oldest == nil || m.since < oldest.since || m.since == oldest.since && m.name < oldest.name) {
				oldest = m
			}
		}
		if oldest == nil {
			return
		}
		n.input(oldest, inForget, 0)
	}
}
