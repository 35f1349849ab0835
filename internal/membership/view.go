package membership

import (
	"net/netip"
	"slices"
	"strings"
)

// Standing is what a router knows of its own part of the site: the next decisions
// are made by it.
type Standing struct {
	State     State `cbor:"1,keyasint,omitempty"` // of itself
	Known     int   `cbor:"2,keyasint,omitempty"` // routers, itself among them; those that have left are not
	Reachable int   `cbor:"3,keyasint,omitempty"` // of those, alive as far as is known, itself among them
	Answered  int   `cbor:"4,keyasint,omitempty"` // of the last Asked own questions, in any way
	Asked     int   `cbor:"5,keyasint,omitempty"`
	Majority  bool  `cbor:"6,keyasint,omitempty"`  // more than half of those known are reachable, and more than half of the last questions were answered
	Since     int64 `cbor:"7,keyasint,omitempty"`  // when Majority last changed
	Silence   int64 `cbor:"8,keyasint,omitempty"`  // how long nobody has been heard
	Waking    bool  `cbor:"9,keyasint,omitempty"`  // it was stopped, and has not heard since
	Age       int64 `cbor:"11,keyasint,omitempty"` // of Since
	Health    int   `cbor:"10,keyasint,omitempty"` // 0 good to 3: how much it doubts itself
}

// stand takes the standing anew.
func (n *Node) stand() {
	s := Standing{State: n.self.State, Known: 1, Reachable: 1, Since: n.stood.Since, Silence: n.now - n.heard, Waking: n.waking > 0, Health: n.health}
	for _, m := range n.members {
		switch m.state {
		case Alive, Leaving:
			s.Known++
			s.Reachable++
		case Suspected, Dead:
			s.Known++
		}
	}
	s.Asked = min(n.nth, calmSamples)
	for _, ok := range n.answers[:s.Asked] {
		if ok {
			s.Answered++
		}
	}
	silent := s.Silence > suspicionLeast(s.Known) && s.Known > 1
	s.Majority = 2*s.Reachable > s.Known && 2*s.Answered >= s.Asked && !silent && s.State != Doubled && s.State != Joining && !s.Waking
	if s.Majority != n.stood.Majority {
		s.Since = n.now
	}
	s.Age = n.now - s.Since
	n.stood = s
}

// Standing is that of the last Run.
func (n *Node) Standing() Standing { return n.stood }

// Seen is what a view holds of one router. Ages are microseconds.
type Seen struct {
	Name      string         `cbor:"1,keyasint"`
	Place     string         `cbor:"2,keyasint,omitempty"`
	Addr      netip.AddrPort `cbor:"3,keyasint,omitempty"`
	State     State          `cbor:"4,keyasint"`
	ID        ID             `cbor:"5,keyasint,omitempty"`
	Inc       uint32         `cbor:"6,keyasint,omitempty"`
	Reach     Reach          `cbor:"7,keyasint,omitempty"`
	Since     int64          `cbor:"8,keyasint,omitempty"` // age of the state
	Heard     int64          `cbor:"9,keyasint,omitempty"` // age of the last proof; -1: none
	Witnesses int            `cbor:"10,keyasint,omitempty"`
	RTT       int64          `cbor:"11,keyasint,omitempty"`
	Runs      *Runs          `cbor:"12,keyasint,omitempty"`
}

// View is a router's, for people and tests: a page of it where it is long.
type View struct {
	Self     Seen     `cbor:"1,keyasint"`
	Standing Standing `cbor:"2,keyasint"`
	Counts   Counts   `cbor:"3,keyasint"`
	Digest   uint64   `cbor:"4,keyasint"`
	Seen     []Seen   `cbor:"5,keyasint,omitempty"`
	From     int      `cbor:"6,keyasint,omitempty"` // place of the first of Seen in the whole
	Total    int      `cbor:"7,keyasint,omitempty"`
}

// View tells all, sorted by name.
func (n *Node) View() *View {
	v := &View{Standing: n.stood, Counts: n.Counts, Digest: n.whole()}
	s := &n.self
	v.Self = Seen{Name: s.Name, Place: s.Place, Addr: s.Addr, State: s.State, ID: s.ID, Inc: s.Inc, Runs: s.Runs}
	for _, m := range n.members {
		if m.state == Unknown {
			if m.seed {
				v.Seen = append(v.Seen, Seen{Name: m.name, Addr: m.addr, Heard: -1})
			}
			continue
		}
		x := Seen{Name: m.name, Place: m.place, Addr: m.addr, State: m.state, ID: m.id, Inc: m.inc, Reach: m.reach, Since: n.now - m.since, Runs: m.runs,
			Heard: -1, RTT: int64(m.rtt)}
		if m.heard > 0 {
			x.Heard = n.now - m.heard
		}
		for _, w := range m.witnesses {
			if w != 0 {
				x.Witnesses++
			}
		}
		v.Seen = append(v.Seen, x)
	}
	slices.SortFunc(v.Seen, func(a, b Seen) int { return strings.Compare(a.Name, b.Name) })
	v.Total = len(v.Seen)
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
	return Unknown
}

// query answers a tool, a page of the view at a time: Seq is the first wanted.
// It can't be asked often.
func (n *Node) query(via netip.AddrPort, w *Word) {
	const every, mostAtOnce, head = 5 * ms, 100, 350 // of a view without its list
	n.queried = max(n.queried, n.now-mostAtOnce*every)
	if n.queried > n.now-every || !via.IsValid() {
		return
	}
	n.queried += every
	v := n.View()
	v.From = min(int(w.Seq), v.Total)
	v.Seen = v.Seen[v.From:]
	size := head
	for i := range v.Seen {
		if size += 70 + len(v.Seen[i].Name) + len(v.Seen[i].Place); size > n.set.Most {
			v.Seen = v.Seen[:i]
			break
		}
	}
	n.n++
	n.Counts.Sent++
	n.out = append(n.out, Out{w.From.Name, via, &Word{Kind: Viewed, N: n.n, Seq: w.Seq, From: n.self, To: w.From.Name, View: v}})
}
