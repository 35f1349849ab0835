package downstream

import (
	"sync"
	"time"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/engine"
	"quilldoor/internal/gateway"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/upstream"
)

// forwardRejected hands a request that the policy has rejected to another site,
// where there is one, and puts its outcome in the place of the rejection. The
// gateway's protocol has no field for an idempotency key. False: the client has
// left.
func (x *exchange) forwardRejected(final *engine.Command) (present bool) {
	g := x.server.gateway.Load()
	if g == nil || x.request.idempotencyKey != "" {
		return true
	}
	rejected := final.Kind == engine.CommandReject
	g.ObserveLocal(rejected)
	return !rejected || x.forward(g, final)
}

func (x *exchange) forward(g *gateway.Gateway, final *engine.Command) (present bool) {
	request := x.gatewayRequest(final)
	if request.Event.Remaining <= 0 {
		return true
	}
	inbox := newReplyInbox(func() {
		x.wake.raise()
		x.client.SetReadDeadline(time.Now()) // interrupts the read in wait
	})
	if !g.Forward(request, inbox.put) {
		return true
	}
	for {
		present = x.client.wait(x.wake)
		if reply, ok := inbox.take(); ok {
			if present {
				*final = commandOf(reply, final.RetryAfter)
			} else {
				reply.Body.Release()
			}
			return present
		}
		if !present {
			inbox.close()
			g.Cancel(x.request.event.Request)
			if reply, ok := inbox.take(); ok { // it came as the client left
				reply.Body.Release()
			}
			return false
		}
	}
}

func (x *exchange) gatewayRequest(final *engine.Command) *gateway.Request {
	class, _ := x.server.engine.Class(x.request.event.Class)
	request := &gateway.Request{
		Event:    x.request.event,
		Tag:      x.request.tag,
		Body:     x.request.body,
		Effect:   gateway.PeerEffect(class.Effect),
		NeverRan: !final.MaybeExecuted,
	}
	request.Event.Remaining = time.Until(x.deadline).Microseconds()
	return request
}

// replyInbox takes a gateway's reply, and releases one that comes after close.
type replyInbox struct {
	wake    func() // called with the lock held
	replies chan gateway.Reply
	mu      sync.Mutex
	closed  bool
}

func newReplyInbox(wake func()) *replyInbox {
	return &replyInbox{wake: wake, replies: make(chan gateway.Reply, 1)}
}

func (i *replyInbox) put(reply gateway.Reply) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		reply.Body.Release()
		return
	}
	i.replies <- reply
	i.wake()
}

func (i *replyInbox) take() (gateway.Reply, bool) {
	select {
	case reply := <-i.replies:
		return reply, true
	default:
		return gateway.Reply{}, false
	}
}

func (i *replyInbox) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// commandOf is a peer's reply as the engine would have decided it. The longer
// RetryAfter, in microseconds, counts.
func commandOf(reply gateway.Reply, retryAfter int64) engine.Command {
	switch reply.Outcome {
	case peerpolicy.OutcomeCompleted:
		return engine.Command{Kind: engine.CommandRespond, Response: &upstream.Response{
			Body:         reply.Body,
			Tag:          reply.Tag,
			NotModified:  reply.NotModified,
			IssuedMillis: reply.IssuedMillis,
		}}
	case peerpolicy.OutcomeRejected:
		return engine.Command{Kind: engine.CommandReject, RetryAfter: max(retryAfter, reply.RetryAfter)}
	}
	return engine.Command{Kind: engine.CommandFail, MaybeExecuted: true}
}

// ServeForwarded runs a request that a peer forwards, as one of a client would be
// run; gone is closed when nobody waits for the reply any more.
func (s *Server) ServeForwarded(gone <-chan struct{}, forwarded *gateway.Request) gateway.Reply {
	rejected := gateway.Reply{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}
	if s.draining.Load() || !s.acceptsForwarded(forwarded) {
		return rejected
	}
	request := &clientRequest{event: forwarded.Event, tag: forwarded.Tag, body: forwarded.Body}
	wake := newSignal()
	open, err := s.engine.Open(time.Now().UnixMicro(), request.event, wake.raise)
	if err != nil {
		return rejected
	}
	for present := true; ; {
		final := s.execute(open, request, request.tag)
		if final != nil || !present {
			discardRest(open)
			return replyOf(final)
		}
		select {
		case <-wake:
		case <-gone:
			present = false
			s.engine.ClientGone(time.Now().UnixMicro(), open)
		}
	}
}

// acceptsForwarded reports whether a peer's request can be run here, and stand in
// a cache server's line as a client's must.
func (s *Server) acceptsForwarded(forwarded *gateway.Request) bool {
	event := &forwarded.Event
	class, known := s.engine.Class(event.Class)
	if !known || event.Write != class.Write || event.Remaining <= 0 {
		return false
	}
	return isRequestID(event.Request) && cacheproto.IsPlain(event.Object) &&
		event.Part >= 0 && event.Part <= maxPart &&
		event.Group >= 0 && event.Group <= maxGroup &&
		(forwarded.Tag == "" || cacheproto.IsPlain(forwarded.Tag))
}

// replyOf is the engine's final command as a reply; nil: there was none.
func replyOf(final *engine.Command) gateway.Reply {
	switch {
	case final == nil:
		return gateway.Reply{Outcome: peerpolicy.OutcomeAborted}
	case final.Kind == engine.CommandRespond:
		response := final.Response.(*upstream.Response)
		return gateway.Reply{
			Outcome:      peerpolicy.OutcomeCompleted,
			NotModified:  response.NotModified,
			Tag:          response.Tag,
			IssuedMillis: response.IssuedMillis,
			Body:         response.Body,
		}
	case final.Kind == engine.CommandReject:
		return gateway.Reply{
			Outcome:    peerpolicy.OutcomeRejected,
			NeverRan:   !final.MaybeExecuted,
			RetryAfter: final.RetryAfter,
		}
	}
	return gateway.Reply{Outcome: peerpolicy.OutcomeAborted}
}
