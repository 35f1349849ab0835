package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

func compareNames(a, b *member) int { return cmp.Compare(a.name, b.name) }

// Receive takes a word whose key was good and tells what is to be sent for it. via
// is where it came from: only a tool's Query is answered there.
func (n *Node) Receive(now int64, via netip.AddrPort, w *Message) []Outbound {
	n.clock(now)
	if !w.good() {
		n.Counts.Malformed++
		return n.take()
	}
	if w.To != n.self.Name {
		n.Counts.Misaddressed++
		return n.take()
	}
	if w.Kind == KindQuery {
		n.query(via, w)
		return n.take()
	}
	if w.Sender.Name == n.self.Name {
		n.double(w)
		return n.take()
	}
	if n.self.State == StateNameConflict && w.Kind != KindWelcome || n.self.State == StateLeft {
		return n.take()
	}
	m := n.members[w.Sender.Name]
	if w.Kind == KindHello {
		n.Counts.Received++
		n.greet(m, w)
		return n.take()
	}
	if w.ToInstance != n.self.ID { // to an earlier life of this name, or old altogether
		n.Counts.Misaddressed++
		// It does not know this life yet: say so where it listens.
		if m == nil {
			m = &member{name: w.Sender.Name, addr: w.Sender.Addr}
		}
		if w.Kind == KindPing && m.addr.IsValid() {
			n.send(m, KindHello, Message{})
		}
		return n.take()
	}
	if m = n.sender(m, w); m == nil {
		return n.take()
	}
	n.Counts.Received++
	n.heard = n.now
	m.heard = n.now
	if m.reach == ReachReported {
		m.reach = ReachDirect
	}
	if n.self.State == StateJoining {
		n.self.State, n.since = StateAlive, n.now
	}
	n.input(m, inProof, 0)
	for i := range w.Updates {
		n.rumour(&w.Updates[i], w.Kind == KindStateExchange)
	}
	n.kinds(m, w)
	const mostLetters = 64
	if len(n.letters) < mostLetters && (w.Kind == KindAck || w.Kind == KindPing || w.Kind == KindPayload) {
		n.letters = append(n.letters, Payload{m.name, w.GossipDigest, w.Body})
	}
	return n.take()
}

// sender finds the member that a word comes from and believes what it says of
// itself; nil: the word is one that has come before, or of a life that is over.
func (n *Node) sender(m *member, w *Message) *member {
	f := &w.Sender
	if m != nil && m.state != StateUnknown {
		switch c := f.ID.Compare(m.id); {
		case c < 0:
			n.Counts.Misaddressed++
			n.outdated(m, w)
			return nil
		case c == 0 && !n.set.wrong.takesReplays && !m.fresh(w.Sequence):
			n.Counts.Replayed++
			return nil
		}
	}
	if f.State == StateJoining {
		f.State = StateAlive
	}
	if m = n.rumour(f, false); m == nil {
		return nil
	}
	if m.high == 0 {
		m.fresh(w.Sequence)
	}
	m.view = fold(w.ViewDigest)
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
func (n *Node) kinds(m *member, w *Message) {
	switch w.Kind {
	case KindPing:
		n.send(m, KindAck, Message{RequestID: w.RequestID})
	case KindAck, KindWelcome:
		for i := range n.relayed {
			if r := n.relayed[i]; r.seq == w.RequestID && w.Kind == KindAck {
				if back := n.members[r.from]; back != nil && !back.state.gone() {
					n.send(back, KindAck, Message{RequestID: r.back, Target: m.name})
				}
				n.relayed = slices.Delete(n.relayed, i, i+1)
				return
			}
		}
		if w.Kind == KindAck {
			n.answered(w.RequestID, w.Target != "")
		}
		n.differ(m, w)
	case KindNack:
		for i := range n.asked {
			if n.asked[i].seq == w.RequestID {
				n.asked[i].nacks++
			}
		}
	case KindIndirectPing:
		t := n.members[w.Target]
		if t == nil || t.state.gone() || len(n.relayed) >= mostRelayed {
			return
		}
		n.seq++
		n.relayed = append(n.relayed, relay{n.seq, w.RequestID, m.name, n.now + n.wait(t)})
		n.Counts.Relayed++
		n.send(t, KindPing, Message{RequestID: n.seq})
	case KindDigestExchange:
		if n.waking > 0 || len(w.BucketDigests) != buckets || len(n.chunk) > 0 {
			return // what a sleeper holds is old; one at a time: the other asks somebody else
		}
		n.chunk = n.chunk[:0]
		parts := n.parts
		parts[bucketOf(n.self.Name)] ^= fold(digest(n.self.Name, n.self.ID, n.self.Incarnation, n.self.State))
		for _, x := range n.members {
			if b := bucketOf(x.name); x.state != StateUnknown && (w.RequestID == 1 || w.BucketDigests[b] != parts[b]) {
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
func (n *Node) differ(m *member, w *Message) {
	const settled = 600 * ms
	if w.ViewDigest != n.whole() && n.now-n.compare >= askEvery && (w.Kind == KindWelcome || n.now-n.quiet >= settled) {
		n.compare = n.now - int64(n.dice.IntN(int(askEvery/4)))
		n.ask(m)
	}
}

// greet answers a Hello. Its sender is believed only once it speaks to this very
// life, which it learns of by the answer: the Hello may be an old one.
func (n *Node) greet(m *member, w *Message) {
	if n.self.State == StateJoining && n.now-n.started < second/4 && w.RequestID == 0 {
		return
	}
	stranger := &member{name: w.Sender.Name, addr: w.Sender.Addr, id: w.Sender.ID}
	if m != nil {
		stranger.addr = m.address(w.Sender.Addr)
		if c := m.id.Compare(w.Sender.ID); m.state != StateUnknown && (c > 0 || c == 0 && m.state.gone()) {
			n.outdated(m, w)
			return
		}
	}
	if stranger.addr.IsValid() {
		n.send(stranger, KindWelcome, Message{RequestID: w.RequestID})
	}
}

// outdated answers a life that is held over, or lower than one that was heard of:
// it must know what is held of its name, to say otherwise. Nothing is answered to
// that but once, by a comparing.
func (n *Node) outdated(m *member, w *Message) {
	r := m.rumour()
	n.send(&member{name: m.name, addr: m.address(w.Sender.Addr), id: w.Sender.ID}, KindWelcome, Message{RequestID: w.RequestID})
	out := n.out[len(n.out)-1].Message
	out.Updates = append([]Update{r}, out.Updates...)
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
func (n *Node) rumour(r *Update, whole bool) *member {
	if r.Name == n.self.Name {
		n.ofSelf(r)
		return nil
	}
	m := n.members[r.Name]
	if r.State == StateJoining {
		return nil // nobody says that of another
	}
	if m == nil {
		if len(n.members) >= mostMembers {
			n.Counts.RejectedFull++
			return nil
		}
		m = &member{name: r.Name}
		n.members[r.Name] = m
	}
	if r.ID == m.id { // brief rumours came before
		m.place = cmp.Or(m.place, r.Zone)
		if !m.addr.IsValid() {
			m.addr = r.Addr
		}
	}
	bare := r.State == StateAlive || r.State == StateLeaving || r.State == StateLeft
	switch c := r.ID.Compare(m.id); {
	case m.state == StateUnknown || c > 0: // a life not heard of before
		n.mark(m)
		n.place(m, StateUnknown)
		*m = member{name: m.name, addr: m.address(r.Addr), seed: m.seed, place: r.Zone, id: r.ID, inc: r.Incarnation, since: n.now, spread: m.spread, runs: r.Process}
		n.mark(m)
	case c < 0:
		if whole {
			n.pass(m, 1)
		}
		return m
	case n.set.wrong.noIncarnations:
		m.inc = r.Incarnation
	case r.Incarnation < m.inc || bare && r.Incarnation == m.inc:
		if whole && (r.Incarnation < m.inc || m.state != r.State) && (m.state == StateDead || r.Incarnation < m.inc) {
			n.pass(m, 1)
		}
		return m
	default:
		n.mark(m)
		m.inc = r.Incarnation
		m.addr = m.address(r.Addr)
		if r.Zone != "" {
			m.place = r.Zone
		}
		if r.Process != nil {
			m.runs = r.Process
		}
		n.mark(m)
	}
	if whole { // who told it will have told others
		defer func() { m.spread = min(m.spread, uint8(log2(n.alive+1))) }()
	}
	switch r.State {
	case StateAlive:
		n.input(m, inAlive, 0)
	case StateLeaving:
		n.input(m, inLeaving, 0)
	case StateLeft:
		n.input(m, inLeft, 0)
	case StateSuspect:
		for _, w := range r.SuspectedBy {
			n.input(m, inSuspect, w)
		}
		if len(r.SuspectedBy) == 0 {
			n.input(m, inSuspect, nameless)
		}
	case StateDead:
		n.input(m, inDead, nameless)
	}
	return m
}

// ofSelf answers what is said of the own name.
func (n *Node) ofSelf(r *Update) {
	bad := r.State == StateSuspect || r.State == StateDead || r.State == StateLeft || r.State == StateLeaving && n.self.State != StateLeaving
	switch c := r.ID.Compare(n.self.ID); {
	case c < 0 || c == 0 && !bad || c == 0 && r.Incarnation < n.self.Incarnation:
	case n.set.wrong.noRefuting || n.self.State == StateNameConflict && !r.State.gone():
	case c == 0:
		n.Counts.Refutations++
		if r.State == StateSuspect {
			n.health = min(n.health+1, mostHealth)
		}
		n.refute(r.Incarnation)
	default:
		n.outbid(r)
	}
}

// refute says that it lives, above an incarnation.
func (n *Node) refute(inc uint32) {
	n.self.Incarnation = max(inc, n.self.Incarnation) + 1
	n.quiet = n.now
}

// outbid takes the own name back from a life that is not this one: mostly one's
// own earlier life, while the clock of the start was behind. Who lives as well
// outbids in turn; then both ask each other, or this one gives in.
func (n *Node) outbid(r *Update) {
	n.outbids = slices.DeleteFunc(n.outbids, func(at int64) bool { return n.now-at > 60*second })
	if len(n.outbids) >= mostOutbids {
		n.yield()
		return
	}
	n.outbids = append(n.outbids, n.now)
	n.Counts.NameReclaims++
	n.self.ID.Epoch = r.ID.Epoch + 1
	n.refute(0)
	if n.self.State == StateNameConflict {
		n.self.State = StateJoining
	}
	if !r.State.gone() && r.Addr.IsValid() && r.Addr != n.self.Addr {
		n.send(&member{name: n.self.Name, addr: r.Addr, id: r.ID}, KindHello, Message{})
	}
}

// double meets another process of the own name. A Hello may be an old one, of an
// earlier life: it is only answered. By a word to this very life both know, and
// the later one keeps the name, on both sides by the same order.
func (n *Node) double(w *Message) {
	f := &w.Sender
	switch {
	case f.ID.Nonce == n.self.ID.Nonce: // one's own word came back
	case w.Kind != KindHello && w.ToInstance != n.self.ID:
		n.Counts.Misaddressed++
	case w.Kind != KindHello && f.ID.Compare(n.self.ID) > 0:
		n.yield()
	case f.Addr.IsValid() && n.self.State != StateNameConflict:
		n.send(&member{name: n.self.Name, addr: f.Addr, id: f.ID}, KindWelcome, Message{})
	}
}

func (n *Node) yield() {
	if n.self.State != StateNameConflict {
		n.news = append(n.news, Change{n.now, n.self.Name, n.self.State, StateNameConflict, n.self.ID})
	}
	n.self.State, n.doubled = StateNameConflict, n.now
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
		case StateSuspect:
			n.Counts.Suspicions++
			if m.checked, m.checkAt = false, 0; in != inSilent {
				m.silent = 0 // of earlier questions
				if n.dice.IntN(n.alive+1) < checkers {
					m.checkAt = n.now + suspicionLeast(n.alive+1)/4
				}
			}
		case StateDead:
			n.Counts.Deaths++
		}
		if r.next != StateSuspect {
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
			n.send(m, KindPing, Message{}) // with what is held of it
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
	if n.self.State == StateAlive || n.self.State == StateJoining {
		n.self.State = StateLeaving
		n.refute(n.self.Incarnation)
	}
}

// Depart says that the router goes now, to some of the others; they pass it on.
func (n *Node) Depart(now int64) []Outbound {
	n.clock(now)
	if n.self.State == StateNameConflict {
		return nil
	}
	n.self.State = StateLeft
	n.refute(n.self.Incarnation)
	for range 2 * relays {
		if m := n.any(func(m *member) bool { return m.state == StateAlive }); m != nil {
			n.send(m, KindPing, Message{})
		}
	}
	return n.take()
}
