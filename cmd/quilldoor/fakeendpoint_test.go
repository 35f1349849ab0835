package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
)

// fakeEndpoint is a cache or an origin on loopback.
type fakeEndpoint struct {
	net.Listener
	received chan string // lines received
	// respond returns the response to a GET. If it ends in "CLOSE", the connection is closed
	// after the text before that word. An empty response leaves the attempt open.
	respond func(id, fields, body string) string
}

// newFakeEndpoint starts an endpoint on loopback that serves until the end of the test.
func newFakeEndpoint(t *testing.T, respond func(id, fields, body string) string) *fakeEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &fakeEndpoint{listener, make(chan string, 1000), respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// serve reads lines and answers each GET until the connection ends.
func (e *fakeEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		words := strings.Fields(line)
		if words[0] != "GET" {
			e.received <- line
			continue
		}
		length, _ := strconv.Atoi(words[3])
		body := make([]byte, length+2) // with the line end
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		e.received <- line
		response, closes := strings.CutSuffix(e.respond(words[1], words[2], string(body[:length])), "CLOSE")
		conn.Write([]byte(response))
		if closes {
			return
		}
	}
}

// ack returns a successful response with a body, as of a cache hit.
func ack(id, body string) string {
	return fmt.Sprintf("%s ACK entity=e1,issued=7,detail=HIT %d\r\n%s\r\n", id, len(body), body)
}
