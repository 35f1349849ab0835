package downstream

import (
	"sync"
	"time"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/engine"
	"quilldoor/internal/gateway"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/policy"
	"quilldoor/internal/upstream"
)

var effects = map[policy.Effect]peerpolicy.Effect{
	policy.EffectIdempotent:     peerpolicy.EffectIdempotent,
	policy.EffectIdempotencyKey: peerpolicy.EffectIdempotencyKey,
	policy.EffectUnsafe:         peerpolicy.EffectUnsafe,
}

// across hands a txn that the module has refused to another site, and puts what
// becomes of it in the place of the refusal. False: its client has left.
func (f *Server) across(c *client, gate *gateway.Gateway, a *ask, final *engine.Command, limit time.Time, arrived chan struct{}) bool {
	rule, _ := f.core.Class(a.event.Class)
	q := &gateway.Request{Event: a.event, Tag: a.tag, Body: a.body, Effect: effects[rule.Effect], NeverRan: !final.MaybeExecuted}
	if q.Event.Remaining = time.Until(limit).Microseconds(); q.Event.Remaining <= 0 {
		return true
	}
	far := make(chan gateway.Reply, 1)
	var mu sync.Mutex
	gone := false // nobody waits for the answer any more
	if !gate.Forward(q, func(r gateway.Reply) {
		mu.Lock()
		defer mu.Unlock()
		if gone {
			r.Body.Release()
			return
		}
		far <- r
		select {
		case arrived <- struct{}{}:
		default:
		}
		c.SetReadDeadline(time.Now()) // wakes the wait below
	}) {
		return true
	}
	for {
		here := f.wait(c, arrived)
		select {
		case r := <-far:
			if here {
				*final = orderOf(r, final.RetryAfter)
			} else {
				r.Body.Release()
			}
			return here
		default:
		}
		if !here {
			mu.Lock()
			gone = true
			mu.Unlock()
			gate.Cancel(a.event.Request)
			select {
			case r := <-far: // it came as the client left
				r.Body.Release()
			default:
			}
			return false
		}
	}
}

// orderOf is a peer's answer as the module would have ordered it.
func orderOf(r gateway.Reply, stay int64) engine.Command {
	switch r.Outcome {
	case peerpolicy.OutcomeCompleted:
		return engine.Command{Kind: engine.CommandRespond, Response: &upstream.Response{Body: r.Body, Tag: r.Tag, NotModified: r.NotModified, IssuedMillis: r.IssuedMillis}}
	case peerpolicy.OutcomeRejected:
		return engine.Command{Kind: engine.CommandReject, RetryAfter: max(stay, r.RetryAfter)}
	}
	return engine.Command{Kind: engine.CommandFail, MaybeExecuted: true}
}

// ServeForwarded runs a txn that a peer hands over, from the module's first decision to the
// last: it is one like any other, but that no client's connection waits for it.
func (f *Server) ServeForwarded(left <-chan struct{}, q *gateway.Request) gateway.Reply {
	none := gateway.Reply{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}
	rule, known := f.core.Class(q.Event.Class)
	if !known || q.Event.Write != rule.Write || q.Event.Remaining <= 0 || f.draining.Load() || !fits(&q.Event, q.Tag) {
		return none
	}
	a := &ask{event: q.Event, tag: q.Tag, body: q.Body}
	arrived := make(chan struct{}, 1)
	t, err := f.core.Open(time.Now().UnixMicro(), a.event, func() {
		select {
		case arrived <- struct{}{}:
		default:
		}
	})
	if err != nil {
		return none
	}
	for here := true; ; {
		final := f.orders(t, a, a.tag)
		if final != nil || !here {
			for _, o := range t.Detach() {
				f.leave(o)
			}
			if final == nil {
				return gateway.Reply{Outcome: peerpolicy.OutcomeAborted}
			}
			return replyOf(final)
		}
		select {
		case <-arrived:
		case <-left:
			here = false
			f.core.ClientGone(time.Now().UnixMicro(), t)
		}
	}
}

// fits tells whether a peer's words can stand in a cache server's line, as a
// client's must.
func fits(e *policy.Event, tag string) bool {
	return txnID(e.Request) && cacheproto.IsPlain(e.Object) && e.Part >= 0 && e.Part <= 1<<31 && e.Group >= 0 && e.Group <= 255 &&
		(tag == "" || cacheproto.IsPlain(tag))
}

func replyOf(o *engine.Command) gateway.Reply {
	switch o.Kind {
	case engine.CommandRespond:
		r := o.Response.(*upstream.Response)
		return gateway.Reply{Outcome: peerpolicy.OutcomeCompleted, NotModified: r.NotModified, Tag: r.Tag, IssuedMillis: r.IssuedMillis, Body: r.Body}
	case engine.CommandReject:
		return gateway.Reply{Outcome: peerpolicy.OutcomeRejected, NeverRan: !o.MaybeExecuted, RetryAfter: o.RetryAfter}
	}
	return gateway.Reply{Outcome: peerpolicy.OutcomeAborted}
}
