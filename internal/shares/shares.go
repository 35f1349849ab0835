// Package shares decides how much of a common budget a router may spend, so that
// the sum over all routers never exceeds the budget, whatever any of them believes:
// on both sides of every cut, stopped ones that wake, earlier and later lives. It
// does no I/O and has no clock of its own.
//
// Every router owns an even share. Half of it is its own for good. The other half
// is in parts, each leased to the owner by one heir, a fixed router beside it:
// the owner spends a part only while the heir has noted, by an answer, a promise
// that it sent less than a term ago; the heir spends it only once it has noted no
// promise for longer than a term. The owner counts from when it sent, the heir from
// when it heard, each by its own steady clock, the terms apart by twice the worst
// drift: whoever holds a part, the other has surely let go (leases: Gray and
// Cheriton 1989). What one has spent counts on for a window, so each rises a window
// later still. Nobody waits for anybody: who hears nothing falls to its own half.
package shares

import "slices"

// Settings of a router. Times are whole microseconds of its steady clock.
type Settings struct {
	Name   string
	Peers  []string // all that share, itself among them: the same at every router
	Heirs  int      // of each share; 0: 2
	Term   int64    // of a promise; 0: 2 s
	Window int64    // over which the budget is counted
	Now    int64

	wrong wrong
}

// wrong switches guards off. Only tests set it.
type wrong struct {
	countsLiving bool // an heir takes what it believes to be a dead one's, at once
	risesEarly   bool // nobody waits for the window to pass
	remembers    bool // a new life spends as if it had always been there
	noDrift      bool
}

const (
	defaultHeirs = 2
	defaultTerm  = 2_000_000
	// Drift is the worst of two steady clocks against each other, in parts of a
	// thousand: quartz is off by a tenth of one, a slewed clock by half of one.
	Drift = 2
)

// half of a share is never lent.
const half = 0.5

// lease is a part of the own share that an heir notes.
type lease struct {
	heir  string
	sent  int64            // when the promise went out that the heir has noted last; 0: none in this life
	since int64            // from when it may be spent: the heir's spending counts no more
	at    map[uint64]int64 // when promises went out that are not noted
}

// estate is a part of another's share, to which this router is heir.
type estate struct {
	owner string
	heard int64 // the last promise, or the start of this life
	let   int64 // until when this router, or its life before, may have spent it
}

// Book is what a router holds.
type Book struct {
	set     Settings
	now     int64
	started int64
	leases  []*lease
	estates []*estate
	n       uint64
	next    int64 // when promises are due
}

// Promise says that an owner takes a part for a term; To answers it with a Note.
type Promise struct {
	To     string
	From   string
	Number uint64
}

// Note is an heir's answer.
type Note struct {
	To     string
	From   string
	Number uint64
	Spent  bool // the heir may have spent the part within the last window
}

// New opens a book at the start of a life. What the life before has spent still
// counts for a window; its leases are unknown and so not held.
func New(s Settings) *Book {
	if s.Heirs == 0 {
		s.Heirs = defaultHeirs
	}
	if s.Term == 0 {
		s.Term = defaultTerm
	}
	peers := slices.Clone(s.Peers)
	slices.Sort(peers)
	peers = slices.Compact(peers)
	b := &Book{set: s, now: s.Now, started: s.Now}
	at := slices.Index(peers, s.Name)
	if at < 0 {
		return b
	}
	heirs := min(s.Heirs, len(peers)-1)
	for i := 1; i <= heirs; i++ {
		b.leases = append(b.leases, &lease{heir: peers[(at+i)%len(peers)], at: map[uint64]int64{}})
		b.estates = append(b.estates, &estate{owner: peers[(at-i+len(peers))%len(peers)], heard: s.Now, let: s.Now})
	}
	return b
}

// part is the size of each lease, of a share.
func (b *Book) part() float64 {
	if len(b.leases) == 0 {
		return 0
	}
	return (1 - half) / float64(len(b.leases))
}

// ownTerm is how long an owner may spend on a promise, heirTerm when an heir knows
// that it can't any more.
func (b *Book) ownTerm() int64 {
	if b.set.wrong.noDrift {
		return b.set.Term
	}
	return b.set.Term - b.set.Term*Drift/1000
}

func (b *Book) heirTerm() int64 {
	if b.set.wrong.noDrift {
		return b.set.Term
	}
	return b.set.Term + b.set.Term*Drift/1000
}

func (b *Book) window() int64 {
	if b.set.wrong.risesEarly {
		return 0
	}
	return b.set.Window + b.set.Window*Drift/1000
}

// Run tells what is to be promised now, and when to come again. Promises go out
// four times a term, so that three may be lost.
func (b *Book) Run(now int64) (next int64, out []Promise) {
	b.now = max(b.now, now)
	if b.now >= b.next {
		b.next = b.now + b.set.Term/4
		for _, l := range b.leases {
			b.n++
			l.at[b.n] = b.now
			for number, at := range l.at {
				if b.now-at > b.set.Term {
					delete(l.at, number)
				}
			}
			out = append(out, Promise{l.heir, b.set.Name, b.n})
		}
	}
	return b.next, out
}

// Promised takes an owner's promise: from this moment on the part is not spent
// here.
func (b *Book) Promised(now int64, p Promise) (Note, bool) {
	b.now = max(b.now, now)
	for _, e := range b.estates {
		if e.owner != p.From || p.To != b.set.Name {
			continue
		}
		if b.now >= b.inherits(e) {
			e.let = b.now
		}
		e.heard = b.now
		return Note{p.From, b.set.Name, p.Number, b.now-e.let < b.window()}, true
	}
	return Note{}, false
}

// Noted takes an heir's answer.
func (b *Book) Noted(now int64, n Note) {
	b.now = max(b.now, now)
	for _, l := range b.leases {
		sent, mine := l.at[n.Number]
		if l.heir != n.From || !mine || n.To != b.set.Name {
			continue
		}
		delete(l.at, n.Number)
		if n.Spent { // it counts on for a window
			l.since = max(l.since, b.now+b.window())
		}
		l.sent = max(l.sent, sent)
	}
}

// inherits is from when an heir may spend a part: the owner's right is over, and
// what it has spent counts no more.
func (b *Book) inherits(e *estate) int64 {
	if b.set.wrong.countsLiving {
		return e.heard + b.set.Term/2
	}
	return e.heard + b.heirTerm() + b.window()
}

// Share is how much this router may spend now, in even shares, and until when that
// surely holds: at that time ask again, and count on no more than Least meanwhile.
func (b *Book) Share(now int64) (share float64, until int64) {
	b.now = max(b.now, now)
	until = b.now + b.set.Term
	// A life before may have spent all that it had until this one began.
	if begin := b.started + b.window(); b.now < begin && !b.set.wrong.remembers {
		return 0, begin
	}
	share = half
	for _, l := range b.leases {
		end := l.sent + b.ownTerm()
		if b.set.wrong.remembers && l.sent == 0 {
			share += b.part()
		} else if l.sent > 0 && b.now >= l.since && b.now < end {
			share += b.part()
			until = min(until, end)
		}
	}
	for _, e := range b.estates {
		if b.now >= b.inherits(e) {
			share += b.part()
		}
	}
	if len(b.leases) == 0 {
		share = 1 // it is alone by its settings
	}
	return share, until
}

// Least is what a router may spend whatever it hears, once a window has passed
// since its start.
func (b *Book) Least() float64 {
	if len(b.leases) == 0 {
		return 1
	}
	return half
}
