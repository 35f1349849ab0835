package gateway

import (
	"fmt"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/policy"
)

// maxPurges bounds the purges in a request frame, which cover its object or its group.
const maxPurges = 16

// inboundRequest is a request that a peer forwarded. The gateway's lock guards isCancelled,
// complete and window, and also body until the request is complete.
type inboundRequest struct {
	request     peerproto.Request
	receivedAt  int64 // of this router's clock, in microseconds
	body        *bufferpool.Body
	cancelled   chan struct{} // closed when the peer cancels the request or the link ends
	isCancelled bool          // cancelled is closed
	complete    bool          // the whole body has arrived, and runInbound ends the request
	window      int           // bytes of the response body that may be sent now
	windowGrown chan struct{} // signals that window has grown
}

// cancel closes the cancelled channel. The caller holds the gateway's lock.
func (r *inboundRequest) cancel() {
	if !r.isCancelled {
		r.isCancelled = true
		close(r.cancelled)
	}
}

// readRequests handles the frames of an accepted connection after the handshake, until the
// connection ends. It ends the connection of a silent peer, which cancels its requests.
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
	return fmt.Errorf("%w: frame of kind %d on an accepted connection", peerproto.ErrMalformed, frame.Kind)
}

func (l *link) handleCancel(number uint32) {
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	if inbound := l.inbound[number]; inbound != nil {
		inbound.cancel()
	}
}

// handleRequest handles a request, whose body follows in data frames. A request with a number
// that is in use ends the connection.
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
		return fmt.Errorf("%w: request number %d is in use", peerproto.ErrMalformed, frame.Number)
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

// decodeRequest decodes and validates a request. It reduces the budget to MaxRequestTime.
func (g *Gateway) decodeRequest(frame peerproto.Frame) (*inboundRequest, error) {
	inbound := &inboundRequest{
		cancelled:   make(chan struct{}),
		window:      peerproto.InitialWindow,
		windowGrown: make(chan struct{}, 1),
	}
	if err := frame.Decode(&inbound.request); err != nil {
		return nil, err
	}
	request := &inbound.request
	sizeValid := request.BodyBytes >= 0 && int(request.BodyBytes) <= g.config.MaxUploadBytes
	if !sizeValid || request.Budget <= 0 || len(request.Purges) > maxPurges {
		return nil, fmt.Errorf("%w: request %d: body of %d bytes (at most %d), budget of %d us, %d purges (at most %d)",
			peerproto.ErrMalformed, frame.Number, request.BodyBytes, g.config.MaxUploadBytes, request.Budget, len(request.Purges), maxPurges)
	}
	request.Budget = min(request.Budget, g.config.MaxRequestTime.Microseconds())
	return inbound, nil
}

// reject answers that a request was not executed.
func (l *link) reject(number uint32) error {
	return l.sendAnswer(number, &peerproto.Answer{Outcome: uint8(peerpolicy.OutcomeRejected), NeverRan: true})
}

func (l *link) sendAnswer(number uint32, answer *peerproto.Answer) error {
	frame, err := peerproto.Append(nil, peerproto.KindAnswer, number, answer)
	if err == nil {
		l.enqueue(frame)
	}
	return err
}

// handleRequestData handles a data frame of a request's body.
func (l *link) handleRequestData(number uint32, data []byte) error {
	g := l.gateway
	g.mu.Lock()
	inbound := l.inbound[number]
	if inbound == nil { // the request was rejected or has ended
		g.mu.Unlock()
		return nil
	}
	if inbound.complete {
		g.mu.Unlock()
		return fmt.Errorf("%w: data frame of %d bytes after the end of the body of request %d",
			peerproto.ErrMalformed, len(data), number)
	}
	announced := int(inbound.request.BodyBytes)
	if inbound.body.Len()+len(data) > announced {
		bytesLeft := announced - inbound.body.Len()
		g.mu.Unlock()
		return fmt.Errorf("%w: data frame of %d bytes for request %d, %d bytes are expected",
			peerproto.ErrMalformed, len(data), number, bytesLeft)
	}
	outOfMemory := !inbound.body.AppendBytes(data)
	complete := !outOfMemory && inbound.body.Len() == announced
	inbound.complete = complete
	g.mu.Unlock()
	switch {
	case outOfMemory:
		l.finishInbound(number, inbound, false)
		return l.reject(number)
	case complete:
		g.goroutines.Go(func() { l.runInbound(number, inbound) })
	}
	return nil
}

// handleWindow grows the window of a response body by the bytes that the peer grants.
func (l *link) handleWindow(number uint32, bytes int) error {
	g := l.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	inbound := l.inbound[number]
	if inbound == nil {
		return nil
	}
	if bytes <= 0 || bytes > g.config.MaxAnswerBytes {
		return fmt.Errorf("%w: window of %d bytes for request %d, at most %d allowed",
			peerproto.ErrMalformed, bytes, number, g.config.MaxAnswerBytes)
	}
	inbound.window += bytes
	select {
	case inbound.windowGrown <- struct{}{}:
	default:
	}
	return nil
}

// finishInbound removes an inbound request, reports its end to the controller and releases
// its body.
func (l *link) finishInbound(number uint32, inbound *inboundRequest, completed bool) {
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	l.finishInboundLocked(number, inbound, completed)
}

// finishInboundLocked is finishInbound for a caller that holds the lock.
func (l *link) finishInboundLocked(number uint32, inbound *inboundRequest, completed bool) {
	delete(l.inbound, number)
	l.gateway.controller.FinishInbound(l.gateway.now(), l.peer, inbound.request.RequestID, completed)
	inbound.body.Release()
	inbound.body = nil
}

// runInbound executes a peer's request and sends its response. The request counts as in
// flight until the last byte of the response is queued, so that a peer that reads no
// responses gets no more requests admitted.
func (l *link) runInbound(number uint32, inbound *inboundRequest) {
	l.gateway.applyPurges(&inbound.request)
	reply := Reply{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}
	select {
	case <-inbound.cancelled:
	default:
		reply = l.gateway.host.Execute(inbound.cancelled, l.gateway.hostRequest(inbound))
	}
	defer reply.Body.Release()
	defer l.finishInbound(number, inbound, reply.Outcome == peerpolicy.OutcomeCompleted)
	// An answer that can't be encoded or queued is lost. The peer gives up the request when
	// the connection ends or the request times out.
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

// applyPurges applies the purges in a request, since this site may not have received all of
// them.
func (g *Gateway) applyPurges(request *peerproto.Request) {
	for _, purge := range request.Purges {
		if purge.Group {
			g.host.Purge("", request.Group, purge.At)
		} else {
			g.host.Purge(request.Object, 0, purge.At)
		}
	}
}

// hostRequest converts a peer's request for Host.Execute.
func (g *Gateway) hostRequest(inbound *inboundRequest) *Request {
	request := &inbound.request
	return &Request{
		Event: policy.Event{
			Request:     request.RequestID,
			Class:       request.Class,
			Object:      request.Object,
			Group:       request.Group,
			Part:        request.Part,
			Remaining:   request.Budget - (g.now() - inbound.receivedAt),
			ClientRetry: request.Repeat,
			Write:       request.Write,
		},
		Tag:  request.Tag,
		Body: inbound.body,
	}
}

// sendBody sends a response's body within the window that the peer grants. It stops early if
// the request is cancelled or expires, and closes the link if its queue is full.
func (l *link) sendBody(number uint32, inbound *inboundRequest, body *bufferpool.Body) {
	expired := time.NewTimer(time.Duration(inbound.request.Budget) * time.Microsecond)
	defer expired.Stop()
	for _, chunk := range body.AppendBuffers(nil) {
		for len(chunk) > 0 {
			payloadSize := l.reserveWindow(inbound, len(chunk))
			if payloadSize == 0 {
				if !l.awaitWindow(inbound, expired.C) {
					return
				}
				continue
			}
			frame, _ := peerproto.AppendRaw(nil, peerproto.KindData, number, chunk[:payloadSize]) // at most MaxPayload
			if !l.enqueue(frame) {
				l.close()
				return
			}
			chunk = chunk[payloadSize:]
		}
	}
}

// reserveWindow reserves bytes of the window for one data frame and returns how many.
func (l *link) reserveWindow(inbound *inboundRequest, bytes int) int {
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	reserved := min(bytes, peerproto.MaxPayload, inbound.window)
	inbound.window -= reserved
	return reserved
}

// awaitWindow waits until the window grows. It returns false if the request is cancelled or
// expires, or the gateway closes.
func (l *link) awaitWindow(inbound *inboundRequest, expired <-chan time.Time) bool {
	select {
	case <-inbound.windowGrown:
		return true
	case <-inbound.cancelled:
	case <-expired:
	case <-l.gateway.ctx.Done():
	}
	return false
}
