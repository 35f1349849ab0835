package gateway

import (
	"fmt"
	"net"
	"sync"
	"time"

	"quilldoor/internal/gateway/peerproto"
)

// maxQueuedBytes bounds what waits to be written: a peer that reads nothing loses the
// connection.
const maxQueuedBytes = 4 << 20

// link is a connection to a peer, dialled or accepted.
type link struct {
	gateway *Gateway
	conn    net.Conn
	peer    string
	reader  *peerproto.Reader

	// Under the gateway's lock.
	lastNumber uint32
	calls      map[uint32]string // ids of requests that were forwarded on it
	inbound    map[uint32]*inboundRequest

	queueMu sync.Mutex // of all below
	queue   []byte
	queued  chan struct{}
	closed  bool

	heartbeatAt      int64 // this side's clock at the peer's last heartbeat
	heartbeatSentAt  int64 // the peer's clock at the same heartbeat
	clockOffset      int64 // least of this side's clock at arrival less the peer's at sending
	clockOffsetKnown bool
}

func newLink(g *Gateway, conn net.Conn, peer string) *link {
	return &link{
		gateway: g,
		conn:    conn,
		peer:    peer,
		reader:  peerproto.NewReader(conn),
		calls:   map[uint32]string{},
		inbound: map[uint32]*inboundRequest{},
		queued:  make(chan struct{}, 1),
	}
}

func (l *link) close() {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.queued)
		l.conn.Close()
	}
}

// enqueue queues bytes; false: the link is closed or its queue is full.
func (l *link) enqueue(b []byte) bool {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	if l.closed || len(l.queue)+len(b) > maxQueuedBytes {
		return false
	}
	l.queue = append(l.queue, b...)
	select {
	case l.queued <- struct{}{}:
	default:
	}
	return true
}

// writeQueue writes what is queued until the link closes.
func (l *link) writeQueue() {
	const writeTimeout = 5 * time.Second // the controller gives a silent peer up before
	for range l.queued {
		l.queueMu.Lock()
		b := l.queue
		l.queue = nil
		l.queueMu.Unlock()
		l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := l.conn.Write(b); err != nil {
			l.close()
			return
		}
	}
}

// cancel tells the peer that a request is given up.
func (l *link) cancel(number uint32) {
	b, _ := peerproto.AppendRaw(nil, peerproto.KindCancel, number, nil) // an empty frame always fits
	l.enqueue(b)
}

func (l *link) sendHello(incarnation uint64) error {
	settings := &l.gateway.config.Settings
	b, err := peerproto.Append(nil, peerproto.KindHello, 0, &peerproto.Hello{
		Version: peerproto.Version, Name: settings.Name, Site: settings.Site, Incarnation: incarnation,
	})
	if err != nil {
		return err
	}
	_, err = l.conn.Write(b)
	return err
}

func (l *link) readHello() (hello peerproto.Hello, err error) {
	frame, err := l.reader.Next()
	if err != nil {
		return hello, err
	}
	if frame.Kind != peerproto.KindHello {
		return hello, fmt.Errorf("%w: kind %d for a greeting", peerproto.ErrMalformed, frame.Kind)
	}
	if err := frame.Decode(&hello); err != nil {
		return hello, err
	}
	if hello.Version != peerproto.Version {
		return hello, fmt.Errorf("%w: version %d, this is %d", peerproto.ErrMalformed, hello.Version, peerproto.Version)
	}
	return hello, nil
}

func (l *link) sendHeartbeat() {
	g := l.gateway
	g.mu.Lock()
	now := g.now()
	heartbeat := peerproto.Heartbeat{SentAt: now, Capacity: int32(g.controller.OfferedCapacity(now)), Draining: g.draining}
	g.mu.Unlock()
	l.queueMu.Lock()
	if l.heartbeatSentAt > 0 {
		heartbeat.EchoedAt = l.heartbeatSentAt
		heartbeat.HeldTime = now - l.heartbeatAt
	}
	l.queueMu.Unlock()
	if b, err := peerproto.Append(nil, peerproto.KindHeartbeat, 0, &heartbeat); err == nil {
		l.enqueue(b)
	}
}

// handleHeartbeat returns the round trip of this side's heartbeat that it echoes; 0: none.
func (l *link) handleHeartbeat(now int64, heartbeat *peerproto.Heartbeat) (roundTrip int64) {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	l.heartbeatAt = now
	l.heartbeatSentAt = heartbeat.SentAt
	l.trackClockOffset(now, heartbeat.SentAt)
	if heartbeat.EchoedAt > 0 {
		roundTrip = max(now-heartbeat.EchoedAt-heartbeat.HeldTime, 1)
	}
	return roundTrip
}

// trackClockOffset remembers the least difference of the two clocks: that of the quickest
// frame so far.
func (l *link) trackClockOffset(now, sentAt int64) {
	if offset := now - sentAt; !l.clockOffsetKnown || offset < l.clockOffset {
		l.clockOffset = offset
		l.clockOffsetKnown = true
	}
}

// extraDelay tells how much longer than the quickest a frame was under way.
func (l *link) extraDelay(now, sentAt int64) int64 {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	l.trackClockOffset(now, sentAt)
	return now - sentAt - l.clockOffset
}
