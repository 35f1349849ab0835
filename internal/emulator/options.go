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
	// Record is called with each entry of the event log. The entry is valid only during the call.
	Record func(*eventlog.Entry)
	// Progress is called about once a simulated second, with the completed share of the run and
	// the result's timeline so far.
	Progress func(done float64, seconds []simulation.Second)
	// OnTick is called ten times a simulated second, on the virtual clock only.
	OnTick func(now int64)

	// Faults of the routers, for tests of the checker and of rollouts.

	// Settings changes the settings that the routers are started with.
	Settings func(*settings.Setup)
	// MissesUpdate reports whether a router ignores a discovery event.
	MissesUpdate func(router int, event simulation.DiscoveryEvent) bool
	// AnswerCount returns the number of answers to a request; nil: one.
	AnswerCount func(requestID string) int
	// RejectRequest reports whether a router rejects a new request that it could serve.
	RejectRequest func(router int, class string) bool
	// ExtraTimeShare returns the time added to a router's attempts, as a share of their duration.
	ExtraTimeShare func(router int) float64

	onStart  func(*virtualRun) // called before the first event
	observer routerObserver
}

// routerObserver is notified of the discovery events, attempts and responses of the routers in a
// virtual run. Its times are microseconds on the routers' clock, which begins at epochMicros, but
// issued counts from the beginning of the run.
type routerObserver interface {
	endpointsChanged(router int, now int64, complete bool, list []engine.Endpoint)
	purged(router int, now int64, object string, group, at int64)
	attemptSent(router int, class string, attempt *engine.Attempt)
	responded(router int, request *simulation.Request, attempt *engine.Attempt, issued int64)
}
