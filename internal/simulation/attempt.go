package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// Hop takes a hop that a router sends at its time. It comes to the server after
// the way there.
func (w *World) Hop(attempt *Hop) {
	w.Result.Hops++
	attempt.target = w.servers[attempt.Server]
	attempt.fillSource = w.servers[attempt.Source]
	attempt.objectID = w.catalogue.id(attempt.Object)
	w.record(Entry{
		Kind: eventlog.KindSent, Router: attempt.Router, Request: attempt.Txn, Attempt: attempt.N, Endpoint: attempt.Server, Source: attempt.Source, Object: attempt.Object,
		Group: attempt.Group, Class: w.classes[attempt.Rule].Name,
	})
	if attempt.target == nil {
		return // a server that never was: nothing answers
	}
	attempt.latency = w.oneWayDelay(w.routers[attempt.Router].office, attempt.target)
	w.attempts[attemptKey{attempt.Router, attempt.Txn, attempt.N}] = attempt
	w.schedule(attempt.latency, func() { w.attemptArrived(attempt) })
}

// Cancel takes that a router gives a hop up; the server hears of it later.
func (w *World) Cancel(router int, requestID string, number int) {
	key := attemptKey{router, requestID, number}
	if attempt := w.attempts[key]; attempt != nil {
		delete(w.attempts, key)
		w.schedule(attempt.latency, func() { attempt.target.detach(attempt) })
	}
}

func (w *World) attemptArrived(attempt *Hop) {
	server := attempt.target
	switch {
	case attempt.state == attemptEnded:
		return
	case !server.up && server.silent:
		return
	case !server.up:
		server.finish(attempt, End{Outcome: policy.OutcomeConnectionRefused})
		return
	}
	w.record(Entry{Kind: eventlog.KindArrived, Router: attempt.Router, Request: attempt.Txn, Attempt: attempt.N, Endpoint: server.id})
	attempt.index = len(server.attempts)
	server.attempts = append(server.attempts, attempt)
	work := attempt.SizeKB / w.scenario.Fleet.FlowKBPerS * 1e6
	if server.recordWork(work) {
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

// finish answers a hop. What the router gets takes the way back, and a trouble may
// get between.
func (s *server) finish(attempt *Hop, end End) {
	if attempt.state == attemptEnded {
		return
	}
	s.detach(attempt)
	end.Load = s.visibleLoad
	if end.Outcome != policy.OutcomeConnectionReset && end.Outcome != policy.OutcomeConnectionRefused {
		s.world.Result.Ends[end.Outcome.String()]++
		if end = s.world.applyAnswerFaults(s, end); end.Outcome == policy.OutcomeUnknown {
			return // it never comes
		}
	}
	s.world.schedule(attempt.latency, func() { s.world.deliver(attempt, end) })
}

func (w *World) deliver(attempt *Hop, end End) {
	key := attemptKey{attempt.Router, attempt.Txn, attempt.N}
	if w.attempts[key] != attempt {
		return // the router has given it up
	}
	delete(w.attempts, key)
	w.record(Entry{Kind: eventlog.KindEnded, Router: attempt.Router, Request: attempt.Txn, Attempt: attempt.N, Endpoint: attempt.Server, Outcome: end.Outcome.String(), Issued: end.Issued})
	w.driver.End(attempt.Router, attempt, end)
}

// detach takes a hop off its server: it has ended, or was given up.
func (s *server) detach(attempt *Hop) {
	if attempt.state == attemptEnded {
		return
	}
	previous := attempt.state
	attempt.state = attemptEnded
	if attempt.index < len(s.attempts) && s.attempts[attempt.index] == attempt {
		last := len(s.attempts) - 1
		s.attempts[attempt.index] = s.attempts[last]
		s.attempts[attempt.index].index = attempt.index
		s.attempts[last] = nil
		s.attempts = s.attempts[:last]
	}
	if inFlight := attempt.fill; inFlight != nil {
		attempt.fill = nil
		inFlight.removeAttempt(attempt)
	}
	if attempt.job != nil {
		attempt.job.resource.remove(attempt.job)
		attempt.job = nil
	}
	if s.kind != kindCache {
		return
	}
	switch previous {
	case attemptQueued:
		if i := slices.Index(s.queue, attempt); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case attemptWorking:
		s.busySlots--
		s.updateRate()
		s.startQueued()
	}
}

// recordExecuted notes that a hop's work was done in part at least.
func (w *World) recordExecuted(attempt *Hop) {
	w.record(Entry{Kind: eventlog.KindRan, Router: attempt.Router, Request: attempt.Txn, Attempt: attempt.N, Endpoint: attempt.target.id, Class: w.classes[attempt.Rule].Name})
}

// Hop is what a router sends to a server.
type Hop struct {
	Router         int
	Txn            string
	N              int
	Server, Source string // Source "": a miss is not filled
	Rank           int
	FillMode       policy.FillMode
	Within         int64 // the oldest copy that will do; 0: the rule's
	Rule           int
	Object         string
	Part           int64
	Group          int64
	SizeKB         float64
	Write          bool
	Tag            any // the driver's own

	target     *server
	fillSource *server
	objectID   int64
	state      attemptState
	index      int // in the server's list
	job        *job
	fill       *fill
	latency    int64 // one way
}

type attemptState uint8

const (
	attemptInTransit attemptState = iota
	attemptQueued                 // in the server's waiting room
	attemptWorking                // has a slot
	attemptEnded
)

type attemptKey struct {
	router    int
	requestID string
	attempt   int
}
