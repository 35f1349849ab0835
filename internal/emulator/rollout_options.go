package emulator

import (
	"quilldoor/internal/rollout"
)

// RolloutOptions are the options of a rollout on the virtual clock. It uses the rollout nodes and
// the invariant monitors of the router itself. Messages arrive at the next tick, upgrades take
// TrialS, and the new program differs from the old one only by the faults below.
type RolloutOptions struct {
	Plan       *rollout.Plan
	StartS     float64 // start of the rollout, in seconds from the start of the run
	TrialS     float64 // duration of a router's upgrade, in seconds
	NoAnalysis bool    // stages pass once their time is over, without canary analysis
	AllAtOnce  bool    // all routers change at StartS, without rollout nodes and canary analysis

	// The faults of the new program.
	RejectShare        float64 // share of the requests that it rejects although it could serve them
	RejectClass        string  // the only traffic class that it rejects; "": all
	RejectOnceComplete bool    // it rejects only once all routers run it
	ExtraTimeShare     float64 // time added to its attempts, as a share of their duration
	MissesDrains       bool    // it misses changes of the endpoint list
	MissesPurges       bool    // it misses purges
}

// RolloutResult is the result of a run with a rollout. Times are seconds from the start of the run.
type RolloutResult struct {
	*Result
	Phase           rollout.Phase
	Stage           int
	Reason          string  // reason for the phase
	EndS            float64 // when the rollout was done or rolled back; 0: it was neither
	RollbackStartS  float64 // when the rollback began; 0: there was none
	FirstHarmS      float64 // when the new program first rejected, delayed or missed something; 0: never
	HarmedRequests  int     // number of requests that the new program rejected or delayed
	AccusedRouters  int     // number of routers whose monitor detected a violation
	UpgradedRouters int     // number of routers that run the new program at the end
}
