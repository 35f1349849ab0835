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

	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/membership"
)

// ReadKey reads the key that all routers of a site share.
func ReadKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("members.key_file: %w", err)
	}
	if text = bytes.TrimSpace(text); len(text) < peerproto.LeastKey {
		return nil, fmt.Errorf("members.key_file: %d bytes, %d at least", len(text), peerproto.LeastKey)
	}
	return text, nil
}

// Dropped counts datagrams that were not words.
type Dropped struct{ Size, Version, Proof, Payload, Unsent atomic.Int64 }

// Link is a running member.
type Link struct {
	Dropped Dropped

	key   []byte
	conn  *net.UDPConn
	log   *logrus.Entry
	start time.Time
	done  chan struct{}
	all   sync.WaitGroup

	reader   Reader
	mu       sync.Mutex
	node     *membership.Node
	majority bool
}

// Reader is a subsystem that speaks to its like at other routers.
type Reader interface {
	Tag() uint32                                                 // of what it knows, for all words
	Letter(from string, tag uint32, body []byte) (back [][]byte) // body nil: only the tag came
	Tick(s membership.Standing)                                  // at every wake-up
}

// MostBody is how long a letter's body may be.
const MostBody = 1000

// Start opens the socket and begins to look for the others.
func Start(set membership.Settings, key []byte, listen netip.AddrPort, reader Reader, log *logrus.Entry) (*Link, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("members.listen: %w", err)
	}
	return StartOn(conn, set, key, listen, reader, log), nil
}

// StartOn does the same with a socket that stands already.
func StartOn(conn *net.UDPConn, set membership.Settings, key []byte, listen netip.AddrPort, reader Reader, log *logrus.Entry) *Link {
	set.Addr, set.Life, set.Most = listen, uint32(time.Now().Unix()), 1200
	l := &Link{key: key, conn: conn, log: log, start: time.Now(), done: make(chan struct{}), reader: reader}
	// Two processes of one name must not draw alike: this seed is not the configured one.
	l.node = membership.New(set, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), l.now())
	l.all.Go(l.read)
	l.all.Go(l.run)
	return l
}

func (l *Link) now() int64 { return time.Since(l.start).Microseconds() }

// run calls the node when it wants to be called.
func (l *Link) run() {
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
		next, out, news := l.node.Run(now)
		stood := l.node.Standing()
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
func (l *Link) read() {
	const atOnce, rest = 64, 2 * time.Millisecond
	b := make([]byte, peerproto.MostDatagram+1)
	for bad := 0; ; {
		size, from, err := l.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // of an earlier send, or no memory: it proves nothing
			time.Sleep(rest)
			continue
		}
		w := new(membership.Word)
		if err := peerproto.Open(l.key, b[:size], w); err != nil {
			l.drop(err)
			if bad++; bad >= atOnce {
				bad = 0
				time.Sleep(rest)
			}
			continue
		}
		l.mu.Lock()
		if l.reader != nil {
			l.node.Tag(l.reader.Tag())
		}
		out := l.node.Heard(l.now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), w)
		letters := l.node.Letters()
		l.mu.Unlock()
		l.send(out)
		l.deliver(letters)
	}
}

// Post sends a letter to a router, if it is there.
func (l *Link) Post(to string, body []byte) {
	l.mu.Lock()
	out := l.node.Post(to, body)
	l.mu.Unlock()
	l.send(out)
}

// deliver hands letters to the reader and posts what it says back.
func (l *Link) deliver(letters []membership.Letter) {
	if l.reader == nil {
		return
	}
	for _, x := range letters {
		for _, body := range l.reader.Letter(x.From, x.Tag, x.Body) {
			l.mu.Lock()
			out := l.node.Post(x.From, body)
			l.mu.Unlock()
			l.send(out)
		}
	}
}

func (l *Link) drop(err error) {
	switch {
	case errors.Is(err, peerproto.ErrSize):
		l.Dropped.Size.Add(1)
	case errors.Is(err, peerproto.ErrVersion):
		l.Dropped.Version.Add(1)
	case errors.Is(err, peerproto.ErrProof):
		l.Dropped.Proof.Add(1)
	default:
		l.Dropped.Payload.Add(1)
	}
}

func (l *Link) send(out []membership.Out) {
	for _, o := range out {
		b, err := peerproto.Seal(l.key, o.Word)
		if err == nil && o.Addr.IsValid() {
			_, err = l.conn.WriteToUDPAddrPort(b, o.Addr)
		}
		if err != nil || !o.Addr.IsValid() {
			l.Dropped.Unsent.Add(1)
		}
	}
}

// tell logs what has changed.
func (l *Link) tell(news []membership.Change, s membership.Standing) {
	for _, c := range news {
		line := l.log.WithFields(logrus.Fields{"member": c.Name, "was": c.From.String(), "life": c.ID.Life})
		switch c.To {
		case membership.Suspected:
			line.Debug("members: suspected")
		case membership.Dead:
			line.Warn("members: dead")
		case membership.Doubled:
			line.Error("members: another process has this router's name, this one keeps quiet")
		case membership.Alive:
			if c.From == membership.Suspected {
				line.Debug("members: alive")
			} else {
				line.Info("members: alive")
			}
		case membership.Unknown:
			line.Debug("members: forgotten")
		default:
			line.Info("members: " + c.To.String())
		}
	}
	if s.Majority != l.majority && s.State != membership.Joining {
		l.majority = s.Majority
		line := l.log.WithFields(logrus.Fields{"known": s.Known, "reachable": s.Reachable, "answered": s.Answered, "asked": s.Asked,
			"silence_ms": s.Silence / 1000, "waking": s.Waking})
		if s.Majority {
			line.Info("members: the greater part is reachable")
		} else {
			line.Warn("members: cut off, or the smaller part")
		}
	}
}

// View is all that is held of the others.
func (l *Link) View() *membership.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.View()
}

// Leave says that the router will go; it still answers.
func (l *Link) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Leave(l.now())
}

// HandOver ends without a word to anybody, for another generation of this router
// that goes on with the same life.
func (l *Link) HandOver() *membership.Baton {
	close(l.done)
	l.conn.Close()
	l.all.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Baton()
}

// Close says that it goes, and ends.
func (l *Link) Close() {
	l.mu.Lock()
	out := l.node.Gone(l.now())
	l.mu.Unlock()
	l.send(out)
	close(l.done)
	l.conn.Close()
	l.all.Wait()
}
