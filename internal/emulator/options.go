package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/settings"
	"quilldoor/internal/simulation"
)

// Options of a run.
type Options struct {
	Seed     uint64
	Record   func(*eventlog.Entry)                           // each line of the record, valid during the call; nil: none
	Progress func(done float64, seconds []simulation.Second) // about once a simulated second

	// Of wrong routers, for tests of the referee and of the model.
	Settings func(*settings.Setup)                      // changes what routers are handed
	Deaf     func(router int, n simulation.Notice) bool // notices that it doesn't hear
	Answer   func(txn string, n int) int                // how often they give an answer; nil: once
	Refuse   func(router int, rule string) bool         // txns that it refuses as they come; nil: none
	Lag      func(router int) float64                   // how much longer its hops take, as a share; nil: no longer

	Each     func(now int64) // ten times a second; on the virtual clock
	onStart  func(*virtualRun)
	observer routerObserver // nil: nobody looks on
}

// routerObserver hears what a keeper would beside a router. Times are the routers'.
type routerObserver interface {
	endpointsChanged(router int, now int64, whole bool, list []engine.Endpoint)
	purged(router int, now int64, object string, group, made int64)
	attemptSent(router int, rule string, h *engine.Attempt)
	responded(router int, a *simulation.Ask, h *engine.Attempt, issued int64)
}
