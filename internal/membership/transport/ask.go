package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/membership"
)

// toolName is what a tool calls itself; no router may have it.
const toolName = "?"

// ErrSilent is that of a router that does not answer a tool.
var ErrSilent = errors.New("no answer")

// Ask gets a router's view, page by page, as a person's tool.
func Ask(key []byte, name string, addr netip.AddrPort) (*membership.View, error) {
	const tries, patience, pages = 3, 400 * time.Millisecond, 100
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	var whole *membership.View
	for range pages {
		from := 0
		if whole != nil {
			from = len(whole.Seen)
		}
		q, err := peerproto.Seal(key, &membership.Word{Kind: membership.Query, Seq: uint32(from), To: name,
			From: membership.Rumour{Name: toolName, State: membership.Alive}})
		if err != nil {
			return nil, err
		}
		var page *membership.View
		for try := 0; try < tries && page == nil; try++ {
			if _, err := conn.Write(q); err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			page = answer(conn, key, uint32(from), time.Now().Add(patience))
		}
		if page == nil {
			return nil, fmt.Errorf("%s at %v: %w", name, addr, ErrSilent)
		}
		if whole == nil {
			whole = page
		} else if page.Digest != whole.Digest || page.Total != whole.Total {
			whole = page // it has changed meanwhile: a page of another view
			if page.From != 0 {
				whole.Seen = nil
			}
			continue
		} else {
			whole.Seen = append(whole.Seen, page.Seen...)
		}
		if len(whole.Seen) >= whole.Total || len(page.Seen) == 0 {
			return whole, nil
		}
	}
	return whole, nil
}

func answer(conn *net.UDPConn, key []byte, seq uint32, until time.Time) *membership.View {
	conn.SetReadDeadline(until)
	b := make([]byte, peerproto.MostDatagram+1)
	for {
		n, err := conn.Read(b)
		if err != nil {
			return nil // refused, or its time is over
		}
		var w membership.Word
		if peerproto.Open(key, b[:n], &w) == nil && w.Kind == membership.Viewed && w.Seq == seq && w.View != nil {
			return w.View
		}
	}
}

// Matrix asks all whom a view holds and tells who sees whom. Addresses are those
// that the asked router has.
type Matrix struct {
	Names []string
	Views map[string]*membership.View // nil: no answer
}

// AskAll makes the matrix, some at a time.
func AskAll(key []byte, first *membership.View) *Matrix {
	const atOnce = 16
	m := &Matrix{Names: []string{first.Self.Name}, Views: map[string]*membership.View{first.Self.Name: first}}
	type got struct {
		name string
		view *membership.View
	}
	places, answers := make(chan struct{}, atOnce), make(chan got, len(first.Seen))
	asked := 0
	for _, s := range first.Seen {
		if !slices.Contains(m.Names, s.Name) {
			m.Names = append(m.Names, s.Name)
		}
		if !s.Addr.IsValid() {
			continue
		}
		asked++
		go func() {
			places <- struct{}{}
			defer func() { <-places }()
			v, _ := Ask(key, s.Name, s.Addr)
			answers <- got{s.Name, v}
		}()
	}
	for range asked {
		g := <-answers
		m.Views[g.name] = g.view
	}
	slices.SortFunc(m.Names, strings.Compare)
	return m
}

// State is what one router holds of another.
func (m *Matrix) State(of, by string) (membership.Seen, bool) {
	v := m.Views[by]
	if v == nil {
		return membership.Seen{}, false
	}
	if of == by {
		return v.Self, true
	}
	for _, s := range v.Seen {
		if s.Name == of {
			return s, true
		}
	}
	return membership.Seen{}, true
}

// Differ names routers of whom those that answered don't hold the same, apart from
// suspicions.
func (m *Matrix) Differ() (names []string) {
	for _, of := range m.Names {
		kinds := map[string]bool{}
		for _, by := range m.Names {
			if s, ok := m.State(of, by); ok {
				state := s.State
				if state == membership.Suspected {
					state = membership.Alive
				}
				kinds[fmt.Sprint(state, s.ID)] = true
			}
		}
		if len(kinds) > 1 {
			names = append(names, of)
		}
	}
	return names
}
