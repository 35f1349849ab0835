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

// readyTimeoutSeconds is how long a generation may take to get ready, seconds.
const readyTimeoutSeconds = 3

// Kept are the routers of a run on sockets whose script has them kept, for whoever
// changes them or does them harm. Its calls may come from any goroutine but the
// run's own.
type Kept struct{ *socketRun }

// Count is how many there are.
func (k *Kept) Count() int { return len(k.routers) }

// Folder of a router's keeper.
func (k *Kept) Folder(i int) string { return filepath.Join(k.dir, fmt.Sprintf("k%d", i+1)) }

// Operator is the router's operator's file.
func (k *Kept) Operator(i int) string { return filepath.Join(k.dir, routerName(i)+".yaml") }

// Log is what the router's processes have logged, in a file.
func (k *Kept) Log(i int) string { return filepath.Join(k.dir, routerName(i)+".log") }

// View is what a router holds of the others, by its own protocol.
func (k *Kept) View(i int) (*membership.View, error) {
	return transport.Query([]byte(membershipKey), routerName(i), k.routers[i].membershipAddr)
}

// Config is the platform's configuration of a router.
func (k *Kept) Config(i int) string { return k.routers[i].configPath() }

// Plan is where the routers look for a rollout's; it is not there at first.
func (k *Kept) Plan() string { return filepath.Join(k.dir, "plan.yaml") }

// Name of a router among members, and its office.
func (k *Kept) Name(i int) (name, office string) {
	return routerName(i), scenario.Zone(k.world.Office(i))
}

// Rollout says a word on it to a router, 0: only asks.
func (k *Kept) Rollout(i int, command rollout.Command) (*rollout.Status, error) {
	reply, err := k.Ask(i, &handoff.Message{Kind: handoff.KindRollout, Command: command})
	if err != nil {
		return nil, err
	}
	if !reply.OK || reply.Rollout == nil {
		return nil, errors.New(reply.Note)
	}
	return reply.Rollout, nil
}

// Listen is where clients reach it.
func (k *Kept) Listen(i int) string { return k.routers[i].clientAddr }

// Ask says a word to a keeper and waits for its last report.
func (k *Kept) Ask(i int, message *handoff.Message) (*handoff.Message, error) {
	return handoff.Request(filepath.Join(k.Folder(i), upgradeagent.SocketName), message, nil)
}

// Standing is what a keeper tells of itself.
func (k *Kept) Standing(i int) (*handoff.Status, error) {
	reply, err := k.Ask(i, &handoff.Message{Kind: handoff.KindStatus})
	if err != nil {
		return nil, err
	}
	if reply.Status == nil {
		return nil, errors.New("a report without a standing")
	}
	return reply.Status, nil
}

// Until asks a keeper time and again until it stands as wanted.
func (k *Kept) Until(i int, within time.Duration, reached func(*handoff.Status) bool) (*handoff.Status, error) {
	const interval = 5 * time.Millisecond
	var last *handoff.Status
	var err error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(interval) {
		if k.ctx.Err() != nil {
			return last, k.ctx.Err()
		}
		var status *handoff.Status
		if status, err = k.Standing(i); err == nil {
			if last = status; reached(status) {
				return status, nil
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
	k.runInLoop(func() {
		kind := signalKinds[s]
		if kind != "" {
			k.Note(&eventlog.Entry{Kind: kind, At: k.world.Now(), Router: i})
		}
		done <- syscall.Kill(pid, s)
	})
	select {
	case err := <-done:
		if err == nil && s == syscall.SIGKILL {
			k.waitGone(i, pid)
		}
		return err
	case <-k.ctx.Done():
		return k.ctx.Err()
	}
}

// waitGone waits until a process that was killed has ended. On a busy machine that takes
// milliseconds, in which the system goes on accepting connections for it: what it held
// by then was never its duty either.
func (k *Kept) waitGone(i, pid int) {
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
	k.runInLoop(func() { k.Note(&eventlog.Entry{Kind: eventlog.KindCrashed, At: k.world.Now(), Router: i}) })
}

// KillKeeper kills a router's keeper alone; its generations run on.
func (k *Kept) KillKeeper(i int) error {
	r := k.routers[i]
	done := make(chan error, 1)
	k.runInLoop(func() {
		r.killed, r.orphanGroups = true, append(r.orphanGroups, r.cmd.Process.Pid)
		done <- r.cmd.Process.Kill()
	})
	select {
	case err := <-done:
		<-r.exited
		return err
	case <-k.ctx.Done():
		return k.ctx.Err()
	}
}

// StartKeeper starts it again, on the same machine.
func (k *Kept) StartKeeper(i int) error {
	r := k.routers[i]
	done := make(chan error, 1)
	k.runInLoop(func() { done <- r.launch() })
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
	k.runInLoop(func() {
		r.killed = true
		done <- r.cmd.Process.Signal(syscall.SIGTERM)
	})
	if err := wait(); err != nil {
		return err
	}
	<-r.exited
	k.runInLoop(func() {
		k.Note(&eventlog.Entry{Kind: eventlog.KindRouterDown, At: k.world.Now(), Router: i})
		k.Note(&eventlog.Entry{Kind: eventlog.KindRouterUp, At: k.world.Now(), Router: i})
		done <- r.start(k.world.Known())
	})
	return wait()
}
