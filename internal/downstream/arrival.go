package downstream

import (
	"errors"
	"net"
	"os"
	"time"
)

// maxArrivals bounds what an arrivalReader remembers. A client of the protocol
// has one request out; of what it sends beyond that, the last bytes count as
// received earlier than they were, which only takes from that client's time.
const maxArrivals = 16

// arrivalReader notes when bytes were received and whether the client's side has
// ended, for what lies in the buffer behind it.
type arrivalReader struct {
	net.Conn
	arrivals    []arrival
	received    int64     // bytes so far
	ended       bool      // nothing comes any more
	unreadSince time.Time // since when bytes are known to wait in the socket; zero: not known
}

// arrival says when the bytes up to an offset were received.
type arrival struct {
	end int64
	at  time.Time
}

func (a *arrivalReader) Read(b []byte) (int, error) {
	n, err := a.Conn.Read(b)
	if n > 0 {
		a.note(n)
	}
	a.ended = a.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

func (a *arrivalReader) note(n int) {
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

// noteUnread says that bytes wait in the socket.
func (a *arrivalReader) noteUnread() {
	if a.unreadSince.IsZero() {
		a.unreadSince = time.Now()
	}
}

// arrivedAt returns when the first byte was received of those that are still in
// the buffer.
func (a *arrivalReader) arrivedAt(buffered int) time.Time {
	for len(a.arrivals) > 1 && a.arrivals[0].end <= a.received-int64(buffered) {
		a.arrivals = append(a.arrivals[:0], a.arrivals[1:]...)
	}
	if len(a.arrivals) == 0 {
		return time.Now()
	}
	return a.arrivals[0].at
}
