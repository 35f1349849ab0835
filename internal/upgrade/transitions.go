package upgrade

// transition is what the Machine does on an input.
type transition struct {
	next    State
	effects []Effect
	// stay leaves the state and its deadline as they are.
	stay bool
}

// to enters a state, also the same one again: its deadline begins anew.
func to(next State, effects ...Effect) *transition {
	return &transition{next: next, effects: effects}
}

// noted keeps the state and its deadline. Machine.Handle remembers the old process's end.
func noted(state State) *transition { return &transition{next: state, stay: true} }

// transitions is the supervisor's table. An input without a row is ignored in that state.
//
// A row that leads to StateFallingBack leads to StateDown instead when the old
// process has ended, see Machine.Handle.
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
		// It did not start: restart it after a backoff.
		InputOldGone:  to(StateDown),
		InputOldHung:  to(StateDown, EffectKillOld),
		InputTimeout:  to(StateDown, EffectKillOld),
		InputShutdown: to(StateStopping, EffectEndAll),
	},
	StateSteady: {
		InputApply: to(StateChecking, EffectCheck),
		// The only process crashed or hangs: restart it.
		InputOldGone:  to(StateDown),
		InputOldHung:  to(StateDown, EffectKillOld),
		InputShutdown: to(StateStopping, EffectEndAll),
	},
	StateChecking: {
		InputChecked: to(StateWarming, EffectStartNew),
		// Nothing was started yet: the old process serves on.
		InputRejected: to(StateSteady, EffectReportRejected),
		InputTimeout:  to(StateSteady, EffectReportRejected),
		InputCancel:   to(StateSteady, EffectReportRejected),
		// The old process is lost: restarting it comes before the change.
		InputOldGone:  to(StateDown, EffectReportRejected),
		InputOldHung:  to(StateDown, EffectKillOld, EffectReportRejected),
		InputShutdown: to(StateStopping, EffectReportRejected, EffectEndAll),
	},
	StateWarming: {
		InputNewReady: to(StateQuiescing, EffectQuiesceOld),
		// The new process failed before it was needed: the old one serves on.
		InputNewGone: to(StateSteady, EffectReportRejected),
		InputNewHung: to(StateSteady, EffectKillNew, EffectReportRejected),
		InputTimeout: to(StateSteady, EffectKillNew, EffectReportRejected),
		InputCancel:  to(StateSteady, EffectKillNew, EffectReportRejected),
		// The old process is lost: restarting it comes before the change.
		InputOldGone:  to(StateDown, EffectKillNew, EffectReportRejected),
		InputOldHung:  to(StateDown, EffectKillNew, EffectKillOld, EffectReportRejected),
		InputShutdown: to(StateStopping, EffectReportRejected, EffectEndAll),
	},
	StateQuiescing: {
		// The lock is free: the new process takes over with the old one's state.
		InputReleased: to(StateHandingOver, EffectServeNew),
		// The old process timed out on its own and serves again.
		InputOldServes: to(StateSteady, EffectKillNew, EffectReportFellBack),
		InputNewGone:   to(StateFallingBack, EffectResumeOld),
		InputNewHung:   to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputCancel:    to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputTimeout:   to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputOldHung:   to(StateFallingBack, EffectKillNew, EffectResumeOld),
		// Its state is lost with it: start the settled generation anew.
		InputOldGone:  to(StateDown, EffectKillNew, EffectReportFellBack),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateHandingOver: {
		InputNewServes: to(StateOnTrial, EffectStandbyOld),
		// The old process timed out on its own and got the lock first.
		InputOldServes: to(StateSteady, EffectKillNew, EffectReportFellBack),
		InputDenied:    to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputNewGone:   to(StateFallingBack, EffectResumeOld),
		InputNewHung:   to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputCancel:    to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputTimeout:   to(StateFallingBack, EffectKillNew, EffectResumeOld),
		// Whether the new process serves is not known: start the settled one anew.
		InputOldGone:  to(StateDown, EffectKillNew, EffectReportFellBack),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateOnTrial: {
		// The trial passed.
		InputTimeout: to(StateSettling, EffectSettleNew),
		InputNewGone: to(StateFallingBack, EffectResumeOld),
		InputNewHung: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		// It works, but badly: it may answer the requests that it has.
		InputWorse:  to(StateFallingBack, EffectEndNew, EffectResumeOld),
		InputCancel: to(StateFallingBack, EffectEndNew, EffectResumeOld),
		// The old process took the lock back on its own.
		InputOldServes: to(StateSteady, EffectKillNew, EffectReportFellBack),
		// The new process serves, so the trial goes on without a standby.
		InputOldGone:  noted(StateOnTrial),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateSettling: {
		// The process knows before the file does: a supervisor that dies between the two
		// finds a settled process, never a settled generation that yields.
		InputSettled:   to(StateWriting, EffectWrite),
		InputNewGone:   to(StateFallingBack, EffectResumeOld),
		InputNewHung:   to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputTimeout:   to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputOldServes: to(StateSteady, EffectKillNew, EffectReportFellBack),
		InputOldGone:   noted(StateSettling),
		InputShutdown:  to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateWriting: {
		InputWritten: to(StateSteady, EffectPromote, EffectReportDone),
		// The new process knows that it is settled, so there is no way back.
		InputWriteFailed: to(StateSteady, EffectPromote, EffectReportNotPersisted),
	},
	StateFallingBack: {
		InputOldServes: to(StateSteady, EffectEndNew, EffectReportFellBack),
		InputOldGone:   to(StateDown, EffectKillNew, EffectReportFellBack),
		// Neither serves: start the settled generation anew.
		InputTimeout:  to(StateDown, EffectKillNew, EffectKillOld, EffectReportFellBack),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateStopping: {
		InputAllGone: to(StateStopped),
	},
	StateStopped: {},
}
