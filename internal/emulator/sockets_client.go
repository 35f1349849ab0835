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

// clientRequest is a txn that the router has, with its hops so far.
type clientRequest struct {
	*simulation.Ask
	attempts  int
	cancel    context.CancelFunc
	forwarded bool // for a router of another site
}

// Ask sends a client's request.
func (v *socketRun) Ask(ask *simulation.Ask) {
	r := v.routers[ask.Router]
	ctx, cancel := context.WithCancel(v.ctx)
	request := &clientRequest{Ask: ask, cancel: cancel}
	r.requests[ask.Txn] = request
	listen := r.clientAddr
	v.goroutines.Go(func() {
		outcome, issued, retryAfter, mismatch := v.sendRequest(ctx, listen, ask)
		v.runInLoop(func() {
			cancel()
			if mismatch != "" {
				v.Note(&eventlog.Entry{Kind: eventlog.KindWrong, At: v.world.Now(), Router: ask.Router, Request: ask.Txn, State: mismatch})
			}
			v.forgetForwarded(ask.Txn)
			if outcome == "" && r.requests[ask.Txn] == request {
				v.brokenConns++
			}
			if outcome == "refused" && r.requests[ask.Txn] == request {
				v.refusedConns++
				delete(r.requests, ask.Txn)
				v.world.Refused(ask.Router, ask.Txn)
			} else if outcome != "" && r.requests[ask.Txn] == request {
				delete(r.requests, ask.Txn)
				v.world.Final(ask.Router, ask.Txn, outcome, issued, retryAfter)
			}
		})
	})
}

// forgetForwarded forgets a txn at routers that carried it for another.
func (v *socketRun) forgetForwarded(requestID string) {
	for _, r := range v.routers {
		if request := r.requests[requestID]; request != nil && request.forwarded {
			delete(r.requests, requestID)
		}
	}
}

// findForwarded finds a txn that another site's router has handed over.
func (r *routerProcess) findForwarded(requestID string) *clientRequest {
	for _, home := range r.routers {
		if request := home.requests[requestID]; request != nil && !request.forwarded && r.gatewayAddr != "" && home.gatewayAddr != "" {
			ask := *request.Ask
			ask.Router = r.id
			forwarded := &clientRequest{Ask: &ask, cancel: func() {}, forwarded: true}
			r.requests[requestID] = forwarded
			r.Note(&eventlog.Entry{Kind: eventlog.KindForwarded, At: r.world.Now(), Router: r.id, Request: requestID, Attempt: home.id})
			return forwarded
		}
	}
	return nil
}

// sendRequest is a try over HTTP. No outcome: there was no answer.
func (v *socketRun) sendRequest(ctx context.Context, listen string, ask *simulation.Ask) (outcome string, issued, retryAfter int64, mismatch string) {
	method, body := "GET", []byte(nil)
	if ask.Write {
		method, body = "PUT", []byte("accepted "+ask.Txn)
	}
	name := v.world.RuleOf(ask.Rule).Name
	url := "http://" + listen + "/rpc/" + name + "/" + ask.Object
	if ask.Rule == scenario.ClassVideo {
		url += "/n-" + strconv.FormatInt(ask.Part, 10)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("X-Txn", ask.Txn)
	request.Header.Set("X-Ttl-Ms", strconv.FormatInt(max(ask.Limit/1000, 1), 10))
	request.Header.Set("X-Shard", strconv.FormatInt(ask.Group, 10))
	if ask.Again {
		request.Header.Set("X-Second-Try", "1")
	}
	response, err := v.client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "refused", 0, 0, ""
	}
	if err != nil {
		return
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	switch response.StatusCode {
	case 200:
		if ask.Write {
			if string(received) != "recorded accepted "+ask.Txn {
				mismatch = fmt.Sprintf("%.40q for an acceptance", received)
			}
			return "completed", 0, 0, mismatch
		}
		issued, mismatch = checkBody(received, ask)
		return "completed", issued, 0, mismatch
	case 429, 503:
		retryAfterMillis, _ := strconv.ParseInt(response.Header.Get("X-Throttle-Ms"), 10, 32)
		return "rejected", 0, retryAfterMillis * 1000, ""
	}
	return "aborted", 0, 0, ""
}

// responseBody is a copy's bytes: they tell what it is and when it was given out.
func responseBody(object string, part, issued int64, sizeKB float64) []byte {
	header := fmt.Appendf(nil, "%s/%d@%d;", object, part, issued)
	size := max(int(sizeKB*1000), len(header))
	repeated := bytes.Repeat(header, size/len(header)+1)
	return repeated[:size]
}

func checkBody(body []byte, ask *simulation.Ask) (issued int64, mismatch string) {
	header, _, _ := bytes.Cut(body, []byte(";"))
	separator := bytes.LastIndexByte(header, '@')
	if separator < 0 {
		return 0, fmt.Sprintf("%.40q", header)
	}
	issued, err := strconv.ParseInt(string(header[separator+1:]), 10, 64)
	if err != nil || !bytes.Equal(body, responseBody(ask.Object, ask.Part, issued, ask.SizeKB)) {
		return 0, fmt.Sprintf("%.40q, %d bytes for %s/%d", header, len(body), ask.Object, ask.Part)
	}
	return issued, ""
}

// Leave ends a client's wait: it closes its connection.
func (v *socketRun) Leave(router int, requestID string) {
	if request := v.routers[router].requests[requestID]; request != nil {
		delete(v.routers[router].requests, requestID)
		v.forgetForwarded(requestID)
		request.cancel()
	}
}
