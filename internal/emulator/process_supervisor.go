package emulator

import (
	"errors"
	"fmt"
	"path/filepath"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgradeagent"
)

// operatorPath is the file of the router's operator configuration.
func (r *routerProcess) operatorPath() string { return r.file(".yaml") }

// logPath is the file that a supervised router's processes log to.
func (r *routerProcess) logPath() string { return r.file(".log") }

// supervisorDir is the folder of the router's supervisor.
func (r *routerProcess) supervisorDir() string {
	return filepath.Join(r.dir, fmt.Sprintf("k%d", r.id+1))
}

// planPath is the file where the routers look for a rollout plan.
func (s *socketRun) planPath() string { return filepath.Join(s.dir, "plan.yaml") }

// askSupervisor sends a message to the router's supervisor and returns its last reply.
func (r *routerProcess) askSupervisor(message *handoff.Message) (*handoff.Message, error) {
	return handoff.Request(filepath.Join(r.supervisorDir(), upgradeagent.SocketName), message, nil)
}

// supervisorStatus is the status of the router's supervisor.
func (r *routerProcess) supervisorStatus() (*handoff.Status, error) {
	reply, err := r.askSupervisor(&handoff.Message{Kind: handoff.KindStatus})
	if err != nil {
		return nil, err
	}
	if reply.Status == nil {
		return nil, errors.New("a reply without a status")
	}
	return reply.Status, nil
}
