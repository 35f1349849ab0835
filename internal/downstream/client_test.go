package downstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/bufferpool"
)

// pair is a client's end of a connection, and ours as the front has it.
func pair(t *testing.T) (theirs *net.TCPConn, ours *client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	sock, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		sock.Close()
	})
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c.(*net.TCPConn), newClient(sock)
}

// until waits for what another end does to become visible here.
func until(t *testing.T, what func() bool) {
	t.Helper()
	for range 5000 {
		if what() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("it did not come")
}

// A client that had sent on early was once not watched any further: its leaving was
// seen only at the next read, hops later.
func TestALeavingClientIsSeenBehindWhatItSent(t *testing.T) {
	for name, ahead := range map[string]int{"nothing": 0, "half a request": 20, "more than the buffer": 4 * bufferpool.Size} {
		t.Run(name, func(t *testing.T) {
			f := newDoor(t, 1, time.Minute)
			theirs, ours := pair(t)
			io.WriteString(theirs, "!"+strings.Repeat("x", ahead))
			if _, err := ours.r.ReadByte(); err != nil {
				t.Fatal(err)
			}
			here := make(chan bool, 1)
			bell := make(chan struct{}, 1)
			go func() { here <- f.wait(ours, bell) }()
			theirs.Close()
			select {
			case got := <-here:
				if got {
					t.Error("it counts as there")
				}
			case <-time.After(5 * time.Second):
				t.Error("its leaving is not seen")
			}
		})
	}
}

// The bell wakes whoever watches a client with a full buffer, too.
func TestTheBellRingsBehindAFullBuffer(t *testing.T) {
	f := newDoor(t, 1, time.Minute)
	theirs, ours := pair(t)
	io.WriteString(theirs, strings.Repeat("x", 4*bufferpool.Size))
	if _, err := ours.r.Peek(bufferpool.Size); err != nil {
		t.Fatal(err)
	}
	bell := make(chan struct{}, 1)
	here := make(chan bool, 1)
	go func() { here <- f.wait(ours, bell) }()
	bell <- struct{}{}
	ours.SetReadDeadline(time.Now())
	select {
	case got := <-here:
		if !got {
			t.Error("the client counts as gone")
		}
	case <-time.After(5 * time.Second):
		t.Error("nobody wakes")
	}
}

// A request that was read with its client's end behind it was once begun.
func TestNothingIsBegunForWhoHasLeft(t *testing.T) {
	d := newDoor(t, 1, time.Minute)
	theirs, ours := pair(t)
	fmt.Fprintf(theirs, whole, 1)
	theirs.Close()
	until(t, func() bool {
		_, closed := ours.look()
		return closed
	})
	if d.next(ours) && d.request(ours) {
		t.Error("the connection goes on")
	}
	if n := d.RequestCounts().Rejected; n != 0 {
		t.Errorf("the module was asked for it: %d", n)
	}
}

// A request that crosses the end of its connection was once sent on: its answer had
// nowhere to go.
func TestNothingIsBegunOnWhatDrainHasShut(t *testing.T) {
	d := newDoor(t, 1, time.Minute)
	theirs, ours := pair(t)
	d.mu.Lock()
	d.clients[ours] = struct{}{}
	d.mu.Unlock()
	if left := d.Drain(0); left != 1 {
		t.Fatalf("%d clients", left)
	}
	fmt.Fprintf(theirs, whole, 1) // it crosses
	until(t, func() bool {
		readable, _ := ours.look()
		return readable
	})
	if d.next(ours) {
		t.Error("the request is read")
	}
}

// A connection that goes to rest as it is shut was to wait for its idle time.
func TestDrainWakesWhoGoesToRestJustThen(t *testing.T) {
	d := newDoor(t, 1, time.Minute)
	_, ours := pair(t)
	ours.asked = true
	d.mu.Lock()
	d.clients[ours] = struct{}{}
	d.mu.Unlock()
	d.Drain(0) // its wake comes before next sets the deadline of an idle client
	done := make(chan bool, 1)
	go func() { done <- d.next(ours) }()
	select {
	case on := <-done:
		if on {
			t.Error("the connection goes on")
		}
	case <-time.After(d.limits.ClientIdleTimeout / 2):
		t.Error("it rests on")
	}
}

// Drain must not shut a connection whose request has come and not been read yet.
func TestDrainAnswersWhatHasCome(t *testing.T) {
	d := newDoor(t, 1, time.Minute)
	theirs, ours := pair(t)
	d.mu.Lock()
	d.clients[ours] = struct{}{}
	d.mu.Unlock()
	fmt.Fprintf(theirs, whole, 1)
	until(t, func() bool {
		readable, _ := ours.look()
		return readable
	})
	d.Drain(0)
	go d.serve(ours)
	got, err := io.ReadAll(theirs)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 503") || !strings.Contains(string(got), "Connection: close") {
		t.Errorf("%q, %v", got, err)
	}
}

// Clients that rest until they are let go are shut by Drain, and it waits for them.
func TestDrainLetsRestingClientsGo(t *testing.T) {
	d := newDoor(t, 10, time.Minute)
	v := d.visit(t)
	if got := v.status(fmt.Sprintf(whole, 1)); got != "503" {
		t.Fatal(got)
	}
	until(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for c := range d.clients {
			return c.state == waiting
		}
		return false
	})
	left := make(chan int, 1)
	go func() { left <- d.Drain(5 * time.Second) }()
	if _, err := v.r.ReadByte(); err != io.EOF {
		t.Errorf("resting client: %v", err)
	}
	v.Close()
	if n := <-left; n != 0 {
		t.Errorf("%d clients left", n)
	}
}

// The last answer on a connection was once eaten by the reset that a close over
// unread bytes is answered with.
func TestTheLastAnswerOutlivesUnreadBytes(t *testing.T) {
	d := newDoor(t, 1, time.Minute)
	v := d.visit(t)
	last := strings.Replace(fmt.Sprintf(whole, 1), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	// One write: what comes behind the request lies in the socket as it is answered.
	io.WriteString(v, last+strings.Repeat("x", 8*bufferpool.Size))
	got, err := io.ReadAll(v.r)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 503") {
		t.Errorf("%q, %v", got, err)
	}
}

// The time of a request that was sent ahead was once counted from when the one before
// it began to be answered.
func TestTimeOfWhatIsSentAheadCountsFromWhenItCame(t *testing.T) {
	theirs, ours := pair(t)
	io.WriteString(theirs, "ab")
	if _, err := ours.r.Peek(2); err != nil {
		t.Fatal(err)
	}
	came := time.Now()
	io.WriteString(theirs, "cd")
	if _, err := ours.r.Peek(4); err != nil {
		t.Fatal(err)
	}
	for n, want := range map[int]bool{4: true, 3: true} {
		if got := ours.tap.came(n).Before(came); got != want {
			t.Errorf("with %d bytes in the buffer: came before the second write: %v", n, got)
		}
	}
	if ours.tap.came(2).Before(came) {
		t.Error("the second write's bytes came with the first's")
	}
	for range 3 * mostStamps { // bounded, and never later than it was
		io.WriteString(theirs, "e")
		if _, err := ours.r.Peek(ours.r.Buffered() + 1); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(ours.tap.stamps); n > mostStamps {
		t.Errorf("%d stamps", n)
	}
	if got := ours.tap.came(1); got.After(time.Now()) || got.Before(came) {
		t.Errorf("the last byte came at %v", got)
	}
}
