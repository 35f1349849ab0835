package emulator

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"quilldoor/internal/simulation"
)

// Down kills a router outright.
func (v *socketRun) Down(router int) {
	r := v.routers[router]
	for _, x := range r.requests {
		x.cancel()
	}
	r.requests = map[string]*clientRequest{}
	r.kill()
}

// Up starts it again.
func (v *socketRun) Up(router int, known []simulation.Server) {
	if err := v.routers[router].start(known); err != nil {
		v.fail(err)
	}
}

// Stop lets a router stand still; its machine still accepts connections and keeps
// what comes.
func (v *socketRun) Stop(router int) { v.routers[router].signal(syscall.SIGSTOP) }

// Wake lets it go on.
func (v *socketRun) Wake(router int) { v.routers[router].signal(syscall.SIGCONT) }

func (r *routerProcess) signal(s os.Signal) {
	if err := r.cmd.Process.Signal(s); err != nil && !r.killed {
		r.fail(fmt.Errorf("router n%d: %w", r.id+1, err))
	}
}

// Starve takes a share of a router's CPU away, some milliseconds at a time, as a
// busy neighbour on its core does.
func (v *socketRun) Starve(router int, share float64) {
	const slice = 20 * time.Millisecond
	r := v.routers[router]
	if r.starveTicker != nil {
		r.starveTicker.Stop()
		r.starveTicker = nil
	}
	if share == 0 {
		return
	}
	r.starveTicker = time.NewTicker(slice)
	ticker, cmd := r.starveTicker, r.cmd
	v.goroutines.Go(func() {
		for {
			select {
			case <-ticker.C:
			case <-v.ctx.Done():
				return
			}
			v.runInLoop(func() {
				if r.starveTicker != ticker || r.cmd != cmd || r.killed || v.world.Stopped(router) {
					return
				}
				r.signal(syscall.SIGSTOP)
				time.AfterFunc(time.Duration(share*float64(slice)), func() {
					v.runInLoop(func() {
						if r.cmd == cmd && !r.killed && !v.world.Stopped(router) {
							r.signal(syscall.SIGCONT)
						}
					})
				})
			})
		}
	})
}
