package membership

import (
	"net/netip"
	"slices"
	"strings"
)

// MemberStatus is a node's view of one member, or of itself. Durations are in microseconds. For a seed without any
// update yet only Name, Addr and LastHeardAge are set. For the node itself the fields after Incarnation are empty,
// except for Process.
type MemberStatus struct {
	Name          string         `cbor:"1,keyasint"`
	Zone          string         `cbor:"2,keyasint,omitempty" json:"Place"`
	Addr          netip.AddrPort `cbor:"3,keyasint,omitempty"`
	State         State          `cbor:"4,keyasint"`
	ID            InstanceID     `cbor:"5,keyasint,omitempty"`
	Incarnation   uint32         `cbor:"6,keyasint,omitempty" json:"Inc"`
	Reach         Reach          `cbor:"7,keyasint,omitempty"`
	StateAge      int64          `cbor:"8,keyasint,omitempty" json:"Since"`      // time since it entered State
	LastHeardAge  int64          `cbor:"9,keyasint,omitempty" json:"Heard"`      // since its last accepted message or acknowledgement; -1: none
	Confirmations int            `cbor:"10,keyasint,omitempty" json:"Witnesses"` // members that suspect it, at most 3
	RTT           int64          `cbor:"11,keyasint,omitempty"`                  // of its last direct acknowledgement; 0: none
	Process       *ProcessInfo   `cbor:"12,keyasint,omitempty" json:"Runs"`      // nil: not reported
}

// View is a snapshot of a node for tools and tests, or one page of the snapshot.
type View struct {
	Self         MemberStatus   `cbor:"1,keyasint"`
	Connectivity Connectivity   `cbor:"2,keyasint" json:"Standing"`
	Counts       Counts         `cbor:"3,keyasint"`
	Digest       uint64         `cbor:"4,keyasint"` // digest of the present members, the same for equal views
	Members      []MemberStatus `cbor:"5,keyasint,omitempty" json:"Seen"`
	Offset       int            `cbor:"6,keyasint,omitempty" json:"From"` // index of the page's first member among all
	Total        int            `cbor:"7,keyasint,omitempty"`             // number of members in all pages
}

// View returns a snapshot of all members, sorted by name.
func (n *Node) View() *View {
	view := &View{
		Self: MemberStatus{
			Name:        n.self.Name,
			Zone:        n.self.Zone,
			Addr:        n.self.Addr,
			State:       n.self.State,
			ID:          n.self.ID,
			Incarnation: n.self.Incarnation,
			Process:     n.self.Process,
		},
		Connectivity: n.connectivity,
		Counts:       n.Counts,
		Digest:       n.viewDigest(),
	}
	for _, m := range n.members {
		if m.state != StateUnknown || m.seed {
			view.Members = append(view.Members, m.status(n.now))
		}
	}
	slices.SortFunc(view.Members, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	view.Total = len(view.Members)
	return view
}

func (m *member) status(now int64) MemberStatus {
	if m.state == StateUnknown {
		return MemberStatus{Name: m.name, Addr: m.addr, LastHeardAge: -1}
	}
	status := MemberStatus{
		Name:          m.name,
		Zone:          m.zone,
		Addr:          m.addr,
		State:         m.state,
		ID:            m.id,
		Incarnation:   m.incarnation,
		Reach:         m.reach,
		StateAge:      now - m.stateSince,
		LastHeardAge:  -1,
		Confirmations: m.confirmations(),
		RTT:           int64(m.rtt),
		Process:       m.process,
	}
	if m.lastHeardAt > 0 {
		status.LastHeardAge = now - m.lastHeardAt
	}
	return status
}

// Rate limit of queries, and estimated sizes of their responses in bytes.
const (
	queryInterval    = 5 * millisecond // minimum mean time between two answered queries
	maxQueryBurst    = 100             // queries
	viewHeadBytes    = 350             // of a page without its members
	memberEntryBytes = 70              // of a member without the bytes of its name and zone
)

// answerQuery answers a tool with the page of the view that begins at the member with the index RequestID. Queries
// above the rate limit are not answered.
func (n *Node) answerQuery(source netip.AddrPort, msg *Message) {
	n.queryAllowedAt = max(n.queryAllowedAt, n.now-maxQueryBurst*queryInterval)
	if n.queryAllowedAt > n.now-queryInterval || !source.IsValid() {
		return
	}
	n.queryAllowedAt += queryInterval
	page := n.viewPage(int(msg.RequestID))
	n.lastSequence++
	n.Counts.Sent++
	n.outbox = append(n.outbox, Outbound{
		To:   msg.Sender.Name,
		Addr: source,
		Message: &Message{
			Kind:      KindQueryResponse,
			Sequence:  n.lastSequence,
			RequestID: msg.RequestID,
			Sender:    n.self,
			To:        msg.Sender.Name,
			View:      page,
		},
	})
}

// viewPage returns the page of the view that begins at the member with the index offset. It holds as many members as
// fit into a message.
func (n *Node) viewPage(offset int) *View {
	v := n.View()
	v.Offset = min(offset, v.Total)
	v.Members = v.Members[v.Offset:]
	size := viewHeadBytes
	for i, m := range v.Members {
		size += memberEntryBytes + len(m.Name) + len(m.Zone)
		if size > n.settings.MaxMessageBytes {
			v.Members = v.Members[:i]
			break
		}
	}
	return v
}
