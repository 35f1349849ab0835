package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = playFlood }

const (
	floodClients = 900 // connections of bad clients at once: "hundreds"
	floodTime    = 12 * time.Second
	floodHold    = 500 * time.Millisecond // a bad client closes its side so long after it was turned away
	// answerSlack is the time after a request's own in which its answer still counts.
	answerSlack = 500 * time.Millisecond
)

// playFlood lets bad clients ask for a class that does not exist, each again the moment it is
// turned away, while usual clients ask as ever. Every request of a usual client has to be answered.
func playFlood(s *stage) (broken int, err error) {
	office, err := newOffice(s, map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256})
	if err != nil {
		return 0, err
	}
	defer office.end()
	ctx, stop := context.WithTimeout(context.Background(), floodTime+4*time.Second)
	defer stop()
	var usual, bad sync.WaitGroup
	var sent, answered, lost, closed, badTurns atomic.Int64
	for i := range 10 {
		usual.Go(func() {
			c := &client{addr: office.router.listen}
			defer c.drop()
			for n := i; ctx.Err() == nil; n++ {
				q := &request{method: http.MethodGet, class: classPage, object: pageName(n % 40), part: 0, group: 17, ttl: 1500 * time.Millisecond}
				out := c.do(q, q.ttl+answerSlack+100*time.Millisecond)
				if errors.Is(out.err, errNoConnection) {
					continue // nothing was written
				}
				sent.Add(1)
				switch {
				case out.status != 0:
					answered.Add(1)
				case errors.Is(out.err, os.ErrDeadlineExceeded):
					lost.Add(1)
				default:
					closed.Add(1)
				}
				s.rec.note("usual client %d: %s sent, status %d after %d ms, error %v", i, q.id, out.status, out.took.Milliseconds(), out.err)
				sleep(ctx, 150*time.Millisecond)
			}
		})
	}
	sleep(ctx, 2*time.Second)
	if s.trouble {
		floodCtx, stopFlood := context.WithTimeout(ctx, floodTime)
		defer stopFlood()
		for range floodClients {
			bad.Go(func() {
				for floodCtx.Err() == nil {
					if askBadly(floodCtx, office.router.listen) {
						badTurns.Add(1)
					}
				}
			})
		}
	}
	usual.Wait()
	stop()
	bad.Wait()
	s.rec.say("usual clients: %d requests written, %d answered, %d closed without an answer, %d not answered within their time and %d ms more; bad clients: %d turned away",
		sent.Load(), answered.Load(), closed.Load(), lost.Load(), answerSlack.Milliseconds(), badTurns.Load())
	if sent.Load() == 0 {
		return 0, errors.New("no request of a usual client was written")
	}
	return int(lost.Load()), nil
}

// askBadly asks for a class that does not exist and reads all that comes. It leaves its own side
// open for a while, and reports whether it was answered.
func askBadly(ctx context.Context, addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		sleep(ctx, 10*time.Millisecond)
		return false
	}
	defer func() { time.AfterFunc(floodHold, func() { conn.Close() }) }()
	text := "GET /rpc/no-such-class/" + newID() + "/n-0 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + newID() +
		"\r\nX-Ttl-Ms: 1500\r\nX-Shard: 17\r\nConnection: close\r\n\r\n"
	if _, err := conn.Write([]byte(text)); err != nil {
		conn.Close()
		return false
	}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, _ := io.Copy(io.Discard, conn) // up to the end of what it is sent
	return n > 0
}

// sleep waits for a time, or for the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
