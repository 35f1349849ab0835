package rollout

import (
	"github.com/cespare/xxhash/v2"

	"quilldoor/internal/canary"
	"quilldoor/internal/yamlfile"
)

// MaxRouters is the most that a plan may have.
const MaxRouters = 512

// Plan is the operator's file of a rollout. It must be the same on all its routers.
type Plan struct {
	Name string `yaml:"name"`
	// Absolute paths on each machine of what changes; "": it stays. In all three {name}
	// stands for the router's name among members.
	Program  string   `yaml:"program"`
	Config   string   `yaml:"config"`
	Operator string   `yaml:"operator"`
	Routers  []Router `yaml:"routers"`
	Stages   []Stage  `yaml:"stages"`
	// How many routers of an office change at the same time, forward and when rolling
	// back; 0: 1.
	MaxConcurrent         int `yaml:"at_once"`
	MaxConcurrentRollback int `yaml:"back_at_once"`
	// What follows when a stage is worse, when its watch ends without a result, and what
	// a changed router does by itself that has no contact to the leader.
	OnWorse        Reaction `yaml:"on_worse"`  // back or hold; "": back
	OnInconclusive Reaction `yaml:"on_unsure"` // hold or back; "": hold
	OnIsolated     Reaction `yaml:"cut_off"`   // back or keep; "": back
	// SilentSeconds is the silence after which a router is passed over, 15 to 3600; 0: 30.
	// A short one skips routers that only restart; a long one delays each stage that has a
	// dead router.
	SilentSeconds float64    `yaml:"silent_s"`
	Guardrails    Guardrails `yaml:"guards"`

	Digest uint64 `yaml:"-"` // xxHash64 of the file's text; never 0
}

// Router of a plan. Routers of one office are compared with each other: they see the same
// clients and caches, as those of one zone do.
type Router struct {
	Name   string `yaml:"name"` // among members
	Office string `yaml:"office"`
}

// Stage says which routers have changed by its end, and how long they are watched then.
type Stage struct {
	Routers         []string `yaml:"routers"` // by name; or
	Share           float64  `yaml:"share"`   // of each office's routers, up to 1, those of earlier stages included
	MaxWatchSeconds float64  `yaml:"watch_s"` // after which the watch ends without a result, up to a day; 0: 300
	MinWatchSeconds float64  `yaml:"least_s"` // before which no stage passes, up to MaxWatchSeconds; 0: 30 or that
	// Drains and purges that each changed router must have been notified of during the
	// watch: one that ignores them shows it only then.
	MinDrains int `yaml:"drains"`
	MinPurges int `yaml:"purges"`
}

// Guardrails bound how much worse the new generation may be. All but the last two are
// differences, new less old, between routers of an office. A stage stops once the whole
// confidence interval of one of them lies above its tolerance. It passes once that of the
// loss lies below MaxLoss. A field that is 0 has its default.
type Guardrails struct {
	MaxLoss              float64 `yaml:"most_loss"` // share of the weight offered, Loss to 1; 0.05
	Loss                 float64 `yaml:"loss"`      // tolerance: share of the weight offered, 0.0001 to 1; 0.01
	Rejections           float64 `yaml:"refusals"`  // tolerance: share of requests, 0.0001 to 1; 0.005
	Failures             float64 `yaml:"failures"`  // tolerance: share of requests, 0.0001 to 1; 0.005
	Slowdown             float64 `yaml:"slower"`    // tolerance: mean of ln(latency / objective), 0.001 to 10; 0.05
	Attempts             float64 `yaml:"hops"`      // tolerance: attempts per request, 0.001 to 10; 0.05
	ClassLoss            float64 `yaml:"rule_loss"` // tolerance: share of a traffic class's weight, 0.0001 to 1; 0.03
	FalseStopProbability float64 `yaml:"chance"`    // of stopping a generation that is the same, 0.0001 to 0.5; 0.05
	MemoryRatio          float64 `yaml:"memory"`    // new generation's memory over the old one's, 1 to 100; 3
}

// Reaction is what follows from a result, as a Plan states it.
type Reaction string

// Reactions.
const (
	ReactionRollBack Reaction = "back" // all changed routers return to the old generation
	ReactionPause    Reaction = "hold" // nothing changes until the operator decides
	ReactionKeep     Reaction = "keep" // stay at the new generation
)

// ParsePlan reads and validates the text of a plan file and fills in its defaults. Its
// errors name the file, the line and the key.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := &Plan{}
	if err := yamlfile.Decode(name, text, p, p.validate); err != nil {
		return nil, err
	}
	p.Digest = max(xxhash.Sum64(text), 1)
	return p, nil
}

// Index returns the index of a router in the plan; -1: it has none of this name.
func (p *Plan) Index(name string) int {
	for i, r := range p.Routers {
		if r.Name == name {
			return i
		}
	}
	return -1
}

// ChangedThrough returns the routers that have changed by the end of a stage. A share is
// rounded up in each office and takes routers in the plan's order.
func (p *Plan) ChangedThrough(stage int) (changed Set) {
	for i := range p.Stages[:min(stage+1, len(p.Stages))] {
		s := &p.Stages[i]
		for _, name := range s.Routers {
			changed = changed.With(p.Index(name))
		}
		if s.Share > 0 {
			changed = p.withShare(changed, s.Share)
		}
	}
	return changed
}

// withShare adds routers until the share of each office has changed.
func (p *Plan) withShare(changed Set, share float64) Set {
	const roundingError = 1e-9 // of a share times a number of routers
	total := map[string]int{}
	done := map[string]int{}
	for i, r := range p.Routers {
		total[r.Office]++
		if changed.Has(i) {
			done[r.Office]++
		}
	}
	for i, r := range p.Routers {
		if !changed.Has(i) && float64(done[r.Office]) < share*float64(total[r.Office])-roundingError {
			changed = changed.With(i)
			done[r.Office]++
		}
	}
	return changed
}

// CanarySettings returns the settings of the canary analysis.
func (p *Plan) CanarySettings() canary.Settings {
	settings := canary.DefaultSettings()
	settings.FalseStopProbability = p.Guardrails.FalseStopProbability
	settings.MaxLoss = p.Guardrails.MaxLoss
	settings.Tolerance = [canary.MetricCount]float64{
		canary.MetricLoss:       p.Guardrails.Loss,
		canary.MetricRejections: p.Guardrails.Rejections,
		canary.MetricFailures:   p.Guardrails.Failures,
		canary.MetricSlowness:   p.Guardrails.Slowdown,
		canary.MetricAttempts:   p.Guardrails.Attempts,
	}
	settings.ClassTolerance = p.Guardrails.ClassLoss
	return settings
}

func (p *Plan) silentMicros() int64 { return secondsToMicros(p.SilentSeconds) }

func secondsToMicros(seconds float64) int64 { return int64(seconds * 1e6) }
