package emulator

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"quilldoor/internal/policy"
)

// KillRouter kills a router's processes with SIGKILL.
func (s *socketRun) KillRouter(routerID int) {
	process := s.routers[routerID]
	for _, request := range process.requests {
		request.cancel()
	}
	process.requests = map[string]*clientRequest{}
	process.kill()
}

// StartRouter starts a router again with the given endpoint list.
func (s *socketRun) StartRouter(routerID int, endpoints []policy.Endpoint) {
	if err := s.routers[routerID].start(endpoints); err != nil {
		s.fail(err)
	}
}

// SuspendRouter suspends a router. The kernel still accepts its connections and buffers the
// bytes that arrive.
func (s *socketRun) SuspendRouter(routerID int) { s.routers[routerID].signal(syscall.SIGSTOP) }

// ResumeRouter resumes a suspended router.
func (s *socketRun) ResumeRouter(routerID int) { s.routers[routerID].signal(syscall.SIGCONT) }

// signal sends a signal to the router's process. An error ends the run, unless the process has
// been killed.
func (r *routerProcess) signal(sig os.Signal) {
	if err := r.cmd.Process.Signal(sig); err != nil && !r.killed {
		r.fail(fmt.Errorf("router %s: sending %v: %w", r.platformName(), sig, err))
	}
}

// starvePeriod is the interval between the pauses of a starved router.
const starvePeriod = 20 * time.Millisecond

// StarveRouter takes a share of a router's CPU away by pausing it for a few milliseconds in each
// starvePeriod, as a busy process on the same core would. Share 0 ends the pauses.
func (s *socketRun) StarveRouter(routerID int, share float64) {
	process := s.routers[routerID]
	process.stopStarving()
	if share == 0 {
		return
	}
	ticker := time.NewTicker(starvePeriod)
	process.starveTicker = ticker
	cmd := process.cmd
	pause := time.Duration(share * float64(starvePeriod))
	s.goroutines.Go(func() {
		for {
			select {
			case <-ticker.C:
			case <-s.ctx.Done():
				return
			}
			s.runInLoop(func() {
				if process.starveTicker == ticker {
					process.pauseFor(cmd, pause)
				}
			})
		}
	})
}

// stopStarving ends the pauses that StarveRouter began.
func (r *routerProcess) stopStarving() {
	if r.starveTicker != nil {
		r.starveTicker.Stop()
		r.starveTicker = nil
	}
}

// pauseFor stops a process for the given time, unless it has been replaced or killed, or the
// scenario has suspended it.
func (r *routerProcess) pauseFor(cmd *exec.Cmd, pause time.Duration) {
	running := func() bool { return r.cmd == cmd && !r.killed && !r.simulation.Suspended(r.id) }
	if !running() {
		return
	}
	r.signal(syscall.SIGSTOP)
	time.AfterFunc(pause, func() {
		r.runInLoop(func() {
			if running() {
				r.signal(syscall.SIGCONT)
			}
		})
	})
}
