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
	bad    string       // the plan's last fault that was told
	base   upgrade.Ends // of generations before the settled one
	last   upgrade.Ends // of that
	of     uint64       // its number
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
func (k *Keeper) rollOn(now time.Time) {
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
	r.node.Local(k.report())
	k.post(r.node.Tick(k.now()))
	k.want(r.node.Want(k.now()))
	if v, _ := r.node.View(); r.way != fmt.Sprint(v.Way, v.Stage) {
		r.way = fmt.Sprint(v.Way, v.Stage)
		k.Log.WithFields(logrus.Fields{"plan": r.plan.Name, "way": v.Way.String(), "stage": v.Stage + 1, "why": v.Why}).Info("rollout: " + v.Way.String())
	}
}

// lookForPlan reads the plan where it has changed. One that is under way is gone on
// with first.
func (k *Keeper) lookForPlan() {
	r := &k.roll
	text, err := os.ReadFile(k.Plan)
	if err != nil || bytes.Equal(text, r.text) && r.node != nil {
		return
	}
	if r.node != nil {
		if v, _ := r.node.View(); v.Way == rollout.Forward || v.Way == rollout.Holding || v.Way == rollout.Backward {
			return
		}
	}
	p, err := rollout.ParsePlan(k.Plan, text)
	if err == nil && p.Index(k.Member) < 0 {
		err = fmt.Errorf("%s: %s is none of its routers", k.Plan, k.Member)
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
	r.node = rollout.NewNode(p, k.Member, d, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), k.now())
	k.Log.WithFields(logrus.Fields{"plan": p.Name, "digest": fmt.Sprintf("%016x", p.Digest), "known": d != nil}).Info("rollout: plan read")
}

// post sends words to other routers, once what they promise lasts.
func (k *Keeper) post(out []rollout.Out) {
	r := &k.roll
	if d := r.node.Durable; !reflect.DeepEqual(d, r.wrote) && !r.node.Standing().Lost {
		text, err := json.Marshal(kept{1, r.plan.Digest, d})
		if err == nil {
			err = handoff.Put(k.path(rollFile), text)
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
		body, err := rollout.Seal(o.Msg)
		if err == nil && p != nil {
			p.say(&handoff.Word{Kind: handoff.Letter, To: r.plan.Routers[o.To].Name, Body: body})
		}
	}
}

// serving is the process that has the place.
func (k *Keeper) serving() *proc {
	for _, p := range []*proc{k.new, k.old} {
		if p != nil && p.part.Accepts() {
			return p
		}
	}
	return k.old
}

func (k *Keeper) letter(w *handoff.Word) {
	if k.roll.node == nil {
		return
	}
	if m, err := rollout.Open(w.Body); err == nil {
		k.post(k.roll.node.Heard(k.now(), w.From, m))
	}
}

// report is what this router says of itself.
func (k *Keeper) report() rollout.Report {
	r := &k.roll
	rep := rollout.Report{Changing: k.machine.Busy(), Able: k.able(), Restarts: k.restarts}
	if b := k.file.Rollout; b != nil {
		rep.Run, rep.Failed, rep.OnNew = b.Run, b.Failed, b.New != 0 && b.New == k.file.Settled.Generation
	}
	if p := k.old; p != nil {
		if p.manifest.Generation != r.of || p.ends.Asked < r.last.Asked { // another process
			r.base, r.of = r.base.And(r.last), p.manifest.Generation
		}
		r.last = p.ends
		rep.MemoryMB = float64(p.use.MemoryMB)
	}
	rep.Counts = countsOf(r.base.And(r.last))
	seen := k.seen(k.old, nil)
	rep.Broken, rep.Broke = seen.Rules, seen.Text
	if k.eyes != nil {
		rep.Drains, rep.Purges = k.eyes.judge.Told()
	}
	return rep
}

// countsOf are what the judge compares.
func countsOf(e upgrade.Ends) canary.Counts {
	c := canary.Counts{Txns: float64(e.Completed + e.Rejected + e.Aborted + e.Left), Asked: e.Asked, Earned: e.Earned, Refused: float64(e.Rejected),
		Failed: float64(e.Aborted + e.Left), Answered: float64(e.Completed), Time: e.Time, Hops: float64(e.Hops)}
	if e.Hops == 0 {
		c.Answered = 0 // a program of before that tells neither
	}
	for i, name := range slices.Sorted(maps.Keys(e.Rules)) {
		if c.Rules == nil {
			c.Rules = map[string]canary.Worth{}
		}
		if w := e.Rules[name]; i < canary.MostRules {
			c.Rules[name] = canary.Worth{Txns: w[0], Asked: w[1], Earned: w[2]}
		}
	}
	return c
}

// files are what the plan names for this router.
func (k *Keeper) files() *handoff.Manifest {
	p := k.roll.plan
	own := func(path string) string { return strings.ReplaceAll(path, "{name}", k.Member) }
	return &handoff.Manifest{Program: own(p.Program), Config: own(p.Config), Operator: own(p.Operator)}
}

func (k *Keeper) able() bool {
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
func (k *Keeper) want(w rollout.Want) {
	v, _ := k.roll.node.View()
	b := k.file.Rollout
	switch onNew := b != nil && b.New != 0 && b.New == k.file.Settled.Generation; {
	case !w.Go:
	case k.plan != nil && k.plan.run != 0 && !k.plan.back && !w.New && k.machine.State > upgrade.Steady:
		k.note("the rollout goes back")
		k.feed(upgrade.Cancel)
	case k.machine.Busy() || w.New == onNew:
	case w.New && (b == nil || b.Run != v.Run || b.Failed == ""):
		before := k.file.Settled
		k.file.Rollout = &handoff.Begun{Run: v.Run, Before: before}
		k.Log.WithField("run", v.Run).Info("rollout: this router changes")
		k.plan = &plan{manifest: k.files(), run: v.Run}
		k.feed(upgrade.Apply)
	case !w.New && b.Before != nil:
		k.Log.WithField("run", v.Run).Info("rollout: this router goes back")
		k.plan = &plan{manifest: &handoff.Manifest{Program: b.Before.Program, Config: b.Before.Config, Operator: b.Before.Operator}, run: b.Run, back: true,
			alone: v.Way == rollout.Forward || v.Way == rollout.Holding}
		k.feed(upgrade.Apply)
	}
}

// rolled notes what became of a change that a rollout wanted.
func (k *Keeper) rolled(p *plan, ok bool, note string) {
	b := k.file.Rollout
	if p == nil || p.run == 0 || b == nil {
		return
	}
	switch {
	case !p.back && ok:
		b.New = k.file.Settled.Generation
	case !p.back:
		b.Failed = note
	case ok:
		if b.New = 0; p.alone {
			b.Failed = "it heard of nobody for long"
		}
	default: // the new generation does not even let go: it is ended, and the old one started
		k.Log.WithField("why", note).Warn("rollout: back by force")
		k.file.Settled, k.file.Previous, b.New = b.Before, k.file.Settled, 0
		if k.old != nil {
			k.old.kill()
		}
	}
	k.write()
}

// command takes an operator's word on the rollout.
func (k *Keeper) command(c *call, w rollout.Command) {
	say := func(ok bool, format string, args ...any) {
		r := &handoff.Word{Kind: handoff.Report, OK: ok, Over: true, Note: fmt.Sprintf(format, args...)}
		if k.roll.node != nil {
			r.Rollout = k.roll.node.Standing()
		}
		c.conn.Say(r)
		c.conn.Close()
	}
	switch {
	case k.roll.node == nil:
		say(false, "no plan: %s", cmp.Or(k.roll.bad, "keep.plan names none that is there"))
	case w == 0:
		say(true, "")
	case w == rollout.Start && k.roll.node.Standing().Lost:
		say(false, "this router has lost what it knew, and asks the others")
	default:
		k.roll.node.Command(k.now(), w)
		say(true, "told; quilldoor rollout status tells what becomes of it")
	}
}
