package simulation

import (
	"fmt"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// serverKind is what a server stands for in the hierarchy of caches.
type serverKind uint8

const (
	kindCache serverKind = iota
	kindParent
	kindOrigin
)

// serverKindNames are the kinds as the endpoint list words them.
var serverKindNames = [...]string{
	kindCache:  scenario.EndpointCache,
	kindParent: scenario.EndpointParent,
	kindOrigin: scenario.EndpointOrigin,
}

func (k serverKind) String() string { return serverKindNames[k] }

// noOffice is the office of a server that stands at a trunk.
const noOffice = -1

// server is a cache, a parent or the origin.
type server struct {
	simulation *Simulation
	id         string
	kind       serverKind
	office     int     // noOffice: at a trunk
	trunk      int     // its own, or that of its office
	weight     float64 // flows that it can send at once when it is warm

	up           bool
	silent       bool                 // while down: it does not even reset connections
	collapsed    bool                 // was overloaded while it warmed up and stays down
	replaced     bool                 // a successor has its place, and it stays down
	listed       policy.EndpointState // as discovery will tell it
	startedAt    int64                // 0: before the run
	activePauses int                  // pauses in force
	incarnation  int64                // counts starts and crashes: what began in an earlier one is void

	cpu             *sharedResource // of a cache or the origin: its cores or workers
	egress          *sharedResource // of a parent or the origin: its link out
	store           *copyStore      // of a cache or a parent
	attempts        []*Attempt      // that have arrived and not ended
	queue           []*Attempt      // of a cache: those that wait for a slot
	busySlots       int             // of a cache
	fills           map[int64]*fill // by part: those that others may join
	fillCount       int             // all fills in flight
	recentWork      []workSample    // of the overload window
	recentWorkTotal float64

	// Of the origin.
	slowdown float64 // factor by which it works slower
	stopped  bool    // by too many arrivals
	arrivals []int64 // times within the arrival window

	visibleLoad  map[string]float64 // the load report that answers carry
	reportServed int                // lookups since the last report
	reportHits   int                // of these
	reportedCPU  float64            // cpu.served at the last report
	reportedLink float64            // served by the office's link at the last report
}

// workSample is work that arrived at one time, in microseconds of a flow.
type workSample struct {
	at   int64
	work float64
}

// endpoint is the server as discovery lists it.
func (s *server) endpoint() policy.Endpoint {
	endpoint := policy.Endpoint{
		ID: s.id, Kind: s.kind.String(), State: s.listed, Weight: s.weight, StartedAt: s.startedAt,
	}
	if s.office >= 0 {
		endpoint.Zone = scenario.Zone(s.office)
	} else {
		endpoint.Zone = fmt.Sprintf("trunk-%d", s.trunk+1)
	}
	return endpoint
}
