package downstream

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// holdReadSlots takes all read slots, and returns a function that gives them back.
func (s *testServer) holdReadSlots(t *testing.T) (release func()) {
	t.Helper()
	all := int64(runtime.GOMAXPROCS(0))
	if err := s.reads.slots.Acquire(context.Background(), all); err != nil {
		t.Fatal(err)
	}
	return func() { s.reads.slots.Release(all) }
}

// await waits until a number of clients meet a condition.
func (s *testServer) await(t *testing.T, count int, condition func(*client) bool) {
	t.Helper()
	matching := func() (matching int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.clients {
			if condition(c) {
				matching++
			}
		}
		return matching
	}
	for end := time.Now().Add(5 * time.Second); matching() < count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d clients, want %d", matching(), count)
		}
	}
}

func isConnected(*client) bool { return true }

func isEvicted(c *client) bool { return c.state == clientClosing }

func waitsForSlot(c *client) bool { return c.state == clientSending && !c.arrivals.waiting.Load() }

// Guards against a request that is never answered: it has arrived whole and waits for its read slot,
// and its connection is evicted for a new client, beside one that has sent nothing.
func TestConnectionWithAWaitingRequestIsNotEvicted(t *testing.T) {
	s := newTestServer(t, 2, 10*time.Second)
	release := s.holdReadSlots(t)
	waiting := s.connect(t)
	fmt.Fprintf(waiting, requestText, 0)
	s.await(t, 1, waitsForSlot)
	silent := s.connect(t)
	s.await(t, 2, isConnected)
	newcomer := s.connect(t)
	silent.expectClosed(t)
	release()
	for i, client := range []*testClient{waiting, newcomer} {
		if i > 0 {
			fmt.Fprintf(client, requestText, i)
		}
		if got := client.roundTrip(""); got != "503" {
			t.Errorf("client %d: status %q, want 503", i, got)
		}
	}
}

// Guards against a request that is never answered because the connections of clients that have left
// already are kept in its place.
func TestDisconnectedClientsAreEvictedFirst(t *testing.T) {
	s := newTestServer(t, 2, 10*time.Second)
	release := s.holdReadSlots(t)
	waiting, leaving := s.connect(t), s.connect(t)
	for i, client := range []*testClient{waiting, leaving} {
		fmt.Fprintf(client, requestText, i)
		s.await(t, i+1, waitsForSlot)
	}
	leaving.Close()
	newcomer := s.connect(t)
	fmt.Fprintf(newcomer, requestText, 2)
	s.await(t, 1, isEvicted)
	release()
	for i, client := range []*testClient{waiting, newcomer} {
		if got := client.roundTrip(""); got != "503" {
			t.Errorf("client %d: status %q, want 503", i, got)
		}
	}
}

// Guards against a request that is never answered because its connection was chosen for eviction
// while it was read.
func TestRequestReadDuringAnEvictionIsAnswered(t *testing.T) {
	s := newTestServer(t, 1, 10*time.Second)
	clientEnd, serverEnd := net.Pipe()
	defer clientEnd.Close()
	c := newClient(serverEnd)
	s.addClient(c)
	go fmt.Fprintf(clientEnd, requestText, 1)
	if _, err := c.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	c.evict()
	s.mu.Unlock()
	firstLine := make(chan string, 1)
	go func() {
		line, _ := newTestClient(clientEnd).reader.ReadString('\n')
		firstLine <- line
	}()
	if !s.setState(c, clientSending) || !s.serveRequest(c) {
		t.Error("the request was not served")
		serverEnd.Close()
	}
	if got := <-firstLine; !strings.HasPrefix(got, "HTTP/1.1 503 ") {
		t.Errorf("response %q, want status 503", got)
	}
}
