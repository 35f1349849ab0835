package rollout

// condition is an operator's command or the state of the fleet, as found by the leader. Of
// several that hold, findCondition returns the first that it checks.
type condition uint8

const (
	conditionNone      condition = iota
	rollbackOrdered              // by the operator
	pauseOrdered                 // by the operator
	resumeOrdered                // by the operator
	startOrdered                 // by the operator
	guardrailExceeded            // a router has failed, or exceeds a limit that needs no statistics
	setsOutdated                 // Batch, Changed or Skipped no longer match the routers' reports
	batchInProgress              // the batch is changing
	batchAvailable               // routers have yet to change, and some are ready
	canaryWorse                  // a metric of the new generation is worse than tolerated
	stagePassed                  // the stage has shown the new generation to be no worse; outside PhaseForward: no router is due to change
	canaryInconclusive           // the watch has ended without a result
)

// transition is the change of state that a condition causes in a phase.
type transition struct {
	next  Phase
	apply func(*leader, *Node, *State) // nil: only the phase and the reason change
}

type transitionKey struct {
	phase     Phase
	condition condition
}

var transitions = map[transitionKey]transition{
	{PhaseNone, startOrdered}:       {PhaseForward, (*leader).start},
	{PhaseRolledBack, startOrdered}: {PhaseForward, (*leader).start},
	{PhaseDone, startOrdered}:       {PhaseForward, (*leader).start},

	{PhaseForward, rollbackOrdered}: {PhaseRollingBack, (*leader).rollBack},
	{PhasePaused, rollbackOrdered}:  {PhaseRollingBack, (*leader).rollBack},
	{PhaseDone, rollbackOrdered}:    {PhaseRollingBack, (*leader).rollBack},

	{PhaseForward, pauseOrdered}: {PhasePaused, nil},
	{PhasePaused, resumeOrdered}: {PhaseForward, nil},

	{PhaseForward, guardrailExceeded}: {PhaseRollingBack, (*leader).rollBack},
	{PhasePaused, guardrailExceeded}:  {PhaseRollingBack, (*leader).rollBack},

	{PhaseForward, setsOutdated}:     {PhaseForward, (*leader).updateSets},
	{PhaseDone, setsOutdated}:        {PhaseDone, (*leader).updateSets},
	{PhaseRollingBack, setsOutdated}: {PhaseRollingBack, (*leader).updateSets},
	{PhasePaused, setsOutdated}:      {PhasePaused, (*leader).updateSets},

	{PhaseForward, batchAvailable}:     {PhaseForward, (*leader).startBatch},
	{PhaseDone, batchAvailable}:        {PhaseDone, (*leader).startBatch},
	{PhaseRollingBack, batchAvailable}: {PhaseRollingBack, (*leader).startBatch},

	{PhaseForward, canaryWorse}:        {PhaseRollingBack, (*leader).rollBack},
	{PhaseForward, canaryInconclusive}: {PhasePaused, nil},
	{PhaseForward, stagePassed}:        {PhaseForward, (*leader).passStage},
	{PhaseRollingBack, stagePassed}:    {PhaseRolledBack, nil},
}

// nextState returns the state to propose after the decided one, or the decided state itself
// if nothing is to change.
func (l *leader) nextState(n *Node) State {
	found := l.pendingCondition
	reason := l.pendingReason
	if !l.rollbackPending {
		found, reason = l.findCondition(n)
	}
	step, ok := transitions[transitionKey{l.decided.Phase, found}]
	if !ok {
		return l.decided
	}
	next := l.decided
	next.Phase = step.next
	if reason != "" {
		next.Reason = reason
	}
	switch {
	case found == canaryWorse && n.plan.OnWorse == ReactionPause:
		next.Phase = PhasePaused
	case found == canaryInconclusive && n.plan.OnInconclusive == ReactionRollBack:
		next.Phase = PhaseRollingBack
		l.rollBack(n, &next)
	case step.apply != nil:
		step.apply(l, n, &next)
	}
	beginsRollback := next.Phase == PhaseRollingBack && l.decided.Phase != PhaseRollingBack
	if beginsRollback && !n.checks.forwardPermitsExpired(n.now-l.lastForwardPermitAt) {
		l.rollbackPending = true
		l.pendingCondition = found
		l.pendingReason = reason
		return l.decided
	}
	l.rollbackPending = false
	next.Seq++
	return next
}

// findCondition returns the first condition that holds, and its reason as text for
// operators.
func (l *leader) findCondition(n *Node) (condition, string) {
	if found, reason := nextCommand(n); found != conditionNone {
		return found, reason
	}
	decided := &l.decided
	if decided.Phase == PhaseNone || decided.Phase == PhaseRolledBack {
		return conditionNone, ""
	}
	if found, reason := l.checkRouters(n, decided); found != conditionNone {
		return found, reason
	}
	if l.setsNeedUpdate(n, decided) {
		return setsOutdated, ""
	}
	if decided.Batch.Count() > 0 {
		return batchInProgress, ""
	}
	if decided.Phase == PhasePaused {
		return conditionNone, ""
	}
	if l.nextBatch(n, decided).Count() > 0 {
		return batchAvailable, ""
	}
	if l.anyDue(n, decided) {
		return conditionNone, "" // no router that has yet to change is ready
	}
	if decided.Phase != PhaseForward {
		return stagePassed, ""
	}
	return l.watchStage(n, decided)
}

// nextCommand removes the operator's oldest command from the queue and returns its
// condition.
func nextCommand(n *Node) (condition, string) {
	if len(n.commands) == 0 {
		return conditionNone, ""
	}
	command := n.commands[0]
	n.commands = n.commands[1:]
	switch command {
	case CommandStart:
		return startOrdered, ""
	case CommandPause:
		return pauseOrdered, "paused by the operator"
	case CommandResume:
		return resumeOrdered, "resumed by the operator"
	case CommandRollBack:
		return rollbackOrdered, "rolled back by the operator"
	}
	return conditionNone, ""
}

// start begins a run of the plan, with a new RunID.
func (l *leader) start(n *Node, s *State) {
	*s = State{Seq: s.Seq, Plan: n.plan.Digest, Phase: PhaseForward, RunID: n.newNonce()}
	l.watch.startedAt = 0
}

// rollBack adds the batch to the changed routers, since its routers may have begun to
// change, and clears the batch.
func (l *leader) rollBack(_ *Node, s *State) {
	for i := range l.routers {
		if s.Batch.Has(i) {
			s.Changed = s.Changed.With(i)
		}
	}
	s.Batch = nil
}

func (l *leader) startBatch(n *Node, s *State) { s.Batch = l.nextBatch(n, s) }

// passStage starts the next stage, or completes the rollout after the last stage.
func (l *leader) passStage(n *Node, s *State) {
	l.watch.previousFleetLosses = l.watch.fleetLosses
	if s.Stage+1 >= len(n.plan.Stages) {
		s.Phase = PhaseDone
		return
	}
	s.Stage++
}
