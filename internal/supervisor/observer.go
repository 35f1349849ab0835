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

// Observer lets the supervisor check by discovery whether its processes keep the
// invariants. All fields must be set.
type Observer struct {
	Invariants invariant.Settings
	Limits     *config.Limits
	// Discovery reads the platform's file: the address of discovery, and the endpoints
	// that the file has. It is called at the start and at each reload.
	Discovery func() (address string, known *discovery.Update, err error)
}

// clockJumpMicros is how far the wall clock may move against the monotonic one between
// two ticks. One that is slewed moves by less.
const clockJumpMicros = 50_000

// observer follows discovery beside the processes, and compares what they do with it. It
// stays as it is over a change of program: the supervisor's own is known to be good.
type observer struct {
	supervisor  *Supervisor
	monitor     *invariant.Monitor
	watcher     *discovery.Watcher
	cancel      context.CancelFunc // of the watcher's run
	done        chan struct{}      // closed when it has ended
	clockOffset int64              // of the wall clock from the supervisor's, in microseconds
	logged      map[int]uint8      // violated rules by PID
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
	o.follow()
}

// follow reads the address of discovery and follows it there. When the file can't be
// read the last address stays.
func (o *observer) follow() {
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
		if previousCancel != nil { // two never run at once
			previousCancel()
			<-previousDone
		}
		o.watcher.Apply(&discovery.Update{Events: known.Events})
		o.watcher.Run(ctx, address)
	}()
}

// enqueue has the supervisor's loop do something, at the time of the event. The watcher
// runs beside the loop.
func (o *observer) enqueue(event func(now int64)) {
	now := time.Now().UnixMicro()
	o.supervisor.events <- func() { event(now) }
}

// EndpointsChanged takes an update of the endpoint list.
func (o *observer) EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint) {
	endpoints := make([]policy.Endpoint, len(list))
	for i, e := range list {
		endpoints[i] = e.Endpoint
	}
	o.enqueue(func(now int64) { o.monitor.EndpointsChanged(now, scope != policy.ScopeDiff, endpoints) })
}

// Purge takes a purge.
func (o *observer) Purge(object string, group, at int64) {
	o.enqueue(func(now int64) { o.monitor.Purged(now, object, group, at) })
}

// DiscoveryLost takes the first failed poll in a row.
func (o *observer) DiscoveryLost(error) {
	o.enqueue(func(now int64) { o.monitor.SetDisconnected(now, true) })
}

// DiscoveryRestored takes the first poll that succeeds again.
func (o *observer) DiscoveryRestored() {
	o.enqueue(func(now int64) { o.monitor.SetDisconnected(now, false) })
}

// DiscoveryGap takes that events may have been missed.
func (o *observer) DiscoveryGap() {
	o.enqueue(func(now int64) {
		o.monitor.SetDisconnected(now, true)
		o.monitor.SetDisconnected(now, false)
	})
}

// tick lets the monitor judge, and logs new violations.
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
		o.monitor.ClockJumped(now, jump)
	}
	o.clockOffset += jump
}

func (o *observer) processEnded(p *process) {
	o.monitor.ProcessEnded(p.id())
	delete(o.logged, p.pid)
}

// violations are those of a process that another one beside it, if any, does not share.
func (s *Supervisor) violations(p, beside *process) invariant.Violations {
	if s.observer == nil || p == nil {
		return invariant.Violations{}
	}
	v := s.observer.monitor.Violations(p.id())
	if beside != nil {
		v.Rules &^= s.observer.monitor.Violations(beside.id()).Rules
		if v.Rules == 0 {
			v.Text = ""
		}
	}
	return v
}

// observeActivity takes what a process reports of its attempts and responses.
func (s *Supervisor) observeActivity(p *process, m *handoff.Message) {
	if s.observer != nil && m.Activity != nil {
		s.observer.monitor.Observe(time.Now().UnixMicro(), p.id(), m.Activity)
	}
}
