// Package netsim models the network between routers for tests and experiments: each ordered pair has a path of its own
// that delays, jitters, loses, duplicates, reorders, limits or cuts. It does no I/O. Its users ask when a datagram that
// is sent now arrives, and deliver it on a virtual clock or on loopback.
package netsim

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Durations are microseconds.
const (
	second = 1_000_000
	// reorderDelay is how long a datagram that others overtake is held back.
	reorderDelay = 30_000
	// duplicateDelay is the time between a datagram and its duplicate.
	duplicateDelay = 1000
	// maxQueueDelay is the length of a slow path's queue.
	maxQueueDelay = 2 * second
)

// Fault is on the paths from some routers to some, until it is removed. The probabilities are from 0 to 1.
type Fault struct {
	From, To       []int // routers; nil: all
	Bidirectional  bool  // the opposite paths as well
	Partitioned    bool  // all datagrams are lost
	Delay          int64 // microseconds, one way
	Jitter         int64 // microseconds, the bound of a random delay beside it
	Loss           float64
	Duplicate      float64
	Reorder        float64
	BytesPerSecond float64 // 0: no limit
}

// affects reports whether the fault is on a path.
func (f *Fault) affects(from, to int) bool {
	matches := func(routers []int, router int) bool { return routers == nil || slices.Contains(routers, router) }
	forward := matches(f.From, from) && matches(f.To, to)
	return forward || f.Bidirectional && matches(f.From, to) && matches(f.To, from)
}

// path is an ordered pair of routers.
type path struct{ from, to int }

// Network is the paths of a fleet. It may be used by several goroutines.
type Network struct {
	Delay  int64 // microseconds, of every path
	Jitter int64 // microseconds, the bound of a random delay beside it

	Sent, Lost int64 // datagrams

	mu     sync.Mutex
	faults []*Fault
	freeAt map[path]int64 // when a slow path has sent all that it holds
	random *rand.Rand
}

// New makes a network without faults.
func New(delay, jitter int64, random *rand.Rand) *Network {
	return &Network{Delay: delay, Jitter: jitter, freeAt: map[path]int64{}, random: random}
}

// AddFault adds a fault and returns the function that removes it.
func (n *Network) AddFault(fault *Fault) (remove func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = append(n.faults, fault)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.faults = slices.DeleteFunc(n.faults, func(f *Fault) bool { return f == fault })
	}
}

// Partition cuts the paths between groups of routers and returns the function that heals them.
func (n *Network) Partition(groups ...[]int) (heal func()) {
	var removals []func()
	for i, group := range groups {
		for _, other := range groups[i+1:] {
			fault := &Fault{From: group, To: other, Bidirectional: true, Partitioned: true}
			removals = append(removals, n.AddFault(fault))
		}
	}
	return func() {
		for _, remove := range removals {
			remove()
		}
	}
}

// Reachable reports whether a datagram that is sent now could arrive.
func (n *Network) Reachable(from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !slices.ContainsFunc(n.faults, func(f *Fault) bool { return f.Partitioned && f.affects(from, to) })
}

// Transmit returns when a datagram that is sent now arrives: no time where it is lost, two where it is duplicated.
func (n *Network) Transmit(now int64, from, to, size int) (arrivals []int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Sent++
	delay := n.Delay + n.jitter(n.Jitter)
	copies := 1
	for _, f := range n.faults {
		if !f.affects(from, to) {
			continue
		}
		if f.Partitioned || n.happens(f.Loss) {
			n.Lost++
			return nil
		}
		delay += f.Delay + n.jitter(f.Jitter)
		if n.happens(f.Reorder) {
			delay += reorderDelay
		}
		if n.happens(f.Duplicate) {
			copies = 2
		}
		if f.BytesPerSecond > 0 {
			wait, accepted := n.enqueue(now, path{from, to}, float64(size)/f.BytesPerSecond*second)
			if !accepted {
				n.Lost++
				return nil
			}
			delay += wait
		}
	}
	for i := range copies {
		arrivals = append(arrivals, now+delay+int64(i)*duplicateDelay)
	}
	return arrivals
}

// happens draws whether an event of a probability happens. It draws nothing for 0.
func (n *Network) happens(probability float64) bool {
	return probability > 0 && n.random.Float64() < probability
}

// jitter draws a delay below a bound. It draws nothing for 0.
func (n *Network) jitter(bound int64) int64 {
	if bound <= 0 {
		return 0
	}
	return n.random.Int64N(bound)
}

// enqueue puts a datagram into a slow path's queue and returns how long it takes to be sent; false: the queue is full.
func (n *Network) enqueue(now int64, p path, transmission float64) (wait int64, accepted bool) {
	n.freeAt[p] = max(n.freeAt[p], now) + int64(transmission)
	if n.freeAt[p]-now > maxQueueDelay {
		n.freeAt[p] = now + maxQueueDelay
		return 0, false
	}
	return n.freeAt[p] - now, true
}
