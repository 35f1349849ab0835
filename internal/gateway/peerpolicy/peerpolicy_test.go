package peerpolicy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

const start = 100 * second

func gate(peers ...string) *Gate {
	sites := map[string]string{}
	for _, p := range peers {
		sites[p] = "south"
	}
	return New(Settings{Name: "n", Site: "north", Most: 40, Reserve: 0.5, Beat: 250 * ms}, sites)
}

// trusted makes a peer one that anything may be handed to.
func trusted(g *Gate, now int64, name string, room int) *Peer {
	g.Up(now, name, 1)
	g.Beat(now, name, room, false, 20*ms)
	p := g.Peer(name)
	p.Limit = 10
	g.Actions()
	return p
}

func TestTrust(t *testing.T) {
	g := gate("a")
	p := g.Peer("a")
	step := func(what string, want Trust) {
		t.Helper()
		if p.Trust != want {
			t.Fatalf("%s: %v, want %v", what, p.Trust, want)
		}
	}
	if g.Beat(start, "a", 5, false, 0); p.Trust != Away {
		t.Fatal("a beat without a connection")
	}
	g.Up(start, "a", 7)
	step("up", Trial)
	if _, r := g.Cross(start, &Ask{Txn: "t", Deadline: start + second}); r != NoPeer {
		t.Fatalf("handed over on trial: %v", r)
	}
	g.Beat(start, "a", 5, false, 0)
	step("beat", Trusted)
	g.Tick(start + 500*ms)
	step("two beats", Trusted)
	g.Tick(start + 501*ms)
	step("later", Doubted)
	if _, r := g.Cross(start, &Ask{Txn: "t", Deadline: start + second}); r != NoPeer {
		t.Fatalf("handed over in doubt: %v", r)
	}
	g.Beat(start+600*ms, "a", 5, false, 0)
	step("heard", Trusted)
	g.Beat(start+700*ms, "a", 5, true, 0)
	step("drains", Leaving)
	g.Tick(start + 700*ms + 5*250*ms + 1)
	step("silent", Away)
	if a := g.Actions(); len(a) != 1 || a[0].Kind != GiveUp {
		t.Fatalf("%+v", a)
	}
	if g.Up(start, "a", 6) || !g.Up(start, "a", 7) || !g.Up(start, "a", 8) || p.Trust != Trial {
		t.Fatal("a ghost was greeted, or its successor was not")
	}
	if g.Up(start, "stranger", 1) {
		t.Fatal("a stranger was greeted")
	}
}

func TestWhoIsChosen(t *testing.T) {
	g := gate("a", "b")
	a, b := trusted(g, start, "a", 4), trusted(g, start, "b", 2)
	ask := func(n int) *Ask { return &Ask{Txn: fmt.Sprint(n), Deadline: start + second} }
	got := ""
	for n := range 7 {
		p, r := g.Cross(start, ask(n))
		if p == nil {
			got += " " + r.String()
			continue
		}
		got += " " + p.Name
	}
	if got != " a b a a b a no_room" {
		t.Fatalf("order%s", got)
	}
	if a.Out != 4 || b.Out != 2 {
		t.Fatalf("%d and %d out", a.Out, b.Out)
	}
	for name, c := range map[string]struct {
		ask  Ask
		want Reason
	}{
		"may have run": {Ask{Txn: "x", Effect: Unsafe, Deadline: start + second}, MayHaveRun},
		"keyed":        {Ask{Txn: "x", Effect: Keyed, Deadline: start + second}, MayHaveRun},
		"from afar":    {Ask{Txn: "x", Route: []string{"m"}, Deadline: start + second}, Circles},
		"across":       {Ask{Txn: "1", Deadline: start + second}, Twin},
		"no time":      {Ask{Txn: "x", Deadline: start + 100*ms}, NoTime},
	} {
		if _, r := g.Cross(start, &c.ask); r != c.want {
			t.Errorf("%s: %v, want %v", name, r, c.want)
		}
	}
	one := gate("a")
	trusted(one, start, "a", 1000).Limit = 1000
	for n := range 41 {
		if _, r := one.Cross(start, ask(n)); (r == TooMany) != (n == 40) {
			t.Fatalf("%d: %v", n, r)
		}
	}
}

// A site that is back is handed two txns at first, and more as they come back.
func TestReturnWithoutStorm(t *testing.T) {
	g := gate("a")
	now := int64(start)
	g.Up(now, "a", 1)
	g.Beat(now, "a", 1000, false, ms)
	most, n := 0, 0
	for round := range 200 {
		out := 0
		var ids []string
		for {
			id := fmt.Sprint(n)
			n++
			if _, r := g.Cross(now, &Ask{Txn: id, Deadline: now + second}); r != Good {
				break
			}
			g.Written(id)
			ids, out = append(ids, id), out+1
		}
		if most = max(most, out); round == 0 && out != 2 {
			t.Fatalf("%d at first", out)
		}
		now += 20 * ms
		for _, id := range ids {
			g.Returned(now, "a", id, Far{End: Completed})
		}
	}
	if most < 20 {
		t.Fatalf("%d at once after 200 good rounds", most)
	}
	for range 30 { // and less where answers are bad
		now += 300 * ms
		g.Beat(now, "a", 1000, false, ms)
		id := fmt.Sprint(n)
		n++
		g.Cross(now, &Ask{Txn: id, Deadline: now + second})
		g.Written(id)
		g.Returned(now, "a", id, Far{End: Rejected, Proof: true})
	}
	if l := g.Peer("a").Limit; l > 2 {
		t.Fatalf("limit %.1f after thirty refusals", l)
	}
}

func TestWhatIsTakenFromPeers(t *testing.T) {
	g := gate("a", "b")
	trusted(g, start, "a", 0)
	for name, c := range map[string]struct {
		peer  string
		route []string
		delay int64
		want  Reason
	}{
		"good":          {"a", []string{"a"}, 0, Good},
		"stranger":      {"x", []string{"x"}, 0, NoPeer},
		"no route":      {"a", nil, 0, Circles},
		"another's":     {"a", []string{"b"}, 0, Circles},
		"two hops":      {"a", []string{"a", "b"}, 0, Circles},
		"our own":       {"a", []string{"n"}, 0, Circles},
		"lay in wait":   {"a", []string{"a"}, 501 * ms, NoTime},
		"a little late": {"a", []string{"a"}, 500 * ms, Good},
	} {
		if r := g.Arrive(start, c.peer, name, c.route, c.delay); r != c.want {
			t.Errorf("%s: %v, want %v", name, r, c.want)
		}
	}
	if r := g.Arrive(start, "a", "good", []string{"a"}, 0); r != Twin {
		t.Errorf("the same again: %v", r)
	}
	n := 0
	for g.Arrive(start, "a", fmt.Sprint(n), []string{"a"}, 0) == Good {
		n++
	}
	if n+2 != inFirst || g.Offer(start) != 0 {
		t.Fatalf("%d at first, %d offered", n+2, g.Offer(start))
	}
	for id := range n {
		g.Served(start, "a", fmt.Sprint(id), true)
	}
	// However well it goes, the reserve stays home's.
	for range 10_000 {
		g.Arrive(start, "a", "x", []string{"a"}, 0)
		g.Served(start, "a", "x", true)
		g.inCap = 1000
	}
	for n = g.In(); g.Arrive(start, "a", fmt.Sprint("y", n), []string{"a"}, 0) == Good; n++ {
	}
	if n != 20 {
		t.Fatalf("%d taken of 40 with half in reserve", n)
	}
	h := gate("a")
	for range 7 {
		h.Home(start, false)
	}
	h.Home(start, true)
	if r := h.Arrive(start, "a", "z", []string{"a"}, 0); r != HomeFirst || h.Offer(start) != 0 {
		t.Fatalf("taken while home is refused: %v", r)
	}
	if r := h.Arrive(start+2*second, "a", "z", []string{"a"}, 0); r != Good {
		t.Fatalf("long after: %v", r)
	}
}

func TestOlderThanAPurgeIsNotPassedOn(t *testing.T) {
	for issued, want := range map[int64]Outcome{999: Rejected, 1000: Rejected, 1001: Completed} {
		g := gate("a")
		trusted(g, start, "a", 9)
		g.Cross(start, &Ask{Txn: "t", Deadline: start + second})
		g.Written("t")
		g.Returned(start, "a", "t", Far{End: Completed, Issued: issued, Least: 1000})
		if a := g.Actions(); len(a) != 1 || a[0].End != want {
			t.Errorf("issued %d: %+v", issued, a)
		}
	}
}

// duo is one txn and all that can happen to it between the two ends: the home end
// is the gate, the far end and the wire are written out here.
type duo struct {
	g        *Gate
	effect   Effect
	onWire   bool // the request
	coming   *Far // an answer on the wire
	up       bool
	far      string // "", "has" it, "ran" it
	runs     int
	answers  []Outcome
	now      int64
	crossed  bool
	left     bool
	restarts int
}

// moves are what can happen; each tells whether it could.
var moves = []struct {
	name string
	do   func(d *duo) bool
}{
	{"cross", func(d *duo) bool {
		if d.crossed {
			return false
		}
		d.crossed = true
		_, r := d.g.Cross(d.now, &Ask{Txn: "t", Effect: d.effect, Clean: true, Deadline: d.now + second})
		return r == Good
	}},
	{"write", func(d *duo) bool {
		if !d.up || d.onWire || d.far != "" || !d.g.Written("t") {
			return false
		}
		d.onWire = true
		return true
	}},
	{"write again", func(d *duo) bool { // as a careless writer would
		if !d.up || d.onWire || !d.g.Has("t") || d.far == "" {
			return false
		}
		if _, r := d.g.Cross(d.now, &Ask{Txn: "t", Effect: d.effect, Clean: true, Deadline: d.now + second}); r == Good {
			d.onWire = true
			return true
		}
		return false
	}},
	{"come", func(d *duo) bool {
		if !d.onWire {
			return false
		}
		d.onWire, d.far = false, "has"
		return true
	}},
	{"run", func(d *duo) bool { // also once its asker is gone: a far side that wakes up late
		if d.far != "has" {
			return false
		}
		d.far = "ran"
		d.runs++
		return true
	}},
	{"turn away", func(d *duo) bool {
		if d.far != "has" || !d.up || d.coming != nil {
			return false
		}
		d.far, d.coming = "", &Far{End: Rejected, Proof: true}
		return true
	}},
	{"answer", func(d *duo) bool {
		if d.far != "ran" || !d.up || d.coming != nil {
			return false
		}
		d.coming = &Far{End: Completed}
		return true
	}},
	{"fail", func(d *duo) bool {
		if d.far != "ran" || !d.up || d.coming != nil {
			return false
		}
		d.coming = &Far{End: Aborted}
		return true
	}},
	{"refuse after it ran", func(d *duo) bool { // a repeatable one may be refused though it ran
		if d.far != "ran" || !d.up || d.coming != nil {
			return false
		}
		d.coming = &Far{End: Rejected}
		return true
	}},
	{"deliver", func(d *duo) bool {
		if d.coming == nil {
			return false
		}
		d.g.Returned(d.now, "a", "t", *d.coming)
		d.coming = nil
		return true
	}},
	{"deliver twice", func(d *duo) bool {
		if d.coming == nil {
			return false
		}
		d.g.Returned(d.now, "a", "t", *d.coming)
		return true
	}},
	{"cut", func(d *duo) bool { // bytes on the wire may still come, or not
		if !d.up {
			return false
		}
		d.up, d.coming = false, nil
		d.g.Lost("a")
		return true
	}},
	{"lose the wire", func(d *duo) bool {
		if d.up || !d.onWire {
			return false
		}
		d.onWire = false
		return true
	}},
	{"join", func(d *duo) bool {
		if d.up || d.restarts > 1 {
			return false
		}
		d.restarts++
		d.up = true
		d.g.Up(d.now, "a", uint64(1+d.restarts))
		d.g.Beat(d.now, "a", 9, false, ms)
		return true
	}},
	{"time is over", func(d *duo) bool {
		if d.now > start+second {
			return false
		}
		d.now += 2 * second
		d.g.Beat(d.now, "a", 9, false, ms)
		d.g.Tick(d.now)
		return true
	}},
	{"client leaves", func(d *duo) bool {
		if d.left || !d.g.Has("t") {
			return false
		}
		d.left = true
		d.g.Left("t")
		return true
	}},
}

func newDuo(effect Effect) *duo {
	d := &duo{g: gate("a"), effect: effect, up: true, now: start}
	trusted(d.g, start, "a", 9)
	return d
}

// step makes a move and judges the rules at once.
func (d *duo) step(i int) (could bool, broken string) {
	could = moves[i].do(d)
	for _, a := range d.g.Actions() {
		if a.Kind == Answer {
			d.answers = append(d.answers, a.End)
		}
	}
	switch {
	case len(d.answers) > 1:
		broken = "two answers"
	case d.left && len(d.answers) > 0:
		broken = "an answer to a client that had left"
	case d.effect != Safe && d.runs > 1:
		broken = "run twice"
	case d.effect != Safe && d.runs > 0 && len(d.answers) > 0 && d.answers[0] == Rejected:
		broken = "rejected, and it ran"
	}
	return could, broken
}

func (d *duo) key() string {
	state := state(0)
	if c := d.g.out["t"]; c != nil {
		state = c.state
	}
	return fmt.Sprint(d.effect, d.onWire, d.coming, d.up, d.far, d.runs, d.answers, d.now, d.crossed, d.left, d.restarts, state, d.g.Peer("a").Trust)
}

// Every order of what can happen to one txn, from the first move to the last: no
// state that can be reached breaks a rule, and each ends with one outcome.
func TestEveryOrderOfEvents(t *testing.T) {
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		seen := map[string]bool{}
		edges := 0
		type path []int
		queue := []path{{}}
		for len(queue) > 0 {
			p := queue[0]
			queue = queue[1:]
			for i := range moves {
				d := newDuo(effect)
				for _, j := range p {
					d.step(j)
				}
				could, broken := d.step(i)
				if broken != "" {
					var names []string
					for _, j := range append(p, i) {
						names = append(names, moves[j].name)
					}
					t.Fatalf("effect %d: %s after %q", effect, broken, names)
				}
				edges++
				if k := d.key(); could && !seen[k] {
					seen[k] = true
					queue = append(queue, append(p[:len(p):len(p)], i))
					// Whatever the state, time brings an end.
					if d.now += 10 * second; d.g.Has("t") {
						d.g.Tick(d.now)
						for _, a := range d.g.Actions() {
							if a.Kind == Answer {
								d.answers = append(d.answers, a.End)
							}
						}
						if d.g.Has("t") || len(d.answers) != 1 {
							t.Fatalf("effect %d: %d answers at the end of time", effect, len(d.answers))
						}
					}
				}
			}
		}
		if len(seen) < 100 {
			t.Fatalf("%d states: too few to tell anything", len(seen))
		}
		t.Logf("effect %d: %d states, %d moves tried", effect, len(seen), edges)
	}
}

// Long random lives of many txns: as many answers as were handed over, and the
// books agree.
func TestLongLives(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		g := gate("a", "b")
		now, n := int64(start), 0
		open, answers := map[string]bool{}, map[string]int{}
		for range 400 {
			now += r.Int64N(100 * ms)
			name := []string{"a", "b"}[r.IntN(2)]
			var id string
			if ids := slices.Sorted(maps.Keys(open)); len(ids) > 0 {
				id = ids[r.IntN(len(ids))]
			}
			switch r.IntN(9) {
			case 0:
				g.Up(now, name, uint64(r.IntN(5)))
			case 1:
				g.Lost(name)
			case 2, 3:
				g.Beat(now, name, r.IntN(20), r.IntN(40) == 0, int64(r.IntN(1000)))
			case 4:
				g.Tick(now)
			case 5:
				g.Returned(now, name, id, Far{End: Outcome(1 + r.IntN(3)), Proof: r.IntN(2) == 0})
			case 6:
				g.Written(id)
			default:
				n++
				id := fmt.Sprint(n)
				if _, why := g.Cross(now, &Ask{Txn: id, Effect: Effect(r.IntN(3)), Clean: true, Deadline: now + r.Int64N(second)}); why == Good {
					open[id] = true
				}
			}
			for _, a := range g.Actions() {
				if a.Kind == Answer {
					answers[a.Txn]++
					if !open[a.Txn] || answers[a.Txn] > 1 {
						t.Fatalf("txn %s answered %d times", a.Txn, answers[a.Txn])
					}
					delete(open, a.Txn)
				}
			}
			out := 0
			for _, p := range g.Peers() {
				if p.Out < 0 || p.Trust == Away && p.Out > 0 {
					t.Fatalf("%d out at %v peer", p.Out, p.Trust)
				}
				out += p.Out
			}
			if out != g.Out() || len(open) != out {
				t.Fatalf("%d out by peers, %d by the gate, %d open", out, g.Out(), len(open))
			}
		}
	}
}
