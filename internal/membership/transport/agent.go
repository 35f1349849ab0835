// Package transport runs a membership.Node in a router's process. An Agent exchanges datagrams on one UDP socket,
// authenticated by a key that the routers of a site share, ticks the node by a monotonic clock, and logs the state
// transitions of members. The package also has the functions by which a tool queries routers (query.go, matrix.go).
package transport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/membership"
)

const (
	// maxMessageBytes is the membership.Settings.MaxMessageBytes of the node. It leaves room below MaxDatagram.
	maxMessageBytes = 1200
	// MaxPayloadBytes bounds the body of a payload.
	MaxPayloadBytes = 1000
)

// DropCounts are totals of dropped datagrams by reason: received with an invalid size, version, authentication tag or
// payload, or not sent because of an error.
type DropCounts struct{ Size, Version, Authentication, Payload, Unsent atomic.Int64 }

// PayloadHandler is a subsystem that exchanges payloads with the same subsystem of other routers.
type PayloadHandler interface {
	// Digest returns the digest of the subsystem's state, which all messages carry.
	Digest() uint32
	// HandlePayload handles the digest and the body of a message from another router, and returns the bodies to send
	// back. A nil body means that the message carried the digest alone.
	HandlePayload(from string, digest uint32, body []byte) (replies [][]byte)
	// Tick is called after each tick of the node.
	Tick(c membership.Connectivity)
}

// Agent runs the membership.Node of a router. Its methods may be called from several goroutines.
type Agent struct {
	// Dropped may be read at any time.
	Dropped DropCounts

	key     []byte
	conn    *net.UDPConn
	log     *logrus.Entry
	start   time.Time
	handler PayloadHandler // nil: none
	done    chan struct{}
	running sync.WaitGroup // receiveLoop and tickLoop
	ended   sync.Once      // by Close or Handoff

	mu   sync.Mutex
	node *membership.Node

	majority bool // as last logged; used by the goroutine of tickLoop alone
}

// Start opens a socket at listen and starts an agent on it. handler may be nil.
func Start(
	settings membership.Settings, key []byte, listen netip.AddrPort, handler PayloadHandler, log *logrus.Entry,
) (*Agent, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("members.listen: %w", err)
	}
	return StartOn(conn, settings, key, listen, handler, log), nil
}

// StartOn starts an agent on an open socket, such as one that a predecessor has handed over. The agent closes the
// socket. handler may be nil.
func StartOn(
	conn *net.UDPConn, settings membership.Settings, key []byte, listen netip.AddrPort, handler PayloadHandler,
	log *logrus.Entry,
) *Agent {
	settings.Addr = listen
	settings.Epoch = uint32(time.Now().Unix())
	settings.MaxMessageBytes = maxMessageBytes
	a := &Agent{
		key: key, conn: conn, log: log, start: time.Now(), handler: handler, done: make(chan struct{}),
	}
	// Two processes with the same name must draw different nonces, so the seed is random, not the one of the settings.
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a.node = membership.New(settings, random, a.now())
	a.running.Go(a.receiveLoop)
	a.running.Go(a.tickLoop)
	return a
}

// now returns the monotonic time since the start in microseconds.
func (a *Agent) now() int64 { return time.Since(a.start).Microseconds() }

// tickLoop ticks the node at the times that the node returns, until the agent is stopped.
func (a *Agent) tickLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-timer.C:
		}
		next := a.tick()
		timer.Reset(time.Duration(next-a.now()) * time.Microsecond)
	}
}

func (a *Agent) tick() (next int64) {
	a.mu.Lock()
	next, out, changes := a.node.Tick(a.now())
	connectivity := a.node.Connectivity()
	a.mu.Unlock()
	if a.handler != nil {
		a.handler.Tick(connectivity)
	}
	a.send(out)
	a.logChanges(changes)
	a.logMajority(connectivity)
	return next
}

// receiveLoop receives datagrams until the socket is closed. It sleeps after every invalidPerPause invalid ones, so
// that a flood of them takes a bounded share of a core: the kernel drops datagrams that the socket's buffer can't hold.
func (a *Agent) receiveLoop() {
	const (
		invalidPerPause = 64
		pause           = 2 * time.Millisecond
	)
	buffer := make([]byte, MaxDatagram+1)
	invalid := 0
	for {
		size, source, err := a.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // from an earlier send or a lack of memory; no sign of a failed member
			time.Sleep(pause)
			continue
		}
		msg := new(membership.Message)
		if err := openDatagram(a.key, buffer[:size], msg); err != nil {
			a.countDropped(err)
			invalid++
			if invalid >= invalidPerPause {
				invalid = 0
				time.Sleep(pause)
			}
			continue
		}
		a.receive(source, msg)
	}
}

func (a *Agent) receive(source netip.AddrPort, msg *membership.Message) {
	a.mu.Lock()
	if a.handler != nil {
		a.node.SetGossipDigest(a.handler.Digest())
	}
	out := a.node.Receive(a.now(), netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), msg)
	payloads := a.node.Payloads()
	a.mu.Unlock()
	a.send(out)
	a.deliver(payloads)
}

// deliver passes payloads to the handler and sends its replies.
func (a *Agent) deliver(payloads []membership.Payload) {
	if a.handler == nil {
		return
	}
	for _, p := range payloads {
		for _, body := range a.handler.HandlePayload(p.From, p.Digest, p.Body) {
			a.SendPayload(p.From, body)
		}
	}
}

// SendPayload sends a body of up to MaxPayloadBytes to a member. It sends nothing to a member that is not present.
func (a *Agent) SendPayload(to string, body []byte) {
	a.mu.Lock()
	out := a.node.SendPayload(to, body)
	a.mu.Unlock()
	a.send(out)
}

func (a *Agent) send(out []membership.Outbound) {
	for _, outbound := range out {
		if !a.sendOne(outbound) {
			a.Dropped.Unsent.Add(1)
		}
	}
}

// sendOne reports whether a message was sent. An error concerns this datagram alone, and has the same effect as a loss
// in the network.
func (a *Agent) sendOne(outbound membership.Outbound) bool {
	if !outbound.Addr.IsValid() {
		return false
	}
	datagram, err := sealDatagram(a.key, outbound.Message)
	if err != nil {
		return false
	}
	_, err = a.conn.WriteToUDPAddrPort(datagram, outbound.Addr)
	return err == nil
}

func (a *Agent) countDropped(err error) {
	switch {
	case errors.Is(err, errSize):
		a.Dropped.Size.Add(1)
	case errors.Is(err, errVersion):
		a.Dropped.Version.Add(1)
	case errors.Is(err, errAuthentication):
		a.Dropped.Authentication.Add(1)
	default:
		a.Dropped.Payload.Add(1)
	}
}

// View returns a snapshot of the node.
func (a *Agent) View() *membership.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.View()
}

// Leave announces that the router is going to leave. The agent still responds to other members until Close.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.Leave(a.now())
}

// Handoff stops the agent without notifying other members. It returns the state with which another process of this
// router continues the instance.
func (a *Agent) Handoff() *membership.HandoffState {
	a.ended.Do(a.stop)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Handoff()
}

// Close announces the departure of the router to some members and stops the agent. It does nothing after Handoff, or if
// the agent is closed already.
func (a *Agent) Close() {
	a.ended.Do(func() {
		a.mu.Lock()
		out := a.node.Depart(a.now())
		a.mu.Unlock()
		a.send(out)
		a.stop()
	})
}

func (a *Agent) stop() {
	close(a.done)
	a.conn.Close()
	a.running.Wait()
}
