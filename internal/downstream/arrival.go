package downstream

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// maxArrivals bounds the entries of an arrivalReader. A client that follows the
// protocol has one request outstanding. If a client sends more ahead, bytes beyond
// the bound count as received with the last entry, earlier than they were, which
// only shortens that client's own timeouts.
const maxArrivals = 16

// arrivalReader records when the bytes in the client's read buffer were received,
// and whether the stream has ended. It doesn't keep the connection's read slot while it
// waits for the client.
type arrivalReader struct {
	net.Conn
	slot        readSlot
	arrivals    []arrival
	waiting     atomic.Bool // a read waits for the client, or has just ended
	received    int64       // bytes so far
	ended       bool        // the client closed its side, or the connection failed
	unreadSince time.Time   // since when bytes are known to be unread in the socket; zero: not known
}

// arrival is the time at which the bytes up to an offset in the stream were
// received.
type arrival struct {
	end int64
	at  time.Time
}

func (a *arrivalReader) Read(b []byte) (int, error) {
	held := a.slot.release()
	a.waiting.Store(true)
	n, err := a.Conn.Read(b)
	a.waiting.Store(false)
	if n > 0 {
		a.recordArrival(n)
	}
	if held {
		a.slot.acquire()
	}
	a.ended = a.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// recordArrival adds an entry for n received bytes, with the time of markUnread if
// that was called before.
func (a *arrivalReader) recordArrival(n int) {
	at := time.Now()
	if !a.unreadSince.IsZero() {
		at = a.unreadSince
		a.unreadSince = time.Time{}
	}
	a.received += int64(n)
	if len(a.arrivals) >= maxArrivals {
		a.arrivals[len(a.arrivals)-1].end = a.received
		return
	}
	a.arrivals = append(a.arrivals, arrival{a.received, at})
}

// markUnread records that unread bytes are in the socket now.
func (a *arrivalReader) markUnread() {
	if a.unreadSince.IsZero() {
		a.unreadSince = time.Now()
	}
}

// arrivedAt returns when the first of the bytes that are still in the read buffer
// was received; buffered is their number. It removes entries of earlier bytes.
func (a *arrivalReader) arrivedAt(buffered int) time.Time {
	for len(a.arrivals) > 1 && a.arrivals[0].end <= a.received-int64(buffered) {
		a.arrivals = append(a.arrivals[:0], a.arrivals[1:]...)
	}
	if len(a.arrivals) == 0 {
		return time.Now()
	}
	return a.arrivals[0].at
}
