package emulator

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/rollout"
	"quilldoor/internal/scenario"
)

// readyTimeoutSeconds is the time limit for a generation to become ready.
const readyTimeoutSeconds = 3

// RunningRouters controls the router processes of a run on sockets, for upgrades, rollouts and
// faults. Its methods may be called from any goroutine except the one of the run's loop.
type RunningRouters struct{ *socketRun }

// Count is the number of routers.
func (s *RunningRouters) Count() int { return len(s.routers) }

// SupervisorDir is the path of the folder of a router's supervisor.
func (s *RunningRouters) SupervisorDir(router int) string { return s.routers[router].supervisorDir() }

// OperatorPath is the path of a router's operator configuration.
func (s *RunningRouters) OperatorPath(router int) string { return s.routers[router].operatorPath() }

// LogPath is the path of the log file that all processes of a supervised router append to.
func (s *RunningRouters) LogPath(router int) string { return s.routers[router].logPath() }

// View queries a router's membership view.
func (s *RunningRouters) View(router int) (*membership.View, error) {
	return transport.Query([]byte(membershipKey), routerName(router), s.routers[router].membershipAddr)
}

// ConfigPath is the path of the configuration file that the platform writes for a router.
func (s *RunningRouters) ConfigPath(router int) string { return s.routers[router].configPath() }

// PlanPath is the path from which the routers load a rollout plan. The run doesn't create the file.
func (s *RunningRouters) PlanPath() string { return s.planPath() }

// Name is a router's name in the membership, and its office.
func (s *RunningRouters) Name(router int) (name, office string) {
	return routerName(router), scenario.Zone(s.simulation.Office(router))
}

// Rollout sends a rollout command to a router and returns the rollout's status. The command 0 only
// requests the status.
func (s *RunningRouters) Rollout(router int, command rollout.Command) (*rollout.Status, error) {
	reply, err := s.CallSupervisor(router, &handoff.Message{Kind: handoff.KindRollout, Command: command})
	if err != nil {
		return nil, err
	}
	if !reply.OK || reply.Rollout == nil {
		return nil, errors.New(reply.Note)
	}
	return reply.Rollout, nil
}

// ClientAddr is the address on which a router listens for clients.
func (s *RunningRouters) ClientAddr(router int) string { return s.routers[router].clientAddr }

// CallSupervisor sends a message to a router's supervisor and returns its last reply.
func (s *RunningRouters) CallSupervisor(router int, message *handoff.Message) (*handoff.Message, error) {
	return s.routers[router].callSupervisor(message)
}

// Status requests the status of a router's supervisor.
func (s *RunningRouters) Status(router int) (*handoff.Status, error) {
	return s.routers[router].supervisorStatus()
}

// WaitStatus polls a router's supervisor until its status satisfies reached. An error after the
// time limit holds the last status.
func (s *RunningRouters) WaitStatus(
	router int, within time.Duration, reached func(*handoff.Status) bool,
) (*handoff.Status, error) {
	const pollInterval = 5 * time.Millisecond
	var last *handoff.Status
	var err error
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if s.ctx.Err() != nil {
			return last, s.ctx.Err()
		}
		var status *handoff.Status
		if status, err = s.Status(router); err == nil {
			if last = status; reached(status) {
				return status, nil
			}
		}
	}
	timeout := fmt.Errorf("router %d has not reached the wanted status after %v; last status: %+v", router, within, last)
	return last, errors.Join(timeout, err)
}

// signalKinds are the kinds of event log entries for the signals that affect which answers a router
// owes.
var signalKinds = map[syscall.Signal]eventlog.Kind{
	syscall.SIGKILL: eventlog.KindCrashed,
	syscall.SIGSTOP: eventlog.KindRouterSuspended,
	syscall.SIGCONT: eventlog.KindRouterResumed,
}

// Signal sends a signal to a process of a router and records it in the event log: a killed process
// owes no answers, and the checker excuses requests that fall due while a process is suspended.
func (s *RunningRouters) Signal(router, pid int, signal syscall.Signal) error {
	err := s.callInLoop(func() error {
		if kind := signalKinds[signal]; kind != "" {
			s.Record(&eventlog.Entry{Kind: kind, At: s.simulation.Now(), Router: router})
		}
		return syscall.Kill(pid, signal)
	})
	if err == nil && signal == syscall.SIGKILL {
		s.waitExited(router, pid)
	}
	return err
}

// callInLoop calls a function in the run's loop and returns its error, or the context's error if
// the run is over.
func (s *RunningRouters) callInLoop(call func() error) error {
	done := make(chan error, 1)
	s.runInLoop(func() { done <- call() })
	select {
	case err := <-done:
		return err
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// waitExited waits until a killed process has exited, and records the crash again. On a busy machine
// the exit takes milliseconds, during which the kernel still accepts connections for the process.
// The second entry excuses the requests on these connections.
func (s *RunningRouters) waitExited(router, pid int) {
	for s.ctx.Err() == nil {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		_, state, ok := strings.Cut(string(stat), ") ")
		// The main thread may have exited while other threads still hold the sockets open.
		threads, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
		if err != nil || !ok || len(threads) <= 1 && (state[0] == 'Z' || state[0] == 'X') {
			break
		}
		time.Sleep(time.Millisecond)
	}
	s.ExcuseCrash(router)
}

// ExcuseCrash records that a router's supervisor has killed, or will kill, a process of the router,
// which then owes no answers.
func (s *RunningRouters) ExcuseCrash(router int) {
	s.runInLoop(func() { s.Record(&eventlog.Entry{Kind: eventlog.KindCrashed, At: s.simulation.Now(), Router: router}) })
}

// KillSupervisor kills only a router's supervisor. Its generations keep running.
func (s *RunningRouters) KillSupervisor(router int) error {
	process := s.routers[router]
	var exited <-chan struct{}
	err := s.callInLoop(func() error {
		process.killed = true
		process.orphanGroups = append(process.orphanGroups, process.cmd.Process.Pid)
		exited = process.exited
		return process.cmd.Process.Kill()
	})
	if s.ctx.Err() != nil {
		return err
	}
	<-exited
	return err
}

// StartSupervisor starts a router's supervisor again with the same configuration and folder.
func (s *RunningRouters) StartSupervisor(router int) error {
	return s.callInLoop(s.routers[router].launch)
}

// Restart stops a router that has no supervisor with SIGTERM, as a planned restart does, and starts
// it again once its process has exited.
func (s *RunningRouters) Restart(router int) error {
	process := s.routers[router]
	err := s.callInLoop(func() error {
		process.killed = true
		return process.cmd.Process.Signal(syscall.SIGTERM)
	})
	if err != nil {
		return err
	}
	<-process.exited
	return s.callInLoop(func() error {
		s.Record(&eventlog.Entry{Kind: eventlog.KindRouterDown, At: s.simulation.Now(), Router: router})
		s.Record(&eventlog.Entry{Kind: eventlog.KindRouterUp, At: s.simulation.Now(), Router: router})
		return process.start(s.simulation.EndpointList())
	})
}
