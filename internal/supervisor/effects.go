package supervisor

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// feed gives the state machine an input and carries out what it decides.
func (s *Supervisor) feed(in upgrade.Input) {
	previous := s.machine.State
	effects := s.machine.Handle(s.now(), in)
	if s.machine.State != previous {
		s.log.WithFields(logrus.Fields{
			"was": previous.String(), "state": s.machine.State.String(), "input": in.String(),
		}).Info("supervisor: state changed")
	}
	s.carryOut(effects)
}

// carryOut carries out effects in order. Those after a process that can't be started
// are dropped: the machine has decided anew by then.
func (s *Supervisor) carryOut(effects []upgrade.Effect) {
	for _, effect := range effects {
		if !s.carryOutOne(effect) {
			return
		}
	}
}

// carryOutOne reports whether the effects that follow still count.
func (s *Supervisor) carryOutOne(effect upgrade.Effect) bool {
	switch effect {
	case upgrade.EffectCheck:
		s.checkChange()
	case upgrade.EffectStartOld:
		return s.startOld()
	case upgrade.EffectStartNew:
		return s.startNew()
	case upgrade.EffectServeOld:
		s.old.send(&handoff.Message{Kind: handoff.KindServe, BudgetsMaybeSpent: true})
	case upgrade.EffectServeNew:
		s.new.send(&handoff.Message{Kind: handoff.KindServe, State: s.state})
		s.state = nil
	case upgrade.EffectQuiesceOld:
		s.old.send(&handoff.Message{Kind: handoff.KindQuiesce})
	case upgrade.EffectStandbyOld:
		s.old.send(&handoff.Message{Kind: handoff.KindSuccessorServes})
	case upgrade.EffectResumeOld:
		s.resumeOld()
	case upgrade.EffectSettleNew:
		s.new.send(&handoff.Message{Kind: handoff.KindSettle})
	case upgrade.EffectSettleOld:
		s.old.send(&handoff.Message{Kind: handoff.KindSettle})
	case upgrade.EffectEndNew:
		s.endNew()
	case upgrade.EffectKillNew:
		s.killNew()
	case upgrade.EffectKillOld:
		s.killOld()
	case upgrade.EffectWrite:
		s.writeSettled()
	case upgrade.EffectPromote:
		s.promote()
	case upgrade.EffectEndAll:
		s.endAll()
	case upgrade.EffectReportRejected:
		s.reportOutcome(outcomeRejected, "refused, nothing has changed: %s", s.change.reason)
	case upgrade.EffectReportFellBack:
		s.reportFellBack()
	case upgrade.EffectReportDone:
		s.reportOutcome(outcomeDone, "generation %d is settled", s.file.Settled.Generation)
	case upgrade.EffectReportNotPersisted:
		s.reportOutcome(outcomeDone,
			"generation %d is settled, but the file could not be written: a cold start begins with the one before",
			s.file.Settled.Generation)
	}
	return true
}

func (s *Supervisor) startOld() bool {
	s.starts++
	if s.crashedAt.IsZero() {
		s.crashedAt = time.Now()
	}
	var err error
	if s.old, err = s.start(s.file.Settled, s.soleBudget); err != nil {
		s.log.WithError(err).Error("supervisor: settled generation can't be started")
		s.feed(upgrade.InputOldGone)
		return false
	}
	s.writeState()
	return true
}

func (s *Supervisor) startNew() bool {
	var err error
	if s.new, err = s.start(s.change.manifest, s.change.budget); err != nil {
		s.noteReason("it can't be started: %v", err)
		s.feed(upgrade.InputNewGone)
		return false
	}
	s.writeState()
	return true
}

func (s *Supervisor) resumeOld() {
	s.state = nil
	if s.old != nil {
		s.old.send(&handoff.Message{Kind: handoff.KindResume, BudgetsMaybeSpent: true})
	}
}

func (s *Supervisor) endNew() {
	if s.new != nil {
		s.drain(s.new, &handoff.Message{Kind: handoff.KindEnd})
		s.new = nil
	}
}

func (s *Supervisor) killNew() {
	if s.new != nil {
		s.new.kill()
		s.drain(s.new, nil)
		s.new = nil
	}
}

func (s *Supervisor) killOld() {
	if s.old != nil {
		s.old.kill()
		s.drain(s.old, nil)
		s.old = nil
	}
}

// writeSettled records the new generation as the settled one.
func (s *Supervisor) writeSettled() {
	s.file.Previous = s.file.Settled
	s.file.Settled = s.new.manifest
	if s.writeState() {
		s.feed(upgrade.InputWritten)
	} else {
		s.feed(upgrade.InputWriteFailed)
	}
}

func (s *Supervisor) promote() {
	if s.old != nil {
		s.drain(s.old, &handoff.Message{Kind: handoff.KindEnd})
	}
	s.old, s.new = s.new, nil
	s.trial.Promote()
	s.removeUnusedGenerations()
}

func (s *Supervisor) endAll() {
	for _, f := range s.sockets {
		f.Close()
	}
	for _, p := range []*process{s.old, s.new} {
		if p != nil {
			s.drain(p, &handoff.Message{Kind: handoff.KindEnd})
		}
	}
	s.old = nil
	s.new = nil
}

// outcome of a change.
type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeRejected
	outcomeFellBack
)

var outcomeNames = [...]string{"done", "rejected", "fell back"}

func (o outcome) String() string { return outcomeNames[o] }

func (s *Supervisor) reportFellBack() {
	if s.new == nil && s.old != nil && !s.crashedAt.IsZero() {
		s.lastCrashMS = time.Since(s.crashedAt).Milliseconds()
	}
	s.crashedAt = time.Time{}
	s.reportOutcome(outcomeFellBack, "fell back: %s", s.change.reason)
}

// reportOutcome ends a change: it tells the tools that wait for it, and the rollout.
func (s *Supervisor) reportOutcome(o outcome, format string, args ...any) {
	ended := s.change
	s.lastOutcome = fmt.Sprintf(format, args...)
	s.log.WithFields(logrus.Fields{"outcome": o.String(), "text": s.lastOutcome}).Info("supervisor: change ended")
	for _, tool := range s.tools {
		report := &handoff.Message{
			Kind: handoff.KindReport, Note: s.lastOutcome, Final: true,
			OK: o == outcomeDone, FellBack: o == outcomeFellBack,
		}
		_ = tool.Send(report) // a tool that is gone needs none
		tool.Close()
	}
	s.tools = nil
	s.change = nil
	s.removeUnusedGenerations()
	s.rolloutChangeEnded(ended, o == outcomeDone, s.lastOutcome)
}

// reportProgress tells the tools that wait how a change goes on.
func (s *Supervisor) reportProgress(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.log.WithField("text", text).Info("supervisor: change in progress")
	for _, tool := range s.tools {
		_ = tool.Send(&handoff.Message{Kind: handoff.KindReport, Note: text}) // a tool that is gone needs none
	}
}

// noteReason logs what went wrong, and keeps the first reason for the change's outcome.
func (s *Supervisor) noteReason(format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	s.log.WithField("reason", reason).Warn("supervisor: incident")
	if s.change != nil && s.change.reason == "" {
		s.change.reason = reason
	}
}
