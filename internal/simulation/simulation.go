package simulation

import (
	"fmt"
	"math/rand/v2"

	"quilldoor/internal/netsim"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

const millisecond, second = int64(1000), int64(1_000_000)

// World is the state of one run: the clock and its events, the fleet, the clients and the faults in force.
type World struct {
	clientsUntil int64 // clients come until then
	scenario     *scenario.Scenario
	driver       Driver
	classes      []policy.TrafficClass
	now          int64
	sequence     int64
	events       eventQueue
	random       *rand.Rand

	caches       [][]*server // by office
	parents      [][]*server // by trunk
	origin       *server
	servers      map[string]*server
	links        []*sharedResource // into offices
	routers      []*router
	catalogue    *catalogue
	clients      clientPopulation
	attempts     map[attemptKey]*Hop
	objectPurges map[int64]int64 // objects, at the ledger: when
	groupPurges  [groupCount]int64
	prewarmed    map[prewarmKey]bool // what servers began with and was asked for

	discoveryDelay int64 // the board tells so much later
	discoveryCut   bool
	reportDelay    int64
	oneTimeShare   float64
	loadFactor     float64
	sitesCut       bool
	answerFaults   []*answerFault
	activeFaults   int // troubles in force
	openRequests   int // requests of clients that have no outcome yet

	// Slack is how long past its time limit an answer still counts: what real
	// sockets and clocks take.
	Slack  int64
	Result *Result

	// Ways between routers, with dice of their own.
	Ways            *netsim.Network
	networkRandom   *rand.Rand
	lastFaultChange int64 // when a trouble began or ended last
}

// LastTurn is when a trouble began or ended last.
func (w *World) LastTurn() int64 { return w.lastFaultChange }

// Up tells whether a router runs.
func (w *World) Up(router int) bool { return w.routers[router].up }

// Stopped tells whether a router is suspended: it lives but makes no progress.
func (w *World) Stopped(router int) bool { return w.routers[router].suspensions > 0 }

// New makes a world at time 0.
func New(s *scenario.Scenario, seed uint64, driver Driver) *World {
	w := &World{
		scenario: s, clientsUntil: int64(s.LengthS * 1e6), driver: driver, classes: s.Classes(), random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		servers: map[string]*server{}, attempts: map[attemptKey]*Hop{}, objectPurges: map[int64]int64{}, prewarmed: map[prewarmKey]bool{}, loadFactor: 1, Result: newResult(s),
	}
	fleet := &s.Fleet
	w.networkRandom = rand.New(rand.NewPCG(seed, 0x7761797773))
	w.Ways = netsim.New(int64(fleet.RouterDelayMS*1000), int64(fleet.RouterJitterMS*1000), rand.New(rand.NewPCG(seed, 0x77617973)))
	w.catalogue = newCatalogue(s, w.random)
	for office := range fleet.Offices {
		w.links = append(w.links, w.newLink(fleet.OfficeLinkKBPerS()))
		var list []*server
		for c := range fleet.Caches {
			list = append(list, w.newCache(office, fmt.Sprintf("c%d-%d", office+1, c+1)))
		}
		w.caches = append(w.caches, list)
	}
	for trunk := range fleet.Trunks {
		var list []*server
		for p := range fleet.Parents {
			list = append(list, w.newParent(trunk, fmt.Sprintf("p%d-%d", trunk+1, p+1)))
		}
		w.parents = append(w.parents, list)
	}
	w.origin = w.newOrigin()
	for i := range fleet.Offices * fleet.Routers {
		w.routers = append(w.routers, &router{id: i, office: i / fleet.Routers, up: true, openRequests: map[string]*Ask{}})
	}
	w.startClients()
	for i := range s.Faults {
		w.scheduleFault(&s.Faults[i])
	}
	w.schedule(second, w.tick)
	return w
}

// tick is a second of the timeline.
func (w *World) tick() {
	w.Result.closeSecond(w)
	w.schedule(second, w.tick)
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
	id := w.catalogue.id(name)
	if id < 0 || id >= w.catalogue.objects || part < 0 || part >= w.catalogue.parts(id) {
		return 0, 0, 0, false
	}
	return w.catalogue.class(id), w.catalogue.group(id), w.catalogue.size(id, part), true
}

// RuleOf is a remap rule by its place in the settings.
func (w *World) RuleOf(i int) policy.TrafficClass { return w.classes[i] }

// Now is the world's time.
func (w *World) Now() int64 { return w.now }

// Length is when the run ends: clients stop at the script's length, and what is
// open then has its time.
func (w *World) Length() int64 { return w.clientsUntil + 8*second }

// After lets a driver set something of its own, such as what crosses between
// sites, among the world's events.
func (w *World) After(delay int64, action func()) { w.schedule(delay, action) }

// SitesCut tells whether sites can't reach each other now.
func (w *World) SitesCut() bool { return w.sitesCut }

// Over tells whether clients have stopped and all requests have their outcomes.
func (w *World) Over() bool { return w.openRequests == 0 && w.now > w.clientsUntil }

// Close lets no more clients come; those that are there are still answered.
func (w *World) Close() { w.clientsUntil = min(w.clientsUntil, w.now) }

func (w *World) schedule(delay int64, action func()) {
	w.sequence++
	w.events.push(event{w.now + max(delay, 0), w.sequence, action})
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
	e.action()
	return true
}

// At moves the clock to now without doing anything, before a router's input.
func (w *World) At(now int64) { w.now = max(w.now, now) }

func (w *World) record(entry Entry) {
	entry.At = w.now
	w.driver.Note(&entry)
}

// jitter draws around a figure: a fifth up or down.
func (w *World) jitter(v float64) int64 { return int64(v * (0.8 + 0.4*w.random.Float64())) }
