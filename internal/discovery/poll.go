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
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/http1"
)

// Run polls the service at an address until the context ends. A later Run, also at
// another address, continues after the last event. When a poll fails, the endpoint list
// stays as it is, and Run waits before the next poll, with exponential backoff.
func (w *Watcher) Run(ctx context.Context, address string) {
	w.address = address
	w.conn = nil // closed when the context of the previous Run ended
	backoff := time.Duration(0)
	lost := false
	for ctx.Err() == nil {
		update, err := w.fetch(ctx)
		if err == nil {
			if lost {
				w.handler.DiscoveryRestored()
			}
			w.Apply(update)
			backoff = 0
			lost = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !lost {
			w.handler.DiscoveryLost(err)
		}
		lost = true
		backoff = min(max(2*backoff, w.limits.PollBackoffMin), w.limits.PollBackoffMax)
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
	}
}

// fetch requests the next update on the open connection, or on a new one. It closes the
// connection after an error, and after a response that must be the connection's last.
func (w *Watcher) fetch(ctx context.Context) (update *Update, err error) {
	conn := w.conn
	if conn == nil {
		if conn, err = w.dial(ctx); err != nil {
			return nil, err
		}
	}
	update, err = w.poll(conn)
	w.conn = conn
	if err != nil || conn.mustClose {
		conn.stopAfterFunc()
		conn.Close()
		w.conn = nil
	}
	return update, err
}

// pollConn is an open connection to the discovery service.
type pollConn struct {
	net.Conn
	reader        *bufio.Reader
	stopAfterFunc func() bool // cancels closing the connection when the context ends
	mustClose     bool        // no other poll may follow on this connection
}

// dial opens a connection, which closes when the context ends.
func (w *Watcher) dial(ctx context.Context) (*pollConn, error) {
	dialer := net.Dialer{Timeout: w.limits.PollGrace}
	conn, err := dialer.DialContext(ctx, "tcp", w.address)
	if err != nil {
		return nil, err
	}
	return &pollConn{
		Conn:          conn,
		reader:        bufio.NewReaderSize(conn, bufferpool.BufferSize),
		stopAfterFunc: context.AfterFunc(ctx, func() { conn.Close() }),
	}, nil
}

// poll requests the events after the last one. The service may hold the request until
// there is one, for up to config.Limits.PollWait.
func (w *Watcher) poll(conn *pollConn) (*Update, error) {
	target := "/board/poll?watch=" + strconv.FormatInt(w.revision, 10) +
		"&linger=" + strconv.FormatInt(w.limits.PollWait.Milliseconds(), 10)
	conn.SetDeadline(time.Now().Add(w.limits.PollWait + w.limits.PollGrace))
	request := http1.AppendRequest(nil, http.MethodGet, target, http1.Field{Name: "Host", Value: w.address})
	if _, err := conn.Write(request); err != nil {
		return nil, err
	}
	head, err := http1.ReadResponse(conn.reader, http1.Limits{
		MaxBytes:  w.limits.MaxHeadBytes,
		MaxFields: w.limits.MaxHeaderFields,
		MaxBody:   w.limits.MaxDiscoveryBody,
	})
	if err != nil {
		return nil, err
	}
	if head.Status != http.StatusOK {
		return nil, fmt.Errorf("poll of the discovery service: HTTP status %d", head.Status)
	}
	body, err := readBody(conn.reader, head, w.limits.MaxDiscoveryBody)
	if err != nil {
		return nil, err
	}
	conn.mustClose = head.Close || head.ContentLength < 0 // the trailer of a chunked body is not read
	return Parse(body)
}

// readBody reads a body whose head gives its length, a chunked body, or a body that ends
// with the connection. A body longer than maxBody bytes is an error.
func readBody(r *bufio.Reader, head *http1.Head, maxBody int) ([]byte, error) {
	if head.ContentLength >= 0 {
		body := make([]byte, head.ContentLength)
		_, err := io.ReadFull(r, body)
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
