package simulation

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// Attempt is one transmission of a request from a router to a server. The driver sets the exported fields.
type Attempt struct {
	Router        int    // index of the router that sends it
	RequestID     string // ID of the request
	Number        int    // number of the attempt within the request
	Server        string // ID of the server to which it is sent
	Source        string // ID of the server that a miss is filled from; "": a miss is not filled
	CachePriority int    // cache priority of a filled copy; 0: it is not stored
	FillMode      policy.FillMode
	MaxAge        int64 // maximum age of an acceptable copy, microseconds; 0: the traffic class's freshness time
	Class         int   // index of the traffic class
	Object        string
	Part          int64
	Group         int64 // purge group of the object
	SizeKB        float64
	Write         bool
	DriverData    any // for the driver; the simulation does not read it

	target         *server // nil: no such server
	fillSource     *server // nil: no fill
	objectID       int64
	state          attemptState
	index          int   // in target.attempts
	job            *job  // its work in progress, if any
	fill           *fill // the fill that it waits for, if any
	earliestIssued int64 // at a cache, once it has a slot: copies issued earlier are too old for it
	latency        int64 // one-way network latency between router and server, microseconds
}

// attemptState is the state of an attempt at its server.
type attemptState uint8

const (
	attemptInTransit attemptState = iota
	attemptQueued                 // waits for a slot
	attemptWorking                // has a slot
	attemptEnded                  // was answered, cancelled or lost
)

// attemptKey identifies an attempt that a router waits for.
type attemptKey struct {
	router    int
	requestID string
	attempt   int
}

func (a *Attempt) key() attemptKey { return attemptKey{a.Router, a.RequestID, a.Number} }

// entry returns an event log entry with the attempt's identity.
func (a *Attempt) entry(kind eventlog.Kind) Entry {
	return Entry{Kind: kind, Router: a.Router, Request: a.RequestID, Attempt: a.Number, Endpoint: a.Server}
}

// SendAttempt handles an attempt that a router sends now. It arrives at the server one network latency later.
func (s *Simulation) SendAttempt(attempt *Attempt) {
	s.Result.Attempts++
	attempt.target = s.servers[attempt.Server]
	attempt.fillSource = s.servers[attempt.Source]
	attempt.objectID = s.catalogue.id(attempt.Object)
	entry := attempt.entry(eventlog.KindSent)
	entry.Source = attempt.Source
	entry.Object = attempt.Object
	entry.Group = attempt.Group
	entry.Class = s.classes[attempt.Class].Name
	s.record(entry)
	if attempt.target == nil {
		return // no server has this ID, so nothing responds
	}
	attempt.latency = s.oneWayDelay(s.routers[attempt.Router].office, attempt.target)
	s.attempts[attempt.key()] = attempt
	s.schedule(attempt.latency, func() { s.attemptArrived(attempt) })
}

// Cancel handles a router's cancellation of an attempt. The server receives it one network latency later.
func (s *Simulation) Cancel(router int, requestID string, number int) {
	key := attemptKey{router, requestID, number}
	if attempt := s.attempts[key]; attempt != nil {
		delete(s.attempts, key)
		s.detachLater(attempt)
	}
}

// detachLater removes an attempt from its server one network latency later.
func (s *Simulation) detachLater(attempt *Attempt) {
	s.schedule(attempt.latency, func() { attempt.target.detach(attempt) })
}

// attemptArrived handles the arrival of an attempt at its server. A server that is down refuses the connection; one
// that is also silent does not respond.
func (s *Simulation) attemptArrived(attempt *Attempt) {
	server := attempt.target
	switch {
	case attempt.state == attemptEnded:
		return
	case !server.up && server.silent:
		return
	case !server.up:
		server.finish(attempt, AttemptResult{Outcome: policy.OutcomeConnectionRefused})
		return
	}
	s.record(attempt.entry(eventlog.KindArrived))
	attempt.index = len(server.attempts)
	server.attempts = append(server.attempts, attempt)
	if server.recordWork(attempt) {
		server.collapse()
		return
	}
	switch server.kind {
	case kindCache:
		server.admit(attempt)
	case kindParent:
		server.serveFromParent(attempt)
	case kindOrigin:
		server.serveFromOrigin(attempt)
	}
}

// recordExecuted logs that the execution of an attempt has begun: from now on the request may take effect.
func (s *Simulation) recordExecuted(attempt *Attempt) {
	entry := attempt.entry(eventlog.KindRan)
	entry.Class = s.classes[attempt.Class].Name
	s.record(entry)
}

// maxAge is the maximum age, in microseconds, of a copy that an attempt accepts.
func (s *Simulation) maxAge(attempt *Attempt) int64 {
	if attempt.MaxAge != 0 {
		return attempt.MaxAge
	}
	return s.classes[attempt.Class].FreshFor
}

// flowTime is the time, in microseconds, that one client flow takes to transfer a number of kilobytes.
func (s *Simulation) flowTime(kb float64) float64 { return kb / s.scenario.Fleet.FlowKBPerS * second }
