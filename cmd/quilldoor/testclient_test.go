package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, addr string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

var lastRequestID = 0

// sendRequest writes a txn's request; more stands among its headers.
func (c *testClient) sendRequest(method, target, headers, body string) {
	lastRequestID++
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %016x\r\nX-Ttl-Ms: 1500\r\nX-Shard: 7\r\n%sContent-Length: %d\r\n\r\n%s",
		method, target, lastRequestID, headers, len(body), body)
}

// readResponse reads an answer: its status, head and body.
func (c *testClient) readResponse(t *testing.T) (status, head, body string) {
	t.Helper()
	length := 0
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			t.Fatalf("after %q: %v", head, err)
		}
		if n, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(n))
		}
		if head += line; line == "\r\n" {
			break
		}
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(c.reader, b); err != nil {
		t.Fatal(err)
	}
	return head[9:12], head, string(b)
}

func (c *testClient) expectStatus(t *testing.T, status string) (head, body string) {
	t.Helper()
	got, head, body := c.readResponse(t)
	if got != status {
		t.Fatalf("status %s, want %s: %q", got, status, head)
	}
	return head, body
}
