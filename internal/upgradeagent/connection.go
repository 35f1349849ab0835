package upgradeagent

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"quilldoor/internal/handoff"
)

const (
	// reconnectInterval is the interval between attempts to connect to a supervisor.
	reconnectInterval = 100 * time.Millisecond
	// maxQueuedSupervisorMessages bounds the supervisor's messages that wait for the Agent.
	maxQueuedSupervisorMessages = 16
)

// receive queues the supervisor's messages until the connection ends, and then nil.
func (a *Agent) receive(ctx context.Context, conn *handoff.Conn) {
	for {
		message, err := conn.Receive()
		if err != nil {
			message = nil
		}
		select {
		case a.supervisorMessages <- message:
		case <-ctx.Done():
			return
		}
		if message == nil {
			return
		}
	}
}

// send sends a message to the supervisor. Without a connection it drops the message: the
// hello message reports this process's state to the next supervisor.
func (a *Agent) send(message *handoff.Message) {
	if a.conn != nil && a.conn.Send(message) != nil {
		a.conn.Close() // makes receive queue nil
	}
}

func (a *Agent) sendHello() {
	a.send(&handoff.Message{
		Kind: handoff.KindHello, Format: handoff.Format, Generation: a.Generation, PID: os.Getpid(),
	})
}

// report sends a message of a kind that has no fields of its own.
func (a *Agent) report(kind handoff.Kind) {
	a.send(&handoff.Message{Kind: kind, Generation: a.Generation})
}

func (a *Agent) sendHeartbeat(host Host) {
	message := host.Heartbeat()
	message.Kind = handoff.KindHeartbeat
	message.AgentState = a.machine.State
	a.send(message)
}

// SendHeartbeats sends heartbeats until the context ends. It is for the time after Run has
// returned, while requests drain: the concurrency limits of the other processes count the
// attempts that this process has outstanding.
func (a *Agent) SendHeartbeats(ctx context.Context, host Host) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		a.sendHeartbeat(host)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ForwardMessage queues a message from another router for the supervisor. It drops the
// message if maxQueuedPeerMessages are queued.
func (a *Agent) ForwardMessage(from string, body []byte) {
	select {
	case a.peerMessages <- &handoff.Message{Kind: handoff.KindPeerMessage, From: from, Body: body}:
	default:
	}
}

// disconnect closes the connection to a supervisor that is lost.
func (a *Agent) disconnect() {
	if a.conn == nil {
		return
	}
	a.conn.Close()
	a.conn = nil
	a.log.WithField("agent_state", a.machine.State.String()).Warn("supervisor lost")
}

// reconnect tries to connect to a new supervisor if there is no connection, at most once
// in each reconnectInterval.
func (a *Agent) reconnect(ctx context.Context) {
	if a.conn != nil || time.Since(a.dialedAt) < reconnectInterval {
		return
	}
	a.dialedAt = time.Now()
	if a.connect() {
		go a.receive(ctx, a.conn)
	}
}

// connect dials a supervisor and sends it a hello message with this process's state and
// listening sockets. It reports whether both succeeded.
func (a *Agent) connect() bool {
	address := net.UnixAddr{Name: filepath.Join(a.folder, SocketName), Net: "unix"}
	socket, err := net.DialUnix("unix", nil, &address)
	if err != nil {
		a.logDialError(err)
		return false
	}
	conn := handoff.NewConn(socket)
	names := slices.Clone(a.socketNames)
	var files []*os.File
	for _, name := range names {
		files = append(files, a.Sockets[name])
	}
	err = conn.Send(&handoff.Message{
		Kind: handoff.KindHello, Format: handoff.Format, Generation: a.Generation, PID: os.Getpid(),
		AgentState: a.machine.State, WasSettled: a.machine.Settled(), Sockets: names,
	}, files...)
	if err != nil {
		conn.Close()
		return false
	}
	a.conn = conn
	a.log.Info("connected to a new supervisor")
	if a.readyReported {
		a.report(handoff.KindReady)
	}
	return true
}

// logDialError logs an error unless it equals the last one that was logged. A missing
// socket, or one that nobody listens on, is expected while the supervisor is down and is
// not logged.
func (a *Agent) logDialError(err error) {
	if errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) || a.lastDialError == err.Error() {
		return
	}
	a.lastDialError = err.Error()
	a.log.WithError(err).Warn("supervisor can't be reached")
}
