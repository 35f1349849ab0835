package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
	"quilldoor/internal/simfleet"
)

const ms, second = int64(1000), int64(1_000_000)

// site is a fleet whose clocks are always behind: each life guesses 1.
func site(n int, seed uint64, wrong string, loss float64) *simfleet.Fleet {
	net := netsim.New(300, 700, rand.New(rand.NewPCG(seed, 2)))
	if loss > 0 {
		net.AddFault(&netsim.Fault{Loss: loss})
	}
	lives := uint64(0)
	f := simfleet.New(n, seed, net, func(h *simfleet.Host, now int64) simfleet.Detector {
		lives++
		set := membership.Settings{Name: h.Name, Zone: "office", Addr: simfleet.Addr(h.ID), Seeds: simfleet.Seeds(min(n, 3)), Epoch: 1}
		return membership.New(set.Wrong(wrong), rand.New(rand.NewPCG(seed, lives)), now)
	})
	for i := range n {
		f.Start(i)
	}
	return f
}

// agree plays until all views are right.
func agree(f *simfleet.Fleet, within int64) (took int64, why string) {
	from := f.Now
	for f.Now < from+within {
		f.RunUntil(f.Now + 20*ms)
		ok := false
		if ok, why = f.Converged(); ok {
			return f.Now - from, ""
		}
	}
	return within, why
}

func must(t *testing.T, f *simfleet.Fleet, within int64) {
	t.Helper()
	if _, why := agree(f, within); why != "" {
		t.Fatalf("no agreement within %d ms: %s", within/ms, why)
	}
}

// Wrong variants are caught, each by what its guard is there for; the right one
// passes all of it.
func TestWrongVariants(t *testing.T) {
	trials := map[string]func(wrong string) error{
		// What was said of one before it died comes late: it stays dead.
		"no incarnations": func(wrong string) error {
			n := membership.New(membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)}.Wrong(wrong), rand.New(rand.NewPCG(1, 1)), 1)
			from := membership.Update{Name: "n1", ID: membership.InstanceID{Epoch: 9, Nonce: 9}, Incarnation: 1, State: membership.StateAlive, Addr: simfleet.Addr(1)}
			for i, r := range []membership.Update{{Incarnation: 5, State: membership.StateDead}, {Incarnation: 3, State: membership.StateAlive}, {Incarnation: 5, State: membership.StateAlive}} {
				r.Name, r.ID = "x", membership.InstanceID{Epoch: 2, Nonce: 2}
				n.Receive(second, netip.AddrPort{}, &membership.Message{
					Kind: membership.KindStateExchange, Sequence: uint64(i + 1), Sender: from, To: "me", ToInstance: n.Self().ID,
					Updates: []membership.Update{r},
				})
			}
			if s := n.State("x"); s != membership.StateDead {
				return fmt.Errorf("the dead is %v", s)
			}
			return nil
		},
		// One stands still for less than suspicion takes: nobody calls it dead.
		"no refuting": func(wrong string) error {
			f := site(12, 1, wrong, 0.05)
			agree(f, 30*second)
			dead := 0
			f.OnChange = func(_ *simfleet.Host, c membership.Change) {
				if c.To == membership.StateDead {
					dead++
				}
			}
			for range 5 {
				f.Pause(3)
				f.RunUntil(f.Now + second/2)
				f.Resume(3)
				f.RunUntil(f.Now + 5*second)
			}
			if dead > 0 {
				return fmt.Errorf("a live one was called dead %d times", dead)
			}
			return nil
		},
		// One hears all answers late: it alone may not bury the healthy.
		"one witness": func(wrong string) error {
			f := site(12, 1, wrong, 0)
			agree(f, 30*second)
			dead := 0
			f.OnChange = func(h *simfleet.Host, c membership.Change) {
				if c.To == membership.StateDead && h.ID == 4 {
					dead++
				}
			}
			f.Network.AddFault(&netsim.Fault{To: []int{4}, Delay: 1300 * ms})
			f.RunUntil(f.Now + 10*second)
			if dead > 0 {
				return fmt.Errorf("live ones were called dead %d times", dead)
			}
			return nil
		},
		// Ten seconds after all have met there is nothing to tell.
		"no bound": func(wrong string) error {
			f := site(12, 1, wrong, 0)
			agree(f, 30*second)
			f.Kill(11)
			f.RunUntil(f.Now + 10*second)
			from := f.Hosts[0].SentBytes
			f.RunUntil(f.Now + 5*second)
			if rate := (f.Hosts[0].SentBytes - from) / 5; rate > 2000 {
				return fmt.Errorf("%d bytes a second with nothing to tell", rate)
			}
			return nil
		},
		// A sleeper had asked just before it was stopped: nobody has failed because it
		// did not hear the answer.
		"wakes talking": func(wrong string) error {
			f := site(12, 1, wrong, 0)
			agree(f, 30*second)
			for range 10 {
				heal := f.Network.AddFault(&netsim.Fault{From: []int{11}, Bidirectional: true, Partitioned: true})
				f.RunUntil(f.Now + 170*ms)
				f.Pause(11)
				f.RunUntil(f.Now + second)
				heal()
				f.RunUntil(f.Now + 20*second)
				suspects := 0
				f.OnChange = func(h *simfleet.Host, c membership.Change) {
					if h.ID == 11 && c.To == membership.StateSuspect {
						suspects++
					}
				}
				f.Resume(11)
				f.RunUntil(f.Now + 10*ms)
				f.OnChange = nil
				if suspects > 0 {
					return fmt.Errorf("a sleeper suspects %d as it wakes", suspects)
				}
				if s := f.Hosts[11].Detector.(*membership.Node).Connectivity(); s.Majority {
					return fmt.Errorf("a sleeper that woke believes itself: %+v", s)
				}
				if _, why := agree(f, 20*second); why != "" {
					return fmt.Errorf("and then: %s", why)
				}
			}
			return nil
		},
		// What the dead have said comes again and again: it proves nothing.
		"takes replays": func(wrong string) error {
			f := site(6, 1, wrong, 0)
			var said []*membership.Message
			f.BeforeSend = func(h *simfleet.Host, w *membership.Message) {
				if h.ID == 5 && w.Kind == membership.KindPing {
					b, _ := cbor.Marshal(w)
					x := new(membership.Message)
					cbor.Unmarshal(b, x)
					said = append(said, x)
				}
			}
			agree(f, 30*second)
			f.RunUntil(f.Now + 20*second)
			f.Kill(5)
			for until := f.Now + 10*second; f.Now < until; f.RunUntil(f.Now + 100*ms) {
				for _, w := range said[len(said)-60:] {
					for _, h := range f.Hosts[:5] {
						x := *w
						if h.Name == w.To {
							h.Detector.Receive(f.Now, netip.AddrPort{}, &x)
						}
					}
				}
			}
			for _, h := range f.Hosts[:5] {
				if s := h.Detector.State(simfleet.Name(5)); s != membership.StateDead {
					return fmt.Errorf("%s holds the dead %v", h.Name, s)
				}
			}
			return nil
		},
	}
	for name, trial := range trials {
		t.Run(name, func(t *testing.T) {
			if err := trial(""); err != nil {
				t.Errorf("the right one: %v", err)
			}
			if err := trial(name); err == nil {
				t.Errorf("not caught")
			} else {
				t.Log(err)
			}
		})
	}
}

// A router comes back from nothing with a clock that is behind: it is no ghost, not
// refused, and what was said of its earlier lives no longer counts.
func TestBackFromNothing(t *testing.T) {
	f := site(6, 3, "", 0)
	must(t, f, 10*second)
	last := map[string]membership.InstanceID{}
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		key := h.Name + c.Name
		if c.To == membership.StateAlive && c.ID.Compare(last[key]) < 0 {
			t.Errorf("%s holds %s alive in life %v after %v", h.Name, c.Name, c.ID, last[key])
		}
		last[key] = c.ID
	}
	for i := range 12 { // at once, soon, and after it was buried
		at := 1 + i%5
		f.Kill(at)
		for key := range last {
			if strings.HasPrefix(key, simfleet.Name(at)+"n") {
				delete(last, key) // what it knew is gone
			}
		}
		f.RunUntil(f.Now + int64(i%3)*1500*ms)
		f.Start(at)
		f.RunUntil(f.Now + second)
	}
	must(t, f, 10*second)
	if id := f.Hosts[1].Detector.(*membership.Node).Self().ID; id.Epoch < 3 {
		t.Errorf("after three restarts its life is %d", id.Epoch)
	}
	// All seeds gone for good: the others go on, and take in who comes back.
	for i := range 3 {
		f.Kill(i)
	}
	f.Kill(4)
	f.RunUntil(f.Now + 5*second)
	f.Start(4)
	must(t, f, 10*second)
}

// Who leaves has said so: nobody calls it failed, and it is not asked any more.
func TestLeaving(t *testing.T) {
	f := site(6, 4, "", 0.05)
	must(t, f, 10*second)
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		if c.To == membership.StateDead {
			t.Errorf("%s calls %s dead", h.Name, c.Name)
		}
	}
	n := f.Hosts[2].Detector.(*membership.Node)
	n.Leave(f.Now)
	f.RunUntil(f.Now + second)
	for _, h := range f.Hosts {
		if s := h.Detector.State(simfleet.Name(2)); s != membership.StateLeaving {
			t.Errorf("%s holds the leaving %v", h.Name, s)
		}
	}
	f.Send(2, n.Depart(f.Now))
	f.Kill(2)
	f.RunUntil(f.Now + 3*second)
	for _, h := range f.Hosts {
		if h.ID != 2 && h.Detector.State(simfleet.Name(2)) != membership.StateLeft {
			t.Errorf("%s holds who has left %v", h.Name, h.Detector.State(simfleet.Name(2)))
		}
	}
	f.OnChange = nil
	f.Start(2)
	must(t, f, 10*second)
}

// Both sides of a cut go on, and each knows how many it reaches, and since when;
// the dead are bounded and forgotten; a heal is found without a seed.
func TestStanding(t *testing.T) {
	f := site(9, 5, "", 0)
	must(t, f, 10*second)
	f.RunUntil(f.Now + 3*second)
	stood := func(i int) membership.Connectivity { return f.Hosts[i].Detector.(*membership.Node).Connectivity() }
	if s := stood(0); !s.Majority || s.Known != 9 || s.Reachable != 9 {
		t.Fatalf("calm: %+v", s)
	}
	heal := f.Network.Partition([]int{0, 1, 2}, []int{3, 4, 5, 6, 7, 8})
	cut := f.Now
	f.RunUntil(f.Now + 8*second)
	if s := stood(0); s.Majority || s.Known != 9 || s.Reachable != 3 || s.MajoritySince < cut || s.MajoritySince > cut+6*second {
		t.Errorf("the smaller part: %+v, cut at %d", s, cut)
	}
	if s := stood(5); !s.Majority || s.Known != 9 || s.Reachable != 6 {
		t.Errorf("the greater part: %+v", s)
	}
	heal()
	must(t, f, 5*second)
	f.RunUntil(f.Now + 3*second)
	if s := stood(0); !s.Majority {
		t.Errorf("healed: %+v", s)
	}
	// Alone: nobody is heard, and that is known sooner than anybody is buried.
	end := f.Network.AddFault(&netsim.Fault{From: []int{0}, Bidirectional: true, Partitioned: true})
	f.RunUntil(f.Now + 1500*ms)
	if s := stood(0); s.Majority || s.Silence < second {
		t.Errorf("alone: %+v", s)
	}
	end()
	// A reaches B, B reaches C, A does not reach C: nobody is called dead.
	must(t, f, 10*second)
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		if c.To == membership.StateDead {
			t.Errorf("%s calls %s dead over a chain", h.Name, c.Name)
		}
	}
	f.Network.Partition([]int{0}, []int{1})
	f.RunUntil(f.Now + 20*second)
	for _, s := range f.Hosts[0].Detector.(*membership.Node).View().Members {
		if s.Name == simfleet.Name(1) && s.Reach != membership.ReachRelayed {
			t.Errorf("reached through others, told as %v", s.Reach)
		}
	}
}

// A list does not grow without end: names that come and go are forgotten in order.
func TestListsAreBounded(t *testing.T) {
	n := membership.New(membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)}, rand.New(rand.NewPCG(1, 1)), 1)
	now := int64(1)
	for i := range 3000 {
		now += 50 * ms
		n.Tick(now)
		from := membership.Update{Name: "n1", ID: membership.InstanceID{Epoch: 9, Nonce: 9}, Incarnation: 1, State: membership.StateAlive, Addr: simfleet.Addr(1)}
		w := &membership.Message{Kind: membership.KindStateExchange, Sequence: uint64(i + 1), Sender: from, To: "me", ToInstance: n.Self().ID}
		for k := range 20 {
			state := []membership.State{membership.StateAlive, membership.StateDead, membership.StateLeft, membership.StateSuspect}[k%4]
			w.Updates = append(w.Updates, membership.Update{Name: fmt.Sprint("x", i, "-", k), ID: membership.InstanceID{Epoch: 1, Nonce: 1}, Incarnation: 1, State: state})
		}
		n.Receive(now, netip.AddrPort{}, w)
		known, asked, relayed, hot, chunk := n.Sizes()
		if known > 512 || asked > 64 || relayed > 64 || hot > 512 || chunk > 512 {
			t.Fatalf("%d members, %d asked, %d relayed, %d hot, %d to tell", known, asked, relayed, hot, chunk)
		}
	}
	if n.Counts.RejectedFull == 0 {
		t.Error("the bound was not met")
	}
}

// net is a few nodes by address, with words in flight that a test delivers as it
// likes.
type net struct {
	now    int64
	nodes  []*membership.Node // nil: dead
	addrs  []netip.AddrPort
	names  []string
	asleep []bool
	lives  uint64
	flight []flying
}

type flying struct {
	from, to int
	word     []byte
}

func newNet(names ...string) *net {
	x := &net{now: second}
	for i, name := range names {
		x.names, x.addrs = append(x.names, name), append(x.addrs, simfleet.Addr(i))
		x.nodes, x.asleep = append(x.nodes, nil), append(x.asleep, false)
	}
	for i := range names {
		x.start(i)
	}
	return x
}

func (x *net) start(i int) {
	x.lives++
	seeds := []membership.Seed{{Name: x.names[0], Addr: x.addrs[0]}, {Name: x.names[1], Addr: x.addrs[1]}}
	x.nodes[i] = membership.New(membership.Settings{Name: x.names[i], Addr: x.addrs[i], Seeds: seeds, Epoch: 1}, rand.New(rand.NewPCG(7, x.lives)), x.now)
}

func (x *net) put(from int, out []membership.Outbound) {
	const most = 40
	for _, o := range out {
		if to := slices.Index(x.addrs, o.Addr); to >= 0 && to != from {
			b, _ := cbor.Marshal(o.Message)
			x.flight = append(x.flight, flying{from, to, b})
		}
	}
	if over := len(x.flight) - most; over > 0 {
		x.flight = slices.Delete(x.flight, 0, over)
	}
}

// pass lets time go by, in steps in which all who run are called.
func (x *net) pass(steps int) {
	for range steps {
		x.now += 50 * ms
		for i, n := range x.nodes {
			if n != nil && !x.asleep[i] {
				_, out, _ := n.Tick(x.now)
				x.put(i, out)
			}
		}
	}
}

// deliver brings what is in flight between two; -1: any.
func (x *net) deliver(from, to int) {
	list := x.flight
	x.flight = nil
	for _, f := range list {
		n := x.nodes[f.to]
		if from >= 0 && f.from != from || to >= 0 && f.to != to || x.asleep[f.to] {
			x.flight = append(x.flight, f)
		} else if n != nil {
			var w membership.Message
			cbor.Unmarshal(f.word, &w)
			x.put(f.to, n.Receive(x.now, netip.AddrPort{}, &w))
		}
	}
}

// calm lets all be delivered for so long.
func (x *net) calm(length int64) {
	for until := x.now + length; x.now < until; {
		x.pass(1)
		for range 3 {
			x.deliver(-1, -1)
		}
	}
}

// right tells what is wrong about the views.
func (x *net) right() string {
	for i, n := range x.nodes {
		if n == nil {
			continue
		}
		for j, o := range x.nodes {
			s := n.State(x.names[j])
			if i == j && s == membership.StateJoining && !slices.ContainsFunc(x.nodes, func(o *membership.Node) bool { return o != nil && o != n }) {
				continue // it is alone, and has been since its start
			}
			if (s == membership.StateAlive) != (o != nil) {
				return fmt.Sprintf("%s holds %s %v", x.names[i], x.names[j], s)
			}
			for _, seen := range n.View().Members {
				if o != nil && seen.Name == x.names[j] && seen.ID != o.Self().ID {
					return fmt.Sprintf("%s holds a life of %s that is over", x.names[i], x.names[j])
				}
			}
		}
	}
	return ""
}

func (x *net) print() string {
	var b strings.Builder
	for i, n := range x.nodes {
		if n == nil {
			b.WriteString("-;")
			continue
		}
		fmt.Fprint(&b, x.asleep[i], n.Self().ID.Epoch, n.Self().Incarnation, n.Self().State)
		for _, s := range n.View().Members {
			fmt.Fprint(&b, s.Name, s.State, s.ID, s.Incarnation, s.Confirmations, s.Reach, ",")
		}
		b.WriteByte(';')
	}
	for _, f := range x.flight {
		fmt.Fprint(&b, f.from, f.to, len(f.word), ",")
	}
	return b.String()
}

// Every order of events for three members within a depth: time, all or one pair's
// words delivered or lost, deaths, starts, stops, wakings. No member shows an older
// life again; after the last event all agree.
func TestEveryOrder(t *testing.T) {
	depth := 4
	if testing.Short() {
		depth = 3
	}
	type event struct {
		name string
		do   func(x *net)
	}
	events := []event{
		{"time", func(x *net) { x.pass(7) }},
		{"long", func(x *net) { x.pass(30) }},
		{"all", func(x *net) { x.deliver(-1, -1) }},
		{"lost", func(x *net) { x.flight = nil }},
	}
	for i := range 3 {
		events = append(events,
			event{fmt.Sprint("from", i), func(x *net) { x.deliver(i, -1) }},
			event{fmt.Sprint("to", i), func(x *net) { x.deliver(-1, i) }},
			event{fmt.Sprint("life", i), func(x *net) {
				if x.asleep[i] = false; x.nodes[i] != nil {
					x.nodes[i] = nil
				} else {
					x.start(i)
				}
			}},
			event{fmt.Sprint("sleep", i), func(x *net) { x.asleep[i] = !x.asleep[i] }})
	}
	seen := map[string]bool{}
	states := 0
	var walk func(path []int)
	walk = func(path []int) {
		x := newNet("a", "b", "c")
		x.calm(2 * second)
		type pair struct{ by, of int }
		shown := map[pair]membership.InstanceID{}
		node := [3]*membership.Node{}
		for _, e := range path {
			events[e].do(x)
			for i, n := range x.nodes {
				if node[i] != n {
					node[i] = n
					for j := range 3 {
						delete(shown, pair{i, j})
					}
				}
				if n == nil {
					continue
				}
				for _, s := range n.View().Members {
					key := pair{i, slices.Index(x.names, s.Name)}
					if s.State != membership.StateUnknown && s.ID.Compare(shown[key]) < 0 {
						t.Fatalf("%v: %s shows an older life of %s", path, x.names[i], s.Name)
					}
					shown[key] = s.ID
				}
			}
		}
		if key := x.print(); seen[key] {
			return
		} else {
			seen[key] = true
		}
		states++
		x.asleep = make([]bool, 3)
		x.calm(8 * second)
		if why := x.right(); why != "" {
			var names []string
			for _, e := range path {
				names = append(names, events[e].name)
			}
			t.Fatalf("%v: %s", names, why)
		}
		if len(path) < depth {
			for e := range events {
				walk(append(slices.Clone(path), e))
			}
		}
	}
	walk(nil)
	t.Logf("%d states, all of which agreed after eight calm seconds", states)
}

// Two processes under one name: one keeps it, the other keeps quiet and knows, and
// takes the name once the first has gone.
func TestTwoOfOneName(t *testing.T) {
	x := newNet("a", "b", "c")
	x.calm(2 * second)
	x.names, x.addrs = append(x.names, "c"), append(x.addrs, simfleet.Addr(3))
	x.nodes, x.asleep = append(x.nodes, nil), append(x.asleep, false)
	x.start(3)
	x.calm(20 * second)
	first, second2 := x.nodes[2].Self().State, x.nodes[3].Self().State
	if (first == membership.StateNameConflict) == (second2 == membership.StateNameConflict) {
		t.Fatalf("one has state %v, the other %v", first, second2)
	}
	quiet, other := 2, 3
	if second2 == membership.StateNameConflict {
		quiet, other = 3, 2
	}
	if s := x.nodes[quiet].Connectivity(); s.Majority {
		t.Errorf("the doubled one counts on a majority: %+v", s)
	}
	for i := range 2 {
		if s := x.nodes[i].State("c"); s != membership.StateAlive {
			t.Errorf("%s holds c %v", x.names[i], s)
		}
	}
	x.nodes[other] = nil
	x.calm(80 * second)
	if s := x.nodes[quiet].Self().State; s != membership.StateAlive {
		t.Errorf("its name is free, and it is %v", s)
	}
	for i := range 2 {
		if s := x.nodes[i].State("c"); s != membership.StateAlive {
			t.Errorf("%s holds c %v in the end", x.names[i], s)
		}
	}
}

// Random long lives of twenty: whatever came before, after the last trouble all
// agree, and all that is kept stays bounded.
func TestLongLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := site(20, rapid.Uint64().Draw(t, "seed"), "", 0)
		if _, why := agree(f, 20*second); why != "" {
			t.Fatalf("at the start: %s", why)
		}
		stopped := map[int]bool{}
		var over []func()
		for range rapid.IntRange(5, 25).Draw(t, "events") {
			i := rapid.IntRange(0, 19).Draw(t, "router")
			switch rapid.SampledFrom([]string{"life", "life", "stop", "loss", "one way", "camps", "heal", "flap", "mass"}).Draw(t, "event") {
			case "life":
				if f.Hosts[i].Detector != nil {
					f.Kill(i)
					delete(stopped, i)
				} else {
					f.Start(i)
				}
			case "stop":
				if stopped[i] {
					f.Resume(i)
				} else {
					f.Pause(i)
				}
				stopped[i] = !stopped[i]
			case "loss":
				over = append(over, f.Network.AddFault(&netsim.Fault{Loss: 0.2, Jitter: 50 * ms}))
			case "one way":
				over = append(over, f.Network.AddFault(&netsim.Fault{From: []int{i}, Partitioned: true}))
			case "camps":
				var a, b []int
				for x := range 20 {
					if (x*7+i)%20 < 8 {
						a = append(a, x)
					} else {
						b = append(b, x)
					}
				}
				over = append(over, f.Network.Partition(a, b))
			case "heal":
				for _, end := range over {
					end()
				}
				over = nil
			case "flap":
				for range 4 {
					f.Kill(i)
					f.RunUntil(f.Now + 300*ms)
					f.Start(i)
					f.RunUntil(f.Now + 300*ms)
				}
				delete(stopped, i)
			case "mass":
				for x := range 10 {
					f.Kill(x)
					delete(stopped, x)
				}
			}
			f.RunUntil(f.Now + int64(rapid.IntRange(0, 6000).Draw(t, "ms"))*ms)
		}
		for _, end := range over {
			end()
		}
		for i := range stopped {
			f.Resume(i)
		}
		for i := range 3 { // where all who knew the others have died, seeds bring them together
			f.Start(i)
		}
		took, why := agree(f, 40*second)
		if why != "" {
			t.Fatalf("no agreement after %d s: %s", took/second, why)
		}
		f.RunUntil(f.Now + 5*second)
		words := make([]int64, 20)
		for i, h := range f.Hosts {
			words[i] = h.SentMessages
		}
		f.RunUntil(f.Now + 5*second)
		for _, h := range f.Hosts {
			if h.Detector == nil {
				continue
			}
			if calm := (h.SentMessages - words[h.ID]) / 5; calm > 40 {
				t.Fatalf("%s says %d words a second when all is calm", h.Name, calm)
			}
			if known, asked, relayed, hot, chunk := h.Detector.(*membership.Node).Sizes(); known > 20 || asked > 64 || relayed > 64 || hot > 20 || chunk > 20 {
				t.Fatalf("%s keeps %d members, %d asked, %d relayed, %d hot, %d to tell", h.Name, known, asked, relayed, hot, chunk)
			}
		}
	})
}

// Anything that can be read as a word is taken without a panic and within bounds.
func FuzzHeard(f *testing.F) {
	n := membership.New(membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)}, rand.New(rand.NewPCG(1, 1)), 1)
	self := n.Self()
	for k := membership.KindHello; k <= membership.KindQueryResponse; k++ {
		b, _ := cbor.Marshal(&membership.Message{
			Kind: k, Sequence: 1, RequestID: 1, Sender: membership.Update{
				Name: "n1", Addr: simfleet.Addr(1), ID: membership.InstanceID{Epoch: 1, Nonce: 2}, Incarnation: 1,
				State: membership.StateAlive,
			}, To: "me", ToInstance: self.ID, Target: "n2", BucketDigests: make([]uint32, 16),
			Updates: []membership.Update{{Name: "n2", State: membership.StateSuspect, SuspectedBy: []uint16{3}}, {Name: "me", State: membership.StateDead, ID: self.ID, Incarnation: 5}},
		})
		f.Add(b, int64(1000))
	}
	f.Fuzz(func(t *testing.T, b []byte, later int64) {
		n := membership.New(membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)}, rand.New(rand.NewPCG(1, 1)), 1)
		var w membership.Message
		if cbor.Unmarshal(b, &w) != nil {
			return
		}
		now := max(later%(100*second), 1)
		for range 3 {
			x := w
			x.Updates = slices.Clone(w.Updates)
			if out := n.Receive(now, simfleet.Addr(2), &x); len(out) > 300 {
				t.Fatalf("%d words for one", len(out))
			}
			now += 50 * ms
			n.Tick(now)
		}
		n.View()
		n.Leave(now)
		n.Depart(now)
	})
}

// A page of a view fits a datagram, whatever the names.
func TestPagesFit(t *testing.T) {
	n := membership.New(membership.Settings{Name: strings.Repeat("m", 64), Zone: strings.Repeat("p", 64), Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)},
		rand.New(rand.NewPCG(1, 1)), 1)
	w := &membership.Message{
		Kind: membership.KindStateExchange, Sequence: 1, Sender: membership.Update{Name: "n1", ID: membership.InstanceID{Epoch: 1, Nonce: 2}, Incarnation: 1, State: membership.StateAlive}, To: n.Self().Name,
		ToInstance: n.Self().ID,
	}
	for i := range 150 {
		w.Updates = append(w.Updates, membership.Update{
			Name: strings.Repeat("x", 60) + fmt.Sprint(i), Zone: strings.Repeat("p", 64), Addr: simfleet.Addr(1),
			ID: membership.InstanceID{Epoch: 1 << 31, Nonce: 1 << 31}, Incarnation: 1 << 30, State: membership.StateAlive,
		})
	}
	n.Receive(2, netip.AddrPort{}, w)
	got := 0
	for from, now := 0, int64(second); from < 152; now += 100 * ms {
		_, _, _ = n.Tick(now)
		out := n.Receive(now, simfleet.Addr(2), &membership.Message{Kind: membership.KindQuery, RequestID: uint32(from), To: n.Self().Name, Sender: membership.Update{Name: "?", State: membership.StateAlive}})
		if len(out) != 1 || len(out[0].Message.View.Members) == 0 {
			t.Fatalf("at %d: %d words", from, len(out))
		}
		b, _ := cbor.Marshal(out[0].Message)
		if len(b) > 1200 {
			t.Fatalf("a page of %d bytes", len(b))
		}
		got += len(out[0].Message.View.Members)
		from += len(out[0].Message.View.Members)
	}
	if got != 152 {
		t.Errorf("%d of 152", got)
	}
}

// A newer version's fields are passed over, and what an older one lacks is zero.
func TestOtherVersionsFields(t *testing.T) {
	b, err := cbor.Marshal(map[int]any{1: 3, 2: 5, 3: 9, 4: map[int]any{1: "n1", 4: []int{1, 2}, 5: 1, 6: 2, 99: "new"}, 5: "me", 77: []int{1}})
	if err != nil {
		t.Fatal(err)
	}
	var w membership.Message
	if err := cbor.Unmarshal(b, &w); err != nil || w.Kind != membership.KindPing || w.Sender.Name != "n1" || w.Sender.State != membership.StateAlive || w.ViewDigest != 0 {
		t.Errorf("%+v, %v", w, err)
	}
}

// Words of 256 bytes, as the simulator carries them among instances, are enough.
func TestSmallWords(t *testing.T) {
	const most = 256
	f := simfleet.New(24, 1, netsim.New(300, 700, rand.New(rand.NewPCG(1, 2))), func(h *simfleet.Host, now int64) simfleet.Detector {
		return membership.New(membership.Settings{Name: h.Name, Zone: "office", Addr: simfleet.Addr(h.ID), Seeds: simfleet.Seeds(3), Epoch: 1, MaxMessageBytes: most},
			rand.New(rand.NewPCG(1, uint64(h.ID))), now)
	})
	f.BeforeSend = func(h *simfleet.Host, w *membership.Message) {
		if b, _ := cbor.Marshal(w); len(b)+17 > most {
			t.Fatalf("%s: a word %d of %d bytes", h.Name, w.Kind, len(b)+17)
		}
	}
	for i := range 24 {
		f.Start(i)
	}
	must(t, f, 30*second)
	f.Kill(7)
	must(t, f, 10*second)
}

// BenchmarkMemory is what a member takes, with its places in map and lists.
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{24, 222} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var before, after runtime.MemStats
			kept := make([]*membership.Node, 0, 200)
			runtime.GC()
			runtime.ReadMemStats(&before)
			for range 200 {
				kept = append(kept, fill(count))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(200*count), "B/member")
			runtime.KeepAlive(kept)
		})
	}
}

func fill(count int) *membership.Node {
	n := membership.New(membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(1)}, rand.New(rand.NewPCG(1, 1)), 1)
	w := &membership.Message{Kind: membership.KindStateExchange, Sequence: 1, Sender: membership.Update{Name: "n1", ID: membership.InstanceID{Epoch: 1, Nonce: 2}, Incarnation: 1, State: membership.StateAlive}, To: "me", ToInstance: n.Self().ID}
	for i := range count {
		if w.Updates = append(w.Updates, membership.Update{
			Name: fmt.Sprint("x", i), Zone: "office", Addr: simfleet.Addr(i), ID: membership.InstanceID{Epoch: 1, Nonce: 1}, Incarnation: 1,
			State: membership.StateAlive,
		}); len(w.Updates) == 100 {
			n.Receive(2, netip.AddrPort{}, w)
			w.Sequence, w.Updates = w.Sequence+1, nil
		}
	}
	n.Receive(2, netip.AddrPort{}, w)
	return n
}

// BenchmarkWord is a question and its answer at one router, codec left out.
func BenchmarkWord(b *testing.B) {
	n := fill(222)
	from := membership.Update{Name: "n1", ID: membership.InstanceID{Epoch: 1, Nonce: 2}, Incarnation: 1, State: membership.StateAlive}
	for i := range b.N {
		n.Receive(int64(i)*10, netip.AddrPort{}, &membership.Message{Kind: membership.KindPing, Sequence: uint64(i + 10), RequestID: 1, Sender: from, To: "me", ToInstance: n.Self().ID})
	}
}
