package emulator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/rollout"
	"quilldoor/internal/scenario"
	"quilldoor/internal/upgradeagent"
)

// keptReady is how long a generation may take to get ready, seconds.
const keptReady = 3

// Kept are the routers of a run on sockets whose script has them kept, for whoever
// changes them or does them harm. Its calls may come from any goroutine but the
// run's own.
type Kept struct{ *sockets }

// Count is how many there are.
func (k *Kept) Count() int { return len(k.routers) }

// Folder of a router's keeper.
func (k *Kept) Folder(i int) string { return filepath.Join(k.dir, fmt.Sprintf("k%d", i+1)) }

// Operator is the router's operator's file.
func (k *Kept) Operator(i int) string { return filepath.Join(k.dir, nameOf(i)+".yaml") }

// Log is what the router's processes have logged, in a file.
func (k *Kept) Log(i int) string { return filepath.Join(k.dir, nameOf(i)+".log") }

// View is what a router holds of the others, by its own protocol.
func (k *Kept) View(i int) (*membership.View, error) {
	return transport.Query([]byte(membersKey), nameOf(i), k.routers[i].members)
}

// Config is the platform's configuration of a router.
func (k *Kept) Config(i int) string { return k.routers[i].config() }

// Plan is where the routers look for a rollout's; it is not there at first.
func (k *Kept) Plan() string { return filepath.Join(k.dir, "plan.yaml") }

// Name of a router among members, and its office.
func (k *Kept) Name(i int) (name, office string) {
	return nameOf(i), scenario.Zone(k.world.Office(i))
}

// Rollout says a word on it to a router, 0: only asks.
func (k *Kept) Rollout(i int, c rollout.Command) (*rollout.Status, error) {
	w, err := k.Ask(i, &handoff.Message{Kind: handoff.KindRollout, Command: c})
	if err != nil {
		return nil, err
	}
	if !w.OK || w.Rollout == nil {
		return nil, errors.New(w.Note)
	}
	return w.Rollout, nil
}

// Listen is where clients reach it.
func (k *Kept) Listen(i int) string { return k.routers[i].listen }

// Ask says a word to a keeper and waits for its last report.
func (k *Kept) Ask(i int, w *handoff.Message) (*handoff.Message, error) {
	return handoff.Request(filepath.Join(k.Folder(i), upgradeagent.SocketName), w, nil)
}

// Standing is what a keeper tells of itself.
func (k *Kept) Standing(i int) (*handoff.Status, error) {
	w, err := k.Ask(i, &handoff.Message{Kind: handoff.KindStatus})
	if err != nil {
		return nil, err
	}
	if w.Status == nil {
		return nil, errors.New("a report without a standing")
	}
	return w.Status, nil
}

// Until asks a keeper time and again until it stands as wanted.
func (k *Kept) Until(i int, within time.Duration, want func(*handoff.Status) bool) (*handoff.Status, error) {
	const every = 5 * time.Millisecond
	var last *handoff.Status
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(every) {
		if k.ctx.Err() != nil {
			return last, k.ctx.Err()
		}
		var s *handoff.Status
		if s, err = k.Standing(i); err == nil {
			if last = s; want(s) {
				return s, nil
			}
		}
	}
	return last, errors.Join(fmt.Errorf("router %d does not stand as wanted after %v: %+v", i, within, last), err)
}

// signalKinds are the event log's kinds of what a signal does to a process.
var signalKinds = map[syscall.Signal]eventlog.Kind{
	syscall.SIGKILL: eventlog.KindCrashed,
	syscall.SIGSTOP: eventlog.KindRouterStopped,
	syscall.SIGCONT: eventlog.KindRouterWoken,
}

// Signal sends one to a process of a router. What it held when it was killed is no
// longer its duty; what fell due while it stood still is told apart.
func (k *Kept) Signal(i, pid int, s syscall.Signal) error {
	done := make(chan error, 1)
	k.send(func() {
		kind := signalKinds[s]
		if kind != "" {
			k.Note(&eventlog.Entry{Kind: kind, At: k.world.Now(), Router: i})
		}
		done <- syscall.Kill(pid, s)
	})
	select {
	case err := <-done:
		if err == nil && s == syscall.SIGKILL {
			k.gone(i, pid)
		}
		return err
	case <-k.ctx.Done():
		return k.ctx.Err()
	}
}

// gone waits until a process that was killed has ended. On a busy machine that takes
// milliseconds, in which the system goes on accepting connections for it: what it held
// by then was never its duty either.
func (k *Kept) gone(i, pid int) {
	for k.ctx.Err() == nil {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		_, state, ok := strings.Cut(string(stat), ") ")
		// The first thread may have ended while others still hold the sockets open.
		threads, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
		if err != nil || !ok || len(threads) <= 1 && (state[0] == 'Z' || state[0] == 'X') {
			break
		}
		time.Sleep(time.Millisecond)
	}
	k.Crashed(i)
}

// Crashed notes that a process of a router has been, or will be, killed by its
// keeper: what it holds is no longer its duty.
func (k *Kept) Crashed(i int) {
	k.send(func() { k.Note(&eventlog.Entry{Kind: eventlog.KindCrashed, At: k.world.Now(), Router: i}) })
}

// KillKeeper kills a router's keeper alone; its generations run on.
func (k *Kept) KillKeeper(i int) error {
	r := k.routers[i]
	done := make(chan error, 1)
	k.send(func() {
		r.killed, r.groups = true, append(r.groups, r.cmd.Process.Pid)
		done <- r.cmd.Process.Kill()
	})
	select {
	case err := <-done:
		<-r.ended
		return err
	case <-k.ctx.Done():
		return k.ctx.Err()
	}
}

// StartKeeper starts it again, on the same machine.
func (k *Kept) StartKeeper(i int) error {
	r := k.routers[i]
	done := make(chan error, 1)
	k.send(func() { done <- r.exec() })
	select {
	case err := <-done:
		return err
	case <-k.ctx.Done():
		return k.ctx.Err()
	}
}

// Restart ends a router that nobody keeps by SIGTERM, as a planned restart does, and
// starts it again once it has ended.
func (k *Kept) Restart(i int) error {
	r := k.routers[i]
	done := make(chan error, 1)
	wait := func() error {
		select {
		case err := <-done:
			return err
		case <-k.ctx.Done():
			return k.ctx.Err()
		}
	}
	k.send(func() {
		r.killed = true
		done <- r.cmd.Process.Signal(syscall.SIGTERM)
	})
	if err := wait(); err != nil {
		return err
	}
	<-r.ended
	k.send(func() {
		k.Note(&eventlog.Entry{Kind: eventlog.KindRouterDown, At: k.world.Now(), Router: i})
		k.Note(&eventlog.Entry{Kind: eventlog.KindRouterUp, At: k.world.Now(), Router: i})
		done <- r.run(k.world.Known())
	})
	return wait()
}
