// Package discovery follows the notice board: changes of the list of servers and
// purges, as numbered events, by long polls.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http/httputil"
	"slices"
	"strconv"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/cacheproto"
	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/http1"
	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
)

// Sink takes the events, in order. At is in whole microseconds of Unix time.
type Sink interface {
	Members(scope string, list []engine.Server)
	Purge(object string, group, at int64)
	BoardLost(err error) // after the first failed poll in a row
	BoardBack()
	BoardGap() // events were never told, or are numbered anew
}

// News is the form of the board's answers, and of what is known at the start.
type News struct {
	Rev     int64
	Notices []notice
}

type notice struct {
	Rev  int64
	Pool *struct {
		All     bool
		Targets []target
	}
	Flush *struct {
		Asset      *string
		Collection *int64
		MS         int64
	}
}

type target struct {
	UID, Endpoint, AZ, Model, State string
	PodGroup                        int     `json:"pod_group"`
	CapacityHint                    float64 `json:"capacity_hint"`
	BootMS                          float64 `json:"boot_ms"`
}

var states = map[string]string{"ready": "active", "draining": "leaving", "gone": "left"}

// Parse reads news and checks that all of it can be used.
func Parse(text []byte) (*News, error) {
	var n News
	if err := json.Unmarshal(text, &n); err != nil {
		return nil, err
	}
	for _, e := range n.Notices {
		if e.Flush != nil && e.Flush.Asset == nil && e.Flush.Collection == nil {
			return nil, fmt.Errorf("notice %d: flush without asset or collection", e.Rev)
		}
		if e.Pool == nil {
			continue
		}
		for _, t := range e.Pool.Targets {
			if !cacheproto.Plain(t.UID) || states[t.State] == "" {
				return nil, fmt.Errorf("notice %d: target %.40q in state %.20q", e.Rev, t.UID, t.State)
			}
		}
	}
	return &n, nil
}

// Follower knows how far the board was followed.
type Follower struct {
	limits *config.Limits
	sink   Sink
	rev    int64
	whole  bool                     // a whole list has come
	list   map[string]engine.Server // as the board has it, for another generation of this router
	odd    int64                    // the last number told that is not that of the last event
	addr   string
	conn   *conn // nil: none stands
}

// New makes a follower that knows nothing yet.
func New(limits *config.Limits, sink Sink) *Follower {
	return &Follower{limits: limits, sink: sink, list: map[string]engine.Server{}}
}

// Apply hands on what is new in n.
func (f *Follower) Apply(n *News) {
	gap := false
	for _, e := range n.Notices {
		if e.Rev <= f.rev {
			continue
		}
		gap = gap || f.rev > 0 && e.Rev > f.rev+1
		f.rev = e.Rev
		if e.Pool != nil {
			scope := "diff"
			switch {
			case !f.whole:
				scope = "disk"
			case e.Pool.All:
				scope = "snapshot"
			}
			f.whole = true
			var list []engine.Server
			if scope != "diff" {
				clear(f.list)
			}
			for _, t := range e.Pool.Targets {
				list = append(list, engine.Server{Endpoint: t.Endpoint, Entry: policy.Entry{
					Server: t.UID, Zone: t.AZ, Kind: t.Model, Cell: t.PodGroup, State: states[t.State],
					Weight: t.CapacityHint, Born: settings.Micros(t.BootMS)}})
				s := list[len(list)-1]
				if f.list[s.Server] = s; s.State == "left" {
					delete(f.list, s.Server)
				}
			}
			f.sink.Members(scope, list)
		}
		if p := e.Flush; p != nil {
			var object string
			var group int64
			if p.Asset != nil {
				object = *p.Asset
			} else {
				group = *p.Collection
			}
			f.sink.Purge(object, group, p.MS*1000)
		}
	}
	if n.Rev > 0 && n.Rev != f.rev && f.whole && n.Rev != f.odd { // told once for each number
		f.odd, gap = n.Rev, true
	}
	f.rev = max(f.rev, n.Rev)
	if gap {
		f.sink.BoardGap()
	}
}

// Known is how far the board was followed and the list as it stands, between two
// calls of Run.
func (f *Follower) Known() (rev int64, list []engine.Server) {
	for _, id := range slices.Sorted(maps.Keys(f.list)) {
		list = append(list, f.list[id])
	}
	return f.rev, list
}

// Resume goes on behind an event up to which another generation of this router has
// followed the board, with the list as it stood then; where this one has come
// further already, with its own. The sink is told the whole list in any case.
func (f *Follower) Resume(rev int64, list []engine.Server) {
	if rev >= f.rev && len(list) > 0 {
		f.rev, f.whole, f.odd = rev, true, 0
		clear(f.list)
		for _, s := range list {
			f.list[s.Server] = s
		}
	}
	if _, list = f.Known(); len(list) > 0 {
		f.sink.Members("snapshot", list)
	}
}

// Run polls the board at an address until the context ends; run again at another,
// it goes on behind the last event. After a failure the last list stays.
func (f *Follower) Run(ctx context.Context, addr string) {
	f.addr, f.conn = addr, nil // a connection of before was closed by its context
	wait, lost := time.Duration(0), false
	for ctx.Err() == nil {
		news, err := f.fetch(ctx)
		if err == nil {
			if lost {
				f.sink.BoardBack()
			}
			f.Apply(news)
			wait, lost = 0, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !lost {
			f.sink.BoardLost(err)
		}
		lost = true
		wait = min(max(2*wait, f.limits.RetryFirst), f.limits.RetryMost)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// fetch brings the next news over the connection that stands, or a new one. One
// that failed, or that the board ends, is not kept.
func (f *Follower) fetch(ctx context.Context) (news *News, err error) {
	c := f.conn
	if c == nil {
		if c, err = f.dial(ctx); err != nil {
			return nil, err
		}
	}
	news, err = f.poll(c)
	if f.conn = c; err != nil || c.last {
		c.unget()
		c.Close()
		f.conn = nil
	}
	return news, err
}

type conn struct {
	net.Conn
	r     *bufio.Reader
	unget func() bool // ends the watch on the context
	last  bool        // the board ends it behind its answer
}

func (f *Follower) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: f.limits.PollSlack}
	sock, err := d.DialContext(ctx, "tcp", f.addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: sock, r: bufio.NewReaderSize(sock, bufferpool.Size),
		unget: context.AfterFunc(ctx, func() { sock.Close() })}, nil
}

// poll asks for what comes behind the last event.
func (f *Follower) poll(c *conn) (*News, error) {
	target := "/board/poll?watch=" + strconv.FormatInt(f.rev, 10) +
		"&linger=" + strconv.FormatInt(f.limits.Linger.Milliseconds(), 10)
	c.SetDeadline(time.Now().Add(f.limits.Linger + f.limits.PollSlack))
	if _, err := c.Write(http1.AppendRequest(nil, "GET", target, http1.Field{Name: "Host", Value: f.addr})); err != nil {
		return nil, err
	}
	h, err := http1.ReadResponse(c.r, http1.Bounds{Bytes: f.limits.Head, Fields: f.limits.Fields, Body: f.limits.News})
	if err != nil {
		return nil, err
	}
	if h.Status != 200 {
		return nil, fmt.Errorf("status %d", h.Status)
	}
	var body []byte
	var from io.Reader = c.r
	if h.Chunked {
		from = httputil.NewChunkedReader(c.r)
	}
	if h.Length >= 0 {
		body = make([]byte, h.Length)
		_, err = io.ReadFull(c.r, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(from, int64(f.limits.News)+1))
		if len(body) > f.limits.News {
			err = errors.New("answer too long")
		}
	}
	if err != nil {
		return nil, err
	}
	c.last = h.Close || h.Length < 0 // trailers behind chunks are not worth reading
	return Parse(body)
}
