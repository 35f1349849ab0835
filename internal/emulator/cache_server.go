package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/loopback"
	"quilldoor/internal/simulation"
)

// commandBufferBytes is the size of a connection's read buffer.
const commandBufferBytes = 16 << 10

// serverListener is where one router reaches one server. Only the loop uses its fields.
type serverListener struct {
	*routerProcess
	serverID string
	addr     string
	listener net.Listener // nil: down, connections are refused
	conns    map[*serverConn]struct{}
}

// listenerFor returns the listener of a server, and opens it at the first call.
func (r *routerProcess) listenerFor(server string) (*serverListener, error) {
	if listener := r.servers[server]; listener != nil {
		return listener, nil
	}
	// Reserved, as the server listens there again after it was down.
	addr, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	listener := &serverListener{routerProcess: r, serverID: server, addr: addr.String(), conns: map[*serverConn]struct{}{}}
	r.servers[server] = listener
	return listener, listener.open()
}

// open listens at the server's address and serves its connections.
func (p *serverListener) open() error {
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", p.serverID, err)
	}
	p.listener = listener
	p.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.goroutines.Go(func() { p.serve(conn, listener) })
		}
	})
	p.goroutines.Go(func() {
		<-p.ctx.Done()
		listener.Close()
	})
	return nil
}

// setState follows the server: one that is down resets its connections and refuses new
// ones; one that is silent keeps them and does not answer.
func (p *serverListener) setState(up, silent bool) {
	if up || !silent {
		for c := range p.conns {
			c.reset()
		}
	}
	if !up && !silent && p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	if up && p.listener == nil {
		if err := p.open(); err != nil {
			p.fail(err)
		}
	}
}

// serve reads a router's commands until its connection ends.
func (p *serverListener) serve(socket net.Conn, listener net.Listener) {
	conn := &serverConn{Conn: socket, server: p, attempts: map[string]*serverAttempt{}, queued: make(chan struct{}, 1)}
	defer socket.Close()
	stop := make(chan struct{})
	defer close(stop)
	p.goroutines.Go(func() {
		select {
		case <-p.ctx.Done():
			socket.Close()
		case <-stop:
		}
	})
	p.runInLoop(func() {
		if p.listener == listener {
			p.conns[conn] = struct{}{}
		} else {
			conn.reset()
		}
	})
	p.goroutines.Go(conn.writeQueue)
	defer func() {
		conn.closeQueue()
		p.runInLoop(func() { p.forgetConn(conn) })
	}()
	reader := bufio.NewReaderSize(socket, commandBufferBytes)
	for {
		if err := p.serveCommand(conn, reader); err != nil {
			return
		}
	}
}

// serveCommand reads a command and carries it out. An error ends the connection.
func (p *serverListener) serveCommand(conn *serverConn, reader *bufio.Reader) error {
	command, err := cacheproto.ReadCommand(reader)
	if err != nil {
		return err
	}
	switch {
	case command.Get != nil:
		body := make([]byte, command.Get.Length)
		if _, err := io.ReadFull(reader, body); err != nil {
			return err
		}
		if err := cacheproto.ReadBodyEnd(reader); err != nil {
			return err
		}
		p.runInLoop(func() { p.startAttempt(conn, command.Get, body) })
	case command.DropID != "":
		p.runInLoop(func() { p.cancelAttempt(conn, command.DropID) })
	default:
		conn.enqueue([]byte(command.PingID + " READY\r\n"))
	}
	return nil
}

// startAttempt hands an attempt to the world. A request that nobody waits for is skipped.
func (p *serverListener) startAttempt(conn *serverConn, get *cacheproto.GetCommand, body []byte) {
	request := p.requests[get.ID]
	if request == nil {
		request = p.findForwarded(get.ID)
	}
	if request == nil && p.config.Guests {
		request = p.admitGuest(get)
	}
	if request == nil { // its client has just left, or the request is not the scenario's
		conn.enqueue(cacheproto.AppendResponse(nil, &cacheproto.Response{ID: get.ID, Status: cacheproto.StatusSkipped}))
		conn.enqueue([]byte("\r\n"))
		return
	}
	attempt := &serverAttempt{conn: conn, requestID: get.ID, number: request.attempts, body: body}
	request.attempts++
	conn.attempts[get.ID] = attempt
	p.world.SendAttempt(&simulation.Attempt{
		Router: p.id, RequestID: get.ID, Number: attempt.number, Server: p.serverID,
		Source: get.Source, Rank: get.Priority, FillMode: get.FillMode, MaxAge: get.MaxAgeMillis * 1000,
		Class: request.Class, Object: request.Object, Part: request.Part, Group: request.Group,
		SizeKB: request.SizeKB, Write: request.Write, Tag: attempt,
	})
}

// admitGuest admits a request that is not the scenario's own, such as one by curl. The
// event log has it as aborted when its time is over.
func (p *serverListener) admitGuest(get *cacheproto.GetCommand) *clientRequest {
	class, group, sizeKB, known := p.world.Object(get.Object, get.Part)
	if !known || p.world.ClassOf(class).Name != get.Class {
		return nil
	}
	ask := &simulation.Request{
		Router: p.id, ID: get.ID, Class: class, Object: get.Object, Part: get.Part, Group: group, SizeKB: sizeKB,
	}
	request := &clientRequest{Request: ask, cancel: func() {}}
	p.requests[get.ID] = request
	now := p.world.Now()
	p.Note(&eventlog.Entry{
		Kind: eventlog.KindTaken, At: now, Router: p.id, Request: get.ID,
		Class: get.Class, Object: get.Object, Group: group, Deadline: now + get.BudgetMillis*1000,
	})
	time.AfterFunc(time.Duration(get.BudgetMillis)*time.Millisecond, func() {
		p.runInLoop(func() {
			if p.requests[get.ID] != request {
				return
			}
			delete(p.requests, get.ID)
			p.Note(&eventlog.Entry{
				Kind: eventlog.KindAnswered, At: p.world.Now(), Router: p.id, Request: get.ID, Outcome: outcomeAborted,
			})
		})
	})
	return request
}

// cancelAttempt tells the world that a router no longer waits for an attempt.
func (p *serverListener) cancelAttempt(conn *serverConn, requestID string) {
	if attempt := conn.attempts[requestID]; attempt != nil {
		delete(conn.attempts, requestID)
		p.world.Cancel(p.id, requestID, attempt.number)
	}
}

// forgetConn cancels all attempts that are open on a connection that has ended.
func (p *serverListener) forgetConn(conn *serverConn) {
	delete(p.conns, conn)
	for requestID := range conn.attempts {
		p.cancelAttempt(conn, requestID)
	}
}
