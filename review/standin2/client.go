package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// newID returns an id of 16 hex digits.
func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// request is a usual client's request.
type request struct {
	method, class, object string
	part, group           int
	ttl                   time.Duration
	tag                   string
	body                  []byte
	id                    string
	close                 bool
}

func (q *request) encode() []byte {
	if q.id == "" {
		q.id = newID()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /rpc/%s/%s/n-%d HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Ttl-Ms: %d\r\nX-Shard: %d\r\n",
		q.method, q.class, q.object, q.part, q.id, q.ttl.Milliseconds(), q.group)
	if q.tag != "" {
		fmt.Fprintf(&b, "If-None-Match: \"%s\"\r\n", q.tag)
	}
	if q.close {
		b.WriteString("Connection: close\r\n")
	}
	if q.method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	return append([]byte(b.String()), q.body...)
}

// result is how a request ended for its client.
type result struct {
	status int // 0: no whole answer
	body   []byte
	tag    string
	sent   time.Time // when its last byte was written
	took   time.Duration
	err    error
}

// client is a usual client with one connection, which it keeps.
type client struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

var errNoConnection = errors.New("no connection")

// do sends a request and waits for its answer, for as long as patience says. A client that
// has no answer by then closes its connection.
func (c *client) do(q *request, patience time.Duration) (out result) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, patience)
		if err != nil {
			out.err = fmt.Errorf("%w: %w", errNoConnection, err)
			return out
		}
		c.conn, c.reader = conn, bufio.NewReaderSize(conn, 64<<10)
	}
	if _, err := c.conn.Write(q.encode()); err != nil {
		c.drop()
		out.err = fmt.Errorf("%w: %w", errNoConnection, err)
		return out
	}
	return c.await(q, time.Now(), patience)
}

// await waits for the answer to a request that was written at the time sent.
func (c *client) await(q *request, sent time.Time, patience time.Duration) (out result) {
	out.sent = sent
	c.conn.SetReadDeadline(out.sent.Add(patience))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err == nil {
		out.body, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	out.took = time.Since(out.sent)
	if err != nil {
		out.err = err
		c.drop()
		return out
	}
	out.status = response.StatusCode
	out.tag = strings.Trim(response.Header.Get("ETag"), `"`)
	if response.Close || q.close {
		c.drop()
	}
	return out
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
