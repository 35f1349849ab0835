package emulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// connectionFailure is the reason why a client received no answer.
type connectionFailure int

const (
	failureNone    connectionFailure = iota // the client received an answer
	failureRefused                          // the router didn't accept the connection
	failureBroken                           // the connection broke before an answer
)

// The body of a write is writePrefix and the request's ID. The origin's response to it is
// recordedPrefix and that body.
const (
	writePrefix    = "accepted "
	recordedPrefix = "recorded "
)

// clientRequest is an open request of a router.
type clientRequest struct {
	*simulation.Request
	attempts  int // number of attempts so far
	cancel    context.CancelFunc
	forwarded bool // a router of another site has forwarded it
}

// clientResponse is the result of a client's request.
type clientResponse struct {
	failure  connectionFailure
	answer   simulation.Answer
	mismatch string // how the body differs from the expected one; "": it does not
}

// RequestArrived sends a client's request to its router.
func (s *socketRun) RequestArrived(request *simulation.Request) {
	process := s.routers[request.Router]
	ctx, cancel := context.WithCancel(s.ctx)
	open := &clientRequest{Request: request, cancel: cancel}
	process.requests[request.ID] = open
	addr := process.clientAddr
	s.goroutines.Go(func() {
		response := s.sendRequest(ctx, addr, request)
		s.runInLoop(func() {
			cancel()
			s.finishRequest(process, open, response)
		})
	})
}

// finishRequest reports a client's response to the simulation, unless the client has left meanwhile.
func (s *socketRun) finishRequest(process *routerProcess, request *clientRequest, response clientResponse) {
	if response.mismatch != "" {
		s.Record(&eventlog.Entry{
			Kind: eventlog.KindMismatch, At: s.simulation.Now(), Router: request.Router, Request: request.ID,
			State: response.mismatch,
		})
	}
	s.removeForwarded(request.ID)
	if process.requests[request.ID] != request {
		return
	}
	switch response.failure {
	case failureBroken:
		s.brokenConns++
	case failureRefused:
		s.refusedConns++
		delete(process.requests, request.ID)
		s.simulation.Refused(request.Router, request.ID)
	case failureNone:
		delete(process.requests, request.ID)
		s.simulation.Answered(request.Router, request.ID, response.answer)
	}
}

// removeForwarded removes a request from the routers that it was forwarded to.
func (s *socketRun) removeForwarded(requestID string) {
	for _, process := range s.routers {
		if request := process.requests[requestID]; request != nil && request.forwarded {
			delete(process.requests, requestID)
		}
	}
}

// findForwarded returns a request that a router of another site has forwarded to this one, and adds
// it to this router's requests. It returns nil if no router with a gateway has such a request.
func (r *routerProcess) findForwarded(requestID string) *clientRequest {
	for _, home := range r.routers {
		request := home.requests[requestID]
		if request == nil || request.forwarded || r.gatewayAddr == "" || home.gatewayAddr == "" {
			continue
		}
		received := *request.Request
		received.Router = r.id
		forwarded := &clientRequest{Request: &received, cancel: func() {}, forwarded: true}
		r.requests[requestID] = forwarded
		r.Record(&eventlog.Entry{
			Kind: eventlog.KindForwarded, At: r.simulation.Now(), Router: r.id, Request: requestID, Attempt: home.id,
		})
		return forwarded
	}
	return nil
}

// sendRequest sends a request over HTTP and reads the answer.
func (s *socketRun) sendRequest(ctx context.Context, addr string, request *simulation.Request) clientResponse {
	httpRequest, err := s.newRequest(ctx, addr, request)
	if err != nil {
		return clientResponse{failure: failureBroken}
	}
	response, err := s.client.Do(httpRequest)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return clientResponse{failure: failureRefused}
	}
	if err != nil {
		return clientResponse{failure: failureBroken}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return clientResponse{failure: failureBroken}
	}
	switch response.StatusCode {
	case http.StatusOK:
		return completedResponse(body, request)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		retryAfterMillis, _ := strconv.ParseInt(response.Header.Get("X-Throttle-Ms"), 10, 32)
		return clientResponse{answer: simulation.Answer{
			Outcome: simulation.AnswerRejected, RetryAfter: retryAfterMillis * microsPerMilli,
		}}
	}
	return clientResponse{answer: simulation.Answer{Outcome: simulation.AnswerAborted}}
}

// newRequest returns a client's request in the platform's HTTP format.
func (s *socketRun) newRequest(ctx context.Context, addr string, request *simulation.Request) (*http.Request, error) {
	method, body := http.MethodGet, []byte(nil)
	if request.Write {
		method, body = http.MethodPut, []byte(writePrefix+request.ID)
	}
	url := "http://" + addr + "/rpc/" + s.simulation.Class(request.Class).Name + "/" + request.Object
	if request.Class == scenario.ClassVideo {
		url += "/n-" + strconv.FormatInt(request.Part, 10)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("X-Txn", request.ID)
	httpRequest.Header.Set("X-Ttl-Ms", strconv.FormatInt(max(request.Remaining/microsPerMilli, 1), 10))
	httpRequest.Header.Set("X-Shard", strconv.FormatInt(request.Group, 10))
	if request.Retry {
		httpRequest.Header.Set("X-Second-Try", "1")
	}
	return httpRequest, nil
}

// completedResponse checks the body of an answer with status 200.
func completedResponse(body []byte, request *simulation.Request) clientResponse {
	response := clientResponse{answer: simulation.Answer{Outcome: simulation.AnswerCompleted}}
	if !request.Write {
		response.answer.IssuedAt, response.mismatch = checkBody(body, request)
		return response
	}
	if string(body) != recordedPrefix+writePrefix+request.ID {
		response.mismatch = fmt.Sprintf("body %.40q in the answer to a write", body)
	}
	return response
}

// responseBody returns the body of a copy: its object, part and issue time in microseconds,
// repeated up to its size. So a client can detect a stale copy or one of another object.
func responseBody(object string, part, issued int64, sizeKB float64) []byte {
	header := fmt.Appendf(nil, "%s/%d@%d;", object, part, issued)
	size := max(int(sizeKB*bytesPerKB), len(header))
	repeated := bytes.Repeat(header, size/len(header)+1)
	return repeated[:size]
}

// checkBody returns the issue time that a copy's body holds. Mismatch describes a body that differs
// from the one that responseBody returns for the request and this issue time.
func checkBody(body []byte, request *simulation.Request) (issued int64, mismatch string) {
	header, _, _ := bytes.Cut(body, []byte(";"))
	separator := bytes.LastIndexByte(header, '@')
	if separator < 0 {
		return 0, fmt.Sprintf("body %.40q without an issue time", header)
	}
	issued, err := strconv.ParseInt(string(header[separator+1:]), 10, 64)
	if err != nil || !bytes.Equal(body, responseBody(request.Object, request.Part, issued, request.SizeKB)) {
		return 0, fmt.Sprintf("body %.40q of %d bytes for object %s, part %d", header, len(body), request.Object, request.Part)
	}
	return issued, ""
}

// ClientDisconnected closes the connection of a client that no longer waits.
func (s *socketRun) ClientDisconnected(routerID int, requestID string) {
	if request := s.routers[routerID].requests[requestID]; request != nil {
		delete(s.routers[routerID].requests, requestID)
		s.removeForwarded(requestID)
		request.cancel()
	}
}
