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

// Handler takes the events, in order. At is in whole microseconds of Unix time.
type Handler interface {
	EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint)
	Purge(object string, group, at int64)
	DiscoveryLost(err error) // after the first failed poll in a row
	DiscoveryRestored()
	DiscoveryGap() // events were never told, or are numbered anew
}

// Update is the form of the board's answers, and of what is known at the start.
type Update struct {
	Revision int64    `json:"Rev"`
	Events   []notice `json:"Notices"`
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

var states = map[string]policy.EndpointState{
	"ready":    policy.EndpointActive,
	"draining": policy.EndpointDraining,
	"gone":     policy.EndpointGone,
}

// Parse reads news and checks that all of it can be used.
func Parse(text []byte) (*Update, error) {
	var n Update
	if err := json.Unmarshal(text, &n); err != nil {
		return nil, err
	}
	for _, e := range n.Events {
		if e.Flush != nil && e.Flush.Asset == nil && e.Flush.Collection == nil {
			return nil, fmt.Errorf("notice %d: flush without asset or collection", e.Rev)
		}
		if e.Pool == nil {
			continue
		}
		for _, t := range e.Pool.Targets {
			if !cacheproto.IsPlain(t.UID) || states[t.State] == "" {
				return nil, fmt.Errorf("notice %d: target %.40q in state %.20q", e.Rev, t.UID, t.State)
			}
		}
	}
	return &n, nil
}

// Watcher knows how far the board was followed.
type Watcher struct {
	limits *config.Limits
	sink   Handler
	rev    int64
	whole  bool                       // a whole list has come
	list   map[string]engine.Endpoint // as the board has it, for another generation of this router
	odd    int64                      // the last number told that is not that of the last event
	addr   string
	conn   *conn // nil: none stands
}

// New makes a follower that knows nothing yet.
func New(limits *config.Limits, sink Handler) *Watcher {
	return &Watcher{limits: limits, sink: sink, list: map[string]engine.Endpoint{}}
}

// Apply hands on what is new in n.
func (f *Watcher) Apply(n *Update) {
	gap := false
	for _, e := range n.Events {
		if e.Rev <= f.rev {
			continue
		}
		gap = gap || f.rev > 0 && e.Rev > f.rev+1
		f.rev = e.Rev
		if e.Pool != nil {
			scope := policy.ScopeDiff
			switch {
			case !f.whole:
				scope = policy.ScopeDisk
			case e.Pool.All:
				scope = policy.ScopeSnapshot
			}
			f.whole = true
			var list []engine.Endpoint
			if scope != policy.ScopeDiff {
				clear(f.list)
			}
			for _, t := range e.Pool.Targets {
				list = append(list, engine.Endpoint{Address: t.Endpoint, Endpoint: policy.Endpoint{
					ID: t.UID, Zone: t.AZ, Kind: t.Model, Cell: t.PodGroup, State: states[t.State],
					Weight: t.CapacityHint, StartedAt: settings.Micros(t.BootMS),
				}})
				s := list[len(list)-1]
				if f.list[s.ID] = s; s.State == policy.EndpointGone {
					delete(f.list, s.ID)
				}
			}
			f.sink.EndpointsChanged(scope, list)
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
	if n.Revision > 0 && n.Revision != f.rev && f.whole && n.Revision != f.odd { // told once for each number
		f.odd, gap = n.Revision, true
	}
	f.rev = max(f.rev, n.Revision)
	if gap {
		f.sink.DiscoveryGap()
	}
}

// Snapshot is how far the board was followed and the list as it stands, between two
// calls of Run.
func (f *Watcher) Snapshot() (rev int64, list []engine.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(f.list)) {
		list = append(list, f.list[id])
	}
	return f.rev, list
}

// Resume goes on behind an event up to which another generation of this router has
// followed the board, with the list as it stood then; where this one has come
// further already, with its own. The sink is told the whole list in any case.
func (f *Watcher) Resume(rev int64, list []engine.Endpoint) {
	if rev >= f.rev && len(list) > 0 {
		f.rev, f.whole, f.odd = rev, true, 0
		clear(f.list)
		for _, s := range list {
			f.list[s.ID] = s
		}
	}
	if _, list = f.Snapshot(); len(list) > 0 {
		f.sink.EndpointsChanged(policy.ScopeSnapshot, list)
	}
}

// Run polls the board at an address until the context ends; run again at another,
// it goes on behind the last event. After a failure the last list stays.
func (f *Watcher) Run(ctx context.Context, addr string) {
	f.addr, f.conn = addr, nil // a connection of before was closed by its context
	wait, lost := time.Duration(0), false
	for ctx.Err() == nil {
		news, err := f.fetch(ctx)
		if err == nil {
			if lost {
				f.sink.DiscoveryRestored()
			}
			f.Apply(news)
			wait, lost = 0, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !lost {
			f.sink.DiscoveryLost(err)
		}
		lost = true
		wait = min(max(2*wait, f.limits.PollBackoffMin), f.limits.PollBackoffMax)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// fetch brings the next news over the connection that stands, or a new one. One
// that failed, or that the board ends, is not kept.
func (f *Watcher) fetch(ctx context.Context) (news *Update, err error) {
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

func (f *Watcher) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: f.limits.PollGrace}
	sock, err := d.DialContext(ctx, "tcp", f.addr)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: sock, r: bufio.NewReaderSize(sock, bufferpool.Size),
		unget: context.AfterFunc(ctx, func() { sock.Close() }),
	}, nil
}

// poll asks for what comes behind the last event.
func (f *Watcher) poll(c *conn) (*Update, error) {
	target := "/board/poll?watch=" + strconv.FormatInt(f.rev, 10) +
		"&linger=" + strconv.FormatInt(f.limits.PollWait.Milliseconds(), 10)
	c.SetDeadline(time.Now().Add(f.limits.PollWait + f.limits.PollGrace))
	if _, err := c.Write(http1.AppendRequest(nil, "GET", target, http1.Field{Name: "Host", Value: f.addr})); err != nil {
		return nil, err
	}
	h, err := http1.ReadResponse(c.r, http1.Limits{MaxBytes: f.limits.MaxHeadBytes, MaxFields: f.limits.MaxHeaderFields, MaxBody: f.limits.MaxDiscoveryBody})
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
	if h.ContentLength >= 0 {
		body = make([]byte, h.ContentLength)
		_, err = io.ReadFull(c.r, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(from, int64(f.limits.MaxDiscoveryBody)+1))
		if len(body) > f.limits.MaxDiscoveryBody {
			err = errors.New("answer too long")
		}
	}
	if err != nil {
		return nil, err
	}
	c.last = h.Close || h.ContentLength < 0 // trailers behind chunks are not worth reading
	return Parse(body)
}
