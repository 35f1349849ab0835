package downstream

import (
	"errors"
	"net/http"
	"time"

	"quilldoor/internal/clock"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/engine"
	"quilldoor/internal/upstream"
)

// signal wakes one goroutine. Raising it again before it is consumed has no effect.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// consume clears the signal, and reports whether it was raised.
func (s signal) consume() bool {
	select {
	case <-s:
		return true
	default:
		return false
	}
}

// exchange is the processing of one client request up to its response.
type exchange struct {
	server     *Server
	client     *client
	request    *clientRequest
	deadline   time.Time
	closeAfter bool             // the connection is closed after the response
	cached     *diskrunner.Copy // from the disk cache; nil: none
	tag        string           // sent upstream: the tag of the client's copy or of the cached one
	wake       signal           // raised for commands of the engine and a reply of the gateway
}

// answer serves a parsed request from the disk cache or through the engine. False:
// the connection must be closed.
func (s *Server) answer(c *client, request *clientRequest, closeAfter bool) bool {
	if request.stalled >= request.timeout { // no attempt was made, so the client may retry safely
		return s.respondEmpty(c, http.StatusServiceUnavailable, closeAfter)
	}
	x := &exchange{
		server:     s,
		client:     c,
		request:    request,
		deadline:   request.arrivedAt.Add(request.timeout - request.stalled),
		closeAfter: closeAfter,
		tag:        request.tag,
		wake:       newSignal(),
	}
	served := x.lookUpCached()
	if x.cached != nil {
		defer x.cached.Release()
	}
	if served {
		return x.respondCached(x.cached)
	}
	if x.cached != nil && x.tag == "" {
		x.tag = x.cached.Tag // if the cached copy is current, a cache answers without a body
	}
	return x.run()
}

// run opens the request in the engine, waits for the final command, and answers.
func (x *exchange) run() bool {
	s := x.server
	now := time.Now()
	x.request.event.Remaining = x.deadline.Sub(now).Microseconds()
	if x.request.event.Remaining <= 0 { // its timeout passed before this point, for example in the read buffer
		return s.respondEmpty(x.client, http.StatusGatewayTimeout, x.closeAfter)
	}
	if x.client.hasDisconnected() {
		return false
	}
	engineRequest, err := s.engine.Open(clock.At(now), x.request.event, func() {
		x.wake.raise()
		x.client.SetReadDeadline(now) // interrupts the read in awaitSignal
	})
	switch {
	case errors.Is(err, engine.ErrFull):
		s.stats.countOutcome(engine.CommandReject)
		s.countWeight(x.request, false, 0, 0)
		return s.respondEmpty(x.client, http.StatusServiceUnavailable, x.closeAfter)
	case errors.Is(err, engine.ErrExecuted):
		return s.respondEmpty(x.client, http.StatusConflict, x.closeAfter)
	case err != nil: // ErrDuplicate
		return s.respondEmpty(x.client, http.StatusBadRequest, x.closeAfter)
	}
	final, connected := x.awaitFinalCommand(engineRequest)
	if !connected {
		x.countClientGone(engineRequest)
		if final != nil {
			discardCommand(*final) // decided while the client disconnected
		}
		return false
	}
	if !x.forwardRejected(final) {
		x.countClientGone(engineRequest)
		return false
	}
	return x.finish(engineRequest, final)
}

// awaitFinalCommand carries out the engine's commands until the final one arrives
// or the client disconnects.
func (x *exchange) awaitFinalCommand(engineRequest *engine.Request) (final *engine.Command, connected bool) {
	connected = true
	for {
		final = x.server.execute(engineRequest, x.request, x.tag)
		if final != nil || !connected {
			closeCommandQueue(engineRequest)
			return final, connected
		}
		if connected = x.client.awaitSignal(x.wake); !connected {
			x.server.engine.ClientDisconnected(clock.Now(), engineRequest)
		}
	}
}

// finish counts the final command, and answers with it or with a cached copy.
func (x *exchange) finish(engineRequest *engine.Request, final *engine.Command) bool {
	s := x.server
	lateAfter := s.limits.ResponseGrace / 2 // the other half is left for sending the response
	if time.Since(x.deadline) > lateAfter {
		s.stats.late.Add(1)
		s.stats.lateUncollected.Add(1)
	}
	s.stats.countOutcome(final.Kind)
	s.countWeight(x.request, final.Kind == engine.CommandRespond, responseSize(final), engineRequest.Attempts())
	x.recordResponse(final)
	if s.cache.Load() != nil {
		if cached := x.updateCache(final); cached != nil {
			discardCommand(*final)
			return x.respondCached(cached)
		}
	}
	return x.respond(final)
}

func (x *exchange) countClientGone(engineRequest *engine.Request) {
	x.server.stats.clientGone.Add(1)
	x.server.countWeight(x.request, false, 0, engineRequest.Attempts())
}

// recordResponse records the response to a read for the invariant monitor.
func (x *exchange) recordResponse(final *engine.Command) {
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
		event.Class, event.Object, event.Group, final.Attempt.DecidedAt+clock.Step(), response.IssuedMillis*1000, sendMicros)
}

// responseSize returns the length of a command's response; 0 without one.
func responseSize(final *engine.Command) int {
	if response, ok := final.Response.(*upstream.Response); ok {
		return response.Len()
	}
	return 0
}

// execute carries out the commands in the request's queue, and returns the final
// one if it is among them.
func (s *Server) execute(engineRequest *engine.Request, request *clientRequest, tag string) (final *engine.Command) {
	for _, command := range engineRequest.TakeCommands() {
		switch command.Kind {
		case engine.CommandSend:
			s.send(command.Attempt, request, tag)
		case engine.CommandDrop:
			discardCommand(command)
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
	s.recorder.RecordAttempt(attempt.DecidedAt+clock.Step(), attempt.Endpoint.ID, attempt.Source, request.event.Class, attempt.Unsafe)
	s.upstream.Send(call)
}

// discardCommand drops the attempt of a CommandDrop, and releases the response of
// any other command.
func discardCommand(command engine.Command) {
	if command.Kind == engine.CommandDrop {
		command.Attempt.Drop(command.TimedOut)
	}
	if command.Response != nil {
		command.Response.Release()
	}
}

// closeCommandQueue detaches from a request's command queue and discards the
// commands left in it.
func closeCommandQueue(engineRequest *engine.Request) {
	for _, command := range engineRequest.Detach() {
		discardCommand(command)
	}
}

// awaitSignal waits until the wake signal is raised, and then returns true, or until
// the client disconnects, and then returns false. A single read detects both: the
// goroutine that raises the signal interrupts it with a read deadline in the past.
func (c *client) awaitSignal(wake signal) bool {
	c.waited = true
	c.SetReadDeadline(time.Time{})
	if wake.consume() { // the line above may have cleared the deadline set with the signal
		return true
	}
	if !c.awaitClose(wake) {
		return false
	}
	wake.consume()
	return true
}
