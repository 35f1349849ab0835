package membership

import (
	"net/netip"
	"slices"
	"strings"
)

// Connectivity is what a router knows of its own part of the site: the next decisions
// are made by it.
type Connectivity struct {
	State          State `cbor:"1,keyasint,omitempty"`                 // of itself
	Known          int   `cbor:"2,keyasint,omitempty"`                 // routers, itself among them; those that have left are not
	Reachable      int   `cbor:"3,keyasint,omitempty"`                 // of those, alive as far as is known, itself among them
	ProbesAnswered int   `cbor:"4,keyasint,omitempty" json:"Answered"` // of the last Asked own questions, in any way
	ProbesSent     int   `cbor:"5,keyasint,omitempty" json:"Asked"`
	Majority       bool  `cbor:"6,keyasint,omitempty"`                // more than half of those known are reachable, and more than half of the last questions were answered
	MajoritySince  int64 `cbor:"7,keyasint,omitempty" json:"Since"`   // when Majority last changed
	Silence        int64 `cbor:"8,keyasint,omitempty"`                // how long nobody has been heard
	Resuming       bool  `cbor:"9,keyasint,omitempty" json:"Waking"`  // it was stopped, and has not heard since
	MajorityAge    int64 `cbor:"11,keyasint,omitempty" json:"Age"`    // of Since
	LocalHealth    int   `cbor:"10,keyasint,omitempty" json:"Health"` // 0 good to 3: how much it doubts itself
}

// stand takes the standing anew.
func (n *Node) stand() {
	s := Connectivity{State: n.self.State, Known: 1, Reachable: 1, MajoritySince: n.stood.MajoritySince, Silence: n.now - n.heard, Resuming: n.waking > 0, LocalHealth: n.health}
	for _, m := range n.members {
		switch m.state {
		case StateAlive, StateLeaving:
			s.Known++
			s.Reachable++
		case StateSuspect, StateDead:
			s.Known++
		}
	}
	s.ProbesSent = min(n.nth, calmSamples)
	for _, ok := range n.answers[:s.ProbesSent] {
		if ok {
			s.ProbesAnswered++
		}
	}
	silent := s.Silence > suspicionLeast(s.Known) && s.Known > 1
	s.Majority = 2*s.Reachable > s.Known && 2*s.ProbesAnswered >= s.ProbesSent && !silent && s.State != StateNameConflict && s.State != StateJoining && !s.Resuming
	if s.Majority != n.stood.Majority {
		s.MajoritySince = n.now
	}
	s.MajorityAge = n.now - s.MajoritySince
	n.stood = s
}

// Connectivity is that of the last Run.
func (n *Node) Connectivity() Connectivity { return n.stood }

// MemberStatus is what a view holds of one router. Ages are microseconds.
type MemberStatus struct {
	Name          string         `cbor:"1,keyasint"`
	Zone          string         `cbor:"2,keyasint,omitempty" json:"Place"`
	Addr          netip.AddrPort `cbor:"3,keyasint,omitempty"`
	State         State          `cbor:"4,keyasint"`
	ID            InstanceID     `cbor:"5,keyasint,omitempty"`
	Incarnation   uint32         `cbor:"6,keyasint,omitempty" json:"Inc"`
	Reach         Reach          `cbor:"7,keyasint,omitempty"`
	StateAge      int64          `cbor:"8,keyasint,omitempty" json:"Since"` // age of the state
	LastHeardAge  int64          `cbor:"9,keyasint,omitempty" json:"Heard"` // age of the last proof; -1: none
	Confirmations int            `cbor:"10,keyasint,omitempty" json:"Witnesses"`
	RTT           int64          `cbor:"11,keyasint,omitempty"`
	Process       *ProcessInfo   `cbor:"12,keyasint,omitempty" json:"Runs"`
}

// View is a router's, for people and tests: a page of it where it is long.
type View struct {
	Self         MemberStatus   `cbor:"1,keyasint"`
	Connectivity Connectivity   `cbor:"2,keyasint" json:"Standing"`
	Counts       Counts         `cbor:"3,keyasint"`
	Digest       uint64         `cbor:"4,keyasint"`
	Members      []MemberStatus `cbor:"5,keyasint,omitempty" json:"Seen"`
	Offset       int            `cbor:"6,keyasint,omitempty" json:"From"` // place of the first of Seen in the whole
	Total        int            `cbor:"7,keyasint,omitempty"`
}

// View tells all, sorted by name.
func (n *Node) View() *View {
	v := &View{Connectivity: n.stood, Counts: n.Counts, Digest: n.whole()}
	s := &n.self
	v.Self = MemberStatus{Name: s.Name, Zone: s.Zone, Addr: s.Addr, State: s.State, ID: s.ID, Incarnation: s.Incarnation, Process: s.Process}
	for _, m := range n.members {
		if m.state == StateUnknown {
			if m.seed {
				v.Members = append(v.Members, MemberStatus{Name: m.name, Addr: m.addr, LastHeardAge: -1})
			}
			continue
		}
		x := MemberStatus{
			Name: m.name, Zone: m.place, Addr: m.addr, State: m.state, ID: m.id, Incarnation: m.inc, Reach: m.reach, StateAge: n.now - m.since, Process: m.runs,
			LastHeardAge: -1, RTT: int64(m.rtt),
		}
		if m.heard > 0 {
			x.LastHeardAge = n.now - m.heard
		}
		for _, w := range m.witnesses {
			if w != 0 {
				x.Confirmations++
			}
		}
		v.Members = append(v.Members, x)
	}
	slices.SortFunc(v.Members, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	v.Total = len(v.Members)
	return v
}

// State is what is held of a router now.
func (n *Node) State(name string) State {
	if name == n.self.Name {
		return n.self.State
	}
	if m := n.members[name]; m != nil {
		return m.state
	}
	return StateUnknown
}

// query answers a tool, a page of the view at a time: Seq is the first wanted.
// It can't be asked often.
func (n *Node) query(via netip.AddrPort, w *Message) {
	const every, mostAtOnce, head = 5 * ms, 100, 350 // of a view without its list
	n.queried = max(n.queried, n.now-mostAtOnce*every)
	if n.queried > n.now-every || !via.IsValid() {
		return
	}
	n.queried += every
	v := n.View()
	v.Offset = min(int(w.RequestID), v.Total)
	v.Members = v.Members[v.Offset:]
	size := head
	for i := range v.Members {
		if size += 70 + len(v.Members[i].Name) + len(v.Members[i].Zone); size > n.set.MaxMessageBytes {
			v.Members = v.Members[:i]
			break
		}
	}
	n.n++
	n.Counts.Sent++
	n.out = append(n.out, Outbound{w.Sender.Name, via, &Message{Kind: KindQueryResponse, Sequence: n.n, RequestID: w.RequestID, Sender: n.self, To: w.Sender.Name, View: v}})
}
