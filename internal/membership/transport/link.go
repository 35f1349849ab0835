// Package transport carries the words of package members between processes: one
// UDP socket, datagrams with a proof by a shared key, a steady clock.
package transport

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/membership"
)

// ReadKey reads the key that all routers of a site share.
func ReadKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("members.key_file: %w", err)
	}
	if text = bytes.TrimSpace(text); len(text) < minKeyLength {
		return nil, fmt.Errorf("members.key_file: %d bytes, %d at least", len(text), minKeyLength)
	}
	return text, nil
}

// DropCounts counts datagrams that were not words.
type DropCounts struct{ Size, Version, Authentication, Payload, Unsent atomic.Int64 }

// Agent is a running member.
type Agent struct {
	Dropped DropCounts

	key   []byte
	conn  *net.UDPConn
	log   *logrus.Entry
	start time.Time
	done  chan struct{}
	all   sync.WaitGroup

	reader   PayloadHandler
	mu       sync.Mutex
	node     *membership.Node
	majority bool
}

// PayloadHandler is a subsystem that speaks to its like at other routers.
type PayloadHandler interface {
	Digest() uint32                                                     // of what it knows, for all words
	HandlePayload(from string, tag uint32, body []byte) (back [][]byte) // body nil: only the tag came
	Tick(s membership.Connectivity)                                     // at every wake-up
}

// MaxPayloadBytes is how long a letter's body may be.
const MaxPayloadBytes = 1000

// Start opens the socket and begins to look for the others.
func Start(set membership.Settings, key []byte, listen netip.AddrPort, reader PayloadHandler, log *logrus.Entry) (*Agent, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("members.listen: %w", err)
	}
	return StartOn(conn, set, key, listen, reader, log), nil
}

// StartOn does the same with a socket that stands already.
func StartOn(conn *net.UDPConn, set membership.Settings, key []byte, listen netip.AddrPort, reader PayloadHandler, log *logrus.Entry) *Agent {
	set.Addr, set.Epoch, set.MaxMessageBytes = listen, uint32(time.Now().Unix()), 1200
	l := &Agent{key: key, conn: conn, log: log, start: time.Now(), done: make(chan struct{}), reader: reader}
	// Two processes of one name must not draw alike: this seed is not the configured one.
	l.node = membership.New(set, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), l.now())
	l.all.Go(l.read)
	l.all.Go(l.run)
	return l
}

func (l *Agent) now() int64 { return time.Since(l.start).Microseconds() }

// run calls the node when it wants to be called.
func (l *Agent) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-timer.C:
		}
		l.mu.Lock()
		now := l.now()
		next, out, news := l.node.Tick(now)
		stood := l.node.Connectivity()
		l.mu.Unlock()
		if l.reader != nil {
			l.reader.Tick(stood)
		}
		l.send(out)
		l.tell(news, stood)
		timer.Reset(time.Duration(next-l.now()) * time.Microsecond)
	}
}

// read takes datagrams. Who floods it with what is not ours gets a bounded part of
// the core: the system drops the rest.
func (l *Agent) read() {
	const atOnce, rest = 64, 2 * time.Millisecond
	b := make([]byte, MaxDatagram+1)
	for bad := 0; ; {
		size, from, err := l.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // of an earlier send, or no memory: it proves nothing
			time.Sleep(rest)
			continue
		}
		w := new(membership.Message)
		if err := openDatagram(l.key, b[:size], w); err != nil {
			l.drop(err)
			if bad++; bad >= atOnce {
				bad = 0
				time.Sleep(rest)
			}
			continue
		}
		l.mu.Lock()
		if l.reader != nil {
			l.node.SetGossipDigest(l.reader.Digest())
		}
		out := l.node.Receive(l.now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), w)
		letters := l.node.Payloads()
		l.mu.Unlock()
		l.send(out)
		l.deliver(letters)
	}
}

// SendPayload sends a letter to a router, if it is there.
func (l *Agent) SendPayload(to string, body []byte) {
	l.mu.Lock()
	out := l.node.SendPayload(to, body)
	l.mu.Unlock()
	l.send(out)
}

// deliver hands letters to the reader and posts what it says back.
func (l *Agent) deliver(letters []membership.Payload) {
	if l.reader == nil {
		return
	}
	for _, x := range letters {
		for _, body := range l.reader.HandlePayload(x.From, x.Digest, x.Body) {
			l.mu.Lock()
			out := l.node.SendPayload(x.From, body)
			l.mu.Unlock()
			l.send(out)
		}
	}
}

func (l *Agent) drop(err error) {
	switch {
	case errors.Is(err, errSize):
		l.Dropped.Size.Add(1)
	case errors.Is(err, errVersion):
		l.Dropped.Version.Add(1)
	case errors.Is(err, errAuthentication):
		l.Dropped.Authentication.Add(1)
	default:
		l.Dropped.Payload.Add(1)
	}
}

func (l *Agent) send(out []membership.Outbound) {
	for _, o := range out {
		b, err := sealDatagram(l.key, o.Message)
		if err == nil && o.Addr.IsValid() {
			_, err = l.conn.WriteToUDPAddrPort(b, o.Addr)
		}
		if err != nil || !o.Addr.IsValid() {
			l.Dropped.Unsent.Add(1)
		}
	}
}

// tell logs what has changed.
func (l *Agent) tell(news []membership.Change, s membership.Connectivity) {
	for _, c := range news {
		line := l.log.WithFields(logrus.Fields{"member": c.Name, "was": c.From.String(), "life": c.ID.Epoch})
		switch c.To {
		case membership.StateSuspect:
			line.Debug("members: suspected")
		case membership.StateDead:
			line.Warn("members: dead")
		case membership.StateNameConflict:
			line.Error("members: another process has this router's name, this one keeps quiet")
		case membership.StateAlive:
			if c.From == membership.StateSuspect {
				line.Debug("members: alive")
			} else {
				line.Info("members: alive")
			}
		case membership.StateUnknown:
			line.Debug("members: forgotten")
		default:
			line.Info("members: " + c.To.String())
		}
	}
	if s.Majority != l.majority && s.State != membership.StateJoining {
		l.majority = s.Majority
		line := l.log.WithFields(logrus.Fields{
			"known": s.Known, "reachable": s.Reachable, "answered": s.ProbesAnswered, "asked": s.ProbesSent,
			"silence_ms": s.Silence / 1000, "waking": s.Resuming,
		})
		if s.Majority {
			line.Info("members: the greater part is reachable")
		} else {
			line.Warn("members: cut off, or the smaller part")
		}
	}
}

// View is all that is held of the others.
func (l *Agent) View() *membership.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.View()
}

// Leave says that the router will go; it still answers.
func (l *Agent) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Leave(l.now())
}

// Handoff ends without a word to anybody, for another generation of this router
// that goes on with the same life.
func (l *Agent) Handoff() *membership.HandoffState {
	close(l.done)
	l.conn.Close()
	l.all.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Handoff()
}

// Close says that it goes, and ends.
func (l *Agent) Close() {
	l.mu.Lock()
	out := l.node.Depart(l.now())
	l.mu.Unlock()
	l.send(out)
	close(l.done)
	l.conn.Close()
	l.all.Wait()
}
