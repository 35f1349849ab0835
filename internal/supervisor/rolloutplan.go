package supervisor

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/handoff"
	"quilldoor/internal/rollout"
)

// planCheckInterval is how often the plan's file is checked for changes.
const planCheckInterval = 2 * time.Second

// namePlaceholder in a path of the plan stands for the router's name.
const namePlaceholder = "{name}"

// readPlan reads the plan if its file has changed and no rollout is in progress. An invalid
// or unreadable file leaves the last plan in force.
func (s *Supervisor) readPlan() {
	r := &s.rollout
	text, err := os.ReadFile(s.config.Plan)
	if err != nil || r.node != nil && bytes.Equal(text, r.planText) {
		return
	}
	if r.node != nil && r.inProgress() {
		return
	}
	plan, err := s.parsePlan(text)
	if err != nil {
		if r.planError != err.Error() {
			r.planError = err.Error()
			s.log.WithError(err).Error("rollout: plan rejected")
		}
		return
	}
	r.planText = text
	r.plan = plan
	r.persisted = rollout.Durable{}
	durable := s.readDurableRollout(plan)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.node = rollout.NewNode(plan, s.config.MemberName, durable, random, s.now())
	s.log.WithFields(logrus.Fields{
		"plan": plan.Name, "digest": fmt.Sprintf("%016x", plan.Digest), "known": durable != nil,
	}).Info("rollout: plan read")
}

func (r *rolloutFollower) inProgress() bool {
	view, _ := r.node.View()
	switch view.Phase {
	case rollout.PhaseForward, rollout.PhasePaused, rollout.PhaseRollingBack:
		return true
	default:
		return false
	}
}

func (s *Supervisor) parsePlan(text []byte) (*rollout.Plan, error) {
	plan, err := rollout.ParsePlan(s.config.Plan, text)
	if err != nil {
		return nil, err
	}
	if plan.Index(s.config.MemberName) < 0 {
		return nil, fmt.Errorf("%s: router %q is not in the plan", s.config.Plan, s.config.MemberName)
	}
	return plan, nil
}

// readDurableRollout returns this router's durable state in the plan's rollout: nil when
// the rollout file can't be read and so may be lost, empty when it is for another plan.
func (s *Supervisor) readDurableRollout(plan *rollout.Plan) *rollout.Durable {
	var record durableRollout
	if err := readJSON(s.path(rolloutFile), &record); err != nil || record.Format != rolloutFileFormat {
		return nil
	}
	if record.Plan != plan.Digest {
		return new(rollout.Durable)
	}
	return &record.Durable
}

// plannedFiles returns a manifest with the paths that the plan names for this router.
func (s *Supervisor) plannedFiles() *handoff.Manifest {
	forThisRouter := func(path string) string {
		return strings.ReplaceAll(path, namePlaceholder, s.config.MemberName)
	}
	plan := s.rollout.plan
	return &handoff.Manifest{
		Program:  forThisRouter(plan.Program),
		Config:   forThisRouter(plan.Config),
		Operator: forThisRouter(plan.Operator),
	}
}

// hasPlannedFiles reports whether the files that the plan names for this router exist.
func (s *Supervisor) hasPlannedFiles() bool {
	m := s.plannedFiles()
	for _, path := range []string{m.Program, m.Config, m.Operator} {
		if path == "" {
			continue
		}
		if _, err := os.Stat(path); err != nil {
			return false
		}
	}
	return true
}
