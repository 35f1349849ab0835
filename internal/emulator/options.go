package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/settings"
	"quilldoor/internal/simulation"
)

// Options are the options of a run. Its functions may be nil.
type Options struct {
	Seed uint64
	// Record gets each entry of the event log, which is valid during the call only.
	Record func(*eventlog.Entry)
	// Progress is called about once a simulated second, with the share of the run that is done.
	Progress func(done float64, seconds []simulation.Second)
	// OnTick is called ten times a simulated second, on the virtual clock only.
	OnTick func(now int64)

	// Faults of the routers, for tests of the checker and of rollouts.

	// Settings changes the settings that routers get.
	Settings func(*settings.Setup)
	// MissesUpdate tells which discovery events a router misses.
	MissesUpdate func(router int, event simulation.DiscoveryEvent) bool
	// AnswerCount is how often a request is answered; nil: once.
	AnswerCount func(requestID string) int
	// RejectRequest tells which new requests a router rejects without need.
	RejectRequest func(router int, class string) bool
	// ExtraTimeShare is how much longer a router's attempts take, as a share.
	ExtraTimeShare func(router int) float64

	onStart  func(*virtualRun) // called before the first event
	observer routerObserver
}

// routerObserver follows what the routers of a virtual run learn and do. Times are the
// routers' microseconds.
type routerObserver interface {
	endpointsChanged(router int, now int64, complete bool, list []engine.Endpoint)
	purged(router int, now int64, object string, group, at int64)
	attemptSent(router int, class string, attempt *engine.Attempt)
	responded(router int, request *simulation.Request, attempt *engine.Attempt, issued int64)
}
