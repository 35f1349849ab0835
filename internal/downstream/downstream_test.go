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

// door is a front at an address of its own, with no cache behind it: what it
// takes is rejected at once.
type door struct {
	*Server
	net.Listener
	served chan error
}

func newDoor(t *testing.T, clients int, requestTime time.Duration) *door {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := &config.Limits{
		MaxClients: clients, MaxHeadBytes: 1000, MaxHeaderFields: 10, MaxRequestBody: 100, MaxDiscardBytes: 1 << 20,
		MaxRequestTimeout: time.Second, RequestReadTimeout: requestTime, ClientIdleTimeout: 10 * time.Second, LingeringCloseTimeout: 10 * time.Second,
	}
	set := &policy.Settings{Classes: []policy.TrafficClass{{Name: "page", Effect: policy.EffectIdempotent, LatencyObjective: 1000, PriorityWeight: 1}}}
	d := &door{New(engine.New(set, 1, func() {}), nil, bufferpool.NewPool(1<<20), limits), l, make(chan error, 1)}
	go func() { d.served <- d.Serve(l) }()
	t.Cleanup(func() {
		l.Close()
		d.SuspendClientLimit(true)
	})
	return d
}

type visitor struct {
	net.Conn
	r *bufio.Reader
}

func (d *door) visit(t *testing.T) *visitor {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &visitor{c, bufio.NewReader(c)}
}

// status sends a text and reads the answer's status; "" where there is none.
func (v *visitor) status(text string) string {
	io.WriteString(v, text)
	line, _ := v.r.ReadString('\n')
	for more := line; len(more) > 2; more, _ = v.r.ReadString('\n') {
	}
	if len(line) < 12 {
		return ""
	}
	return line[9:12]
}

const whole = "GET /rpc/page/x HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Ttl-Ms: 900\r\nX-Shard: 1\r\n\r\n"

// ended fails the test unless the connection ends, and not by its own deadline.
func (v *visitor) ended(t *testing.T) {
	t.Helper()
	for {
		if _, err := v.r.ReadByte(); err != nil {
			if os.IsTimeout(err) {
				t.Fatal("the connection goes on")
			}
			return
		}
	}
}

// Silent clients once stayed for 30 s and halves of requests for 5.
func TestClientsThatAskNothingAreEnded(t *testing.T) {
	d := newDoor(t, 10, 200*time.Millisecond)
	for text, want := range map[string]string{
		"": "", "GET /rpc/page": "408",
		"PUT /rpc/page/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf": "",
	} {
		v := d.visit(t)
		if got := v.status(text); got != want {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
		v.ended(t)
	}
	// One that has asked may stay.
	v := d.visit(t)
	v.status(fmt.Sprintf(whole, 1))
	v.SetReadDeadline(time.Now().Add(2 * d.limits.RequestReadTimeout))
	if _, err := v.r.ReadByte(); !os.IsTimeout(err) {
		t.Fatalf("a usual client's connection: %v", err)
	}
}

// At the bound any idle connection was once closed, usual ones before silent ones.
func TestSilentClientsGiveWayFirst(t *testing.T) {
	d := newDoor(t, 3, 10*time.Second)
	usual, silent, half := d.visit(t), d.visit(t), d.visit(t)
	if got := usual.status(fmt.Sprintf(whole, 1)); got != "503" {
		t.Fatal(got)
	}
	io.WriteString(half, "GET /")
	for i, next := range []*visitor{silent, half, usual} {
		if got := d.visit(t).status(fmt.Sprintf(whole, 2+i)); got != "503" {
			t.Fatal(got)
		}
		next.ended(t)
	}
}

// A request that came whole as its connection gave way would have run for nobody.
func TestNothingIsBegunForWhoGaveWay(t *testing.T) {
	d := newDoor(t, 1, 10*time.Second)
	ours, theirs := net.Pipe()
	c := newClient(theirs)
	c.state = over
	got := make(chan int)
	go func() {
		fmt.Fprintf(ours, whole, 1)
		n, _ := ours.Read(make([]byte, 1))
		got <- n
	}()
	if d.next(c) || d.request(c) {
		t.Error("the connection goes on")
	}
	theirs.Close()
	if <-got > 0 {
		t.Error("answered")
	}
}

// last is a listener that has one client more before its deadline passes.
type last struct {
	net.Listener
	client net.Conn
}

func (l *last) Accept() (c net.Conn, err error) {
	if c, l.client = l.client, nil; c == nil {
		return nil, os.ErrDeadlineExceeded
	}
	return c, nil
}

// A client beyond the bound once kept Serve from seeing the drain's deadline.
func TestCrowdEndsTheWaitForRoom(t *testing.T) {
	d := newDoor(t, 1, 10*time.Second)
	d.mu.Lock()
	d.clients[&client{state: busy}] = struct{}{}
	d.mu.Unlock()
	ours, theirs := net.Pipe()
	v := &visitor{ours, bufio.NewReader(ours)}
	v.SetDeadline(time.Now().Add(5 * time.Second))
	served := make(chan error, 1)
	go func() { served <- d.Serve(&last{client: theirs}) }()
	d.SuspendClientLimit(true)
	if got := v.status(fmt.Sprintf(whole, 1)); got != "503" {
		t.Fatalf("%q", got)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}

// A reset behind a refusal once ate it where the client was still sending.
func TestRefusalOutlivesWhatTheClientStillSends(t *testing.T) {
	d := newDoor(t, 1, 10*time.Second)
	v := d.visit(t)
	io.WriteString(v, "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 500000\r\n\r\n")
	if _, err := v.Write(make([]byte, 500_000)); err != nil {
		t.Fatal(err)
	}
	if got := v.status(""); got != "413" {
		t.Fatalf("%q", got)
	}
}

// short is a listener that lacks memory a few times before it has a client.
type short struct {
	net.Listener
	left   int
	client net.Conn
}

func (s *short) Accept() (net.Conn, error) {
	if s.left--; s.left >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	if c := s.client; c != nil {
		s.client = nil
		return c, nil
	}
	return nil, net.ErrClosed
}

// An error of accept that passes once ended the router, where it was not one of three.
func TestShortMemoryEndsNoListener(t *testing.T) {
	d := newDoor(t, 1, 10*time.Second)
	ours, theirs := net.Pipe()
	v := &visitor{ours, bufio.NewReader(ours)}
	v.SetDeadline(time.Now().Add(5 * time.Second))
	served := make(chan error, 1)
	go func() { served <- d.Serve(&short{left: 3, client: theirs}) }()
	if got := v.status(fmt.Sprintf(whole, 1)); got != "503" {
		t.Fatalf("%q", got)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}
