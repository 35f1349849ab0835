package simfleet

import (
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
)

// Durations in microseconds. The paths are as in one data centre. The baseline sends as many messages as a probe and
// its acknowledgement, and allows a silence as long as the least suspicion timeout.
const (
	millisecond = 1000
	second      = 1000 * millisecond

	pathDelay           = 300
	pathJitter          = 700
	heartbeatInterval   = 200 * millisecond
	heartbeatMaxSilence = 1200 * millisecond

	joinTimeout     = 120 * second // of a whole fleet that starts
	recoveryTimeout = 60 * second  // of many routers at once
	stepInterval    = 20 * millisecond
)

// Experiment runs fleets of one kind and size, all from the same seed.
type Experiment struct {
	Routers    int
	Seed       uint64
	Loss       float64 // probability, on every path
	Heartbeats bool    // the baseline in place of package membership
}

// NewFleet starts all routers at once, with three seeds.
func (e Experiment) NewFleet() *Fleet {
	network := netsim.New(pathDelay, pathJitter, rand.New(rand.NewPCG(e.Seed, 2)))
	if e.Loss > 0 {
		network.AddFault(&netsim.Fault{Loss: e.Loss})
	}
	f := New(e.Routers, e.Seed, network, e.newDetector)
	for i := range e.Routers {
		f.Start(i)
	}
	return f
}

func (e Experiment) newDetector(h *Host, now int64) Detector {
	if e.Heartbeats {
		// The routers' heartbeats are spread over the interval.
		start := now + int64(h.ID)*heartbeatInterval/int64(e.Routers)
		return NewHeartbeatDetector(h.Name, Seeds(e.Routers), heartbeatInterval, heartbeatMaxSilence, start)
	}
	settings := membership.Settings{
		Name:  h.Name,
		Zone:  "office",
		Addr:  Addr(h.ID),
		Seeds: Seeds(min(e.Routers, 3)),
		Epoch: 1,
	}
	return membership.New(settings, rand.New(rand.NewPCG(e.Seed, uint64(h.ID)<<16|uint64(h.process))), now)
}

// newConvergedFleet starts a fleet and waits until all routers agree.
func (e Experiment) newConvergedFleet() *Fleet {
	f := e.NewFleet()
	f.runUntilConverged(joinTimeout)
	return f
}

// runUntilConverged runs until all agree and returns how long that took; false: they did not in time.
func (f *Fleet) runUntilConverged(timeout int64) (took int64, converged bool) {
	start := f.Now
	for f.Now < start+timeout {
		f.RunUntil(f.Now + stepInterval)
		if ok, _ := f.Converged(); ok {
			return f.Now - start, true
		}
	}
	return timeout, false
}

// allHoldDead reports whether each of some routers holds all of some others dead.
func (f *Fleet) allHoldDead(observers, dead []int) bool {
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
	for _, h := range f.Hosts {
		sent += h.SentBytes
		received += h.ReceivedBytes
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

// Durations are how long something took in many trials, in microseconds.
type Durations struct {
	*hdrhistogram.Histogram
	Missed int // trials in which it did not happen in time
}

func newDurations() *Durations {
	const (
		shortest          = millisecond
		longest           = 600 * second
		significantDigits = 3
	)
	return &Durations{Histogram: hdrhistogram.New(shortest, longest, significantDigits)}
}

// record adds a trial. No timeout allows a duration beyond the histogram's range, so there is no error to handle.
func (d *Durations) record(took int64, happened bool) {
	if !happened {
		d.Missed++
		return
	}
	_ = d.RecordValue(took)
}

// Detection kills one router after another and measures the time until all others hold it dead.
func (e Experiment) Detection(kills int) *Durations {
	const detectionTimeout, restartTimeout = 20 * second, 20 * second
	f := e.newConvergedFleet()
	random := rand.New(rand.NewPCG(e.Seed, 3))
	durations := newDurations()
	for range kills {
		f.RunUntil(f.Now + 2*second + random.Int64N(second))
		victim := random.IntN(e.Routers)
		observers := 0
		detectedAt := int64(0)
		f.OnChange = func(_ *Host, c membership.Change) {
			if c.Name != Name(victim) || c.To != membership.StateDead {
				return
			}
			observers++
			if observers == e.Routers-1 {
				detectedAt = f.Now
			}
		}
		f.Kill(victim)
		killedAt := f.Now
		f.RunUntil(killedAt + detectionTimeout)
		f.OnChange = nil
		durations.record(detectedAt-killedAt, detectedAt != 0)
		f.Start(victim)
		f.runUntilConverged(restartTimeout)
	}
	return durations
}

// KillHalf kills half of the routers at once and measures the time until all others hold all of them dead, then starts
// them at once and measures the time until all agree.
func (e Experiment) KillHalf() (detection, recovery *Durations) {
	f := e.newConvergedFleet()
	detection, recovery = newDurations(), newDurations()
	f.RunUntil(f.Now + 10*second)
	killed, observers := e.halves()
	killedAt := f.Now
	for _, i := range killed {
		f.Kill(i)
	}
	for !f.allHoldDead(observers, killed) && f.Now < killedAt+recoveryTimeout {
		f.RunUntil(f.Now + stepInterval)
	}
	detection.record(f.Now-killedAt, f.allHoldDead(observers, killed))
	for _, i := range killed {
		f.Start(i)
	}
	recovery.record(f.runUntilConverged(recoveryTimeout))
	return detection, recovery
}

// StabilityResult counts what running routers were taken for while datagrams were lost and processes were paused and
// throttled.
type StabilityResult struct {
	Pauses                 int
	Suspicions             int64
	Deaths                 int     // running routers declared dead, by any other
	SentBytesPerSecond     float64 // mean of a router
	ReceivedBytesPerSecond float64 // mean of a router
}

// Stability pauses a router for half a second every five seconds, while three are short of processor time.
func (e Experiment) Stability(length int64) StabilityResult {
	const (
		throttledRouters = 3
		throttledShare   = 0.6
		pauseInterval    = 5 * second
		pauseLength      = second / 2
	)
	f := e.newConvergedFleet()
	for i := range throttledRouters {
		f.Throttle(e.Routers-1-i, throttledShare)
	}
	var result StabilityResult
	f.OnChange = func(_ *Host, c membership.Change) {
		switch c.To {
		case membership.StateSuspect:
			result.Suspicions++
		case membership.StateDead:
			result.Deaths++
		}
	}
	random := rand.New(rand.NewPCG(e.Seed, 4))
	start := f.Now
	sentBefore, receivedBefore := f.totalBytes()
	for at := start + second; at < start+length; at += pauseInterval {
		i := random.IntN(e.Routers)
		f.Schedule(at, func() { f.Pause(i) })
		f.Schedule(at+pauseLength, func() { f.Resume(i) })
		result.Pauses++
	}
	f.RunUntil(start + length)
	sent, received := f.totalBytes()
	routerSeconds := float64(length) / second * float64(e.Routers)
	result.SentBytesPerSecond = float64(sent-sentBefore) / routerSeconds
	result.ReceivedBytesPerSecond = float64(received-receivedBefore) / routerSeconds
	return result
}

// PartitionResult is what a partition into halves and its end have brought. Durations are microseconds.
type PartitionResult struct {
	ConvergedAfter         int64   // from the end of the partition; 0: not in time
	DetectedAfter          int64   // until each side holds all of the other dead; 0: not while it lasted
	BaselineBytesPerSecond float64 // sent by a router in five seconds before the partition
	RecoveryBytesPerSecond float64 // sent by a router from its end until all agree, three seconds at least
}

// Partition cuts the routers into halves for a time, and heals the partition.
func (e Experiment) Partition(length int64) (result PartitionResult) {
	const (
		settleTime      = 10 * second
		baselineTime    = 5 * second
		minRecoveryTime = 3 * second
	)
	f := e.newConvergedFleet()
	f.RunUntil(f.Now + settleTime)
	bytesPerSecond := func(sentBefore, time int64) float64 {
		sent, _ := f.totalBytes()
		return float64(sent-sentBefore) * second / float64(time) / float64(e.Routers)
	}
	sentBefore, _ := f.totalBytes()
	f.RunUntil(f.Now + baselineTime)
	result.BaselineBytesPerSecond = bytesPerSecond(sentBefore, baselineTime)
	left, right := e.halves()
	cutAt := f.Now
	heal := f.Network.Partition(left, right)
	for f.Now < cutAt+length {
		f.RunUntil(f.Now + stepInterval)
		if result.DetectedAfter == 0 && f.allHoldDead(left, right) && f.allHoldDead(right, left) {
			result.DetectedAfter = f.Now - cutAt
		}
	}
	heal()
	healedAt := f.Now
	sentBefore, _ = f.totalBytes()
	if took, converged := f.runUntilConverged(recoveryTimeout); converged {
		result.ConvergedAfter = took
	}
	f.RunUntil(max(healedAt+minRecoveryTime, f.Now))
	result.RecoveryBytesPerSecond = bytesPerSecond(sentBefore, f.Now-healedAt)
	return result
}
