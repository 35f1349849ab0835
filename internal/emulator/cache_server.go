package emulator

import (
	"bufio"
	"context"
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

// serverListener accepts the connections of one router to one emulated server. Its fields are used
// only in the run's loop.
type serverListener struct {
	*routerProcess
	serverID string
	addr     string
	listener net.Listener // nil: the server is down and connections are refused
	conns    map[*serverConn]struct{}
}

// listenerFor returns the listener of a server. The first call for a server opens it.
func (r *routerProcess) listenerFor(serverID string) (*serverListener, error) {
	if listener := r.servers[serverID]; listener != nil {
		return listener, nil
	}
	// The address stays reserved while the server is down, as it listens there again afterwards.
	addr, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	listener := &serverListener{routerProcess: r, serverID: serverID, addr: addr.String(), conns: map[*serverConn]struct{}{}}
	r.servers[serverID] = listener
	return listener, listener.open()
}

// open listens on the server's address and serves its connections.
func (l *serverListener) open() error {
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", l.serverID, err)
	}
	l.listener = listener
	l.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.goroutines.Go(func() { l.serve(conn, listener) })
		}
	})
	l.goroutines.Go(func() {
		<-l.ctx.Done()
		listener.Close()
	})
	return nil
}

// setState applies the server's new state to the listener. A server that goes down resets its
// connections and refuses new ones, but a silent one keeps its connections, still accepts new
// ones, and does not respond. A server that starts resets its old connections and listens.
func (l *serverListener) setState(up, silent bool) {
	if up || !silent {
		for conn := range l.conns {
			conn.reset()
		}
	}
	if !up && !silent && l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	if up && l.listener == nil {
		if err := l.open(); err != nil {
			l.fail(err)
		}
	}
}

// serve handles the router's commands on a connection until the connection ends.
func (l *serverListener) serve(socket net.Conn, listener net.Listener) {
	conn := &serverConn{Conn: socket, server: l, attempts: map[string]*serverAttempt{}, queued: make(chan struct{}, 1)}
	defer socket.Close()
	cancelClose := context.AfterFunc(l.ctx, func() { socket.Close() })
	defer cancelClose()
	l.runInLoop(func() { l.addConn(conn, listener) })
	l.goroutines.Go(conn.writeQueue)
	defer func() {
		conn.closeQueue()
		l.runInLoop(func() { l.removeConn(conn) })
	}()
	reader := bufio.NewReaderSize(socket, commandBufferBytes)
	for {
		if err := l.serveCommand(conn, reader); err != nil {
			return
		}
	}
}

// addConn registers a connection, or resets it if the server has gone down since the accept.
func (l *serverListener) addConn(conn *serverConn, acceptedBy net.Listener) {
	if l.listener == acceptedBy {
		l.conns[conn] = struct{}{}
	} else {
		conn.reset()
	}
}

// serveCommand reads and executes one command. An error ends the connection.
func (l *serverListener) serveCommand(conn *serverConn, reader *bufio.Reader) error {
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
		l.runInLoop(func() { l.startAttempt(conn, command.Get, body) })
	case command.DropID != "":
		l.runInLoop(func() { l.cancelAttempt(conn, command.DropID) })
	default:
		conn.enqueue([]byte(command.PingID + " READY\r\n"))
	}
	return nil
}

// startAttempt passes an attempt to the simulation. If no client waits for the request, it responds
// with the status for a skipped request.
func (l *serverListener) startAttempt(conn *serverConn, get *cacheproto.GetCommand, body []byte) {
	request := l.requests[get.ID]
	if request == nil {
		request = l.findForwarded(get.ID)
	}
	if request == nil && l.config.AcceptForeignRequests {
		request = l.admitForeign(get)
	}
	if request == nil { // its client has just left, or the request is not one of the scenario's
		skipped := cacheproto.Response{ID: get.ID, Status: cacheproto.StatusSkipped}
		conn.enqueue(cacheproto.AppendResponse(nil, &skipped))
		conn.enqueue([]byte("\r\n"))
		return
	}
	attempt := &serverAttempt{conn: conn, requestID: get.ID, number: request.attempts, body: body}
	request.attempts++
	conn.attempts[get.ID] = attempt
	l.simulation.SendAttempt(&simulation.Attempt{
		Router: l.id, RequestID: get.ID, Number: attempt.number, Server: l.serverID,
		Source: get.Source, CachePriority: get.Priority, FillMode: get.FillMode, MaxAge: get.MaxAgeMillis * microsPerMilli,
		Class: request.Class, Object: request.Object, Part: request.Part, Group: request.Group,
		SizeKB: request.SizeKB, Write: request.Write, DriverData: attempt,
	})
}

// admitForeign accepts a request that is not one of the scenario's, such as one that curl sends.
// As its answer is not observed, the event log records it as failed at its deadline.
func (l *serverListener) admitForeign(get *cacheproto.GetCommand) *clientRequest {
	class, group, sizeKB, known := l.simulation.Object(get.Object, get.Part)
	if !known || l.simulation.Class(class).Name != get.Class {
		return nil
	}
	foreign := &simulation.Request{
		Router: l.id, ID: get.ID, Class: class, Object: get.Object, Part: get.Part, Group: group, SizeKB: sizeKB,
	}
	request := &clientRequest{Request: foreign, cancel: func() {}}
	l.requests[get.ID] = request
	now := l.simulation.Now()
	l.Record(&eventlog.Entry{
		Kind: eventlog.KindReceived, At: now, Router: l.id, Request: get.ID,
		Class: get.Class, Object: get.Object, Group: group, Deadline: now + get.BudgetMillis*microsPerMilli,
	})
	time.AfterFunc(time.Duration(get.BudgetMillis)*time.Millisecond, func() {
		l.runInLoop(func() { l.expireForeign(request) })
	})
	return request
}

// expireForeign ends a request that admitForeign has accepted, at its deadline.
func (l *serverListener) expireForeign(request *clientRequest) {
	if l.requests[request.ID] != request {
		return
	}
	delete(l.requests, request.ID)
	l.Record(&eventlog.Entry{
		Kind: eventlog.KindAnswered, At: l.simulation.Now(), Router: l.id, Request: request.ID,
		Outcome: string(simulation.AnswerAborted),
	})
}

// cancelAttempt cancels an open attempt of a connection in the simulation.
func (l *serverListener) cancelAttempt(conn *serverConn, requestID string) {
	if attempt := conn.attempts[requestID]; attempt != nil {
		delete(conn.attempts, requestID)
		l.simulation.Cancel(l.id, requestID, attempt.number)
	}
}

// removeConn removes a connection that has ended and cancels its open attempts.
func (l *serverListener) removeConn(conn *serverConn) {
	delete(l.conns, conn)
	for requestID := range conn.attempts {
		l.cancelAttempt(conn, requestID)
	}
}
