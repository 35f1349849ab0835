package emulator

import (
	"quilldoor/internal/rollout"
)

// RolloutOptions is a rollout on the virtual clock. Rollout nodes and invariant monitors are the
// routers' own; messages arrive at the next step, upgrades take TrialS, and the new program
// differs from the old one by its faults.
type RolloutOptions struct {
	Plan       *rollout.Plan
	StartS     float64 // seconds into the run
	TrialS     float64 // seconds that an upgrade of a router takes
	NoAnalysis bool    // stages pass when their time is over
	AllAtOnce  bool    // all routers change at StartS, and there is no canary analysis

	// The faults of the new program.
	RejectShare        float64 // of requests that it rejects without need
	RejectClass        string  // the only traffic class that it rejects; "": all
	RejectOnceComplete bool    // it rejects only once all routers run it
	ExtraTimeShare     float64 // how much longer its attempts take, as a share
	MissesDrains       bool    // it misses changes of the endpoint list
	MissesPurges       bool    // it misses purges
}

// RolloutResult is the result of a run with a rollout. Times are seconds from the start of the run.
type RolloutResult struct {
	*Result
	Phase           rollout.Phase
	Stage           int
	Reason          string  // of the phase
	EndS            float64 // when the rollout was done or rolled back; 0: it was not
	RollbackStartS  float64 // 0: it was not rolled back
	FirstHarmS      float64 // when the new program first rejected, delayed or missed something; 0: never
	HarmedRequests  int     // that it rejected or delayed
	AccusedRouters  int     // that were seen to break a rule
	UpgradedRouters int     // that run the new program in the end
}
