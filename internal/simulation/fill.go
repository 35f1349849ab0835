package simulation

import (
	"slices"

	"quilldoor/internal/policy"
)

// fill is a fetch of one part into a server. At a cache, attempts wait for it; at a parent, the callers of
// serveFill do.
type fill struct {
	server       *server // that is filled
	incarnation  int64   // of the server, when the fill began
	key          int64
	priority     int // cache priority of the copy; 0: it is not stored
	attempts     []*Attempt
	waiters      []func() // at a parent: those who joined
	transfers    []*job
	pendingParts int // parts of the transfer that are not finished
	startedAt    int64
	issuedAt     int64
	reason       policy.Reason
	closed       bool // completed or cancelled
}

// fillDone receives what a source has for a fill: the issue time of its copy, or a reason for which fillFailed holds.
type fillDone func(issuedAt int64, reason policy.Reason)

// fillFailed tells whether a source's reason means that there is no copy.
func fillFailed(reason policy.Reason) bool { return reason >= policy.ReasonUpstreamBusy }

// beginFill starts a fill for an attempt. Later attempts may join it unless another one for the part is under way.
func (s *server) beginFill(attempt *Attempt, key int64) {
	begun := &fill{
		server: s, incarnation: s.incarnation, key: key, priority: attempt.CachePriority, attempts: []*Attempt{attempt},
		startedAt: s.simulation.now, reason: policy.ReasonMiss,
	}
	attempt.fill = begun
	s.fillCount++
	if s.fills[key] == nil {
		s.fills[key] = begun
	}
	begun.start(attempt)
}

// join lets an attempt wait for a fill that is under way.
func (f *fill) join(attempt *Attempt) {
	f.priority = max(f.priority, attempt.CachePriority)
	f.attempts = append(f.attempts, attempt)
	attempt.fill = f
}

// start sends the fill's request to its source.
func (f *fill) start(attempt *Attempt) {
	source := attempt.fillSource
	delay := f.server.simulation.oneWayDelay(f.server.office, source)
	snapshot := *attempt // the attempt may be cancelled while the fill runs on
	f.server.simulation.schedule(delay, func() {
		if !f.closed {
			f.requestArrived(&snapshot, source, delay)
		}
	})
}

// requestArrived lets the source supply the fill. Its answer takes delay microseconds back.
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

// transfer moves the fill's bytes over the source's link out and the office's link in, no faster than its pace. It
// is finished when all three are.
func (f *fill) transfer(attempt *Attempt, source *server) {
	sim := f.server.simulation
	fleet := &sim.scenario.Fleet
	if f.closed || f.incarnation != f.server.incarnation {
		return
	}
	pace := fleet.FillSpeed * fleet.FlowKBPerS / second / float64(1+sim.trunkDistance(f.server.office, source))
	partDone := func() {
		f.pendingParts--
		if f.pendingParts == 0 && !f.closed {
			f.complete(attempt)
		}
	}
	sim.Result.countFill(sim, attempt.SizeKB, source.kind == kindOrigin)
	f.pendingParts = 2 // the office's link and the pace
	if source.egress != nil {
		f.pendingParts++
		f.transfers = append(f.transfers, source.egress.add(attempt.SizeKB, partDone))
	}
	f.transfers = append(f.transfers, sim.links[f.server.office].add(attempt.SizeKB, partDone))
	sim.schedule(int64(attempt.SizeKB/pace), partDone)
}

// unregister removes the fill from its server.
func (f *fill) unregister() {
	f.server.fillCount--
	if f.server.fills[f.key] == f {
		delete(f.server.fills, f.key)
	}
}

// complete stores the copy, unless it was purged meanwhile, and answers the attempts that wait for it.
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

// cancel ends the fill's transfers. Those who wait for it are not notified.
func (f *fill) cancel() {
	f.closed = true
	for _, transfer := range f.transfers {
		transfer.resource.remove(transfer)
	}
	f.transfers = nil
	f.waiters = nil
}

// removeAttempt lets an attempt leave the fill. A fill that nobody waits for is cancelled, or runs on if the
// scenario says so.
func (f *fill) removeAttempt(attempt *Attempt) {
	f.attempts = slices.DeleteFunc(f.attempts, func(other *Attempt) bool { return other == attempt })
	if len(f.attempts) == 0 && !f.closed && !f.server.simulation.scenario.Fleet.OrphanFills {
		f.cancel()
		f.unregister()
	}
}

// serveFill is what a source does for a fill: another cache gives what it holds, a parent may fetch it first, the
// origin generates it.
func (s *server) serveFill(attempt *Attempt, done fillDone) {
	switch s.kind {
	case kindOrigin:
		s.originRead(done)
	case kindCache:
		cached := s.store.get(partKey(attempt.objectID, attempt.Part))
		if cached != nil && cached.issuedAt > s.simulation.purgedAt(attempt.objectID, attempt.Group) {
			done(cached.issuedAt, policy.ReasonMiss)
		} else {
			done(0, policy.ReasonUpstreamMiss)
		}
	default:
		s.fetch(attempt, done)
	}
}
