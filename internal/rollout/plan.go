package rollout

import (
	"github.com/cespare/xxhash/v2"

	"quilldoor/internal/canary"
	"quilldoor/internal/yamlfile"
)

// MaxRouters is the maximum number of routers in a plan.
const MaxRouters = 512

// Plan is the content of a rollout's plan file, which the operator writes. The file must be
// identical on all routers of the plan.
type Plan struct {
	Name string `yaml:"name"`
	// Absolute paths, on each machine, of the files of the new generation; "": this file
	// does not change. {name} in a path stands for the router's membership name.
	Program  string   `yaml:"program"`
	Config   string   `yaml:"config"`
	Operator string   `yaml:"operator"`
	Routers  []Router `yaml:"routers"`
	Stages   []Stage  `yaml:"stages"`
	// Maximum number of routers of an office that change at the same time, when upgrading
	// and when rolling back; 0: 1.
	MaxConcurrent         int `yaml:"at_once"`
	MaxConcurrentRollback int `yaml:"back_at_once"`
	// Reactions to a stage that is worse, to a watch that ends without a result, and to a
	// changed router's loss of contact with the leader.
	OnWorse        Reaction `yaml:"on_worse"`  // back or hold; "": back
	OnInconclusive Reaction `yaml:"on_unsure"` // hold or back; "": hold
	OnIsolated     Reaction `yaml:"cut_off"`   // back or keep; "": back
	// SilentSeconds is the time without a report after which a router that is changing or has
	// changed is skipped, 15 to 3600; 0: 30. A short time skips routers that are only
	// restarting; a long time delays each stage that has a failed router.
	SilentSeconds float64    `yaml:"silent_s"`
	Guardrails    Guardrails `yaml:"guards"`

	Digest uint64 `yaml:"-"` // xxHash64 of the file's text; never 0
}

// Router is a router of a plan. Routers of one office are compared with each other: like
// those of one zone, they serve the same clients and use the same caches.
type Router struct {
	Name   string `yaml:"name"` // membership name
	Office string `yaml:"office"`
}

// Stage defines which routers have changed by its end, either by Routers or by Share, and
// how long they are watched after that.
type Stage struct {
	Routers         []string `yaml:"routers"` // by name
	Share           float64  `yaml:"share"`   // of each office's routers, up to 1, including those of earlier stages
	MaxWatchSeconds float64  `yaml:"watch_s"` // when the watch ends without a result, up to a day; 0: 300
	MinWatchSeconds float64  `yaml:"least_s"` // before it the stage can't pass, up to MaxWatchSeconds; 0: 30, or MaxWatchSeconds if less
	// Minimum number of drains and purges of which each changed router must be notified
	// during the watch: a generation that ignores them can be detected only then.
	MinDrains int `yaml:"drains"`
	MinPurges int `yaml:"purges"`
}

// Guardrails bound how much worse the new generation may be. All but the last two fields
// bound differences, new minus old, between routers of an office. A stage stops once the
// whole confidence interval of a metric is above its tolerance, and passes once the whole
// interval of the loss is below MaxLoss. Each comment ends with the range and the default,
// which applies where the field is 0.
type Guardrails struct {
	MaxLoss              float64 `yaml:"most_loss"` // limit for passing: share of the weight offered, Loss to 1; 0.05
	Loss                 float64 `yaml:"loss"`      // tolerance: share of the weight offered, 0.0001 to 1; 0.01
	Rejections           float64 `yaml:"refusals"`  // tolerance: share of requests, 0.0001 to 1; 0.005
	Failures             float64 `yaml:"failures"`  // tolerance: share of requests, 0.0001 to 1; 0.005
	Slowdown             float64 `yaml:"slower"`    // tolerance: mean of ln(latency / objective), 0.001 to 10; 0.05
	Attempts             float64 `yaml:"hops"`      // tolerance: attempts per request, 0.001 to 10; 0.05
	ClassLoss            float64 `yaml:"rule_loss"` // tolerance: share of a traffic class's weight, 0.0001 to 1; 0.03
	FalseStopProbability float64 `yaml:"chance"`    // of stopping a generation that is no different, 0.0001 to 0.5; 0.05
	MemoryRatio          float64 `yaml:"memory"`    // new generation's memory divided by the old one's, 1 to 100; 3
}

// Reaction is the response to a result, as a Plan states it.
type Reaction string

// Reactions.
const (
	ReactionRollBack Reaction = "back" // all changed routers return to the old generation
	ReactionPause    Reaction = "hold" // no router changes until the operator decides
	ReactionKeep     Reaction = "keep" // the router stays at the new generation
)

// ParsePlan parses and validates the text of a plan file and sets the defaults. Errors
// contain the file name, the line and the key.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := &Plan{}
	if err := yamlfile.Decode(name, text, p, p.validate); err != nil {
		return nil, err
	}
	p.Digest = max(xxhash.Sum64(text), 1)
	return p, nil
}

// Index returns the index of a router in Routers; -1: the plan has no router of this name.
func (p *Plan) Index(name string) int {
	for i, r := range p.Routers {
		if r.Name == name {
			return i
		}
	}
	return -1
}

// ChangedThrough returns the routers that have changed by the end of a stage. A share is
// rounded up in each office and filled in the order of Routers.
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
	const roundingError = 1e-9 // of the product of a share and a number of routers

	routerCount := map[string]int{}  // by office
	changedCount := map[string]int{} // by office
	for i, r := range p.Routers {
		routerCount[r.Office]++
		if changed.Has(i) {
			changedCount[r.Office]++
		}
	}
	for i, r := range p.Routers {
		if !changed.Has(i) && float64(changedCount[r.Office]) < share*float64(routerCount[r.Office])-roundingError {
			changed = changed.With(i)
			changedCount[r.Office]++
		}
	}
	return changed
}

// CanarySettings returns the settings of the canary analysis: the defaults of package
// canary, with the plan's guardrails.
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
