package emulator

import (
	"time"

	"quilldoor/internal/checker"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// Result is what came of a run.
type Result struct {
	*simulation.Result
	Breaks []checker.Violation
	Count  [6]int // broken, by rule
	Judged int
	Late   int64 // on sockets: how late the model was at most, in microseconds

	Cost    Cost     // on sockets: of all router processes
	Excused int      // txns that fell due while their router stood still, or whose process was killed
	Broke   int      // on sockets: connections that ended without an answer, not by their client
	Refused int      // on sockets: connections
	Members *Members // nil: routers don't know each other
}

// Cost is what processes used: CPU of all together, memory of the largest.
type Cost struct {
	CPU    time.Duration
	MostKB int64
}

// TooLate is when a run on sockets tells nothing: the model itself broke the
// graces that routers are judged by.
const TooLate = 100_000

// Figures of the rules for a script.
func Figures(s *scenario.Scenario, slack int64) checker.Settings {
	const toldBy = 7_000_000 // the platform's page: what the board has counts as told 7 s later
	f := &s.Fleet
	return checker.Settings{
		Classes: s.Classes(), AnswerSlack: slack, DrainGrace: int64(f.DrainGraceMS * 1000),
		PurgeGrace: int64(f.PurgeGraceMS * 1000), NotificationDeadline: toldBy,
	}
}
