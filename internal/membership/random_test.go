package membership_test

import (
	"testing"

	"pgregory.net/rapid"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
)

// After any sequence of faults in a fleet of twenty all agree once the faults are over, and all lists stay bounded.
func TestConvergesAfterRandomFaults(t *testing.T) {
	events := []string{"process", "process", "pause", "loss", "one way", "partition", "heal", "flap", "mass failure"}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(20, rapid.Uint64().Draw(t, "seed"), "", 0)
		if _, why := converge(f, 20*second); why != "" {
			t.Fatalf("at the start: %s", why)
		}
		paused := map[int]bool{}
		var over []func()
		for range rapid.IntRange(5, 25).Draw(t, "events") {
			i := rapid.IntRange(0, 19).Draw(t, "router")
			switch rapid.SampledFrom(events).Draw(t, "event") {
			case "process":
				if f.Hosts[i].Detector != nil {
					f.Kill(i)
					delete(paused, i)
				} else {
					f.Start(i)
				}
			case "pause":
				if paused[i] {
					f.Resume(i)
				} else {
					f.Pause(i)
				}
				paused[i] = !paused[i]
			case "loss":
				over = append(over, f.Network.AddFault(&netsim.Fault{Loss: 0.2, Jitter: 50 * millisecond}))
			case "one way":
				over = append(over, f.Network.AddFault(&netsim.Fault{From: []int{i}, Partitioned: true}))
			case "partition":
				var a, b []int
				for x := range 20 {
					if (x*7+i)%20 < 8 {
						a = append(a, x)
					} else {
						b = append(b, x)
					}
				}
				over = append(over, f.Network.Partition(a, b))
			case "heal":
				for _, end := range over {
					end()
				}
				over = nil
			case "flap":
				for range 4 {
					f.Kill(i)
					f.RunUntil(f.Now + 300*millisecond)
					f.Start(i)
					f.RunUntil(f.Now + 300*millisecond)
				}
				delete(paused, i)
			case "mass failure":
				for x := range 10 {
					f.Kill(x)
					delete(paused, x)
				}
			}
			f.RunUntil(f.Now + int64(rapid.IntRange(0, 6000).Draw(t, "ms"))*millisecond)
		}
		for _, end := range over {
			end()
		}
		for i := range paused {
			f.Resume(i)
		}
		for i := range 3 { // where no router that knew the others runs, seeds bring them together
			f.Start(i)
		}
		took, why := converge(f, 40*second)
		if why != "" {
			t.Fatalf("no agreement after %d s: %s", took/second, why)
		}
		f.RunUntil(f.Now + 5*second)
		sentBefore := make([]int64, 20)
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
				t.Fatalf("%s keeps %d members, %d pending and %d relayed probes, %d queued updates, %d in exchange",
					h.Name, known, pending, relayed, queued, exchanged)
			}
		}
	})
}
