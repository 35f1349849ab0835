package membership_test

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
	"quilldoor/internal/simfleet"
)

const randomFleetSize = 20

// faultyFleet is a fleet with the present faults: paused hosts and faults of the network.
type faultyFleet struct {
	*simfleet.Fleet
	paused map[int]bool
	heals  []func() // each ends a fault of the network
}

// fault applies a fault of the given kind, or ends one. A kind that concerns a single host applies to the given host.
func (f *faultyFleet) fault(kind string, host int) {
	switch kind {
	case "process":
		f.killOrStart(host)
	case "pause":
		f.pauseOrResume(host)
	case "loss":
		f.heals = append(f.heals, f.Network.AddFault(&netsim.Fault{Loss: 0.2, Jitter: 50 * millisecond}))
	case "one way":
		f.heals = append(f.heals, f.Network.AddFault(&netsim.Fault{From: []int{host}, Partitioned: true}))
	case "partition":
		f.partition(host)
	case "heal":
		f.heal()
	case "flap":
		f.flap(host)
	case "mass failure":
		for i := range randomFleetSize / 2 {
			f.Kill(i)
			delete(f.paused, i)
		}
	}
}

// killOrStart kills a host's process that is running, paused or not, and starts one that is not.
func (f *faultyFleet) killOrStart(host int) {
	if f.Hosts[host].Detector == nil {
		f.Start(host)
		return
	}
	f.Kill(host)
	delete(f.paused, host)
}

func (f *faultyFleet) pauseOrResume(host int) {
	if f.paused[host] {
		f.Resume(host)
	} else {
		f.Pause(host)
	}
	f.paused[host] = !f.paused[host]
}

// partition separates eight hosts, which the offset selects, from the other twelve.
func (f *faultyFleet) partition(offset int) {
	var smaller, larger []int
	for i := range randomFleetSize {
		if (i*7+offset)%randomFleetSize < 8 {
			smaller = append(smaller, i)
		} else {
			larger = append(larger, i)
		}
	}
	f.heals = append(f.heals, f.Network.Partition(smaller, larger))
}

// heal ends all faults of the network.
func (f *faultyFleet) heal() {
	for _, end := range f.heals {
		end()
	}
	f.heals = nil
}

// flap restarts a host four times, after 300 ms each.
func (f *faultyFleet) flap(host int) {
	for range 4 {
		f.Kill(host)
		f.RunUntil(f.Now + 300*millisecond)
		f.Start(host)
		f.RunUntil(f.Now + 300*millisecond)
	}
	delete(f.paused, host)
}

// endFaults ends all faults of the network and all pauses, and starts the first three hosts. Other hosts that were
// killed stay down.
func (f *faultyFleet) endFaults() {
	f.heal()
	for _, host := range slices.Sorted(maps.Keys(f.paused)) { // in order, so that a seed replays the same run
		f.Resume(host)
	}
	for i := range 3 { // the seeds, through which routers without a common member find each other
		f.Start(i)
	}
}

// checkSteadyState fails the test if a node exceeds the limits of its message rate or list sizes while nothing changes.
func (f *faultyFleet) checkSteadyState(t *rapid.T) {
	f.RunUntil(f.Now + 5*second)
	sentBefore := make([]int64, randomFleetSize)
	for i, h := range f.Hosts {
		sentBefore[i] = h.SentMessages
	}
	f.RunUntil(f.Now + 5*second)
	for _, h := range f.Hosts {
		if h.Detector == nil {
			continue
		}
		if rate := (h.SentMessages - sentBefore[h.ID]) / 5; rate > 40 {
			t.Fatalf("%s sends %d messages a second without a change", h.Name, rate)
		}
		known, pending, relayed, queued, exchanged := h.Detector.(*membership.Node).ListSizes()
		if known > 20 || pending > 64 || relayed > 64 || queued > 20 || exchanged > 20 {
			t.Fatalf("%s holds %d members, %d pending and %d relayed probes, %d queued updates, %d updates in exchange",
				h.Name, known, pending, relayed, queued, exchanged)
		}
	}
}

// After any sequence of faults in a fleet of twenty routers all views converge once the faults have ended, and all
// lists stay bounded.
func TestConvergesAfterRandomFaults(t *testing.T) {
	kinds := []string{"process", "process", "pause", "loss", "one way", "partition", "heal", "flap", "mass failure"}
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(randomFleetSize, rapid.Uint64().Draw(t, "seed"), "", 0)
		f := &faultyFleet{Fleet: fleet, paused: map[int]bool{}}
		if _, reason := converge(fleet, 20*second); reason != "" {
			t.Fatalf("views have not converged before the faults: %s", reason)
		}
		for range rapid.IntRange(5, 25).Draw(t, "events") {
			host := rapid.IntRange(0, randomFleetSize-1).Draw(t, "router")
			f.fault(rapid.SampledFrom(kinds).Draw(t, "event"), host)
			f.RunUntil(f.Now + int64(rapid.IntRange(0, 6000).Draw(t, "ms"))*millisecond)
		}
		f.endFaults()
		elapsed, reason := converge(fleet, 40*second)
		if reason != "" {
			t.Fatalf("views have not converged %d s after the faults: %s", elapsed/second, reason)
		}
		f.checkSteadyState(t)
	})
}
