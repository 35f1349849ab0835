package checker

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// listing is an endpoint's state as discovery tells it.
type listing struct {
	state    policy.EndpointState
	notified int64 // counts as told to every router then
}

// notification is an endpoint's state as a router was told it.
type notification struct {
	state policy.EndpointState
	at    int64
}

func (c *Checker) endpointListed(e *eventlog.Entry) {
	c.listed[e.Endpoint] = listing{policy.EndpointState(e.State), max(e.Until, e.At) + c.settings.NotificationDeadline}
}

func (c *Checker) endpointNotified(e *eventlog.Entry) {
	if c.notified[e.Router] == nil {
		c.notified[e.Router] = map[string]notification{}
	}
	state := policy.EndpointState(e.State)
	before, known := c.notified[e.Router][e.Endpoint]
	if known && before.state != policy.EndpointActive && state != policy.EndpointActive {
		return // told that it drains already: the earlier time counts
	}
	c.notified[e.Router][e.Endpoint] = notification{state, e.At}
}

// checkDraining judges rule 3.
func (c *Checker) checkDraining(e *eventlog.Entry, endpoint, what string) {
	if endpoint == "" {
		return
	}
	if s := c.stalls[e.Router]; s.until == 0 && s.from > 0 {
		return // it stands still: what arrives now was sent before
	}
	told, known := c.notified[e.Router][endpoint]
	listed := c.listed[endpoint]
	toldAt, listedBy := c.knownAt(e.Router, told.at), c.knownAt(e.Router, listed.notified)
	grace := c.settings.DrainGrace
	switch {
	case known && told.state != policy.EndpointActive && e.At > toldAt+grace:
		c.violate(ruleNothingToDraining, e, "%s %s %d ms after it was told that this is %s",
			what, endpoint, (e.At-toldAt)/ms, told.state)
	case listed.state != "" && listed.state != policy.EndpointActive &&
		(!known || told.state == policy.EndpointActive) && e.At > listedBy+grace:
		c.violate(ruleNothingToDraining, e, "%s %s %d ms after it counts as told that this is %s",
			what, endpoint, (e.At-listedBy)/ms, listed.state)
	}
}
