// Package membership decides who of the routers of a site is there: who is joining,
// alive, suspected, dead, leaving or has left, how sure and how old that is, whom
// to ask next, through whom to ask again, and what to pass on. It does no I/O and
// has no clock and no chance of its own.
//
// It is SWIM (Das, Gupta, Motivala 2002) with suspicion, and of Lifeguard
// (Dadgar, Phillips, Currey 2018) the local health, the suspicion that shortens
// with witnesses and the word to the suspect itself. docs/membership.md tells
// where it departs. Times are whole microseconds of a steady clock.
package membership

import (
	"cmp"
	"math"
	"net/netip"
)

// State is what is held of a router.
type State uint8

// States of a member, as another holds them; Joining and Doubled are only held of
// oneself. The order goes over the wire.
const (
	StateUnknown      State = iota
	StateJoining            // it has not heard from anybody yet
	StateAlive              //
	StateSuspect            // some asked it in vain; it may say that it lives
	StateDead               // nobody has had an answer for the suspicion's whole time
	StateLeaving            // it has said that it will go
	StateLeft               // it has gone as it said
	StateNameConflict       // another process has its name: it keeps quiet
)

var stateNames = [...]string{"unknown", "joining", "alive", "suspected", "dead", "leaving", "left", "doubled"}

func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// gone tells states that nothing is asked of.
func (s State) gone() bool { return s == StateUnknown || s == StateDead || s == StateLeft }

// InstanceID tells the lives of one name apart. Life is higher than that of any earlier
// life that the router has heard of; Nonce is drawn at the start, and puts two of
// the same Life in an order that all agree on.
type InstanceID struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint32   `json:"Life"`
	Nonce uint32
}

// Compare orders lives.
func (a InstanceID) Compare(b InstanceID) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Nonce, b.Nonce))
}

// Seed is a router that the operator's file names. Its address goes before what
// others say of it.
type Seed struct {
	Name string
	Addr netip.AddrPort
}

// Settings of a router.
type Settings struct {
	Name                 string
	Zone                 string // its office
	Addr                 netip.AddrPort
	Seeds                []Seed
	Epoch                uint32        // a guess, such as the Unix second; it may be behind
	ProbeInterval        int64         // between two questions; 0: 100 ms
	MaxMessageBytes      int           // bytes of a word; 0: 1,200, which fits every datagram
	GossipBytesPerSecond int           // bytes a second of what is passed on; 0: 1,500
	Process              *ProcessInfo  // what it says it is; nil: nothing
	Handoff              *HandoffState // of the generation whose place it takes; nil: it starts a life of its own

	wrong wrong // of wrong variants, for tests
}

// wrong switches guards off. Only tests set it.
type wrong struct {
	noIncarnations bool // what is heard last counts
	noRefuting     bool
	oneWitness     bool // suspicion's time does not wait for others
	noBound        bool // rumours are passed on for ever
	wakesTalking   bool // a stop is not noticed
	takesReplays   bool
}

// Figures that hold for all.
const (
	ms     = 1000
	second = 1000 * ms

	defaultPeriod = 100 * ms // ten questions a second: a death is met in 0.46 s (99 of 100), for 1.6 kB/s
	defaultMost   = 1200
	defaultRate   = 1500
	burst         = 3000 // bytes that may be passed on at once after a quiet time

	checkBefore  = 250 * ms   // suspicion's end: nobody is buried whom this router has not asked in vain itself
	checkers     = 10         // about so many ask a suspect at once, and become witnesses or hear that it lives
	relays       = 3          // asked to ask again
	mostAsked    = 64         // questions that wait for an answer; more are not asked
	mostRelayed  = 64         // of others; more are not taken
	suspectBase  = 600 * ms   // suspicion's least time: a stop of half a second, and room to say so ...
	suspectLog   = 60 * ms    // ... and for each doubling of the members, as rumours take longer
	suspectMost  = 4          // times the least, while one alone says so
	enough       = 3          // witnesses, for the least time
	spreadFactor = 2          // a rumour rides on so many words for each doubling
	staleRumour  = 3 * second // a rumour that long is not passed on
	sleepAfter   = 300 * ms   // a clock that jumps further: the process was stopped
	lateAfter    = 60 * ms    // it was late, and doubts itself
	mostHealth   = 3          // waits grow up to four times
	retryEvery   = second     // one of the dead, or a seed, is tried again
	askEvery     = second     // whole views are compared at most
	keepDead     = 600 * second
	keepLeft     = 60 * second
	mostMembers  = 512
	mostGone     = 256 // dead and left, the oldest are forgotten first
	doubledRest  = 30 * second
	mostOutbids  = 3 // of one's own name in a minute, until it is a double
	calmSamples  = 16
	buckets      = 16
	mostDelay    = 2 * second // no answer is waited for longer
)

// member is what is held of one router. With its place in the map and in the
// round it takes under 300 bytes (BenchmarkMemory).
type member struct {
	name, place string
	addr        netip.AddrPort
	seed        bool
	checked     bool  // asked in this suspicion, before it ends
	checkAt     int64 // when; 0: shortly before the end
	id          InstanceID
	inc         uint32
	state       State
	spread      uint8 // words that its rumour still rides on
	reach       Reach
	silent      uint8          // own questions in a row without an answer
	witnesses   [enough]uint16 // of suspicion, hashed names; 0: none
	since       int64          // of the state
	heard       int64          // the last proof: a fresh word of its own; 0: never
	rtt         int32          // of its last answer
	view        uint32         // digest of its view, folded, by its last word
	passed      int64          // when its rumour last began
	due         int64          // suspicion: when it counts as dead
	runs        *ProcessInfo   // as it says
	high        uint64         // highest number of its words
	window      uint64         // which of the 64 below have come
}

// Reach is how a router's last answer came.
type Reach uint8

// Ways of proof.
const (
	ReachReported Reach = iota // others say so
	ReachDirect                //
	ReachRelayed               // through another
	ReachNone                  // asked in vain
)

var reachNames = [...]string{"told", "direct", "relayed", "none"}

func (r Reach) String() string { return reachNames[min(int(r), len(reachNames)-1)] }

// input is what is learned of a member.
type input uint8

const (
	inAlive   input = iota // with a higher incarnation or life: it says that it lives
	inLeaving              // it says that it will go
	inLeft                 // it says that it is going now
	inSuspect              // somebody asked it in vain
	inDead                 // somebody holds it dead
	inSilent               // asked in vain by this router, directly and through others
	inProof                // a fresh word of its own
	inDue                  // suspicion's time is over
	inForget               // it was gone for long, or there are too many
	inputs
)

// effect is what is done beside taking the next state.
type effect uint8

const (
	quiet   effect = iota
	spread         // pass it on
	echo           // pass it on a little: the others have their own clocks
	suspect        // begin suspicion with its witness, pass it on
	witness        // count one more witness, pass it on if new
	doubt          // others hold it dead: say so to itself, ask it before it is buried
	hold           // it answers: its time begins anew
	tell           // tell it what is held of it
	drop           // forget it
)

type row struct {
	next   State
	effect effect
}

// table says what becomes of a member. Words of an earlier life, or of a lower
// incarnation than what is held, come to no row: Node.word stops them. Death is
// never taken from others: their word is one witness, the own clock decides.
var table = [...][inputs]row{
	StateUnknown: {
		inAlive: {StateAlive, spread}, inLeaving: {StateLeaving, spread}, inLeft: {StateLeft, quiet}, inSuspect: {StateSuspect, suspect},
		inDead: {StateDead, quiet}, inSilent: {StateUnknown, quiet}, inProof: {StateUnknown, quiet}, inDue: {StateUnknown, quiet}, inForget: {StateUnknown, drop},
	},
	StateAlive: {
		inAlive: {StateAlive, spread}, inLeaving: {StateLeaving, spread}, inLeft: {StateLeft, spread}, inSuspect: {StateSuspect, suspect},
		inDead: {StateSuspect, doubt}, inSilent: {StateSuspect, suspect}, inProof: {StateAlive, quiet}, inDue: {StateAlive, quiet}, inForget: {StateAlive, quiet},
	},
	StateSuspect: {
		inAlive: {StateAlive, spread}, inLeaving: {StateLeaving, spread}, inLeft: {StateLeft, spread}, inSuspect: {StateSuspect, witness},
		inDead: {StateSuspect, doubt}, inSilent: {StateSuspect, witness}, inProof: {StateSuspect, hold}, inDue: {StateDead, echo}, inForget: {StateSuspect, quiet},
	},
	StateDead: {
		inAlive: {StateAlive, spread}, inLeaving: {StateLeaving, spread}, inLeft: {StateLeft, quiet}, inSuspect: {StateDead, quiet},
		inDead: {StateDead, quiet}, inSilent: {StateDead, quiet}, inProof: {StateDead, tell}, inDue: {StateDead, quiet}, inForget: {StateUnknown, drop},
	},
	StateLeaving: {
		inAlive: {StateAlive, spread}, inLeaving: {StateLeaving, spread}, inLeft: {StateLeft, spread}, inSuspect: {StateLeaving, quiet},
		inDead: {StateLeaving, quiet}, inSilent: {StateLeft, spread}, inProof: {StateLeaving, quiet}, inDue: {StateLeaving, quiet}, inForget: {StateLeaving, quiet},
	},
	StateLeft: {
		inAlive: {StateAlive, spread}, inLeaving: {StateLeaving, spread}, inLeft: {StateLeft, quiet}, inSuspect: {StateLeft, quiet},
		inDead: {StateLeft, quiet}, inSilent: {StateLeft, quiet}, inProof: {StateLeft, tell}, inDue: {StateLeft, quiet}, inForget: {StateUnknown, drop},
	},
}

// suspicion is how long it lasts: from four times the least, while one alone says
// so, down to the least with three witnesses, by the logarithm (Lifeguard). Where
// there are fewer who could be witnesses, they are enough.
func suspicion(witnesses, members int) int64 {
	least := suspicionLeast(members)
	need := min(enough, members-1) // all but the suspect
	if witnesses >= need || need <= 1 {
		return least
	}
	most := suspectMost * least
	return most - int64(float64(most-least)*math.Log(float64(witnesses))/math.Log(float64(need)))
}

func suspicionLeast(members int) int64 { return suspectBase + suspectLog*log2(members) }

// log2 rounds up.
func log2(n int) int64 { return int64(math.Ceil(math.Log2(float64(max(n, 1) + 1)))) }
