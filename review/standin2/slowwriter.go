package main

import (
	"bytes"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slowwriter"] = playSlowWriter }

const (
	slowPieces = 48
	slowBody   = 48_000 // "a write brings up to 48,000"
	// slowPause makes a write of this size take 2.6 s, quickPause 0.5 s.
	slowPause  = 54 * time.Millisecond
	quickPause = 10 * time.Millisecond
)

// playSlowWriter lets usual clients write their acceptances slowly, on connections on which they were
// answered before. Each that was written whole has to be answered.
func playSlowWriter(s *stage) (broken int, err error) {
	office, err := newOffice(s, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024})
	if err != nil {
		return 0, err
	}
	defer office.end()
	var clients sync.WaitGroup
	var whole, answered, lost, brokenOff atomic.Int64
	for i := range 5 {
		clients.Go(func() {
			for n := range 4 {
				c := &client{addr: office.router.listen}
				first := c.do(&request{method: http.MethodGet, class: classPage, object: pageName(n), group: 17, ttl: 3 * time.Second}, 4*time.Second)
				if first.status != http.StatusOK {
					s.rec.note("client %d: the first request was not answered: %d, %v", i, first.status, first.err)
					continue
				}
				out, took := s.writeSlowly(c, n)
				s.rec.note("client %d: acceptance written within %d ms, status %d after %d ms more, error %v",
					i, took.Milliseconds(), out.status, out.took.Milliseconds(), out.err)
				switch {
				case errors.Is(out.err, errNoConnection):
					brokenOff.Add(1)
				case out.status == 0:
					whole.Add(1)
					lost.Add(1)
				default:
					whole.Add(1)
					answered.Add(1)
				}
				c.drop()
			}
		})
	}
	clients.Wait()
	s.rec.say("%d acceptances written whole, %d of them answered, %d ended without an answer; %d could not be written whole",
		whole.Load(), answered.Load(), lost.Load(), brokenOff.Load())
	if whole.Load() == 0 {
		return 0, errors.New("no acceptance was written whole")
	}
	return int(lost.Load()), nil
}

// writeSlowly writes a request with a body in pieces, and waits for the answer once it is whole.
func (s *stage) writeSlowly(c *client, n int) (out result, took time.Duration) {
	pause := quickPause
	if s.trouble {
		pause = slowPause
	}
	q := &request{
		method: http.MethodPut, class: classAccept, object: pageName(100 + n), group: 17, ttl: 3 * time.Second,
		body: bytes.Repeat([]byte("x"), slowBody),
	}
	text := q.encode()
	head := text[:len(text)-slowBody]
	start := time.Now()
	pieces := [][]byte{head}
	for rest := text[len(head):]; len(rest) > 0; rest = rest[slowBody/slowPieces:] {
		pieces = append(pieces, rest[:slowBody/slowPieces])
	}
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := c.conn.Write(piece); err != nil {
			c.drop()
			return result{err: errors.Join(errNoConnection, err)}, time.Since(start)
		}
	}
	took = time.Since(start)
	return c.await(q, time.Now(), q.ttl+time.Second), took
}
