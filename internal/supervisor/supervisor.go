// Package supervisor carries out what package change decides for a machine: it holds the
// listening sockets, starts generations of the router as processes, hands the sockets
// down and words to and fro, and watches. It routes nothing.
package supervisor

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
	"quilldoor/internal/upgradeagent"
)

// Config of a keeper.
type Config struct {
	Folder     string
	Times      upgrade.Timeouts
	Program    string    // of the first generation
	Platform   string    // the platform's configuration: what is new at each start is always taken from there
	Operator   string    // the operator's file of the first generation; "": none
	Plan       string    // of rollouts; "": none
	MemberName string    // the router's name among members
	Observer   *Observer // nil: nobody looks on
	Log        *logrus.Entry
}

// What lies in the folder beside the socket and the place.
const (
	fileName, lockName = "state.json", "keep.lock"
	configName         = "config.json"
	ownName            = "operator.yaml"
	manifestName       = "generation.json"
	flatName           = "settings.json"
)

const (
	tickEvery   = 20 * time.Millisecond
	sampleEvery = 100 * time.Millisecond
	sleptAfter  = 300 * time.Millisecond // a tick that comes so late: the keeper stood still
	adoptWithin = time.Second            // for orphans to be heard of: they call ten times a second
	mostTools   = 16
)

// Supervisor of one router.
type Supervisor struct {
	Config
	start   time.Time
	events  chan func()
	machine *upgrade.Machine
	judge   upgrade.TrialMonitor
	file    *handoff.File
	alone   upgrade.Resources // a generation's part while it is the only one
	all     upgrade.Resources // the whole machine's
	sockets map[string]*os.File
	names   []string // in the order in which they are handed down

	old, new *proc
	leaving  []*proc
	state    *handoff.State // handed over and not yet passed on
	plan     *plan
	tools    []*handoff.Conn
	last     string
	lasting  bool
	restarts int
	fell     time.Time
	fallMS   int64
	most     upgrade.Resources
	roll     rolling
	eyes     *watching // nil: nobody looks on
	lock     *os.File
	control  *net.UnixListener
	ticked   time.Time
	sampled  time.Time
	stopBy   time.Time // processes that are left are killed then; zero: nothing ends
}

// plan is the change that is under way.
type plan struct {
	manifest *handoff.Manifest
	bound    upgrade.Resources
	note     string // why it was refused, or fell back
	run      uint64 // of the rollout that wants it; 0: the operator does
	back     bool   // that is on its way back
	alone    bool   // by its own decision
}

// ErrFolderLocked says that another keeper has the folder.
var ErrFolderLocked = errors.New("another keeper has this folder")

func (k *Supervisor) now() int64 { return time.Since(k.start).Microseconds() }

func (k *Supervisor) path(parts ...string) string {
	return filepath.Join(append([]string{k.Folder}, parts...)...)
}

// Run keeps the router until term says to end, or it can't.
func Run(c Config, term, hup <-chan os.Signal) error {
	k := &Supervisor{Config: c, start: time.Now(), events: make(chan func(), 256), sockets: map[string]*os.File{}, lasting: true}
	if err := k.open(); err != nil {
		return err
	}
	defer k.close()
	if err := k.begin(); err != nil {
		return err
	}
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	k.ticked, k.sampled = time.Now(), time.Now()
	for k.machine.State != upgrade.StateStopped {
		select {
		case do := <-k.events:
			do()
		case <-ticker.C:
			k.tick()
		case s := <-term:
			k.Log.WithField("signal", s.String()).Info("keeper: ending")
			k.feed(upgrade.InputShutdown)
		case <-hup:
			k.reload()
		}
	}
	k.Log.Info("keeper: ended")
	return nil
}

// open takes the folder and reads what a keeper before has left.
func (k *Supervisor) open() (err error) {
	if err := os.MkdirAll(k.Folder, 0o700); err != nil {
		return fmt.Errorf("keep.folder: %w", err)
	}
	if k.lock, err = os.OpenFile(k.path(lockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return fmt.Errorf("keep.folder: %w", err)
	}
	if err := unix.Flock(int(k.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		was := make([]byte, 16)
		n, _ := k.lock.ReadAt(was, 0)
		k.lock.Close()
		return fmt.Errorf("keep.folder: %s: %w (process %s)", k.Folder, ErrFolderLocked, was[:n])
	}
	k.lock.Truncate(0)
	k.lock.WriteAt([]byte(strconv.Itoa(os.Getpid())), 0)
	if k.file, err = handoff.ReadFile(k.path(fileName)); err != nil {
		return fmt.Errorf("keep.folder: %w", err)
	}
	return nil
}

func (k *Supervisor) close() {
	if k.control != nil {
		k.control.Close()
	}
	for _, c := range k.tools {
		c.Close()
	}
	k.lock.Close()
}

// begin finds out what is settled, adopts who has outlived a keeper before, and
// starts the machine.
func (k *Supervisor) begin() error {
	if k.file == nil {
		m, _, err := k.prepare(1, k.Program, k.Platform, k.Operator)
		if err != nil {
			return err
		}
		k.file = &handoff.File{Next: 2, Settled: m}
	}
	k.sound()
	got, err := k.check(k.file.Settled)
	if err != nil {
		return fmt.Errorf("generation %d: %w", k.file.Settled.Generation, err)
	}
	k.all = upgrade.Resources{MemoryMB: got.MemoryMB, Descriptors: got.Descriptors}
	if k.alone, err = upgrade.SoleBudget(k.all); err != nil {
		return err
	}
	orphans, err := k.listen()
	if err != nil {
		return err
	}
	k.adopt(orphans)
	if err := k.bind(got.Sockets); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if k.machine == nil {
		k.machine = upgrade.NewMachine(k.Times, k.now())
	}
	k.write()
	k.watch()
	k.Log.WithFields(logrus.Fields{
		"folder": k.Folder, "settled": k.file.Settled.Generation, "state": k.machine.State.String(),
		"memory_mb": k.alone.MemoryMB, "sockets": k.alone.Descriptors,
	}).Info("keeper: keeping")
	return nil
}

// sound sees to it that the settled generation's program is what it was. Where it is
// not, the one before is settled, if it is sound; else what is there is run.
func (k *Supervisor) sound() {
	s := k.file.Settled
	sum, err := handoff.FileDigest(s.Program)
	if err == nil && sum == s.ProgramSum {
		return
	}
	line := k.Log.WithFields(logrus.Fields{"generation": s.Generation, "program": s.Program, "was": s.ProgramSum, "is": sum})
	if p := k.file.Previous; p != nil {
		if got, err := handoff.FileDigest(p.Program); err == nil && got == p.ProgramSum {
			line.Error("keeper: the settled program is not what it was, the one before is started")
			k.file.Settled, k.file.Previous = p, nil
			return
		}
	}
	if err != nil {
		line.WithError(err).Error("keeper: the settled program can't be read, the keeper's own is started")
		s.Program = k.Program
		sum, _ = handoff.FileDigest(s.Program)
	} else {
		line.Error("keeper: the settled program is not what it was, and is started as it is")
	}
	s.ProgramSum = sum
}

// listen opens the socket for generations and tools, and waits for orphans that the
// file has as running, if any of them is.
func (k *Supervisor) listen() (orphans []*proc, err error) {
	os.Remove(k.path(upgradeagent.SocketName)) // the lock says that nobody listens there
	if k.control, err = net.ListenUnix("unix", &net.UnixAddr{Name: k.path(upgradeagent.SocketName), Net: "unix"}); err != nil {
		return nil, fmt.Errorf("keep.folder: %w", err)
	}
	os.Chmod(k.path(upgradeagent.SocketName), 0o600)
	calls := make(chan *call, 16)
	go k.accept(calls)
	alive := slices.DeleteFunc(slices.Clone(k.file.Running), func(r handoff.Running) bool { return startOf(r.PID) != r.Started || r.Started == 0 })
	until := time.After(adoptWithin)
	for len(orphans) < len(alive) {
		select {
		case c := <-calls:
			if c.word.Kind != handoff.KindHello {
				c.conn.Close() // a tool: it tries again
				continue
			}
			for name, f := range c.sockets {
				if k.sockets[name] != nil {
					f.Close()
				} else {
					k.sockets[name] = f
				}
			}
			if p := k.orphan(c); p != nil {
				orphans = append(orphans, p)
			}
		case <-until:
			for _, r := range alive {
				if !slices.ContainsFunc(orphans, func(p *proc) bool { return p.pid == r.PID }) && startOf(r.PID) == r.Started {
					k.Log.WithFields(logrus.Fields{"generation": r.Generation, "pid": r.PID}).Error("keeper: a generation of before says nothing, it is killed")
					unix.Kill(r.PID, unix.SIGKILL)
				}
			}
			alive = alive[:len(orphans)]
		}
	}
	go func() {
		for c := range calls {
			k.events <- func() { k.called(c) }
		}
	}()
	return orphans, nil
}

// adopt takes over generations that have outlived a keeper.
func (k *Supervisor) adopt(list []*proc) {
	said := make([]upgrade.Orphan, len(list))
	for i, p := range list {
		said[i] = upgrade.Orphan{Generation: p.manifest.Generation, State: p.part, Settled: p.wasSettled}
	}
	for i, fate := range upgrade.Dispositions(k.file.Settled.Generation, said) {
		p := list[i]
		k.Log.WithFields(logrus.Fields{"generation": p.manifest.Generation, "pid": p.pid, "part": p.part.String(), "settled": p.wasSettled, "fate": fate.String()}).
			Warn("keeper: found a generation")
		switch fate {
		case upgrade.DispositionEnd:
			k.leave(p, &handoff.Message{Kind: handoff.KindEnd})
			continue
		case upgrade.DispositionRetry:
			k.new, k.machine = p, upgrade.NewAdoptedMachine(k.Times, k.now(), true)
			k.plan = &plan{manifest: p.manifest}
		case upgrade.DispositionResume:
			p.say(&handoff.Message{Kind: handoff.KindResume, BudgetsMaybeSpent: true})
			fallthrough
		default:
			k.old, k.machine = p, upgrade.NewAdoptedMachine(k.Times, k.now(), false)
			if p.manifest.Generation != k.file.Settled.Generation {
				k.file.Previous, k.file.Settled = k.file.Settled, p.manifest
			}
			if !p.wasSettled {
				p.say(&handoff.Message{Kind: handoff.KindSettle})
			}
		}
		p.bound = k.alone
	}
	k.file.Next = max(k.file.Next, k.file.Settled.Generation+1)
	for _, p := range list {
		k.file.Next = max(k.file.Next, p.manifest.Generation+1)
	}
}

// bind opens the sockets that there are not yet, and closes those that are not wanted.
func (k *Supervisor) bind(want map[string]string) error {
	for name, addr := range want {
		if k.sockets[name] != nil {
			continue
		}
		f, err := open(name, addr)
		if err != nil {
			return err
		}
		k.sockets[name] = f
	}
	for name, f := range k.sockets {
		if want[name] == "" {
			f.Close()
			delete(k.sockets, name)
		}
	}
	k.names = sortedNames(k.sockets)
	return nil
}

// open makes a socket that stays as it is when it is handed down.
func open(name, addr string) (*os.File, error) {
	var raw syscall.RawConn
	if name == "members" {
		c, err := net.ListenPacket("udp", addr)
		if err != nil {
			return nil, err
		}
		defer c.Close()
		if raw, err = c.(*net.UDPConn).SyscallConn(); err != nil {
			return nil, err
		}
	} else {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		defer l.Close()
		if raw, err = l.(*net.TCPListener).SyscallConn(); err != nil {
			return nil, err
		}
	}
	fd, err := -1, error(nil)
	if e := raw.Control(func(s uintptr) { fd, err = unix.FcntlInt(s, unix.F_DUPFD_CLOEXEC, 0) }); e != nil {
		return nil, e
	}
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(fd), name), nil // not File: that one would make the socket block
}

// tick tells the machine the time, and looks at the processes.
func (k *Supervisor) tick() {
	now := time.Now()
	if gap := now.Sub(k.ticked); gap > sleptAfter {
		k.Log.WithField("gap_ms", gap.Milliseconds()).Warn("keeper: stood still")
		k.machine.Paused(gap.Microseconds())
		for _, p := range k.procs() {
			p.beatAt = now
		}
	}
	k.ticked = now
	k.do(k.machine.Tick(k.now()))
	if now.Sub(k.sampled) >= sampleEvery {
		k.sampled = now
		k.sample(now)
		if k.eyes != nil {
			k.eyes.look()
		}
		k.rollOn(now)
	}
	if k.machine.State == upgrade.StateStopping && len(k.procs()) == 0 {
		k.feed(upgrade.InputAllGone)
	}
}

// sample looks at what processes use and when they were heard, and kills who was
// told to end and does not.
func (k *Supervisor) sample(now time.Time) {
	sum := upgrade.Resources{MemoryMB: usage(os.Getpid()).MemoryMB, Descriptors: usage(os.Getpid()).Descriptors}
	for _, p := range k.procs() {
		if p.cmd == nil && startOf(p.pid) != p.started { // not a child: nobody else says that it has ended
			k.ended(p)
			continue
		}
		p.use = usage(p.pid)
		sum.MemoryMB += p.use.MemoryMB
		sum.Descriptors += p.use.Descriptors
	}
	k.most.MemoryMB, k.most.Descriptors = max(k.most.MemoryMB, sum.MemoryMB), max(k.most.Descriptors, sum.Descriptors)
	for _, p := range slices.Clone(k.leaving) {
		if now.After(p.killAt) {
			k.Log.WithFields(logrus.Fields{"generation": p.manifest.Generation, "pid": p.pid}).Warn("keeper: a generation did not end in time, it is killed")
			p.kill()
			p.killAt = now.Add(time.Second)
		}
	}
	if p := k.old; p != nil && p.hello && now.Sub(p.beatAt).Microseconds() > upgrade.HangTimeoutMicros {
		k.note("the settled generation has said nothing for %d ms", now.Sub(p.beatAt).Milliseconds())
		p.beatAt = now
		k.feed(upgrade.InputOldHung)
	}
	if p := k.new; p != nil {
		if err := upgrade.CheckUsage(p.bound, p.use); err != nil {
			k.note("the new generation uses more than its part: %v", err)
			k.feed(upgrade.InputNewHung)
		} else if p.hello && now.Sub(p.beatAt).Microseconds() > upgrade.TrialHangTimeoutMicros {
			k.note("the new generation has said nothing for %d ms", now.Sub(p.beatAt).Milliseconds())
			k.feed(upgrade.InputNewHung)
		} else if s := k.seen(p, k.old); s.Rules != 0 && k.machine.State == upgrade.StateOnTrial {
			k.note("the new generation breaks %s", s.Text)
			k.feed(upgrade.InputWorse)
		}
	}
	if p := k.old; p != nil && k.new == nil && len(k.leaving) == 0 && p.bound != k.alone && k.machine.State == upgrade.StateSteady {
		p.bound = k.alone
		p.say(&handoff.Message{Kind: handoff.KindLimits, Limits: k.alone})
		p.say(&handoff.Message{Kind: handoff.KindOtherAttempts})
	}
}

// note keeps the reason of what is to come.
func (k *Supervisor) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	k.Log.Warn("keeper: " + text)
	if k.plan != nil && k.plan.note == "" {
		k.plan.note = text
	}
}

// feed gives the machine an input and does what it decides.
func (k *Supervisor) feed(in upgrade.Input) {
	was := k.machine.State
	effects := k.machine.Handle(k.now(), in)
	if k.machine.State != was {
		k.Log.WithFields(logrus.Fields{"was": was.String(), "state": k.machine.State.String()}).Info("keeper: " + k.machine.State.String())
	}
	k.do(effects)
}

func (k *Supervisor) procs() (list []*proc) {
	for _, p := range append([]*proc{k.old, k.new}, k.leaving...) {
		if p != nil {
			list = append(list, p)
		}
	}
	return list
}

// do carries out effects.
func (k *Supervisor) do(effects []upgrade.Effect) {
	for _, e := range effects {
		switch e {
		case upgrade.EffectCheck:
			k.checkPlan()
		case upgrade.EffectStartOld:
			if k.restarts++; k.fell.IsZero() {
				k.fell = time.Now()
			}
			var err error
			if k.old, err = k.launch(k.file.Settled, k.alone); err != nil {
				k.Log.WithError(err).Error("keeper: the settled generation can't be started")
				k.feed(upgrade.InputOldGone)
				return
			}
			k.write()
		case upgrade.EffectStartNew:
			var err error
			if k.new, err = k.launch(k.plan.manifest, k.plan.bound); err != nil {
				k.note("it can't be started: %v", err)
				k.feed(upgrade.InputNewGone)
				return
			}
			k.write()
		case upgrade.EffectServeOld:
			k.old.say(&handoff.Message{Kind: handoff.KindServe, BudgetsMaybeSpent: true})
		case upgrade.EffectServeNew:
			k.new.say(&handoff.Message{Kind: handoff.KindServe, State: k.state})
			k.state = nil
		case upgrade.EffectQuiesceOld:
			k.old.say(&handoff.Message{Kind: handoff.KindQuiesce})
		case upgrade.EffectStandbyOld:
			k.old.say(&handoff.Message{Kind: handoff.KindSuccessorServes})
		case upgrade.EffectResumeOld:
			k.state = nil
			if k.old != nil {
				k.old.say(&handoff.Message{Kind: handoff.KindResume, BudgetsMaybeSpent: true})
			}
		case upgrade.EffectSettleNew:
			k.new.say(&handoff.Message{Kind: handoff.KindSettle})
		case upgrade.EffectSettleOld:
			k.old.say(&handoff.Message{Kind: handoff.KindSettle})
		case upgrade.EffectEndNew:
			if k.new != nil {
				k.leave(k.new, &handoff.Message{Kind: handoff.KindEnd})
				k.new = nil
			}
		case upgrade.EffectKillNew:
			if k.new != nil {
				k.new.kill()
				k.leave(k.new, nil)
				k.new = nil
			}
		case upgrade.EffectKillOld:
			if k.old != nil {
				k.old.kill()
				k.leave(k.old, nil)
				k.old = nil
			}
		case upgrade.EffectWrite:
			k.file.Previous, k.file.Settled = k.file.Settled, k.new.manifest
			if k.write() {
				k.feed(upgrade.InputWritten)
			} else {
				k.feed(upgrade.InputWriteFailed)
			}
		case upgrade.EffectPromote:
			if k.old != nil {
				k.leave(k.old, &handoff.Message{Kind: handoff.KindEnd})
			}
			k.old, k.new = k.new, nil
			k.judge.Promote()
			k.tidy()
		case upgrade.EffectEndAll:
			for _, f := range k.sockets {
				f.Close()
			}
			for _, p := range []*proc{k.old, k.new} {
				if p != nil {
					k.leave(p, &handoff.Message{Kind: handoff.KindEnd})
				}
			}
			k.old, k.new = nil, nil
		case upgrade.EffectReportRejected:
			k.tell(false, false, "refused, nothing has changed: %s", k.plan.note)
		case upgrade.EffectReportFellBack:
			if k.new == nil && k.old != nil && !k.fell.IsZero() {
				k.fallMS = time.Since(k.fell).Milliseconds()
			}
			k.fell = time.Time{}
			k.tell(false, true, "fell back: %s", k.plan.note)
		case upgrade.EffectReportDone:
			k.tell(true, false, "generation %d is settled", k.file.Settled.Generation)
		case upgrade.EffectReportNotPersisted:
			k.tell(true, false, "generation %d is settled, but the file could not be written: a cold start begins with the one before", k.file.Settled.Generation)
		}
	}
}

// leave lets a process end, told so or killed, and sees to it that it does.
func (k *Supervisor) leave(p *proc, w *handoff.Message) {
	if w != nil {
		p.say(w)
	}
	p.killAt = time.Now().Add(time.Duration(k.Times.DrainMicros) * time.Microsecond)
	if !p.gone {
		k.leaving = append(k.leaving, p)
	}
}

// write puts the file in its place. False: a cold start will not know.
func (k *Supervisor) write() bool {
	k.file.Running = nil
	for _, p := range k.procs() {
		k.file.Running = append(k.file.Running, handoff.Running{Generation: p.manifest.Generation, PID: p.pid, Started: p.started})
	}
	err := k.file.Write(k.path(fileName))
	if err != nil && k.lasting {
		k.Log.WithError(err).Error("keeper: the state file can't be written")
	}
	k.lasting = err == nil
	return k.lasting
}

// tell reports the end of a change to all who wait for it.
func (k *Supervisor) tell(ok, back bool, format string, args ...any) {
	k.last = fmt.Sprintf(format, args...)
	defer k.rolled(k.plan, ok, k.last)
	k.Log.WithField("ok", ok).Info("keeper: " + k.last)
	for _, c := range k.tools {
		c.Send(&handoff.Message{Kind: handoff.KindReport, Note: k.last, OK: ok, FellBack: back, Final: true})
		c.Close()
	}
	k.tools = nil
	k.plan = nil
	k.tidy()
}

// tidy removes folders of generations that nobody needs any more.
func (k *Supervisor) tidy() {
	need := map[string]bool{}
	keep := []*handoff.Manifest{k.file.Settled, k.file.Previous}
	if k.file.Rollout != nil {
		keep = append(keep, k.file.Rollout.Previous)
	}
	for _, m := range keep {
		if m != nil {
			need[strconv.FormatUint(m.Generation, 10)] = true
		}
	}
	for _, p := range k.procs() {
		need[strconv.FormatUint(p.manifest.Generation, 10)] = true
	}
	if k.plan != nil && k.plan.manifest != nil {
		need[strconv.FormatUint(k.plan.manifest.Generation, 10)] = true
	}
	list, _ := os.ReadDir(k.Folder)
	for _, e := range list {
		if _, err := strconv.ParseUint(e.Name(), 10, 64); err == nil && e.IsDir() && !need[e.Name()] {
			os.RemoveAll(k.path(e.Name()))
		}
	}
}
