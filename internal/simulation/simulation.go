package simulation

import (
	"fmt"
	"math/rand/v2"

	"quilldoor/internal/netsim"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

const ms, second = int64(1000), int64(1_000_000)

// World is the state of one run: the clock and its events, the fleet, the clients and the faults in force.
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

// Up tells whether a router runs.
func (w *World) Up(router int) bool { return w.routers[router].up }

// Stopped tells whether a router is suspended: it lives but makes no progress.
func (w *World) Stopped(router int) bool { return w.routers[router].stopped > 0 }

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
