package policy

import "slices"

// The texts of ActionLog. LogEjected comes with Action.Backoff.
const (
	LogEjected    = "endpoint ejected"    // it gets nothing for Backoff
	LogReadmitted = "endpoint readmitted" // it gets requests again
)

// health is what a Router thinks of an endpoint. Its values are kept in Snapshots.
type health uint8

const (
	healthy   health = 1 << iota
	suspect          // failed once, or was silent
	ejected          // gets nothing until its ejection is over
	probation        // gets one attempt, or a health check, that decides
	anyHealth = healthy | suspect | ejected | probation
)

// signal is what an event means for an endpoint's health.
type signal uint8

const (
	signalNone         signal = iota // nothing
	signalAnswered                   // it answered, whatever it said
	signalFailed                     // it refused, broke off or failed a health check
	signalUnresponsive               // it said nothing for far longer than usual
	signalLateFills                  // fills from it are late, those from others are not
	signalEjectionOver               // its ejection is over
	signalRestarted                  // the endpoint list shows a new start
)

// healthTransitions follow from signals alone, whatever their cause. One failure may be chance; another some time
// after it, with no answer between, or silence, is not.
var healthTransitions = []struct {
	from    health
	signal  signal
	next    health
	handler func(*Router, *endpoint)
}{
	{healthy, signalFailed, suspect, nil},
	{healthy, signalUnresponsive, suspect, (*Router).checkHealth},
	{suspect | probation, signalFailed, ejected, (*Router).eject},
	{suspect | probation, signalUnresponsive, ejected, (*Router).eject},
	{healthy | suspect | probation, signalLateFills, ejected, (*Router).eject},
	{ejected, signalEjectionOver, probation, (*Router).checkHealth},
	{suspect, signalAnswered, healthy, nil},
	{ejected | probation, signalAnswered, healthy, (*Router).readmit},
	{anyHealth, signalRestarted, healthy, (*Router).readmit},
}

// observe takes in a signal of an endpoint; nil is one that is not listed.
func (r *Router) observe(ep *endpoint, signal signal) {
	// Attempts that fail together, as those of one connection do, are one failure.
	const failureSpacing = 100 * millisecond
	if ep == nil || signal == signalFailed && ep.health == suspect && r.now < ep.healthHeldUntil {
		return
	}
	switch {
	case signal == signalFailed && ep.health == healthy:
		ep.healthHeldUntil = r.now + failureSpacing
	case signal == signalAnswered:
		ep.unansweredSince = r.now
	}
	for i := range healthTransitions {
		row := &healthTransitions[i]
		if row.from&ep.health == 0 || row.signal != signal {
			continue
		}
		ep.health = row.next
		if row.handler != nil {
			row.handler(r, ep)
		}
		return
	}
}

// Times that an ejected endpoint stays out.
const (
	ejectionTime    = 1 * second // a process that was restarted is back within seconds
	maxEjectionTime = 4 * second // a silent machine costs one attempt or health check in that time

	maxBackoffDoublings = 8 // bounds the exponent; maxEjectionTime is reached before
)

// eject keeps an endpoint out for a time that doubles with each ejection since it was last readmitted. An answer that
// comes meanwhile, even an error or a late one, readmits it at once.
func (r *Router) eject(ep *endpoint) {
	ep.fillSamples = nil
	backoff := min(ejectionTime<<ep.ejections, maxEjectionTime)
	ep.healthHeldUntil = r.now + backoff
	ep.ejections = min(ep.ejections+1, maxBackoffDoublings)
	r.emit(Action{Kind: ActionLog, Text: LogEjected, Endpoint: ep.id, Backoff: backoff})
}

// checkHealth sends a health check where that is allowed; else the next attempt decides.
func (r *Router) checkHealth(ep *endpoint) {
	if r.config.healthChecks {
		r.emit(Action{Kind: ActionHealthCheck, Endpoint: ep.id})
	}
}

// readmit takes an ejected endpoint in again and drops what counted against it, the doubling of its ejection time
// included.
func (r *Router) readmit(ep *endpoint) {
	ep.ejections = 0
	ep.fillSamples = nil
	ep.readmittedAt = r.now
	r.emit(Action{Kind: ActionLog, Text: LogReadmitted, Endpoint: ep.id})
}

// observeHealthCheck takes in the end of a health check.
func (r *Router) observeHealthCheck(ep *endpoint, outcome Outcome) {
	if outcome == OutcomeDone {
		r.observe(ep, signalAnswered)
	} else {
		r.observe(ep, signalFailed)
	}
}

// observeFill takes in whether a fill from a source came in time. A parent is ejected when half of its last fills
// were late and that is twice the share of another source: a slow origin makes those of all late alike. Where
// health checks are allowed a late fill brings one, as silence would.
func (r *Router) observeFill(source *endpoint, timely bool) {
	source.fillSamples = addSample(source.fillSamples, r.now, !timely)
	if source.role != roleParent || timely {
		return
	}
	const lateOneIn = 2
	late, all := countBad(source.fillSamples, r.now, minSamples)
	if lateOneIn*late >= max(all, minSamples) && r.hasTimelierSource(source, late, all) {
		r.observe(source, signalLateFills)
	} else if r.config.healthChecks && source.health == healthy {
		r.observe(source, signalUnresponsive)
	}
}

// hasTimelierSource reports whether another source has at most half as large a share of late fills.
func (r *Router) hasTimelierSource(source *endpoint, late, all int) bool {
	const minRatio, minOtherSamples = 2, minSamples / 2
	return slices.ContainsFunc(r.ordered, func(other *endpoint) bool {
		otherLate, otherAll := countBad(other.fillSamples, r.now, minSamples)
		return other != source && other.active && other.health != ejected &&
			otherAll >= minOtherSamples && late*otherAll > minRatio*otherLate*all
	})
}

// updateHealth ends ejections that are over, and suspects endpoints that answer none of several attempts for far
// longer than answers take.
func (r *Router) updateHealth() {
	const minUnanswered = 3 // attempts: a single one may just be slow
	for _, ep := range r.ordered {
		if ep.health == ejected && r.now >= ep.healthHeldUntil {
			r.observe(ep, signalEjectionOver)
		}
		if ep.inFlight >= minUnanswered && r.now-ep.unansweredSince > r.config.unansweredLimit {
			r.observe(ep, signalUnresponsive)
			ep.unansweredSince = r.now
		}
	}
}
