package rollout

import (
	"cmp"
	"fmt"
	"path/filepath"

	"quilldoor/internal/canary"
	"quilldoor/internal/yamlfile"
)

const (
	maxNameBytes       = 64
	maxStages          = 32
	maxEvents          = 10_000      // drains or purges that a stage may require
	defaultWatch       = 300.0       // seconds
	defaultMinWatch    = 30.0        // seconds
	maxWatch           = 24 * 3600.0 // seconds
	defaultSilent      = 30.0        // seconds
	maxSilent          = 3600.0      // seconds
	defaultMemoryRatio = 3.0

	// minSilent is longer than the election of a new leader takes after the old one has
	// failed: promiseHoldoff, electionTimeout, and the stagger of some routers. Otherwise a
	// new leader would skip routers that have had no time to report to it.
	minSilent = 15.0 // seconds
)

// validate checks the plan and sets its defaults.
func (p *Plan) validate() error {
	for _, check := range []func() error{
		p.validateChange, p.validateRouters, p.validateStages, p.validateLimits, p.validateReactions,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) validateChange() error {
	if p.Name == "" || len(p.Name) > maxNameBytes {
		return yamlfile.Errorf("name", "missing or longer than %d bytes", maxNameBytes)
	}
	if p.Program == "" && p.Config == "" && p.Operator == "" {
		return yamlfile.Errorf("program", "at least one of program, config and operator is required")
	}
	for _, file := range []struct{ key, path string }{
		{"program", p.Program}, {"config", p.Config}, {"operator", p.Operator},
	} {
		if file.path != "" && !filepath.IsAbs(file.path) {
			return yamlfile.Errorf(file.key, "%q is not an absolute path", file.path)
		}
	}
	return nil
}

func (p *Plan) validateRouters() error {
	if len(p.Routers) < 2 || len(p.Routers) > MaxRouters {
		return yamlfile.Errorf("routers", "%d listed, 2 to %d are required", len(p.Routers), MaxRouters)
	}
	seen := map[string]bool{}
	for i, r := range p.Routers {
		if r.Name == "" || len(r.Name) > maxNameBytes || r.Office == "" || seen[r.Name] {
			return yamlfile.Errorf(fmt.Sprintf("routers[%d]", i),
				"name %q is empty, longer than %d bytes or a duplicate, or office %q is empty", r.Name, maxNameBytes, r.Office)
		}
		seen[r.Name] = true
	}
	return nil
}

func (p *Plan) validateStages() error {
	if len(p.Stages) == 0 || len(p.Stages) > maxStages {
		return yamlfile.Errorf("stages", "%d listed, 1 to %d are required", len(p.Stages), maxStages)
	}
	for i := range p.Stages {
		if err := p.validateStage(i); err != nil {
			return err
		}
	}
	last := len(p.Stages) - 1
	if p.Stages[last].Share != 1 {
		return yamlfile.Errorf(fmt.Sprintf("stages[%d]", last), "the last stage must have share 1, so that the fleet ends in one generation")
	}
	return nil
}

func (p *Plan) validateStage(i int) error {
	stage, key := &p.Stages[i], fmt.Sprintf("stages[%d]", i)
	for _, name := range stage.Routers {
		if p.Index(name) < 0 {
			return yamlfile.Errorf(key+".routers", "%q is not a router of the plan", name)
		}
	}
	if (len(stage.Routers) == 0) == (stage.Share == 0) || !(stage.Share >= 0 && stage.Share <= 1) {
		return yamlfile.Errorf(key, "either routers or a share, above 0 and up to 1, is required")
	}
	if stage.MinDrains < 0 || stage.MinDrains > maxEvents || stage.MinPurges < 0 || stage.MinPurges > maxEvents {
		return yamlfile.Errorf(key+".drains", "drains %d or purges %d is not within 0 and %d", stage.MinDrains, stage.MinPurges, maxEvents)
	}
	stage.MaxWatchSeconds = cmp.Or(stage.MaxWatchSeconds, defaultWatch)
	stage.MinWatchSeconds = cmp.Or(stage.MinWatchSeconds, min(defaultMinWatch, stage.MaxWatchSeconds))
	maxInRange := stage.MaxWatchSeconds > 0 && stage.MaxWatchSeconds <= maxWatch
	minInRange := stage.MinWatchSeconds > 0 && stage.MinWatchSeconds <= stage.MaxWatchSeconds
	if !maxInRange || !minInRange {
		return yamlfile.Errorf(key+".watch_s", "watch_s %g and least_s %g do not satisfy 0 < least_s <= watch_s <= %g",
			stage.MaxWatchSeconds, stage.MinWatchSeconds, maxWatch)
	}
	return nil
}

func (p *Plan) setLimitDefaults() {
	p.MaxConcurrent = cmp.Or(p.MaxConcurrent, 1)
	p.MaxConcurrentRollback = cmp.Or(p.MaxConcurrentRollback, 1)
	p.SilentSeconds = cmp.Or(p.SilentSeconds, defaultSilent)
	defaults, guardrails := canary.DefaultSettings(), &p.Guardrails
	guardrails.MaxLoss = cmp.Or(guardrails.MaxLoss, defaults.MaxLoss)
	guardrails.Loss = cmp.Or(guardrails.Loss, defaults.Tolerance[canary.MetricLoss])
	guardrails.Rejections = cmp.Or(guardrails.Rejections, defaults.Tolerance[canary.MetricRejections])
	guardrails.Failures = cmp.Or(guardrails.Failures, defaults.Tolerance[canary.MetricFailures])
	guardrails.Slowdown = cmp.Or(guardrails.Slowdown, defaults.Tolerance[canary.MetricSlowness])
	guardrails.Attempts = cmp.Or(guardrails.Attempts, defaults.Tolerance[canary.MetricAttempts])
	guardrails.ClassLoss = cmp.Or(guardrails.ClassLoss, defaults.ClassTolerance)
	guardrails.FalseStopProbability = cmp.Or(guardrails.FalseStopProbability, defaults.FalseStopProbability)
	guardrails.MemoryRatio = cmp.Or(guardrails.MemoryRatio, defaultMemoryRatio)
}

func (p *Plan) validateLimits() error {
	p.setLimitDefaults()
	guardrails := &p.Guardrails
	for _, limit := range []struct {
		key              string
		value, low, high float64
	}{
		{"at_once", float64(p.MaxConcurrent), 1, MaxRouters},
		{"back_at_once", float64(p.MaxConcurrentRollback), 1, MaxRouters},
		{"silent_s", p.SilentSeconds, minSilent, maxSilent},
		{"guards.most_loss", guardrails.MaxLoss, guardrails.Loss, 1},
		{"guards.loss", guardrails.Loss, 0.0001, 1},
		{"guards.refusals", guardrails.Rejections, 0.0001, 1},
		{"guards.failures", guardrails.Failures, 0.0001, 1},
		{"guards.slower", guardrails.Slowdown, 0.001, 10},
		{"guards.hops", guardrails.Attempts, 0.001, 10},
		{"guards.rule_loss", guardrails.ClassLoss, 0.0001, 1},
		{"guards.chance", guardrails.FalseStopProbability, 0.0001, 0.5},
		{"guards.memory", guardrails.MemoryRatio, 1, 100},
	} {
		if err := yamlfile.CheckRange(limit.key, limit.value, limit.low, limit.high); err != nil {
			return err
		}
	}
	return nil
}

// validateReactions checks that each reaction is its key's default or the one alternative.
func (p *Plan) validateReactions() error {
	for _, reaction := range []struct {
		key                    string
		value                  *Reaction
		byDefault, alternative Reaction
	}{
		{"on_worse", &p.OnWorse, ReactionRollBack, ReactionPause},
		{"on_unsure", &p.OnInconclusive, ReactionPause, ReactionRollBack},
		{"cut_off", &p.OnIsolated, ReactionRollBack, ReactionKeep},
	} {
		*reaction.value = cmp.Or(*reaction.value, reaction.byDefault)
		if *reaction.value != reaction.byDefault && *reaction.value != reaction.alternative {
			return yamlfile.Errorf(reaction.key, "%q is neither %s nor %s", *reaction.value, reaction.byDefault, reaction.alternative)
		}
	}
	return nil
}
