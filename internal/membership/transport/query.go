package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"quilldoor/internal/membership"
)

const (
	// toolName is the sender's name in the queries of a tool; no router may have this name.
	toolName = "?"

	queryAttempts = 3
	queryTimeout  = 400 * time.Millisecond // of each attempt
	maxViewPages  = 100
)

// ErrNoAnswer means that a router did not answer the query of a tool.
var ErrNoAnswer = errors.New("no answer")

// Query requests the view of a router for a tool, page by page. If the view changes between two pages, it starts over
// with the new view. The error wraps ErrNoAnswer or an error of the socket.
func Query(key []byte, name string, addr netip.AddrPort) (*membership.View, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("query router %s: %w", name, err)
	}
	defer conn.Close()
	var view *membership.View
	for range maxViewPages {
		offset := 0
		if view != nil {
			offset = len(view.Members)
		}
		page, err := queryPage(conn, key, name, offset)
		if err != nil {
			return nil, err
		}
		switch {
		case view == nil:
			view = page
		case page.Digest != view.Digest || page.Total != view.Total:
			view = page // the view has changed
			if page.Offset != 0 {
				view.Members = nil
			}
			continue
		default:
			view.Members = append(view.Members, page.Members...)
		}
		if len(view.Members) >= view.Total || len(page.Members) == 0 {
			return view, nil
		}
	}
	return view, nil
}

// queryPage requests the page that begins at the member with the index offset. It makes up to queryAttempts attempts.
func queryPage(conn *net.UDPConn, key []byte, name string, offset int) (*membership.View, error) {
	query, err := sealDatagram(key, &membership.Message{
		Kind:      membership.KindQuery,
		RequestID: uint32(offset),
		To:        name,
		Sender:    membership.Update{Name: toolName, State: membership.StateAlive},
	})
	if err != nil {
		return nil, fmt.Errorf("query router %s: %w", name, err)
	}
	for range queryAttempts {
		if _, err := conn.Write(query); err != nil {
			return nil, fmt.Errorf("query router %s: %w", name, err)
		}
		if page := readPage(conn, key, uint32(offset), time.Now().Add(queryTimeout)); page != nil {
			return page, nil
		}
	}
	return nil, fmt.Errorf("query router %s at %v: %w", name, conn.RemoteAddr(), ErrNoAnswer)
}

// readPage reads datagrams until one answers the query. It returns nil if none does so before the deadline, or if the
// socket reports an error, such as a refused query.
func readPage(conn *net.UDPConn, key []byte, requestID uint32, deadline time.Time) *membership.View {
	conn.SetReadDeadline(deadline)
	buffer := make([]byte, MaxDatagram+1)
	for {
		size, err := conn.Read(buffer)
		if err != nil {
			return nil
		}
		var msg membership.Message
		if openDatagram(key, buffer[:size], &msg) != nil {
			continue
		}
		if msg.Kind == membership.KindQueryResponse && msg.RequestID == requestID && msg.View != nil {
			return msg.View
		}
	}
}
