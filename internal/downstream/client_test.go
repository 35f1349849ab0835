package downstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/testsupport"
)

// connectedPair returns a client's end of a connection, and ours as the server has it.
func connectedPair(t *testing.T) (clientEnd *net.TCPConn, serverEnd *client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	socket, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialed.Close()
		socket.Close()
	})
	dialed.SetDeadline(time.Now().Add(5 * time.Second))
	return dialed.(*net.TCPConn), newClient(socket)
}

// waitUntilReadable waits for what the other end has sent.
func (c *client) waitUntilReadable(t *testing.T) {
	t.Helper()
	testsupport.WaitUntil(t, "what the client has sent", func() bool {
		readable, _ := c.pollSocket()
		return readable
	})
}

// A client that had sent early was once not watched any further: its leaving was seen
// only at the next read, attempts later.
func TestLeavingClientIsSeenBehindWhatItSent(t *testing.T) {
	for name, extraBytes := range map[string]int{
		"nothing":              0,
		"half a request":       20,
		"more than the buffer": 4 * bufferpool.Size,
	} {
		t.Run(name, func(t *testing.T) {
			theirs, ours := connectedPair(t)
			io.WriteString(theirs, "!"+strings.Repeat("x", extraBytes))
			if _, err := ours.reader.ReadByte(); err != nil {
				t.Fatal(err)
			}
			present := make(chan bool, 1)
			wake := newSignal()
			go func() { present <- ours.awaitSignal(wake) }()
			theirs.Close()
			select {
			case got := <-present:
				if got {
					t.Error("it counts as present")
				}
			case <-time.After(5 * time.Second):
				t.Error("its leaving is not seen")
			}
		})
	}
}

// The signal wakes whoever watches a client with a full buffer, too.
func TestSignalWakesBehindAFullBuffer(t *testing.T) {
	theirs, ours := connectedPair(t)
	io.WriteString(theirs, strings.Repeat("x", 4*bufferpool.Size))
	if _, err := ours.reader.Peek(bufferpool.Size); err != nil {
		t.Fatal(err)
	}
	wake := newSignal()
	present := make(chan bool, 1)
	go func() { present <- ours.awaitSignal(wake) }()
	wake.raise()
	ours.SetReadDeadline(time.Now())
	select {
	case got := <-present:
		if !got {
			t.Error("the client counts as gone")
		}
	case <-time.After(5 * time.Second):
		t.Error("nobody wakes")
	}
}

// A request that was read with its client's end behind it was once begun.
func TestNothingBeginsForAClientThatHasLeft(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	theirs, ours := connectedPair(t)
	fmt.Fprintf(theirs, requestText, 1)
	theirs.Close()
	testsupport.WaitUntil(t, "the client's end", func() bool {
		_, closed := ours.pollSocket()
		return closed
	})
	if s.awaitRequest(ours) && s.serveRequest(ours) {
		t.Error("the connection goes on")
	}
	if n := s.RequestCounts().Rejected; n != 0 {
		t.Errorf("the policy was asked for it: %d", n)
	}
}

// A request that crosses the end of its connection was once served: its response had
// nowhere to go.
func TestNothingBeginsOnAConnectionThatDrainShut(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	theirs, ours := connectedPair(t)
	s.addClient(ours)
	if left := s.Drain(0); left != 1 {
		t.Fatalf("%d clients", left)
	}
	fmt.Fprintf(theirs, requestText, 1) // it crosses
	ours.waitUntilReadable(t)
	if s.awaitRequest(ours) {
		t.Error("the request is read")
	}
}

// A connection that becomes idle as it is shut once waited for its idle timeout.
func TestDrainWakesAConnectionThatJustBecomesIdle(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	_, ours := connectedPair(t)
	ours.served = true
	s.addClient(ours)
	s.Drain(0) // its wake comes before awaitRequest sets the deadline of an idle client
	done := make(chan bool, 1)
	go func() { done <- s.awaitRequest(ours) }()
	select {
	case keepOpen := <-done:
		if keepOpen {
			t.Error("the connection goes on")
		}
	case <-time.After(s.limits.ClientIdleTimeout / 2):
		t.Error("it stays idle")
	}
}

// Drain must not shut a connection whose request has come and not been read yet.
func TestDrainAnswersWhatHasArrived(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	theirs, ours := connectedPair(t)
	s.addClient(ours)
	fmt.Fprintf(theirs, requestText, 1)
	ours.waitUntilReadable(t)
	s.Drain(0)
	go s.serve(ours)
	got, err := io.ReadAll(theirs)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 503") ||
		!strings.Contains(string(got), "Connection: close") {
		t.Errorf("%q, %v", got, err)
	}
}

// Clients that stay idle are shut by Drain, and it waits for them.
func TestDrainShutsIdleClients(t *testing.T) {
	s := newTestServer(t, 10, time.Minute)
	client := s.connect(t)
	if got := client.roundTrip(fmt.Sprintf(requestText, 1)); got != "503" {
		t.Fatal(got)
	}
	testsupport.WaitUntil(t, "an idle client", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.clients {
			return c.state == clientIdle
		}
		return false
	})
	left := make(chan int, 1)
	go func() { left <- s.Drain(5 * time.Second) }()
	if _, err := client.r.ReadByte(); err != io.EOF {
		t.Errorf("idle client: %v", err)
	}
	client.Close()
	if n := <-left; n != 0 {
		t.Errorf("%d clients left", n)
	}
}

// The last response on a connection was once discarded by the reset that a close over
// unread bytes is answered with.
func TestLastResponseSurvivesUnreadBytes(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	client := s.connect(t)
	last := strings.Replace(fmt.Sprintf(requestText, 1), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	// One write: what comes behind the request waits in the socket as it is answered.
	io.WriteString(client, last+strings.Repeat("x", 8*bufferpool.Size))
	got, err := io.ReadAll(client.r)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 503") {
		t.Errorf("%q, %v", got, err)
	}
}

// The timeout of a request that was sent early once began when the request before it
// was being answered.
func TestTimeoutOfAnEarlyRequestBeginsAtItsArrival(t *testing.T) {
	theirs, ours := connectedPair(t)
	io.WriteString(theirs, "ab")
	if _, err := ours.reader.Peek(2); err != nil {
		t.Fatal(err)
	}
	secondWrite := time.Now()
	io.WriteString(theirs, "cd")
	if _, err := ours.reader.Peek(4); err != nil {
		t.Fatal(err)
	}
	for buffered, want := range map[int]bool{4: true, 3: true} {
		if got := ours.arrivals.arrivedAt(buffered).Before(secondWrite); got != want {
			t.Errorf("with %d bytes in the buffer: arrived before the second write: %v", buffered, got)
		}
	}
	if ours.arrivals.arrivedAt(2).Before(secondWrite) {
		t.Error("the second write's bytes arrived with the first's")
	}
	for range 3 * maxArrivals { // bounded, and never later than it was
		io.WriteString(theirs, "e")
		if _, err := ours.reader.Peek(ours.reader.Buffered() + 1); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(ours.arrivals.arrivals); n > maxArrivals {
		t.Errorf("%d arrivals", n)
	}
	if got := ours.arrivals.arrivedAt(1); got.After(time.Now()) || got.Before(secondWrite) {
		t.Errorf("the last byte arrived at %v", got)
	}
}
