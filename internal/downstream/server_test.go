package downstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// testServer is a server at an address of its own, with no endpoint behind it: what
// it takes is rejected at once.
type testServer struct {
	*Server
	net.Listener
	served chan error
}

func newTestServer(t *testing.T, clients int, requestTimeout time.Duration) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := &config.Limits{
		MaxClients:            clients,
		MaxHeadBytes:          1000,
		MaxHeaderFields:       10,
		MaxRequestBody:        100,
		MaxDiscardBytes:       1 << 20,
		MaxRequestTimeout:     time.Second,
		RequestReadTimeout:    requestTimeout,
		ClientIdleTimeout:     10 * time.Second,
		LingeringCloseTimeout: 10 * time.Second,
	}
	set := &policy.Settings{Classes: []policy.TrafficClass{{
		Name: "page", Effect: policy.EffectIdempotent, LatencyObjective: 1000, PriorityWeight: 1,
	}}}
	server := New(engine.New(set, 1, func() {}), nil, bufferpool.NewPool(1<<20), limits)
	s := &testServer{server, listener, make(chan error, 1)}
	go func() { s.served <- s.Serve(listener) }()
	t.Cleanup(func() {
		listener.Close()
		s.SuspendClientLimit(true)
	})
	return s
}

// addClient adds a client whose goroutine the test stands in for.
func (s *testServer) addClient(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[c] = struct{}{}
}

type testClient struct {
	net.Conn
	r *bufio.Reader
}

func (s *testServer) connect(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return newTestClient(c)
}

func newTestClient(conn net.Conn) *testClient {
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &testClient{conn, bufio.NewReader(conn)}
}

// roundTrip sends a text and returns the response's roundTrip; "" where there is none.
func (client *testClient) roundTrip(text string) string {
	io.WriteString(client, text)
	line, _ := client.r.ReadString('\n')
	for more := line; len(more) > 2; {
		more, _ = client.r.ReadString('\n')
	}
	if len(line) < 12 {
		return ""
	}
	return line[9:12]
}

const requestText = "GET /rpc/page/x HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Ttl-Ms: 900\r\nX-Shard: 1\r\n\r\n"

// expectClosed fails the test unless the connection ends, and not by its own deadline.
func (client *testClient) expectClosed(t *testing.T) {
	t.Helper()
	for {
		if _, err := client.r.ReadByte(); err != nil {
			if os.IsTimeout(err) {
				t.Fatal("the connection goes on")
			}
			return
		}
	}
}

// Silent clients once stayed for 30 s and halves of requests for 5 s.
func TestClientsWithoutARequestAreClosed(t *testing.T) {
	s := newTestServer(t, 10, 200*time.Millisecond)
	for text, want := range map[string]string{
		"": "", "GET /rpc/page": "408",
		"PUT /rpc/page/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf": "",
	} {
		client := s.connect(t)
		if got := client.roundTrip(text); got != want {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
		client.expectClosed(t)
	}
	// One that had a response may stay.
	client := s.connect(t)
	client.roundTrip(fmt.Sprintf(requestText, 1))
	client.SetReadDeadline(time.Now().Add(2 * s.limits.RequestReadTimeout))
	if _, err := client.r.ReadByte(); !os.IsTimeout(err) {
		t.Fatalf("a usual client's connection: %v", err)
	}
}

// At the bound any idle connection was once closed, usual ones before silent ones.
func TestSilentClientsAreEvictedFirst(t *testing.T) {
	s := newTestServer(t, 3, 10*time.Second)
	served, silent, partial := s.connect(t), s.connect(t), s.connect(t)
	if got := served.roundTrip(fmt.Sprintf(requestText, 1)); got != "503" {
		t.Fatal(got)
	}
	io.WriteString(partial, "GET /")
	for i, evicted := range []*testClient{silent, partial, served} {
		if got := s.connect(t).roundTrip(fmt.Sprintf(requestText, 2+i)); got != "503" {
			t.Fatal(got)
		}
		evicted.expectClosed(t)
	}
}

// A request that came whole as its connection was evicted would have run for nobody.
func TestNothingBeginsOnAnEvictedConnection(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	ours, theirs := net.Pipe()
	c := newClient(theirs)
	c.state = clientClosing
	bytesRead := make(chan int)
	go func() {
		fmt.Fprintf(ours, requestText, 1)
		n, _ := ours.Read(make([]byte, 1))
		bytesRead <- n
	}()
	if s.awaitRequest(c) || s.serveRequest(c) {
		t.Error("the connection goes on")
	}
	theirs.Close()
	if <-bytesRead > 0 {
		t.Error("answered")
	}
}

// lastClientListener has one client more before its deadline passes.
type lastClientListener struct {
	net.Listener
	client net.Conn
}

func (l *lastClientListener) Accept() (c net.Conn, err error) {
	if c, l.client = l.client, nil; c == nil {
		return nil, os.ErrDeadlineExceeded
	}
	return c, nil
}

// A client beyond the bound once kept Serve from seeing the drain's deadline.
func TestSuspendedLimitEndsTheWaitForASlot(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	s.addClient(&client{state: clientBusy})
	ours, theirs := net.Pipe()
	client := newTestClient(ours)
	served := make(chan error, 1)
	go func() { served <- s.Serve(&lastClientListener{client: theirs}) }()
	s.SuspendClientLimit(true)
	if got := client.roundTrip(fmt.Sprintf(requestText, 1)); got != "503" {
		t.Fatalf("%q", got)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}

// A reset behind a rejection once discarded it where the client was still sending.
func TestRejectionSurvivesWhatTheClientStillSends(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	client := s.connect(t)
	io.WriteString(client, "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 500000\r\n\r\n")
	if _, err := client.Write(make([]byte, 500_000)); err != nil {
		t.Fatal(err)
	}
	if got := client.roundTrip(""); got != "413" {
		t.Fatalf("%q", got)
	}
}

// failingListener lacks memory a few times before it has a client.
type failingListener struct {
	net.Listener
	failuresLeft int
	client       net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failuresLeft--; l.failuresLeft >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	if c := l.client; c != nil {
		l.client = nil
		return c, nil
	}
	return nil, net.ErrClosed
}

// A transient error of accept once ended the router, where it was not one of three.
func TestTransientAcceptErrorEndsNoListener(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	ours, theirs := net.Pipe()
	client := newTestClient(ours)
	served := make(chan error, 1)
	go func() { served <- s.Serve(&failingListener{failuresLeft: 3, client: theirs}) }()
	if got := client.roundTrip(fmt.Sprintf(requestText, 1)); got != "503" {
		t.Fatalf("%q", got)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}
