package checker

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// listing is an endpoint's state as discovery publishes it.
type listing struct {
	state      policy.EndpointState
	startedAt  int64
	notifiedBy int64 // from then on every router counts as notified
}

// notification is an endpoint's state as a router was notified of it.
type notification struct {
	state     policy.EndpointState
	startedAt int64
	at        int64
}

func (c *Checker) endpointListed(entry *eventlog.Entry) {
	c.listed[entry.Endpoint] = listing{
		state:      policy.EndpointState(entry.State),
		startedAt:  entry.StartedAt,
		notifiedBy: max(entry.Until, entry.At) + c.settings.NotificationDeadline,
	}
}

func (c *Checker) endpointNotified(entry *eventlog.Entry) {
	if c.notified[entry.Router] == nil {
		c.notified[entry.Router] = map[string]notification{}
	}
	state := policy.EndpointState(entry.State)
	previous, known := c.notified[entry.Router][entry.Endpoint]
	if known && previous.state != policy.EndpointActive && state != policy.EndpointActive {
		return // notified of the drain before: the earlier time counts
	}
	c.notified[entry.Router][entry.Endpoint] = notification{state, entry.StartedAt, entry.At}
}

// checkDraining checks rule 3 for an endpoint that an attempt uses. The use is how the violation names it. It returns
// true for a violation by a router that counts as notified and was not.
func (c *Checker) checkDraining(entry *eventlog.Entry, endpoint, use string) (unaware bool) {
	if endpoint == "" {
		return false
	}
	if last := c.suspensions[entry.Router]; last.until == 0 && last.from > 0 {
		return false // the router is suspended: it sent the attempt before
	}
	notified, known := c.notified[entry.Router][endpoint]
	listed := c.listed[endpoint]
	notifiedAt := c.processableAt(entry.Router, notified.at)
	listedBy := c.processableAt(entry.Router, listed.notifiedBy)
	grace := c.settings.DrainGrace
	switch {
	case known && notified.state != policy.EndpointActive && entry.At > notifiedAt+grace:
		c.violate(ruleNothingToDraining, entry, "%s %s %d ms after the router was notified that the endpoint is %s",
			use, endpoint, (entry.At-notifiedAt)/ms, notified.state)
	case listed.state != "" && listed.state != policy.EndpointActive &&
		(!known || notified.state == policy.EndpointActive) && entry.At > listedBy+grace:
		c.violate(ruleNothingToDraining, entry, "%s %s %d ms after the router counts as notified that the endpoint is %s",
			use, endpoint, (entry.At-listedBy)/ms, listed.state)
		return true
	}
	return false
}

// retractUnsent retracts the violation by an attempt of a router that was not notified, when it ends without a connection:
// for rule 3 an attempt counts from its first byte, and none was sent.
func (c *Checker) retractUnsent(entry *eventlog.Entry, attempt *attempt) {
	c.Unsent++
	c.CountByRule[ruleNothingToDraining]--
	i := slices.IndexFunc(c.Violations, func(v Violation) bool {
		return v.Rule == ruleNothingToDraining && v.At == attempt.sentAt && v.Router == entry.Router &&
			v.Request == entry.Request && v.Endpoint == attempt.endpoint
	})
	if i >= 0 {
		c.Violations = slices.Delete(c.Violations, i, i+1)
	}
}
