package supervisor

import (
	"cmp"
	"fmt"

	"quilldoor/internal/handoff"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgrade"
)

// handleTool carries out a tool's command. The final report of a change follows when the
// change has ended.
func (s *Supervisor) handleTool(c *connection) {
	m := c.message
	switch m.Kind {
	case handoff.KindStatus:
		s.sendFinalReport(c, true, "")
	case handoff.KindRollout:
		s.handleRolloutCommand(c, m.Command)
	case handoff.KindApply:
		s.apply(c, &handoff.Manifest{Program: m.Program, Config: m.Config, Operator: m.Operator})
	case handoff.KindRollBack:
		s.rollBack(c)
	default:
		s.sendFinalReport(c, false, "messages of kind %q are not accepted from a tool", m.Kind)
	}
}

// sendFinalReport sends the final report, with the supervisor's status, and closes the
// connection.
func (s *Supervisor) sendFinalReport(c *connection, ok bool, format string, args ...any) {
	c.replyAndClose(&handoff.Message{
		Kind: handoff.KindReport, Note: fmt.Sprintf(format, args...), OK: ok, Final: true, Status: s.status(),
	})
}

// apply begins a change. Paths that are empty in the request stay those of the settled
// generation.
func (s *Supervisor) apply(c *connection, requested *handoff.Manifest) {
	if s.machine.Busy() {
		s.sendFinalReport(c, false, "refused: no change can begin in the state %v", s.machine.State)
		return
	}
	s.waitingTools = append(s.waitingTools, c.conn)
	s.change = &change{manifest: requested}
	s.feed(upgrade.InputApply)
}

// rollBack cancels a change in progress, or changes to the previous generation.
func (s *Supervisor) rollBack(c *connection) {
	previous := s.file.Previous
	switch {
	case s.machine.State == upgrade.StateSteady && previous == nil:
		s.sendFinalReport(c, false, "there is no previous generation to roll back to")
	case s.machine.State == upgrade.StateSteady:
		s.apply(c, programAndSettings(previous))
	case s.change != nil && len(s.waitingTools) < maxConnections:
		s.waitingTools = append(s.waitingTools, c.conn)
		s.recordReason("cancelled by the operator")
		s.feed(upgrade.InputCancel)
	default:
		s.sendFinalReport(c, false, "can't roll back in the state %v", s.machine.State)
	}
}

// programAndSettings returns the request for a new generation with the program and the
// settings of another one.
func programAndSettings(m *handoff.Manifest) *handoff.Manifest {
	return &handoff.Manifest{Program: m.Program, Config: m.Config, Operator: m.Operator}
}

// handleRolloutCommand passes an operator's command to the rollout; 0 requests only its
// status.
func (s *Supervisor) handleRolloutCommand(c *connection, command rollout.Command) {
	node := s.rollout.node
	reply := func(ok bool, note string) {
		report := &handoff.Message{Kind: handoff.KindReport, OK: ok, Final: true, Note: note}
		if node != nil {
			report.Rollout = node.Status()
		}
		c.replyAndClose(report)
	}
	switch {
	case node == nil:
		reply(false, "no plan: "+cmp.Or(s.rollout.planError, "keep.plan is not set, or its file can't be read"))
	case command == 0:
		reply(true, "")
	case command == rollout.CommandStart && node.Status().Recovering:
		reply(false, "this router has lost its rollout state and is recovering it from the other routers")
	default:
		node.Command(s.now(), command)
		reply(true, "command passed on; quilldoor rollout status shows its effect")
	}
}
