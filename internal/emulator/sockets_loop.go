package emulator

import (
	"time"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/simulation"
)

const (
	// taskQueueLength is the number of queued tasks beyond which runInLoop blocks.
	taskQueueLength = 4096
	// maxLoopWaitMicros is the longest time that the loop waits if no event of the simulation is due.
	maxLoopWaitMicros = 100_000
)

// loop runs the simulation in real time until it is over.
func (s *socketRun) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := s.now()
		if s.simulation.Done() || now > s.simulation.Length() {
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

// runDue runs the simulation's due events, and records the longest delay of one.
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

// waitForEvent waits for one of these and handles it: a task, the timer, the end of Drive, a
// failure, or the end of the run's context.
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
			s.simulation.StopClients()
		}
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	return nil
}

// runInLoop queues a task for the run's loop. Once the run is over, it discards the task.
func (s *socketRun) runInLoop(task func()) {
	select {
	case s.tasks <- task:
	case <-s.ctx.Done():
	}
}

// AttemptEnded sends the server's response to an attempt.
func (s *socketRun) AttemptEnded(_ int, attempt *simulation.Attempt, end simulation.AttemptResult) {
	attempt.DriverData.(*serverAttempt).finish(attempt, end)
}

// Record passes an entry of the event log to the checker and to Options.Record. If a server starts
// or goes down, it updates the listeners of the server first.
func (s *socketRun) Record(entry *eventlog.Entry) {
	s.sitesCut.Store(s.simulation != nil && s.simulation.SitesPartitioned())
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

// fail ends the run with an error. It discards errors after the first.
func (s *socketRun) fail(err error) {
	select {
	case s.failures <- err:
	default:
	}
}

// now is the time since the run began, in microseconds.
func (s *socketRun) now() int64 { return time.Since(*s.startedAt.Load()).Microseconds() }

// restartClock sets the beginning of the run to the current time. Datagram relays may read the time
// concurrently.
func (s *socketRun) restartClock() {
	now := time.Now()
	s.startedAt.Store(&now)
}

// unixMS converts a time of the run to milliseconds since 1970, the platform's format of times.
func (s *socketRun) unixMS(at int64) int64 { return s.startedAt.Load().UnixMilli() + at/microsPerMilli }
