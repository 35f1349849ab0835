package downstream

import (
	"errors"
	"sync"
	"time"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/clock"
	"quilldoor/internal/engine"
	"quilldoor/internal/gateway"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/upstream"
)

// forwardRejected reports to the gateway, if there is one, whether the request was
// rejected. If so, it forwards the request and replaces the final command by the
// outcome at the other site. A request with an idempotency key is neither reported
// nor forwarded: the gateway protocol has no field for the key. False: the client
// has disconnected.
func (x *exchange) forwardRejected(final *engine.Command) (connected bool) {
	g := x.server.gateway.Load()
	if g == nil || x.request.idempotencyKey != "" {
		return true
	}
	rejected := final.Kind == engine.CommandReject
	g.ObserveLocal(rejected)
	return !rejected || x.forward(g, final)
}

// forward sends the request to another site and replaces the final command by the
// reply. If the request can't be forwarded, the command stays. False: the client
// has disconnected.
func (x *exchange) forward(g *gateway.Gateway, final *engine.Command) (connected bool) {
	request := x.gatewayRequest(final)
	if request.Event.Remaining <= 0 {
		return true
	}
	inbox := newReplyInbox(func() {
		x.wake.raise()
		x.client.SetReadDeadline(time.Now()) // interrupts the read in awaitSignal
	})
	if !x.reserveID(request) {
		return true // another request with this id runs
	}
	if !g.Forward(request, inbox.put) {
		x.releaseID(request)
		return true
	}
	for {
		connected = x.client.awaitSignal(x.wake)
		if reply, ok := inbox.take(); ok {
			if reply.Outcome == peerpolicy.OutcomeRejected {
				x.releaseID(request)
			}
			if connected {
				*final = commandFromReply(reply, final.RetryAfter)
			} else {
				reply.Body.Release()
			}
			return connected
		}
		if !connected {
			inbox.close()
			g.Cancel(x.request.event.Request)
			if reply, ok := inbox.take(); ok { // received while the client disconnected
				reply.Body.Release()
			}
			return false
		}
	}
}

// mayRunTwice reports whether the other site may execute a request that must not be executed
// again. One that may have been executed here is not forwarded, and its id is known.
func mayRunTwice(request *gateway.Request) bool {
	return request.Effect != peerpolicy.EffectIdempotent && request.NeverRan
}

// reserveID makes the request's id known as executed, where that matters, before it is forwarded.
func (x *exchange) reserveID(request *gateway.Request) bool {
	return !mayRunTwice(request) || x.server.engine.ReserveID(request.Event.Request)
}

// releaseID takes reserveID back: the other site has not executed the request.
func (x *exchange) releaseID(request *gateway.Request) {
	if mayRunTwice(request) {
		x.server.engine.ReleaseID(request.Event.Request)
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

// replyInbox holds the gateway's reply. One that arrives after close is released.
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

// commandFromReply converts a peer's reply to a final command of the engine. A
// rejection gets the longer RetryAfter of this site's and the peer's, in
// microseconds.
func commandFromReply(reply gateway.Reply, retryAfter int64) engine.Command {
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

// ServeForwarded runs a peer's request through the engine, like a client's, and returns
// its outcome. clientGone is closed when the peer no longer waits for the reply.
func (s *Server) ServeForwarded(clientGone <-chan struct{}, forwarded *gateway.Request) gateway.Reply {
	rejected := gateway.Reply{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}
	if s.draining.Load() || !s.acceptsForwarded(forwarded) {
		return rejected
	}
	request := &clientRequest{event: forwarded.Event, tag: forwarded.Tag, body: forwarded.Body}
	wake := newSignal()
	engineRequest, err := s.engine.Open(clock.Now(), request.event, wake.raise)
	if errors.Is(err, engine.ErrExecuted) {
		return gateway.Reply{Outcome: peerpolicy.OutcomeAborted}
	}
	if err != nil {
		return rejected
	}
	for connected := true; ; {
		final := s.execute(engineRequest, request, request.tag)
		if final != nil || !connected {
			closeCommandQueue(engineRequest)
			return replyFromCommand(final)
		}
		select {
		case <-wake:
		case <-clientGone:
			connected = false
			s.engine.ClientDisconnected(clock.Now(), engineRequest)
		}
	}
}

// acceptsForwarded reports whether a peer's request can be run at this site. It must
// fit the request line of the cache protocol, like a client's (see parse).
func (s *Server) acceptsForwarded(forwarded *gateway.Request) bool {
	event := &forwarded.Event
	class, known := s.engine.Class(event.Class)
	if !known || event.Write != class.Write || event.Remaining <= 0 {
		return false
	}
	return isRequestID(event.Request) && cacheproto.IsValidValue(event.Object) &&
		event.Part >= 0 && event.Part <= maxPart &&
		event.Group >= 0 && event.Group <= maxGroup &&
		(forwarded.Tag == "" || cacheproto.IsValidValue(forwarded.Tag))
}

// replyFromCommand converts the engine's final command to a reply. A nil command,
// of a request whose client has disconnected, gives OutcomeAborted.
func replyFromCommand(final *engine.Command) gateway.Reply {
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
