// Package netsim models the network between routers for tests and experiments. Each ordered pair of routers has its own
// path, on which faults delay, lose, duplicate or reorder datagrams, limit their rate or cut the path. The package does
// no I/O: Transmit returns the arrival times of a datagram, and the caller delivers it on a virtual clock or on loopback.
package netsim

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Durations are microseconds.
const (
	second = 1_000_000
	// reorderDelay is the extra delay of a reordered datagram, in which later ones overtake it.
	reorderDelay = 30_000
	// duplicateDelay is the time between a datagram and its duplicate.
	duplicateDelay = 1000
	// maxQueueDelay bounds the queue of a path with limited rate. A datagram that would take longer to send is lost.
	maxQueueDelay = 2 * second
)

// Fault affects the paths from some routers to others until it is removed. Loss, Duplicate and Reorder are
// probabilities from 0 to 1.
type Fault struct {
	From, To       []int // routers; nil: all
	Bidirectional  bool  // the fault affects the opposite paths as well
	Partitioned    bool  // all datagrams are lost
	Delay          int64 // microseconds, one way
	Jitter         int64 // microseconds, the bound of a random delay added to Delay
	Loss           float64
	Duplicate      float64
	Reorder        float64
	BytesPerSecond float64 // 0: no limit
}

// affects reports whether the fault affects the path between two routers.
func (f *Fault) affects(from, to int) bool {
	matches := func(routers []int, router int) bool { return routers == nil || slices.Contains(routers, router) }
	forward := matches(f.From, from) && matches(f.To, to)
	return forward || f.Bidirectional && matches(f.From, to) && matches(f.To, from)
}

// path is the path of an ordered pair of routers.
type path struct{ from, to int }

// Network models the paths between the routers of a fleet. Its methods may be called by several goroutines.
type Network struct {
	Delay  int64 // microseconds, one way, of every path
	Jitter int64 // microseconds, the bound of a random delay added to Delay

	Sent, Lost int64 // datagrams

	mu     sync.Mutex
	faults []*Fault
	freeAt map[path]int64 // when a path with limited rate has sent its queue
	random *rand.Rand
}

// New returns a network without faults.
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

// Transmit returns the arrival times of a datagram of size bytes that is sent now: none if it is lost, two if it is
// duplicated.
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

// happens draws whether an event of the given probability happens. It draws no random number for probability 0.
func (n *Network) happens(probability float64) bool {
	return probability > 0 && n.random.Float64() < probability
}

// jitter draws a delay below a bound. It draws no random number for bound 0.
func (n *Network) jitter(bound int64) int64 {
	if bound <= 0 {
		return 0
	}
	return n.random.Int64N(bound)
}

// enqueue adds a datagram to the queue of a path with limited rate. The wait is the time until the datagram is sent,
// in microseconds; accepted is false if the queue is full.
func (n *Network) enqueue(now int64, p path, transmission float64) (wait int64, accepted bool) {
	n.freeAt[p] = max(n.freeAt[p], now) + int64(transmission)
	if n.freeAt[p]-now > maxQueueDelay {
		n.freeAt[p] = now + maxQueueDelay
		return 0, false
	}
	return n.freeAt[p] - now, true
}
