package supervisor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/config"
	"quilldoor/internal/discovery"
	"quilldoor/internal/engine"
	"quilldoor/internal/handoff"
	"quilldoor/internal/invariant"
	"quilldoor/internal/policy"
)

// Observer lets the keeper look on at what its generations do.
type Observer struct {
	Invariants invariant.Settings
	Limits     *config.Limits
	// Discovery reads the platform's file: where the notice board is, and what is known.
	Discovery func() (addr string, known *discovery.Update, err error)
}

// watching follows the notice board beside the generations, and judges their acts by
// it. A change leaves the keeper as it is: what it runs was good before.
type watching struct {
	*Supervisor
	judge    *invariant.Monitor
	follower *discovery.Watcher
	stop     context.CancelFunc
	done     chan struct{}
	offset   int64 // of the system's clock from the steady one
	told     map[int]uint8
}

func (k *Supervisor) watch() {
	if k.Observer == nil {
		return
	}
	w := &watching{Supervisor: k, judge: invariant.New(k.Observer.Invariants), told: map[int]uint8{}}
	w.follower = discovery.New(k.Observer.Limits, w)
	w.offset = time.Now().UnixMicro() - k.now()
	k.eyes = w
	w.follow()
}

// follow reads where the board is and follows it there. The last address stays if the
// file has a fault.
func (w *watching) follow() {
	addr, known, err := w.Observer.Discovery()
	if err != nil {
		w.Log.WithError(err).Error("keeper: the board is not looked for anew")
		return
	}
	old, was := w.stop, w.done
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	w.stop, w.done = stop, done
	go func() { // two never run at once
		defer close(done)
		if old != nil {
			old()
			<-was
		}
		w.follower.Apply(&discovery.Update{Events: known.Events})
		w.follower.Run(ctx, addr)
	}()
}

// in the keeper's loop; the follower runs beside it.
func (w *watching) in(do func(now int64)) {
	now := time.Now().UnixMicro()
	w.events <- func() { do(now) }
}

// EndpointsChanged takes changes of the list of servers.
func (w *watching) EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint) {
	entries := make([]policy.Endpoint, len(list))
	for i, s := range list {
		entries[i] = s.Endpoint
	}
	w.in(func(now int64) { w.judge.EndpointsChanged(now, scope != policy.ScopeDiff, entries) })
}

// Purge takes a purge.
func (w *watching) Purge(object string, group, at int64) {
	w.in(func(now int64) { w.judge.Purged(now, object, group, at) })
}

// DiscoveryLost tells of the first failed poll in a row.
func (w *watching) DiscoveryLost(error) { w.in(func(now int64) { w.judge.SetBlind(now, true) }) }

// DiscoveryRestored tells that polls go through again.
func (w *watching) DiscoveryRestored() { w.in(func(now int64) { w.judge.SetBlind(now, false) }) }

// DiscoveryGap tells that news may have been missed.
func (w *watching) DiscoveryGap() {
	w.in(func(now int64) {
		w.judge.SetBlind(now, true)
		w.judge.SetBlind(now, false)
	})
}

// look judges what processes have done, ten times a second.
func (w *watching) look() {
	const jump = int64(50_000) // microseconds: a clock that is slewed moves by less between two looks
	now := time.Now().UnixMicro()
	if by := now - w.now() - w.offset; by > jump || by < -jump {
		w.Log.WithField("by_ms", by/1000).Warn("keeper: the clock has jumped")
		w.judge.ClockJumped(now, by)
		w.offset += by
	} else {
		w.offset += by
	}
	w.judge.Tick(now)
	for _, p := range w.procs() {
		if s := w.judge.Violations(p.pid64()); s.Rules&^w.told[p.pid] != 0 {
			w.told[p.pid] |= s.Rules
			w.Log.WithFields(logrus.Fields{"generation": p.manifest.Generation, "pid": p.pid, "what": s.Text}).Error("keeper: a rule is broken")
		}
	}
}

func (p *proc) pid64() uint64 { return uint64(p.pid) }

// seen is what a process was seen to break that the one beside it was not.
func (k *Supervisor) seen(p, beside *proc) (s invariant.Violations) {
	if k.eyes == nil || p == nil {
		return s
	}
	if s = k.eyes.judge.Violations(p.pid64()); beside != nil {
		if s.Rules &^= k.eyes.judge.Violations(beside.pid64()).Rules; s.Rules == 0 {
			s.Text = ""
		}
	}
	return s
}

// acted takes what a process says of itself.
func (k *Supervisor) acted(p *proc, w *handoff.Message) {
	if k.eyes != nil && w.Activity != nil {
		k.eyes.judge.Observe(time.Now().UnixMicro(), p.pid64(), w.Activity)
	}
}
