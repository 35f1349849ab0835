package gateway

import (
	"fmt"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gateway/peerproto"
)

// forwardedCall is a request that is in flight at a peer.
type forwardedCall struct {
	link              *link
	number            uint32
	respond           func(Reply)
	latestPurgeMillis int64 // Unix ms of the latest purge that covers it here; 0: none
	answer            *peerproto.Answer
	body              *bufferpool.Body
	bytesLeft         int // of the body, to come
}

// takeReply is what the request's client gets. The reply owns the body.
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

// forgetCall removes a call and releases its body. It is called with the lock.
func (g *Gateway) forgetCall(id string) {
	if c := g.forwarded[id]; c != nil {
		delete(g.forwarded, id)
		delete(c.link.calls, c.number)
		c.body.Release()
		c.body = nil
	}
}

// Forward hands a request that the router's policy has rejected to a peer. Respond is
// called once, from another goroutine, unless Cancel comes first. False: it was not
// forwarded.
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
		g.controller.Unsent(id)
		g.controller.Actions()
		return false
	}
	call := g.newCall(link, id, purges, respond)
	frames, err := g.requestFrames(now, call.number, request, purges)
	if err != nil { // a name too long for a frame
		g.controller.Unsent(id)
		g.controller.Actions()
		g.forgetCall(id)
		return false
	}
	// From here on it may arrive. A full queue is proof that it doesn't.
	if !g.controller.MarkSent(id) || !link.enqueue(frames) {
		g.controller.Withdrawn(id)
		g.controller.Actions()
		g.forgetCall(id)
		return false
	}
	return true
}

func (g *Gateway) newCall(l *link, id string, purges []peerproto.Purge, respond func(Reply)) *forwardedCall {
	l.lastNumber++
	call := &forwardedCall{link: l, number: l.lastNumber, respond: respond}
	for _, purge := range purges {
		const microsPerMilli = 1000
		call.latestPurgeMillis = max(call.latestPurgeMillis, (purge.At+microsPerMilli-1)/microsPerMilli)
	}
	g.forwarded[id] = call
	l.calls[call.number] = id
	return call
}

// requestFrames are the request and its body.
func (g *Gateway) requestFrames(now int64, number uint32, request *Request, purges []peerproto.Purge) ([]byte, error) {
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
			n := min(len(chunk), peerproto.MaxPayload)
			frames, err = peerproto.AppendRaw(frames, peerproto.KindData, number, chunk[:n])
			chunk = chunk[n:]
		}
	}
	return frames, err
}

// Cancel says that the client of a forwarded request has gone.
func (g *Gateway) Cancel(id string) {
	g.mu.Lock()
	g.controller.ClientGone(id)
	c := g.forwarded[id]
	g.forgetCall(id)
	g.applyActions()
	if c != nil {
		c.link.cancel(c.number)
	}
}

// readAnswers serves a dialled connection once it is greeted.
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
			err = fmt.Errorf("%w: kind %d where answers come", peerproto.ErrMalformed, frame.Kind)
		}
		if err != nil {
			return err
		}
	}
}

// handlePeerHeartbeat takes what a peer offers.
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

// handleAnswer takes the head of an answer. A second one for the same request ends the
// connection: such a peer can't be trusted in anything.
func (l *link) handleAnswer(frame peerproto.Frame) error {
	var answer peerproto.Answer
	if err := frame.Decode(&answer); err != nil {
		return err
	}
	g := l.gateway
	outcome := peerpolicy.Outcome(answer.Outcome)
	sizeValid := answer.BodyBytes >= 0 && int(answer.BodyBytes) <= g.config.MaxAnswerBytes
	if !sizeValid || outcome < peerpolicy.OutcomeCompleted || outcome > peerpolicy.OutcomeAborted {
		return fmt.Errorf("%w: an answer of %d bytes, outcome %d", peerproto.ErrMalformed, answer.BodyBytes, answer.Outcome)
	}
	g.mu.Lock()
	id, known := l.calls[frame.Number]
	if !known { // it was given up
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

// handleAnswerData takes bytes of an answer's body.
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
		g.mu.Unlock()
		return fmt.Errorf("%w: %d bytes more than were announced", peerproto.ErrMalformed, len(data))
	}
	if !call.body.AppendBytes(data) { // no memory for it: it was executed, and can't be answered
		g.controller.HandleAnswer(g.now(), l.peer, id, peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeAborted})
		g.applyActions()
		l.cancel(number)
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

// finishCall ends a call whose answer has come whole. It is called with the lock, which it
// gives back.
func (g *Gateway) finishCall(c *forwardedCall, id string) {
	answer := c.answer
	g.controller.HandleAnswer(g.now(), c.link.peer, id, peerpolicy.PeerAnswer{
		Outcome:           peerpolicy.Outcome(answer.Outcome),
		NeverRan:          answer.NeverRan,
		IssuedMillis:      answer.IssuedMillis,
		LatestPurgeMillis: c.latestPurgeMillis,
	})
	g.applyActions()
}
