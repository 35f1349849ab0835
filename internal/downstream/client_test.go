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

// connectedPair returns both ends of a TCP connection, the server's as a client of
// the server.
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

// waitUntilReadable waits until bytes from the client are in the socket.
func (c *client) waitUntilReadable(t *testing.T) {
	t.Helper()
	testsupport.WaitUntil(t, "data from the client", func() bool {
		readable, _ := c.pollSocket()
		return readable
	})
}

// The server once stopped watching a client that had sent bytes ahead, so that a
// disconnect was detected only at the next read, several attempts later.
func TestLeavingClientIsSeenBehindWhatItSent(t *testing.T) {
	for name, extraBytes := range map[string]int{
		"nothing":              0,
		"half a request":       20,
		"more than the buffer": 4 * bufferpool.BufferSize,
	} {
		t.Run(name, func(t *testing.T) {
			clientEnd, serverEnd := connectedPair(t)
			io.WriteString(clientEnd, "!"+strings.Repeat("x", extraBytes))
			if _, err := serverEnd.reader.ReadByte(); err != nil {
				t.Fatal(err)
			}
			connected := make(chan bool, 1)
			wake := newSignal()
			go func() { connected <- serverEnd.awaitSignal(wake) }()
			clientEnd.Close()
			select {
			case got := <-connected:
				if got {
					t.Error("the disconnected client counts as connected")
				}
			case <-time.After(5 * time.Second):
				t.Error("the disconnect is not detected")
			}
		})
	}
}

// The signal also wakes a goroutine that watches a client whose read buffer is full.
func TestSignalWakesBehindAFullBuffer(t *testing.T) {
	clientEnd, serverEnd := connectedPair(t)
	io.WriteString(clientEnd, strings.Repeat("x", 4*bufferpool.BufferSize))
	if _, err := serverEnd.reader.Peek(bufferpool.BufferSize); err != nil {
		t.Fatal(err)
	}
	wake := newSignal()
	connected := make(chan bool, 1)
	go func() { connected <- serverEnd.awaitSignal(wake) }()
	wake.raise()
	serverEnd.SetReadDeadline(time.Now())
	select {
	case got := <-connected:
		if !got {
			t.Error("the connected client counts as disconnected")
		}
	case <-time.After(5 * time.Second):
		t.Error("awaitSignal does not return")
	}
}

// A client may send a request and disconnect before the server reads it. Such a
// request was once opened in the engine, though nobody waits for its response.
func TestNothingBeginsForAClientThatHasLeft(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	clientEnd, serverEnd := connectedPair(t)
	fmt.Fprintf(clientEnd, requestText, 1)
	clientEnd.Close()
	testsupport.WaitUntil(t, "the end of the client's stream", func() bool {
		_, closed := serverEnd.pollSocket()
		return closed
	})
	if s.awaitRequest(serverEnd) && s.serveRequest(serverEnd) {
		t.Error("the connection stays open")
	}
	if n := s.RequestCounts().Rejected; n != 0 {
		t.Errorf("the policy has rejected %d requests, want 0: the request was opened", n)
	}
}

// A request that arrived just after Drain had shut its connection down was once
// served, though its response could not be sent any more.
func TestNothingBeginsOnAConnectionThatDrainShut(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	clientEnd, serverEnd := connectedPair(t)
	s.addClient(serverEnd)
	if left := s.Drain(0); left != 1 {
		t.Fatalf("Drain left %d clients, want 1", left)
	}
	fmt.Fprintf(clientEnd, requestText, 1) // sent before the client sees the shutdown
	serverEnd.waitUntilReadable(t)
	if s.awaitRequest(serverEnd) {
		t.Error("the request is accepted on a connection that was shut down")
	}
}

// A connection that became idle while Drain shut it down once stayed open until its
// idle timeout.
func TestDrainWakesAConnectionThatJustBecomesIdle(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	_, serverEnd := connectedPair(t)
	serverEnd.served = true
	s.addClient(serverEnd)
	s.Drain(0) // sets its read deadline before awaitRequest sets that of an idle client
	done := make(chan bool, 1)
	go func() { done <- s.awaitRequest(serverEnd) }()
	select {
	case keepOpen := <-done:
		if keepOpen {
			t.Error("the connection stays open")
		}
	case <-time.After(s.limits.ClientIdleTimeout / 2):
		t.Error("the connection stays idle")
	}
}

// Drain must not shut down a connection on which a request has arrived but has not
// been read yet.
func TestDrainAnswersWhatHasArrived(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	clientEnd, serverEnd := connectedPair(t)
	s.addClient(serverEnd)
	fmt.Fprintf(clientEnd, requestText, 1)
	serverEnd.waitUntilReadable(t)
	s.Drain(0)
	go s.serve(serverEnd)
	got, err := io.ReadAll(clientEnd)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 503") ||
		!strings.Contains(string(got), "Connection: close") {
		t.Errorf("response %q, error %v, want a 503 with Connection: close", got, err)
	}
}

// Drain shuts down the connections of idle clients, and waits until they are closed.
func TestDrainShutsIdleClients(t *testing.T) {
	s := newTestServer(t, 10, time.Minute)
	client := s.connect(t)
	if got := client.roundTrip(fmt.Sprintf(requestText, 1)); got != "503" {
		t.Fatalf("status %q, want 503", got)
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
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("read from the idle client's connection: error %v, want EOF", err)
	}
	client.Close()
	if n := <-left; n != 0 {
		t.Errorf("Drain left %d clients, want 0", n)
	}
}

// Closing a connection with unread bytes resets it, and the reset once discarded the
// last response.
func TestLastResponseSurvivesUnreadBytes(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	client := s.connect(t)
	last := strings.Replace(fmt.Sprintf(requestText, 1), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	// One write, so that bytes after the request are unread while it is answered.
	io.WriteString(client, last+strings.Repeat("x", 8*bufferpool.BufferSize))
	got, err := io.ReadAll(client.reader)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 503") {
		t.Errorf("response %q, error %v, want a 503", got, err)
	}
}

// The timeout of a request that was sent ahead once began only while the previous
// request was being answered, not at its arrival.
func TestTimeoutOfAnEarlyRequestBeginsAtItsArrival(t *testing.T) {
	clientEnd, serverEnd := connectedPair(t)
	io.WriteString(clientEnd, "ab")
	if _, err := serverEnd.reader.Peek(2); err != nil {
		t.Fatal(err)
	}
	secondWrite := time.Now()
	io.WriteString(clientEnd, "cd")
	if _, err := serverEnd.reader.Peek(4); err != nil {
		t.Fatal(err)
	}
	for buffered, want := range map[int]bool{4: true, 3: true} {
		if got := serverEnd.arrivals.arrivedAt(buffered).Before(secondWrite); got != want {
			t.Errorf("with %d bytes in the buffer: arrived before the second write: %v", buffered, got)
		}
	}
	if serverEnd.arrivals.arrivedAt(2).Before(secondWrite) {
		t.Error("the second write's bytes have the arrival time of the first write's")
	}
	// The number of entries is bounded; beyond it, bytes may count as received earlier,
	// but never later, than they were.
	for range 3 * maxArrivals {
		io.WriteString(clientEnd, "e")
		if _, err := serverEnd.reader.Peek(serverEnd.reader.Buffered() + 1); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(serverEnd.arrivals.arrivals); n > maxArrivals {
		t.Errorf("%d arrival times are kept, more than maxArrivals", n)
	}
	if got := serverEnd.arrivals.arrivedAt(1); got.After(time.Now()) || got.Before(secondWrite) {
		t.Errorf("the last byte has arrival time %v, want one between the second write and now", got)
	}
}
