package emulator

import (
	"time"

	"quilldoor/internal/checker"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// Result is the result of a run.
type Result struct {
	*simulation.Result
	Violations  []checker.Violation    `json:"Breaks"`
	CountByRule [checker.RuleCount]int `json:"Count"` // violations by rule
	Judged      int                    // requests that the checker judged
	MaxDelay    int64                  `json:"Late"` // on sockets: the emulator's longest delay, in microseconds

	Cost               Cost     // on sockets: what the router processes used
	LateNotices        int      `json:",omitempty"` // endpoints that fell over before routers were notified of their start
	Excused            int      // requests due while their router was suspended, or whose process was killed
	BrokenConnections  int      `json:"Broke"`   // on sockets: those that ended without an answer, not by their client
	RefusedConnections int      `json:"Refused"` // on sockets: those that routers did not accept
	Members            *Members // nil: routers don't know each other
}

// Cost is what processes used: the CPU time of all together, the memory of the largest.
type Cost struct {
	CPU         time.Duration
	MaxMemoryKB int64 `json:"MostKB"`
}

// MaxDelayMicros is the Result.MaxDelay beyond which a run on sockets proves nothing: the
// emulator itself used up the time that routers are allowed.
const MaxDelayMicros = socketAnswerSlackMicros

// CheckerSettings are the checker's settings for a scenario. Slack is how much later than its deadline
// an answer may come, in microseconds.
func CheckerSettings(s *scenario.Scenario, slack int64) checker.Settings {
	// The platform counts a discovery event as known to a router so long after it was posted.
	const notificationMicros = 7 * microsPerSecond
	fleet := &s.Fleet
	return checker.Settings{
		Classes:              s.Classes(),
		AnswerSlack:          slack,
		DrainGrace:           int64(fleet.DrainGraceMS * microsPerMilli),
		PurgeGrace:           int64(fleet.PurgeGraceMS * microsPerMilli),
		NotificationDeadline: notificationMicros,
		OverloadWindow:       int64(fleet.OverloadMS * microsPerMilli),
	}
}
