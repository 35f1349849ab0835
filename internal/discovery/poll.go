package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync/atomic"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/config"
	"quilldoor/internal/http1"
)

const (
	// maxPollAge bounds the time from a poll to its response. It is extended for a long response
	// by the time that its bytes take at minBytesPerSecond.
	maxPollAge        = 30 * time.Second
	minBytesPerSecond = 4 << 10
)

// poll is a request for the events after a revision. Its fields don't change once it has been
// sent, apart from the progress.
type poll struct {
	sequence  int   // in the order in which polls are sent, from 1
	revision  int64 // of the last event when it was sent
	numbering int   // of the service's revisions when it was sent
	startedAt time.Time
	spread    float64 // from 0 to 1, for times that are to differ between routers
	giveUp    context.CancelFunc
	ended     chan struct{} // closed when the poll has ended

	// The progress, in nanoseconds since startedAt; 0: not yet.
	connectedAfter atomic.Int64
	receivedAfter  atomic.Int64 // the latest bytes of the response
	receivedBytes  atomic.Int64
}

func (p *poll) markConnected() { p.connectedAfter.Store(max(int64(time.Since(p.startedAt)), 1)) }

func (p *poll) isConnected() bool { return p.connectedAfter.Load() > 0 }

func (p *poll) markReceived(n int) {
	p.receivedBytes.Add(int64(n))
	p.receivedAfter.Store(max(int64(time.Since(p.startedAt)), 1))
}

// lastReceivedAt returns when the latest bytes arrived; zero: there are none.
func (p *poll) lastReceivedAt() time.Time {
	if after := p.receivedAfter.Load(); after > 0 {
		return p.startedAt.Add(time.Duration(after))
	}
	return time.Time{}
}

// deadline returns when the poll fails unless more of its response arrives.
func (p *poll) deadline() time.Time {
	received := time.Duration(p.receivedBytes.Load()) * time.Second / minBytesPerSecond
	return p.startedAt.Add(maxPollAge + received)
}

// pollResult is the end of a poll: a response or an error.
type pollResult struct {
	poll   *poll
	update *Update
	conn   *pollConn // open for another poll; nil: none
	err    error
}

// dialFunc opens a connection to the discovery service.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// poller sends polls to the service at one address.
type poller struct {
	limits   *config.Limits
	dial     dialFunc
	address  string
	received *atomic.Int64 // counts the bytes of all responses
}

// pollConn is an open connection to the discovery service. It records the progress of its poll.
type pollConn struct {
	net.Conn
	reader    *bufio.Reader
	poll      *poll
	received  *atomic.Int64
	mustClose bool // no other poll may follow on this connection
}

// Read extends the deadline with the bytes that arrive.
func (c *pollConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.poll.markReceived(n)
		c.received.Add(int64(n))
		c.SetReadDeadline(c.poll.deadline())
	}
	return n, err
}

// do sends a poll on an open connection, or on a new one if conn is nil, and returns its end.
// The connection closes when the context ends, after an error, and after a response that must be
// the connection's last.
func (p *poller) do(ctx context.Context, poll *poll, conn *pollConn) pollResult {
	if conn == nil {
		var err error
		if conn, err = p.connect(ctx, poll); err != nil {
			return pollResult{poll: poll, err: err}
		}
	}
	conn.poll = poll
	poll.markConnected()
	stopAfterFunc := context.AfterFunc(ctx, func() { conn.Close() })
	update, err := p.exchange(poll, conn)
	if stillOpen := stopAfterFunc(); stillOpen && err == nil && !conn.mustClose {
		return pollResult{poll: poll, update: update, conn: conn}
	}
	conn.Close()
	return pollResult{poll: poll, update: update, err: err}
}

func (p *poller) connect(ctx context.Context, poll *poll) (*pollConn, error) {
	ctx, cancel := context.WithDeadline(ctx, poll.deadline())
	defer cancel()
	conn, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	pollConn := &pollConn{Conn: conn, poll: poll, received: p.received}
	pollConn.reader = bufio.NewReaderSize(pollConn, bufferpool.BufferSize)
	return pollConn, nil
}

// exchange requests the events after the poll's revision. The service may hold the request until
// there is one, for up to config.Limits.PollWait.
func (p *poller) exchange(poll *poll, conn *pollConn) (*Update, error) {
	target := "/board/poll?watch=" + strconv.FormatInt(poll.revision, 10) +
		"&linger=" + strconv.FormatInt(p.limits.PollWait.Milliseconds(), 10)
	conn.SetDeadline(poll.deadline())
	request := http1.AppendRequest(nil, http.MethodGet, target, http1.Field{Name: "Host", Value: p.address})
	if _, err := conn.Write(request); err != nil {
		return nil, err
	}
	head, err := http1.ReadResponse(conn.reader, http1.Limits{
		MaxBytes:  p.limits.MaxHeadBytes,
		MaxFields: p.limits.MaxHeaderFields,
		MaxBody:   p.limits.MaxDiscoveryBody,
	})
	if err != nil {
		return nil, err
	}
	if head.Status != http.StatusOK {
		return nil, fmt.Errorf("poll of the discovery service: HTTP status %d", head.Status)
	}
	body, err := readBody(conn.reader, head, p.limits.MaxDiscoveryBody)
	if err != nil {
		return nil, err
	}
	conn.mustClose = head.Close || head.ContentLength < 0 // the trailer of a chunked body is not read
	return Parse(body)
}

// readBody reads a body whose head gives its length, a chunked body, or a body that ends
// with the connection. A body longer than maxBody bytes is an error. Memory is taken as the
// bytes arrive, since several polls may wait for theirs.
func readBody(r *bufio.Reader, head *http1.Head, maxBody int) ([]byte, error) {
	if head.ContentLength >= 0 {
		body, err := io.ReadAll(io.LimitReader(r, int64(head.ContentLength)))
		if err == nil && len(body) < head.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	var source io.Reader = r
	if head.Chunked {
		source = httputil.NewChunkedReader(r)
	}
	body, err := io.ReadAll(io.LimitReader(source, int64(maxBody)+1))
	if len(body) > maxBody {
		return nil, fmt.Errorf("response of the discovery service exceeds %d bytes", maxBody)
	}
	return body, err
}
