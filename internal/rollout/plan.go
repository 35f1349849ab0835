// Package rollout decides how a change of program or settings goes through the routers
// of a site in stages, stops and turns back: who may change now (node.go, a register
// that a majority of the plan's routers holds, and a lease on it), what comes next
// (lead.go), by a judge (package verdict). It does no I/O and has no clock of its own;
// times are whole microseconds of each router's own steady clock, and nothing compares
// two routers' clocks. docs/rollout.md tells the rest.
package rollout

import (
	"cmp"
	"fmt"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"quilldoor/internal/canary"
	"quilldoor/internal/yamlfile"
)

// Plan is what an operator writes, the same on all routers of it.
type Plan struct {
	Name     string   `yaml:"name"`
	Program  string   `yaml:"program"`  // where it lies on each machine; "": stays
	Config   string   `yaml:"config"`   // the same
	Operator string   `yaml:"operator"` // the same; {name} stands for the router's
	Routers  []Router `yaml:"routers"`
	Stages   []Stage  `yaml:"stages"`
	AtOnce   int      `yaml:"at_once"`      // of one office
	BackOnce int      `yaml:"back_at_once"` // of one office, on the way back
	OnWorse  string   `yaml:"on_worse"`     // back or hold
	OnUnsure string   `yaml:"on_unsure"`    // hold or back
	CutOff   string   `yaml:"cut_off"`      // keep or back: a changed router that hears of nobody
	SilentS  float64  `yaml:"silent_s"`     // after that a router is passed over
	Guards   Guards   `yaml:"guards"`

	Digest uint64 `yaml:"-"` // of the text
}

// Router of a plan.
type Router struct {
	Name   string `yaml:"name"`
	Office string `yaml:"office"`
}

// Stage is the routers that have changed by its end, and how long they are watched.
type Stage struct {
	Routers []string `yaml:"routers"` // or
	Share   float64  `yaml:"share"`   // of each office's; 1: all
	WatchS  float64  `yaml:"watch_s"` // at the most
	LeastS  float64  `yaml:"least_s"` // at the least
	// Drains and purges that changed routers must have been told of meanwhile: one that
	// is deaf to them shows it only then.
	Drains int `yaml:"drains"`
	Purges int `yaml:"purges"`
}

// Guards are what a stage may not exceed.
type Guards struct {
	MostLoss float64 `yaml:"most_loss"` // of worth, that must be ruled out
	Loss     float64 `yaml:"loss"`      // that is borne; so are
	Refusals float64 `yaml:"refusals"`
	Failures float64 `yaml:"failures"`
	Slower   float64 `yaml:"slower"`    // mean ln of completed txns' times
	Hops     float64 `yaml:"hops"`      // a txn
	RuleLoss float64 `yaml:"rule_loss"` // of a single remap rule's worth
	Chance   float64 `yaml:"chance"`    // of stopping one that is the same
	Memory   float64 `yaml:"memory"`    // of the new one's, in the old one's
}

// leastSilent is longer than it takes until another router leads, when the one that did
// has died: four seconds in which nobody is followed, and places that stand in turn.
const leastSilent = 15

// MostRouters of a plan.
const MostRouters = 512

// ParsePlan reads and checks a plan's text.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := &Plan{}
	if err := yamlfile.Read(name, text, p, p.check); err != nil {
		return nil, err
	}
	p.Digest = max(xxhash.Sum64(text), 1)
	return p, nil
}

func (p *Plan) check() error {
	const mostStages, mostName = 32, 64
	if p.Name == "" || len(p.Name) > mostName {
		return yamlfile.Wrong("name", "missing, or longer than %d bytes", mostName)
	}
	if p.Program == "" && p.Config == "" && p.Operator == "" {
		return yamlfile.Wrong("program", "nothing changes: name program, config or operator")
	}
	for key, path := range map[string]string{"program": p.Program, "config": p.Config, "operator": p.Operator} {
		if path != "" && !filepath.IsAbs(path) {
			return yamlfile.Wrong(key, "not an absolute path")
		}
	}
	if len(p.Routers) < 2 || len(p.Routers) > MostRouters {
		return yamlfile.Wrong("routers", "%d of them, 2 to %d wanted", len(p.Routers), MostRouters)
	}
	seen := map[string]bool{}
	for i, r := range p.Routers {
		if r.Name == "" || len(r.Name) > mostName || r.Office == "" || seen[r.Name] {
			return yamlfile.Wrong(fmt.Sprintf("routers[%d]", i), "without name or office, or %q stands twice", r.Name)
		}
		seen[r.Name] = true
	}
	if len(p.Stages) == 0 || len(p.Stages) > mostStages {
		return yamlfile.Wrong("stages", "%d of them, 1 to %d wanted", len(p.Stages), mostStages)
	}
	for i := range p.Stages {
		s, key := &p.Stages[i], fmt.Sprintf("stages[%d]", i)
		for _, n := range s.Routers {
			if !seen[n] {
				return yamlfile.Wrong(key+".routers", "%q is none of the plan's", n)
			}
		}
		if (len(s.Routers) == 0) == (s.Share == 0) || !(s.Share >= 0 && s.Share <= 1) {
			return yamlfile.Wrong(key, "either routers, or a share of up to 1")
		}
		if most := 10_000; s.Drains < 0 || s.Drains > most || s.Purges < 0 || s.Purges > most {
			return yamlfile.Wrong(key+".drains", "%d, and purges %d, are not within 0 and %d", s.Drains, s.Purges, most)
		}
		s.WatchS = cmp.Or(s.WatchS, 300)
		s.LeastS = cmp.Or(s.LeastS, min(30, s.WatchS))
		if !(s.WatchS > 0 && s.WatchS <= 24*3600 && s.LeastS > 0 && s.LeastS <= s.WatchS) {
			return yamlfile.Wrong(key+".watch_s", "%g, and least_s %g, are not within 0 and a day in this order", s.WatchS, s.LeastS)
		}
	}
	if p.Stages[len(p.Stages)-1].Share != 1 {
		return yamlfile.Wrong(fmt.Sprintf("stages[%d]", len(p.Stages)-1), "the last one has share 1: a fleet ends in one generation")
	}
	p.AtOnce, p.BackOnce = cmp.Or(p.AtOnce, 1), cmp.Or(p.BackOnce, 1)
	p.OnWorse, p.OnUnsure, p.CutOff = cmp.Or(p.OnWorse, "back"), cmp.Or(p.OnUnsure, "hold"), cmp.Or(p.CutOff, "back")
	p.SilentS = cmp.Or(p.SilentS, 30)
	d, g := canary.Default(), &p.Guards
	g.MostLoss, g.Loss = cmp.Or(g.MostLoss, d.Most), cmp.Or(g.Loss, d.Bear[canary.Loss])
	g.Refusals, g.Failures = cmp.Or(g.Refusals, d.Bear[canary.Refusals]), cmp.Or(g.Failures, d.Bear[canary.Failures])
	g.Slower, g.Hops, g.RuleLoss = cmp.Or(g.Slower, d.Bear[canary.Slowness]), cmp.Or(g.Hops, d.Bear[canary.Hops]), cmp.Or(g.RuleLoss, d.Rule)
	g.Chance, g.Memory = cmp.Or(g.Chance, d.Chance), cmp.Or(g.Memory, 3)
	for _, n := range []struct {
		key       string
		v         float64
		low, high float64
	}{{"at_once", float64(p.AtOnce), 1, MostRouters}, {"back_at_once", float64(p.BackOnce), 1, MostRouters}, {"silent_s", p.SilentS, leastSilent, 3600},
		{"guards.most_loss", g.MostLoss, g.Loss, 1}, {"guards.loss", g.Loss, 0.0001, 1}, {"guards.refusals", g.Refusals, 0.0001, 1},
		{"guards.failures", g.Failures, 0.0001, 1}, {"guards.slower", g.Slower, 0.001, 10}, {"guards.hops", g.Hops, 0.001, 10},
		{"guards.rule_loss", g.RuleLoss, 0.0001, 1}, {"guards.chance", g.Chance, 0.0001, 0.5}, {"guards.memory", g.Memory, 1, 100}} {
		if !(n.v >= n.low && n.v <= n.high) {
			return yamlfile.Wrong(n.key, "%g is not within %g and %g", n.v, n.low, n.high)
		}
	}
	for key, v := range map[string][3]string{"on_worse": {p.OnWorse, "back", "hold"}, "on_unsure": {p.OnUnsure, "hold", "back"}, "cut_off": {p.CutOff, "back", "keep"}} {
		if v[0] != v[1] && v[0] != v[2] {
			return yamlfile.Wrong(key, "%q is neither %s nor %s", v[0], v[1], v[2])
		}
	}
	return nil
}

// Index of a router in the plan; -1: it is none of it.
func (p *Plan) Index(name string) int {
	for i, r := range p.Routers {
		if r.Name == name {
			return i
		}
	}
	return -1
}

// Through tells which routers have changed by the end of a stage. A share is rounded
// up in each office, in the plan's order.
func (p *Plan) Through(stage int) Set {
	var s Set
	for _, g := range p.Stages[:min(stage+1, len(p.Stages))] {
		for _, n := range g.Routers {
			s = s.With(p.Index(n))
		}
		if g.Share == 0 {
			continue
		}
		all, had := map[string]int{}, map[string]int{}
		for _, r := range p.Routers {
			all[r.Office]++
		}
		for i, r := range p.Routers {
			if s.Has(i) {
				had[r.Office]++
			}
		}
		for i, r := range p.Routers {
			if !s.Has(i) && float64(had[r.Office]) < g.Share*float64(all[r.Office])-1e-9 {
				s = s.With(i)
				had[r.Office]++
			}
		}
	}
	return s
}

// Verdict are the judge's settings.
func (p *Plan) Verdict() canary.Settings {
	d := canary.Default()
	d.Chance, d.Most = p.Guards.Chance, p.Guards.MostLoss
	d.Bear = [canary.Figures]float64{p.Guards.Loss, p.Guards.Refusals, p.Guards.Failures, p.Guards.Slower, p.Guards.Hops}
	d.Rule = p.Guards.RuleLoss
	return d
}

// Set of routers, by their places in the plan, a bit each.
type Set []byte

// Has tells whether a place is in it.
func (s Set) Has(i int) bool { return i >= 0 && i/8 < len(s) && s[i/8]>>(i%8)&1 == 1 }

// With is a copy with a place more.
func (s Set) With(i int) Set {
	out := make(Set, max(len(s), i/8+1))
	copy(out, s)
	out[i/8] |= 1 << (i % 8)
	return out
}

// Without is a copy with a place less.
func (s Set) Without(i int) Set {
	if !s.Has(i) {
		return s
	}
	out := append(Set(nil), s...)
	out[i/8] &^= 1 << (i % 8)
	return out
}

// Count is how many it has.
func (s Set) Count() (n int) {
	for i := range 8 * len(s) {
		if s.Has(i) {
			n++
		}
	}
	return n
}
