// Package downstream serves clients: the listener, their connections, and the life
// of each txn from its request to its answer.
package downstream

import (
	"errors"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/config"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/engine"
	"quilldoor/internal/gateway"
	"quilldoor/internal/http1"
	"quilldoor/internal/invariant"
	"quilldoor/internal/stall"
	"quilldoor/internal/upstream"
)

// Server serves clients on one listener.
type Server struct {
	core     *engine.Engine
	up       *upstream.Pool
	bodies   *bufferpool.Pool
	limits   *config.Limits
	shelf    atomic.Pointer[diskrunner.Cache] // nil: no copies of its own
	gate     atomic.Pointer[gateway.Gateway]  // nil: no other site
	late     atomic.Int64                     // answers after their time limits
	ends     [endKinds]atomic.Int64           // answers since the start
	worth    worth                            // of them
	flow     float64                          // bytes a second of a sending client; 0: not told
	acts     *invariant.Recorder              // nil: nobody looks on
	moving   atomic.Bool                      // clients are to come back on new connections
	ready    atomic.Bool
	draining atomic.Bool
	still    stall.Detector
	start    time.Time // of the steady clock that still is asked by

	mu      sync.Mutex
	clients map[*client]struct{}
	most    int       // clients
	crowd   bool      // the bound on clients holds no more
	room    sync.Cond // for another client
	none    sync.Cond // no client is left
}

// New makes a front; it is ready once told so.
func New(c *engine.Engine, up *upstream.Pool, bodies *bufferpool.Pool, limits *config.Limits) *Server {
	f := &Server{core: c, up: up, bodies: bodies, limits: limits, clients: map[*client]struct{}{}, most: limits.MaxClients, start: time.Now()}
	f.worth.rules = map[string][3]float64{}
	f.room.L, f.none.L = &f.mu, &f.mu
	return f
}

// SetDiskCache makes the front answer from a shelf what it can; nil: from none.
func (f *Server) SetDiskCache(s *diskrunner.Cache) { f.shelf.Store(s) }

// SetGateway lets the front hand over to another site what the module refuses; nil: not
// any more.
func (f *Server) SetGateway(g *gateway.Gateway) { f.gate.Store(g) }

// RequestCounts are how many txns ended how since the start. Left: the client went without
// an answer. Late are of all answers.
type RequestCounts struct {
	Completed, Rejected, Aborted, ClientGone, Late int64

	WeightOffered, WeightEarned float64               // importance, by the remap rules
	LogLatencySum               float64               // sum of ln(time / SLA time) of the completed
	Attempts                    int64                 // of all txns
	Classes                     map[string][3]float64 // by remap rule: txns, importance asked for and earned
}

// worth sums importance, times and hops. It is kept since the start.
type worth struct {
	mu            sync.Mutex
	asked, earned float64
	time          float64
	hops          int64
	rules         map[string][3]float64
}

// earn counts a txn's importance, and what its answer earns of it: all within the
// rule's SLA time and its own sending time, a share after it.
func (f *Server) earn(a *ask, completed bool, bytes, hops int) {
	const leastTime = 1000.0 // microseconds: what is sooner is as good
	rule, _ := f.core.Class(a.event.Class)
	got, took := 0.0, 0.0
	if completed {
		sla := float64(rule.LatencyObjective)
		if f.flow > 0 {
			sla += rule.ObjectiveStretch * float64(bytes) / f.flow * 1e6
		}
		t := float64((time.Since(a.first) + a.waited).Microseconds())
		if got = rule.PriorityWeight; t > sla {
			got *= rule.LateValueShare
		}
		took = math.Log(max(t, leastTime) / max(sla, leastTime))
	}
	w := &f.worth
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked += rule.PriorityWeight
	w.earned += got
	w.time += took
	w.hops += int64(hops)
	sum := w.rules[rule.Name] // the settings bound their names
	w.rules[rule.Name] = [3]float64{sum[0] + 1, sum[1] + rule.PriorityWeight, sum[2] + got}
}

// SetRecorder lets somebody look on, before it serves.
func (f *Server) SetRecorder(r *invariant.Recorder) { f.acts = r }

// SetClientRate sets the pace at which a client is sent to, bytes a second, before it serves.
func (f *Server) SetClientRate(bytesPerS int64) { f.flow = float64(bytesPerS) }

const (
	endCompleted = iota
	endRejected
	endAborted
	endLeft
	endLate
	endKinds
)

// RequestCounts tells them.
func (f *Server) RequestCounts() RequestCounts {
	f.worth.mu.Lock()
	defer f.worth.mu.Unlock()
	return RequestCounts{
		f.ends[endCompleted].Load(), f.ends[endRejected].Load(), f.ends[endAborted].Load(), f.ends[endLeft].Load(), f.ends[endLate].Load(),
		f.worth.asked, f.worth.earned, f.worth.time, f.worth.hops, maps.Clone(f.worth.rules),
	}
}

// SetMigrating makes every further answer the last on its connection, so that clients come
// back on new ones; idle ones stay until their next request. False ends that.
func (f *Server) SetMigrating(on bool) { f.moving.Store(on) }

// SetMaxClients sets how many clients there may be; those that there are stay.
func (f *Server) SetMaxClients(clients int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.most = clients
	f.room.Signal()
}

// MarkReady lets the health check pass; true: it did not before.
func (f *Server) MarkReady() bool { return f.ready.CompareAndSwap(false, true) }

// IsReady tells whether the health check passes.
func (f *Server) IsReady() bool { return f.ready.Load() }

// AwaitMigration waits until clients that are to come back on new connections have gone: the
// idle ones close theirs, or ask once more. No longer than the time.
func (f *Server) AwaitMigration(within time.Duration) {
	const every = 50 * time.Millisecond
	for until := time.Now().Add(within); f.Clients() > 0 && time.Now().Before(until); {
		time.Sleep(every)
	}
}

// MonitorStalls notices standstills of the process until stop is closed.
func (f *Server) MonitorStalls(stop <-chan struct{}) {
	every := time.NewTicker(stall.TickIntervalMicros * time.Microsecond)
	defer every.Stop()
	for {
		f.still.Tick(time.Since(f.start).Microseconds())
		select {
		case <-stop:
			return
		case <-every.C:
		}
	}
}

// Serve accepts clients until the listener is closed or its deadline passes.
// Above the bound on clients it makes one give way and waits until it has left.
func (f *Server) Serve(l net.Listener) error {
	var pause time.Duration
	for {
		sock, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			if !passes(err) {
				return err
			}
			pause = min(max(2*pause, f.limits.PollBackoffMin), f.limits.PollBackoffMax)
			time.Sleep(pause)
			continue
		}
		pause = 0
		c := newClient(sock)
		f.mu.Lock()
		for len(f.clients) >= f.most && !f.crowd {
			f.giveWay()
			f.room.Wait()
		}
		f.clients[c] = struct{}{}
		f.mu.Unlock()
		go f.serve(c)
	}
}

// passes tells whether accepting may go on later: descriptors or memory are short, or
// the error is that of the new connection (accept(2) names them).
func passes(err error) bool {
	var temporary interface{ Temporary() bool }
	if errors.As(err, &temporary) && temporary.Temporary() {
		return true
	}
	var code syscall.Errno
	return errors.As(err, &code) && slices.Contains([]syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
		syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ECONNABORTED,
	}, code)
}

// giveWay closes a connection on which no txn is open: the oldest of those that
// never had an answer, else the one idle longest. Silent clients come by the
// hundreds and go first; a usual one asks again on a new connection.
func (f *Server) giveWay() {
	var first *client
	for c := range f.clients {
		if c.state == busy || c.state == over {
			continue
		}
		if first == nil || first.asked && !c.asked || first.asked == c.asked && c.since.Before(first.since) {
			first = c
		}
	}
	if first != nil {
		first.state = over
		first.Close()
	}
}

// SuspendClientLimit lifts the bound on clients: at the end whoever waits for room is served,
// since the listener's deadline would not wake Serve. False sets it again.
func (f *Server) SuspendClientLimit(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crowd = on
	f.room.Signal()
}

// Drain makes every further answer the last on its connection, shuts idle
// connections, and waits until the others have ended, or the time is over.
// Nothing is begun on a connection that was shut.
func (f *Server) Drain(within time.Duration) (left int) {
	f.draining.Store(true)
	end := time.AfterFunc(within, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.none.Broadcast()
	})
	defer end.Stop()
	until := time.Now().Add(within)
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		if c.state != waiting {
			continue
		}
		if readable, _ := c.look(); !readable { // else a request came before this side was shut
			c.state = over
			c.SetReadDeadline(time.Now()) // wakes its goroutine, which shuts it
		}
	}
	for len(f.clients) > 0 && time.Now().Before(until) {
		f.none.Wait()
	}
	return len(f.clients)
}

// CollectStats tells how many clients there are, and how many answers came late since
// it was last asked.
func (f *Server) CollectStats() (clients int, late int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients), f.late.Swap(0)
}

// Clients tells how many clients there are.
func (f *Server) Clients() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients)
}

// turn notes a connection's state; who has become idle may give way. False: it
// has been closed to that end, and nothing must be begun for it.
func (f *Server) turn(c *client, to state) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.state == over {
		return false
	}
	if c.state = to; to == waiting {
		c.asked, c.since = true, time.Now()
		f.room.Signal()
	}
	return true
}

// serve is the life of a client's connection.
func (f *Server) serve(c *client) {
	defer func() {
		c.shut(f.limits.LingeringCloseTimeout, f.limits.MaxDiscardBytes)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.clients, c)
		f.room.Signal()
		if len(f.clients) == 0 {
			f.none.Broadcast()
		}
	}()
	for f.next(c) && f.request(c) {
		if f.draining.Load() {
			return
		}
		if !f.turn(c, waiting) {
			return
		}
	}
}

// next waits for the first byte of a request. A client that never had an answer
// has one time for that and for its whole request: it is owed an end.
func (f *Server) next(c *client) bool {
	f.mu.Lock()
	if c.state == over { // Drain's wake came before this deadline
		f.mu.Unlock()
		return false
	}
	c.until = c.since.Add(f.limits.RequestReadTimeout)
	if c.asked {
		c.SetReadDeadline(time.Now().Add(f.limits.ClientIdleTimeout))
	} else {
		c.SetReadDeadline(c.until)
	}
	f.mu.Unlock()
	if _, err := c.r.Peek(1); err != nil {
		return false
	}
	if c.asked {
		// From now: of what was sent early the time before was another txn's.
		c.until = time.Now().Add(f.limits.RequestReadTimeout)
		c.SetReadDeadline(c.until)
	}
	return f.turn(c, sending)
}

// request serves one request; false: the connection is to be closed.
func (f *Server) request(c *client) bool {
	first := c.tap.came(c.r.Buffered())
	h, err := http1.ReadRequest(c.r, http1.Limits{MaxBytes: f.limits.MaxHeadBytes, MaxFields: f.limits.MaxHeaderFields, MaxBody: f.limits.MaxRequestBody})
	if err != nil {
		var fault *http1.Error
		if errors.As(err, &fault) {
			f.plain(c, fault.Status, true)
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			f.plain(c, 408, true)
		}
		return false
	}
	if h.ExpectContinue && h.ContentLength > 0 {
		if f.write(c, c.until, []byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
			return false
		}
	}
	var body *bufferpool.Body
	if h.ContentLength > 0 {
		if body, err = f.bodies.ReadBody(c.r, h.ContentLength); err != nil && err != bufferpool.ErrFull {
			return false // half a body: nobody waits for an answer, or it stalled
		}
		defer body.Release()
	}
	if !f.turn(c, busy) {
		return false
	}
	last := h.Close || f.draining.Load() || f.moving.Load()
	var t *ask
	status := 503
	switch {
	case h.Target == "/health" && h.Method == "GET":
		if f.ready.Load() {
			status = 200
		}
	case err == bufferpool.ErrFull: // it never ran
	default:
		t, status = f.parse(h)
	}
	if t == nil {
		return f.plain(c, status, last) && !last
	}
	t.body, t.first = body, first
	t.waited = time.Duration(f.still.MaxWaitMicros(first.Sub(f.start).Microseconds())) * time.Microsecond
	return f.txn(c, t, last) && !last
}

// plain answers without a body. What fits no socket's buffer isn't worth a wait.
func (f *Server) plain(c *client, status int, last bool) bool {
	return f.write(c, time.Now().Add(f.limits.LingeringCloseTimeout), http1.AppendResponse(nil, status, 0, last)) == nil
}

func (f *Server) write(c *client, until time.Time, bufs ...[]byte) error {
	c.SetWriteDeadline(until)
	list := net.Buffers(bufs)
	_, err := list.WriteTo(c.Conn)
	return err
}
