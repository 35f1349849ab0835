package supervisor

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// CheckResult is what a program says of settings: `check --json`. Unknown keys of a later
// text are passed over.
type CheckResult struct {
	Format      int
	Version     string
	Name        string
	MemoryMB    int
	Descriptors int
	LongestMS   int64
	Sockets     map[string]string
	Flat        map[string]string
	Digest      uint64 `json:",string"`
}

// platformKeys are always taken from the platform's own file: they are new at each
// start, or the machine's.
var platformKeys = []string{"name", "listen", "seed", "board", "known", "limits"}

// merge writes the configuration that a generation is started with.
func (k *Supervisor) merge(m *handoff.Manifest, seed string, bound upgrade.Resources) (string, error) {
	var own, platform map[string]json.RawMessage
	if err := readJSON(m.Config, &own); err != nil {
		return "", err
	}
	if err := readJSON(k.Platform, &platform); err != nil {
		return "", err
	}
	for _, key := range platformKeys {
		if delete(own, key); platform[key] != nil {
			own[key] = platform[key]
		}
	}
	limits := map[string]any{}
	json.Unmarshal(own["limits"], &limits)
	if bound != (upgrade.Resources{}) {
		limits["memory_mb"], limits["sockets"] = bound.MemoryMB, bound.Descriptors
	}
	own["limits"], _ = json.Marshal(limits)
	own["seed"], _ = json.Marshal(seed)
	text, err := json.Marshal(own)
	if err != nil {
		return "", err
	}
	path := k.path(strconv.FormatUint(m.Generation, 10), "run.json")
	return path, handoff.WriteFileAtomic(path, text)
}

func readJSON(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func seed() string {
	var b [8]byte
	rand.Read(b[:])
	return strconv.FormatUint(binary.LittleEndian.Uint64(b[:]), 16)
}

// prepare makes a generation's folder: copies of its settings, and what it is.
func (k *Supervisor) prepare(n uint64, program, config, own string) (*handoff.Manifest, *CheckResult, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, nil, err
	}
	folder := k.path(strconv.FormatUint(n, 10))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, err
	}
	m := &handoff.Manifest{Generation: n, Program: program, Config: filepath.Join(folder, configName), Operator: filepath.Join(folder, ownName)}
	for _, f := range []struct{ from, to string }{{config, m.Config}, {own, m.Operator}} {
		text, err := os.ReadFile(f.from)
		if err != nil && !(f.from == "" || f.from == own && errors.Is(err, fs.ErrNotExist)) {
			return nil, nil, err
		}
		const most = 16 << 20
		if len(text) > most {
			return nil, nil, fmt.Errorf("%s: longer than %d MB", f.from, most>>20)
		}
		if err := handoff.WriteFileAtomic(f.to, text); err != nil {
			return nil, nil, err
		}
	}
	if m.ProgramSum, err = handoff.FileDigest(program); err != nil {
		return nil, nil, fmt.Errorf("program: %w", err)
	}
	c, err := k.check(m)
	if err != nil {
		return nil, nil, err
	}
	m.Settings, m.Version = c.Digest, c.Version
	if text, err := json.Marshal(c.Flat); err == nil {
		err = handoff.WriteFileAtomic(filepath.Join(folder, flatName), text)
	}
	text, err := json.Marshal(m)
	if err == nil {
		err = handoff.WriteFileAtomic(filepath.Join(folder, manifestName), text)
	}
	return m, c, err
}

// manifest reads what a generation is.
func (k *Supervisor) manifest(n uint64) (*handoff.Manifest, error) {
	m := new(handoff.Manifest)
	if err := readJSON(k.path(strconv.FormatUint(n, 10), manifestName), m); err != nil {
		return nil, err
	}
	if m.Generation != n || m.Program == "" {
		return nil, fmt.Errorf("generation %d: its manifest is of another", n)
	}
	return m, nil
}

// check lets a generation's program read its settings.
func (k *Supervisor) check(m *handoff.Manifest) (*CheckResult, error) {
	const within, most = 9 * time.Second, 16 << 20 // sooner than the machine gives up
	path, err := k.merge(m, "1", upgrade.Resources{})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), within)
	defer stop()
	cmd := exec.CommandContext(ctx, m.Program, "check", "--json", "--config", path, "--operator", m.Operator)
	cmd.WaitDelay = time.Second
	cmd.Env = environment()
	var out, said bounded
	out.most, said.most = most, 4<<10
	cmd.Stdout, cmd.Stderr = &out, &said
	if err := cmd.Run(); err != nil {
		text := strings.TrimSpace(said.String())
		return nil, errors.New(cmp.Or(text, "check: "+err.Error()))
	}
	c := new(CheckResult)
	if err := json.Unmarshal(out.Bytes(), c); err != nil || c.Format < 1 || c.Sockets["listen"] == "" {
		return nil, fmt.Errorf("check: the program says nothing that a keeper can read (%v)", err)
	}
	return c, nil
}

// bounded keeps the first bytes of what is written.
type bounded struct {
	bytes.Buffer
	most int
}

func (b *bounded) Write(p []byte) (int, error) {
	b.Buffer.Write(p[:min(len(p), max(b.most-b.Len(), 0))])
	return len(p), nil
}

// checkPlan prepares the change that is asked for, beside the loop.
func (k *Supervisor) checkPlan() {
	p := k.plan
	ask := p.manifest
	n := k.file.Next
	k.file.Next++
	settled := k.file.Settled
	p.manifest = nil
	var old upgrade.Resources
	for _, x := range k.procs() { // those that still drain, too
		old.MemoryMB += x.use.MemoryMB
		old.Descriptors += x.use.Descriptors
	}
	go func() {
		program := cmp.Or(ask.Program, settled.Program)
		m, c, err := k.prepare(n, program, cmp.Or(ask.Config, settled.Config), cmp.Or(ask.Operator, settled.Operator))
		var diff []upgrade.Change
		if err == nil {
			diff, err = k.differ(settled, c)
		}
		_, ok := upgrade.HardestMode(diff)
		bound, room := upgrade.ShareBudget(k.all, old)
		k.events <- func() {
			if k.plan != p {
				return // it took too long, and was refused
			}
			switch {
			case err != nil:
				p.note = err.Error()
			case !ok:
				p.note = "keys that can't change on this router: " + words(diff, upgrade.ModeNever)
			case room != nil:
				p.note = room.Error()
			default:
				p.manifest, p.bound = m, bound
				k.say("checked: %s; %d MB and %d descriptors beside the present generation; %s", m.Version, bound.MemoryMB, bound.Descriptors, cmp.Or(words(diff, upgrade.ModeHandoff), "no key differs"))
				k.feed(upgrade.InputChecked)
				return
			}
			k.feed(upgrade.InputRejected)
		}
	}()
}

// differ names the keys in which settings differ from those that are settled.
func (k *Supervisor) differ(settled *handoff.Manifest, c *CheckResult) ([]upgrade.Change, error) {
	was := map[string]string{}
	if err := readJSON(k.path(strconv.FormatUint(settled.Generation, 10), flatName), &was); err != nil {
		return nil, err
	}
	return upgrade.Diff(was, c.Flat), nil
}

// words tells the changes of a kind, or of lesser ones.
func words(diff []upgrade.Change, most upgrade.ChangeMode) string {
	const many = 12
	var out []string
	for _, d := range diff {
		if d.Mode == most || most == upgrade.ModeHandoff && d.Mode == upgrade.ModeLive {
			out = append(out, d.String())
		}
	}
	if len(out) > many {
		out = append(out[:many], fmt.Sprintf("and %d more", len(out)-many))
	}
	return strings.Join(out, "; ")
}

// reload lets the settled generation read again what can change while it runs.
func (k *Supervisor) reload() {
	if k.old == nil {
		return
	}
	if _, err := k.merge(k.old.manifest, k.old.seed, k.old.bound); err != nil {
		k.Log.WithError(err).Error("keeper: new configuration refused, the old one stays")
		return
	}
	k.old.say(&handoff.Message{Kind: handoff.KindReload})
	if k.eyes != nil {
		k.eyes.follow()
	}
}

// say tells who waits how a change goes on.
func (k *Supervisor) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	k.Log.Info("keeper: " + text)
	for _, c := range k.tools {
		c.Send(&handoff.Message{Kind: handoff.KindReport, Note: text})
	}
}

// tool does what a tool asks for.
func (k *Supervisor) tool(c *call) {
	over := func(ok bool, format string, args ...any) {
		c.conn.Send(&handoff.Message{Kind: handoff.KindReport, Note: fmt.Sprintf(format, args...), OK: ok, Final: true, Status: k.standing()})
		c.conn.Close()
	}
	switch w := c.word; w.Kind {
	case handoff.KindStatus:
		over(true, "")
	case handoff.KindRollout:
		k.command(c, w.Command)
	case handoff.KindApply:
		k.apply(c, &handoff.Manifest{Program: w.Program, Config: w.Config, Operator: w.Operator}, over)
	case handoff.KindRollBack:
		switch p := k.file.Previous; {
		case k.machine.State == upgrade.StateSteady && p == nil:
			over(false, "there is no generation before the settled one")
		case k.machine.State == upgrade.StateSteady:
			k.apply(c, &handoff.Manifest{Program: p.Program, Config: p.Config, Operator: p.Operator}, over)
		case k.plan != nil && len(k.tools) < mostTools:
			k.tools = append(k.tools, c.conn)
			k.note("the operator wants the present generation back")
			k.feed(upgrade.InputCancel)
		default:
			over(false, "nobody serves: %v", k.machine.State)
		}
	default:
		over(false, "not a tool's word")
	}
}

func (k *Supervisor) apply(c *call, m *handoff.Manifest, over func(bool, string, ...any)) {
	if k.machine.Busy() {
		over(false, "refused: %v", k.machine.State)
		return
	}
	k.tools = append(k.tools, c.conn)
	k.plan = &plan{manifest: m}
	k.feed(upgrade.InputApply)
}

// standing is what the keeper tells of itself.
func (k *Supervisor) standing() *handoff.Status {
	s := &handoff.Status{
		State: k.machine.State.String(), SinceMS: (k.now() - k.machine.SinceMicros()) / 1000, Settled: k.file.Settled, Previous: k.file.Previous,
		LastOutcome: k.last, Persistent: k.lasting, SupervisorPID: os.Getpid(), Restarts: max(k.restarts-1, 0), LastCrashMS: k.fallMS, DrainingProcesses: len(k.leaving), PeakMB: k.most.MemoryMB, PeakDescriptors: k.most.Descriptors,
	}
	of := func(p *proc) *handoff.Process {
		if p == nil {
			return nil
		}
		return &handoff.Process{
			Generation: p.manifest.Generation, PID: p.pid, AgentState: p.part.String(), MemoryMB: p.use.MemoryMB, Descriptors: p.use.Descriptors,
			Requests: p.ends, HeartbeatAgeMS: time.Since(p.beatAt).Milliseconds(), ViolatedRule: k.seen(p, nil).Text,
		}
	}
	s.Serving, s.Next = of(k.old), of(k.new)
	return s
}

// SettledSettings are the flat settings of what a keeper's folder has as settled.
func SettledSettings(folder string) (map[string]string, error) {
	f, err := handoff.ReadFile(filepath.Join(folder, fileName))
	if err != nil {
		return nil, err
	}
	if f == nil {
		return nil, fmt.Errorf("%s: no keeper has been here", folder)
	}
	flat := map[string]string{}
	return flat, readJSON(filepath.Join(folder, strconv.FormatUint(f.Settled.Generation, 10), flatName), &flat)
}
