package discovery

import (
	"bufio"
	"context"
	"errors"
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

// Run polls the service at an address until the context ends. Run again at
// another address, it goes on behind the last event. After a failure the last
// list stays and polls back off.
func (w *Watcher) Run(ctx context.Context, address string) {
	w.address = address
	w.conn = nil // the context of the run before has closed it
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

// fetch gets the next update over the open connection, or a new one. A
// connection that failed, or that the service closes, is not kept.
func (w *Watcher) fetch(ctx context.Context) (update *Update, err error) {
	conn := w.conn
	if conn == nil {
		if conn, err = w.dial(ctx); err != nil {
			return nil, err
		}
	}
	update, err = w.poll(conn)
	w.conn = conn
	if err != nil || conn.last {
		conn.stopWatch()
		conn.Close()
		w.conn = nil
	}
	return update, err
}

// pollConn is a connection to the discovery service.
type pollConn struct {
	net.Conn
	reader    *bufio.Reader
	stopWatch func() bool // of the context
	last      bool        // the service closes it behind this response
}

func (w *Watcher) dial(ctx context.Context) (*pollConn, error) {
	dialer := net.Dialer{Timeout: w.limits.PollGrace}
	conn, err := dialer.DialContext(ctx, "tcp", w.address)
	if err != nil {
		return nil, err
	}
	return &pollConn{
		Conn:      conn,
		reader:    bufio.NewReaderSize(conn, bufferpool.Size),
		stopWatch: context.AfterFunc(ctx, func() { conn.Close() }),
	}, nil
}

// poll asks for the events behind the last one.
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
		return nil, fmt.Errorf("status %d", head.Status)
	}
	body, err := readBody(conn.reader, head, w.limits.MaxDiscoveryBody)
	if err != nil {
		return nil, err
	}
	conn.last = head.Close || head.ContentLength < 0 // trailers behind chunks are not read
	return Parse(body)
}

// readBody reads a body of a given length, in chunks or up to the connection's
// end.
func readBody(r *bufio.Reader, head *http1.Head, maxBody int) ([]byte, error) {
	if head.ContentLength >= 0 {
		body := make([]byte, head.ContentLength)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var from io.Reader = r
	if head.Chunked {
		from = httputil.NewChunkedReader(r)
	}
	body, err := io.ReadAll(io.LimitReader(from, int64(maxBody)+1))
	if len(body) > maxBody {
		return nil, errors.New("response too long")
	}
	return body, err
}
