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
	// reconnectInterval is how often a supervisor is looked for while there is none.
	reconnectInterval = 100 * time.Millisecond
	// maxQueuedMessages bounds the supervisor's messages that wait for the Agent.
	maxQueuedMessages = 16
)

// receive queues the supervisor's messages until the connection ends, which it queues
// as nil.
func (a *Agent) receive(ctx context.Context, conn *handoff.Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			m = nil
		}
		select {
		case a.received <- m:
		case <-ctx.Done():
			return
		}
		if m == nil {
			return
		}
	}
}

// send tells the supervisor. Without one nothing is lost: a new one learns the state
// from the hello message.
func (a *Agent) send(m *handoff.Message) {
	if a.conn != nil && a.conn.Send(m) != nil {
		a.conn.Close() // receive notices that
	}
}

func (a *Agent) sendHello() {
	a.send(&handoff.Message{
		Kind: handoff.KindHello, Format: handoff.Format, Generation: a.Number, PID: os.Getpid(),
	})
}

func (a *Agent) report(kind handoff.Kind) {
	a.send(&handoff.Message{Kind: kind, Generation: a.Number})
}

func (a *Agent) sendHeartbeat(host Host) {
	m := host.Heartbeat()
	m.Kind = handoff.KindHeartbeat
	m.AgentState = a.machine.State
	a.send(m)
}

// SendHeartbeats goes on after Run has returned, while requests drain: the concurrency
// limits of the other processes count the attempts that are still out here.
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

// ForwardMessage passes a message of another router on to the supervisor. It is
// dropped when too many wait.
func (a *Agent) ForwardMessage(from string, body []byte) {
	select {
	case a.peerMessages <- &handoff.Message{Kind: handoff.KindPeerMessage, From: from, Body: body}:
	default:
	}
}

func (a *Agent) supervisorLost() {
	if a.conn == nil {
		return
	}
	a.conn.Close()
	a.conn = nil
	a.log.WithField("agent_state", a.machine.State.String()).Warn("supervisor lost")
}

// reconnect looks for a new supervisor at most once each reconnectInterval.
func (a *Agent) reconnect(ctx context.Context) {
	if a.conn != nil || time.Since(a.dialedAt) < reconnectInterval {
		return
	}
	a.dialedAt = time.Now()
	if a.connect() {
		go a.receive(ctx, a.conn)
	}
}

// connect dials a supervisor, says what this process does, and gives it the sockets.
func (a *Agent) connect() bool {
	address := net.UnixAddr{Name: filepath.Join(a.folder, SocketName), Net: "unix"}
	sock, err := net.DialUnix("unix", nil, &address)
	if err != nil {
		a.logDialError(err)
		return false
	}
	conn := handoff.NewConn(sock)
	names := slices.Clone(a.socketNames)
	var files []*os.File
	for _, name := range names {
		files = append(files, a.Sockets[name])
	}
	err = conn.Send(&handoff.Message{
		Kind: handoff.KindHello, Format: handoff.Format, Generation: a.Number, PID: os.Getpid(),
		AgentState: a.machine.State, WasSettled: a.machine.Settled(), Sockets: names,
	}, files...)
	if err != nil {
		conn.Close()
		return false
	}
	a.conn = conn
	a.log.Info("supervisor found")
	if a.readyReported {
		a.report(handoff.KindReady)
	}
	return true
}

// logDialError logs an error once. That nobody listens is none while the supervisor is down.
func (a *Agent) logDialError(err error) {
	if errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) || a.lastDialError == err.Error() {
		return
	}
	a.lastDialError = err.Error()
	a.log.WithError(err).Warn("supervisor can't be reached")
}
