package simulation

import (
	"fmt"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// serverKind is the role of a server in the hierarchy of caches.
type serverKind uint8

const (
	kindCache serverKind = iota
	kindParent
	kindOrigin
)

// serverKindNames are the names of the kinds in the endpoint list.
var serverKindNames = [...]string{
	kindCache:  scenario.EndpointCache,
	kindParent: scenario.EndpointParent,
	kindOrigin: scenario.EndpointOrigin,
}

func (k serverKind) String() string { return serverKindNames[k] }

// noOffice is the office of a server that is located at a trunk.
const noOffice = -1

// server is a cache, a parent or the origin.
type server struct {
	simulation *Simulation
	id         string
	kind       serverKind
	office     int     // noOffice: at a trunk
	trunk      int     // its own trunk, or the trunk of its office
	weight     float64 // concurrent flows that it can send when it is warm

	up           bool
	silent       bool                 // while down: it does not reset connections either
	collapsed    bool                 // was overloaded while it warmed up and stays down
	replaced     bool                 // was replaced by a successor and stays down
	listedState  policy.EndpointState // in the endpoint list; routers may not have been notified yet
	startedAt    int64                // 0: before the run
	activePauses int                  // pauses in force
	incarnation  int64                // counts starts and crashes; work of earlier incarnations is discarded

	cpu             *sharedResource // of a cache or the origin: its cores or workers
	egress          *sharedResource // of a parent or the origin: its link out
	store           *copyStore      // of a cache or a parent
	attempts        []*Attempt      // that have arrived and not ended
	queue           []*Attempt      // of a cache: attempts that wait for a slot
	busySlots       int             // of a cache
	fills           map[int64]*fill // by part: fills that other attempts may join
	fillCount       int             // all fills in flight
	recentWork      []workSample    // within the overload window
	recentWorkTotal float64

	// Of the origin.
	slowdown float64 // factor by which its service takes longer
	stopped  bool    // after too many arrivals
	arrivals []int64 // times within the arrival window

	visibleLoad  map[string]float64 // the load report that answers carry
	reportServed int                // lookups since the last report
	reportHits   int                // lookups since the last report that found a copy
	reportedCPU  float64            // cpu.served at the last report
	reportedLink float64            // served by the office's link at the last report
}

// workSample is work that arrived at one time, in microseconds of one flow.
type workSample struct {
	at   int64
	work float64
}

// endpoint is the server's entry in the endpoint list.
func (s *server) endpoint() policy.Endpoint {
	endpoint := policy.Endpoint{
		ID: s.id, Kind: s.kind.String(), State: s.listedState, Weight: s.weight, StartedAt: s.startedAt,
	}
	if s.office >= 0 {
		endpoint.Zone = scenario.Zone(s.office)
	} else {
		endpoint.Zone = fmt.Sprintf("trunk-%d", s.trunk+1)
	}
	return endpoint
}
