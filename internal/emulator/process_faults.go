package emulator

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"quilldoor/internal/simulation"
)

// Down kills a router outright.
func (v *socketRun) Down(router int) {
	r := v.routers[router]
	for _, request := range r.requests {
		request.cancel()
	}
	r.requests = map[string]*clientRequest{}
	r.kill()
}

// Up starts a router again, with the endpoint list as it is.
func (v *socketRun) Up(router int, known []simulation.Server) {
	if err := v.routers[router].start(known); err != nil {
		v.fail(err)
	}
}

// Stop pauses a router. Its machine still accepts connections and buffers what comes.
func (v *socketRun) Stop(router int) { v.routers[router].signal(syscall.SIGSTOP) }

// Wake lets a paused router go on.
func (v *socketRun) Wake(router int) { v.routers[router].signal(syscall.SIGCONT) }

// signal sends a signal to the router's process, if it has not been killed.
func (r *routerProcess) signal(s os.Signal) {
	if err := r.cmd.Process.Signal(s); err != nil && !r.killed {
		r.fail(fmt.Errorf("router n%d: %w", r.id+1, err))
	}
}

// starveSlice is how often a starved router is paused.
const starveSlice = 20 * time.Millisecond

// Starve takes a share of a router's CPU away, some milliseconds at a time, as a
// busy neighbour on its core does. Share 0 ends it.
func (v *socketRun) Starve(router int, share float64) {
	r := v.routers[router]
	r.stopStarving()
	if share == 0 {
		return
	}
	ticker := time.NewTicker(starveSlice)
	r.starveTicker = ticker
	cmd := r.cmd
	pause := time.Duration(share * float64(starveSlice))
	v.goroutines.Go(func() {
		for {
			select {
			case <-ticker.C:
			case <-v.ctx.Done():
				return
			}
			v.runInLoop(func() {
				if r.starveTicker == ticker {
					r.pauseFor(cmd, pause)
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

// pauseFor stops a process for some time, unless it has been replaced, killed or stopped by
// the scenario.
func (r *routerProcess) pauseFor(cmd *exec.Cmd, pause time.Duration) {
	runs := func() bool { return r.cmd == cmd && !r.killed && !r.world.Stopped(r.id) }
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
