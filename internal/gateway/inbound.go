package gateway

import (
	"fmt"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/policy"
)

// maxPurges that a request may carry: some of its object and of its group.
const maxPurges = 16

// inboundRequest is one that a peer forwarded. The gateway's lock guards gone, complete and
// window, and body until the request is complete.
type inboundRequest struct {
	request     peerproto.Request
	receivedAt  int64
	body        *bufferpool.Body
	clientGone  chan struct{} // closed where the peer has given it up
	gone        bool
	complete    bool // it has arrived whole, and runInbound ends it
	window      int  // bytes of the response that the peer takes now
	windowGrown chan struct{}
}

func (r *inboundRequest) markClientGone() {
	if !r.gone {
		r.gone = true
		close(r.clientGone)
	}
}

// readRequests serves a connection that a peer dialled once it is greeted. A peer that is
// silent for long is gone, and its requests with it.
func (l *link) readRequests() error {
	interval := time.Duration(l.gateway.config.Settings.HeartbeatInterval) * time.Microsecond
	for {
		l.conn.SetReadDeadline(time.Now().Add(interval * peerpolicy.MaxSilentHeartbeats))
		frame, err := l.reader.Next()
		if err != nil {
			return err
		}
		if frame.Kind == peerproto.KindGoodbye {
			return nil
		}
		if err := l.handleInboundFrame(frame); err != nil {
			return err
		}
	}
}

func (l *link) handleInboundFrame(frame peerproto.Frame) error {
	switch frame.Kind {
	case peerproto.KindHeartbeat:
		var heartbeat peerproto.Heartbeat
		if err := frame.Decode(&heartbeat); err != nil {
			return err
		}
		l.handleHeartbeat(l.gateway.now(), &heartbeat)
		return nil
	case peerproto.KindRequest:
		return l.handleRequest(frame)
	case peerproto.KindData:
		return l.handleRequestData(frame.Number, frame.Payload)
	case peerproto.KindWindow:
		return l.handleWindow(frame.Number, frame.Window())
	case peerproto.KindCancel:
		l.handleCancel(frame.Number)
		return nil
	}
	return fmt.Errorf("%w: kind %d where requests come", peerproto.ErrMalformed, frame.Kind)
}

func (l *link) handleCancel(number uint32) {
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	if r := l.inbound[number]; r != nil {
		r.markClientGone()
	}
}

// handleRequest takes a request. One under a number that is in use ends the connection.
func (l *link) handleRequest(frame peerproto.Frame) error {
	g := l.gateway
	inbound, err := g.decodeRequest(frame)
	if err != nil {
		return err
	}
	request := &inbound.request
	inbound.receivedAt = g.now()
	delay := l.extraDelay(inbound.receivedAt, request.SentAt)
	g.mu.Lock()
	if l.inbound[frame.Number] != nil {
		g.mu.Unlock()
		return fmt.Errorf("%w: number %d twice", peerproto.ErrMalformed, frame.Number)
	}
	reason := g.controller.Admit(inbound.receivedAt, l.peer, request.RequestID, request.Route, delay)
	if reason != peerpolicy.ReasonOK {
		g.mu.Unlock()
		return l.reject(frame.Number)
	}
	l.inbound[frame.Number] = inbound
	inbound.complete = request.BodyBytes == 0
	if !inbound.complete {
		inbound.body = g.bodies.NewBody()
	}
	g.mu.Unlock()
	if request.BodyBytes == 0 {
		g.goroutines.Go(func() { l.runInbound(frame.Number, inbound) })
	}
	return nil
}

func (g *Gateway) decodeRequest(frame peerproto.Frame) (*inboundRequest, error) {
	r := &inboundRequest{
		clientGone:  make(chan struct{}),
		window:      peerproto.InitialWindow,
		windowGrown: make(chan struct{}, 1),
	}
	if err := frame.Decode(&r.request); err != nil {
		return nil, err
	}
	request := &r.request
	sizeValid := request.BodyBytes >= 0 && int(request.BodyBytes) <= g.config.MaxUploadBytes
	if !sizeValid || request.Budget <= 0 || len(request.Purges) > maxPurges {
		return nil, fmt.Errorf("%w: a body of %d bytes, %d us left, %d purges",
			peerproto.ErrMalformed, request.BodyBytes, request.Budget, len(request.Purges))
	}
	request.Budget = min(request.Budget, g.config.MaxRequestTime.Microseconds())
	return r, nil
}

// reject answers that a request was not executed.
func (l *link) reject(number uint32) error {
	return l.sendAnswer(number, &peerproto.Answer{Outcome: uint8(peerpolicy.OutcomeRejected), NeverRan: true})
}

func (l *link) sendAnswer(number uint32, answer *peerproto.Answer) error {
	b, err := peerproto.Append(nil, peerproto.KindAnswer, number, answer)
	if err == nil {
		l.enqueue(b)
	}
	return err
}

// handleRequestData takes bytes of a request's body.
func (l *link) handleRequestData(number uint32, data []byte) error {
	g := l.gateway
	g.mu.Lock()
	inbound := l.inbound[number]
	if inbound == nil { // rejected, or given up
		g.mu.Unlock()
		return nil
	}
	if inbound.complete {
		g.mu.Unlock()
		return fmt.Errorf("%w: %d bytes behind a whole body", peerproto.ErrMalformed, len(data))
	}
	announced := int(inbound.request.BodyBytes)
	if inbound.body.Len()+len(data) > announced {
		g.mu.Unlock()
		return fmt.Errorf("%w: %d bytes more than were announced", peerproto.ErrMalformed, len(data))
	}
	outOfMemory := !inbound.body.AppendBytes(data)
	complete := !outOfMemory && inbound.body.Len() == announced
	inbound.complete = complete
	g.mu.Unlock()
	switch {
	case outOfMemory:
		l.endInbound(number, inbound, false)
		return l.reject(number)
	case complete:
		g.goroutines.Go(func() { l.runInbound(number, inbound) })
	}
	return nil
}

// handleWindow takes that the peer takes more bytes of a response.
func (l *link) handleWindow(number uint32, bytes int) error {
	g := l.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	r := l.inbound[number]
	if r == nil {
		return nil
	}
	if bytes <= 0 || bytes > g.config.MaxAnswerBytes {
		return fmt.Errorf("%w: a window of %d", peerproto.ErrMalformed, bytes)
	}
	r.window += bytes
	select {
	case r.windowGrown <- struct{}{}:
	default:
	}
	return nil
}

func (l *link) endInbound(number uint32, r *inboundRequest, completed bool) {
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	l.dropInbound(number, r, completed)
}

// dropInbound is endInbound with the lock held.
func (l *link) dropInbound(number uint32, r *inboundRequest, completed bool) {
	delete(l.inbound, number)
	l.gateway.controller.FinishInbound(l.gateway.now(), l.peer, r.request.RequestID, completed)
	r.body.Release()
	r.body = nil
}

// runInbound is the life of a peer's request, from its arrival to the last byte of its
// response. It counts as in flight until then: a peer that takes no responses gets no more
// requests in.
func (l *link) runInbound(number uint32, inbound *inboundRequest) {
	l.gateway.hearPurges(&inbound.request)
	reply := Reply{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}
	select {
	case <-inbound.clientGone:
	default:
		reply = l.gateway.host.Execute(inbound.clientGone, l.gateway.hostRequest(inbound))
	}
	defer reply.Body.Release()
	defer l.endInbound(number, inbound, reply.Outcome == peerpolicy.OutcomeCompleted)
	// Where it can't be written, the connection ends, and the peer with it.
	_ = l.sendAnswer(number, &peerproto.Answer{
		Outcome:      uint8(reply.Outcome),
		NeverRan:     reply.NeverRan,
		NotModified:  reply.NotModified,
		RetryAfter:   reply.RetryAfter,
		Tag:          reply.Tag,
		IssuedMillis: reply.IssuedMillis,
		BodyBytes:    int32(reply.Body.Len()),
	})
	l.sendBody(number, inbound, reply.Body)
}

// hearPurges takes the purges that a request carries: the peer may know some that this
// site has not heard of.
func (g *Gateway) hearPurges(request *peerproto.Request) {
	for _, purge := range request.Purges {
		if purge.Group {
			g.host.Purge("", request.Group, purge.At)
		} else {
			g.host.Purge(request.Object, 0, purge.At)
		}
	}
}

func (g *Gateway) hostRequest(r *inboundRequest) *Request {
	request := &r.request
	return &Request{
		Event: policy.Event{
			Request:     request.RequestID,
			Class:       request.Class,
			Object:      request.Object,
			Group:       request.Group,
			Part:        request.Part,
			Remaining:   request.Budget - (g.now() - r.receivedAt),
			ClientRetry: request.Repeat,
			Write:       request.Write,
		},
		Tag:  request.Tag,
		Body: r.body,
	}
}

// sendBody sends a response's body, no faster than the peer opens its window.
func (l *link) sendBody(number uint32, r *inboundRequest, body *bufferpool.Body) {
	expired := time.NewTimer(time.Duration(r.request.Budget) * time.Microsecond)
	defer expired.Stop()
	for _, chunk := range body.AppendBuffers(nil) {
		for len(chunk) > 0 {
			n := l.takeWindow(r, len(chunk))
			if n == 0 {
				if !l.awaitWindow(r, expired.C) {
					return
				}
				continue
			}
			b, _ := peerproto.AppendRaw(nil, peerproto.KindData, number, chunk[:n]) // n is at most MaxPayload
			if !l.enqueue(b) {
				l.close()
				return
			}
			chunk = chunk[n:]
		}
	}
}

// takeWindow takes as many bytes of the window as one frame may carry.
func (l *link) takeWindow(r *inboundRequest, bytes int) int {
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	n := min(bytes, peerproto.MaxPayload, r.window)
	r.window -= n
	return n
}

// awaitWindow waits until the window opens; false: nobody waits for the body any more.
func (l *link) awaitWindow(r *inboundRequest, expired <-chan time.Time) bool {
	select {
	case <-r.windowGrown:
		return true
	case <-r.clientGone:
	case <-expired:
	case <-l.gateway.ctx.Done():
	}
	return false
}
