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

// fault is an event that can occur among three routers.
type fault struct {
	name  string
	apply func(f *fleet)
}

func allFaults() []fault {
	list := []fault{
		{"no fault", func(*fleet) {}},
		{"partition ends", func(f *fleet) { f.partition = nil }},
	}
	for i := range 3 {
		list = append(list,
			fault{fmt.Sprint("partition of ", i), func(f *fleet) { f.partition = func(from, to int) bool { return from == i || to == i } }},
			fault{fmt.Sprint("one-way partition of ", i), func(f *fleet) { f.partition = func(from, _ int) bool { return from == i } }},
			fault{fmt.Sprint("stop or start of ", i), func(f *fleet) {
				if f.routers[i].up {
					f.stopRouter(i)
				} else {
					f.startRouter(i)
				}
			}},
			fault{fmt.Sprint("freeze or unfreeze of ", i), func(f *fleet) { f.routers[i].frozen = f.routers[i].up && !f.routers[i].frozen }},
			fault{fmt.Sprint("rollback command at ", i), func(f *fleet) {
				if f.nodes[i] != nil && !f.routers[i].frozen {
					f.command(i, CommandRollBack)
				}
			}})
	}
	return list
}

// searchResult is the result of one worker of runFaultSequences.
type searchResult struct {
	violations []string
	states     map[string]bool // by fingerprint
	// finalPhases is the number of sequences by final phase. A sequence in which a majority
	// lost its durable state is counted for PhaseNone, too.
	finalPhases map[Phase]int
}

// runFaultSequences runs every stride-th sequence of four faults. Each worker stops at its
// first violation.
func runFaultSequences(t *testing.T, stride int, v variant) (violations []string, sequences, states int, finalPhases map[Phase]int) {
	const depth = 4
	faults := allFaults()
	total := 1
	for range depth {
		total *= len(faults)
	}
	workers := runtime.NumCPU()
	results := make([]searchResult, workers)
	var running sync.WaitGroup
	for worker := range workers {
		running.Go(func() {
			r := &results[worker]
			r.states, r.finalPhases = map[string]bool{}, map[Phase]int{}
			for sequence := worker * stride; sequence < total && len(r.violations) < 1; sequence += workers * stride {
				r.runSequence(t, faults, depth, sequence, v)
			}
		})
	}
	running.Wait()
	distinct := map[string]bool{}
	finalPhases = map[Phase]int{}
	for _, r := range results {
		violations = append(violations, r.violations...)
		for state := range r.states {
			distinct[state] = true
		}
		for phase, count := range r.finalPhases {
			finalPhases[phase] += count
		}
	}
	return violations, (total + stride - 1) / stride, len(distinct), finalPhases
}

// runSequence runs one sequence of faults during a rollout, then runs all routers without
// faults and checks the final state. The digits of the sequence's number, in base
// len(faults), are the indexes of its faults.
func (r *searchResult) runSequence(t *testing.T, faults []fault, depth, sequence int, v variant) {
	f := newFleetOf(t, threeRouterPlan, uint64(sequence%7), v)
	f.keepsDisks = sequence%2 == 0
	f.maxDelay = 30 * millisecond
	f.command(2, CommandStart)
	f.runFor(6)
	faultNames := ""
	for digits, position := sequence, 0; position < depth; position++ {
		next := faults[digits%len(faults)]
		digits /= len(faults)
		faultNames += next.name + ", "
		next.apply(f)
		f.runFor([...]float64{1, 7, 3, 5}[position])
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
	r.checkFinalState(f, faultNames)
}

// checkFinalState records a violation unless all routers have recovered and the fleet has
// ended in one generation, without earlier violations. After a majority has lost its durable
// state only the recovery is checked.
func (r *searchResult) checkFinalState(f *fleet, faultNames string) {
	views, upgraded := f.views()
	phase := f.phase()
	r.finalPhases[phase]++
	recovering := 0
	for _, n := range f.nodes {
		if n.recovering() {
			recovering++
		}
	}
	if f.majorityLost {
		r.finalPhases[PhaseNone]++
	}
	unfinished := phase == PhaseForward || phase == PhaseRollingBack
	mixed := phase == PhaseDone && upgraded != 3 || (phase == PhaseRolledBack || phase == PhaseNone) && upgraded != 0
	switch {
	case f.majorityLost && recovering == 0:
	case len(f.violations) > 0:
		r.violations = append(r.violations, faultNames+f.violations[0])
	case recovering > 0:
		r.violations = append(r.violations, fmt.Sprintf("%s%d routers have not recovered", faultNames, recovering))
	case unfinished || mixed:
		r.violations = append(r.violations, fmt.Sprintf("%sphase %v, %d routers are upgraded: %v", faultNames, phase, upgraded, views))
	}
}

// Runs sequences of four faults among three routers, several seconds apart, during a
// rollout: partitions, one-way partitions, stops, freezes, and commands to roll back. In
// sequences of odd number, which only QUILLDOOR_ALL=1 includes, a router that stops loses
// its durable state. Guards against routers that upgrade after a rollback was decided, two
// concurrent changes in an office, and a rollout that does not end in one generation once
// all routers run. If a majority loses its durable state at the same time, all routers must
// only recover.
func TestInvariantsHoldInFaultSequences(t *testing.T) {
	stride := 16 // QUILLDOOR_ALL=1 runs all sequences, which takes a minute
	if os.Getenv("QUILLDOOR_ALL") != "" {
		stride = 1
	}
	violations, sequences, states, finalPhases := runFaultSequences(t, stride, variant{})
	for _, v := range violations {
		t.Error(v)
	}
	t.Logf("%d sequences, %d distinct states; final phases: %v", sequences, states, finalPhases)
}

// fingerprint returns the fleet's state, without times, as text.
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
