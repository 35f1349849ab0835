// Package policy makes every decision of a quilldoor router: which endpoint a request is sent to, when it is
// retried, hedged, rejected or failed, which objects caches keep, which endpoints are ejected, and how much load
// each endpoint receives.
//
// New creates a Router from its Settings and a seed. Handle processes one Event at a given time and appends the
// resulting Actions in order. A Router does no I/O, reads no clock, starts no goroutine and is used by one
// goroutine at a time; equal settings, seeds and events give equal actions. No other code changes its state of
// endpoints and open requests. Snapshot and Restore transfer the learned part of that state to another Router.
//
// Times and durations are whole microseconds unless a name says otherwise; sizes are in KB.
//
// Settings hold the values set by the site and its operators; New derives from them the values that decisions use
// (config). Load, time and changes of endpoints reach a Router only by events.
//
// Each kind of decision has its own file:
//
//	admission.go          which objects a cache keeps
//	attempt.go            sending an attempt, and evaluating its end
//	concurrencylimit.go   how many attempts of a kind an endpoint has in flight
//	deadline.go           latency objective and time limit of an attempt
//	endpointlist.go       the endpoint list from discovery
//	endpointselection.go  the endpoint and the fill source of an attempt
//	loadshedding.go       shedding of fills while the origin is slow
//	outlierejection.go    ejecting endpoints that fail, and readmitting them
//	popularity.go         how often objects are requested
//	purgeage.go           how old a copy may be after purges
//	request.go            the state machine of an open request
//	retry.go              retries and hedging, within the limits of idempotency
//	slowstart.go          load on an endpoint that has just started
//	sweep.go              periodic work
//
// types.go and outcome.go define the events and actions that a Router exchanges with its caller, snapshot.go its
// learned state.
package policy
