package checker

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// listing is an endpoint's state as discovery tells it.
type listing struct {
	state      policy.EndpointState
	startedAt  int64
	notifiedBy int64 // every router counts as notified then
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
	before, known := c.notified[entry.Router][entry.Endpoint]
	if known && before.state != policy.EndpointActive && state != policy.EndpointActive {
		return // it knew already that it drains: the earlier time counts
	}
	c.notified[entry.Router][entry.Endpoint] = notification{state, entry.StartedAt, entry.At}
}

// checkDraining judges rule 3.
func (c *Checker) checkDraining(entry *eventlog.Entry, endpoint, what string) {
	if endpoint == "" {
		return
	}
	if last := c.suspensions[entry.Router]; last.until == 0 && last.from > 0 {
		return // it is suspended: what arrives now was sent before
	}
	notified, known := c.notified[entry.Router][endpoint]
	listed := c.listed[endpoint]
	notifiedAt := c.knownAt(entry.Router, notified.at)
	listedBy := c.knownAt(entry.Router, listed.notifiedBy)
	grace := c.settings.DrainGrace
	switch {
	case known && notified.state != policy.EndpointActive && entry.At > notifiedAt+grace:
		c.violate(ruleNothingToDraining, entry, "%s %s %d ms after it was told that this is %s",
			what, endpoint, (entry.At-notifiedAt)/ms, notified.state)
	case listed.state != "" && listed.state != policy.EndpointActive &&
		(!known || notified.state == policy.EndpointActive) && entry.At > listedBy+grace:
		c.violate(ruleNothingToDraining, entry, "%s %s %d ms after it counts as told that this is %s",
			what, endpoint, (entry.At-listedBy)/ms, listed.state)
	}
}
