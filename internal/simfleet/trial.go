package simfleet

import (
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
)

// Experiment of a trial. Times are microseconds.
type Experiment struct {
	Routers    int
	Seed       uint64
	Loss       float64 // on every way
	Heartbeats bool    // the baseline in place of the router's knowledge
}

// Of the trials: ways as in one data centre, beats as often as a question and its
// answer come, silence as long as the router's suspicion takes at least.
const (
	trialDelay, trialJitter = 300, 700
	beatEvery, beatAllowed  = 200_000, 1_200_000
	sec                     = 1_000_000
)

// NewFleet makes the fleet of a plan, with three seeds, all started at once.
func (p Experiment) NewFleet() *Fleet {
	net := netsim.New(trialDelay, trialJitter, rand.New(rand.NewPCG(p.Seed, 2)))
	if p.Loss > 0 {
		net.AddFault(&netsim.Fault{Loss: p.Loss})
	}
	f := New(p.Routers, p.Seed, net, func(h *Host, now int64) Detector {
		if p.Heartbeats {
			return NewHeartbeatDetector(h.Name, Seeds(p.Routers), beatEvery, beatAllowed, now+int64(h.ID)*beatEvery/int64(p.Routers))
		}
		return membership.New(membership.Settings{Name: h.Name, Zone: "office", Addr: Addr(h.ID), Seeds: Seeds(min(p.Routers, 3)), Epoch: 1},
			rand.New(rand.NewPCG(p.Seed, uint64(h.ID)<<16|uint64(h.life))), now)
	})
	for i := range p.Routers {
		f.Start(i)
	}
	return f
}

// settle plays until all agree; false: they never did.
func (f *Fleet) settle(within int64) (took int64, agreed bool) {
	from := f.Now
	for f.Now < from+within {
		f.RunUntil(f.Now + 20_000)
		if ok, _ := f.Converged(); ok {
			return f.Now - from, true
		}
	}
	return within, false
}

// Durations are how long something took, over many tries, in microseconds.
type Durations struct {
	*hdrhistogram.Histogram
	Missed int // tries in which it did not come about
}

func newTimes() *Durations { return &Durations{Histogram: hdrhistogram.New(1000, 600*sec, 3)} }

// Detection kills one router after another and takes the time until all the
// others hold it dead.
func (p Experiment) Detection(kills int) *Durations {
	f := p.NewFleet()
	f.settle(120 * sec)
	dice := rand.New(rand.NewPCG(p.Seed, 3))
	out := newTimes()
	for range kills {
		f.RunUntil(f.Now + 2*sec + dice.Int64N(sec))
		i := dice.IntN(p.Routers)
		dead, at := 0, int64(0)
		f.OnChange = func(_ *Host, c membership.Change) {
			if c.Name == Name(i) && c.To == membership.StateDead {
				if dead++; dead == p.Routers-1 {
					at = f.Now
				}
			}
		}
		f.Kill(i)
		from := f.Now
		f.RunUntil(from + 20*sec)
		if f.OnChange = nil; at == 0 {
			out.Missed++
		} else {
			out.RecordValue(at - from)
		}
		f.Start(i)
		f.settle(20 * sec)
	}
	return out
}

// StabilityResult is what live routers were wrongly called in a long time with loss, stops
// and starved ones.
type StabilityResult struct {
	Pauses                                     int
	Suspicions                                 int64
	Deaths                                     int     // live routers called dead, by anyone
	SentBytesPerSecond, ReceivedBytesPerSecond float64 // bytes, mean of a router
}

// Stability plays for so long: a router is stopped for half a second every five, three
// are starved of most of their time.
func (p Experiment) Stability(length int64) StabilityResult {
	f := p.NewFleet()
	f.settle(120 * sec)
	for i := range 3 {
		f.Throttle(p.Routers-1-i, 0.6)
	}
	var h StabilityResult
	f.OnChange = func(_ *Host, c membership.Change) {
		switch c.To {
		case membership.StateSuspect:
			h.Suspicions++
		case membership.StateDead:
			h.Deaths++
		}
	}
	dice := rand.New(rand.NewPCG(p.Seed, 4))
	from := f.Now
	var sent, heard int64
	for _, x := range f.Hosts {
		sent, heard = sent-x.SentBytes, heard-x.ReceivedBytes
	}
	for at := from + sec; at < from+length; at += 5 * sec {
		i := dice.IntN(p.Routers)
		f.Schedule(at, func() { f.Pause(i) })
		f.Schedule(at+sec/2, func() { f.Resume(i) })
		h.Pauses++
	}
	f.RunUntil(from + length)
	for _, x := range f.Hosts {
		sent, heard = sent+x.SentBytes, heard+x.ReceivedBytes
	}
	per := float64(length) / sec * float64(p.Routers)
	h.SentBytesPerSecond, h.ReceivedBytesPerSecond = float64(sent)/per, float64(heard)/per
	return h
}

// PartitionResult is a cut into halves and its end.
type PartitionResult struct {
	ConvergedAfter                                 int64 // after the heal; 0: never
	DetectedAfter                                  int64 // after the cut, until each side holds all of the other dead; 0: never
	BaselineBytesPerSecond, RecoveryBytesPerSecond float64
}

// Partition cuts the routers into halves for so long and heals them. During is the
// bytes a second of a router in the three seconds after, Calm those before.
func (p Experiment) Partition(length int64) (h PartitionResult) {
	f := p.NewFleet()
	f.settle(120 * sec)
	f.RunUntil(f.Now + 10*sec)
	sent := func() (sum int64) {
		for _, x := range f.Hosts {
			sum += x.SentBytes
		}
		return sum
	}
	per := func(from int64, s int64) float64 { return float64(sent()-from) * sec / float64(s) / float64(p.Routers) }
	a := sent()
	f.RunUntil(f.Now + 5*sec)
	h.BaselineBytesPerSecond = per(a, 5*sec)
	var left, right []int
	for i := range p.Routers {
		if i%2 == 0 {
			left = append(left, i)
		} else {
			right = append(right, i)
		}
	}
	from := f.Now
	heal := f.Network.Partition(left, right)
	for f.Now < from+length {
		f.RunUntil(f.Now + 20_000)
		if h.DetectedAfter == 0 && f.split(left, right) {
			h.DetectedAfter = f.Now - from
		}
	}
	heal()
	a, from = sent(), f.Now
	if took, ok := f.settle(60 * sec); ok {
		h.ConvergedAfter = took
	}
	f.RunUntil(max(from+3*sec, f.Now))
	h.RecoveryBytesPerSecond = per(a, f.Now-from)
	return h
}

func (f *Fleet) split(left, right []int) bool {
	for _, i := range left {
		for _, j := range right {
			if f.Hosts[i].Detector.State(Name(j)) != membership.StateDead || f.Hosts[j].Detector.State(Name(i)) != membership.StateDead {
				return false
			}
		}
	}
	return true
}

// KillHalf kills half of the routers in one instant and takes the time until all that
// are left hold all of them dead, then starts them together and takes the time
// until all agree.
func (p Experiment) KillHalf() (dead, back *Durations) {
	f := p.NewFleet()
	f.settle(120 * sec)
	dead, back = newTimes(), newTimes()
	f.RunUntil(f.Now + 10*sec)
	from := f.Now
	for i := 0; i < p.Routers; i += 2 {
		f.Kill(i)
	}
	gone := func() bool {
		for i := 1; i < p.Routers; i += 2 {
			for j := 0; j < p.Routers; j += 2 {
				if f.Hosts[i].Detector.State(Name(j)) != membership.StateDead {
					return false
				}
			}
		}
		return true
	}
	for !gone() && f.Now < from+60*sec {
		f.RunUntil(f.Now + 20_000)
	}
	if gone() {
		dead.RecordValue(f.Now - from)
	} else {
		dead.Missed++
	}
	for i := 0; i < p.Routers; i += 2 {
		f.Start(i)
	}
	if took, ok := f.settle(60 * sec); ok {
		back.RecordValue(took)
	} else {
		back.Missed++
	}
	return dead, back
}
