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

// Observer configures how the supervisor checks whether its processes keep the invariants.
// It follows discovery itself for that. All fields must be set.
type Observer struct {
	Invariants invariant.Settings
	Limits     *config.Limits
	// Discovery reads the address of discovery and the known endpoints from the
	// platform's file. It is called at the start and at each reload.
	Discovery func() (address string, known *discovery.Update, err error)
}

// clockJumpMicros is how far the wall clock may drift from the monotonic clock between two
// ticks; a larger difference is a jump. A slewed clock drifts by less.
const clockJumpMicros = 50_000

// observer follows discovery independently of the processes, and checks their activity
// against it. A change does not replace it: the supervisor's own program is known to work.
type observer struct {
	supervisor  *Supervisor
	monitor     *invariant.Monitor
	watcher     *discovery.Watcher
	cancel      context.CancelFunc // ends the watcher's current run
	done        chan struct{}      // closed when that run has ended
	clockOffset int64              // of the wall clock from Supervisor.now, in microseconds
	logged      map[int]uint8      // violated rules that are logged already, by PID
}

func (s *Supervisor) startObserver() {
	settings := s.config.Observer
	if settings == nil {
		return
	}
	o := &observer{
		supervisor:  s,
		monitor:     invariant.New(settings.Invariants),
		clockOffset: time.Now().UnixMicro() - s.now(),
		logged:      map[int]uint8{},
	}
	o.watcher = discovery.New(settings.Limits, o)
	s.observer = o
	o.followDiscovery()
}

// followDiscovery reads the address of discovery and starts the watcher there, in place of
// its previous run. When the file can't be read the last address stays.
func (o *observer) followDiscovery() {
	address, known, err := o.supervisor.config.Observer.Discovery()
	if err != nil {
		o.supervisor.log.WithError(err).Error("supervisor: discovery address can't be read, the last one stays")
		return
	}
	previousCancel, previousDone := o.cancel, o.done
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	o.cancel = cancel
	o.done = done
	go func() {
		defer close(done)
		if previousCancel != nil { // runs of the watcher must not overlap
			previousCancel()
			<-previousDone
		}
		o.watcher.Apply(&discovery.Update{Events: known.Events})
		o.watcher.Run(ctx, address)
	}()
}

// enqueue queues an event of the watcher, whose goroutine is not the loop's. The event is
// handled with the time at which it was queued.
func (o *observer) enqueue(event func(now int64)) {
	now := time.Now().UnixMicro()
	o.supervisor.events <- func() { event(now) }
}

// EndpointsChanged passes an update of the endpoint list to the monitor.
func (o *observer) EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint) {
	endpoints := make([]policy.Endpoint, len(list))
	for i, e := range list {
		endpoints[i] = e.Endpoint
	}
	o.enqueue(func(now int64) { o.monitor.EndpointsChanged(now, scope != policy.ScopeDiff, endpoints) })
}

// Purge passes a purge to the monitor.
func (o *observer) Purge(object string, group, at int64) {
	o.enqueue(func(now int64) { o.monitor.Purged(now, object, group, at) })
}

// DiscoverySlow handles late responses. For the monitor it is a disconnection: the processes
// may receive events much earlier or later than this observer.
func (o *observer) DiscoverySlow(time.Duration) {
	o.enqueue(func(now int64) { o.monitor.SetDisconnected(now, true) })
}

// DiscoveryLost handles the first failed poll in a row.
func (o *observer) DiscoveryLost(error) {
	o.enqueue(func(now int64) { o.monitor.SetDisconnected(now, true) })
}

// DiscoveryRestored handles the end of a DiscoveryLost or DiscoverySlow.
func (o *observer) DiscoveryRestored() {
	o.enqueue(func(now int64) { o.monitor.SetDisconnected(now, false) })
}

// DiscoveryOverdue does nothing: the monitor allows for events that arrive late.
func (o *observer) DiscoveryOverdue(time.Time) {}

// DiscoveryGap handles a possible loss of events. For the monitor it is a disconnection
// that ends at once.
func (o *observer) DiscoveryGap() {
	o.enqueue(func(now int64) {
		o.monitor.SetDisconnected(now, true)
		o.monitor.SetDisconnected(now, false)
	})
}

// tick runs the monitor's checks and logs each rule that a process newly violates.
func (o *observer) tick() {
	now := time.Now().UnixMicro()
	o.checkClock(now)
	o.monitor.Tick(now)
	for _, p := range o.supervisor.processes() {
		v := o.monitor.Violations(p.id())
		if v.Rules&^o.logged[p.pid] == 0 {
			continue
		}
		o.logged[p.pid] |= v.Rules
		o.supervisor.log.WithFields(logrus.Fields{
			"generation": p.manifest.Generation, "pid": p.pid, "violation": v.Text,
		}).Error("supervisor: invariant violated")
	}
}

func (o *observer) checkClock(now int64) {
	jump := now - o.supervisor.now() - o.clockOffset
	if jump > clockJumpMicros || jump < -clockJumpMicros {
		o.supervisor.log.WithField("by_ms", jump/1000).Warn("supervisor: clock has jumped")
		o.monitor.ClockStepped(now, jump)
	}
	o.clockOffset += jump
}

func (o *observer) processEnded(p *process) {
	o.monitor.ProcessEnded(p.id())
	delete(o.logged, p.pid)
}

// violations returns the rules that p violates, without those that other (nil: none) also
// violates.
func (s *Supervisor) violations(p, other *process) invariant.Violations {
	if s.observer == nil || p == nil {
		return invariant.Violations{}
	}
	v := s.observer.monitor.Violations(p.id())
	if other != nil {
		v.Rules &^= s.observer.monitor.Violations(other.id()).Rules
		if v.Rules == 0 {
			v.Text = ""
		}
	}
	return v
}

// observeActivity passes a process's activity to the monitor, if the heartbeat has one.
func (s *Supervisor) observeActivity(p *process, m *handoff.Message) {
	if s.observer != nil && m.Activity != nil {
		s.observer.monitor.Observe(time.Now().UnixMicro(), p.id(), m.Activity)
	}
}
