package gateway

import (
	"fmt"
	"net"
	"sync"
	"time"

	"quilldoor/internal/gateway/peerproto"
)

// maxQueuedBytes bounds the bytes of a link that wait to be written. A link whose peer does
// not read is closed when a response body would exceed the bound.
const maxQueuedBytes = 4 << 20

// link is a connection to a peer, dialled or accepted.
type link struct {
	gateway *Gateway
	conn    net.Conn
	peer    string
	reader  *peerproto.Reader

	// Guarded by the gateway's lock.
	lastNumber uint32                     // of the requests forwarded on this link
	calls      map[uint32]string          // IDs of the requests forwarded on this link, by number
	inbound    map[uint32]*inboundRequest // by number

	queueMu sync.Mutex    // guards all fields below
	queue   []byte        // frames that wait to be written
	queued  chan struct{} // signals that queue has grown; closed with the link
	closed  bool

	heartbeatAt      int64 // this side's clock at the peer's last heartbeat
	heartbeatSentAt  int64 // the peer's clock at the same heartbeat
	clockOffset      int64 // minimum of this side's clock at arrival minus the peer's clock at sending
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

// enqueue queues bytes for writing. It returns false if the link is closed or the queue is
// full; none of the bytes is sent then.
func (l *link) enqueue(frames []byte) bool {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	if l.closed || len(l.queue)+len(frames) > maxQueuedBytes {
		return false
	}
	l.queue = append(l.queue, frames...)
	select {
	case l.queued <- struct{}{}:
	default:
	}
	return true
}

// writeQueue writes the queued bytes until the link is closed.
func (l *link) writeQueue() {
	const writeTimeout = 5 * time.Second // the controller disconnects a silent peer sooner
	for range l.queued {
		l.queueMu.Lock()
		frames := l.queue
		l.queue = nil
		l.queueMu.Unlock()
		l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := l.conn.Write(frames); err != nil {
			l.close()
			return
		}
	}
}

// sendCancel notifies the peer that a request is cancelled.
func (l *link) sendCancel(number uint32) {
	frame, _ := peerproto.AppendRaw(nil, peerproto.KindCancel, number, nil) // an empty payload is within the bound
	l.enqueue(frame)
}

func (l *link) sendHello(incarnation uint64) error {
	settings := &l.gateway.config.Settings
	frame, err := peerproto.Append(nil, peerproto.KindHello, 0, &peerproto.Hello{
		Version: peerproto.Version, Name: settings.Name, Site: settings.Site, Incarnation: incarnation,
	})
	if err != nil {
		return err
	}
	_, err = l.conn.Write(frame)
	return err
}

func (l *link) readHello() (hello peerproto.Hello, err error) {
	frame, err := l.reader.Next()
	if err != nil {
		return hello, err
	}
	if frame.Kind != peerproto.KindHello {
		return hello, fmt.Errorf("%w: first frame of kind %d, not a hello", peerproto.ErrMalformed, frame.Kind)
	}
	if err := frame.Decode(&hello); err != nil {
		return hello, err
	}
	if hello.Version != peerproto.Version {
		return hello, fmt.Errorf("%w: protocol version %d, this router has %d", peerproto.ErrMalformed, hello.Version, peerproto.Version)
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
	if frame, err := peerproto.Append(nil, peerproto.KindHeartbeat, 0, &heartbeat); err == nil {
		l.enqueue(frame)
	}
}

// handleHeartbeat records a heartbeat of the peer. It returns the round trip, in
// microseconds, of this side's heartbeat that it echoes; 0: it echoes none.
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

// trackClockOffset keeps the minimum difference of the two clocks, that of the frame with the
// shortest delay so far. The caller holds queueMu.
func (l *link) trackClockOffset(now, sentAt int64) {
	if offset := now - sentAt; !l.clockOffsetKnown || offset < l.clockOffset {
		l.clockOffset = offset
		l.clockOffsetKnown = true
	}
}

// extraDelay returns how many microseconds longer a frame was in transit than the frame with
// the shortest delay.
func (l *link) extraDelay(now, sentAt int64) int64 {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	l.trackClockOffset(now, sentAt)
	return now - sentAt - l.clockOffset
}
