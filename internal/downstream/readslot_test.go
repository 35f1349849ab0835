package downstream

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"testing"
	"time"
)

// occupyReadSlots takes all read slots until the returned function is called.
func (s *testServer) occupyReadSlots(t *testing.T) (release func()) {
	t.Helper()
	slots := int64(runtime.GOMAXPROCS(0))
	if err := s.reads.slots.Acquire(context.Background(), slots); err != nil {
		t.Fatal(err)
	}
	return func() { s.reads.slots.Release(slots) }
}

// Guards against parsing the requests of all clients at the same time.
func TestRequestsWaitForAReadSlot(t *testing.T) {
	const wait = 50 * time.Millisecond
	s := newTestServer(t, 10, time.Minute)
	release := s.occupyReadSlots(t)
	client := s.connect(t)
	fmt.Fprintf(client, requestText, 1)
	time.Sleep(wait) // the request has arrived and waits
	client.SetReadDeadline(time.Now().Add(wait))
	if _, err := client.reader.Peek(1); !os.IsTimeout(err) {
		t.Errorf("read before a slot is free: error %v, want a timeout", err)
	}
	release()
	client.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got := client.roundTrip(""); got != "503" {
		t.Errorf("status %q, want 503", got)
	}
	if count, total := s.ReadWaits(); count != 1 || total < wait {
		t.Errorf("%d waits of %v, want 1 of at least %v", count, total, wait)
	}
}

// Guards against slots that clients keep by sending nothing, or not all of a request.
func TestSilentClientsHoldNoReadSlot(t *testing.T) {
	clients := runtime.GOMAXPROCS(0) + 1
	s := newTestServer(t, 4*clients, time.Minute)
	for _, text := range []string{"", "GET /rpc", "PUT /rpc/page/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"} {
		for range clients {
			io.WriteString(s.connect(t), text)
		}
	}
	if got := s.connect(t).roundTrip(fmt.Sprintf(requestText, 1)); got != "503" {
		t.Errorf("status %q, want 503", got)
	}
}

// Guards against a response that waits behind requests that are still to be read.
func TestResponsesNeedNoReadSlot(t *testing.T) {
	s := newTestServer(t, 1, time.Minute)
	clientEnd, serverEnd := connectedPair(t)
	serverEnd.arrivals.slot.slots = s.reads
	defer s.occupyReadSlots(t)()
	wake := newSignal()
	connected := make(chan bool, 1)
	go func() { connected <- serverEnd.awaitSignal(wake) }()
	io.WriteString(clientEnd, "GET /") // the client sends ahead
	wake.raise()
	serverEnd.SetReadDeadline(time.Now())
	select {
	case got := <-connected:
		if !got {
			t.Error("the connected client counts as disconnected")
		}
	case <-time.After(5 * time.Second):
		t.Error("the response waits for a read slot")
	}
}
