package downstream

import (
	"errors"
	"net/http"
	"time"

	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/engine"
	"quilldoor/internal/upstream"
)

// signal wakes one goroutine; raised again before it wakes, it counts once.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// lower reports whether the signal was raised.
func (s signal) lower() bool {
	select {
	case <-s:
		return true
	default:
		return false
	}
}

// exchange is a client's request on its way to its response.
type exchange struct {
	server   *Server
	client   *client
	request  *clientRequest
	deadline time.Time
	last     bool             // the connection is closed behind the response
	cached   *diskrunner.Copy // the router's own; nil: none
	tag      string           // sent upstream: of the client's copy or the cached one
	wake     signal
}

// answer answers a request. False: the connection must be closed.
func (s *Server) answer(c *client, request *clientRequest, last bool) bool {
	if request.stalled >= request.timeout { // nothing has run: a retry is harmless
		return s.respondEmpty(c, http.StatusServiceUnavailable, last)
	}
	x := &exchange{
		server:   s,
		client:   c,
		request:  request,
		deadline: request.arrivedAt.Add(request.timeout - request.stalled),
		last:     last,
		tag:      request.tag,
		wake:     newSignal(),
	}
	served := x.lookUpCached()
	if x.cached != nil {
		defer x.cached.Release()
	}
	if served {
		return x.respondCached(x.cached)
	}
	if x.cached != nil && x.tag == "" {
		x.tag = x.cached.Tag // if the copy is current, its bytes need not be sent again
	}
	return x.run()
}

// run hands the request to the engine and answers as it decides.
func (x *exchange) run() bool {
	s := x.server
	now := time.Now()
	x.request.event.Remaining = x.deadline.Sub(now).Microseconds()
	if x.request.event.Remaining <= 0 { // it waited in our buffers for all of its time
		return s.respondEmpty(x.client, http.StatusGatewayTimeout, x.last)
	}
	if x.client.hasLeft() {
		return false
	}
	open, err := s.engine.Open(now.UnixMicro(), x.request.event, func() {
		x.wake.raise()
		x.client.SetReadDeadline(now) // interrupts the read in wait
	})
	switch {
	case errors.Is(err, engine.ErrFull):
		s.stats.countEnd(engine.CommandReject)
		s.weigh(x.request, false, 0, 0)
		return s.respondEmpty(x.client, http.StatusServiceUnavailable, x.last)
	case err != nil: // ErrDuplicate
		return s.respondEmpty(x.client, http.StatusBadRequest, x.last)
	}
	final, present := x.await(open)
	if !present {
		x.countGone(open)
		if final != nil {
			discard(*final) // it came as the client left
		}
		return false
	}
	if !x.forwardRejected(final) {
		x.countGone(open)
		return false
	}
	return x.finish(open, final)
}

// await carries out the engine's commands until the final one, or until the
// client has left.
func (x *exchange) await(open *engine.Request) (final *engine.Command, present bool) {
	present = true
	for {
		final = x.server.execute(open, x.request, x.tag)
		if final != nil || !present {
			discardRest(open)
			return final, present
		}
		if present = x.client.wait(x.wake); !present {
			x.server.engine.ClientGone(time.Now().UnixMicro(), open)
		}
	}
}

// finish counts the final command and answers with it, or with a cached copy.
func (x *exchange) finish(open *engine.Request, final *engine.Command) bool {
	s := x.server
	lateAfter := s.limits.ResponseGrace / 2 // the other half is for the way to the client
	if time.Since(x.deadline) > lateAfter {
		s.stats.late.Add(1)
		s.stats.lateUncollected.Add(1)
	}
	s.stats.countEnd(final.Kind)
	s.weigh(x.request, final.Kind == engine.CommandRespond, responseSize(final), open.Attempts())
	x.record(final)
	if s.cache.Load() != nil {
		if cached := x.updateCache(final); cached != nil {
			discard(*final)
			return x.respondCached(cached)
		}
	}
	return x.respond(final)
}

func (x *exchange) countGone(open *engine.Request) {
	x.server.stats.clientGone.Add(1)
	x.server.weigh(x.request, false, 0, open.Attempts())
}

// record notes a read's response for the invariant monitor.
func (x *exchange) record(final *engine.Command) {
	s, event := x.server, &x.request.event
	response, ok := final.Response.(*upstream.Response)
	if !ok || s.recorder == nil || final.Attempt == nil || event.Write {
		return
	}
	sendMicros := 0.0
	if s.clientRate > 0 {
		sendMicros = float64(response.Len()) / s.clientRate * 1e6
	}
	s.recorder.RecordResponse(
		event.Class, event.Object, event.Group, final.Attempt.DecidedAt, response.IssuedMillis*1000, sendMicros)
}

// responseSize is a response's length; 0: there is none.
func responseSize(final *engine.Command) int {
	if response, ok := final.Response.(*upstream.Response); ok {
		return response.Len()
	}
	return 0
}

// execute carries out what the engine has decided so far and returns the final
// command, if it came.
func (s *Server) execute(open *engine.Request, request *clientRequest, tag string) (final *engine.Command) {
	for _, command := range open.TakeCommands() {
		switch command.Kind {
		case engine.CommandSend:
			s.send(command.Attempt, request, tag)
		case engine.CommandDrop:
			discard(command)
		default:
			final = &command
		}
	}
	return final
}

func (s *Server) send(attempt *engine.Attempt, request *clientRequest, tag string) {
	call := &upstream.Call{
		Attempt:        attempt,
		Class:          request.event.Class,
		Object:         request.event.Object,
		Part:           request.event.Part,
		Tag:            tag,
		IdempotencyKey: request.idempotencyKey,
		Body:           request.body,
		Write:          request.event.Write,
	}
	attempt.Transport = call
	s.recorder.RecordAttempt(attempt.DecidedAt, attempt.Endpoint.ID, attempt.Source, request.event.Class, attempt.Unsafe)
	s.upstream.Send(call)
}

// discard does what is left to do of a command that nobody waits for.
func discard(command engine.Command) {
	if command.Kind == engine.CommandDrop {
		command.Attempt.Drop(command.Silent)
	}
	if command.Response != nil {
		command.Response.Release()
	}
}

// discardRest ends the reading of a request's command queue.
func discardRest(open *engine.Request) {
	for _, command := range open.Detach() {
		discard(command)
	}
}

// wait returns true at the wake signal, or false once the client has left. It
// sees both by one read, which whoever raises the signal interrupts by a read
// deadline in the past.
func (c *client) wait(wake signal) bool {
	c.SetReadDeadline(time.Time{})
	if wake.lower() { // it may have been raised before the deadline was taken away
		return true
	}
	if !c.watch(wake) {
		return false
	}
	wake.lower()
	return true
}
