package supervisor

import (
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
	"quilldoor/internal/upgradeagent"
)

// proc is a generation's process.
type proc struct {
	manifest   *handoff.Manifest
	pid        int
	started    uint64
	cmd        *exec.Cmd // nil: a keeper before has started it
	conn       *handoff.Conn
	seed       string
	bound      upgrade.Resources
	use        upgrade.Resources
	hello      bool
	gone       bool
	wasSettled bool
	part       upgrade.AgentState
	ends       upgrade.RequestCounts
	outs       map[string][3]float64
	beatAt     time.Time
	killAt     time.Time // while it leaves
}

// say tells the process. One that does not take it in is found by its silence.
func (p *proc) say(w *handoff.Message) {
	if p.conn != nil {
		p.conn.Send(w)
	}
}

// kill ends it, if its number is still its own.
func (p *proc) kill() {
	if startOf(p.pid) == p.started {
		unix.Kill(p.pid, unix.SIGKILL)
	}
}

// launch starts a generation and hands the sockets down.
func (k *Supervisor) launch(m *handoff.Manifest, bound upgrade.Resources) (*proc, error) {
	p := &proc{manifest: m, bound: bound, beatAt: time.Now(), seed: seed()}
	config, err := k.merge(m, p.seed, bound)
	if err != nil {
		return nil, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	theirs := os.NewFile(uintptr(pair[1]), "keeper")
	defer theirs.Close()
	if p.conn, err = handoff.FromFile(os.NewFile(uintptr(pair[0]), "generation")); err != nil {
		return nil, err
	}
	cmd := exec.Command(m.Program, "serve", "--config", config, "--operator", k.path(strconv.FormatUint(m.Generation, 10), ownName),
		"--log-level", k.Log.Logger.GetLevel().String())
	cmd.ExtraFiles = []*os.File{theirs}
	for _, name := range k.names {
		cmd.ExtraFiles = append(cmd.ExtraFiles, k.sockets[name])
	}
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	cmd.Env = append(environment(), upgradeagent.EnvFolder+"="+k.Folder, upgradeagent.EnvGeneration+"="+strconv.FormatUint(m.Generation, 10),
		upgradeagent.EnvSockets+"="+strings.Join(k.names, ","), upgradeagent.EnvProgram+"="+m.ProgramSum)
	if err := cmd.Start(); err != nil {
		p.conn.Close()
		return nil, err
	}
	p.cmd, p.pid = cmd, cmd.Process.Pid
	p.started = startOf(p.pid)
	k.Log.WithFields(logrus.Fields{"generation": m.Generation, "pid": p.pid, "memory_mb": bound.MemoryMB, "sockets": bound.Descriptors}).Info("keeper: generation started")
	go k.hear(p, p.conn)
	go func() {
		err := cmd.Wait()
		k.events <- func() {
			k.Log.WithFields(logrus.Fields{"generation": m.Generation, "pid": p.pid}).WithField("how", fmt.Sprint(err)).Info("keeper: generation ended")
			k.ended(p)
		}
	}()
	return p, nil
}

// environment is this process's without what the platform tells a router: that
// stands in the configuration.
func environment() (list []string) {
	for _, e := range os.Environ() {
		if !strings.HasPrefix(e, "LB_") && !strings.HasPrefix(e, "QUILLDOOR_KEEP=") {
			list = append(list, e)
		}
	}
	return list
}

// hear passes a process's words to the loop, until the connection ends.
func (k *Supervisor) hear(p *proc, c *handoff.Conn) {
	for {
		w, err := c.Receive()
		if err != nil {
			return // its end, or its silence, is found otherwise; it may call again
		}
		k.events <- func() { k.heard(p, w) }
	}
}

// ended takes a process's end.
func (k *Supervisor) ended(p *proc) {
	if p.gone {
		return
	}
	p.gone = true
	if p.conn != nil {
		p.conn.Close()
	}
	k.leaving = slices.DeleteFunc(k.leaving, func(x *proc) bool { return x == p })
	if k.eyes != nil {
		k.eyes.judge.ProcessEnded(p.pid64())
		delete(k.eyes.told, p.pid)
	}
	switch p {
	case k.old:
		k.old = nil
		k.fell = time.Now()
		k.note("the settled generation has ended")
		k.feed(upgrade.InputOldGone)
	case k.new:
		k.new = nil
		k.fell = time.Now()
		k.note("the new generation has ended")
		k.feed(upgrade.InputNewGone)
	}
	for _, q := range k.procs() {
		k.beside(q)
	}
}

// heard takes a process's word.
func (k *Supervisor) heard(p *proc, w *handoff.Message) {
	p.beatAt = time.Now()
	isOld, isNew := p == k.old, p == k.new
	pick := func(old, new upgrade.Input) {
		switch {
		case isOld:
			k.feed(old)
		case isNew:
			k.feed(new)
		}
	}
	switch w.Kind {
	case handoff.KindPeerMessage:
		k.letter(w)
	case handoff.KindHello:
		p.hello = true
		if w.Format < 1 {
			k.note("the generation names no format")
			p.kill()
		}
	case handoff.KindReady:
		pick(upgrade.InputOldReady, upgrade.InputNewReady)
	case handoff.KindReleased:
		if isOld {
			k.state = w.State
			k.feed(upgrade.InputReleased)
		}
	case handoff.KindAccepting:
		if isOld && !k.fell.IsZero() {
			k.fallMS = time.Since(k.fell).Milliseconds()
			k.fell = time.Time{}
		}
		pick(upgrade.InputOldServes, upgrade.InputNewServes)
	case handoff.KindDenied:
		if isNew {
			k.note("the new generation did not get the place")
			k.feed(upgrade.InputDenied)
		}
	case handoff.KindSettled:
		if isNew {
			k.feed(upgrade.InputSettled)
		}
	case handoff.KindHeartbeat:
		p.ends, p.outs, p.part = w.Requests, w.OutstandingAttempts, w.AgentState
		k.acted(p, w)
		if len(k.procs()) > 1 {
			for _, q := range k.procs() {
				if q != p {
					k.beside(q)
				}
			}
		}
		if isOld && k.new == nil {
			k.judge.ObserveOld(k.now(), p.ends)
		}
		if isNew && k.machine.State == upgrade.StateOnTrial {
			if err := k.judge.ObserveNew(p.ends); err != nil {
				k.note("the new generation does worse: %v", err)
				k.feed(upgrade.InputWorse)
			}
		}
	}
}

// beside tells a process what the others have out.
func (k *Supervisor) beside(p *proc) {
	sum := map[string][3]float64{}
	for _, q := range k.procs() {
		if q == p {
			continue
		}
		for id, n := range q.outs {
			s := sum[id]
			for i := range n {
				s[i] += n[i]
			}
			sum[id] = s
		}
	}
	if p.part.Accepts() || p.part == upgrade.AgentStandby || p.part == upgrade.AgentQuiesced {
		p.say(&handoff.Message{Kind: handoff.KindOtherAttempts, OutstandingAttempts: sum})
	}
}

// call is the first word of somebody who has called.
type call struct {
	conn    *handoff.Conn
	word    *handoff.Message
	sockets map[string]*os.File
}

// accept takes calls of generations and tools. Each has a moment to say what it is.
func (k *Supervisor) accept(calls chan<- *call) {
	room := make(chan struct{}, mostTools)
	for {
		sock, err := k.control.AcceptUnix()
		if err != nil {
			if k.control.Addr() == nil || strings.Contains(err.Error(), net.ErrClosed.Error()) {
				return
			}
			time.Sleep(tickEvery)
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			sock.Close()
			continue
		}
		go func() {
			defer func() { <-room }()
			sock.SetReadDeadline(time.Now().Add(time.Second))
			c := handoff.NewConn(sock)
			w, err := c.Receive()
			if err != nil {
				c.Close()
				return
			}
			sock.SetReadDeadline(time.Time{})
			calls <- &call{c, w, c.Sockets(w.Sockets)}
		}()
	}
}

// called takes a call while the keeper runs.
func (k *Supervisor) called(c *call) {
	for _, f := range c.sockets {
		f.Close() // the keeper has them
	}
	if c.word.Kind != handoff.KindHello {
		k.tool(c)
		return
	}
	for _, p := range k.procs() {
		if p.pid == c.word.PID { // its connection had ended
			p.conn.Close()
			p.conn = c.conn
			go k.hear(p, c.conn)
			return
		}
	}
	c.conn.Send(&handoff.Message{Kind: handoff.KindEnd}) // it was given up
	c.conn.Close()
}

// orphan makes a process of one that says it has outlived its keeper; nil: it can't
// be believed.
func (k *Supervisor) orphan(c *call) *proc {
	pid, err := c.conn.PeerPID()
	m, mErr := k.manifest(c.word.Generation)
	if err != nil || mErr != nil || pid != c.word.PID {
		k.Log.WithFields(logrus.Fields{"generation": c.word.Generation, "pid": c.word.PID}).WithError(mErr).Warn("keeper: a generation that is not known, it is told to end")
		c.conn.Send(&handoff.Message{Kind: handoff.KindEnd})
		c.conn.Close()
		return nil
	}
	p := &proc{manifest: m, pid: pid, started: startOf(pid), conn: c.conn, hello: true, part: c.word.AgentState, wasSettled: c.word.WasSettled, beatAt: time.Now(), seed: seed()}
	go k.hear(p, p.conn)
	return p
}

// startOf is when a process started, in ticks since the machine's start; 0: there is
// none of that number, or it has ended and nobody has asked how.
func startOf(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name stands in brackets, and may hold any.
	_, rest, ok := strings.Cut(string(text), ") ")
	if i := strings.LastIndex(string(text), ") "); i >= 0 {
		rest, ok = string(text)[i+2:], true
	}
	f := strings.Fields(rest)
	const state, start = 0, 19 // proc(5), counted from the state
	if !ok || len(f) <= start || f[state] == "Z" {
		return 0
	}
	v, _ := strconv.ParseUint(f[start], 10, 64)
	return v
}

// usage is what a process has now.
func usage(pid int) (u upgrade.Resources) {
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		if f := strings.Fields(string(text)); len(f) > 1 {
			pages, _ := strconv.ParseInt(f[1], 10, 64)
			u.MemoryMB = int(pages * int64(syscall.Getpagesize()) >> 20)
		}
	}
	if d, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		names, _ := d.Readdirnames(-1)
		u.Descriptors = len(names)
		d.Close()
	}
	return u
}

func sortedNames(m map[string]*os.File) []string { return slices.Sorted(maps.Keys(m)) }
