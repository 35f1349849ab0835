package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/settings"
	"quilldoor/internal/simulation"
)

// Options are the options of a run.
type Options struct {
	Seed     uint64
	Record   func(*eventlog.Entry)                           // gets each entry of the event log, valid during the call
	Progress func(done float64, seconds []simulation.Second) // called about once a simulated second

	// Faults of the routers, for tests of the checker and of rollouts.
	Settings      func(*settings.Setup)                                   // changes the settings that routers get
	MissesUpdate  func(router int, notice simulation.DiscoveryEvent) bool // tells which discovery notices a router misses
	AnswerCount   func(requestID string, n int) int                       // how often a request is answered; nil: once
	RejectRequest func(router int, class string) bool                     // tells which new requests a router rejects; nil: none
	Slowdown      func(router int) float64                                // how much longer a router's attempts take, as a share

	OnTick   func(now int64)   // called ten times a second; on the virtual clock
	onStart  func(*virtualRun) // called before the first event; nil: not
	observer routerObserver    // nil: none
}

// routerObserver follows what the routers of a virtual run learn and do. Times are the
// routers' microseconds.
type routerObserver interface {
	endpointsChanged(router int, now int64, complete bool, list []engine.Endpoint)
	purged(router int, now int64, object string, group, at int64)
	attemptSent(router int, class string, attempt *engine.Attempt)
	responded(router int, request *simulation.Request, attempt *engine.Attempt, issued int64)
}
