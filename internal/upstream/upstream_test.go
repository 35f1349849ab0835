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

// stand is a pool beside a server that writes nothing by itself.
type stand struct {
	*Pool
	net.Listener
	ends chan policy.Outcome // of attempts that ended
}

func newStand(t *testing.T, change func(*config.Limits)) *stand {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := &config.Limits{
		MaxUpstreamConns: 8, MaxConnsPerEndpoint: 4, MaxStreamsPerConn: 2, MaxResponseBody: 1000, ConnectTimeout: 5 * time.Second,
		WriteTimeout: 5 * time.Second, ResponseReadTimeout: 5 * time.Second, ReadStallTimeout: 5 * time.Second, MaxDecisionAge: 5 * time.Second,
	}
	if change != nil {
		change(limits)
	}
	s := &stand{Listener: l, ends: make(chan policy.Outcome, 100)}
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetLevel(logrus.ErrorLevel)
	s.Pool = New(limits, bufferpool.NewPool(1<<20), func(_ *engine.Attempt, o engine.Result) { s.ends <- o.Outcome }, log)
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return s
}

func (s *stand) Close() { s.Pool.Close() }

func (s *stand) flight(id string) *Call {
	server := &engine.Endpoint{Endpoint: policy.Endpoint{ID: "c"}, Address: s.Addr().String()}
	return &Call{Class: "page", Object: "x", Attempt: &engine.Attempt{
		Request: &engine.Request{ID: id}, Endpoint: server,
		DecidedAt: time.Now().UnixMicro(), Deadline: time.Now().Add(time.Second).UnixMicro(),
	}}
}

// got accepts a connection and reads its first line.
func (s *stand) got(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := s.Accept()
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

// A machine that has vanished leaves its connections standing: each hop on one
// ran out of time, where a new connection is refused at once.
func TestSilentConnectionTakesNothingNew(t *testing.T) {
	s := newStand(t, nil)
	f := s.flight("a")
	s.Send(f)
	c, r := s.got(t)
	f.Drop(true)
	r.ReadString('\n') // the empty body's end
	if _, err := r.ReadByte(); err == nil {
		t.Fatal("the connection goes on")
	}
	c.Close()
	if s.ConnCount() != 0 {
		t.Fatalf("%d connections", s.ConnCount())
	}
}

func TestDroppedHopLeavesItsConnectionToOthers(t *testing.T) {
	s := newStand(t, nil)
	f := s.flight("a")
	s.Send(f)
	c, r := s.got(t)
	f.Drop(false)
	r.ReadString('\n')
	if line, _ := r.ReadString('\n'); line != "DROP a\r\n" {
		t.Fatalf("%q", line)
	}
	// A late answer to it is no fault, and nobody's outcome.
	s.Send(s.flight("b"))
	r.ReadString('\n')
	c.Write([]byte("a EIO - 2\r\nxx\r\nb NOENT - 0\r\n\r\n"))
	if code := <-s.ends; code != policy.OutcomeMiss || s.ConnCount() != 1 {
		t.Fatalf("%s over %d connections", code, s.ConnCount())
	}
	// The same txn's next hop must not share a connection with its last.
	g := s.flight("c")
	s.Send(g)
	s.Send(s.flight("c"))
	if s.got(t); s.ConnCount() != 2 {
		t.Fatalf("%d connections", s.ConnCount())
	}
}

func TestConnectionsAreBoundedAndShared(t *testing.T) {
	s := newStand(t, func(l *config.Limits) { l.MaxUpstreamConns = 2 })
	for _, id := range []string{"a", "b", "c", "d"} {
		s.Send(s.flight(id))
	}
	if s.ConnCount() != 2 {
		t.Fatalf("%d connections", s.ConnCount())
	}
	s.Send(s.flight("e")) // two hops on each: no room
	if code := <-s.ends; code != policy.OutcomeConnectionRefused {
		t.Fatal(code)
	}
}

// A hop that waited for its connection was once sent to a server that drained.
func TestRetiredServerGetsNoWaitingHop(t *testing.T) {
	s := newStand(t, nil)
	r := s.flight("a")
	r.conn = &conn{pool: s.Pool, open: map[string]*Call{"a": r}, cancel: func() {}}
	p := &peer{place: placeOf(r.Attempt.Endpoint), conns: []*conn{r.conn}}
	r.conn.peer, s.peers[p.place], s.total = p, p, 1 // a connection that doesn't stand yet
	s.Drain([]*engine.Endpoint{r.Attempt.Endpoint})
	if code := <-s.ends; code != policy.OutcomeSkipped || r.Attempt.Begin() || s.ConnCount() != 0 {
		t.Fatalf("%s, %d connections", code, s.ConnCount())
	}
}

func TestBrokenConnectionEndsItsHops(t *testing.T) {
	for _, text := range []string{
		"", "a HELLO - 0\r\n\r\n", "a READY\r\n", "a ACK entity=e 0\r\n\r\n",
		"a ACK issued=7 0\r\n\r\n", "a NOMOD entity=e,issued=7 0\r\n\r\n",
		"a EIO - 9\r\n1234", "a EIO - 3000000000\r\n",
	} {
		s := newStand(t, nil)
		s.Send(s.flight("a"))
		c, _ := s.got(t)
		c.Write([]byte(text))
		c.(*net.TCPConn).CloseWrite()
		if code := <-s.ends; code != policy.OutcomeConnectionReset {
			t.Errorf("%q: %s", text, code)
		}
	}
}

// A second copy, or an answer under an unknown id, once closed the connection
// over all hops on it; and the second copy must not answer the txn's next hop.
func TestStrayAnswersCostNothing(t *testing.T) {
	s := newStand(t, nil)
	s.Send(s.flight("a"))
	c, r := s.got(t)
	r.ReadString('\n')
	c.Write([]byte("x ACK entity=e,issued=7 2\r\nxx\r\nx READY\r\na NOENT - 0\r\n\r\n"))
	if code := <-s.ends; code != policy.OutcomeMiss {
		t.Fatal(code)
	}
	s.Send(s.flight("a"))
	s.got(t) // on a connection of its own
	c.Write([]byte("a NOENT - 0\r\n\r\n"))
	s.Send(s.flight("b"))
	r.ReadString('\n')
	c.Write([]byte("b AGAIN - 0\r\n\r\n"))
	if code := <-s.ends; code != policy.OutcomeBusy || s.ConnCount() != 2 {
		t.Fatalf("%s over %d connections", code, s.ConnCount())
	}
}

// Half an answer once held its connection for the longest time limit and more.
func TestStalledAnswerEndsItsConnection(t *testing.T) {
	s := newStand(t, func(l *config.Limits) { l.ReadStallTimeout = 10 * time.Millisecond })
	s.Send(s.flight("a"))
	c, _ := s.got(t)
	c.Write([]byte("a ACK entity=e,issued=7 9\r\n1234"))
	if code := <-s.ends; code != policy.OutcomeConnectionReset {
		t.Fatal(code)
	}
}

// A place whose only connection was evicted for a new one to it would be lost to
// sweeps and to the end.
func TestEvictionForItsOwnPlaceKeepsThePlace(t *testing.T) {
	s := newStand(t, func(l *config.Limits) { l.MaxUpstreamConns = 1 })
	s.Send(s.flight("a"))
	c, _ := s.got(t)
	c.Write([]byte("a NOENT - 0\r\n\r\n"))
	<-s.ends
	s.Send(s.flight("a")) // not on the connection that may still bring a copy
	s.got(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) != 1 || s.total != 1 {
		t.Fatalf("%d places for %d connections", len(s.peers), s.total)
	}
}

// Servers that come and go all day once left their places behind, also by hops
// that were sent as the server was retired.
func TestPlacesEndWithTheirConnections(t *testing.T) {
	s := newStand(t, nil)
	f := s.flight("a")
	s.Send(f)
	s.got(t)
	s.Drain([]*engine.Endpoint{f.Attempt.Endpoint})
	g := s.flight("b")
	s.Send(g)
	c, _ := s.got(t)
	c.Close()
	<-s.ends
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) != 0 {
		t.Fatalf("%d places", len(s.peers))
	}
}

// What was decided must still stand when it is written: its deadline, the window of
// a keyed repeat, and the time after which what was told meanwhile binds.
func TestWhatStandsNoMoreIsNotWritten(t *testing.T) {
	s := newStand(t, func(l *config.Limits) { l.MaxDecisionAge = time.Second })
	for name, change := range map[string]func(h *engine.Attempt, now int64){
		"its time is over":        func(h *engine.Attempt, now int64) { h.Deadline = now },
		"the window has closed":   func(h *engine.Attempt, now int64) { h.SendBefore = now },
		"it was decided long ago": func(h *engine.Attempt, now int64) { h.DecidedAt = now - 2e6 },
	} {
		f := s.flight("late")
		change(f.Attempt, time.Now().UnixMicro())
		s.Send(f)
		if got := <-s.ends; got != policy.OutcomeSkipped {
			t.Errorf("%s: %s", name, got)
		}
	}
	still := s.flight("good") // on the same connection, which is idle again
	still.Attempt.SendBefore = time.Now().Add(5 * time.Second).UnixMicro()
	s.Send(still)
	c, err := s.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if line, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "GET good ") {
		t.Errorf("first on the wire: %q, %v", line, err)
	}
}

// A hop whose txn ended before it came to a connection opens none.
func TestWithdrawnHopOpensNoConnection(t *testing.T) {
	s := newStand(t, nil)
	f := s.flight("gone")
	f.Attempt.Withdraw()
	s.Send(f)
	if n := s.ConnCount(); n != 0 {
		t.Errorf("%d connections", n)
	}
}
