package supervisor

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// feed passes an input to the state machine and carries out the resulting effects.
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

// carryOut carries out effects in order. When a process can't be started, it drops the
// remaining ones: the failure is an input of its own, whose effects startOld or startNew
// has already carried out.
func (s *Supervisor) carryOut(effects []upgrade.Effect) {
	for _, effect := range effects {
		if !s.carryOutOne(effect) {
			return
		}
	}
}

// carryOutOne carries out an effect. It reports whether the effects after it still apply.
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
		s.new.send(&handoff.Message{Kind: handoff.KindServe, State: s.releasedState})
		s.releasedState = nil
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
	case upgrade.EffectRecordSettled:
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
			"generation %d is settled, but the state file could not be written: a cold start begins with the previous one",
			s.file.Settled.Generation)
	}
	return true
}

func (s *Supervisor) startOld() bool {
	s.settledStarts++
	if s.crashedAt.IsZero() {
		s.crashedAt = time.Now()
	}
	var err error
	if s.old, err = s.start(s.file.Settled, s.soleBudget); err != nil {
		s.log.WithError(err).Error("supervisor: settled generation can't be started")
		s.feed(upgrade.InputOldEnded)
		return false
	}
	s.writeState()
	return true
}

func (s *Supervisor) startNew() bool {
	var err error
	if s.new, err = s.start(s.change.manifest, s.change.budget); err != nil {
		s.recordReason("the new generation can't be started: %v", err)
		s.feed(upgrade.InputNewEnded)
		return false
	}
	s.writeState()
	return true
}

func (s *Supervisor) resumeOld() {
	s.releasedState = nil
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

// writeSettled records the new generation as the settled one. It feeds InputWritten, or
// InputWriteFailed if the state file could not be written.
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

// outcome is how a change ended.
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

// reportOutcome ends the change in progress. It sends the final report to the waiting
// tools and records the outcome for the rollout.
func (s *Supervisor) reportOutcome(o outcome, format string, args ...any) {
	endedChange := s.change
	s.lastOutcome = fmt.Sprintf(format, args...)
	s.log.WithFields(logrus.Fields{"outcome": o.String(), "text": s.lastOutcome}).Info("supervisor: change ended")
	for _, tool := range s.waitingTools {
		report := &handoff.Message{
			Kind: handoff.KindReport, Note: s.lastOutcome, Final: true,
			OK: o == outcomeDone, FellBack: o == outcomeFellBack,
		}
		_ = tool.Send(report) // a tool that has disconnected needs no report
		tool.Close()
	}
	s.waitingTools = nil
	s.change = nil
	s.removeUnusedGenerations()
	s.rolloutChangeEnded(endedChange, o == outcomeDone, s.lastOutcome)
}

// reportProgress logs a step of the change in progress and sends it to the waiting tools.
func (s *Supervisor) reportProgress(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.log.WithField("text", text).Info("supervisor: change in progress")
	for _, tool := range s.waitingTools {
		_ = tool.Send(&handoff.Message{Kind: handoff.KindReport, Note: text}) // a tool that has disconnected needs no report
	}
}

// recordReason logs why a process or the change in progress fails. The first reason of a
// change becomes part of its outcome.
func (s *Supervisor) recordReason(format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	s.log.WithField("reason", reason).Warn("supervisor: incident")
	if s.change != nil && s.change.reason == "" {
		s.change.reason = reason
	}
}
