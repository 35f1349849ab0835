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
		net.Add(&netsim.Trouble{Loss: loss})
	}
	lives := uint64(0)
	f := simfleet.New(n, seed, net, func(h *simfleet.Host, now int64) simfleet.Speaker {
		lives++
		set := membership.Settings{Name: h.Name, Place: "office", Addr: simfleet.Addr(h.ID), Seeds: simfleet.Seeds(min(n, 3)), Life: 1}
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
		f.Until(f.Now + 20*ms)
		ok := false
		if ok, why = f.Agree(); ok {
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
			from := membership.Rumour{Name: "n1", ID: membership.ID{Life: 9, Nonce: 9}, Inc: 1, State: membership.Alive, Addr: simfleet.Addr(1)}
			for i, r := range []membership.Rumour{{Inc: 5, State: membership.Dead}, {Inc: 3, State: membership.Alive}, {Inc: 5, State: membership.Alive}} {
				r.Name, r.ID = "x", membership.ID{Life: 2, Nonce: 2}
				n.Heard(second, netip.AddrPort{}, &membership.Word{Kind: membership.Tell, N: uint64(i + 1), From: from, To: "me", Life: n.Self().ID,
					Rumours: []membership.Rumour{r}})
			}
			if s := n.State("x"); s != membership.Dead {
				return fmt.Errorf("the dead is %v", s)
			}
			return nil
		},
		// One stands still for less than suspicion takes: nobody calls it dead.
		"no refuting": func(wrong string) error {
			f := site(12, 1, wrong, 0.05)
			agree(f, 30*second)
			dead := 0
			f.News = func(_ *simfleet.Host, c membership.Change) {
				if c.To == membership.Dead {
					dead++
				}
			}
			for range 5 {
				f.Stop(3)
				f.Until(f.Now + second/2)
				f.Wake(3)
				f.Until(f.Now + 5*second)
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
			f.News = func(h *simfleet.Host, c membership.Change) {
				if c.To == membership.Dead && h.ID == 4 {
					dead++
				}
			}
			f.Net.Add(&netsim.Trouble{To: []int{4}, Delay: 1300 * ms})
			f.Until(f.Now + 10*second)
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
			f.Until(f.Now + 10*second)
			from := f.Hosts[0].SentBytes
			f.Until(f.Now + 5*second)
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
				heal := f.Net.Add(&netsim.Trouble{From: []int{11}, Both: true, Cut: true})
				f.Until(f.Now + 170*ms)
				f.Stop(11)
				f.Until(f.Now + second)
				heal()
				f.Until(f.Now + 20*second)
				suspects := 0
				f.News = func(h *simfleet.Host, c membership.Change) {
					if h.ID == 11 && c.To == membership.Suspected {
						suspects++
					}
				}
				f.Wake(11)
				f.Until(f.Now + 10*ms)
				f.News = nil
				if suspects > 0 {
					return fmt.Errorf("a sleeper suspects %d as it wakes", suspects)
				}
				if s := f.Hosts[11].Speaker.(*membership.Node).Standing(); s.Majority {
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
			var said []*membership.Word
			f.Spoil = func(h *simfleet.Host, w *membership.Word) {
				if h.ID == 5 && w.Kind == membership.Ping {
					b, _ := cbor.Marshal(w)
					x := new(membership.Word)
					cbor.Unmarshal(b, x)
					said = append(said, x)
				}
			}
			agree(f, 30*second)
			f.Until(f.Now + 20*second)
			f.Kill(5)
			for until := f.Now + 10*second; f.Now < until; f.Until(f.Now + 100*ms) {
				for _, w := range said[len(said)-60:] {
					for _, h := range f.Hosts[:5] {
						x := *w
						if h.Name == w.To {
							h.Speaker.Heard(f.Now, netip.AddrPort{}, &x)
						}
					}
				}
			}
			for _, h := range f.Hosts[:5] {
				if s := h.Speaker.State(simfleet.Name(5)); s != membership.Dead {
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
	last := map[string]membership.ID{}
	f.News = func(h *simfleet.Host, c membership.Change) {
		key := h.Name + c.Name
		if c.To == membership.Alive && c.ID.Compare(last[key]) < 0 {
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
		f.Until(f.Now + int64(i%3)*1500*ms)
		f.Start(at)
		f.Until(f.Now + second)
	}
	must(t, f, 10*second)
	if id := f.Hosts[1].Speaker.(*membership.Node).Self().ID; id.Life < 3 {
		t.Errorf("after three restarts its life is %d", id.Life)
	}
	// All seeds gone for good: the others go on, and take in who comes back.
	for i := range 3 {
		f.Kill(i)
	}
	f.Kill(4)
	f.Until(f.Now + 5*second)
	f.Start(4)
	must(t, f, 10*second)
}

// Who leaves has said so: nobody calls it failed, and it is not asked any more.
func TestLeaving(t *testing.T) {
	f := site(6, 4, "", 0.05)
	must(t, f, 10*second)
	f.News = func(h *simfleet.Host, c membership.Change) {
		if c.To == membership.Dead {
			t.Errorf("%s calls %s dead", h.Name, c.Name)
		}
	}
	n := f.Hosts[2].Speaker.(*membership.Node)
	n.Leave(f.Now)
	f.Until(f.Now + second)
	for _, h := range f.Hosts {
		if s := h.Speaker.State(simfleet.Name(2)); s != membership.Leaving {
			t.Errorf("%s holds the leaving %v", h.Name, s)
		}
	}
	f.Send(2, n.Gone(f.Now))
	f.Kill(2)
	f.Until(f.Now + 3*second)
	for _, h := range f.Hosts {
		if h.ID != 2 && h.Speaker.State(simfleet.Name(2)) != membership.Left {
			t.Errorf("%s holds who has left %v", h.Name, h.Speaker.State(simfleet.Name(2)))
		}
	}
	f.News = nil
	f.Start(2)
	must(t, f, 10*second)
}

// Both sides of a cut go on, and each knows how many it reaches, and since when;
// the dead are bounded and forgotten; a heal is found without a seed.
func TestStanding(t *testing.T) {
	f := site(9, 5, "", 0)
	must(t, f, 10*second)
	f.Until(f.Now + 3*second)
	stood := func(i int) membership.Standing { return f.Hosts[i].Speaker.(*membership.Node).Standing() }
	if s := stood(0); !s.Majority || s.Known != 9 || s.Reachable != 9 {
		t.Fatalf("calm: %+v", s)
	}
	heal := f.Net.Camps([]int{0, 1, 2}, []int{3, 4, 5, 6, 7, 8})
	cut := f.Now
	f.Until(f.Now + 8*second)
	if s := stood(0); s.Majority || s.Known != 9 || s.Reachable != 3 || s.Since < cut || s.Since > cut+6*second {
		t.Errorf("the smaller part: %+v, cut at %d", s, cut)
	}
	if s := stood(5); !s.Majority || s.Known != 9 || s.Reachable != 6 {
		t.Errorf("the greater part: %+v", s)
	}
	heal()
	must(t, f, 5*second)
	f.Until(f.Now + 3*second)
	if s := stood(0); !s.Majority {
		t.Errorf("healed: %+v", s)
	}
	// Alone: nobody is heard, and that is known sooner than anybody is buried.
	end := f.Net.Add(&netsim.Trouble{From: []int{0}, Both: true, Cut: true})
	f.Until(f.Now + 1500*ms)
	if s := stood(0); s.Majority || s.Silence < second {
		t.Errorf("alone: %+v", s)
	}
	end()
	// A reaches B, B reaches C, A does not reach C: nobody is called dead.
	must(t, f, 10*second)
	f.News = func(h *simfleet.Host, c membership.Change) {
		if c.To == membership.Dead {
			t.Errorf("%s calls %s dead over a chain", h.Name, c.Name)
		}
	}
	f.Net.Camps([]int{0}, []int{1})
	f.Until(f.Now + 20*second)
	for _, s := range f.Hosts[0].Speaker.(*membership.Node).View().Seen {
		if s.Name == simfleet.Name(1) && s.Reach != membership.Relayed {
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
		n.Run(now)
		from := membership.Rumour{Name: "n1", ID: membership.ID{Life: 9, Nonce: 9}, Inc: 1, State: membership.Alive, Addr: simfleet.Addr(1)}
		w := &membership.Word{Kind: membership.Tell, N: uint64(i + 1), From: from, To: "me", Life: n.Self().ID}
		for k := range 20 {
			state := []membership.State{membership.Alive, membership.Dead, membership.Left, membership.Suspected}[k%4]
			w.Rumours = append(w.Rumours, membership.Rumour{Name: fmt.Sprint("x", i, "-", k), ID: membership.ID{Life: 1, Nonce: 1}, Inc: 1, State: state})
		}
		n.Heard(now, netip.AddrPort{}, w)
		known, asked, relayed, hot, chunk := n.Sizes()
		if known > 512 || asked > 64 || relayed > 64 || hot > 512 || chunk > 512 {
			t.Fatalf("%d members, %d asked, %d relayed, %d hot, %d to tell", known, asked, relayed, hot, chunk)
		}
	}
	if n.Counts.TooMany == 0 {
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
	x.nodes[i] = membership.New(membership.Settings{Name: x.names[i], Addr: x.addrs[i], Seeds: seeds, Life: 1}, rand.New(rand.NewPCG(7, x.lives)), x.now)
}

func (x *net) put(from int, out []membership.Out) {
	const most = 40
	for _, o := range out {
		if to := slices.Index(x.addrs, o.Addr); to >= 0 && to != from {
			b, _ := cbor.Marshal(o.Word)
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
				_, out, _ := n.Run(x.now)
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
			var w membership.Word
			cbor.Unmarshal(f.word, &w)
			x.put(f.to, n.Heard(x.now, netip.AddrPort{}, &w))
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
			if i == j && s == membership.Joining && !slices.ContainsFunc(x.nodes, func(o *membership.Node) bool { return o != nil && o != n }) {
				continue // it is alone, and has been since its start
			}
			if (s == membership.Alive) != (o != nil) {
				return fmt.Sprintf("%s holds %s %v", x.names[i], x.names[j], s)
			}
			for _, seen := range n.View().Seen {
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
		fmt.Fprint(&b, x.asleep[i], n.Self().ID.Life, n.Self().Inc, n.Self().State)
		for _, s := range n.View().Seen {
			fmt.Fprint(&b, s.Name, s.State, s.ID, s.Inc, s.Witnesses, s.Reach, ",")
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
		shown := map[pair]membership.ID{}
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
				for _, s := range n.View().Seen {
					key := pair{i, slices.Index(x.names, s.Name)}
					if s.State != membership.Unknown && s.ID.Compare(shown[key]) < 0 {
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
	if (first == membership.Doubled) == (second2 == membership.Doubled) {
		t.Fatalf("one has state %v, the other %v", first, second2)
	}
	quiet, other := 2, 3
	if second2 == membership.Doubled {
		quiet, other = 3, 2
	}
	if s := x.nodes[quiet].Standing(); s.Majority {
		t.Errorf("the doubled one counts on a majority: %+v", s)
	}
	for i := range 2 {
		if s := x.nodes[i].State("c"); s != membership.Alive {
			t.Errorf("%s holds c %v", x.names[i], s)
		}
	}
	x.nodes[other] = nil
	x.calm(80 * second)
	if s := x.nodes[quiet].Self().State; s != membership.Alive {
		t.Errorf("its name is free, and it is %v", s)
	}
	for i := range 2 {
		if s := x.nodes[i].State("c"); s != membership.Alive {
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
				if f.Hosts[i].Speaker != nil {
					f.Kill(i)
					delete(stopped, i)
				} else {
					f.Start(i)
				}
			case "stop":
				if stopped[i] {
					f.Wake(i)
				} else {
					f.Stop(i)
				}
				stopped[i] = !stopped[i]
			case "loss":
				over = append(over, f.Net.Add(&netsim.Trouble{Loss: 0.2, Jitter: 50 * ms}))
			case "one way":
				over = append(over, f.Net.Add(&netsim.Trouble{From: []int{i}, Cut: true}))
			case "camps":
				var a, b []int
				for x := range 20 {
					if (x*7+i)%20 < 8 {
						a = append(a, x)
					} else {
						b = append(b, x)
					}
				}
				over = append(over, f.Net.Camps(a, b))
			case "heal":
				for _, end := range over {
					end()
				}
				over = nil
			case "flap":
				for range 4 {
					f.Kill(i)
					f.Until(f.Now + 300*ms)
					f.Start(i)
					f.Until(f.Now + 300*ms)
				}
				delete(stopped, i)
			case "mass":
				for x := range 10 {
					f.Kill(x)
					delete(stopped, x)
				}
			}
			f.Until(f.Now + int64(rapid.IntRange(0, 6000).Draw(t, "ms"))*ms)
		}
		for _, end := range over {
			end()
		}
		for i := range stopped {
			f.Wake(i)
		}
		for i := range 3 { // where all who knew the others have died, seeds bring them together
			f.Start(i)
		}
		took, why := agree(f, 40*second)
		if why != "" {
			t.Fatalf("no agreement after %d s: %s", took/second, why)
		}
		f.Until(f.Now + 5*second)
		words := make([]int64, 20)
		for i, h := range f.Hosts {
			words[i] = h.Sent
		}
		f.Until(f.Now + 5*second)
		for _, h := range f.Hosts {
			if h.Speaker == nil {
				continue
			}
			if calm := (h.Sent - words[h.ID]) / 5; calm > 40 {
				t.Fatalf("%s says %d words a second when all is calm", h.Name, calm)
			}
			if known, asked, relayed, hot, chunk := h.Speaker.(*membership.Node).Sizes(); known > 20 || asked > 64 || relayed > 64 || hot > 20 || chunk > 20 {
				t.Fatalf("%s keeps %d members, %d asked, %d relayed, %d hot, %d to tell", h.Name, known, asked, relayed, hot, chunk)
			}
		}
	})
}

// Anything that can be read as a word is taken without a panic and within bounds.
func FuzzHeard(f *testing.F) {
	n := membership.New(membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)}, rand.New(rand.NewPCG(1, 1)), 1)
	self := n.Self()
	for k := membership.Hello; k <= membership.Viewed; k++ {
		b, _ := cbor.Marshal(&membership.Word{Kind: k, N: 1, Seq: 1, From: membership.Rumour{Name: "n1", Addr: simfleet.Addr(1), ID: membership.ID{Life: 1, Nonce: 2}, Inc: 1,
			State: membership.Alive}, To: "me", Life: self.ID, Target: "n2", Buckets: make([]uint32, 16),
			Rumours: []membership.Rumour{{Name: "n2", State: membership.Suspected, Witnesses: []uint16{3}}, {Name: "me", State: membership.Dead, ID: self.ID, Inc: 5}}})
		f.Add(b, int64(1000))
	}
	f.Fuzz(func(t *testing.T, b []byte, later int64) {
		n := membership.New(membership.Settings{Name: "me", Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)}, rand.New(rand.NewPCG(1, 1)), 1)
		var w membership.Word
		if cbor.Unmarshal(b, &w) != nil {
			return
		}
		now := max(later%(100*second), 1)
		for range 3 {
			x := w
			x.Rumours = slices.Clone(w.Rumours)
			if out := n.Heard(now, simfleet.Addr(2), &x); len(out) > 300 {
				t.Fatalf("%d words for one", len(out))
			}
			now += 50 * ms
			n.Run(now)
		}
		n.View()
		n.Leave(now)
		n.Gone(now)
	})
}

// A page of a view fits a datagram, whatever the names.
func TestPagesFit(t *testing.T) {
	n := membership.New(membership.Settings{Name: strings.Repeat("m", 64), Place: strings.Repeat("p", 64), Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2)},
		rand.New(rand.NewPCG(1, 1)), 1)
	w := &membership.Word{Kind: membership.Tell, N: 1, From: membership.Rumour{Name: "n1", ID: membership.ID{Life: 1, Nonce: 2}, Inc: 1, State: membership.Alive}, To: n.Self().Name,
		Life: n.Self().ID}
	for i := range 150 {
		w.Rumours = append(w.Rumours, membership.Rumour{Name: strings.Repeat("x", 60) + fmt.Sprint(i), Place: strings.Repeat("p", 64), Addr: simfleet.Addr(1),
			ID: membership.ID{Life: 1 << 31, Nonce: 1 << 31}, Inc: 1 << 30, State: membership.Alive})
	}
	n.Heard(2, netip.AddrPort{}, w)
	got := 0
	for from, now := 0, int64(second); from < 152; now += 100 * ms {
		_, _, _ = n.Run(now)
		out := n.Heard(now, simfleet.Addr(2), &membership.Word{Kind: membership.Query, Seq: uint32(from), To: n.Self().Name, From: membership.Rumour{Name: "?", State: membership.Alive}})
		if len(out) != 1 || len(out[0].Word.View.Seen) == 0 {
			t.Fatalf("at %d: %d words", from, len(out))
		}
		b, _ := cbor.Marshal(out[0].Word)
		if len(b) > 1200 {
			t.Fatalf("a page of %d bytes", len(b))
		}
		got += len(out[0].Word.View.Seen)
		from += len(out[0].Word.View.Seen)
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
	var w membership.Word
	if err := cbor.Unmarshal(b, &w); err != nil || w.Kind != membership.Ping || w.From.Name != "n1" || w.From.State != membership.Alive || w.Digest != 0 {
		t.Errorf("%+v, %v", w, err)
	}
}

// Words of 256 bytes, as the simulator carries them among instances, are enough.
func TestSmallWords(t *testing.T) {
	const most = 256
	f := simfleet.New(24, 1, netsim.New(300, 700, rand.New(rand.NewPCG(1, 2))), func(h *simfleet.Host, now int64) simfleet.Speaker {
		return membership.New(membership.Settings{Name: h.Name, Place: "office", Addr: simfleet.Addr(h.ID), Seeds: simfleet.Seeds(3), Life: 1, Most: most},
			rand.New(rand.NewPCG(1, uint64(h.ID))), now)
	})
	f.Spoil = func(h *simfleet.Host, w *membership.Word) {
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
	w := &membership.Word{Kind: membership.Tell, N: 1, From: membership.Rumour{Name: "n1", ID: membership.ID{Life: 1, Nonce: 2}, Inc: 1, State: membership.Alive}, To: "me", Life: n.Self().ID}
	for i := range count {
		if w.Rumours = append(w.Rumours, membership.Rumour{Name: fmt.Sprint("x", i), Place: "office", Addr: simfleet.Addr(i), ID: membership.ID{Life: 1, Nonce: 1}, Inc: 1,
			State: membership.Alive}); len(w.Rumours) == 100 {
			n.Heard(2, netip.AddrPort{}, w)
			w.N, w.Rumours = w.N+1, nil
		}
	}
	n.Heard(2, netip.AddrPort{}, w)
	return n
}

// BenchmarkWord is a question and its answer at one router, codec left out.
func BenchmarkWord(b *testing.B) {
	n := fill(222)
	from := membership.Rumour{Name: "n1", ID: membership.ID{Life: 1, Nonce: 2}, Inc: 1, State: membership.Alive}
	for i := range b.N {
		n.Heard(int64(i)*10, netip.AddrPort{}, &membership.Word{Kind: membership.Ping, N: uint64(i + 10), Seq: 1, From: from, To: "me", Life: n.Self().ID})
	}
}
