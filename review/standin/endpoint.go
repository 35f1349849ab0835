package main

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"quilldoor/internal/cacheproto"
)

// attempt is a GET that has come whole to an endpoint.
type attempt struct {
	*cacheproto.GetCommand
	at   time.Time
	conn *endpointConn
}

// endpoint is a cache server, a parent or the origin. Each attempt is handled in a goroutine of its own.
type endpoint struct {
	id     string
	addr   string
	handle func(*attempt)
}

// endpointConn is a connection of a router.
type endpointConn struct {
	net.Conn
	mu sync.Mutex // held while an answer is written
}

func startEndpoint(id string, handle func(*attempt)) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, addr: listener.Addr().String(), handle: handle}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(&endpointConn{Conn: conn})
		}
	}()
	return e, nil
}

// serve reads commands until the connection ends, or can't be read.
func (e *endpoint) serve(conn *endpointConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		command, err := cacheproto.ReadCommand(reader)
		switch {
		case err != nil:
			return
		case command.PingID != "":
			conn.write([]byte(command.PingID + " READY\r\n"))
		case command.Get != nil:
			if _, err := io.CopyN(io.Discard, reader, int64(command.Get.Length)); err != nil {
				return
			}
			if cacheproto.ReadBodyEnd(reader) != nil {
				return
			}
			go e.handle(&attempt{GetCommand: command.Get, at: time.Now(), conn: conn})
		}
	}
}

// answer writes the answer of an attempt.
func (a *attempt) answer(response cacheproto.Response, body string) {
	response.ID = a.ID
	response.Length = len(body)
	a.conn.write([]byte(string(cacheproto.AppendResponse(nil, &response)) + body + "\r\n"))
}

func (c *endpointConn) write(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(b) // the router may have closed it
}

// reset ends the connection with a reset.
func (c *endpointConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if it fails, the connection ends without a reset
	}
	c.Close()
}
