package policy

import "slices"

// The texts of ActionLog. With LogEjected, Action.Backoff is set.
const (
	LogEjected    = "endpoint ejected"    // it receives no requests for Backoff
	LogReadmitted = "endpoint readmitted" // it receives requests again
)

// health is the state of an endpoint in outlier ejection. Its values are stored in Snapshots.
type health uint8

const (
	healthy   health = 1 << iota
	suspect          // failed once, or was unresponsive
	ejected          // receives no requests until its ejection is over
	probation        // receives one attempt or health check, which readmits or ejects it
	anyHealth = healthy | suspect | ejected | probation
)

// signal is an input of the state machine of an endpoint's health.
type signal uint8

const (
	signalNone         signal = iota // no effect on health
	signalAnswered                   // any response, including an error or a refusal
	signalFailed                     // a refused or reset connection, or a failed health check
	signalUnresponsive               // no response for far longer than usual
	signalLateFills                  // fills from it are late, those from another source are not
	signalEjectionOver               // the ejection is over
	signalRestarted                  // the endpoint list has a later start time
)

// healthTransitions depend on signals only, not on their causes. One failure, or one long time without a response, may be
// chance: it makes the endpoint suspect. A second one some time later, without a response in between, is not: it ejects
// the endpoint.
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

// observe applies a signal to an endpoint, which is nil if it is not listed.
func (r *Router) observe(ep *endpoint, signal signal) {
	// Attempts that fail within this time, such as those of one connection, count as one failure.
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

// Duration of ejections.
const (
	ejectionTime    = 1 * second // a restarted process accepts requests again within seconds
	maxEjectionTime = 4 * second // an unresponsive machine costs one attempt or health check in that time

	maxBackoffDoublings = 8 // bounds the shift; the ejection time reaches maxEjectionTime earlier
)

// eject ejects an endpoint for a time that doubles with each ejection since its last readmission. A response during
// that time readmits it at once, even if it is an error or late.
func (r *Router) eject(ep *endpoint) {
	ep.sourceSamples = nil
	backoff := min(ejectionTime<<ep.ejections, maxEjectionTime)
	ep.healthHeldUntil = r.now + backoff
	ep.ejections = min(ep.ejections+1, maxBackoffDoublings)
	r.emit(Action{Kind: ActionLog, Text: LogEjected, Endpoint: ep.id, Backoff: backoff})
}

// checkHealth sends a health check where the site permits that; elsewhere the next attempt shows the endpoint's health.
func (r *Router) checkHealth(ep *endpoint) {
	if r.config.healthChecks {
		r.emit(Action{Kind: ActionHealthCheck, Endpoint: ep.id})
	}
}

// readmit readmits an ejected endpoint and resets the records against it, including the doubling of its ejection time.
func (r *Router) readmit(ep *endpoint) {
	ep.ejections = 0
	ep.sourceSamples = nil
	ep.readmittedAt = r.now
	r.emit(Action{Kind: ActionLog, Text: LogReadmitted, Endpoint: ep.id})
}

// observeHealthCheck applies the end of a health check to an endpoint.
func (r *Router) observeHealthCheck(ep *endpoint, outcome Outcome) {
	if outcome == OutcomeDone {
		r.observe(ep, signalAnswered)
	} else {
		r.observe(ep, signalFailed)
	}
}

// observeFill records whether a fill from a source was on time. A parent is ejected when half of its last fills were
// late, and that is more than twice the share of another source: a slow origin delays the fills of all sources alike.
// Where health checks are permitted, a late fill of a healthy parent triggers one, as for an unresponsive endpoint.
func (r *Router) observeFill(source *endpoint, timely bool) {
	source.sourceSamples = addSample(source.sourceSamples, r.now, !timely)
	if source.role != roleParent || timely {
		return
	}
	const lateOneIn = 2
	late, all := countBad(source.sourceSamples, r.now, minSamples)
	if lateOneIn*late >= max(all, minSamples) && r.hasTimelierSource(source, late, all) {
		r.observe(source, signalLateFills)
	} else if r.config.healthChecks && source.health == healthy {
		r.observe(source, signalUnresponsive)
	}
}

// hasTimelierSource reports whether another active source has less than half the share of late fills.
func (r *Router) hasTimelierSource(source *endpoint, late, all int) bool {
	const minRatio, minOtherSamples = 2, minSamples / 2
	return slices.ContainsFunc(r.ordered, func(other *endpoint) bool {
		otherLate, otherAll := countBad(other.sourceSamples, r.now, minSamples)
		return other != source && other.active && other.health != ejected &&
			otherAll >= minOtherSamples && late*otherAll > minRatio*otherLate*all
	})
}

// updateHealth ends ejections that are over. An endpoint counts as unresponsive if it has several attempts in flight and
// has sent nothing for far longer than a response takes.
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
