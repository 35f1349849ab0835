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
	Judged      int                    // requests that the checker has checked
	MaxDelay    int64                  `json:"Late"` // on sockets: the emulator's longest delay, in microseconds

	Cost               Cost     // on sockets: the resources that the router processes used
	LateNotices        int      `json:",omitempty"` // endpoints overloaded before routers were notified of their start
	Unsent             int      `json:",omitempty"` // attempts to endpoints gone without notice that ended without a connection
	Excused            int      // requests due while their router was suspended, or whose process was killed
	BrokenConnections  int      `json:"Broke"`   // on sockets: client connections that broke before an answer
	RefusedConnections int      `json:"Refused"` // on sockets: client connections that routers did not accept
	Members            *Members // nil: the scenario has no membership
}

// Cost is the resource use of the router processes.
type Cost struct {
	CPU         time.Duration // of all processes together
	MaxMemoryKB int64         `json:"MostKB"` // of the process that used most
}

// MaxDelayMicros is the Result.MaxDelay above which a run on sockets is invalid: the emulator's own
// delay exceeds the time by which answers may be late.
const MaxDelayMicros = socketAnswerSlackMicros

// CheckerSettings returns the checker's settings for a scenario. Slack is the time by which an
// answer may be later than its deadline, in microseconds.
func CheckerSettings(s *scenario.Scenario, slack int64) checker.Settings {
	// The time after which the platform counts a posted discovery event as known to all routers.
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
