package emulator

import (
	"time"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/simulation"
)

const (
	// taskQueueLength is how many tasks may wait for the loop before senders block.
	taskQueueLength = 4096
	// maxLoopWaitMicros is how long the loop sleeps at most when the simulation has nothing due.
	maxLoopWaitMicros = 100_000
)

// loop plays the simulation by the real clock until it is over.
func (s *socketRun) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := s.now()
		if s.simulation.Over() || now > s.simulation.Length() {
			if s.driverDone != nil {
				return <-s.driverDone
			}
			return nil
		}
		s.runDue(now)
		s.reportProgress(now)
		wait := max(min(s.simulation.Next()-s.now(), maxLoopWaitMicros), 0)
		timer.Reset(time.Duration(wait) * time.Microsecond)
		if err := s.waitForEvent(timer.C); err != nil {
			return err
		}
	}
}

// runDue runs the simulation's events that are due, and notes how late they are.
func (s *socketRun) runDue(now int64) {
	for at := s.simulation.Next(); at <= now && s.simulation.Step(now); at = s.simulation.Next() {
		s.maxDelay = max(s.maxDelay, s.now()-at)
	}
}

// reportProgress calls Options.Progress once a second.
func (s *socketRun) reportProgress(now int64) {
	second := now / microsPerSecond
	if second <= s.reportedSecond || s.options.Progress == nil {
		return
	}
	s.reportedSecond = second
	s.options.Progress(float64(now)/float64(s.simulation.Length()), s.simulation.Result.Timeline)
}

// waitForEvent waits for a task, the timer, the end of Drive, a failure or the end of the
// run's context, and handles it.
func (s *socketRun) waitForEvent(timer <-chan time.Time) error {
	select {
	case task := <-s.tasks:
		s.simulation.AdvanceTo(s.now())
		task()
	case <-timer:
	case err := <-s.failures:
		return err
	case err := <-s.driverDone:
		s.driverDone = nil
		if err != nil {
			return err
		}
		if s.config.EndWithDrive {
			s.simulation.AdvanceTo(s.now())
			s.simulation.Close()
		}
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	return nil
}

// runInLoop hands the loop a task. Once the run is over the task is dropped.
func (s *socketRun) runInLoop(task func()) {
	select {
	case s.tasks <- task:
	case <-s.ctx.Done():
	}
}

// AttemptEnded answers an attempt.
func (s *socketRun) AttemptEnded(_ int, attempt *simulation.Attempt, end simulation.AttemptResult) {
	attempt.DriverData.(*serverAttempt).finish(attempt, end)
}

// Record passes an entry of the event log on to the checker and the record. Where a server
// starts or goes down, its listeners follow.
func (s *socketRun) Record(entry *eventlog.Entry) {
	s.sitesCut.Store(s.simulation != nil && s.simulation.SitesCut())
	switch entry.Kind {
	case eventlog.KindDown, eventlog.KindStarted:
		for _, process := range s.routers {
			if listener := process.servers[entry.Endpoint]; listener != nil {
				listener.setState(entry.Kind == eventlog.KindStarted, s.simulation.Silent(entry.Endpoint))
			}
		}
	}
	s.checker.Observe(entry)
	if s.options.Record != nil {
		s.options.Record(entry)
	}
}

// fail ends the run with an error. Only the first error counts.
func (s *socketRun) fail(err error) {
	select {
	case s.failures <- err:
	default:
	}
}

// now is the time of the run in microseconds.
func (s *socketRun) now() int64 { return time.Since(*s.startedAt.Load()).Microseconds() }

// restartClock lets the run's time begin now. Relays of datagrams may read it meanwhile.
func (s *socketRun) restartClock() {
	now := time.Now()
	s.startedAt.Store(&now)
}

// unixMS is a time of the run as milliseconds since 1970, the form in which the platform
// tells times.
func (s *socketRun) unixMS(at int64) int64 { return s.startedAt.Load().UnixMilli() + at/microsPerMilli }
