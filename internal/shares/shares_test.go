package shares_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"quilldoor/internal/shares"
)

const ms, second = int64(1000), int64(1_000_000)

const term, window = 2 * second, second

// world is some routers before one cold server. Every router spends what its share
// leaves over its own last window; clocks run apart by the worst drift.
type world struct {
	now    int64
	names  []string
	books  []*shares.Book // nil: dead
	asleep []bool
	rate   []int64 // of each clock, parts of a thousand off
	spent  []spend
	mine   [][]spend // of this life, by the own clock
	flight []any
	wrong  string
}

type spend struct {
	at     int64
	amount float64
}

func newWorld(n int, wrong string) *world {
	w := &world{now: 100 * second, wrong: wrong}
	for i := range n {
		w.names = append(w.names, fmt.Sprint("n", i))
		w.rate = append(w.rate, []int64{0, 1, -1}[i%3]*shares.Drift/2)
		w.books, w.asleep, w.mine = append(w.books, nil), append(w.asleep, false), append(w.mine, nil)
	}
	for i := range n {
		w.start(i)
	}
	return w
}

func (w *world) clock(i int) int64 { return w.now + w.now*w.rate[i]/1000 }

func (w *world) start(i int) {
	set := shares.Settings{Name: w.names[i], Peers: w.names, Term: term, Window: window, Now: w.clock(i)}
	w.books[i], w.asleep[i], w.mine[i] = shares.New(set.Wrong(w.wrong)), false, nil
}

func (w *world) kill(i int) { w.books[i], w.asleep[i] = nil, false }

// run calls who is awake.
func (w *world) run() {
	const most = 60
	for i, b := range w.books {
		if b != nil && !w.asleep[i] {
			_, out := b.Run(w.clock(i))
			for _, p := range out {
				w.flight = append(w.flight, p)
			}
		}
	}
	if over := len(w.flight) - most; over > 0 {
		w.flight = slices.Delete(w.flight, 0, over)
	}
}

// deliver brings what is in flight to one, or to all; notes follow at once or wait.
func (w *world) deliver(to int) {
	for range 2 {
		list := w.flight
		w.flight = nil
		for _, x := range list {
			name := ""
			switch x := x.(type) {
			case shares.Promise:
				name = x.To
			case shares.Note:
				name = x.To
			}
			i := slices.Index(w.names, name)
			if to >= 0 && i != to || w.asleep[i] {
				w.flight = append(w.flight, x)
				continue
			}
			if w.books[i] == nil {
				continue
			}
			switch x := x.(type) {
			case shares.Promise:
				if n, ok := w.books[i].Promised(w.clock(i), x); ok {
					w.flight = append(w.flight, n)
				}
			case shares.Note:
				w.books[i].Noted(w.clock(i), x)
			}
		}
		if to >= 0 {
			return
		}
	}
}

// use lets a router spend all that its share leaves.
func (w *world) use(i int) {
	b := w.books[i]
	if b == nil || w.asleep[i] {
		return
	}
	now := w.clock(i)
	share, _ := b.Share(now)
	w.mine[i] = slices.DeleteFunc(w.mine[i], func(s spend) bool { return s.at <= now-window })
	for _, s := range w.mine[i] {
		share -= s.amount
	}
	if share > 0 {
		w.mine[i] = append(w.mine[i], spend{now, share})
		w.spent = append(w.spent, spend{w.now, share})
	}
}

// over tells by how much the budget is exceeded in any window that ends now. The
// windows are the server's: a thousandth shorter covers how routers' clocks differ.
func (w *world) over() float64 {
	w.spent = slices.DeleteFunc(w.spent, func(s spend) bool { return s.at <= w.now-window+window*shares.Drift/1000 })
	sum := -float64(len(w.names)) - 1e-9
	for _, s := range w.spent {
		sum += s.amount
	}
	return sum
}

// pass lets time go by without words that get lost on the way.
func (w *world) pass(length int64, deliver, use bool) {
	for until := w.now + length; w.now < until; {
		w.now += 50 * ms
		w.run()
		if deliver {
			w.deliver(-1)
		}
		if use {
			for i := range w.books {
				w.use(i)
			}
		}
	}
}

type event struct {
	name string
	do   func(w *world)
}

func events(n int) []event {
	list := []event{
		{"short", func(w *world) { w.now += 300 * ms; w.run() }},
		{"half", func(w *world) { w.now += term / 2; w.run() }},
		{"long", func(w *world) { w.now += term + 100*ms; w.run() }},
		{"all", func(w *world) { w.deliver(-1) }},
		{"lost", func(w *world) { w.flight = nil }},
		{"use", func(w *world) {
			for i := range w.books {
				w.use(i)
			}
		}},
	}
	for i := range n {
		list = append(list, event{fmt.Sprint("to", i), func(w *world) { w.deliver(i) }},
			event{fmt.Sprint("use", i), func(w *world) { w.use(i) }},
			event{fmt.Sprint("sleep", i), func(w *world) { w.asleep[i] = !w.asleep[i] && w.books[i] != nil }},
			event{fmt.Sprint("life", i), func(w *world) {
				if w.books[i] != nil {
					w.kill(i)
				} else {
					w.start(i)
				}
			}})
	}
	return list
}

func (w *world) print() string {
	text := fmt.Sprint(w.now, w.asleep)
	for i, b := range w.books {
		if b != nil {
			share, until := b.Share(w.clock(i))
			text += fmt.Sprint(share, until, w.mine[i])
		}
	}
	for _, x := range w.flight {
		text += fmt.Sprint(x)
	}
	return text + fmt.Sprint(w.spent)
}

// search plays every order of events to a depth from a settled start, and returns
// how many states there were and the first path that breaks the budget.
func search(depth int, wrong string) (states int, broken []string) {
	all := events(3)
	seen := map[string]bool{}
	var walk func(path []int) bool
	walk = func(path []int) bool {
		w := newWorld(3, wrong)
		w.pass(3*second, true, false)
		for _, e := range path {
			all[e].do(w)
			if w.over() > 0 {
				for _, e := range path {
					broken = append(broken, all[e].name)
				}
				return true
			}
		}
		if key := w.print(); seen[key] {
			return false
		} else {
			seen[key] = true
		}
		states++
		if len(path) == depth {
			return false
		}
		for e := range all {
			if walk(append(slices.Clone(path), e)) {
				return true
			}
		}
		return false
	}
	walk(nil)
	return states, broken
}

// Whatever is granted, used, stopped, cut, killed and started again in any order:
// all routers together never spend more than the budget over any window.
func TestEveryOrder(t *testing.T) {
	states, broken := search(4, "")
	if broken != nil {
		t.Fatalf("the budget is exceeded by %v", broken)
	}
	t.Logf("%d states", states)
}

// Wrong variants exceed the budget, and are caught by the same searches.
func TestWrongVariants(t *testing.T) {
	for _, wrong := range []string{"counts the living", "rises early", "remembers"} {
		if _, broken := search(4, wrong); broken == nil {
			t.Errorf("%s: not caught", wrong)
		} else {
			t.Logf("%s: %v", wrong, broken)
		}
	}
}

// Random long lives of seven.
func TestLongLives(t *testing.T) {
	all := events(7)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(7, "")
		w.pass(3*second, true, true)
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			e := rapid.IntRange(0, len(all)-1).Draw(t, "event")
			all[e].do(w)
			for i := range w.books {
				if rapid.Bool().Draw(t, "use") {
					w.use(i)
				}
			}
			if over := w.over(); over > 0 {
				t.Fatalf("%g shares above the budget", over)
			}
		}
	})
}

// What a router has: half at the least, all of it in calm, more as neighbours die,
// and its own back when they return. A lone one has half, a new life nothing for a
// window.
func TestSharesFollowTheLiving(t *testing.T) {
	w := newWorld(6, "")
	share := func(i int) float64 { s, _ := w.books[i].Share(w.clock(i)); return s }
	if share(0) != 0 {
		t.Errorf("a new life spends %g at once", share(0))
	}
	w.pass(1100*ms, false, false)
	if share(0) != 0.5 {
		t.Errorf("who has heard nobody has %g", share(0))
	}
	w.pass(3*second, true, false)
	sum := 0.0
	for i := range 6 {
		sum += share(i)
	}
	if sum != 6 {
		t.Errorf("in calm all have %g of 6", sum)
	}
	w.kill(0)
	w.kill(1)
	w.kill(2)
	w.pass(5*second, true, false)
	sum = 0
	for i := 3; i < 6; i++ {
		sum += share(i)
	}
	if sum <= 3 || sum > 6-1.5 {
		t.Errorf("three of six have %g", sum)
	}
	for i := range 3 {
		w.start(i)
	}
	w.pass(4*second, true, true)
	if sum = 0; w.over() > 0 {
		t.Error("above the budget as they return")
	}
	for i := range 6 {
		sum += share(i)
	}
	if sum != 6 {
		t.Errorf("back, all have %g of 6", sum)
	}
	w.asleep[4] = true
	w.pass(20*second, true, true)
	w.asleep[4] = false
	if share(4) > 0.5+0.5 { // its own half, and what the sleeping seem to have left: they have let go of what it noted
		t.Errorf("a sleeper that woke has %g", share(4))
	}
}
