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
	"quilldoor/internal/testsupport"
)

// testServer is a server with its own listener and without endpoints: the policy
// rejects every request at once.
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

// addClient adds a client without a goroutine that serves it. A test may run the
// steps of that goroutine itself.
func (s *testServer) addClient(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[c] = struct{}{}
}

// awaitIdle waits until the given number of clients have had a response and are idle. A
// client can read its response before the server's goroutine runs again and counts it as
// idle, and clients are evicted in the order in which they became idle.
func (s *testServer) awaitIdle(count int) {
	idle := func() (idle int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.clients {
			if c.served && c.state == clientIdle {
				idle++
			}
		}
		return idle
	}
	for idle() < count {
		time.Sleep(100 * time.Microsecond)
	}
}

// testClient is a client's end of a connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
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

// roundTrip sends text, reads the head of the response, and returns its status; ""
// if there is no response.
func (client *testClient) roundTrip(text string) string {
	io.WriteString(client, text)
	line, _ := client.reader.ReadString('\n')
	for headerLine := line; len(headerLine) > 2; {
		headerLine, _ = client.reader.ReadString('\n')
	}
	if len(line) < 12 {
		return ""
	}
	return line[9:12]
}

const requestText = "GET /rpc/page/x HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Ttl-Ms: 900\r\nX-Shard: 1\r\n\r\n"

// expectClosed fails the test unless the server closes the connection before its
// read deadline.
func (client *testClient) expectClosed(t *testing.T) {
	t.Helper()
	for {
		if _, err := client.reader.ReadByte(); err != nil {
			if os.IsTimeout(err) {
				t.Fatal("the connection stays open")
			}
			return
		}
	}
}

// Clients that sent nothing once stayed connected for 30 s, and clients that sent
// part of a request for 5 s.
func TestClientsWithoutARequestAreClosed(t *testing.T) {
	s := newTestServer(t, 10, 200*time.Millisecond)
	for text, want := range map[string]string{
		"": "", "GET /rpc/page": "408",
		"PUT /rpc/page/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf": "408",
	} {
		client := s.connect(t)
		if got := client.roundTrip(text); got != want {
			t.Errorf("request %q: status %q, want %q", text, got, want)
		}
		client.expectClosed(t)
	}
	// A client that had a response may stay connected longer than RequestReadTimeout.
	client := s.connect(t)
	client.roundTrip(fmt.Sprintf(requestText, 1))
	client.SetReadDeadline(time.Now().Add(2 * s.limits.RequestReadTimeout))
	if _, err := client.reader.ReadByte(); !os.IsTimeout(err) {
		t.Fatalf("read from a served client's connection: error %v, want a timeout", err)
	}
}

// At the client limit, any idle connection was once evicted, so that clients that had
// a response went before silent ones.
func TestSilentClientsAreEvictedFirst(t *testing.T) {
	s := newTestServer(t, 3, 10*time.Second)
	served, silent, partial := s.connect(t), s.connect(t), s.connect(t)
	if got := served.roundTrip(fmt.Sprintf(requestText, 1)); got != "503" {
		t.Fatalf("status %q, want 503", got)
	}
	s.awaitIdle(1)
	io.WriteString(partial, "GET /")
	for i, evicted := range []*testClient{silent, partial, served} {
		if got := s.connect(t).roundTrip(fmt.Sprintf(requestText, 2+i)); got != "503" {
			t.Fatalf("status %q, want 503", got)
		}
		evicted.expectClosed(t)
		s.awaitIdle(min(2+i, 3))
	}
}

// Guards against evicting, for one and the same new client, every client that becomes idle
// while the first victim's connection is still closing.
func TestOneClientIsEvictedForANewOne(t *testing.T) {
	s := newTestServer(t, 2, 10*time.Second)
	newConn := func() net.Conn {
		clientEnd, serverEnd := net.Pipe()
		t.Cleanup(func() { clientEnd.Close() })
		return serverEnd
	}
	victim, busy := newClient(newConn()), newClient(newConn())
	busy.state = clientBusy
	s.addClient(victim)
	s.addClient(busy)
	newcomer := newClient(newConn())
	admitted := make(chan struct{})
	go func() {
		s.admit(newcomer)
		close(admitted)
	}()
	stateOf := func(c *client) clientState {
		s.mu.Lock()
		defer s.mu.Unlock()
		return c.state
	}
	for stateOf(victim) != clientClosing { // its connection is closed, but its goroutine has not removed it
		time.Sleep(time.Millisecond)
	}
	for range 50 { // each response wakes admit
		if !s.setState(busy, clientIdle) {
			t.Fatal("a second client is evicted for the same new one")
		}
		time.Sleep(time.Millisecond)
	}
	s.remove(victim)
	<-admitted
	if stateOf(busy) != clientIdle {
		t.Error("a second client is evicted for the same new one")
	}
}

// A request that arrives while its connection is evicted must not be run: its
// response could not be sent.
func TestNothingBeginsOnAnEvictedConnection(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	clientEnd, serverEnd := net.Pipe()
	c := newClient(serverEnd)
	c.state = clientClosing
	bytesRead := make(chan int)
	go func() {
		fmt.Fprintf(clientEnd, requestText, 1)
		n, _ := clientEnd.Read(make([]byte, 1))
		bytesRead <- n
	}()
	if s.awaitRequest(c) || s.serveRequest(c) {
		t.Error("the connection stays open")
	}
	serverEnd.Close()
	if <-bytesRead > 0 {
		t.Error("the request was answered")
	}
}

// lastClientListener accepts one client before its deadline passes.
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

// A client over the limit once kept Serve waiting for a slot, so that it did not
// notice the listener's deadline, which a drain sets.
func TestSuspendedLimitEndsTheWaitForASlot(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	s.addClient(&client{state: clientBusy})
	clientEnd, serverEnd := net.Pipe()
	client := newTestClient(clientEnd)
	served := make(chan error, 1)
	go func() { served <- s.Serve(&lastClientListener{client: serverEnd}) }()
	s.SuspendClientLimit(true)
	if got := client.roundTrip(fmt.Sprintf(requestText, 1)); got != "503" {
		t.Fatalf("status %q, want 503", got)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}

// A client that is still sending must receive the rejection of its request. A reset
// of the connection once discarded the rejection.
func TestRejectionSurvivesWhatTheClientStillSends(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	client := s.connect(t)
	io.WriteString(client, "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 500000\r\n\r\n")
	if _, err := client.Write(make([]byte, 500_000)); err != nil {
		t.Fatal(err)
	}
	if got := client.roundTrip(""); got != "413" {
		t.Fatalf("status %q, want 413", got)
	}
}

// failingListener fails with ENOBUFS failuresLeft times, and then accepts a client.
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

// Guards against serving clients that left before they were accepted, in the place of others.
func TestClientThatLeftBeforeTheAcceptTakesNoSlot(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	s.addClient(&client{state: clientBusy}) // no slot is free
	clientEnd, serverEnd := connectedPair(t)
	fmt.Fprintf(clientEnd, requestText, 1)
	clientEnd.Close()
	testsupport.WaitUntil(t, "the end of the client's stream", serverEnd.hasDisconnected)
	served := make(chan error, 1)
	go func() { served <- s.Serve(&lastClientListener{client: serverEnd.Conn}) }()
	select {
	case err := <-served: // the listener's deadline
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Serve waits for a slot")
	}
}

// A transient error of accept must not end Serve. All but three of these errors once
// ended the router.
func TestTransientAcceptErrorEndsNoListener(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	clientEnd, serverEnd := net.Pipe()
	client := newTestClient(clientEnd)
	served := make(chan error, 1)
	go func() { served <- s.Serve(&failingListener{failuresLeft: 3, client: serverEnd}) }()
	if got := client.roundTrip(fmt.Sprintf(requestText, 1)); got != "503" {
		t.Fatalf("status %q, want 503", got)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}

// Guards against a request whose last byte is accepted and that is never answered: its body was not
// whole in time.
func TestBodyThatIsNotWholeInTimeIsAnswered(t *testing.T) {
	const requestTimeout = 200 * time.Millisecond
	s := newTestServer(t, 2, requestTimeout)
	for _, sent := range []string{"", "x", "xxx"} {
		client := s.connect(t)
		io.WriteString(client, "PUT /rpc/page/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"+sent)
		time.Sleep(requestTimeout + 50*time.Millisecond)
		if got := client.roundTrip("xxxx"[len(sent):]); got != "408" {
			t.Errorf("with %d bytes of 4 in time: status %q, want 408", len(sent), got)
		}
	}
}
