package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"quilldoor/internal/netsim"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

const (
	// Streams of the run's seed: one for the fleet and its clients, two for the network between routers.
	fleetStream        = 0x9e3779b97f4a7c15
	networkFaultStream = 0x7761797773
	networkStream      = 0x77617973

	// drainTime is how long the run goes on after the last client has come, so that open requests can end.
	drainTime = 8 * second

	// jitter draws from jitterFrom to jitterFrom+jitterSpread times a value.
	jitterFrom   = 0.8
	jitterSpread = 0.4

	// never is later than any event.
	never = 1 << 62
)

// Simulation is the state of one run: the clock and its events, the fleet, the clients and the faults in force.
type Simulation struct {
	scenario     *scenario.Scenario
	driver       Driver
	classes      []policy.TrafficClass
	clientsUntil int64 // no clients arrive after that

	now      int64
	sequence int64 // orders events and jobs of the same time
	events   eventQueue
	random   *rand.Rand

	caches    [][]*server // by office
	parents   [][]*server // by trunk
	origin    *server
	servers   map[string]*server
	links     []*sharedResource // into offices
	routers   []*router
	catalogue *catalogue

	clients      clientPopulation
	openRequests int // of clients, without an outcome yet
	attempts     map[attemptKey]*Attempt
	objectPurges map[int64]int64     // time of each object's last purge
	groupPurges  [groupCount]int64   // time of each group's last purge
	prewarmed    map[prewarmKey]bool // popular parts that were placed in a prewarmed fleet's caches

	// Faults in force.
	discoveryDelay int64 // by which all notices come later
	discoveryCut   bool  // no router reaches the discovery service
	reportDelay    int64 // by which load reports become visible later
	oneTimeShare   float64
	loadFactor     float64 // of the clients' arrival rate
	sitesCut       bool
	answerFaults   []*answerFault
	activeFaults   int

	// Slack is how long past its time limit an answer still counts, in microseconds: what real sockets and clocks
	// take.
	Slack  int64
	Result *Result

	// Network is the network between routers. It has random generators of its own.
	Network         *netsim.Network
	networkRandom   *rand.Rand
	lastFaultChange int64 // when a fault began or ended last
}

// New makes a simulation at time 0. The driver's methods are called from Step.
func New(s *scenario.Scenario, seed uint64, driver Driver) *Simulation {
	w := &Simulation{
		scenario:     s,
		driver:       driver,
		classes:      s.Classes(),
		clientsUntil: int64(s.LengthS * second),
		random:       rand.New(rand.NewPCG(seed, fleetStream)),
		servers:      map[string]*server{},
		attempts:     map[attemptKey]*Attempt{},
		objectPurges: map[int64]int64{},
		prewarmed:    map[prewarmKey]bool{},
		loadFactor:   1,
		Result:       newResult(s),
	}
	fleet := &s.Fleet
	w.networkRandom = rand.New(rand.NewPCG(seed, networkFaultStream))
	w.Network = netsim.New(
		int64(fleet.RouterDelayMS*millisecond), int64(fleet.RouterJitterMS*millisecond),
		rand.New(rand.NewPCG(seed, networkStream)),
	)
	w.catalogue = newCatalogue(s, w.random)
	w.addServers()
	for i := range fleet.Offices * fleet.Routers {
		w.routers = append(w.routers, &router{
			id: i, office: i / fleet.Routers, up: true, openRequests: map[string]*Request{},
		})
	}
	w.startClients()
	for i := range s.Faults {
		w.scheduleFault(&s.Faults[i])
	}
	w.schedule(second, w.tick)
	return w
}

// addServers makes the fleet's servers and the links into its offices.
func (w *Simulation) addServers() {
	fleet := &w.scenario.Fleet
	for office := range fleet.Offices {
		w.links = append(w.links, w.newLink(fleet.OfficeLinkKBPerS()))
		var caches []*server
		for c := range fleet.Caches {
			caches = append(caches, w.newCache(office, fmt.Sprintf("c%d-%d", office+1, c+1)))
		}
		w.caches = append(w.caches, caches)
	}
	for trunk := range fleet.Trunks {
		var parents []*server
		for p := range fleet.Parents {
			parents = append(parents, w.newParent(trunk, fmt.Sprintf("p%d-%d", trunk+1, p+1)))
		}
		w.parents = append(w.parents, parents)
	}
	w.origin = w.newOrigin()
}

// tick closes a second of the timeline.
func (w *Simulation) tick() {
	w.Result.closeSecond(w)
	w.schedule(second, w.tick)
}

// currentPhase is the part of the run for the counts of requests.
func (w *Simulation) currentPhase() string {
	switch {
	case w.now < int64(w.scenario.WarmUpS*second):
		return phaseWarmUp
	case w.activeFaults > 0:
		return phaseFault
	}
	return phaseCalm
}

// LastFaultChange is when a fault began or ended last.
func (w *Simulation) LastFaultChange() int64 { return w.lastFaultChange }

// Routers is the number of routers.
func (w *Simulation) Routers() int { return len(w.routers) }

// Office is the office of a router.
func (w *Simulation) Office(router int) int { return w.routers[router].office }

// Up tells whether a router's process runs.
func (w *Simulation) Up(router int) bool { return w.routers[router].up }

// Stopped tells whether a router's process is suspended: it keeps its state but makes no progress.
func (w *Simulation) Stopped(router int) bool { return w.routers[router].suspensions > 0 }

// Silent tells whether a server is down and does not even reset connections.
func (w *Simulation) Silent(server string) bool {
	s := w.servers[server]
	return s != nil && s.silent
}

// Object looks up an object of the catalogue by its name: the index of its traffic class, its purge group and the
// size of a part. known is false if there is no such object or part.
func (w *Simulation) Object(name string, part int64) (class int, group int64, kb float64, known bool) {
	id := w.catalogue.id(name)
	if id < 0 || id >= w.catalogue.objects || part < 0 || part >= w.catalogue.parts(id) {
		return 0, 0, 0, false
	}
	return w.catalogue.class(id), w.catalogue.group(id), w.catalogue.size(id, part), true
}

// ClassOf is a traffic class by its index in the settings.
func (w *Simulation) ClassOf(i int) policy.TrafficClass { return w.classes[i] }

// Length is when the run ends: clients stop at the scenario's length, and requests that are open then get some time.
func (w *Simulation) Length() int64 { return w.clientsUntil + drainTime }

// SitesCut tells whether sites cannot reach each other now.
func (w *Simulation) SitesCut() bool { return w.sitesCut }

// Over tells whether clients have stopped and all requests have their outcomes.
func (w *Simulation) Over() bool { return w.openRequests == 0 && w.now > w.clientsUntil }

// Close lets no more clients arrive. Requests that are open are still answered.
func (w *Simulation) Close() { w.clientsUntil = min(w.clientsUntil, w.now) }

// Now is the time of the run.
func (w *Simulation) Now() int64 { return w.now }

// After schedules an action of the driver after a delay, among the simulation's own events.
func (w *Simulation) After(delay int64, action func()) { w.schedule(delay, action) }

// schedule runs an action after a delay in microseconds; a negative delay counts as none.
func (w *Simulation) schedule(delay int64, action func()) {
	w.sequence++
	w.events.push(event{w.now + max(delay, 0), w.sequence, action})
}

// Next is the time of the next event.
func (w *Simulation) Next() int64 {
	if len(w.events) == 0 {
		return never
	}
	return w.events[0].at
}

// Step advances the clock to now and runs the first event that is due. It returns false if none is.
func (w *Simulation) Step(now int64) bool {
	if len(w.events) == 0 || w.events[0].at > now {
		w.now = max(w.now, now)
		return false
	}
	e := w.events.pop()
	w.now = max(w.now, e.at)
	e.action()
	return true
}

// At advances the clock to now without running events, before a router's input.
func (w *Simulation) At(now int64) { w.now = max(w.now, now) }

// record appends an entry to the event log at the current time.
func (w *Simulation) record(entry Entry) {
	entry.At = w.now
	w.driver.Note(&entry)
}

// jitter draws a time in microseconds around a mean.
func (w *Simulation) jitter(mean float64) int64 {
	return int64(mean * (jitterFrom + jitterSpread*w.random.Float64()))
}

// drawShare draws a share of a list, at least one element unless the share is 0. It shuffles the list in place.
func drawShare[T any](random *rand.Rand, list []T, share float64) []T {
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), int(math.Ceil(share*float64(len(list)))))]
}
