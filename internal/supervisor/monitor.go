package supervisor

import (
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// killRetryInterval is how often a process that does not end is killed again.
const killRetryInterval = time.Second

// tick advances the state machine, and looks at all else that time brings.
func (s *Supervisor) tick() {
	now := time.Now()
	if gap := now.Sub(s.tickedAt); gap > pausedAfter {
		s.paused(now, gap)
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
		s.feed(upgrade.InputAllGone)
	}
}

// paused forgives silence and timeouts of the time in which this process did not run.
func (s *Supervisor) paused(now time.Time, gap time.Duration) {
	s.log.WithField("gap_ms", gap.Milliseconds()).Warn("supervisor: was paused")
	s.machine.Paused(gap.Microseconds())
	for _, p := range s.processes() {
		p.heardAt = now
	}
}

// sample looks at what processes use, at their heartbeats, and at those that drain.
func (s *Supervisor) sample(now time.Time) {
	s.sampleUsage()
	s.killOverdue(now)
	s.checkOld(now)
	s.checkNew(now)
	s.restoreSoleBudget()
}

func (s *Supervisor) sampleUsage() {
	total := usageOf(os.Getpid())
	for _, p := range s.processes() {
		if p.cmd == nil && startTicksOf(p.pid) != p.startTicks { // no child: nobody else notices its end
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

// killOverdue kills processes that were to end and did not in time.
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

func (s *Supervisor) checkOld(now time.Time) {
	p := s.old
	if p == nil || !p.greeted {
		return
	}
	if silence := now.Sub(p.heardAt); silence.Microseconds() > upgrade.HangTimeoutMicros {
		s.noteReason("the settled generation has said nothing for %d ms", silence.Milliseconds())
		p.heardAt = now
		s.feed(upgrade.InputOldHung)
	}
}

func (s *Supervisor) checkNew(now time.Time) {
	p := s.new
	if p == nil {
		return
	}
	silence := now.Sub(p.heardAt)
	if err := upgrade.CheckUsage(p.budget, p.usage); err != nil {
		s.noteReason("the new generation uses more than its part: %v", err)
		s.feed(upgrade.InputNewHung)
	} else if p.greeted && silence.Microseconds() > upgrade.TrialHangTimeoutMicros {
		s.noteReason("the new generation has said nothing for %d ms", silence.Milliseconds())
		s.feed(upgrade.InputNewHung)
	} else if v := s.violations(p, s.old); v.Rules != 0 && s.machine.State == upgrade.StateOnTrial {
		s.noteReason("the new generation breaks %s", v.Text)
		s.feed(upgrade.InputWorse)
	}
}

// restoreSoleBudget gives the serving process the whole machine once it is alone.
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
