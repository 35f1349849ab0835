package supervisor

import (
	"cmp"
	"fmt"

	"quilldoor/internal/handoff"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgrade"
)

// handleTool carries out a tool's command. A change is answered when it has ended.
func (s *Supervisor) handleTool(c *connection) {
	m := c.message
	switch m.Kind {
	case handoff.KindStatus:
		s.answer(c, true, "")
	case handoff.KindRollout:
		s.handleRolloutCommand(c, m.Command)
	case handoff.KindApply:
		s.apply(c, &handoff.Manifest{Program: m.Program, Config: m.Config, Operator: m.Operator})
	case handoff.KindRollBack:
		s.rollBack(c)
	default:
		s.answer(c, false, "not a tool's message: %v", m.Kind)
	}
}

// answer sends the final report.
func (s *Supervisor) answer(c *connection, ok bool, format string, args ...any) {
	c.replyAndClose(&handoff.Message{
		Kind: handoff.KindReport, Note: fmt.Sprintf(format, args...), OK: ok, Final: true, Status: s.status(),
	})
}

// apply begins a change. What the manifest leaves out stays as it is.
func (s *Supervisor) apply(c *connection, asked *handoff.Manifest) {
	if s.machine.Busy() {
		s.answer(c, false, "refused: %v", s.machine.State)
		return
	}
	s.tools = append(s.tools, c.conn)
	s.change = &change{manifest: asked}
	s.feed(upgrade.InputApply)
}

// rollBack cancels a change in progress, or changes to the previous generation.
func (s *Supervisor) rollBack(c *connection) {
	previous := s.file.Previous
	switch {
	case s.machine.State == upgrade.StateSteady && previous == nil:
		s.answer(c, false, "there is no generation before the settled one")
	case s.machine.State == upgrade.StateSteady:
		s.apply(c, settingsOf(previous))
	case s.change != nil && len(s.tools) < maxConnections:
		s.tools = append(s.tools, c.conn)
		s.noteReason("the operator wants the present generation back")
		s.feed(upgrade.InputCancel)
	default:
		s.answer(c, false, "nobody serves: %v", s.machine.State)
	}
}

// settingsOf are a generation's program and settings, for another generation.
func settingsOf(m *handoff.Manifest) *handoff.Manifest {
	return &handoff.Manifest{Program: m.Program, Config: m.Config, Operator: m.Operator}
}

// handleRolloutCommand gives the rollout an operator's command; 0 only asks for its status.
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
		reply(false, "no plan: "+cmp.Or(s.rollout.planError, "keep.plan names none that is there"))
	case command == 0:
		reply(true, "")
	case command == rollout.CommandStart && node.Status().Recovering:
		reply(false, "this router has lost what it knew, and asks the others")
	default:
		node.Command(s.now(), command)
		reply(true, "notified; quilldoor rollout status shows what becomes of it")
	}
}
