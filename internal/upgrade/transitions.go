package upgrade

// transition is the Machine's reaction to an input.
type transition struct {
	next    State
	effects []Effect
	// stay keeps the state and its deadline.
	stay bool
}

// to enters a state. Entering the current state again restarts its deadline.
func to(next State, effects ...Effect) *transition {
	return &transition{next: next, effects: effects}
}

// stayIn keeps the state and its deadline. It is for InputOldEnded, which Machine.Handle
// records.
func stayIn(state State) *transition { return &transition{next: state, stay: true} }

// transitions is the transition table of a Machine. An input without a row is ignored in
// that state.
//
// A row that leads to StateFallingBack leads to StateDown instead if the old process has
// ended, see Machine.Handle.
var transitions = [stateCount][inputCount]*transition{
	StateDown: {
		// The restart backoff is over.
		InputTimeout:  to(StateStarting, EffectStartOld),
		InputShutdown: to(StateStopping, EffectEndAll),
	},
	StateStarting: {
		InputOldReady: to(StateStarting, EffectServeOld),
		// A generation that was settled before needs no trial.
		InputOldServes: to(StateSteady, EffectSettleOld),
		// The process did not get ready or serve: restart it after a backoff.
		InputOldEnded: to(StateDown),
		InputOldHung:  to(StateDown, EffectKillOld),
		InputTimeout:  to(StateDown, EffectKillOld),
		InputShutdown: to(StateStopping, EffectEndAll),
	},
	StateSteady: {
		InputApply: to(StateChecking, EffectCheck),
		// The only process crashed or hangs: restart it.
		InputOldEnded: to(StateDown),
		InputOldHung:  to(StateDown, EffectKillOld),
		InputShutdown: to(StateStopping, EffectEndAll),
	},
	StateChecking: {
		InputChecked: to(StateWarming, EffectStartNew),
		// No process was started yet: the old one continues to serve.
		InputRejected: to(StateSteady, EffectReportRejected),
		InputTimeout:  to(StateSteady, EffectReportRejected),
		InputCancel:   to(StateSteady, EffectReportRejected),
		// The old process has failed: its restart has priority over the change.
		InputOldEnded: to(StateDown, EffectReportRejected),
		InputOldHung:  to(StateDown, EffectKillOld, EffectReportRejected),
		InputShutdown: to(StateStopping, EffectReportRejected, EffectEndAll),
	},
	StateWarming: {
		InputNewReady: to(StateQuiescing, EffectQuiesceOld),
		// The new process failed before the hand-off: the old one continues to serve.
		InputNewEnded:     to(StateSteady, EffectReportRejected),
		InputNewUnhealthy: to(StateSteady, EffectKillNew, EffectReportRejected),
		InputTimeout:      to(StateSteady, EffectKillNew, EffectReportRejected),
		InputCancel:       to(StateSteady, EffectKillNew, EffectReportRejected),
		// The old process has failed: its restart has priority over the change.
		InputOldEnded: to(StateDown, EffectKillNew, EffectReportRejected),
		InputOldHung:  to(StateDown, EffectKillNew, EffectKillOld, EffectReportRejected),
		InputShutdown: to(StateStopping, EffectReportRejected, EffectEndAll),
	},
	StateQuiescing: {
		// The lock is free: the new process is to serve with the old one's state.
		InputReleased: to(StateHandingOver, EffectServeNew),
		// The old process timed out on its own and serves again.
		InputOldServes:    to(StateSteady, EffectKillNew, EffectReportFellBack),
		InputNewEnded:     to(StateFallingBack, EffectResumeOld),
		InputNewUnhealthy: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputCancel:       to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputTimeout:      to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputOldHung:      to(StateFallingBack, EffectKillNew, EffectResumeOld),
		// The old process's state is lost: restart the settled generation.
		InputOldEnded: to(StateDown, EffectKillNew, EffectReportFellBack),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateHandingOver: {
		InputNewServes: to(StateOnTrial, EffectStandbyOld),
		// The old process timed out on its own and acquired the lock first.
		InputOldServes:    to(StateSteady, EffectKillNew, EffectReportFellBack),
		InputDenied:       to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputNewEnded:     to(StateFallingBack, EffectResumeOld),
		InputNewUnhealthy: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputCancel:       to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputTimeout:      to(StateFallingBack, EffectKillNew, EffectResumeOld),
		// It is unknown whether the new process serves: restart the settled generation.
		InputOldEnded: to(StateDown, EffectKillNew, EffectReportFellBack),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateOnTrial: {
		// The trial passed.
		InputTimeout:      to(StateSettling, EffectSettleNew),
		InputNewEnded:     to(StateFallingBack, EffectResumeOld),
		InputNewUnhealthy: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		// The new process still responds: let it answer its open requests.
		InputTrialFailed: to(StateFallingBack, EffectEndNew, EffectResumeOld),
		InputCancel:      to(StateFallingBack, EffectEndNew, EffectResumeOld),
		// The old process acquired the lock again on its own.
		InputOldServes: to(StateSteady, EffectKillNew, EffectReportFellBack),
		// The new process serves, so the trial continues without a standby.
		InputOldEnded: stayIn(StateOnTrial),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateSettling: {
		// The process is notified before the state file is written. If the supervisor ends
		// between the two steps, its successor finds a settled process. In the reverse
		// order it could find a generation recorded as settled whose process yields.
		InputSettled:      to(StateWriting, EffectRecordSettled),
		InputNewEnded:     to(StateFallingBack, EffectResumeOld),
		InputNewUnhealthy: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputTimeout:      to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputOldServes:    to(StateSteady, EffectKillNew, EffectReportFellBack),
		InputOldEnded:     stayIn(StateSettling),
		InputShutdown:     to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateWriting: {
		InputWritten: to(StateSteady, EffectPromote, EffectReportDone),
		// The new process has confirmed that it is settled, so the change can't be undone.
		InputWriteFailed: to(StateSteady, EffectPromote, EffectReportNotPersisted),
	},
	StateFallingBack: {
		InputOldServes: to(StateSteady, EffectEndNew, EffectReportFellBack),
		InputOldEnded:  to(StateDown, EffectKillNew, EffectReportFellBack),
		// Neither process serves: restart the settled generation.
		InputTimeout:  to(StateDown, EffectKillNew, EffectKillOld, EffectReportFellBack),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateStopping: {
		InputAllEnded: to(StateStopped),
	},
	StateStopped: {},
}
