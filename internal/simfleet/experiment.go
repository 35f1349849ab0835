package simfleet

import (
	"math/rand/v2"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
)

// Durations in microseconds. The paths have the latency of one data centre. The baseline's interval gives as many
// messages as a probe and its acknowledgement; its maximum silence is as long as the minimum suspicion timeout.
const (
	millisecond = 1000
	second      = 1000 * millisecond

	pathDelay           = 300
	pathJitter          = 700
	heartbeatInterval   = 200 * millisecond
	heartbeatMaxSilence = 1200 * millisecond

	joinTimeout     = 120 * second // for a whole fleet that starts
	recoveryTimeout = 60 * second  // for many routers at once
	stepInterval    = 20 * millisecond
)

// Streams of an experiment's seed. New uses stream 1 for the fleet.
const (
	networkStream   = 2
	detectionStream = 3
	stabilityStream = 4
)

// maxSeeds is the maximum number of routers whose addresses all routers have from the start.
const maxSeeds = 3

// Experiment describes the fleets of an experiment: they have one kind and size and start from the same seed.
type Experiment struct {
	Routers    int
	Seed       uint64
	Loss       float64 // probability that a datagram is lost, on every path
	Heartbeats bool    // use the baseline in place of package membership
}

// NewFleet creates a fleet and starts all its routers at once, with up to maxSeeds seeds.
func (e Experiment) NewFleet() *Fleet {
	network := netsim.New(pathDelay, pathJitter, rand.New(rand.NewPCG(e.Seed, networkStream)))
	if e.Loss > 0 {
		network.AddFault(&netsim.Fault{Loss: e.Loss})
	}
	f := New(e.Routers, e.Seed, network, e.newDetector)
	for i := range e.Routers {
		f.Start(i)
	}
	return f
}

func (e Experiment) newDetector(host *Host, now int64) Detector {
	if e.Heartbeats {
		// The routers' first heartbeats are spread over the interval.
		start := now + int64(host.ID)*heartbeatInterval/int64(e.Routers)
		return NewHeartbeatDetector(host.Name, Seeds(e.Routers), heartbeatInterval, heartbeatMaxSilence, start)
	}
	settings := membership.Settings{
		Name:  host.Name,
		Zone:  "office",
		Addr:  Addr(host.ID),
		Seeds: Seeds(min(e.Routers, maxSeeds)),
		Epoch: 1,
	}
	return membership.New(settings, rand.New(rand.NewPCG(e.Seed, uint64(host.ID)<<16|uint64(host.processGeneration))), now)
}

// newConvergedFleet starts a fleet and runs it until all routers agree, or until joinTimeout.
func (e Experiment) newConvergedFleet() *Fleet {
	f := e.NewFleet()
	f.runUntilConverged(joinTimeout)
	return f
}

// runUntilConverged runs until all routers agree and returns the time that this took. converged is false if they do not
// agree within the timeout.
func (f *Fleet) runUntilConverged(timeout int64) (elapsed int64, converged bool) {
	start := f.Now
	for f.Now < start+timeout {
		f.RunUntil(f.Now + stepInterval)
		if ok, _ := f.Converged(); ok {
			return f.Now - start, true
		}
	}
	return timeout, false
}

// allConsiderDead reports whether each of the observers considers all of the routers in dead to be dead.
func (f *Fleet) allConsiderDead(observers, dead []int) bool {
	for _, observer := range observers {
		for _, i := range dead {
			if f.Hosts[observer].Detector.State(Name(i)) != membership.StateDead {
				return false
			}
		}
	}
	return true
}

// totalBytes sums the bytes that all routers have sent and received.
func (f *Fleet) totalBytes() (sent, received int64) {
	for _, host := range f.Hosts {
		sent += host.SentBytes
		received += host.ReceivedBytes
	}
	return sent, received
}

// halves splits the routers into those with even and those with odd numbers.
func (e Experiment) halves() (even, odd []int) {
	for i := range e.Routers {
		if i%2 == 0 {
			even = append(even, i)
		} else {
			odd = append(odd, i)
		}
	}
	return even, odd
}
