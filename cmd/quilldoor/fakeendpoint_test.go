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

// fakeEndpoint is a cache server of the test's own: it passes the lines it gets to
// got and writes what answer makes of a GET. An answer of "CLOSE" ends the
// connection behind what stands before it; an empty one leaves the hop open.
type fakeEndpoint struct {
	net.Listener
	received chan string
	respond  func(id, fields, body string) string
}

func newFakeEndpoint(t *testing.T, answer func(id, fields, body string) string) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &fakeEndpoint{l, make(chan string, 1000), answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *fakeEndpoint) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		words := strings.Fields(line)
		if words[0] != "GET" {
			s.received <- line
			continue
		}
		n, _ := strconv.Atoi(words[3])
		body := make([]byte, n+2)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		s.received <- line
		text, end := strings.CutSuffix(s.respond(words[1], words[2], string(body[:n])), "CLOSE")
		c.Write([]byte(text))
		if end {
			return
		}
	}
}

func ack(id, body string) string {
	return fmt.Sprintf("%s ACK entity=e1,issued=7,detail=HIT %d\r\n%s\r\n", id, len(body), body)
}
