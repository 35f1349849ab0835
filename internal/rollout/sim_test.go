package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"quilldoor/internal/canary"
)

// fleet is a plan's routers on a virtual clock, with ways that lose, delay and are cut.
type fleet struct {
	t      *testing.T
	plan   *Plan
	now    int64
	dice   *rand.Rand
	nodes  []*Node
	local  []local
	disks  []*Durable // nil: lost
	lasts  bool       // disks last
	cut    func(a, b int) bool
	loss   float64
	late   int64 // words take up to so long
	mail   []mail
	acting []acted
	bad    []string
	wrong  wrong
	worse  float64 // of the new generation
	most   int     // at once in an office, ever
	beyond bool    // a majority has lost what it knew at the same time: nobody can make up for that
}

type local struct {
	up, stopped, onNew, changing, target bool
	until                                int64
	failed                               string
	run                                  uint64
	counts                               canary.Counts
	broken                               uint8
	drains, purges                       int
	skew                                 float64 // of its clock
	base                                 int64
}

type mail struct {
	at       int64
	from, to int
	m        *Message
}

// acted is a change that a router has begun.
type acted struct {
	at     int64
	router int
	new    bool
	seq    uint64
}

const planText = `
name: test
program: /opt/new
routers: [{name: a1, office: a}, {name: a2, office: a}, {name: b1, office: b}, {name: b2, office: b}, {name: c1, office: c}, {name: c2, office: c}, {name: c3, office: c}]
stages:
  - {routers: [a1], watch_s: 60, least_s: 10}
  - {share: 0.5, watch_s: 60, least_s: 10}
  - {share: 1, watch_s: 20, least_s: 5}
silent_s: 15
guards: {most_loss: 0.1, loss: 0.02, refusals: 0.02, failures: 0.02}
`

func newFleet(t *testing.T, text string, seed uint64) *fleet {
	t.Helper()
	p, err := ParsePlan("plan.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, plan: p, now: second, dice: rand.New(rand.NewPCG(seed, 11)), lasts: true}
	for i := range p.Routers {
		f.local = append(f.local, local{skew: 0.96 + 0.08*f.dice.Float64(), base: f.dice.Int64N(1000 * second)})
		f.disks = append(f.disks, &Durable{})
		f.nodes = append(f.nodes, nil)
		f.up(i)
	}
	return f
}

// clock of a router: no two tell the same, nor run alike.
func (f *fleet) clock(i int) int64 {
	l := &f.local[i]
	return l.base + int64(float64(f.now)*l.skew)
}

func (f *fleet) up(i int) {
	l := &f.local[i]
	l.up, l.stopped = true, false
	if f.disks[i] == nil { // what was settled is lost as well
		l.onNew, l.run, l.failed = false, 0, ""
	}
	if l.changing { // the keeper's own rule: what was not settled falls back
		l.changing = false
	}
	f.nodes[i] = NewNode(f.plan, f.plan.Routers[i].Name, f.disks[i], rand.New(rand.NewPCG(f.dice.Uint64(), 1)), f.clock(i))
	f.nodes[i].wrong = f.wrong
}

func (f *fleet) down(i int) {
	f.local[i].up = false
	if d := f.nodes[i].Durable; f.lasts && f.nodes[i].recovering == 0 {
		f.disks[i] = &d
	} else {
		f.disks[i] = nil
	}
	f.nodes[i] = nil
	lost := 0
	for j, n := range f.nodes {
		if n == nil && f.disks[j] == nil || n != nil && n.recovering != 0 {
			lost++
		}
	}
	f.beyond = f.beyond || 2*lost > len(f.nodes)
}

func (f *fleet) post(from int, out []Outgoing) {
	for _, o := range out {
		if f.cut != nil && f.cut(from, o.To) || f.dice.Float64() < f.loss {
			continue
		}
		f.mail = append(f.mail, mail{f.now + 5*ms + f.dice.Int64N(f.late+1), from, o.To, o.Message})
	}
}

// step plays 50 ms.
func (f *fleet) step() {
	f.now += 50 * ms
	var later []mail
	due := f.mail
	f.mail = nil
	for _, m := range due {
		if m.at > f.now || f.local[m.to].stopped {
			later = append(later, m)
			continue
		}
		if f.local[m.to].up {
			f.post(m.to, f.nodes[m.to].Receive(f.clock(m.to), f.plan.Routers[m.from].Name, m.m))
		}
	}
	f.mail = append(f.mail, later...)
	for i := range f.nodes {
		l := &f.local[i]
		if !l.up || l.stopped {
			continue
		}
		if l.changing && f.now >= l.until {
			l.changing, l.onNew = false, l.target
		}
		c := &l.counts
		for range 3 {
			c.Requests++
			c.WeightOffered++
			if !(l.onNew && f.dice.Float64() < f.worse) {
				c.WeightEarned++
			}
		}
		n := f.nodes[i]
		n.SetReport(Report{Upgraded: l.onNew && !l.changing, Changing: l.changing, FailureReason: l.failed, Capable: true, Counts: *c, RunID: l.run, ViolatedRules: l.broken, DrainsSeen: l.drains, PurgesSeen: l.purges})
		f.post(i, n.Tick(f.clock(i)))
		if w := n.Target(f.clock(i)); w.MayStart && !l.changing && w.New != l.onNew && !(w.New && l.failed != "") {
			if v, _ := n.View(); !w.New && v.Phase == PhaseForward {
				l.failed = "cut off"
			}
			f.begin(i, w.New)
		}
	}
	f.judge()
}

// begin lets a router change, and looks whether it may.
func (f *fleet) begin(i int, toNew bool) {
	l := &f.local[i]
	v, _ := f.nodes[i].View()
	l.changing, l.target, l.until, l.run = true, toNew, f.now+second, v.RunID
	f.acting = append(f.acting, acted{f.now, i, toNew, v.Seq})
	if !toNew {
		return
	}
	// Nobody has decided that all go back, and nobody has acted on that.
	for j, n := range f.nodes {
		if n == nil || n.leads == nil || !n.leads.known {
			continue
		}
		if d := n.leads.decided; (d.Phase == PhaseRollingBack || d.Phase == PhaseRolledBack) && d.Seq > v.Seq && d.RunID == v.RunID {
			f.fault("%s goes forward by %d while %s has decided to go back by %d", f.plan.Routers[i].Name, v.Seq, f.plan.Routers[j].Name, d.Seq)
		}
	}
	for _, a := range f.acting {
		if !a.new && a.seq > v.Seq {
			f.fault("%s goes forward by %d after a router went back by %d", f.plan.Routers[i].Name, v.Seq, a.seq)
		}
	}
}

func (f *fleet) fault(format string, args ...any) {
	if len(f.bad) < 5 {
		f.bad = append(f.bad, fmt.Sprintf("%.2f s: ", float64(f.now)/1e6)+fmt.Sprintf(format, args...))
	}
}

func (f *fleet) judge() {
	at := map[string]int{}
	for i := range f.local {
		if l := &f.local[i]; l.up && l.changing && l.target {
			at[f.plan.Routers[i].Office]++
			f.most = max(f.most, at[f.plan.Routers[i].Office])
		}
	}
	for o, n := range at {
		if n > f.plan.MaxConcurrent {
			f.fault("%d of office %s change at once", n, o)
		}
	}
}

func (f *fleet) play(seconds float64) {
	for end := f.now + int64(seconds*1e6); f.now < end; {
		f.step()
	}
}

// ways are what routers hold of the rollout, and how many have the new generation.
func (f *fleet) ways() (list []string, news int) {
	for i, n := range f.nodes {
		if f.local[i].onNew {
			news++
		}
		if n != nil {
			v, _ := n.View()
			list = append(list, fmt.Sprintf("%s %v %d/%d", f.plan.Routers[i].Name, v.Phase, v.Stage, v.Seq))
		}
	}
	return list, news
}

func (f *fleet) way() Phase {
	w := PhaseNone
	for _, n := range f.nodes {
		if n != nil && n.IsLeader() {
			w = n.leads.decided.Phase
		}
	}
	return w
}

// A calm rollout of the same goes through all stages; one that is worse is turned back
// at the first, and all have the old one in the end.
func TestStages(t *testing.T) {
	f := newFleet(t, planText, 1)
	f.nodes[4].Command(f.clock(4), CommandStart)
	f.play(15)
	if _, news := f.ways(); news != 1 || !f.local[0].onNew {
		t.Errorf("after 15 s %d have changed", news)
	}
	f.play(200)
	if l, news := f.ways(); news != 7 || f.way() != PhaseDone {
		t.Errorf("%v: %v, %d have changed", f.way(), l, news)
	}
	if f.most != 1 || len(f.bad) > 0 {
		t.Error(f.most, f.bad)
	}
	f = newFleet(t, planText, 2)
	f.worse = 0.25
	f.nodes[0].Command(f.clock(0), CommandStart)
	for f.now < 200*second && f.way() != PhaseRolledBack {
		f.step()
	}
	_, news := f.ways()
	if news != 0 || f.way() != PhaseRolledBack {
		t.Errorf("%v, %d have changed", f.way(), news)
	}
	if len(f.acting) != 2 || len(f.bad) > 0 {
		t.Errorf("%+v, %v", f.acting, f.bad)
	}
	v, _ := f.nodes[3].View()
	if !strings.Contains(v.Reason, "loss of worth") {
		t.Error(v.Reason)
	}
}

// Who leads is killed, stopped and woken, cut off with few and with many, again and
// again, with words lost and late and clocks that drift: never two directions, never
// two of an office at once, and an end.
func TestRolloutsInTrouble(t *testing.T) {
	ends := map[Phase]int{}
	for seed := range uint64(60) {
		f := newFleet(t, planText, seed)
		f.lasts = seed%3 != 0
		f.loss, f.late = 0.05, 200*ms
		if seed%2 == 1 {
			f.worse = 0.25
		}
		f.play(6)
		f.nodes[seed%7].Command(f.clock(int(seed%7)), CommandStart)
		leader := func() int {
			for i, n := range f.nodes {
				if n != nil && n.leads != nil {
					return i
				}
			}
			return int(seed % 7)
		}
		for round := range 10 {
			f.play(3 + 5*f.dice.Float64())
			i := leader()
			if round%3 == 2 {
				i = f.dice.IntN(7)
			}
			if !f.local[i].up || f.local[i].stopped {
				continue
			}
			switch round % 5 {
			case 0:
				f.down(i)
				f.play(2 + 9*f.dice.Float64())
				f.up(i)
			case 1:
				f.local[i].stopped = true
				f.play(10)
				f.local[i].stopped = false
			case 2: // with one other, or with most
				side := map[int]bool{i: true}
				for len(side) < 2+3*f.dice.IntN(2) {
					side[f.dice.IntN(7)] = true
				}
				f.cut = func(a, b int) bool { return side[a] != side[b] }
				f.play(8 + 10*f.dice.Float64())
				f.cut = nil
			case 3: // it hears, and is not heard
				f.cut = func(a, b int) bool { return a == i }
				f.play(8)
				f.cut = nil
			case 4:
				j := (i + 1) % 7
				if f.local[j].up {
					f.down(i)
					f.down(j)
					f.play(1)
					f.up(i)
					f.up(j)
				}
			}
		}
		f.loss = 0
		f.play(320)
		_, news := f.ways()
		w := f.way()
		ends[w]++
		switch {
		case len(f.bad) > 0:
			t.Errorf("seed %d: %v", seed, f.bad)
		case w == PhaseDone && news != 7, (w == PhaseRolledBack || w == PhaseNone) && news != 0, w == PhaseForward || w == PhaseRollingBack: // none: whoever was told to start died before it was decided
			l, _ := f.ways()
			t.Errorf("seed %d: %v, %d have changed: %v", seed, w, news, l)
		case w == PhaseDone && f.worse > 0:
			t.Errorf("seed %d: a worse one has passed", seed)
		}
	}
	t.Logf("ends: %v", ends)
}

// Where nobody holds anything, as at the very first, all begin once all have said so;
// where one alone has lost it, a majority of the others is enough.
func TestRecovery(t *testing.T) {
	f := newFleet(t, planText, 5)
	f.lasts = false
	for i := range f.nodes {
		f.down(i)
	}
	for i := range f.nodes[1:] {
		f.up(i + 1)
	}
	f.play(5)
	for i := range f.nodes[1:] {
		if f.nodes[i+1].recovering == 0 {
			t.Errorf("%d takes part, and one is missing", i+1)
		}
	}
	f.up(0)
	f.play(5)
	for i := range f.nodes {
		if f.nodes[i].recovering != 0 {
			t.Errorf("%d asks for ever", i)
		}
	}
	f.nodes[0].Command(f.clock(0), CommandStart)
	f.play(20)
	held := f.nodes[3].Durable
	f.down(3)
	f.up(3)
	f.down(5)
	f.play(3)
	if d := f.nodes[3].Durable; d.PromisedTerm < held.PromisedTerm || d.State.Seq < held.State.Seq || held.State.Seq == 0 {
		t.Errorf("it held %+v and holds %+v", held, d)
	}
}

// Two rollouts begun on two sides of a cut: the smaller side's waits, or comes to
// nothing, and the fleet ends in one generation.
func TestTwoSides(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, planText, seed)
		f.play(6)
		f.cut = func(a, b int) bool { return (a < 3) != (b < 3) }
		f.nodes[1].Command(f.clock(1), CommandStart)
		f.nodes[5].Command(f.clock(5), CommandStart)
		f.play(25)
		for i := range 3 {
			if f.local[i].onNew || f.local[i].changing {
				t.Errorf("seed %d: %s changes on the smaller side", seed, f.plan.Routers[i].Name)
			}
		}
		f.cut = nil
		f.play(300)
		if _, news := f.ways(); len(f.bad) > 0 || news != 0 && news != 7 || f.way() != PhaseDone && f.way() != PhaseRolledBack {
			t.Errorf("seed %d: %v with %d, %v", seed, f.way(), news, f.bad)
		}
	}
}

// What a router was told lets it begin for a second by its own clock, from when it asked;
// one that was stopped meanwhile does nothing.
func TestStaleWords(t *testing.T) {
	for _, stale := range []bool{false, true} {
		f := newFleet(t, planText, 1)
		n := f.nodes[0]
		n.wrong.staleView = stale
		n.view, n.viewAt = State{Seq: 3, Phase: PhaseForward, Batch: Set(nil).With(0)}, n.now
		if w := n.Target(n.now + actWithin/2); !w.New || !w.MayStart {
			t.Error(w)
		}
		if w := n.Target(n.now + 10*actWithin); w.MayStart != stale {
			t.Error(stale, w)
		}
	}
}

// Each guard is needed: without it the same trouble goes wrong.
func TestWrongRollouts(t *testing.T) {
	for name, w := range map[string]wrong{"a third is enough": {noMajority: true}} {
		found := false
		for seed := uint64(0); seed < 200 && !found; seed++ {
			f := newFleet(t, planText, seed)
			f.wrong, f.late = w, 100*ms
			for i := range f.nodes {
				f.nodes[i].wrong = w
			}
			f.nodes[0].Command(f.clock(0), CommandStart)
			f.play(8 + 4*f.dice.Float64())
			side := map[int]bool{}
			for len(side) < 3 {
				side[f.dice.IntN(7)] = true
			}
			stop := f.dice.IntN(7)
			f.local[stop].stopped = seed%2 == 0
			f.cut = func(a, b int) bool { return side[a] != side[b] }
			f.play(14)
			for i := range f.nodes {
				if f.dice.IntN(2) == 0 && !f.local[i].stopped {
					f.nodes[i].Command(f.clock(i), CommandRollBack)
				}
			}
			f.play(14)
			f.local[stop].stopped = false
			f.play(10)
			f.cut = nil
			f.play(30)
			found = len(f.bad) > 0
			if found {
				t.Logf("%s, seed %d: %v", name, seed, f.bad[0])
			}
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}
