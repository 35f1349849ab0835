package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	method, target string
	txn            string
	ttl            time.Duration
	shard          int
	key            string // idempotency key; "": none
	secondTry      bool
	body           string
}

// answer is what a client got. Without the head of an answer, status is 0.
type answer struct {
	status   int
	body     string
	throttle string
	took     time.Duration
	err      error
}

// newID returns 16 random hex digits.
func newID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // never returned, says its page
	}
	return hex.EncodeToString(b[:])
}

// ask sends a request on a new connection and waits for the whole answer, for patience at most.
func ask(addr string, q *request, patience time.Duration) answer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer conn.Close()
	conn.SetDeadline(began.Add(patience))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: fmt.Errorf("no head: %w", err), took: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{
			status: response.StatusCode, took: time.Since(began),
			err: fmt.Errorf("status %d, %d bytes of the body: %w", response.StatusCode, len(body), err),
		}
	}
	return answer{
		status: response.StatusCode, body: string(body), throttle: response.Header.Get("X-Throttle-Ms"),
		took: time.Since(began),
	}
}

func (q *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Ttl-Ms: %d\r\nX-Shard: %d\r\n",
		q.method, q.target, q.txn, q.ttl.Milliseconds(), q.shard)
	if q.key != "" {
		fmt.Fprintf(&b, "X-Txn-Key: %s\r\n", q.key)
	}
	if q.secondTry {
		fmt.Fprintf(&b, "X-Second-Try: 1\r\n")
	}
	if q.method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "Connection: close\r\n\r\n" + q.body
}
