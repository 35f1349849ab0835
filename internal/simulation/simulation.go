package simulation

import (
	"fmt"
	"math/rand/v2"

	"quilldoor/internal/netsim"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// Streams of the run's seed: one for the fleet and its clients, two for the network between routers.
const (
	fleetStream        = 0x9e3779b97f4a7c15
	networkFaultStream = 0x7761797773
	networkStream      = 0x77617973
)

// Simulation is the state of one run: the clock and its events, the fleet, the clients and the faults in force.
type Simulation struct {
	scenario     *scenario.Scenario
	driver       Driver
	classes      []policy.TrafficClass
	clientsUntil int64 // time after which no clients arrive

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
	openRequests int // requests of clients that have no outcome yet
	attempts     map[attemptKey]*Attempt
	objectPurges map[int64]int64     // time of each object's last purge
	groupPurges  [groupCount]int64   // time of each group's last purge
	prewarmed    map[prewarmKey]bool // popular parts that are already placed in a prewarmed fleet

	// Faults in force.
	discoveryDelay int64 // by which all discovery events come later
	discoveryCut   bool  // no router reaches the discovery service
	reportDelay    int64 // by which load reports become visible later
	oneTimeShare   float64
	loadFactor     float64 // of the clients' arrival rate
	sitesCut       bool
	responseFaults []*responseFault
	activeFaults   int

	// Slack extends the clients' time limits, in microseconds, by the delays of real sockets and clocks.
	Slack  int64
	Result *Result

	// Network is the network between routers. It has random generators of its own.
	Network         *netsim.Network
	networkRandom   *rand.Rand
	lastFaultChange int64 // time at which a fault last started or ended
}

// New creates a simulation at time 0. Its generators are seeded with seed. The driver's methods are called as Driver
// describes.
func New(s *scenario.Scenario, seed uint64, driver Driver) *Simulation {
	sim := &Simulation{
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
	sim.networkRandom = rand.New(rand.NewPCG(seed, networkFaultStream))
	sim.Network = netsim.New(
		int64(fleet.RouterDelayMS*millisecond), int64(fleet.RouterJitterMS*millisecond),
		rand.New(rand.NewPCG(seed, networkStream)),
	)
	sim.catalogue = newCatalogue(s, sim.random)
	sim.addServers()
	for i := range fleet.Offices * fleet.Routers {
		sim.routers = append(sim.routers, &router{
			id: i, office: i / fleet.Routers, up: true, openRequests: map[string]*Request{},
		})
	}
	sim.startClients()
	for i := range s.Faults {
		sim.scheduleFault(&s.Faults[i])
	}
	sim.schedule(second, sim.tick)
	return sim
}

// addServers creates the fleet's servers and the links into its offices.
func (s *Simulation) addServers() {
	fleet := &s.scenario.Fleet
	for office := range fleet.Offices {
		s.links = append(s.links, s.newLink(fleet.OfficeLinkKBPerS()))
		var caches []*server
		for c := range fleet.Caches {
			caches = append(caches, s.newCache(office, fmt.Sprintf("c%d-%d", office+1, c+1)))
		}
		s.caches = append(s.caches, caches)
	}
	for trunk := range fleet.Trunks {
		var parents []*server
		for p := range fleet.Parents {
			parents = append(parents, s.newParent(trunk, fmt.Sprintf("p%d-%d", trunk+1, p+1)))
		}
		s.parents = append(s.parents, parents)
	}
	s.origin = s.newOrigin()
}

// currentPhase is the phase of the run at the current time.
func (s *Simulation) currentPhase() string {
	switch {
	case s.now < int64(s.scenario.WarmUpS*second):
		return phaseWarmUp
	case s.activeFaults > 0:
		return phaseFault
	}
	return phaseCalm
}

// LastFaultChange is the time at which a fault last started or ended.
func (s *Simulation) LastFaultChange() int64 { return s.lastFaultChange }

// Routers is the number of routers.
func (s *Simulation) Routers() int { return len(s.routers) }

// Office is the office of a router.
func (s *Simulation) Office(router int) int { return s.routers[router].office }

// Up reports whether a router's process runs.
func (s *Simulation) Up(router int) bool { return s.routers[router].up }

// Suspended reports whether a router's process is suspended: it keeps its state but makes no progress.
func (s *Simulation) Suspended(router int) bool { return s.routers[router].suspensions > 0 }

// Silent reports whether a server is down and does not reset connections either.
func (s *Simulation) Silent(server string) bool {
	found := s.servers[server]
	return found != nil && found.silent
}

// SitesPartitioned reports whether the sites currently cannot reach each other.
func (s *Simulation) SitesPartitioned() bool { return s.sitesCut }

// Object looks up an object of the catalogue by its name. It returns the index of its traffic class, its purge group
// and the size of a part in KB; known is false if the catalogue has no such object or part.
func (s *Simulation) Object(name string, part int64) (class int, group int64, kb float64, known bool) {
	id := s.catalogue.id(name)
	if id < 0 || id >= s.catalogue.objects || part < 0 || part >= s.catalogue.parts(id) {
		return 0, 0, 0, false
	}
	return s.catalogue.class(id), s.catalogue.group(id), s.catalogue.size(id, part), true
}

// Class is a traffic class by its index in the settings.
func (s *Simulation) Class(i int) policy.TrafficClass { return s.classes[i] }

// idempotent reports whether a request of a traffic class may be repeated although it may have been executed.
func (s *Simulation) idempotent(class int) bool {
	return s.classes[class].Effect == policy.EffectIdempotent
}

// record appends an entry to the event log at the current time.
func (s *Simulation) record(entry Entry) {
	entry.At = s.now
	s.driver.Record(&entry)
}
