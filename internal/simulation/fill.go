package simulation

import (
	"slices"

	"quilldoor/internal/policy"
)

// fill is a fetch that is under way; hops that join it wait for it as well.
type fill struct {
	server       *server
	key          int64
	attempts     []*Hop
	rank         int
	jobs         []*job
	pendingParts int // parts of the transfer that are not over
	startedAt    int64
	issuedAt     int64
	reason       policy.Reason
	incarnation  int64
	closed       bool
}

// start sends a fill to its source.
func (x *fill) start(attempt *Hop) {
	w, source := x.server.world, attempt.fillSource
	delay := w.oneWayDelay(x.server.office, source)
	snapshot := *attempt // the hop may leave while the fill runs on
	w.schedule(delay, func() {
		if x.closed {
			return
		}
		work := snapshot.SizeKB / w.scenario.Fleet.FlowKBPerS * 1e6
		switch {
		case !source.up && source.silent:
			return // until the hop is given up
		case !source.up:
			w.schedule(delay, func() { x.fail(policy.ReasonUpstreamDown) })
			return
		case source.kind != kindOrigin && source.recordWork(work):
			source.collapse()
			w.schedule(delay, func() { x.fail(policy.ReasonUpstreamDown) })
			return
		}
		source.serveFill(&snapshot, func(issuedAt int64, reason policy.Reason) {
			if reason >= policy.ReasonUpstreamBusy {
				w.schedule(delay, func() { x.fail(reason) })
				return
			}
			x.issuedAt, x.reason = issuedAt, reason
			w.schedule(delay, func() { x.transfer(&snapshot, source) })
		})
	})
}

// transfer takes a fill's bytes over the source's link out, the office's link in,
// and no faster than its pace; it is over when all three are.
func (x *fill) transfer(attempt *Hop, source *server) {
	w, fleet := x.server.world, &x.server.world.scenario.Fleet
	if x.closed || x.incarnation != x.server.incarnation {
		return
	}
	pace := fleet.FillSpeed * fleet.FlowKBPerS / 1e6 / float64(1+w.trunkDistance(x.server.office, source))
	partDone := func() {
		if x.pendingParts--; x.pendingParts == 0 && !x.closed {
			x.complete(attempt)
		}
	}
	w.Result.countFill(w, attempt.SizeKB, source.kind == kindOrigin)
	x.pendingParts = 2
	if source.egress != nil {
		x.pendingParts++
		x.jobs = append(x.jobs, source.egress.add(attempt.SizeKB, partDone))
	}
	x.jobs = append(x.jobs, w.links[x.server.office].add(attempt.SizeKB, partDone))
	w.schedule(int64(attempt.SizeKB/pace), partDone)
}

func (x *fill) unregister() {
	x.server.fillCount--
	if x.server.fills[x.key] == x {
		delete(x.server.fills, x.key)
	}
}

func (x *fill) complete(attempt *Hop) {
	s := x.server
	x.closed = true
	x.unregister()
	if x.rank > 0 && x.issuedAt > s.world.purgedAt(attempt.objectID, attempt.Group) {
		s.store.put(x.key, attempt.SizeKB, x.issuedAt, attempt.Group, x.rank)
	}
	for i, attempt := range x.attempts {
		attempt.fill = nil
		reason := x.reason
		if i > 0 {
			reason = policy.ReasonCoalesced
		}
		s.sendCopy(attempt, reason, x.issuedAt, s.world.now-x.startedAt)
	}
	x.attempts = nil
}

func (x *fill) fail(reason policy.Reason) {
	if x.closed || x.incarnation != x.server.incarnation {
		return
	}
	x.cancel()
	x.unregister()
	attempts := x.attempts
	x.attempts = nil
	for _, attempt := range attempts {
		attempt.fill = nil
		x.server.finish(attempt, End{Outcome: policy.OutcomeError, Reason: reason, Waited: x.server.world.now - x.startedAt})
	}
}

// cancel ends a fill's transfers.
func (x *fill) cancel() {
	x.closed = true
	for _, j := range x.jobs {
		j.resource.remove(j)
	}
	x.jobs = nil
}

// removeAttempt takes a hop from a fill; one that nobody waits for is dropped, or runs on.
func (x *fill) removeAttempt(attempt *Hop) {
	x.attempts = slices.DeleteFunc(x.attempts, func(o *Hop) bool { return o == attempt })
	if len(x.attempts) == 0 && !x.closed && !x.server.world.scenario.Fleet.OrphanFills {
		x.cancel()
		x.unregister()
	}
}

// serveFill is what a source does for a fill: a parent or another cache gives what
// it holds, or fetches it; the ledger makes it.
func (s *server) serveFill(attempt *Hop, done func(issuedAt int64, reason policy.Reason)) {
	w := s.world
	switch s.kind {
	case kindOrigin:
		s.originRead(done)
	case kindCache: // another office's: only what it holds
		if cached := s.store.get(partKey(attempt.objectID, attempt.Part)); cached != nil && cached.issuedAt > w.purgedAt(attempt.objectID, attempt.Group) {
			done(cached.issuedAt, policy.ReasonMiss)
		} else {
			done(0, policy.ReasonUpstreamMiss)
		}
	default:
		s.fetch(attempt, done)
	}
}
