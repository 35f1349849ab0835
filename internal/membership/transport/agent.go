// Package transport runs a membership.Node in a router's process: one UDP socket, datagrams authenticated by a key
// that the routers of a site share, a steady clock, and log entries for the node's state transitions. It also has the
// tool's side of a query (query.go, matrix.go).
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
	// maxMessageBytes is what a node's messages may take of a datagram.
	maxMessageBytes = 1200
	// MaxPayloadBytes bounds a payload's body.
	MaxPayloadBytes = 1000
)

// DropCounts are totals of dropped datagrams by reason: those received with a wrong size, version, authentication tag
// or payload, and those that could not be sent.
type DropCounts struct{ Size, Version, Authentication, Payload, Unsent atomic.Int64 }

// PayloadHandler is a subsystem that exchanges payloads with its peers at other routers.
type PayloadHandler interface {
	// Digest returns the digest of the subsystem's state, which all messages carry.
	Digest() uint32
	// HandlePayload handles what a message from another router carried, and returns the bodies to send back. A nil
	// body means that the digest came alone.
	HandlePayload(from string, digest uint32, body []byte) (replies [][]byte)
	// Tick is called at each wake-up of the node.
	Tick(c membership.Connectivity)
}

// Agent is a running member. Its methods may be called from several goroutines.
type Agent struct {
	// Dropped may be read at any time.
	Dropped DropCounts

	key     []byte
	conn    *net.UDPConn
	log     *logrus.Entry
	start   time.Time
	handler PayloadHandler // nil: none
	done    chan struct{}
	running sync.WaitGroup

	mu   sync.Mutex
	node *membership.Node

	majority bool // as last logged; only the goroutine of tickLoop uses it
}

// Start opens the socket and begins to look for the other members.
func Start(
	settings membership.Settings, key []byte, listen netip.AddrPort, handler PayloadHandler, log *logrus.Entry,
) (*Agent, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("members.listen: %w", err)
	}
	return StartOn(conn, settings, key, listen, handler, log), nil
}

// StartOn does the same on an open socket, such as one that a predecessor has handed over. The agent closes it.
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
	// Two processes with one name must draw different nonces, so the seed is not the configured one.
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a.node = membership.New(settings, random, a.now())
	a.running.Go(a.receiveLoop)
	a.running.Go(a.tickLoop)
	return a
}

// now is the time since the start in microseconds, by the steady clock.
func (a *Agent) now() int64 { return time.Since(a.start).Microseconds() }

// tickLoop calls the node when it asks to be called.
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

// receiveLoop receives datagrams. It sleeps after a number of invalid ones, so that a flood of them takes a bounded
// share of a core: the kernel drops what the socket's buffer can't hold.
func (a *Agent) receiveLoop() {
	const (
		maxInvalidInARow = 64
		pause            = 2 * time.Millisecond
	)
	buffer := make([]byte, MaxDatagram+1)
	invalid := 0
	for {
		size, source, err := a.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // of an earlier send, or for lack of memory: it says nothing about a member
			time.Sleep(pause)
			continue
		}
		msg := new(membership.Message)
		if err := openDatagram(a.key, buffer[:size], msg); err != nil {
			a.countDropped(err)
			invalid++
			if invalid >= maxInvalidInARow {
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

// deliver hands payloads to the handler and sends its replies.
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

// SendPayload sends a body of up to MaxPayloadBytes to a member, if it is present.
func (a *Agent) SendPayload(to string, body []byte) {
	a.mu.Lock()
	out := a.node.SendPayload(to, body)
	a.mu.Unlock()
	a.send(out)
}

func (a *Agent) send(out []membership.Outbound) {
	for _, o := range out {
		if !a.sendOne(o) {
			a.Dropped.Unsent.Add(1)
		}
	}
}

// sendOne reports whether a message was sent. An error is that of one datagram, which may as well be lost on its way.
func (a *Agent) sendOne(o membership.Outbound) bool {
	if !o.Addr.IsValid() {
		return false
	}
	datagram, err := sealDatagram(a.key, o.Message)
	if err != nil {
		return false
	}
	_, err = a.conn.WriteToUDPAddrPort(datagram, o.Addr)
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

// Leave announces that the router will go; it still answers.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.Leave(a.now())
}

// Handoff ends the agent without a message to anybody, and returns the state for another process of this router that
// continues the instance.
func (a *Agent) Handoff() *membership.HandoffState {
	a.stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Handoff()
}

// Close announces the departure and ends the agent.
func (a *Agent) Close() {
	a.mu.Lock()
	out := a.node.Depart(a.now())
	a.mu.Unlock()
	a.send(out)
	a.stop()
}

func (a *Agent) stop() {
	close(a.done)
	a.conn.Close()
	a.running.Wait()
}
