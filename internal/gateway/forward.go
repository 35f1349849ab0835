package gateway

import (
	"fmt"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gateway/peerproto"
)

// forwardedCall is a forwarded request that is in flight at a peer.
type forwardedCall struct {
	link              *link
	number            uint32 // of the request on the link
	respond           func(Reply)
	latestPurgeMillis int64             // the latest purge known here that covers the request, in Unix milliseconds; 0: none
	answer            *peerproto.Answer // nil until it arrives
	body              *bufferpool.Body  // of the answer
	bytesLeft         int               // bytes of the answer's body that have not arrived
}

// takeReply returns the reply to the request's client. The body's ownership passes to the
// reply.
func (c *forwardedCall) takeReply(outcome peerpolicy.Outcome) Reply {
	reply := Reply{Outcome: outcome}
	switch {
	case outcome == peerpolicy.OutcomeCompleted:
		reply.NotModified = c.answer.NotModified
		reply.Tag = c.answer.Tag
		reply.IssuedMillis = c.answer.IssuedMillis
		reply.Body, c.body = c.body, nil
	case c.answer != nil:
		reply.RetryAfter = c.answer.RetryAfter
	}
	return reply
}

// removeCall removes a call and releases its body. The caller holds the lock.
func (g *Gateway) removeCall(id string) {
	if call := g.forwarded[id]; call != nil {
		delete(g.forwarded, id)
		delete(call.link.calls, call.number)
		call.body.Release()
		call.body = nil
	}
}

// Forward forwards to a peer a request that the router's policy has rejected. It returns
// false if the request was not forwarded. Otherwise respond is called once, from another
// goroutine, unless Cancel ends the request first.
func (g *Gateway) Forward(request *Request, respond func(Reply)) bool {
	id := request.Event.Request
	purges := g.host.Purges(request.Event.Object, request.Event.Group)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	now := g.now()
	peer, reason := g.controller.Forward(now, &peerpolicy.Request{
		RequestID: id, Effect: request.Effect, NeverRan: request.NeverRan, Deadline: now + request.Event.Remaining,
	})
	if reason != peerpolicy.ReasonOK {
		return false
	}
	link := g.links[peer.Name]
	if link == nil {
		g.controller.MarkNotSent(id)
		g.controller.Actions()
		return false
	}
	call := g.newCall(link, id, purges, respond)
	frames, err := g.encodeRequest(now, call.number, request, purges)
	if err != nil { // for example, the object's name does not fit into a frame
		g.controller.MarkNotSent(id)
		g.controller.Actions()
		g.removeCall(id)
		return false
	}
	// Once it is marked as sent, the request may have reached the peer. If enqueue fails, it
	// provably has not, and the request is withdrawn.
	if !g.controller.MarkSent(id) || !link.enqueue(frames) {
		g.controller.DiscardUnsent(id)
		g.controller.Actions()
		g.removeCall(id)
		return false
	}
	return true
}

func (g *Gateway) newCall(l *link, id string, purges []peerproto.Purge, respond func(Reply)) *forwardedCall {
	l.lastNumber++
	call := &forwardedCall{link: l, number: l.lastNumber, respond: respond}
	for _, purge := range purges {
		// Rounded up, so that a copy issued in the millisecond of the purge counts as older.
		const microsPerMilli = 1000
		call.latestPurgeMillis = max(call.latestPurgeMillis, (purge.At+microsPerMilli-1)/microsPerMilli)
	}
	g.forwarded[id] = call
	l.calls[call.number] = id
	return call
}

// encodeRequest returns the frames of a request and its body.
func (g *Gateway) encodeRequest(now int64, number uint32, request *Request, purges []peerproto.Purge) ([]byte, error) {
	event := &request.Event
	frames, err := peerproto.Append(nil, peerproto.KindRequest, number, &peerproto.Request{
		SentAt:    now,
		Budget:    g.controller.Budget(now, event.Request),
		RequestID: event.Request,
		Class:     event.Class,
		Object:    event.Object,
		Part:      event.Part,
		Group:     event.Group,
		Tag:       request.Tag,
		Repeat:    event.ClientRetry,
		Write:     event.Write,
		BodyBytes: int32(request.Body.Len()),
		Route:     []string{g.config.Settings.Name},
		Purges:    purges,
	})
	for _, chunk := range request.Body.AppendBuffers(nil) {
		for len(chunk) > 0 && err == nil {
			payloadSize := min(len(chunk), peerproto.MaxPayload)
			frames, err = peerproto.AppendRaw(frames, peerproto.KindData, number, chunk[:payloadSize])
			chunk = chunk[payloadSize:]
		}
	}
	return frames, err
}

// Cancel ends a forwarded request whose client has disconnected: it notifies the peer, and
// respond is not called any more.
func (g *Gateway) Cancel(id string) {
	g.mu.Lock()
	g.controller.ClientDisconnected(id)
	call := g.forwarded[id]
	g.removeCall(id)
	g.applyActions()
	if call != nil {
		call.link.sendCancel(call.number)
	}
}

// readAnswers handles the frames of a dialled connection after the handshake, until the
// connection ends.
func (l *link) readAnswers() error {
	for {
		frame, err := l.reader.Next()
		if err != nil {
			return err
		}
		switch frame.Kind {
		case peerproto.KindHeartbeat:
			err = l.handlePeerHeartbeat(frame)
		case peerproto.KindAnswer:
			err = l.handleAnswer(frame)
		case peerproto.KindData:
			err = l.handleAnswerData(frame.Number, frame.Payload)
		case peerproto.KindGoodbye:
			return nil
		default:
			err = fmt.Errorf("%w: frame of kind %d on a dialled connection", peerproto.ErrMalformed, frame.Kind)
		}
		if err != nil {
			return err
		}
	}
}

// handlePeerHeartbeat reports a peer's heartbeat and the measured round trip to the
// controller.
func (l *link) handlePeerHeartbeat(frame peerproto.Frame) error {
	var heartbeat peerproto.Heartbeat
	if err := frame.Decode(&heartbeat); err != nil {
		return err
	}
	g := l.gateway
	now := g.now()
	roundTrip := l.handleHeartbeat(now, &heartbeat)
	g.mu.Lock()
	g.controller.Heartbeat(now, l.peer, int(heartbeat.Capacity), heartbeat.Draining, roundTrip)
	g.applyActions()
	return nil
}

// handleAnswer handles an answer, whose body follows in data frames. A second answer to the
// same request ends the connection: no frame of such a peer can be relied on.
func (l *link) handleAnswer(frame peerproto.Frame) error {
	var answer peerproto.Answer
	if err := frame.Decode(&answer); err != nil {
		return err
	}
	g := l.gateway
	outcome := peerpolicy.Outcome(answer.Outcome)
	sizeValid := answer.BodyBytes >= 0 && int(answer.BodyBytes) <= g.config.MaxAnswerBytes
	if !sizeValid || outcome < peerpolicy.OutcomeCompleted || outcome > peerpolicy.OutcomeAborted {
		return fmt.Errorf("%w: answer to request %d: body of %d bytes (at most %d), outcome %d",
			peerproto.ErrMalformed, frame.Number, answer.BodyBytes, g.config.MaxAnswerBytes, answer.Outcome)
	}
	g.mu.Lock()
	id, known := l.calls[frame.Number]
	if !known { // the request was cancelled or timed out
		g.mu.Unlock()
		return nil
	}
	call := g.forwarded[id]
	if call.answer != nil {
		g.mu.Unlock()
		return fmt.Errorf("%w: request %d answered twice", peerproto.ErrMalformed, frame.Number)
	}
	call.answer = &answer
	call.bytesLeft = int(answer.BodyBytes)
	if call.bytesLeft > 0 {
		call.body = g.bodies.NewBody()
		g.mu.Unlock()
		return nil
	}
	g.finishCall(call, id)
	return nil
}

// handleAnswerData handles a data frame of an answer's body.
func (l *link) handleAnswerData(number uint32, data []byte) error {
	g := l.gateway
	g.mu.Lock()
	id, known := l.calls[number]
	if !known {
		g.mu.Unlock()
		return nil
	}
	call := g.forwarded[id]
	if call.answer == nil || len(data) > call.bytesLeft {
		bytesLeft := call.bytesLeft
		g.mu.Unlock()
		return fmt.Errorf("%w: data frame of %d bytes for request %d, %d bytes are expected",
			peerproto.ErrMalformed, len(data), number, bytesLeft)
	}
	if !call.body.AppendBytes(data) { // the pool is exhausted: the request was executed, but its answer is lost
		g.controller.HandleAnswer(g.now(), l.peer, id, peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeAborted})
		g.applyActions()
		l.sendCancel(number)
		return nil
	}
	call.bytesLeft -= len(data)
	if call.bytesLeft == 0 {
		g.finishCall(call, id)
		return nil
	}
	g.mu.Unlock()
	l.enqueue(peerproto.AppendWindow(nil, number, len(data)))
	return nil
}

// finishCall ends a call whose answer has arrived completely. The caller holds the lock, and
// finishCall releases it.
func (g *Gateway) finishCall(call *forwardedCall, id string) {
	answer := call.answer
	g.controller.HandleAnswer(g.now(), call.link.peer, id, peerpolicy.PeerAnswer{
		Outcome:           peerpolicy.Outcome(answer.Outcome),
		NeverRan:          answer.NeverRan,
		IssuedMillis:      answer.IssuedMillis,
		LatestPurgeMillis: call.latestPurgeMillis,
	})
	g.applyActions()
}
