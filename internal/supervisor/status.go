package supervisor

import (
	"os"
	"time"

	"quilldoor/internal/handoff"
)

// status returns the supervisor's status report.
func (s *Supervisor) status() *handoff.Status {
	return &handoff.Status{
		State:             s.machine.State.String(),
		SinceMS:           (s.now() - s.machine.SinceMicros()) / 1000,
		Serving:           s.processStatus(s.old),
		Next:              s.processStatus(s.new),
		Settled:           s.file.Settled,
		Previous:          s.file.Previous,
		LastOutcome:       s.lastOutcome,
		Persistent:        s.persistent,
		SupervisorPID:     os.Getpid(),
		Restarts:          max(s.settledStarts-1, 0),
		LastCrashMS:       s.lastCrashMS,
		DrainingProcesses: len(s.draining),
		PeakMB:            s.peakUsage.MemoryMB,
		PeakDescriptors:   s.peakUsage.Descriptors,
	}
}

// processStatus returns a process's part of the status report, nil without a process.
func (s *Supervisor) processStatus(p *process) *handoff.Process {
	if p == nil {
		return nil
	}
	return &handoff.Process{
		Generation:     p.manifest.Generation,
		PID:            p.pid,
		AgentState:     p.agentState.String(),
		MemoryMB:       p.usage.MemoryMB,
		Descriptors:    p.usage.Descriptors,
		Requests:       p.requests,
		HeartbeatAgeMS: time.Since(p.lastMessageAt).Milliseconds(),
		ViolatedRule:   s.violations(p, nil).Text,
	}
}
