package supervisor

import (
	"fmt"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgrade"
)

// rolloutFollower is this router's state in the plan's rollout.
type rolloutFollower struct {
	node          *rollout.Node // nil: no valid plan was read
	plan          *rollout.Plan
	planText      []byte
	planError     string // last one logged
	planCheckedAt time.Time

	persisted   rollout.Durable // last state written to the rollout file for this plan
	writeFailed bool            // the last write of the rollout file failed

	previousRequests  upgrade.RequestCounts // of the processes before the current one
	currentRequests   upgrade.RequestCounts
	currentGeneration uint64

	loggedPhase string
}

// rolloutFileFormat is the version of the rollout file.
const rolloutFileFormat = 1

// durableRollout is the content of the rollout file. A file for another plan shows that
// the router has lost no state and that the present plan is new to it.
type durableRollout struct {
	Format  int             `json:"format"`
	Plan    uint64          `json:"plan,string"` // Plan.Digest
	Durable rollout.Durable `json:"durable"`
}

// tickRollout advances the rollout, if the configuration names a plan.
func (s *Supervisor) tickRollout(now time.Time) {
	if s.config.Plan == "" {
		return
	}
	r := &s.rollout
	if now.Sub(r.planCheckedAt) >= planCheckInterval {
		r.planCheckedAt = now
		s.readPlan()
	}
	if r.node == nil {
		return
	}
	r.node.SetReport(s.rolloutReport())
	s.sendToPeers(r.node.Tick(s.now()))
	s.applyTarget(r.node.Target(s.now()))
	s.logPhase()
}

func (s *Supervisor) logPhase() {
	r := &s.rollout
	view, _ := r.node.View()
	phase := fmt.Sprint(view.Phase, view.Stage)
	if phase == r.loggedPhase {
		return
	}
	r.loggedPhase = phase
	s.log.WithFields(logrus.Fields{
		"plan": r.plan.Name, "phase": view.Phase.String(), "stage": view.Stage + 1, "reason": view.Reason,
	}).Info("rollout: phase changed")
}

// sendToPeers sends messages to other routers through the serving process. It first makes
// the durable state that they depend on persistent.
func (s *Supervisor) sendToPeers(messages []rollout.Outgoing) {
	r := &s.rollout
	if !s.persistRollout() {
		return // a promise that a restart would lose must not be sent
	}
	p := s.servingProcess()
	if p == nil {
		return
	}
	for _, m := range messages {
		body, err := rollout.Encode(m.Message)
		if err != nil {
			continue // does not occur for a message of a node
		}
		p.send(&handoff.Message{Kind: handoff.KindPeerMessage, To: r.plan.Routers[m.To].Name, Body: body})
	}
}

// persistRollout writes the rollout file when the durable state has changed. It reports
// whether messages that depend on that state may be sent.
func (s *Supervisor) persistRollout() bool {
	r := &s.rollout
	durable := r.node.Durable
	if reflect.DeepEqual(durable, r.persisted) || r.node.Status().Recovering {
		return true
	}
	err := writeJSON(s.path(rolloutFile), durableRollout{rolloutFileFormat, r.plan.Digest, durable})
	if err != nil {
		if !r.writeFailed {
			s.log.WithError(err).Error("rollout: state can't be written, this router takes no part")
		}
		r.writeFailed = true
		return false
	}
	r.persisted = durable
	r.writeFailed = false
	return true
}

// servingProcess returns the process that holds the serving lock; without one, the old
// process, which may be nil.
func (s *Supervisor) servingProcess() *process {
	for _, p := range []*process{s.new, s.old} {
		if p != nil && p.agentState.Accepts() {
			return p
		}
	}
	return s.old
}

// handleRolloutMessage handles a message of another router. A body that can't be decoded
// is ignored.
func (s *Supervisor) handleRolloutMessage(m *handoff.Message) {
	if s.rollout.node == nil {
		return
	}
	if message, err := rollout.Decode(m.Body); err == nil {
		s.sendToPeers(s.rollout.node.Receive(s.now(), m.From, message))
	}
}

// isUpgraded reports whether the settled generation is the one that the rollout started.
func (s *Supervisor) isUpgraded() bool {
	record := s.file.Rollout
	return record != nil && record.NewGeneration != 0 && record.NewGeneration == s.file.Settled.Generation
}

// applyTarget begins the change to the generation that the rollout requires, or cancels
// an upgrade to a generation that it no longer requires. It does so only while the target
// permits a start.
func (s *Supervisor) applyTarget(target rollout.Target) {
	if !target.MayStart {
		return
	}
	view, _ := s.rollout.node.View()
	record := s.file.Rollout
	switch {
	case s.upgradesByRollout() && !target.Upgraded:
		s.recordReason("the rollout is rolled back")
		s.feed(upgrade.InputCancel)
	case s.machine.Busy() || target.Upgraded == s.isUpgraded():
	case target.Upgraded && (record == nil || record.RunID != view.RunID || record.FailureReason == ""):
		s.beginRolloutUpgrade(view)
	case !target.Upgraded && record.Previous != nil:
		s.beginRolloutRollback(view)
	}
}

// upgradesByRollout reports whether a change to the rollout's generation is in progress.
func (s *Supervisor) upgradesByRollout() bool {
	c := s.change
	return c != nil && c.rolloutRunID != 0 && !c.rollback && s.machine.State > upgrade.StateSteady
}

func (s *Supervisor) beginRolloutUpgrade(view rollout.State) {
	s.log.WithField("run", view.RunID).Info("rollout: this router is upgraded")
	s.file.Rollout = &handoff.RolloutRecord{RunID: view.RunID, Previous: s.file.Settled}
	s.change = &change{manifest: s.plannedFiles(), rolloutRunID: view.RunID}
	s.feed(upgrade.InputApply)
}

func (s *Supervisor) beginRolloutRollback(view rollout.State) {
	s.log.WithField("run", view.RunID).Info("rollout: this router is rolled back")
	record := s.file.Rollout
	s.change = &change{
		manifest: programAndSettings(record.Previous), rolloutRunID: record.RunID, rollback: true,
		decidedLocally: view.Phase == rollout.PhaseForward || view.Phase == rollout.PhasePaused,
	}
	s.feed(upgrade.InputApply)
}

// rolloutChangeEnded records the outcome of a change in the rollout's record, if a rollout
// requested it.
func (s *Supervisor) rolloutChangeEnded(c *change, ok bool, text string) {
	record := s.file.Rollout
	if c == nil || c.rolloutRunID == 0 || record == nil {
		return
	}
	switch {
	case !c.rollback && ok:
		record.NewGeneration = s.file.Settled.Generation
	case !c.rollback:
		record.FailureReason = text
	case ok:
		record.NewGeneration = 0
		if c.decidedLocally {
			record.FailureReason = "rolled back without contact to the rollout's leader"
		}
	default:
		s.forceRollback(text)
	}
	s.writeState()
}

// forceRollback makes the generation before the rollout the settled one without a
// hand-over, after a rollback with one has failed. It kills the rollout's generation, and
// the state machine then starts the settled one.
func (s *Supervisor) forceRollback(reason string) {
	s.log.WithField("reason", reason).Warn("rollout: rolled back by force")
	record := s.file.Rollout
	s.file.Settled, s.file.Previous = record.Previous, s.file.Settled
	record.NewGeneration = 0
	if s.old != nil {
		s.old.kill()
	}
}
