package supervisor

import (
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// killRetryInterval is the time until a process that has not ended is killed again.
const killRetryInterval = time.Second

// tick advances the state machine. Every sampleInterval it also checks the processes and
// their invariants, and advances the rollout.
func (s *Supervisor) tick() {
	now := time.Now()
	if gap := now.Sub(s.tickedAt); gap > pausedAfter {
		s.compensatePause(now, gap)
	}
	s.tickedAt = now
	s.carryOut(s.machine.Tick(s.now()))
	if now.Sub(s.sampledAt) >= sampleInterval {
		s.sampledAt = now
		s.sample(now)
		if s.observer != nil {
			s.observer.tick()
		}
		s.tickRollout(now)
	}
	if s.machine.State == upgrade.StateStopping && len(s.processes()) == 0 {
		s.feed(upgrade.InputAllEnded)
	}
}

// compensatePause restarts heartbeat timeouts and extends the state machine's deadline
// after a time in which this process did not run and so received no messages.
func (s *Supervisor) compensatePause(now time.Time, gap time.Duration) {
	s.log.WithField("gap_ms", gap.Milliseconds()).Warn("supervisor: was paused")
	s.machine.Paused(gap.Microseconds())
	for _, p := range s.processes() {
		p.lastMessageAt = now
	}
}

// sample measures the resource usage of processes, checks the old and the new one, and
// kills draining ones that are overdue.
func (s *Supervisor) sample(now time.Time) {
	s.sampleUsage()
	s.killOverdue(now)
	s.checkOldHeartbeat(now)
	s.checkNewProcess(now)
	s.restoreSoleBudget()
}

func (s *Supervisor) sampleUsage() {
	total := usageOf(os.Getpid())
	for _, p := range s.processes() {
		// An adopted process is not a child of this one, so wait does not report its end.
		if p.cmd == nil && startTicksOf(p.pid) != p.startTicks {
			s.processEnded(p)
			continue
		}
		p.usage = usageOf(p.pid)
		total.MemoryMB += p.usage.MemoryMB
		total.Descriptors += p.usage.Descriptors
	}
	s.peakUsage.MemoryMB = max(s.peakUsage.MemoryMB, total.MemoryMB)
	s.peakUsage.Descriptors = max(s.peakUsage.Descriptors, total.Descriptors)
}

// killOverdue kills draining processes that have not ended in time.
func (s *Supervisor) killOverdue(now time.Time) {
	for _, p := range slices.Clone(s.draining) {
		if !now.After(p.killAt) {
			continue
		}
		s.log.WithFields(logrus.Fields{"generation": p.manifest.Generation, "pid": p.pid}).
			Warn("supervisor: process did not end in time, it is killed")
		p.kill()
		p.killAt = now.Add(killRetryInterval)
	}
}

func (s *Supervisor) checkOldHeartbeat(now time.Time) {
	p := s.old
	if p == nil || !p.helloReceived {
		return
	}
	if sinceMessage := now.Sub(p.lastMessageAt); sinceMessage.Microseconds() > upgrade.HangTimeoutMicros {
		s.recordReason("the settled generation has said nothing for %d ms", sinceMessage.Milliseconds())
		p.lastMessageAt = now
		s.feed(upgrade.InputOldHung)
	}
}

func (s *Supervisor) checkNewProcess(now time.Time) {
	p := s.new
	if p == nil {
		return
	}
	sinceMessage := now.Sub(p.lastMessageAt)
	if err := upgrade.CheckUsage(p.budget, p.usage); err != nil {
		s.recordReason("the new generation exceeds its budget: %v", err)
		s.feed(upgrade.InputNewUnhealthy)
	} else if p.helloReceived && sinceMessage.Microseconds() > upgrade.TrialHangTimeoutMicros {
		s.recordReason("the new generation has said nothing for %d ms", sinceMessage.Milliseconds())
		s.feed(upgrade.InputNewUnhealthy)
	} else if v := s.violations(p, s.old); v.Rules != 0 && s.machine.State == upgrade.StateOnTrial {
		s.recordReason("the new generation breaks %s", v.Text)
		s.feed(upgrade.InputTrialFailed)
	}
}

// restoreSoleBudget sets the old process's budget to soleBudget once no other process runs.
func (s *Supervisor) restoreSoleBudget() {
	p := s.old
	alone := p != nil && s.new == nil && len(s.draining) == 0 && s.machine.State == upgrade.StateSteady
	if !alone || p.budget == s.soleBudget {
		return
	}
	p.budget = s.soleBudget
	p.send(&handoff.Message{Kind: handoff.KindLimits, Limits: s.soleBudget})
	p.send(&handoff.Message{Kind: handoff.KindOtherAttempts})
}
