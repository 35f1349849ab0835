package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/invariant"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// eye is a router's witness, and what it has gathered.
type eye struct {
	judge   *invariant.Monitor
	acts    *invariant.Recorder
	process uint64
	accused bool
}

func (r *rolling) listed(router int, now int64, whole bool, list []engine.Endpoint) {
	entries := make([]policy.Endpoint, len(list))
	for i, s := range list {
		entries[i] = s.Endpoint
	}
	r.eyes[router].judge.EndpointsChanged(now, whole, entries)
}

func (r *rolling) purged(router int, now int64, object string, group, made int64) {
	r.eyes[router].judge.Purged(now, object, group, made)
}

func (r *rolling) sent(router int, rule string, h *engine.Attempt) {
	r.eyes[router].acts.RecordAttempt(h.DecidedAt, h.Endpoint.ID, h.Source, rule, h.Unsafe)
}

func (r *rolling) answered(router int, a *simulation.Ask, h *engine.Attempt, issued int64) {
	k := r.world.RuleOf(a.Rule)
	if k.Write {
		return
	}
	flow := r.virtual.set.Fleet.FlowKBPerS / 1e6
	r.eyes[router].acts.RecordResponse(k.Name, a.Object, a.Group, h.DecidedAt, issued+epoch, a.SizeKB/flow)
}

// look lets a router's witness judge; each change is another process.
func (r *rolling) look(now int64, i int) invariant.Violations {
	e, l := r.eyes[i], &r.local[i]
	if of := l.run<<1 | uint64(map[bool]int{true: 1}[r.news(i)]); of != e.process {
		e.judge.ProcessEnded(e.process)
		e.process = of
		e.acts.Take()
	}
	e.judge.Observe(now+epoch, e.process, e.acts.Take())
	e.judge.Tick(now + epoch)
	s := e.judge.Violations(e.process)
	e.accused = e.accused || s.Rules != 0
	return s
}
