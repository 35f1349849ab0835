package emulator

import (
	"errors"
	"fmt"
	"path/filepath"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgradeagent"
)

// operatorPath is the path of the router's operator configuration.
func (r *routerProcess) operatorPath() string { return r.file(".yaml") }

// logPath is the path of the log file that all processes of a supervised router append to.
func (r *routerProcess) logPath() string { return r.file(".log") }

// supervisorDir is the folder of the router's supervisor.
func (r *routerProcess) supervisorDir() string {
	return filepath.Join(r.dir, fmt.Sprintf("k%d", r.id+1))
}

// planPath is the path from which the routers load a rollout plan.
func (s *socketRun) planPath() string { return filepath.Join(s.dir, "plan.yaml") }

// callSupervisor sends a message to the router's supervisor and returns its last reply.
func (r *routerProcess) callSupervisor(message *handoff.Message) (*handoff.Message, error) {
	return handoff.Request(filepath.Join(r.supervisorDir(), upgradeagent.SocketName), message, nil)
}

// supervisorStatus requests the status of the router's supervisor.
func (r *routerProcess) supervisorStatus() (*handoff.Status, error) {
	reply, err := r.callSupervisor(&handoff.Message{Kind: handoff.KindStatus})
	if err != nil {
		return nil, err
	}
	if reply.Status == nil {
		return nil, errors.New("the supervisor's reply has no status")
	}
	return reply.Status, nil
}
