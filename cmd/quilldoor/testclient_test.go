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

// testClient is a client with one connection to a router.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

// dial connects a client until the end of the test.
func dial(t *testing.T, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{conn, bufio.NewReader(conn)}
}

// lastRequestID is the id of the last request sent by any client.
var lastRequestID = 0

// sendRequest writes a request with a new id. headers are additional header lines.
func (c *testClient) sendRequest(method, target, headers, body string) {
	lastRequestID++
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %016x\r\nX-Ttl-Ms: 1500\r\nX-Shard: 7\r\n"+
		"%sContent-Length: %d\r\n\r\n%s",
		method, target, lastRequestID, headers, len(body), body)
}

// readResponse reads a response.
func (c *testClient) readResponse(t *testing.T) (status, head, body string) {
	t.Helper()
	length := 0
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			t.Fatalf("after %q: %v", head, err)
		}
		if value, found := strings.CutPrefix(line, "Content-Length: "); found {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
		head += line
		if line == "\r\n" {
			break
		}
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(c.reader, content); err != nil {
		t.Fatal(err)
	}
	return head[9:12], head, string(content)
}

// expectStatus reads a response and fails the test if it has another status.
func (c *testClient) expectStatus(t *testing.T, status string) (head, body string) {
	t.Helper()
	got, head, body := c.readResponse(t)
	if got != status {
		t.Fatalf("status %s, want %s: %q", got, status, head)
	}
	return head, body
}
