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

// readyTimeoutSeconds is how long a generation may take to get ready.
const readyTimeoutSeconds = 3

// RunningRouters gives access to the router processes of a run on sockets: upgrades, rollouts and
// faults go through it. Its methods may be called from any goroutine but the run's loop.
type RunningRouters struct{ *socketRun }

// Count is the number of routers.
func (s *RunningRouters) Count() int { return len(s.routers) }

// SupervisorDir is the folder of a router's supervisor.
func (s *RunningRouters) SupervisorDir(router int) string { return s.routers[router].supervisorDir() }

// Operator is the file of a router's operator configuration.
func (s *RunningRouters) Operator(router int) string { return s.routers[router].operatorPath() }

// Log is the file that a supervised router's processes log to.
func (s *RunningRouters) Log(router int) string { return s.routers[router].logPath() }

// View asks a router for its membership view.
func (s *RunningRouters) View(router int) (*membership.View, error) {
	return transport.Query([]byte(membershipKey), routerName(router), s.routers[router].membershipAddr)
}

// Config is the file of the platform's configuration of a router.
func (s *RunningRouters) Config(router int) string { return s.routers[router].configPath() }

// Plan is the file where the routers look for a rollout plan. The run doesn't create it.
func (s *RunningRouters) Plan() string { return s.planPath() }

// Name is a router's member name and its office.
func (s *RunningRouters) Name(router int) (name, office string) {
	return routerName(router), scenario.Zone(s.simulation.Office(router))
}

// Rollout gives a router a command on the rollout and returns the rollout's status. 0: only
// the status.
func (s *RunningRouters) Rollout(router int, command rollout.Command) (*rollout.Status, error) {
	reply, err := s.Ask(router, &handoff.Message{Kind: handoff.KindRollout, Command: command})
	if err != nil {
		return nil, err
	}
	if !reply.OK || reply.Rollout == nil {
		return nil, errors.New(reply.Note)
	}
	return reply.Rollout, nil
}

// Listen is the address where clients reach a router.
func (s *RunningRouters) Listen(router int) string { return s.routers[router].clientAddr }

// Ask sends a message to a router's supervisor and returns its last reply.
func (s *RunningRouters) Ask(router int, message *handoff.Message) (*handoff.Message, error) {
	return s.routers[router].callSupervisor(message)
}

// Status is the status of a router's supervisor.
func (s *RunningRouters) Status(router int) (*handoff.Status, error) {
	return s.routers[router].supervisorStatus()
}

// WaitStatus polls a router's supervisor until its status satisfies reached, or time is over.
func (s *RunningRouters) WaitStatus(
	router int, within time.Duration, reached func(*handoff.Status) bool,
) (*handoff.Status, error) {
	const interval = 5 * time.Millisecond
	var last *handoff.Status
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(interval) {
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
	timeout := fmt.Errorf("router %d has not reached the wanted status after %v: %+v", router, within, last)
	return last, errors.Join(timeout, err)
}

// signalKinds are the event log's entries for signals that change what is expected of a router.
var signalKinds = map[syscall.Signal]eventlog.Kind{
	syscall.SIGKILL: eventlog.KindCrashed,
	syscall.SIGSTOP: eventlog.KindRouterSuspended,
	syscall.SIGCONT: eventlog.KindRouterResumed,
}

// Signal sends a signal to a process of a router and notes it in the event log: a killed
// process owes no answers, and what fell due while one was suspended is counted apart.
func (s *RunningRouters) Signal(router, pid int, signal syscall.Signal) error {
	err := s.callInLoop(func() error {
		if kind := signalKinds[signal]; kind != "" {
			s.Record(&eventlog.Entry{Kind: kind, At: s.simulation.Now(), Router: router})
		}
		return syscall.Kill(pid, signal)
	})
	if err == nil && signal == syscall.SIGKILL {
		s.waitGone(router, pid)
	}
	return err
}

// callInLoop calls a function in the run's loop and returns its error, or the context's if
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

// waitGone waits until a killed process has ended, and notes the crash again. On a busy
// machine that takes milliseconds, in which the system still accepts connections for it:
// it owes no answers on these either.
func (s *RunningRouters) waitGone(router, pid int) {
	for s.ctx.Err() == nil {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		_, state, ok := strings.Cut(string(stat), ") ")
		// The first thread may have ended while others still hold the sockets open.
		threads, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
		if err != nil || !ok || len(threads) <= 1 && (state[0] == 'Z' || state[0] == 'X') {
			break
		}
		time.Sleep(time.Millisecond)
	}
	s.ExcuseCrash(router)
}

// ExcuseCrash notes that a process of a router has been, or will be, killed by its supervisor:
// it owes no answers.
func (s *RunningRouters) ExcuseCrash(router int) {
	s.runInLoop(func() { s.Record(&eventlog.Entry{Kind: eventlog.KindCrashed, At: s.simulation.Now(), Router: router}) })
}

// KillSupervisor kills a router's supervisor alone. Its generations run on.
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

// StartSupervisor starts a router's supervisor again, on the same machine.
func (s *RunningRouters) StartSupervisor(router int) error {
	return s.callInLoop(s.routers[router].launch)
}

// Restart ends a router that has no supervisor by SIGTERM, as a planned restart does, and
// starts it again once it has ended.
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
