package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// Guards against a wrong translation between clients' requests and endpoints' attempts, and
// between their responses.
func TestConversation(t *testing.T) {
	content := strings.Repeat("0123456789", 24_000)
	origin := newFakeEndpoint(t, func(id, _, body string) string {
		return strings.Replace(ack(id, "signed "+body), "entity=e1,issued=7,", "", 1)
	})
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "mine=e1") {
			return id + " NOMOD entity=e1,issued=7 0\r\n\r\n"
		}
		return ack(id, content)
	})
	addr := startRouter(t, cache.Addr().String(), origin.Addr().String()).addr
	client := dial(t, addr)
	io.WriteString(client, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
	client.expectStatus(t, "200")
	client.sendRequest("GET", "/rpc/page/ab/n-3", "", "")
	if head, body := client.expectStatus(t, "200"); body != content || !strings.Contains(head, "ETag: \"e1\"") {
		t.Fatalf("%d bytes after %q", len(body), head)
	}
	line := <-cache.received
	start := fmt.Sprintf("GET %016x queue=page,path=ab,blk=3,budget=", lastRequestID)
	if !strings.HasPrefix(line, start) || !strings.Contains(line, ",miss=o,prio=2") {
		t.Fatal(line)
	}
	client.sendRequest("GET", "/rpc/page/ab/n-3", "If-None-Match: \"e1\"\r\n", "")
	if _, body := client.expectStatus(t, "304"); body != "" {
		t.Fatal(body)
	}
	client.sendRequest("PUT", "/rpc/sign/cd", "X-Second-Try: 1\r\n", "name")
	if _, body := client.expectStatus(t, "200"); body != "signed name" {
		t.Fatal(body)
	}
	if line := <-origin.received; strings.Contains(line, "miss=") || !strings.HasSuffix(line, " 4") {
		t.Fatal(line)
	}
}

// Guards against invalid requests that get no response or a wrong status, or cause an attempt.
func TestBadRequestsAreAnswered(t *testing.T) {
	endpoint := newFakeEndpoint(t, func(string, string, string) string { return "" })
	addr := startRouter(t, endpoint.Addr().String(), endpoint.Addr().String()).addr
	client := dial(t, addr)
	for target, status := range map[string]string{
		"/rpc/none/x":                           "404",
		"/other":                                "404",
		"/rpc/page/a,b":                         "400",
		"/rpc/page/a/n--1":                      "400",
		"/rpc/page/a/3":                         "400",
		"/rpc/sign/x":                           "405",
		"/rpc/page/" + strings.Repeat("x", 200): "400",
	} {
		client.sendRequest("GET", target, "", "")
		client.expectStatus(t, status)
	}
	// A header that violates the cache's line protocol would close the connection, and with it
	// end other attempts.
	for _, header := range []string{
		"X-Txn: 12", "X-Ttl-Ms: -5", "X-Ttl-Ms: soon", "X-Ttl-Ms: 9000000", "X-Ttl-Ms: NaN",
		"X-Shard: 256", "X-Shard: 1\r\nX-Shard: 1", "X-Shard: 01", "X-Shard: 1\r\nContent-Length: 2\r\n",
		"X-Shard: 1\r\nIf-None-Match: " + strings.Repeat("x", 200),
	} {
		name, _, _ := strings.Cut(header, ":")
		const valid = "GET /rpc/page/x HTTP/1.1\r\nHost: x\r\nX-Txn: 00000000000000aa\r\nX-Ttl-Ms: 5\r\nX-Shard: 1\r\n\r\n"
		before, rest, _ := strings.Cut(valid, name)
		_, after, _ := strings.Cut(rest, "\r")
		io.WriteString(client, before+header+"\r"+after)
		client.expectStatus(t, "400")
	}
	for text, status := range map[string]string{
		"nonsense\r\n\r\n":                                "400",
		"GET /" + strings.Repeat("x", 20_000):             "431",
		"PUT / HTTP/1.1\r\nContent-Length: 48001\r\n\r\n": "413",
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n": "501",
		"GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n": "501",
	} {
		client := dial(t, addr)
		io.WriteString(client, text)
		client.expectStatus(t, status)
		if _, err := client.reader.ReadByte(); err == nil {
			t.Errorf("%.20q: the connection is still open", text)
		}
	}
	if len(endpoint.received) > 0 {
		t.Errorf("an attempt was made: %s", <-endpoint.received)
	}
}

// Guards against an attempt that continues after its client has disconnected.
func TestLeavingClientCancelsItsAttempt(t *testing.T) {
	silent := newFakeEndpoint(t, func(string, string, string) string { return "" })
	addr := startRouter(t, silent.Addr().String(), silent.Addr().String()).addr
	client := dial(t, addr)
	client.sendRequest("GET", "/rpc/page/x", "", "")
	id := strings.Fields(<-silent.received)[1]
	client.Close()
	if line := <-silent.received; line != "DROP "+id {
		t.Fatal(line)
	}
}

// Guards against an attempt without a response that delays other attempts at the endpoint.
func TestSilentEndpointDelaysNoOtherAttempt(t *testing.T) {
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "path=slow,") {
			return ""
		}
		return ack(id, "quick")
	})
	addr := startRouter(t, cache.Addr().String(), cache.Addr().String()).addr
	slow, quick := dial(t, addr), dial(t, addr)
	slow.sendRequest("GET", "/rpc/page/slow", "", "")
	<-cache.received
	quick.sendRequest("GET", "/rpc/page/x", "", "")
	quick.expectStatus(t, "200")
	// The slow request is answered by its deadline as well, and its connection stays open.
	if status, _, _ := slow.readResponse(t); status != "503" && status != "504" {
		t.Fatal(status)
	}
	slow.sendRequest("GET", "/rpc/page/x", "", "")
	slow.expectStatus(t, "200")
}

// Guards against an endpoint's malformed or truncated response that reaches the client or fails
// its request.
func TestBrokenResponsesAreRetried(t *testing.T) {
	for _, first := range []string{
		"CLOSE",
		"%s ACK entity=e,issued=7 10\r\n01234CLOSE",
		"%s ACK - -1\r\n",
		"%s ACK - 0\r\n\r\n",
		"x\r\n",
	} {
		attempts := 0
		server := newFakeEndpoint(t, func(id, _, _ string) string {
			if attempts++; attempts == 1 {
				return strings.Replace(first, "%s", id, 1)
			}
			return ack(id, "whole")
		})
		addr := startRouter(t, server.Addr().String(), server.Addr().String()).addr
		client := dial(t, addr)
		client.sendRequest("GET", "/rpc/page/x", "", "")
		if _, body := client.expectStatus(t, "200"); body != "whole" {
			t.Errorf("%q: %q", first, body)
		}
	}
}

// Guards against an unsafe request that is executed twice: it may be retried only if the
// response proves that it was not executed.
func TestUnsafeRequestsAreNotRetried(t *testing.T) {
	for response, want := range map[string]string{
		"%s EIO - 0\r\n\r\n":   "504",
		"CLOSE":                "504",
		"%s AGAIN - 0\r\n\r\n": "503",
	} {
		origin := newFakeEndpoint(t, func(id, _, _ string) string { return strings.Replace(response, "%s", id, 1) })
		addr := startRouter(t, origin.Addr().String(), origin.Addr().String()).addr
		client := dial(t, addr)
		client.sendRequest("PUT", "/rpc/sign/x", "", "name")
		head, _ := client.expectStatus(t, want)
		if attempts := len(origin.received); (attempts > 1) != (want == "503") {
			t.Errorf("%q: %d attempts", response, attempts)
		}
		if strings.Contains(head, "X-Throttle-Ms: 500") != (want == "503") {
			t.Errorf("%q: %s", response, head)
		}
	}
}

// Guards against an unsafe request that counts as possibly executed although its connection was
// refused.
func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	unused := reserveAddress(t) // nothing listens there
	addr := startRouter(t, unused, unused).addr
	client := dial(t, addr)
	client.sendRequest("PUT", "/rpc/sign/x", "", "name")
	client.expectStatus(t, "503")
}

// Guards against an idempotency key that is not forwarded, without which no endpoint recognizes
// a retry, and against keyed requests that are accepted without a valid key.
func TestKeyedRequestCarriesItsIdempotencyKey(t *testing.T) {
	origin := newFakeEndpoint(t, func(id, _, _ string) string { return id + " ACK - 2\r\nok\r\n" })
	keyed := strings.NewReplacer(`"Effect":"unsafe"`, `"Effect":"keyed","Group":"all","DedupWindowMs":700`)
	addr := startRouterWith(t, origin.Addr().String(), origin.Addr().String(), "", keyed).addr
	client := dial(t, addr)
	client.sendRequest("PUT", "/rpc/sign/x", "X-Txn-Key: k-17\r\n", "name")
	client.expectStatus(t, "200")
	if line := <-origin.received; !strings.Contains(line, ",uniq=k-17 ") {
		t.Errorf("attempt without the idempotency key: %s", line)
	}
	for _, key := range []string{
		"",
		"X-Txn-Key: a,b\r\n",
		"X-Txn-Key: k\r\nX-Txn-Key: k\r\n",
		"X-Txn-Key: " + strings.Repeat("k", 200) + "\r\n",
	} {
		client.sendRequest("PUT", "/rpc/sign/x", key, "name")
		client.expectStatus(t, "400")
	}
}

// Guards against a 304 for a response that confirms another copy than the client's.
func TestCopyIsCurrentOnlyByItsOwnTag(t *testing.T) {
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "mine=") {
			return id + " NOMOD entity=e2,issued=7 0\r\n\r\n"
		}
		return ack(id, "bytes")
	})
	client := dial(t, startRouter(t, cache.Addr().String(), cache.Addr().String()).addr)
	client.sendRequest("GET", "/rpc/page/x", "If-None-Match: \"e1\"\r\n", "")
	if status, head, _ := client.readResponse(t); status == "304" {
		t.Errorf("answered 304: %s", head)
	}
	client.sendRequest("GET", "/rpc/page/x", "", "")
	client.expectStatus(t, "200")
}

// Guards against attempts for a client that has disconnected: neither a retry of its open
// request nor its next, pipelined request may cause one.
func TestNoAttemptBeginsForAClientThatLeft(t *testing.T) {
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "path=held,") {
			return ""
		}
		return ack(id, "there")
	})
	addr := startRouter(t, cache.Addr().String(), cache.Addr().String()).addr
	client := dial(t, addr)
	client.sendRequest("GET", "/rpc/page/held", "", "")
	id := strings.Fields(<-cache.received)[1]
	client.sendRequest("GET", "/rpc/page/next", "", "")
	io.WriteString(client, "GET /rpc/pa")
	client.Close()
	if line := <-cache.received; line != "DROP "+id {
		t.Fatal(line)
	}
	other := dial(t, addr)
	other.sendRequest("GET", "/rpc/page/other", "", "")
	other.expectStatus(t, "200")
	if line := <-cache.received; !strings.Contains(line, "path=other,") {
		t.Errorf("an attempt for the disconnected client: %s", line)
	}
}

// Guards against pipelined requests whose responses are lost, duplicated or out of order.
func TestPipelinedRequests(t *testing.T) {
	const requests = 200 // more than the read buffer holds
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		return ack(id, fields[:strings.Index(fields, ",blk")])
	})
	client := dial(t, startRouter(t, cache.Addr().String(), cache.Addr().String()).addr)
	go func() {
		const firstID = 1 << 40
		for n := range requests {
			fmt.Fprintf(client, "GET /rpc/page/p%d HTTP/1.1\r\nHost: x\r\n"+
				"X-Txn: %016x\r\nX-Ttl-Ms: 2000\r\nX-Shard: 1\r\n\r\n", n, firstID+n)
		}
	}()
	for n := range requests {
		if _, body := client.expectStatus(t, "200"); body != fmt.Sprintf("queue=page,path=p%d", n) {
			t.Fatalf("response %d: %q", n, body)
		}
	}
}
