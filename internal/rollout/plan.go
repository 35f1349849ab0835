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
	Name                  string     `yaml:"name"`
	Program               string     `yaml:"program"`  // where it lies on each machine; "": stays
	Config                string     `yaml:"config"`   // the same
	Operator              string     `yaml:"operator"` // the same; {name} stands for the router's
	Routers               []Router   `yaml:"routers"`
	Stages                []Stage    `yaml:"stages"`
	MaxConcurrent         int        `yaml:"at_once"`      // of one office
	MaxConcurrentRollback int        `yaml:"back_at_once"` // of one office, on the way back
	OnWorse               string     `yaml:"on_worse"`     // back or hold
	OnInconclusive        string     `yaml:"on_unsure"`    // hold or back
	OnIsolated            string     `yaml:"cut_off"`      // keep or back: a changed router that hears of nobody
	SilentSeconds         float64    `yaml:"silent_s"`     // after that a router is passed over
	Guardrails            Guardrails `yaml:"guards"`

	Digest uint64 `yaml:"-"` // of the text
}

// Router of a plan.
type Router struct {
	Name   string `yaml:"name"`
	Office string `yaml:"office"`
}

// Stage is the routers that have changed by its end, and how long they are watched.
type Stage struct {
	Routers         []string `yaml:"routers"` // or
	Share           float64  `yaml:"share"`   // of each office's; 1: all
	MaxWatchSeconds float64  `yaml:"watch_s"` // at the most
	MinWatchSeconds float64  `yaml:"least_s"` // at the least
	// MinDrains and purges that changed routers must have been told of meanwhile: one that
	// is deaf to them shows it only then.
	MinDrains int `yaml:"drains"`
	MinPurges int `yaml:"purges"`
}

// Guardrails are what a stage may not exceed.
type Guardrails struct {
	MaxLoss              float64 `yaml:"most_loss"` // of worth, that must be ruled out
	Loss                 float64 `yaml:"loss"`      // that is borne; so are
	Rejections           float64 `yaml:"refusals"`
	Failures             float64 `yaml:"failures"`
	Slowdown             float64 `yaml:"slower"`    // mean ln of completed txns' times
	Attempts             float64 `yaml:"hops"`      // a txn
	ClassLoss            float64 `yaml:"rule_loss"` // of a single remap rule's worth
	FalseStopProbability float64 `yaml:"chance"`    // of stopping one that is the same
	MemoryRatio          float64 `yaml:"memory"`    // of the new one's, in the old one's
}

// leastSilent is longer than it takes until another router leads, when the one that did
// has died: four seconds in which nobody is followed, and places that stand in turn.
const leastSilent = 15

// MaxRouters of a plan.
const MaxRouters = 512

// ParsePlan reads and checks a plan's text.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := &Plan{}
	if err := yamlfile.Decode(name, text, p, p.check); err != nil {
		return nil, err
	}
	p.Digest = max(xxhash.Sum64(text), 1)
	return p, nil
}

func (p *Plan) check() error {
	const mostStages, mostName = 32, 64
	if p.Name == "" || len(p.Name) > mostName {
		return yamlfile.Errorf("name", "missing, or longer than %d bytes", mostName)
	}
	if p.Program == "" && p.Config == "" && p.Operator == "" {
		return yamlfile.Errorf("program", "nothing changes: name program, config or operator")
	}
	for key, path := range map[string]string{"program": p.Program, "config": p.Config, "operator": p.Operator} {
		if path != "" && !filepath.IsAbs(path) {
			return yamlfile.Errorf(key, "not an absolute path")
		}
	}
	if len(p.Routers) < 2 || len(p.Routers) > MaxRouters {
		return yamlfile.Errorf("routers", "%d of them, 2 to %d wanted", len(p.Routers), MaxRouters)
	}
	seen := map[string]bool{}
	for i, r := range p.Routers {
		if r.Name == "" || len(r.Name) > mostName || r.Office == "" || seen[r.Name] {
			return yamlfile.Errorf(fmt.Sprintf("routers[%d]", i), "without name or office, or %q stands twice", r.Name)
		}
		seen[r.Name] = true
	}
	if len(p.Stages) == 0 || len(p.Stages) > mostStages {
		return yamlfile.Errorf("stages", "%d of them, 1 to %d wanted", len(p.Stages), mostStages)
	}
	for i := range p.Stages {
		s, key := &p.Stages[i], fmt.Sprintf("stages[%d]", i)
		for _, n := range s.Routers {
			if !seen[n] {
				return yamlfile.Errorf(key+".routers", "%q is none of the plan's", n)
			}
		}
		if (len(s.Routers) == 0) == (s.Share == 0) || !(s.Share >= 0 && s.Share <= 1) {
			return yamlfile.Errorf(key, "either routers, or a share of up to 1")
		}
		if most := 10_000; s.MinDrains < 0 || s.MinDrains > most || s.MinPurges < 0 || s.MinPurges > most {
			return yamlfile.Errorf(key+".drains", "%d, and purges %d, are not within 0 and %d", s.MinDrains, s.MinPurges, most)
		}
		s.MaxWatchSeconds = cmp.Or(s.MaxWatchSeconds, 300)
		s.MinWatchSeconds = cmp.Or(s.MinWatchSeconds, min(30, s.MaxWatchSeconds))
		if !(s.MaxWatchSeconds > 0 && s.MaxWatchSeconds <= 24*3600 && s.MinWatchSeconds > 0 && s.MinWatchSeconds <= s.MaxWatchSeconds) {
			return yamlfile.Errorf(key+".watch_s", "%g, and least_s %g, are not within 0 and a day in this order", s.MaxWatchSeconds, s.MinWatchSeconds)
		}
	}
	if p.Stages[len(p.Stages)-1].Share != 1 {
		return yamlfile.Errorf(fmt.Sprintf("stages[%d]", len(p.Stages)-1), "the last one has share 1: a fleet ends in one generation")
	}
	p.MaxConcurrent, p.MaxConcurrentRollback = cmp.Or(p.MaxConcurrent, 1), cmp.Or(p.MaxConcurrentRollback, 1)
	p.OnWorse, p.OnInconclusive, p.OnIsolated = cmp.Or(p.OnWorse, "back"), cmp.Or(p.OnInconclusive, "hold"), cmp.Or(p.OnIsolated, "back")
	p.SilentSeconds = cmp.Or(p.SilentSeconds, 30)
	d, g := canary.DefaultSettings(), &p.Guardrails
	g.MaxLoss, g.Loss = cmp.Or(g.MaxLoss, d.MaxLoss), cmp.Or(g.Loss, d.Tolerance[canary.MetricLoss])
	g.Rejections, g.Failures = cmp.Or(g.Rejections, d.Tolerance[canary.MetricRejections]), cmp.Or(g.Failures, d.Tolerance[canary.MetricFailures])
	g.Slowdown, g.Attempts, g.ClassLoss = cmp.Or(g.Slowdown, d.Tolerance[canary.MetricSlowness]), cmp.Or(g.Attempts, d.Tolerance[canary.MetricAttempts]), cmp.Or(g.ClassLoss, d.ClassTolerance)
	g.FalseStopProbability, g.MemoryRatio = cmp.Or(g.FalseStopProbability, d.FalseStopProbability), cmp.Or(g.MemoryRatio, 3)
	for _, n := range []struct {
		key       string
		v         float64
		low, high float64
	}{
		{"at_once", float64(p.MaxConcurrent), 1, MaxRouters},
		{"back_at_once", float64(p.MaxConcurrentRollback), 1, MaxRouters},
		{"silent_s", p.SilentSeconds, leastSilent, 3600},
		{"guards.most_loss", g.MaxLoss, g.Loss, 1},
		{"guards.loss", g.Loss, 0.0001, 1},
		{"guards.refusals", g.Rejections, 0.0001, 1},
		{"guards.failures", g.Failures, 0.0001, 1},
		{"guards.slower", g.Slowdown, 0.001, 10},
		{"guards.hops", g.Attempts, 0.001, 10},
		{"guards.rule_loss", g.ClassLoss, 0.0001, 1},
		{"guards.chance", g.FalseStopProbability, 0.0001, 0.5},
		{"guards.memory", g.MemoryRatio, 1, 100},
	} {
		if !(n.v >= n.low && n.v <= n.high) {
			return yamlfile.Errorf(n.key, "%g is not within %g and %g", n.v, n.low, n.high)
		}
	}
	for key, v := range map[string][3]string{"on_worse": {p.OnWorse, "back", "hold"}, "on_unsure": {p.OnInconclusive, "hold", "back"}, "cut_off": {p.OnIsolated, "back", "keep"}} {
		if v[0] != v[1] && v[0] != v[2] {
			return yamlfile.Errorf(key, "%q is neither %s nor %s", v[0], v[1], v[2])
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

// ChangedThrough tells which routers have changed by the end of a stage. A share is rounded
// up in each office, in the plan's order.
func (p *Plan) ChangedThrough(stage int) Set {
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

// CanarySettings are the judge's settings.
func (p *Plan) CanarySettings() canary.Settings {
	d := canary.DefaultSettings()
	d.FalseStopProbability, d.MaxLoss = p.Guardrails.FalseStopProbability, p.Guardrails.MaxLoss
	d.Tolerance = [canary.MetricCount]float64{p.Guardrails.Loss, p.Guardrails.Rejections, p.Guardrails.Failures, p.Guardrails.Slowdown, p.Guardrails.Attempts}
	d.ClassTolerance = p.Guardrails.ClassLoss
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
