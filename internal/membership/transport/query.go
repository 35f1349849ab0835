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
	// toolName is the sender's name in a tool's queries; no router may have it.
	toolName = "?"

	queryAttempts = 3
	queryTimeout  = 400 * time.Millisecond // of one attempt
	maxViewPages  = 100
)

// ErrNoAnswer says that a router did not answer a tool's query.
var ErrNoAnswer = errors.New("no answer")

// Query gets a router's view, page by page, for a tool. Where the view changes between two pages, it begins with the
// new one. The error is ErrNoAnswer, or that of the socket.
func Query(key []byte, name string, addr netip.AddrPort) (*membership.View, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
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
			view = page // of another view
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

// queryPage asks for the page that begins at an offset, several times if need be.
func queryPage(conn *net.UDPConn, key []byte, name string, offset int) (*membership.View, error) {
	query, err := sealDatagram(key, &membership.Message{
		Kind:      membership.KindQuery,
		RequestID: uint32(offset),
		To:        name,
		Sender:    membership.Update{Name: toolName, State: membership.StateAlive},
	})
	if err != nil {
		return nil, err
	}
	for range queryAttempts {
		if _, err := conn.Write(query); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if page := readPage(conn, key, uint32(offset), time.Now().Add(queryTimeout)); page != nil {
			return page, nil
		}
	}
	return nil, fmt.Errorf("%s at %v: %w", name, conn.RemoteAddr(), ErrNoAnswer)
}

// readPage reads until the answer to a query; nil: it was refused or did not come in time.
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
