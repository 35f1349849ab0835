// Package netsim models what lies between routers, for tests and rehearsals: between
// every ordered pair a way of its own that delays, jitters, loses, doubles,
// reorders, is slow or cut. It does no I/O: drivers ask it when a datagram that
// is sent now arrives, on a virtual clock or on loopback.
package netsim

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Fault is on the ways from some routers to some, until it is taken away.
type Fault struct {
	From, To       []int // nil: all
	Bidirectional  bool  // the other direction as well
	Partitioned    bool  // silently
	Delay          int64 // microseconds, one way
	Jitter         int64 // up to so much more, by chance
	Loss           float64
	Duplicate      float64
	Reorder        float64 // share that is held back by some of the others
	BytesPerSecond float64 // bytes a second; what waits for more than queueMost is lost
}

// reorderBy is how long a datagram that is overtaken is held back, queueMost how
// long a slow way's queue is.
const reorderBy, queueMost = 30_000, 2_000_000

// Network is the ways of a fleet. It may be used by several goroutines.
type Network struct {
	mu       sync.Mutex
	Delay    int64 // of every way
	Jitter   int64
	troubles []*Fault
	free     map[[2]int]int64 // when a slow way is free again
	dice     *rand.Rand

	Sent, Lost int64
}

// New makes ways without trouble.
func New(delay, jitter int64, dice *rand.Rand) *Network {
	return &Network{Delay: delay, Jitter: jitter, free: map[[2]int]int64{}, dice: dice}
}

// AddFault puts a trouble on; what it returns takes it away.
func (n *Network) AddFault(t *Fault) (over func()) {
	n.troubles = append(n.troubles, t)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.troubles = slices.DeleteFunc(n.troubles, func(o *Fault) bool { return o == t })
	}
}

func (t *Fault) on(from, to int) bool {
	in := func(l []int, i int) bool { return l == nil || slices.Contains(l, i) }
	return in(t.From, from) && in(t.To, to) || t.Bidirectional && in(t.From, to) && in(t.To, from)
}

// Reachable tells whether anything sent now could arrive.
func (n *Network) Reachable(from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !slices.ContainsFunc(n.troubles, func(t *Fault) bool { return t.Partitioned && t.on(from, to) })
}

// Transmit tells when what is sent now arrives: not at all, once or twice.
func (n *Network) Transmit(now int64, from, to, size int) (at []int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Sent++
	delay, copies := n.Delay, 1
	if n.Jitter > 0 {
		delay += n.dice.Int64N(n.Jitter)
	}
	for _, t := range n.troubles {
		if !t.on(from, to) {
			continue
		}
		if t.Partitioned || t.Loss > 0 && n.dice.Float64() < t.Loss {
			n.Lost++
			return nil
		}
		delay += t.Delay
		if t.Jitter > 0 {
			delay += n.dice.Int64N(t.Jitter)
		}
		if t.Reorder > 0 && n.dice.Float64() < t.Reorder {
			delay += reorderBy
		}
		if t.Duplicate > 0 && n.dice.Float64() < t.Duplicate {
			copies = 2
		}
		if t.BytesPerSecond > 0 {
			key := [2]int{from, to}
			n.free[key] = max(n.free[key], now) + int64(float64(size)/t.BytesPerSecond*1e6)
			if n.free[key]-now > queueMost {
				n.free[key] = now + queueMost
				n.Lost++
				return nil
			}
			delay += n.free[key] - now
		}
	}
	for i := range copies {
		at = append(at, now+delay+int64(i)*1000)
	}
	return at
}

// Partition cuts routers into parts that don't hear each other.
func (n *Network) Partition(camps ...[]int) (over func()) {
	var ends []func()
	for i, a := range camps {
		for _, b := range camps[i+1:] {
			ends = append(ends, n.AddFault(&Fault{From: a, To: b, Bidirectional: true, Partitioned: true}))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}
