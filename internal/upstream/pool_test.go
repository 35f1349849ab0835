package upstream

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// testPool is a pool and the listener of an endpoint that answers nothing by itself.
type testPool struct {
	*Pool
	net.Listener
	outcomes chan policy.Outcome // of attempts that ended
}

func newTestPool(t *testing.T, change func(*config.Limits)) *testPool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := &config.Limits{
		MaxUpstreamConns:    8,
		MaxConnsPerEndpoint: 4,
		MaxStreamsPerConn:   2,
		MaxResponseBody:     1000,
		ConnectTimeout:      5 * time.Second,
		WriteTimeout:        5 * time.Second,
		ResponseReadTimeout: 5 * time.Second,
		ReadStallTimeout:    5 * time.Second,
		MaxDecisionAge:      5 * time.Second,
	}
	if change != nil {
		change(limits)
	}
	pool := &testPool{Listener: l, outcomes: make(chan policy.Outcome, 100)}
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetLevel(logrus.ErrorLevel)
	ended := func(_ *engine.Attempt, result engine.Result) { pool.outcomes <- result.Outcome }
	pool.Pool = New(limits, bufferpool.NewPool(1<<20), ended, log)
	t.Cleanup(func() {
		l.Close()
		pool.Close()
	})
	return pool
}

func (pool *testPool) Close() { pool.Pool.Close() }

func (pool *testPool) call(id string) *Call {
	endpoint := &engine.Endpoint{Endpoint: policy.Endpoint{ID: "c"}, Address: pool.Addr().String()}
	return &Call{Class: "page", Object: "x", Attempt: &engine.Attempt{
		Request: &engine.Request{ID: id}, Endpoint: endpoint,
		DecidedAt: time.Now().UnixMicro(), Deadline: time.Now().Add(time.Second).UnixMicro(),
	}}
}

// accept accepts a connection and reads its first line.
func (pool *testPool) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := pool.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	r := bufio.NewReader(c)
	if _, err := r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	return c, r
}

// sendOnNewConn sends the call a, for which the pool must open a connection, and accepts that.
func (pool *testPool) sendOnNewConn(t *testing.T) (*Call, net.Conn, *bufio.Reader) {
	t.Helper()
	call := pool.call("a")
	pool.Send(call)
	c, r := pool.accept(t)
	return call, c, r
}

// A machine that has vanished leaves its connections open: each attempt on one
// timed out, where a new connection is refused at once.
func TestSuspectConnectionTakesNothingNew(t *testing.T) {
	pool := newTestPool(t, nil)
	call, c, r := pool.sendOnNewConn(t)
	call.Drop(true)
	r.ReadString('\n') // the empty body's end
	if _, err := r.ReadByte(); err == nil {
		t.Fatal("the connection goes on")
	}
	c.Close()
	if pool.ConnCount() != 0 {
		t.Fatalf("%d connections", pool.ConnCount())
	}
}

func TestDroppedAttemptLeavesItsConnectionToOthers(t *testing.T) {
	pool := newTestPool(t, nil)
	call, c, r := pool.sendOnNewConn(t)
	call.Drop(false)
	r.ReadString('\n')
	if line, _ := r.ReadString('\n'); line != "DROP a\r\n" {
		t.Fatalf("%q", line)
	}
	// A late response to it is no violation, and ends no attempt.
	pool.Send(pool.call("b"))
	r.ReadString('\n')
	c.Write([]byte("a EIO - 2\r\nxx\r\nb NOENT - 0\r\n\r\n"))
	if outcome := <-pool.outcomes; outcome != policy.OutcomeMiss || pool.ConnCount() != 1 {
		t.Fatalf("%s over %d connections", outcome, pool.ConnCount())
	}
	// A request's next attempt must not share a connection with its last.
	pool.Send(pool.call("c"))
	pool.Send(pool.call("c"))
	if pool.accept(t); pool.ConnCount() != 2 {
		t.Fatalf("%d connections", pool.ConnCount())
	}
}

func TestConnectionsAreBoundedAndShared(t *testing.T) {
	pool := newTestPool(t, func(l *config.Limits) { l.MaxUpstreamConns = 2 })
	for _, id := range []string{"a", "b", "c", "d"} {
		pool.Send(pool.call(id))
	}
	if pool.ConnCount() != 2 {
		t.Fatalf("%d connections", pool.ConnCount())
	}
	pool.Send(pool.call("e")) // two attempts on each: at the bound
	if outcome := <-pool.outcomes; outcome != policy.OutcomeConnectionRefused {
		t.Fatal(outcome)
	}
}

// An attempt that waited for its connection was once sent to a draining endpoint.
func TestDrainingEndpointGetsNoWaitingAttempt(t *testing.T) {
	pool := newTestPool(t, nil)
	call := pool.call("a")
	call.conn = &conn{pool: pool.Pool, calls: map[string]*Call{"a": call}, cancelDial: func() {}} // being dialled
	peer := &peer{peerKey: keyOf(call.Attempt.Endpoint), conns: []*conn{call.conn}}
	call.conn.peer = peer
	pool.peers[peer.peerKey] = peer
	pool.connCount = 1
	pool.Drain([]*engine.Endpoint{call.Attempt.Endpoint})
	if outcome := <-pool.outcomes; outcome != policy.OutcomeSkipped || call.Attempt.Begin() || pool.ConnCount() != 0 {
		t.Fatalf("%s, %d connections", outcome, pool.ConnCount())
	}
}

func TestBrokenConnectionEndsItsAttempts(t *testing.T) {
	for _, text := range []string{
		"", "a HELLO - 0\r\n\r\n", "a READY\r\n", "a ACK entity=e 0\r\n\r\n",
		"a ACK issued=7 0\r\n\r\n", "a NOMOD entity=e,issued=7 0\r\n\r\n",
		"a EIO - 9\r\n1234", "a EIO - 3000000000\r\n",
	} {
		pool := newTestPool(t, nil)
		_, c, _ := pool.sendOnNewConn(t)
		c.Write([]byte(text))
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Log(err) // the pool may have closed it already
		}
		if outcome := <-pool.outcomes; outcome != policy.OutcomeConnectionReset {
			t.Errorf("%q: %s", text, outcome)
		}
	}
}

// A second response, or one under an unknown id, once closed the connection over all
// attempts on it; and the second one must not answer the request's next attempt.
func TestUnexpectedResponsesAreDiscarded(t *testing.T) {
	pool := newTestPool(t, nil)
	_, c, r := pool.sendOnNewConn(t)
	r.ReadString('\n')
	c.Write([]byte("x ACK entity=e,issued=7 2\r\nxx\r\nx READY\r\na NOENT - 0\r\n\r\n"))
	if outcome := <-pool.outcomes; outcome != policy.OutcomeMiss {
		t.Fatal(outcome)
	}
	pool.Send(pool.call("a"))
	pool.accept(t) // on a connection of its own
	c.Write([]byte("a NOENT - 0\r\n\r\n"))
	pool.Send(pool.call("b"))
	r.ReadString('\n')
	c.Write([]byte("b AGAIN - 0\r\n\r\n"))
	if outcome := <-pool.outcomes; outcome != policy.OutcomeBusy || pool.ConnCount() != 2 {
		t.Fatalf("%s over %d connections", outcome, pool.ConnCount())
	}
}

// Half a response once held its connection for the longest time limit and more.
func TestStalledResponseEndsItsConnection(t *testing.T) {
	pool := newTestPool(t, func(l *config.Limits) { l.ReadStallTimeout = 10 * time.Millisecond })
	_, c, _ := pool.sendOnNewConn(t)
	c.Write([]byte("a ACK entity=e,issued=7 9\r\n1234"))
	if outcome := <-pool.outcomes; outcome != policy.OutcomeConnectionReset {
		t.Fatal(outcome)
	}
}

// A peer whose only connection was evicted for a new one to it would be missed by
// Sweep and Close.
func TestEvictionForItsOwnPeerKeepsThePeer(t *testing.T) {
	pool := newTestPool(t, func(l *config.Limits) { l.MaxUpstreamConns = 1 })
	_, c, _ := pool.sendOnNewConn(t)
	c.Write([]byte("a NOENT - 0\r\n\r\n"))
	<-pool.outcomes
	pool.Send(pool.call("a")) // not on the connection that may still bring a copy
	pool.accept(t)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.peers) != 1 || pool.connCount != 1 {
		t.Fatalf("%d peers for %d connections", len(pool.peers), pool.connCount)
	}
}

// Endpoints that come and go all day once left their peers in memory, also by attempts
// that were sent as the endpoint drained.
func TestPeersEndWithTheirConnections(t *testing.T) {
	pool := newTestPool(t, nil)
	call := pool.call("a")
	pool.Send(call)
	pool.accept(t)
	pool.Drain([]*engine.Endpoint{call.Attempt.Endpoint})
	g := pool.call("b")
	pool.Send(g)
	c, _ := pool.accept(t)
	c.Close()
	<-pool.outcomes
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.peers) != 0 {
		t.Fatalf("%d peers", len(pool.peers))
	}
}

// A decision must still hold when it is written: the deadline, the window of an
// idempotency key, and the age after which drains and purges bind it.
func TestExpiredDecisionIsNotWritten(t *testing.T) {
	pool := newTestPool(t, func(l *config.Limits) { l.MaxDecisionAge = time.Second })
	for name, change := range map[string]func(attempt *engine.Attempt, now int64){
		"the deadline has passed": func(attempt *engine.Attempt, now int64) { attempt.Deadline = now },
		"the window has closed":   func(attempt *engine.Attempt, now int64) { attempt.SendBefore = now },
		"the decision is too old": func(attempt *engine.Attempt, now int64) { attempt.DecidedAt = now - 2e6 },
	} {
		call := pool.call("late")
		change(call.Attempt, time.Now().UnixMicro())
		pool.Send(call)
		if got := <-pool.outcomes; got != policy.OutcomeSkipped {
			t.Errorf("%s: %s", name, got)
		}
	}
	valid := pool.call("good") // on the same connection, which is idle again
	valid.Attempt.SendBefore = time.Now().Add(5 * time.Second).UnixMicro()
	pool.Send(valid)
	c, err := pool.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if line, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "GET good ") {
		t.Errorf("first on the wire: %q, %v", line, err)
	}
}

// An attempt whose request ended before it came to a connection opens none.
func TestWithdrawnAttemptOpensNoConnection(t *testing.T) {
	pool := newTestPool(t, nil)
	call := pool.call("gone")
	call.Attempt.Withdraw()
	pool.Send(call)
	if n := pool.ConnCount(); n != 0 {
		t.Errorf("%d connections", n)
	}
}
