package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

func compareNames(a, b *member) int { return cmp.Compare(a.name, b.name) }

// Heard takes a word whose key was good and tells what is to be sent for it. via
// is where it came from: only a tool's Query is answered there.
func (n *Node) Heard(now int64, via netip.AddrPort, w *Word) []Out {
	n.clock(now)
	if !w.good() {
		n.Counts.Bad++
		return n.take()
	}
	if w.To != n.self.Name {
		n.Counts.Foreign++
		return n.take()
	}
	if w.Kind == Query {
		n.query(via, w)
		return n.take()
	}
	if w.From.Name == n.self.Name {
		n.double(w)
		return n.take()
	}
	if n.self.State == Doubled && w.Kind != Welcome || n.self.State == Left {
		return n.take()
	}
	m := n.members[w.From.Name]
	if w.Kind == Hello {
		n.Counts.Taken++
		n.greet(m, w)
		return n.take()
	}
	if w.Life != n.self.ID { // to an earlier life of this name, or old altogether
		n.Counts.Foreign++
		// It does not know this life yet: say so where it listens.
		if m == nil {
			m = &member{name: w.From.Name, addr: w.From.Addr}
		}
		if w.Kind == Ping && m.addr.IsValid() {
			n.send(m, Hello, Word{})
		}
		return n.take()
	}
	if m = n.sender(m, w); m == nil {
		return n.take()
	}
	n.Counts.Taken++
	n.heard = n.now
	m.heard = n.now
	if m.reach == Told {
		m.reach = Direct
	}
	if n.self.State == Joining {
		n.self.State, n.since = Alive, n.now
	}
	n.input(m, inProof, 0)
	for i := range w.Rumours {
		n.rumour(&w.Rumours[i], w.Kind == Tell)
	}
	n.kinds(m, w)
	const mostLetters = 64
	if len(n.letters) < mostLetters && (w.Kind == Ack || w.Kind == Ping || w.Kind == Mail) {
		n.letters = append(n.letters, Letter{m.name, w.Tag, w.Body})
	}
	return n.take()
}

// sender finds the member that a word comes from and believes what it says of
// itself; nil: the word is one that has come before, or of a life that is over.
func (n *Node) sender(m *member, w *Word) *member {
	f := &w.From
	if m != nil && m.state != Unknown {
		switch c := f.ID.Compare(m.id); {
		case c < 0:
			n.Counts.Foreign++
			n.outdated(m, w)
			return nil
		case c == 0 && !n.set.wrong.takesReplays && !m.fresh(w.N):
			n.Counts.Replayed++
			return nil
		}
	}
	if f.State == Joining {
		f.State = Alive
	}
	if m = n.rumour(f, false); m == nil {
		return nil
	}
	if m.high == 0 {
		m.fresh(w.N)
	}
	m.view = fold(w.Digest)
	return m
}

// fresh tells whether a word's number is new, and marks it: a window of 64, as
// datagrams may overtake each other (RFC 4303, appendix A).
func (m *member) fresh(num uint64) bool {
	switch {
	case num > m.high:
		if up := num - m.high; up < 64 {
			m.window = m.window<<up | 1
		} else {
			m.window = 1
		}
		m.high = num
	case m.high-num >= 64 || m.window&(1<<(m.high-num)) != 0:
		return false
	default:
		m.window |= 1 << (m.high - num)
	}
	return true
}

// kinds carries out what a word asks.
func (n *Node) kinds(m *member, w *Word) {
	switch w.Kind {
	case Ping:
		n.send(m, Ack, Word{Seq: w.Seq})
	case Ack, Welcome:
		for i := range n.relayed {
			if r := n.relayed[i]; r.seq == w.Seq && w.Kind == Ack {
				if back := n.members[r.from]; back != nil && !back.state.gone() {
					n.send(back, Ack, Word{Seq: r.back, Target: m.name})
				}
				n.relayed = slices.Delete(n.relayed, i, i+1)
				return
			}
		}
		if w.Kind == Ack {
			n.answered(w.Seq, w.Target != "")
		}
		n.differ(m, w)
	case Nack:
		for i := range n.asked {
			if n.asked[i].seq == w.Seq {
				n.asked[i].nacks++
			}
		}
	case Through:
		t := n.members[w.Target]
		if t == nil || t.state.gone() || len(n.relayed) >= mostRelayed {
			return
		}
		n.seq++
		n.relayed = append(n.relayed, relay{n.seq, w.Seq, m.name, n.now + n.wait(t)})
		n.Counts.Relayed++
		n.send(t, Ping, Word{Seq: n.seq})
	case Compare:
		if n.waking > 0 || len(w.Buckets) != buckets || len(n.chunk) > 0 {
			return // what a sleeper holds is old; one at a time: the other asks somebody else
		}
		n.chunk = n.chunk[:0]
		parts := n.parts
		parts[bucketOf(n.self.Name)] ^= fold(digest(n.self.Name, n.self.ID, n.self.Inc, n.self.State))
		for _, x := range n.members {
			if b := bucketOf(x.name); x.state != Unknown && (w.Seq == 1 || w.Buckets[b] != parts[b]) {
				n.chunk = append(n.chunk, x)
			}
		}
		slices.SortFunc(n.chunk, compareNames)
		n.chunkTo = m
		n.told()
	}
}

// differ has views compared with one whose digest is another, once the own view
// has been quiet: most differences are rumours on their way.
func (n *Node) differ(m *member, w *Word) {
	const settled = 600 * ms
	if w.Digest != n.whole() && n.now-n.compare >= askEvery && (w.Kind == Welcome || n.now-n.quiet >= settled) {
		n.compare = n.now - int64(n.dice.IntN(int(askEvery/4)))
		n.ask(m)
	}
}

// greet answers a Hello. Its sender is believed only once it speaks to this very
// life, which it learns of by the answer: the Hello may be an old one.
func (n *Node) greet(m *member, w *Word) {
	if n.self.State == Joining && n.now-n.started < second/4 && w.Seq == 0 {
		return
	}
	stranger := &member{name: w.From.Name, addr: w.From.Addr, id: w.From.ID}
	if m != nil {
		stranger.addr = m.address(w.From.Addr)
		if c := m.id.Compare(w.From.ID); m.state != Unknown && (c > 0 || c == 0 && m.state.gone()) {
			n.outdated(m, w)
			return
		}
	}
	if stranger.addr.IsValid() {
		n.send(stranger, Welcome, Word{Seq: w.Seq})
	}
}

// outdated answers a life that is held over, or lower than one that was heard of:
// it must know what is held of its name, to say otherwise. Nothing is answered to
// that but once, by a comparing.
func (n *Node) outdated(m *member, w *Word) {
	r := m.rumour()
	n.send(&member{name: m.name, addr: m.address(w.From.Addr), id: w.From.ID}, Welcome, Word{Seq: w.Seq})
	out := n.out[len(n.out)-1].Word
	out.Rumours = append([]Rumour{r}, out.Rumours...)
}

// address of a member: the operator's file goes before what is told.
func (m *member) address(told netip.AddrPort) netip.AddrPort {
	if m.seed && m.addr.IsValid() || !told.IsValid() {
		return m.addr
	}
	return told
}

// rumour takes what is said of a router. Nothing of an earlier life counts, and
// within a life only what is not older than what is held. whole: it is from a
// comparing of views, so that what is newer here is passed on.
func (n *Node) rumour(r *Rumour, whole bool) *member {
	if r.Name == n.self.Name {
		n.ofSelf(r)
		return nil
	}
	m := n.members[r.Name]
	if r.State == Joining {
		return nil // nobody says that of another
	}
	if m == nil {
		if len(n.members) >= mostMembers {
			n.Counts.TooMany++
			return nil
		}
		m = &member{name: r.Name}
		n.members[r.Name] = m
	}
	if r.ID == m.id { // brief rumours came before
		m.place = cmp.Or(m.place, r.Place)
		if !m.addr.IsValid() {
			m.addr = r.Addr
		}
	}
	bare := r.State == Alive || r.State == Leaving || r.State == Left
	switch c := r.ID.Compare(m.id); {
	case m.state == Unknown || c > 0: // a life not heard of before
		n.mark(m)
		n.place(m, Unknown)
		*m = member{name: m.name, addr: m.address(r.Addr), seed: m.seed, place: r.Place, id: r.ID, inc: r.Inc, since: n.now, spread: m.spread, runs: r.Runs}
		n.mark(m)
	case c < 0:
		if whole {
			n.pass(m, 1)
		}
		return m
	case n.set.wrong.noIncarnations:
		m.inc = r.Inc
	case r.Inc < m.inc || bare && r.Inc == m.inc:
		if whole && (r.Inc < m.inc || m.state != r.State) && (m.state == Dead || r.Inc < m.inc) {
			n.pass(m, 1)
		}
		return m
	default:
		n.mark(m)
		m.inc = r.Inc
		m.addr = m.address(r.Addr)
		if r.Place != "" {
			m.place = r.Place
		}
		if r.Runs != nil {
			m.runs = r.Runs
		}
		n.mark(m)
	}
	if whole { // who told it will have told others
		defer func() { m.spread = min(m.spread, uint8(log2(n.alive+1))) }()
	}
	switch r.State {
	case Alive:
		n.input(m, inAlive, 0)
	case Leaving:
		n.input(m, inLeaving, 0)
	case Left:
		n.input(m, inLeft, 0)
	case Suspected:
		for _, w := range r.Witnesses {
			n.input(m, inSuspect, w)
		}
		if len(r.Witnesses) == 0 {
			n.input(m, inSuspect, nameless)
		}
	case Dead:
		n.input(m, inDead, nameless)
	}
	return m
}

// ofSelf answers what is said of the own name.
func (n *Node) ofSelf(r *Rumour) {
	bad := r.State == Suspected || r.State == Dead || r.State == Left || r.State == Leaving && n.self.State != Leaving
	switch c := r.ID.Compare(n.self.ID); {
	case c < 0 || c == 0 && !bad || c == 0 && r.Inc < n.self.Inc:
	case n.set.wrong.noRefuting || n.self.State == Doubled && !r.State.gone():
	case c == 0:
		n.Counts.Refuted++
		if r.State == Suspected {
			n.health = min(n.health+1, mostHealth)
		}
		n.refute(r.Inc)
	default:
		n.outbid(r)
	}
}

// refute says that it lives, above an incarnation.
func (n *Node) refute(inc uint32) {
	n.self.Inc = max(inc, n.self.Inc) + 1
	n.quiet = n.now
}

// outbid takes the own name back from a life that is not this one: mostly one's
// own earlier life, while the clock of the start was behind. Who lives as well
// outbids in turn; then both ask each other, or this one gives in.
func (n *Node) outbid(r *Rumour) {
	n.outbids = slices.DeleteFunc(n.outbids, func(at int64) bool { return n.now-at > 60*second })
	if len(n.outbids) >= mostOutbids {
		n.yield()
		return
	}
	n.outbids = append(n.outbids, n.now)
	n.Counts.Outbidden++
	n.self.ID.Life = r.ID.Life + 1
	n.refute(0)
	if n.self.State == Doubled {
		n.self.State = Joining
	}
	if !r.State.gone() && r.Addr.IsValid() && r.Addr != n.self.Addr {
		n.send(&member{name: n.self.Name, addr: r.Addr, id: r.ID}, Hello, Word{})
	}
}

// double meets another process of the own name. A Hello may be an old one, of an
// earlier life: it is only answered. By a word to this very life both know, and
// the later one keeps the name, on both sides by the same order.
func (n *Node) double(w *Word) {
	f := &w.From
	switch {
	case f.ID.Nonce == n.self.ID.Nonce: // one's own word came back
	case w.Kind != Hello && w.Life != n.self.ID:
		n.Counts.Foreign++
	case w.Kind != Hello && f.ID.Compare(n.self.ID) > 0:
		n.yield()
	case f.Addr.IsValid() && n.self.State != Doubled:
		n.send(&member{name: n.self.Name, addr: f.Addr, id: f.ID}, Welcome, Word{})
	}
}

func (n *Node) yield() {
	if n.self.State != Doubled {
		n.news = append(n.news, Change{n.now, n.self.Name, n.self.State, Doubled, n.self.ID})
	}
	n.self.State, n.doubled = Doubled, n.now
}

// mark takes a member out of the digests, or into them.
func (n *Node) mark(m *member) {
	d := digest(m.name, m.id, m.inc, m.state)
	n.digest ^= d
	n.parts[bucketOf(m.name)] ^= fold(d)
}

func fold(d uint64) uint32 { return uint32(d) ^ uint32(d>>32) }

// input looks a member's state up and carries the effect out.
func (n *Node) input(m *member, in input, by uint16) {
	r := table[m.state][in]
	if r.next != m.state {
		n.news = append(n.news, Change{n.now, m.name, m.state, r.next, m.id})
		n.mark(m)
		n.place(m, r.next)
		m.state, m.since = r.next, n.now
		n.mark(m)
		switch r.next {
		case Suspected:
			n.Counts.Suspicions++
			if m.checked, m.checkAt = false, 0; in != inSilent {
				m.silent = 0 // of earlier questions
				if n.dice.IntN(n.alive+1) < checkers {
					m.checkAt = n.now + suspicionLeast(n.alive+1)/4
				}
			}
		case Dead:
			n.Counts.Deaths++
		}
		if r.next != Suspected {
			m.witnesses = [enough]uint16{}
		}
	}
	switch r.effect {
	case spread:
		n.pass(m, spreadFactor)
	case echo:
		n.pass(m, 1)
	case suspect:
		m.witness(by)
		n.setDue(m)
		n.pass(m, spreadFactor)
	case witness:
		if m.witness(by) {
			n.setDue(m)
			n.pass(m, 1)
		}
	case doubt:
		if m.witness(by) {
			n.setDue(m)
			if n.pay() {
				n.ping(m)
			}
		}
	case hold:
		if in == inProof {
			m.due, m.checked = max(m.due, n.now+suspicionLeast(n.alive+1)), false
		}
	case tell:
		if n.pay() {
			n.send(m, Ping, Word{}) // with what is held of it
		}
	case drop:
		n.forget(m)
	}
}

// pay takes a question that no round asks for out of what may be passed on.
func (n *Node) pay() bool {
	const price = 150 // bytes
	n.fill()
	if n.tokens < price {
		return false
	}
	n.tokens -= price
	return true
}

func (m *member) witness(by uint16) (fresh bool) {
	for i, w := range m.witnesses {
		if w == by {
			return false
		}
		if w == 0 {
			m.witnesses[i] = by
			return true
		}
	}
	return false
}

func (n *Node) setDue(m *member) {
	count := 0
	for _, w := range m.witnesses {
		if w != 0 {
			count++
		}
	}
	if n.set.wrong.oneWitness {
		count = enough
	}
	m.due = m.since + suspicion(count, n.alive+1)
}

// place moves a member into the round of those that are asked, or out of it.
func (n *Node) place(m *member, next State) {
	switch was, will := !m.state.gone(), !next.gone(); {
	case !was && will:
		n.alive++
		n.round = append(n.round, m) // to a place of chance
		i := n.dice.IntN(len(n.round))
		last := len(n.round) - 1
		n.round[i], n.round[last] = n.round[last], n.round[i]
	case was && !will:
		n.alive--
		if i := slices.Index(n.round, m); i >= 0 {
			n.round = slices.Delete(n.round, i, i+1)
			if i < n.at {
				n.at--
			}
		}
	}
}

func (n *Node) forget(m *member) {
	m.spread = 0
	n.hot = slices.DeleteFunc(n.hot, func(x *member) bool { return x == m })
	delete(n.members, m.name)
	if m.seed { // its address stays, all that was held of it goes
		n.members[m.name] = &member{name: m.name, addr: m.addr, seed: true}
	}
}

// Leave says that the router will go: nobody takes its silence for a failure.
func (n *Node) Leave(now int64) {
	n.clock(now)
	if n.self.State == Alive || n.self.State == Joining {
		n.self.State = Leaving
		n.refute(n.self.Inc)
	}
}

// Gone says that the router goes now, to some of the others; they pass it on.
func (n *Node) Gone(now int64) []Out {
	n.clock(now)
	if n.self.State == Doubled {
		return nil
	}
	n.self.State = Left
	n.refute(n.self.Inc)
	for range 2 * relays {
		if m := n.any(func(m *member) bool { return m.state == Alive }); m != nil {
			n.send(m, Ping, Word{})
		}
	}
	return n.take()
}
