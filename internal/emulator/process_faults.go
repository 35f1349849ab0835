package emulator

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"quilldoor/internal/policy"
)

// KillRouter kills a router outright.
func (s *socketRun) KillRouter(routerID int) {
	process := s.routers[routerID]
	for _, request := range process.requests {
		request.cancel()
	}
	process.requests = map[string]*clientRequest{}
	process.kill()
}

// StartRouter starts a router again, with the endpoint list as it is.
func (s *socketRun) StartRouter(routerID int, known []policy.Endpoint) {
	if err := s.routers[routerID].start(known); err != nil {
		s.fail(err)
	}
}

// SuspendRouter suspends a router. Its machine still accepts connections and buffers what comes.
func (s *socketRun) SuspendRouter(routerID int) { s.routers[routerID].signal(syscall.SIGSTOP) }

// ResumeRouter lets a suspended router go on.
func (s *socketRun) ResumeRouter(routerID int) { s.routers[routerID].signal(syscall.SIGCONT) }

// signal sends a signal to the router's process, if it has not been killed.
func (r *routerProcess) signal(s os.Signal) {
	if err := r.cmd.Process.Signal(s); err != nil && !r.killed {
		r.fail(fmt.Errorf("router %s: %w", r.platformName(), err))
	}
}

// starveSlice is how often a starved router is paused.
const starveSlice = 20 * time.Millisecond

// StarveRouter takes a share of a router's CPU away, some milliseconds at a time, as a
// busy neighbour on its core does. Share 0 ends it.
func (s *socketRun) StarveRouter(routerID int, share float64) {
	process := s.routers[routerID]
	process.stopStarving()
	if share == 0 {
		return
	}
	ticker := time.NewTicker(starveSlice)
	process.starveTicker = ticker
	cmd := process.cmd
	pause := time.Duration(share * float64(starveSlice))
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

func (r *routerProcess) stopStarving() {
	if r.starveTicker != nil {
		r.starveTicker.Stop()
		r.starveTicker = nil
	}
}

// pauseFor stops a process for some time, unless it has been replaced, killed or suspended by
// the scenario.
func (r *routerProcess) pauseFor(cmd *exec.Cmd, pause time.Duration) {
	runs := func() bool { return r.cmd == cmd && !r.killed && !r.simulation.Suspended(r.id) }
	if !runs() {
		return
	}
	r.signal(syscall.SIGSTOP)
	time.AfterFunc(pause, func() {
		r.runInLoop(func() {
			if runs() {
				r.signal(syscall.SIGCONT)
			}
		})
	})
}
