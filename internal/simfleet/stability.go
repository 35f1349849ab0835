package simfleet

import (
	"math/rand/v2"

	"quilldoor/internal/membership"
)

// StabilityResult counts the false suspicions and the traffic of running routers while datagrams are lost and processes
// are paused and throttled.
type StabilityResult struct {
	Pauses                 int
	Suspicions             int64   // changes of a running router to suspect, counted at each observer
	Deaths                 int     // changes of a running router to dead, counted at each observer
	SentBytesPerSecond     float64 // mean of all routers
	ReceivedBytesPerSecond float64 // mean of all routers
}

// Stability pauses a random router for half a second every five seconds while three routers are throttled. The length
// is in microseconds.
func (e Experiment) Stability(length int64) StabilityResult {
	const (
		throttledRouters = 3
		throttledShare   = 0.6
	)
	f := e.newConvergedFleet()
	for i := range throttledRouters {
		f.Throttle(e.Routers-1-i, throttledShare)
	}
	var result StabilityResult
	f.OnChange = func(_ *Host, change membership.Change) {
		switch change.To {
		case membership.StateSuspect:
			result.Suspicions++
		case membership.StateDead:
			result.Deaths++
		}
	}
	start := f.Now
	sentBefore, receivedBefore := f.totalBytes()
	result.Pauses = e.schedulePauses(f, start+length)
	f.RunUntil(start + length)
	sent, received := f.totalBytes()
	routerSeconds := float64(length) / second * float64(e.Routers)
	result.SentBytesPerSecond = float64(sent-sentBefore) / routerSeconds
	result.ReceivedBytesPerSecond = float64(received-receivedBefore) / routerSeconds
	return result
}

// schedulePauses schedules pauses of random routers up to a time, and returns the number of pauses.
func (e Experiment) schedulePauses(f *Fleet, until int64) (pauses int) {
	const (
		pauseInterval = 5 * second
		pauseLength   = second / 2
	)
	random := rand.New(rand.NewPCG(e.Seed, stabilityStream))
	for at := f.Now + second; at < until; at += pauseInterval {
		i := random.IntN(e.Routers)
		f.Schedule(at, func() { f.Pause(i) })
		f.Schedule(at+pauseLength, func() { f.Resume(i) })
		pauses++
	}
	return pauses
}
