// Package policy holds every decision of a quilldoor router: which endpoint a request is sent to, when it is
// retried, hedged, rejected or failed, what caches shall keep, which endpoints are ejected, and how much load
// each is given.
//
// New starts a Router from its Settings and a seed. Handle takes one Event with the clock's time and appends
// the Actions that the Router decides on, in order. A Router does no I/O, reads no clock, starts no goroutine
// and is used by one goroutine at a time; the same events and seed give the same actions. It alone owns what it
// knows of endpoints and open requests. Snapshot and Restore pass what it has learned to another Router.
//
// Times and durations are whole microseconds unless a name says otherwise; sizes are in KB.
//
// Settings say what the site and its operators set; New works out from them what decisions use (config). Load, time
// and endpoints that change reach decisions by events alone.
//
// Each decision stands in the file that is named for it:
//
//	admission.go          which objects a cache shall keep
//	attempt.go            sending an attempt, and learning from its end
//	concurrencylimit.go   how many attempts of a kind an endpoint is given at once
//	deadline.go           latency objective and time limit of an attempt
//	endpointlist.go       the list that discovery gives
//	endpointselection.go  the endpoint and the fill source of an attempt
//	loadshedding.go       fills left out because the origin is slow
//	outlierejection.go    ejecting endpoints that fail, and taking them in again
//	popularity.go         how often objects are requested
//	purgeage.go           how old a copy may be after purges
//	request.go            the states of an open request
//	retry.go              retries, hedging, and what idempotency permits
//	slowstart.go          load on an endpoint that has just started
//	sweep.go              what the periodic timer does
//
// The types that a Router exchanges with its surroundings stand in types.go and outcome.go, its learned state in
// snapshot.go.
package policy
