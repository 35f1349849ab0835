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

var effects = map[string]peerpolicy.Effect{"safe": peerpolicy.Safe, "keyed": peerpolicy.Keyed, "unsafe": peerpolicy.Unsafe}

// across hands a txn that the module has refused to another site, and puts what
// becomes of it in the place of the refusal. False: its client has left.
func (f *Front) across(c *client, gate *gateway.Gateway, a *ask, final *engine.Order, limit time.Time, arrived chan struct{}) bool {
	rule, _ := f.core.Rule(a.event.Rule)
	q := &gateway.Request{Event: a.event, Tag: a.tag, Body: a.body, Effect: effects[rule.Effect], Clean: !final.Ran}
	if q.Event.Remaining = time.Until(limit).Microseconds(); q.Event.Remaining <= 0 {
		return true
	}
	far := make(chan gateway.Reply, 1)
	var mu sync.Mutex
	gone := false // nobody waits for the answer any more
	if !gate.Cross(q, func(r gateway.Reply) {
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
				*final = orderOf(r, final.Stay)
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
			gate.Leave(a.event.Txn)
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
func orderOf(r gateway.Reply, stay int64) engine.Order {
	switch r.End {
	case peerpolicy.Completed:
		return engine.Order{Kind: engine.Completed, Reply: &upstream.Reply{Body: r.Body, Tag: r.Tag, Same: r.Same, Issued: r.Issued}}
	case peerpolicy.Rejected:
		return engine.Order{Kind: engine.Rejected, Stay: max(stay, r.Stay)}
	}
	return engine.Order{Kind: engine.Aborted, Ran: true}
}

// Carry runs a txn that a peer hands over, from the module's first decision to the
// last: it is one like any other, but that no client's connection waits for it.
func (f *Front) Carry(left <-chan struct{}, q *gateway.Request) gateway.Reply {
	none := gateway.Reply{End: peerpolicy.Rejected, Proof: true}
	rule, known := f.core.Rule(q.Event.Rule)
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
				return gateway.Reply{End: peerpolicy.Aborted}
			}
			return replyOf(final)
		}
		select {
		case <-arrived:
		case <-left:
			here = false
			f.core.Leave(time.Now().UnixMicro(), t)
		}
	}
}

// fits tells whether a peer's words can stand in a cache server's line, as a
// client's must.
func fits(e *policy.Event, tag string) bool {
	return txnID(e.Txn) && cacheproto.Plain(e.Object) && e.Part >= 0 && e.Part <= 1<<31 && e.Group >= 0 && e.Group <= 255 &&
		(tag == "" || cacheproto.Plain(tag))
}

func replyOf(o *engine.Order) gateway.Reply {
	switch o.Kind {
	case engine.Completed:
		r := o.Reply.(*upstream.Reply)
		return gateway.Reply{End: peerpolicy.Completed, Same: r.Same, Tag: r.Tag, Issued: r.Issued, Body: r.Body}
	case engine.Rejected:
		return gateway.Reply{End: peerpolicy.Rejected, Proof: !o.Ran, Stay: o.Stay}
	}
	return gateway.Reply{End: peerpolicy.Aborted}
}
