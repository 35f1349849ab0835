package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"quilldoor/internal/membership"
)

// toolName is what a tool calls itself; no router may have it.
const toolName = "?"

// ErrNoAnswer is that of a router that does not answer a tool.
var ErrNoAnswer = errors.New("no answer")

// Query gets a router's view, page by page, as a person's tool.
func Query(key []byte, name string, addr netip.AddrPort) (*membership.View, error) {
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
			from = len(whole.Members)
		}
		q, err := sealDatagram(key, &membership.Message{
			Kind: membership.KindQuery, RequestID: uint32(from), To: name,
			Sender: membership.Update{Name: toolName, State: membership.StateAlive},
		})
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
			return nil, fmt.Errorf("%s at %v: %w", name, addr, ErrNoAnswer)
		}
		if whole == nil {
			whole = page
		} else if page.Digest != whole.Digest || page.Total != whole.Total {
			whole = page // it has changed meanwhile: a page of another view
			if page.Offset != 0 {
				whole.Members = nil
			}
			continue
		} else {
			whole.Members = append(whole.Members, page.Members...)
		}
		if len(whole.Members) >= whole.Total || len(page.Members) == 0 {
			return whole, nil
		}
	}
	return whole, nil
}

func answer(conn *net.UDPConn, key []byte, seq uint32, until time.Time) *membership.View {
	conn.SetReadDeadline(until)
	b := make([]byte, MaxDatagram+1)
	for {
		n, err := conn.Read(b)
		if err != nil {
			return nil // refused, or its time is over
		}
		var w membership.Message
		if openDatagram(key, b[:n], &w) == nil && w.Kind == membership.KindQueryResponse && w.RequestID == seq && w.View != nil {
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

// QueryAll makes the matrix, some at a time.
func QueryAll(key []byte, first *membership.View) *Matrix {
	const atOnce = 16
	m := &Matrix{Names: []string{first.Self.Name}, Views: map[string]*membership.View{first.Self.Name: first}}
	type got struct {
		name string
		view *membership.View
	}
	places, answers := make(chan struct{}, atOnce), make(chan got, len(first.Members))
	asked := 0
	for _, s := range first.Members {
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
			v, _ := Query(key, s.Name, s.Addr)
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

// Status is what one router holds of another.
func (m *Matrix) Status(of, by string) (membership.MemberStatus, bool) {
	v := m.Views[by]
	if v == nil {
		return membership.MemberStatus{}, false
	}
	if of == by {
		return v.Self, true
	}
	for _, s := range v.Members {
		if s.Name == of {
			return s, true
		}
	}
	return membership.MemberStatus{}, true
}

// Disagreements names routers of whom those that answered don't hold the same, apart from
// suspicions.
func (m *Matrix) Disagreements() (names []string) {
	for _, of := range m.Names {
		kinds := map[string]bool{}
		for _, by := range m.Names {
			if s, ok := m.Status(of, by); ok {
				state := s.State
				if state == membership.StateSuspect {
					state = membership.StateAlive
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
