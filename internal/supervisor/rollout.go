package supervisor

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/canary"
	"quilldoor/internal/handoff"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgrade"
)

// rolling is this router's part in rollouts.
type rolling struct {
	text   []byte
	plan   *rollout.Plan
	node   *rollout.Node // nil: no plan
	looked time.Time
	wrote  rollout.Durable
	bad    string                // the plan's last fault that was told
	base   upgrade.RequestCounts // of generations before the settled one
	last   upgrade.RequestCounts // of that
	of     uint64                // its number
	way    string
	mute   bool // the register could not be written
}

// rollFile keeps a router's part of the register.
const rollFile = "rollout.json"

// kept is its form. What is known of another plan says that this one is new here.
type kept struct {
	Format  int             `json:"format"`
	Plan    uint64          `json:"plan,string"`
	Durable rollout.Durable `json:"durable"`
}

// rollOn lets the rollout go on, ten times a second.
func (k *Supervisor) rollOn(now time.Time) {
	r := &k.roll
	if k.Plan == "" {
		return
	}
	const lookEvery = 2 * time.Second
	if now.Sub(r.looked) >= lookEvery {
		r.looked = now
		k.lookForPlan()
	}
	if r.node == nil {
		return
	}
	r.node.SetReport(k.report())
	k.post(r.node.Tick(k.now()))
	k.want(r.node.Target(k.now()))
	if v, _ := r.node.View(); r.way != fmt.Sprint(v.Phase, v.Stage) {
		r.way = fmt.Sprint(v.Phase, v.Stage)
		k.Log.WithFields(logrus.Fields{"plan": r.plan.Name, "way": v.Phase.String(), "stage": v.Stage + 1, "why": v.Reason}).Info("rollout: " + v.Phase.String())
	}
}

// lookForPlan reads the plan where it has changed. One that is under way is gone on
// with first.
func (k *Supervisor) lookForPlan() {
	r := &k.roll
	text, err := os.ReadFile(k.Plan)
	if err != nil || bytes.Equal(text, r.text) && r.node != nil {
		return
	}
	if r.node != nil {
		if v, _ := r.node.View(); v.Phase == rollout.PhaseForward || v.Phase == rollout.PhasePaused || v.Phase == rollout.PhaseRollingBack {
			return
		}
	}
	p, err := rollout.ParsePlan(k.Plan, text)
	if err == nil && p.Index(k.MemberName) < 0 {
		err = fmt.Errorf("%s: %s is none of its routers", k.Plan, k.MemberName)
	}
	if err != nil {
		if r.bad != err.Error() {
			r.bad = err.Error()
			k.Log.WithError(err).Error("rollout: the plan can't be used")
		}
		return
	}
	r.text, r.plan, r.wrote = text, p, rollout.Durable{}
	var f kept
	var d *rollout.Durable
	if err := readJSON(k.path(rollFile), &f); err == nil && f.Format == 1 {
		if d = new(rollout.Durable); f.Plan == p.Digest {
			*d = f.Durable
		}
	}
	r.node = rollout.NewNode(p, k.MemberName, d, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), k.now())
	k.Log.WithFields(logrus.Fields{"plan": p.Name, "digest": fmt.Sprintf("%016x", p.Digest), "known": d != nil}).Info("rollout: plan read")
}

// post sends words to other routers, once what they promise lasts.
func (k *Supervisor) post(out []rollout.Outgoing) {
	r := &k.roll
	if d := r.node.Durable; !reflect.DeepEqual(d, r.wrote) && !r.node.Status().Recovering {
		text, err := json.Marshal(kept{1, r.plan.Digest, d})
		if err == nil {
			err = handoff.WriteFileAtomic(k.path(rollFile), text)
		}
		if err != nil {
			if !r.mute {
				k.Log.WithError(err).Error("rollout: the register can't be written, this router takes no part")
			}
			r.mute = true // a promise that would not last is not made
			return
		}
		r.wrote, r.mute = d, false
	}
	p := k.serving()
	for _, o := range out {
		body, err := rollout.Encode(o.Message)
		if err == nil && p != nil {
			p.say(&handoff.Message{Kind: handoff.KindPeerMessage, To: r.plan.Routers[o.To].Name, Body: body})
		}
	}
}

// serving is the process that has the place.
func (k *Supervisor) serving() *proc {
	for _, p := range []*proc{k.new, k.old} {
		if p != nil && p.part.Accepts() {
			return p
		}
	}
	return k.old
}

func (k *Supervisor) letter(w *handoff.Message) {
	if k.roll.node == nil {
		return
	}
	if m, err := rollout.Decode(w.Body); err == nil {
		k.post(k.roll.node.Receive(k.now(), w.From, m))
	}
}

// report is what this router says of itself.
func (k *Supervisor) report() rollout.Report {
	r := &k.roll
	rep := rollout.Report{Changing: k.machine.Busy(), Capable: k.able(), Restarts: k.restarts}
	if b := k.file.Rollout; b != nil {
		rep.RunID, rep.FailureReason, rep.Upgraded = b.RunID, b.FailureReason, b.NewGeneration != 0 && b.NewGeneration == k.file.Settled.Generation
	}
	if p := k.old; p != nil {
		if p.manifest.Generation != r.of || p.ends.WeightOffered < r.last.WeightOffered { // another process
			r.base, r.of = r.base.Add(r.last), p.manifest.Generation
		}
		r.last = p.ends
		rep.MemoryMB = float64(p.use.MemoryMB)
	}
	rep.Counts = countsOf(r.base.Add(r.last))
	seen := k.seen(k.old, nil)
	rep.ViolatedRules, rep.FirstViolation = seen.Rules, seen.Text
	if k.eyes != nil {
		rep.DrainsSeen, rep.PurgesSeen = k.eyes.judge.EventCounts()
	}
	return rep
}

// countsOf are what the judge compares.
func countsOf(e upgrade.RequestCounts) canary.Counts {
	c := canary.Counts{
		Requests: float64(e.Completed + e.Rejected + e.Aborted + e.ClientGone), WeightOffered: e.WeightOffered, WeightEarned: e.WeightEarned, Rejected: float64(e.Rejected),
		Failed: float64(e.Aborted + e.ClientGone), Completed: float64(e.Completed), LogLatencySum: e.LogLatencySum, Attempts: float64(e.Attempts),
	}
	if e.Attempts == 0 {
		c.Completed = 0 // a program of before that tells neither
	}
	for i, name := range slices.Sorted(maps.Keys(e.Classes)) {
		if c.Classes == nil {
			c.Classes = map[string]canary.ClassCounts{}
		}
		if w := e.Classes[name]; i < canary.MaxClasses {
			c.Classes[name] = canary.ClassCounts{Requests: w[0], WeightOffered: w[1], WeightEarned: w[2]}
		}
	}
	return c
}

// files are what the plan names for this router.
func (k *Supervisor) files() *handoff.Manifest {
	p := k.roll.plan
	own := func(path string) string { return strings.ReplaceAll(path, "{name}", k.MemberName) }
	return &handoff.Manifest{Program: own(p.Program), Config: own(p.Config), Operator: own(p.Operator)}
}

func (k *Supervisor) able() bool {
	m := k.files()
	for _, path := range []string{m.Program, m.Config, m.Operator} {
		if path != "" {
			if _, err := os.Stat(path); err != nil {
				return false
			}
		}
	}
	return true
}

// want makes this router what it is to be, where it may.
func (k *Supervisor) want(w rollout.Target) {
	v, _ := k.roll.node.View()
	b := k.file.Rollout
	switch onNew := b != nil && b.NewGeneration != 0 && b.NewGeneration == k.file.Settled.Generation; {
	case !w.MayStart:
	case k.plan != nil && k.plan.run != 0 && !k.plan.back && !w.New && k.machine.State > upgrade.StateSteady:
		k.note("the rollout goes back")
		k.feed(upgrade.InputCancel)
	case k.machine.Busy() || w.New == onNew:
	case w.New && (b == nil || b.RunID != v.RunID || b.FailureReason == ""):
		before := k.file.Settled
		k.file.Rollout = &handoff.RolloutRecord{RunID: v.RunID, Previous: before}
		k.Log.WithField("run", v.RunID).Info("rollout: this router changes")
		k.plan = &plan{manifest: k.files(), run: v.RunID}
		k.feed(upgrade.InputApply)
	case !w.New && b.Previous != nil:
		k.Log.WithField("run", v.RunID).Info("rollout: this router goes back")
		k.plan = &plan{
			manifest: &handoff.Manifest{Program: b.Previous.Program, Config: b.Previous.Config, Operator: b.Previous.Operator}, run: b.RunID, back: true,
			alone: v.Phase == rollout.PhaseForward || v.Phase == rollout.PhasePaused,
		}
		k.feed(upgrade.InputApply)
	}
}

// rolled notes what became of a change that a rollout wanted.
func (k *Supervisor) rolled(p *plan, ok bool, note string) {
	b := k.file.Rollout
	if p == nil || p.run == 0 || b == nil {
		return
	}
	switch {
	case !p.back && ok:
		b.NewGeneration = k.file.Settled.Generation
	case !p.back:
		b.FailureReason = note
	case ok:
		if b.NewGeneration = 0; p.alone {
			b.FailureReason = "it heard of nobody for long"
		}
	default: // the new generation does not even let go: it is ended, and the old one started
		k.Log.WithField("why", note).Warn("rollout: back by force")
		k.file.Settled, k.file.Previous, b.NewGeneration = b.Previous, k.file.Settled, 0
		if k.old != nil {
			k.old.kill()
		}
	}
	k.write()
}

// command takes an operator's word on the rollout.
func (k *Supervisor) command(c *call, w rollout.Command) {
	say := func(ok bool, format string, args ...any) {
		r := &handoff.Message{Kind: handoff.KindReport, OK: ok, Final: true, Note: fmt.Sprintf(format, args...)}
		if k.roll.node != nil {
			r.Rollout = k.roll.node.Status()
		}
		c.conn.Send(r)
		c.conn.Close()
	}
	switch {
	case k.roll.node == nil:
		say(false, "no plan: %s", cmp.Or(k.roll.bad, "keep.plan names none that is there"))
	case w == 0:
		say(true, "")
	case w == rollout.CommandStart && k.roll.node.Status().Recovering:
		say(false, "this router has lost what it knew, and asks the others")
	default:
		k.roll.node.Command(k.now(), w)
		say(true, "told; quilldoor rollout status tells what becomes of it")
	}
}
