package simulation

import (
	"slices"

	"quilldoor/internal/policy"
)

// fill is a fetch of one part into a server. At a cache, attempts wait for it; at a parent, callers of fetch do.
//
// An attempt joins a fill only for a copy that is fresh enough for it. The issue time of the copy is unknown until the
// source has replied. Until then any attempt joins; at the reply, those for which the copy is too old leave the fill
// and are served as if they had arrived then.
type fill struct {
	server       *server // the server that stores the part
	incarnation  int64   // of the server when the fill began
	key          int64
	priority     int // cache priority of the copy; 0: it is not stored
	attempts     []*Attempt
	waiters      []fetchWaiter // at a parent: the fetches that joined it
	transfers    []*job
	pendingSteps int // transfers and the minimum transfer time that are still to finish
	startedAt    int64
	replied      bool  // the source has replied, and issuedAt is known
	issuedAt     int64 // of the copy
	reason       policy.Reason
	closed       bool // completed or cancelled
}

// fetchWaiter is a fetch of a parent that waits for a fill in flight.
type fetchWaiter struct {
	attempt        *Attempt
	earliestIssued int64 // copies issued earlier are too old for it
	done           fillDone
}

// fillDone receives the reply of a source to a fill: the issue time of its copy, or a reason for which fillFailed
// returns true.
type fillDone func(issuedAt int64, reason policy.Reason)

// fillFailed reports whether a source's reason means that the source supplies no copy.
func fillFailed(reason policy.Reason) bool { return reason >= policy.ReasonUpstreamBusy }

// beginFill starts a fill for an attempt. Later attempts may join it unless another fill of the part is in flight that is
// fresh enough for this one.
func (s *server) beginFill(attempt *Attempt, key int64) {
	newFill := &fill{
		server: s, incarnation: s.incarnation, key: key, priority: attempt.CachePriority, attempts: []*Attempt{attempt},
		startedAt: s.simulation.now, reason: policy.ReasonMiss,
	}
	attempt.fill = newFill
	s.fillCount++
	if !s.fills[key].mayServe(attempt) {
		s.fills[key] = newFill
	}
	newFill.start(attempt)
}

// mayServe reports whether there is a fill whose copy may be fresh enough for an attempt.
func (f *fill) mayServe(attempt *Attempt) bool {
	return f != nil && (!f.replied || f.issuedAt >= attempt.earliestIssued)
}

// join adds an attempt to a fill in flight.
func (f *fill) join(attempt *Attempt) {
	f.priority = max(f.priority, attempt.CachePriority)
	f.attempts = append(f.attempts, attempt)
	attempt.fill = f
}

// start sends the fill's request to its source.
func (f *fill) start(attempt *Attempt) {
	source := attempt.fillSource
	delay := f.server.simulation.oneWayDelay(f.server.office, source)
	snapshot := *attempt // the attempt may be cancelled while the fill continues
	f.server.simulation.schedule(delay, func() {
		if !f.closed {
			f.requestArrived(&snapshot, source, delay)
		}
	})
}

// requestArrived handles the arrival of the fill's request at its source. The reply takes delay microseconds to the
// server.
func (f *fill) requestArrived(attempt *Attempt, source *server, delay int64) {
	sim := f.server.simulation
	failLater := func(reason policy.Reason) {
		sim.schedule(delay, func() { f.fail(reason) })
	}
	switch {
	case !source.up && source.silent:
		return // the fill waits until its attempts are cancelled
	case !source.up:
		failLater(policy.ReasonUpstreamDown)
		return
	case source.kind != kindOrigin && source.recordWork(attempt):
		source.collapse()
		failLater(policy.ReasonUpstreamDown)
		return
	}
	source.serveFill(attempt, func(issuedAt int64, reason policy.Reason) {
		if fillFailed(reason) {
			failLater(reason)
			return
		}
		f.issuedAt = issuedAt
		f.reason = reason
		sim.schedule(delay, func() { f.transfer(attempt, source) })
	})
}

// transfer sends the fill's bytes over the source's outbound link, if it has one, and the office's inbound link, at no
// more than the maximum rate of one fill. The fill completes when the links have transferred the bytes and the transfer
// time at the maximum rate has passed.
func (f *fill) transfer(attempt *Attempt, source *server) {
	sim := f.server.simulation
	fleet := &sim.scenario.Fleet
	if f.closed || f.incarnation != f.server.incarnation {
		return
	}
	f.replied = true
	f.releaseUnserved()
	if f.closed {
		return
	}
	maxRate := fleet.FillSpeed * fleet.FlowKBPerS / second / float64(1+sim.trunkDistance(f.server.office, source))
	stepDone := func() {
		f.pendingSteps--
		if f.pendingSteps == 0 && !f.closed && f.incarnation == f.server.incarnation {
			f.complete(attempt)
		}
	}
	sim.Result.countFill(sim, attempt.SizeKB, source.kind == kindOrigin)
	f.pendingSteps = 2 // the office's link and the minimum transfer time
	if source.egress != nil {
		f.pendingSteps++
		f.transfers = append(f.transfers, source.egress.add(attempt.SizeKB, stepDone))
	}
	f.transfers = append(f.transfers, sim.links[f.server.office].add(attempt.SizeKB, stepDone))
	sim.schedule(int64(attempt.SizeKB/maxRate), stepDone)
}

// releaseUnserved removes the attempts for which the fill's copy is too old, and serves them as misses.
func (f *fill) releaseUnserved() {
	s := f.server
	for _, attempt := range slices.Clone(f.attempts) {
		if f.mayServe(attempt) {
			continue
		}
		attempt.fill = nil
		f.removeAttempt(attempt)
		s.serveMiss(attempt, f.key)
	}
}

// unregister removes the fill from its server.
func (f *fill) unregister() {
	f.server.fillCount--
	if f.server.fills[f.key] == f {
		delete(f.server.fills, f.key)
	}
}

// complete stores the copy unless it was purged meanwhile, and answers the attempts that wait for the fill.
func (f *fill) complete(request *Attempt) {
	s := f.server
	f.closed = true
	f.unregister()
	if f.priority > 0 && f.issuedAt > s.simulation.purgedAt(request.objectID, request.Group) {
		s.store.put(f.key, request.SizeKB, f.issuedAt, request.Group, f.priority)
	}
	for i, attempt := range f.attempts {
		attempt.fill = nil
		reason := f.reason
		if i > 0 {
			reason = policy.ReasonCoalesced
		}
		s.sendCopy(attempt, reason, f.issuedAt, s.simulation.now-f.startedAt)
	}
	f.attempts = nil
}

// fail answers all attempts that wait for the fill with an error.
func (f *fill) fail(reason policy.Reason) {
	if f.closed || f.incarnation != f.server.incarnation {
		return
	}
	f.cancel()
	f.unregister()
	attempts := f.attempts
	f.attempts = nil
	for _, attempt := range attempts {
		attempt.fill = nil
		f.server.finish(attempt, AttemptResult{
			Outcome: policy.OutcomeError, Reason: reason,
			Waited: f.server.simulation.now - f.startedAt,
		})
	}
}

// cancel stops the fill's transfers. Attempts and waiters of the fill are not notified.
func (f *fill) cancel() {
	f.closed = true
	for _, transfer := range f.transfers {
		transfer.resource.remove(transfer)
	}
	f.transfers = nil
	f.waiters = nil
}

// removeAttempt removes an attempt from the fill. A fill without attempts is cancelled unless the scenario lets such
// fills continue.
func (f *fill) removeAttempt(attempt *Attempt) {
	f.attempts = slices.DeleteFunc(f.attempts, func(other *Attempt) bool { return other == attempt })
	if len(f.attempts) == 0 && !f.closed && !f.server.simulation.scenario.Fleet.OrphanFills {
		f.cancel()
		f.unregister()
	}
}

// serveFill supplies a part for a fill: a cache from its store, a parent from its store or by a fetch from the origin,
// and the origin by generating it.
func (s *server) serveFill(attempt *Attempt, done fillDone) {
	switch s.kind {
	case kindOrigin:
		s.originRead(done)
	case kindCache:
		cached := s.store.get(partKey(attempt.objectID, attempt.Part))
		earliestIssued := s.simulation.now - s.simulation.maxAge(attempt)
		if cached != nil && cached.issuedAt > s.simulation.purgedAt(attempt.objectID, attempt.Group) &&
			cached.issuedAt >= earliestIssued {
			done(cached.issuedAt, policy.ReasonMiss)
		} else {
			done(0, policy.ReasonUpstreamMiss)
		}
	default:
		s.fetch(attempt, done)
	}
}
