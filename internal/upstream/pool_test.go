package upstream

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/clock"
	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
	"quilldoor/internal/testsupport"
)

// testPool is a pool and the listener of an endpoint. The test sends the endpoint's
// responses itself.
type testPool struct {
	*Pool
	net.Listener
	outcomes chan policy.Outcome // of the attempts that were reported
}

// newTestPool starts a pool with small limits, which configure changes; nil: it changes none.
func newTestPool(t *testing.T, configure func(*config.Limits)) *testPool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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
	if configure != nil {
		configure(limits)
	}
	pool := &testPool{Listener: listener, outcomes: make(chan policy.Outcome, 100)}
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetLevel(logrus.ErrorLevel)
	reportResult := func(_ *engine.Attempt, result engine.Result) { pool.outcomes <- result.Outcome }
	pool.Pool = New(limits, bufferpool.NewPool(1<<20), reportResult, log)
	t.Cleanup(func() {
		listener.Close()
		pool.Close()
	})
	return pool
}

// Close resolves the conflict of the two embedded Close methods.
func (pool *testPool) Close() { pool.Pool.Close() }

// call makes a call to the endpoint that has a second until its deadline.
func (pool *testPool) call(id string) *Call {
	endpoint := &engine.Endpoint{Endpoint: policy.Endpoint{ID: "c"}, Address: pool.Addr().String()}
	return &Call{Class: "page", Object: "x", Attempt: &engine.Attempt{
		Request: &engine.Request{ID: id}, Endpoint: endpoint,
		DecidedAt: time.Now().UnixMicro(), Deadline: time.Now().Add(time.Second).UnixMicro(),
	}}
}

// accept accepts a connection and reads the first line, which is a command.
func (pool *testPool) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := pool.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	reader := bufio.NewReader(conn)
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	return conn, reader
}

// sendOnNewConn sends the call "a", for which the pool must open a connection, and accepts
// the connection. The end of the call's empty body is left to read.
func (pool *testPool) sendOnNewConn(t *testing.T) (*Call, net.Conn, *bufio.Reader) {
	t.Helper()
	call := pool.call("a")
	pool.Send(call)
	conn, reader := pool.accept(t)
	return call, conn, reader
}

// A machine that fails without closing its connections lets every attempt on them time
// out, while a new connection is refused at once. A connection with no response until the
// timeout must therefore close.
func TestSuspectConnectionTakesNothingNew(t *testing.T) {
	pool := newTestPool(t, nil)
	call, conn, reader := pool.sendOnNewConn(t)
	call.Drop(true)
	reader.ReadString('\n') // the end of the empty body
	if _, err := reader.ReadByte(); err == nil {
		t.Fatal("the suspect connection is still open")
	}
	conn.Close()
	if pool.ConnCount() != 0 {
		t.Fatalf("%d connections, want 0", pool.ConnCount())
	}
}

// A dropped attempt must not affect the other attempts on its connection, and the next
// attempt of its request must not use that connection.
func TestDroppedAttemptLeavesItsConnectionToOthers(t *testing.T) {
	pool := newTestPool(t, nil)
	call, conn, reader := pool.sendOnNewConn(t)
	call.Drop(false)
	reader.ReadString('\n')
	if line, _ := reader.ReadString('\n'); line != "DROP a\r\n" {
		t.Fatalf("read %q, want a drop of a", line)
	}
	// A late response to the dropped attempt is no violation, and ends no attempt.
	pool.Send(pool.call("b"))
	reader.ReadString('\n')
	conn.Write([]byte("a EIO - 2\r\nxx\r\nb NOENT - 0\r\n\r\n"))
	if outcome := <-pool.outcomes; outcome != policy.OutcomeMiss || pool.ConnCount() != 1 {
		t.Fatalf("outcome %s with %d connections, want %s with 1", outcome, pool.ConnCount(), policy.OutcomeMiss)
	}
	// Attempts of the same request must not share a connection.
	pool.Send(pool.call("c"))
	pool.Send(pool.call("c"))
	if pool.accept(t); pool.ConnCount() != 2 {
		t.Fatalf("%d connections, want 2", pool.ConnCount())
	}
}

// Attempts beyond the bounds on connections, and on attempts for each connection, must be
// refused.
func TestConnectionsAreBoundedAndShared(t *testing.T) {
	pool := newTestPool(t, func(limits *config.Limits) { limits.MaxUpstreamConns = 2 })
	for _, id := range []string{"a", "b", "c", "d"} {
		pool.Send(pool.call(id))
	}
	if pool.ConnCount() != 2 {
		t.Fatalf("%d connections, want 2", pool.ConnCount())
	}
	pool.Send(pool.call("e")) // each connection already has its two attempts
	if outcome := <-pool.outcomes; outcome != policy.OutcomeConnectionRefused {
		t.Fatalf("outcome %s, want %s", outcome, policy.OutcomeConnectionRefused)
	}
}

// Guards against sending an attempt to a draining endpoint because it was queued while its
// connection was being dialled.
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
		t.Fatalf("outcome %s with %d connections, want %s with 0 and a withdrawn attempt",
			outcome, pool.ConnCount(), policy.OutcomeSkipped)
	}
}

// A connection that ends, or on which the endpoint violates the protocol, must end its
// attempts with OutcomeConnectionReset.
func TestBrokenConnectionEndsItsAttempts(t *testing.T) {
	for _, text := range []string{
		"", "a HELLO - 0\r\n\r\n", "a READY\r\n", "a ACK entity=e 0\r\n\r\n",
		"a ACK issued=7 0\r\n\r\n", "a NOMOD entity=e,issued=7 0\r\n\r\n",
		"a EIO - 9\r\n1234", "a EIO - 3000000000\r\n",
	} {
		pool := newTestPool(t, nil)
		_, conn, _ := pool.sendOnNewConn(t)
		conn.Write([]byte(text))
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Log(err) // the pool may have closed it already
		}
		if outcome := <-pool.outcomes; outcome != policy.OutcomeConnectionReset {
			t.Errorf("after %q: outcome %s, want %s", text, outcome, policy.OutcomeConnectionReset)
		}
	}
}

// Guards against a second response, or one with an unknown id, closing the connection and
// ending all attempts on it. A second response must not be matched to the next attempt of
// its request either.
func TestUnexpectedResponsesAreDiscarded(t *testing.T) {
	pool := newTestPool(t, nil)
	_, conn, reader := pool.sendOnNewConn(t)
	reader.ReadString('\n')
	conn.Write([]byte("x ACK entity=e,issued=7 2\r\nxx\r\nx READY\r\na NOENT - 0\r\n\r\n"))
	if outcome := <-pool.outcomes; outcome != policy.OutcomeMiss {
		t.Fatalf("outcome %s, want %s", outcome, policy.OutcomeMiss)
	}
	pool.Send(pool.call("a"))
	pool.accept(t) // on a second connection
	conn.Write([]byte("a NOENT - 0\r\n\r\n"))
	pool.Send(pool.call("b"))
	reader.ReadString('\n')
	conn.Write([]byte("b AGAIN - 0\r\n\r\n"))
	if outcome := <-pool.outcomes; outcome != policy.OutcomeBusy || pool.ConnCount() != 2 {
		t.Fatalf("outcome %s with %d connections, want %s with 2", outcome, pool.ConnCount(), policy.OutcomeBusy)
	}
}

// Guards against an incomplete response blocking its connection for the longest request
// timeout or more.
func TestStalledResponseEndsItsConnection(t *testing.T) {
	pool := newTestPool(t, func(limits *config.Limits) { limits.ReadStallTimeout = 10 * time.Millisecond })
	_, conn, _ := pool.sendOnNewConn(t)
	conn.Write([]byte("a ACK entity=e,issued=7 9\r\n1234"))
	if outcome := <-pool.outcomes; outcome != policy.OutcomeConnectionReset {
		t.Fatalf("outcome %s, want %s", outcome, policy.OutcomeConnectionReset)
	}
}

// Evicting the only connection of a peer removes the peer from the pool. If a new
// connection to the same peer replaces it, the peer must be in the pool again: Sweep and
// Close would miss its connections otherwise.
func TestEvictionForItsOwnPeerKeepsThePeer(t *testing.T) {
	pool := newTestPool(t, func(limits *config.Limits) { limits.MaxUpstreamConns = 1 })
	_, conn, _ := pool.sendOnNewConn(t)
	conn.Write([]byte("a NOENT - 0\r\n\r\n"))
	<-pool.outcomes
	pool.Send(pool.call("a")) // on a new connection, since the first may still receive a response with this id
	pool.accept(t)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.peers) != 1 || pool.connCount != 1 {
		t.Fatalf("%d peers and %d connections, want 1 and 1", len(pool.peers), pool.connCount)
	}
}

// Guards against a memory leak by the peers of removed endpoints, which also arises from
// attempts that are sent while their endpoint drains.
func TestPeersEndWithTheirConnections(t *testing.T) {
	pool := newTestPool(t, nil)
	call := pool.call("a")
	pool.Send(call)
	pool.accept(t)
	pool.Drain([]*engine.Endpoint{call.Attempt.Endpoint})
	pool.Send(pool.call("b"))
	conn, _ := pool.accept(t)
	conn.Close()
	<-pool.outcomes
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.peers) != 0 {
		t.Fatalf("%d peers, want 0", len(pool.peers))
	}
}

// An attempt must not be written after its deadline, after the window in which its
// idempotency key is valid, or once its decision is so old that later drains and purges
// apply to it.
func TestExpiredDecisionIsNotWritten(t *testing.T) {
	pool := newTestPool(t, func(limits *config.Limits) { limits.MaxDecisionAge = time.Second })
	for name, expire := range map[string]func(attempt *engine.Attempt, now int64){
		"the deadline has passed": func(attempt *engine.Attempt, now int64) { attempt.Deadline = now },
		"the window has closed":   func(attempt *engine.Attempt, now int64) { attempt.SendBefore = now },
		"the decision is too old": func(attempt *engine.Attempt, now int64) { attempt.DecidedAt = now - 2e6 },
	} {
		call := pool.call("late")
		expire(call.Attempt, clock.Now())
		pool.Send(call)
		if outcome := <-pool.outcomes; outcome != policy.OutcomeSkipped {
			t.Errorf("%s: outcome %s, want %s", name, outcome, policy.OutcomeSkipped)
		}
	}
	valid := pool.call("good") // on the same connection, which is idle again
	valid.Attempt.SendBefore = time.Now().Add(5 * time.Second).UnixMicro()
	pool.Send(valid)
	conn, err := pool.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if line, err := bufio.NewReader(conn).ReadString('\n'); !strings.HasPrefix(line, "GET good ") {
		t.Errorf("first command %q, error %v, want GET good", line, err)
	}
}

// An attempt that was withdrawn before Send must not open a connection.
func TestWithdrawnAttemptOpensNoConnection(t *testing.T) {
	pool := newTestPool(t, nil)
	call := pool.call("gone")
	call.Attempt.Withdraw()
	pool.Send(call)
	if count := pool.ConnCount(); count != 0 {
		t.Errorf("%d connections, want 0", count)
	}
}

// Guards against a limit on buffered bodies that shrinks for good: the bodies of a batch that was queued on a connection
// which closes before the batch is written were never released.
func TestClosedConnectionReleasesQueuedBodies(t *testing.T) {
	const limit = 1 << 20
	pool := newTestPool(t, nil)
	bodies := bufferpool.NewPool(limit)
	_, accepted, _ := pool.sendOnNewConn(t)
	pool.mu.Lock()
	conn := pool.peers[peerKey{"c", pool.Addr().String(), 0}].conns[0]
	conn.writing = true // another goroutine writes
	pool.mu.Unlock()
	call := pool.call("b")
	body, err := bodies.ReadBody(strings.NewReader(strings.Repeat("x", limit/2)), limit/2)
	if err != nil {
		t.Fatal(err)
	}
	call.Body = body
	pool.mu.Lock()
	call.Body.Retain()
	call.conn = conn
	conn.calls[call.id()] = call
	conn.queue = append(conn.queue, outgoing{call: call})
	conn.close()
	pool.mu.Unlock()
	conn.flush()
	body.Release()
	accepted.Close()
	testsupport.WaitUntil(t, "room for as much again", func() bool {
		again, err := bodies.ReadBody(strings.NewReader(strings.Repeat("x", limit)), limit)
		again.Release()
		return err == nil
	})
}

// Guards against a second attempt of a request that reaches its endpoint before the first one is given up, on a site that
// does not permit both at once: the DROP waits behind what another goroutine is writing to the first connection.
func TestNextAttemptIsSentAfterTheDrop(t *testing.T) {
	for _, hedging := range []bool{false, true} {
		pool := newTestPool(t, func(limits *config.Limits) { limits.Hedging = hedging })
		first, _, firstReader := pool.sendOnNewConn(t)
		pool.mu.Lock()
		conn := pool.peers[peerKey{"c", pool.Addr().String(), 0}].conns[0]
		conn.writing = true // another goroutine writes
		pool.mu.Unlock()
		first.Drop(false)
		second := pool.call("a")
		pool.Send(second)
		pool.mu.Lock()
		conns := len(conn.peer.conns) // the second attempt needs a connection of its own
		pool.mu.Unlock()
		if sent := conns > 1; sent != hedging {
			t.Errorf("hedging %v: the next attempt is sent before the drop: %v", hedging, sent)
		}
		conn.flush()
		if !hedging {
			pool.accept(t) // the second attempt
		}
		firstReader.ReadString('\n') // the end of the empty body
		if line, _ := firstReader.ReadString('\n'); line != "DROP a\r\n" {
			t.Errorf("hedging %v: read %q, want a drop of a", hedging, line)
		}
	}
}

// Guards against an attempt that waits for good for the DROP of the one before, whose connection closes.
func TestNextAttemptIsSentAfterTheConnectionOfTheDropClosed(t *testing.T) {
	pool := newTestPool(t, nil)
	first, accepted, _ := pool.sendOnNewConn(t)
	pool.mu.Lock()
	conn := pool.peers[peerKey{"c", pool.Addr().String(), 0}].conns[0]
	conn.writing = true // another goroutine writes
	pool.mu.Unlock()
	first.Drop(false)
	pool.Send(pool.call("a"))
	accepted.Close() // ends the connection, and with it the wait
	pool.accept(t)
}
