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

// connectionFailure is why a client got no answer.
type connectionFailure int

const (
	failureNone    connectionFailure = iota // it got an answer
	failureRefused                          // the router didn't accept the connection
	failureBroken                           // the connection ended without an answer
)

// The bodies of a write: what the client sends, and what the origin puts before it in its answer.
const (
	writePrefix    = "accepted "
	recordedPrefix = "recorded "
)

// clientRequest is a request that a router works on, with the number of its attempts so far.
type clientRequest struct {
	*simulation.Request
	attempts  int
	cancel    context.CancelFunc
	forwarded bool // it came from a router of another site
}

// clientResponse is what a client made of an answer.
type clientResponse struct {
	failure  connectionFailure
	answer   simulation.Answer
	mismatch string // what is wrong with the body; "": nothing
}

// RequestArrived sends a client's request.
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

// finishRequest tells the simulation what a client got, unless the client has left by now.
func (s *socketRun) finishRequest(process *routerProcess, request *clientRequest, response clientResponse) {
	if response.mismatch != "" {
		s.Record(&eventlog.Entry{
			Kind: eventlog.KindWrong, At: s.simulation.Now(), Router: request.Router, Request: request.ID,
			State: response.mismatch,
		})
	}
	s.forgetForwarded(request.ID)
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

// forgetForwarded forgets a request at the routers that it was forwarded to.
func (s *socketRun) forgetForwarded(requestID string) {
	for _, process := range s.routers {
		if request := process.requests[requestID]; request != nil && request.forwarded {
			delete(process.requests, requestID)
		}
	}
}

// findForwarded finds a request that another site's router has forwarded to this one, and
// notes it here. Nil: there is none.
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

// newRequest is a client's request in the platform's form.
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

// completedResponse checks the body of a complete answer.
func completedResponse(body []byte, request *simulation.Request) clientResponse {
	response := clientResponse{answer: simulation.Answer{Outcome: simulation.AnswerCompleted}}
	if !request.Write {
		response.answer.IssuedAt, response.mismatch = checkBody(body, request)
		return response
	}
	if string(body) != recordedPrefix+writePrefix+request.ID {
		response.mismatch = fmt.Sprintf("%.40q for an acceptance", body)
	}
	return response
}

// responseBody is the bytes of a copy. They say which object it is and when it was issued,
// in microseconds, so that a client can tell a stale or mixed-up copy.
func responseBody(object string, part, issued int64, sizeKB float64) []byte {
	header := fmt.Appendf(nil, "%s/%d@%d;", object, part, issued)
	size := max(int(sizeKB*bytesPerKB), len(header))
	repeated := bytes.Repeat(header, size/len(header)+1)
	return repeated[:size]
}

// checkBody reads when a copy was issued, and compares each byte with what the copy should be.
func checkBody(body []byte, request *simulation.Request) (issued int64, mismatch string) {
	header, _, _ := bytes.Cut(body, []byte(";"))
	separator := bytes.LastIndexByte(header, '@')
	if separator < 0 {
		return 0, fmt.Sprintf("%.40q", header)
	}
	issued, err := strconv.ParseInt(string(header[separator+1:]), 10, 64)
	if err != nil || !bytes.Equal(body, responseBody(request.Object, request.Part, issued, request.SizeKB)) {
		return 0, fmt.Sprintf("%.40q, %d bytes for %s/%d", header, len(body), request.Object, request.Part)
	}
	return issued, ""
}

// ClientGone ends a client's wait: it closes its connection.
func (s *socketRun) ClientGone(routerID int, requestID string) {
	if request := s.routers[routerID].requests[requestID]; request != nil {
		delete(s.routers[routerID].requests, requestID)
		s.forgetForwarded(requestID)
		request.cancel()
	}
}
