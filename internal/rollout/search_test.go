package rollout

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
)

const threeRouterPlan = `
name: small
program: /opt/new
routers: [{name: a1, office: a}, {name: a2, office: a}, {name: b1, office: b}]
stages:
  - {routers: [a1], watch_s: 3, least_s: 1}
  - {share: 1, watch_s: 3, least_s: 1}
on_unsure: back
silent_s: 15
`

// fault is what can happen to three routers at a moment.
type fault struct {
	name  string
	apply func(f *fleet)
}

func allFaults() []fault {
	list := []fault{
		{"nothing", func(*fleet) {}},
		{"healed", func(f *fleet) { f.partition = nil }},
	}
	for i := range 3 {
		list = append(list,
			fault{fmt.Sprint("cut ", i), func(f *fleet) { f.partition = func(from, to int) bool { return from == i || to == i } }},
			fault{fmt.Sprint("not heard ", i), func(f *fleet) { f.partition = func(from, _ int) bool { return from == i } }},
			fault{fmt.Sprint("stops or starts ", i), func(f *fleet) {
				if f.routers[i].up {
					f.stopRouter(i)
				} else {
					f.startRouter(i)
				}
			}},
			fault{fmt.Sprint("freezes or thaws ", i), func(f *fleet) { f.routers[i].frozen = f.routers[i].up && !f.routers[i].frozen }},
			fault{fmt.Sprint("back ", i), func(f *fleet) {
				if f.nodes[i] != nil && !f.routers[i].frozen {
					f.command(i, CommandRollBack)
				}
			}})
	}
	return list
}

// searchResult is what one worker of playFaultSequences has found.
type searchResult struct {
	violations []string
	states     map[string]bool
	ends       map[Phase]int
}

// runFaultSequences plays one in every so many sequences of four faults. Each worker
// stops at its first violation.
func runFaultSequences(t *testing.T, every int, v variant) (violations []string, sequences, states int, ends map[Phase]int) {
	const depth = 4
	faults := allFaults()
	total := 1
	for range depth {
		total *= len(faults)
	}
	workers := runtime.NumCPU()
	results := make([]searchResult, workers)
	var all sync.WaitGroup
	for w := range workers {
		all.Go(func() {
			r := &results[w]
			r.states, r.ends = map[string]bool{}, map[Phase]int{}
			for code := w * every; code < total && len(r.violations) < 1; code += workers * every {
				r.runSequence(t, faults, depth, code, v)
			}
		})
	}
	all.Wait()
	distinct := map[string]bool{}
	ends = map[Phase]int{}
	for _, r := range results {
		violations = append(violations, r.violations...)
		for s := range r.states {
			distinct[s] = true
		}
		for phase, count := range r.ends {
			ends[phase] += count
		}
	}
	return violations, (total + every - 1) / every, len(distinct), ends
}

// runSequence plays the faults that a code's digits name during a rollout, lets all
// routers run again, and checks the end.
func (r *searchResult) runSequence(t *testing.T, faults []fault, depth, code int, v variant) {
	f := newFleetOf(t, threeRouterPlan, uint64(code%7), v)
	f.keepsDisks = code%2 == 0
	f.maxDelay = 30 * millisecond
	f.command(2, CommandStart)
	f.runFor(6)
	path := ""
	for digits, n := code, 0; n < depth; n++ {
		x := faults[digits%len(faults)]
		digits /= len(faults)
		path += x.name + ", "
		x.apply(f)
		f.runFor([...]float64{1, 7, 3, 5}[n])
		r.states[f.fingerprint()] = true
	}
	f.partition = nil
	for i := range f.routers {
		f.routers[i].frozen = false
		if !f.routers[i].up {
			f.startRouter(i)
		}
	}
	f.runFor(75)
	r.checkEnd(f, path)
}

func (r *searchResult) checkEnd(f *fleet, path string) {
	views, upgraded := f.views()
	phase := f.phase()
	r.ends[phase]++
	recovering := 0
	for _, n := range f.nodes {
		if n.recovering() {
			recovering++
		}
	}
	if f.majorityLost {
		r.ends[PhaseNone]++
	}
	unfinished := phase == PhaseForward || phase == PhaseRollingBack
	mixed := phase == PhaseDone && upgraded != 3 || (phase == PhaseRolledBack || phase == PhaseNone) && upgraded != 0
	switch {
	case f.majorityLost && recovering == 0:
	case len(f.violations) > 0:
		r.violations = append(r.violations, path+f.violations[0])
	case recovering > 0:
		r.violations = append(r.violations, fmt.Sprintf("%s%d ask for ever", path, recovering))
	case unfinished || mixed:
		r.violations = append(r.violations, fmt.Sprintf("%s%v with %d: %v", path, phase, upgraded, views))
	}
}

// Sequences of four faults among three routers, each for some seconds, during a rollout:
// partitions, one-way partitions, stops with and without the durable state, freezes,
// commands to roll back. Where a majority loses its durable state at the same time, all
// must only take part again. Otherwise never two directions, never two changes of an
// office at once, and an end in one generation once all run.
func TestInvariantsHoldInFaultSequences(t *testing.T) {
	every := 16 // all of them take a minute: with QUILLDOOR_ALL=1
	if os.Getenv("QUILLDOOR_ALL") != "" {
		every = 1
	}
	violations, sequences, states, ends := runFaultSequences(t, every, variant{})
	for _, v := range violations {
		t.Error(v)
	}
	t.Logf("%d sequences, %d states seen; ends: %v", sequences, states, ends)
}

// fingerprint is a fleet's state without its times.
func (f *fleet) fingerprint() string {
	s := ""
	for i, n := range f.nodes {
		r := &f.routers[i]
		s += fmt.Sprint(r.up, r.frozen, r.upgraded, r.changing, ";")
		if n != nil {
			s += fmt.Sprintf("%x,%x,%x;", n.State.Batch, n.State.Changed, n.State.Skipped)
			s += fmt.Sprint(n.PromisedTerm, n.AcceptedTerm, n.State.Seq, n.State.Phase, n.State.Stage,
				n.leader != nil, n.leaderIndex, n.recovering(), n.view.Seq, n.view.Phase, ";")
		}
	}
	return s
}
