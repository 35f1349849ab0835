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

// rolloutFollower is this router's part in rollouts.
type rolloutFollower struct {
	node          *rollout.Node // nil: no plan
	plan          *rollout.Plan
	planText      []byte
	planError     string // last logged
	planCheckedAt time.Time

	persisted   rollout.Durable
	writeFailed bool // the durable state could not be written

	previousRequests  upgrade.RequestCounts // of the processes before the current one
	currentRequests   upgrade.RequestCounts
	currentGeneration uint64

	loggedPhase string
}

// durableFormat is the version of the rollout file.
const durableFormat = 1

// durableRollout is the rollout file. One of another plan tells that the router has seen
// a rollout, and that this plan is new here.
type durableRollout struct {
	Format  int             `json:"format"`
	Plan    uint64          `json:"plan,string"` // digest
	Durable rollout.Durable `json:"durable"`
}

// tickRollout advances the rollout, if there is a plan.
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
	s.pursue(r.node.Target(s.now()))
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

// sendToPeers sends messages to other routers, by way of the serving process, once what
// they promise is durable.
func (s *Supervisor) sendToPeers(messages []rollout.Outgoing) {
	r := &s.rollout
	if !s.persistRollout() {
		return // a promise that would not last is not made
	}
	p := s.servingProcess()
	if p == nil {
		return
	}
	for _, m := range messages {
		body, err := rollout.Encode(m.Message)
		if err != nil {
			continue // none that a node makes
		}
		p.send(&handoff.Message{Kind: handoff.KindPeerMessage, To: r.plan.Routers[m.To].Name, Body: body})
	}
}

// persistRollout writes what this router has promised, when that has changed.
func (s *Supervisor) persistRollout() bool {
	r := &s.rollout
	durable := r.node.Durable
	if reflect.DeepEqual(durable, r.persisted) || r.node.Status().Recovering {
		return true
	}
	err := writeJSON(s.path(rolloutFile), durableRollout{durableFormat, r.plan.Digest, durable})
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

// servingProcess is the process that holds the serving lock, else the old one.
func (s *Supervisor) servingProcess() *process {
	for _, p := range []*process{s.new, s.old} {
		if p != nil && p.agentState.Accepts() {
			return p
		}
	}
	return s.old
}

// handleRolloutMessage takes a message of another router. Others than a rollout's are ignored.
func (s *Supervisor) handleRolloutMessage(m *handoff.Message) {
	if s.rollout.node == nil {
		return
	}
	if message, err := rollout.Decode(m.Body); err == nil {
		s.sendToPeers(s.rollout.node.Receive(s.now(), m.From, message))
	}
}

// isUpgraded reports whether the settled generation is the rollout's.
func (s *Supervisor) isUpgraded() bool {
	record := s.file.Rollout
	return record != nil && record.NewGeneration != 0 && record.NewGeneration == s.file.Settled.Generation
}

// pursue makes this router what the rollout wants it to be, where it may.
func (s *Supervisor) pursue(target rollout.Target) {
	if !target.MayStart {
		return
	}
	view, _ := s.rollout.node.View()
	record := s.file.Rollout
	switch {
	case s.upgradesByRollout() && !target.New:
		s.noteReason("the rollout goes back")
		s.feed(upgrade.InputCancel)
	case s.machine.Busy() || target.New == s.isUpgraded():
	case target.New && (record == nil || record.RunID != view.RunID || record.FailureReason == ""):
		s.beginRolloutUpgrade(view)
	case !target.New && record.Previous != nil:
		s.beginRolloutRollback(view)
	}
}

// upgradesByRollout reports whether a change to the rollout's generation is in progress.
func (s *Supervisor) upgradesByRollout() bool {
	c := s.change
	return c != nil && c.rolloutRun != 0 && !c.rollback && s.machine.State > upgrade.StateSteady
}

func (s *Supervisor) beginRolloutUpgrade(view rollout.State) {
	s.log.WithField("run", view.RunID).Info("rollout: this router is upgraded")
	s.file.Rollout = &handoff.RolloutRecord{RunID: view.RunID, Previous: s.file.Settled}
	s.change = &change{manifest: s.plannedSettings(), rolloutRun: view.RunID}
	s.feed(upgrade.InputApply)
}

func (s *Supervisor) beginRolloutRollback(view rollout.State) {
	s.log.WithField("run", view.RunID).Info("rollout: this router is rolled back")
	record := s.file.Rollout
	s.change = &change{
		manifest: settingsOf(record.Previous), rolloutRun: record.RunID, rollback: true,
		ownDecision: view.Phase == rollout.PhaseForward || view.Phase == rollout.PhasePaused,
	}
	s.feed(upgrade.InputApply)
}

// rolloutChangeEnded records what became of a change that a rollout wanted.
func (s *Supervisor) rolloutChangeEnded(c *change, ok bool, text string) {
	record := s.file.Rollout
	if c == nil || c.rolloutRun == 0 || record == nil {
		return
	}
	switch {
	case !c.rollback && ok:
		record.NewGeneration = s.file.Settled.Generation
	case !c.rollback:
		record.FailureReason = text
	case ok:
		record.NewGeneration = 0
		if c.ownDecision {
			record.FailureReason = "it heard of nobody for long"
		}
	default:
		s.forceRollback(text)
	}
	s.writeState()
}

// forceRollback kills a new generation that does not even hand over, and starts the
// previous one.
func (s *Supervisor) forceRollback(reason string) {
	s.log.WithField("reason", reason).Warn("rollout: rolled back by force")
	record := s.file.Rollout
	s.file.Settled, s.file.Previous = record.Previous, s.file.Settled
	record.NewGeneration = 0
	if s.old != nil {
		s.old.kill()
	}
}
