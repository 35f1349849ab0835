// Package simulation is a model of what routers stand before: cache boxes, province
// caches and the ledger, their links, the notice board, clients and troubles. It
// does no I/O, starts no goroutine and has no clock of its own: a driver tells it
// the time and what routers do, and carries out what it says through Driver. All
// chance comes from one seeded PCG, so that one script and seed make one run.
//
// docs/emulator.md tells the model and what it leaves out. Times are whole
// microseconds from the start of the run; sizes are kilobytes.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/netsim"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

const ms, second = int64(1000), int64(1_000_000)

// Driver carries out what the world says. Calls come from Step, in order.
type Driver interface {
	Ask(a *Ask)                    // a client's request comes whole to its router
	Leave(router int, txn string)  // its client has gone
	End(router int, h *Hop, e End) // a hop's end comes to its router
	Told(router int, n Notice)     // the notice board tells
	Down(router int)               // killed outright
	Up(router int, known []Server) // started from nothing, with the list as it is
	Stop(router int)               // stands still; Wake: goes on as it was
	Wake(router int)
	Starve(router int, share float64) // of its CPU that others take; 0: none
	Note(e *Entry)                    // for the record: what the referee judges by
}

// Server is a line of the list.
type Server struct {
	policy.Endpoint
}

// Notice is one event of the board: servers, or a purge.
type Notice struct {
	Servers []Server
	Purge   bool
	Object  string // "": the group
	Group   int64
	At      int64 // of the purge
}

// Ask is one try of a client.
type Ask struct {
	Router   int
	Txn      string
	Rule     int
	Object   string
	Group    int64
	Part     int64
	SizeKB   float64
	Limit    int64 // how long the client waits
	Again    bool  // marked as a client's retry
	Write    bool
	client   *client
	deadline int64
	sent     int64
	open     bool
}

// Hop is what a router sends to a server.
type Hop struct {
	Router         int
	Txn            string
	N              int
	Server, Source string // Source "": a miss is not filled
	Rank           int
	FillMode       policy.FillMode
	Within         int64 // the oldest copy that will do; 0: the rule's
	Rule           int
	Object         string
	Part           int64
	Group          int64
	SizeKB         float64
	Write          bool
	Tag            any // the driver's own

	at     *server
	from   *server
	obj    int64
	state  hopState
	place  int // in the server's list
	job    *job
	fill   *fill
	sent   int64
	latent int64 // one way
}

type hopState uint8

const (
	onTheWay hopState = iota
	waiting           // in the server's waiting room
	working           // has a slot
	ended
)

// End is how a hop ended, as the module words it.
type End struct {
	Outcome policy.Outcome
	Reason  policy.Reason
	Waited  int64
	Load    map[string]float64
	Issued  int64 // of the copy; 0: none
	SizeKB  float64
	Spoilt  bool // on sockets: an answer that can't be read
}

// Entry is one line of the record.
type Entry = eventlog.Entry

// World is the state of a run.
type World struct {
	end    int64 // clients come until then
	set    *scenario.Scenario
	driver Driver
	rules  []policy.TrafficClass
	now    int64
	seq    int64
	events events
	dice   *rand.Rand

	caches  [][]*server // by office
	parents [][]*server // by trunk
	ledger  *server
	servers map[string]*server
	links   []*share // into offices
	routers []*router
	cat     *catalogue
	clients clients
	hops    map[hopKey]*Hop
	purged  map[int64]int64 // objects, at the ledger: when
	groups  [groupCount]int64
	warmed  map[warmKey]bool // what servers began with and was asked for

	late      int64 // the board tells so much later
	cut       bool
	reportLag int64
	onceShare float64
	burst     float64
	sitesCut  bool
	spells    []*spell
	troubled  int // troubles in force
	live      int // requests of clients that have no outcome yet

	// Slack is how long past its time limit an answer still counts: what real
	// sockets and clocks take.
	Slack  int64
	Result *Result

	// Ways between routers, with dice of their own.
	Ways     *netsim.Network
	wayDice  *rand.Rand
	lastTurn int64 // when a trouble began or ended last
}

// LastTurn is when a trouble began or ended last.
func (w *World) LastTurn() int64 { return w.lastTurn }

// Up tells whether a router runs, Stopped whether it stands still.
func (w *World) Up(router int) bool { return w.routers[router].up }

// Stopped tells whether a router stands still.
func (w *World) Stopped(router int) bool { return w.routers[router].stopped > 0 }

// warmKey is a part at an office, or at a trunk (below 0).
type warmKey struct {
	place int
	key   int64
}

type hopKey struct {
	router int
	txn    string
	n      int
}

type router struct {
	id      int
	office  int
	up      bool
	life    int
	stopped int  // troubles that hold it
	cut     bool // it can't reach the board
	downAt  int64
	toldAt  int64 // the last notice; later ones come behind it
	held    []heldNotice
	open    map[string]*Ask
	openSeq []string // in the order of arrival, for a router's death
}

// New makes a world at time 0.
func New(s *scenario.Scenario, seed uint64, d Driver) *World {
	w := &World{
		set: s, end: int64(s.LengthS * 1e6), driver: d, rules: s.Classes(), dice: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		servers: map[string]*server{}, hops: map[hopKey]*Hop{}, purged: map[int64]int64{}, warmed: map[warmKey]bool{}, burst: 1, Result: newResult(s),
	}
	f := &s.Fleet
	w.wayDice = rand.New(rand.NewPCG(seed, 0x7761797773))
	w.Ways = netsim.New(int64(f.RouterDelayMS*1000), int64(f.RouterJitterMS*1000), rand.New(rand.NewPCG(seed, 0x77617973)))
	w.cat = newCatalogue(s, w.dice)
	for o := range f.Offices {
		w.links = append(w.links, w.link(f.OfficeLinkKBPerS()))
		var list []*server
		for c := range f.Caches {
			list = append(list, w.newCache(o, fmt.Sprintf("c%d-%d", o+1, c+1)))
		}
		w.caches = append(w.caches, list)
	}
	for t := range f.Trunks {
		var list []*server
		for p := range f.Parents {
			list = append(list, w.newParent(t, fmt.Sprintf("p%d-%d", t+1, p+1)))
		}
		w.parents = append(w.parents, list)
	}
	w.ledger = w.newLedger()
	for i := range f.Offices * f.Routers {
		w.routers = append(w.routers, &router{id: i, office: i / f.Routers, up: true, open: map[string]*Ask{}})
	}
	w.startClients()
	for i := range s.Faults {
		w.plan(&s.Faults[i])
	}
	w.after(second, w.tick)
	return w
}

// tick is a second of the timeline.
func (w *World) tick() {
	w.Result.second(w)
	w.after(second, w.tick)
}

// Routers is how many there are.
func (w *World) Routers() int { return len(w.routers) }

// Office tells where a router stands.
func (w *World) Office(router int) int { return w.routers[router].office }

// Silent tells whether a server says nothing, not even by a reset.
func (w *World) Silent(server string) bool {
	s := w.servers[server]
	return s != nil && s.silent
}

// Object tells of an object of the catalogue by its name: its rule, group and the
// size of a part.
func (w *World) Object(name string, part int64) (rule int, group int64, kb float64, known bool) {
	id := w.cat.id(name)
	if id < 0 || id >= w.cat.objects || part < 0 || part >= w.cat.parts(id) {
		return 0, 0, 0, false
	}
	return w.cat.rule(id), w.cat.group(id), w.cat.size(id, part), true
}

// RuleOf is a remap rule by its place in the settings.
func (w *World) RuleOf(i int) policy.TrafficClass { return w.rules[i] }

// Now is the world's time.
func (w *World) Now() int64 { return w.now }

// Length is when the run ends: clients stop at the script's length, and what is
// open then has its time.
func (w *World) Length() int64 { return w.end + 8*second }

// After lets a driver set something of its own, such as what crosses between
// sites, among the world's events.
func (w *World) After(d int64, do func()) { w.after(d, do) }

// SitesCut tells whether sites can't reach each other now.
func (w *World) SitesCut() bool { return w.sitesCut }

// Over tells whether clients have stopped and all requests have their outcomes.
func (w *World) Over() bool { return w.live == 0 && w.now > w.end }

// Close lets no more clients come; those that are there are still answered.
func (w *World) Close() { w.end = min(w.end, w.now) }

// Known is the list as it is, in order.
func (w *World) Known() (list []Server) {
	add := func(s *server) {
		if s.listed != policy.EndpointGone {
			list = append(list, s.entry())
		}
	}
	for _, l := range slices.Concat(w.caches, w.parents) {
		for _, s := range l {
			add(s)
		}
	}
	add(w.ledger)
	return list
}

func (w *World) after(d int64, do func()) {
	w.seq++
	w.events.push(event{w.now + max(d, 0), w.seq, do})
}

// Next is when something happens next.
func (w *World) Next() int64 {
	if len(w.events) == 0 {
		return 1 << 62
	}
	return w.events[0].at
}

// Step moves the clock to now and does the first thing that is due; false:
// nothing is.
func (w *World) Step(now int64) bool {
	if len(w.events) == 0 || w.events[0].at > now {
		w.now = max(w.now, now)
		return false
	}
	e := w.events.pop()
	w.now = max(w.now, e.at)
	e.do()
	return true
}

// At moves the clock to now without doing anything, before a router's input.
func (w *World) At(now int64) { w.now = max(w.now, now) }

func (w *World) note(e Entry) {
	e.At = w.now
	w.driver.Note(&e)
}

// jitter draws around a figure: a fifth up or down.
func (w *World) jitter(v float64) int64 { return int64(v * (0.8 + 0.4*w.dice.Float64())) }

// link makes a link of so many KB a second.
func (w *World) link(kbPerS float64) *share {
	return &share{w: w, total: kbPerS / 1e6, most: kbPerS / 1e6}
}

// away is the way from an office to a server, one way, in microseconds.
func (w *World) away(office int, s *server) int64 {
	f := &w.set.Fleet
	if s.office >= 0 {
		return int64(f.LocalMS * 500)
	}
	return int64((f.TrunkMS + f.FarMS*float64(w.trunks(office, s))) * 500)
}

// trunks is how many further trunks lie between an office and a parent or the ledger.
func (w *World) trunks(office int, s *server) int {
	d := w.set.Fleet.Trunk(office) - s.trunk
	return max(d, -d)
}
