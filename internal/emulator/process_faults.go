package emulator

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"quilldoor/internal/simulation"
)

// Down kills a router outright.
func (v *sockets) Down(router int) {
	r := v.routers[router]
	for _, x := range r.asks {
		x.cancel()
	}
	r.asks = map[string]*asked{}
	r.end()
}

// Up starts it again.
func (v *sockets) Up(router int, known []simulation.Server) {
	if err := v.routers[router].run(known); err != nil {
		v.failed(err)
	}
}

// Stop lets a router stand still; its machine still accepts connections and keeps
// what comes.
func (v *sockets) Stop(router int) { v.routers[router].signal(syscall.SIGSTOP) }

// Wake lets it go on.
func (v *sockets) Wake(router int) { v.routers[router].signal(syscall.SIGCONT) }

func (r *process) signal(s os.Signal) {
	if err := r.cmd.Process.Signal(s); err != nil && !r.killed {
		r.failed(fmt.Errorf("router n%d: %w", r.id+1, err))
	}
}

// Starve takes a share of a router's CPU away, some milliseconds at a time, as a
// busy neighbour on its core does.
func (v *sockets) Starve(router int, share float64) {
	const slice = 20 * time.Millisecond
	r := v.routers[router]
	if r.starved != nil {
		r.starved.Stop()
		r.starved = nil
	}
	if share == 0 {
		return
	}
	r.starved = time.NewTicker(slice)
	ticker, cmd := r.starved, r.cmd
	v.all.Go(func() {
		for {
			select {
			case <-ticker.C:
			case <-v.ctx.Done():
				return
			}
			v.send(func() {
				if r.starved != ticker || r.cmd != cmd || r.killed || v.world.Stopped(router) {
					return
				}
				r.signal(syscall.SIGSTOP)
				time.AfterFunc(time.Duration(share*float64(slice)), func() {
					v.send(func() {
						if r.cmd == cmd && !r.killed && !v.world.Stopped(router) {
							r.signal(syscall.SIGCONT)
						}
					})
				})
			})
		}
	})
}
