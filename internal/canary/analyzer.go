package canary

import "slices"

// maxSamples bounds the memory of a stage, to several hours of samples.
const maxSamples = 20_000

// arm is one side of the comparison: the routers with the old or with the new generation.
type arm int

const (
	armOld arm = iota
	armNew
	armCount
)

// Analyzer compares the two arms of one stage.
type Analyzer struct {
	settings Settings
	budget   errorBudget
	zones    map[string]*[armCount]Counts // by zone: counts since the zone's last sample
	samples  [MetricCount][]float64       // differences, new minus old
	classes  map[string]*classAnalysis
}

// classAnalysis samples the loss of one traffic class separately: the class may have few
// requests, so that its samples take longer.
type classAnalysis struct {
	zones   map[string]*[armCount]ClassCounts
	samples []float64
}

// New returns the analyzer of one stage of a plan. The plan's stages divide the
// probability of a false stop among them.
func New(settings Settings, stages int) *Analyzer {
	return &Analyzer{
		settings: settings,
		budget:   newErrorBudget(&settings, stages),
		zones:    map[string]*[armCount]Counts{},
		classes:  map[string]*classAnalysis{},
	}
}

// SkipMicros returns how long after its change a router is left out of the analysis, in
// microseconds.
func (a *Analyzer) SkipMicros() int64 { return a.settings.SkipMicros }

// Observe adds the counts of a router of a zone since its previous observation.
func (a *Analyzer) Observe(zone string, isNew bool, c Counts) {
	side := armOld
	if isNew {
		side = armNew
	}
	arms := a.zones[zone]
	if arms == nil {
		arms = &[armCount]Counts{}
		a.zones[zone] = arms
	}
	arms[side] = arms[side].Plus(c)
	for name, counts := range c.Classes {
		if class := a.class(name); class != nil {
			class.observe(zone, side, counts)
		}
	}
}

// class returns the analysis of a traffic class, which it creates if need be; nil: there
// are MaxClasses others.
func (a *Analyzer) class(name string) *classAnalysis {
	class := a.classes[name]
	if class == nil && len(a.classes) < MaxClasses {
		class = &classAnalysis{zones: map[string]*[armCount]ClassCounts{}}
		a.classes[name] = class
	}
	return class
}

func (c *classAnalysis) observe(zone string, side arm, counts ClassCounts) {
	arms := c.zones[zone]
	if arms == nil {
		arms = &[armCount]ClassCounts{}
		c.zones[zone] = arms
	}
	arms[side] = arms[side].addScaled(counts, 1)
}

// EndSample makes one sample of all zones whose two arms have enough requests, with each
// zone weighted by the requests of its smaller arm. A fault affects zones together, so
// their differences at one time are not independent samples.
func (a *Analyzer) EndSample() {
	var weight, sum [MetricCount]float64
	for _, arms := range a.zones {
		requests := min(arms[armOld].Requests, arms[armNew].Requests)
		if requests < a.settings.MinRequests {
			continue
		}
		for m := range MetricCount {
			newValue, newReported := m.valueOf(&arms[armNew])
			oldValue, oldReported := m.valueOf(&arms[armOld])
			if newReported && oldReported {
				weight[m] += requests
				sum[m] += requests * (newValue - oldValue)
			}
		}
		*arms = [armCount]Counts{}
	}
	for m := range MetricCount {
		a.samples[m] = appendSample(a.samples[m], sum[m], weight[m])
	}
	for _, class := range a.classes {
		class.endSample(a.settings.MinRequests)
	}
}

func (c *classAnalysis) endSample(minRequests float64) {
	weight, sum := 0.0, 0.0
	for _, arms := range c.zones {
		requests := min(arms[armOld].Requests, arms[armNew].Requests)
		if requests < minRequests {
			continue
		}
		weight += requests
		sum += requests * (arms[armOld].earned() - arms[armNew].earned())
		*arms = [armCount]ClassCounts{}
	}
	c.samples = appendSample(c.samples, sum, weight)
}

// appendSample adds a weighted mean as a sample, unless its weight is 0.
func appendSample(samples []float64, sum, weight float64) []float64 {
	if weight > 0 && len(samples) < maxSamples {
		samples = append(samples, sum/weight)
	}
	return samples
}

// Samples returns a metric's differences so far.
func (a *Analyzer) Samples(m Metric) []float64 { return a.samples[m] }

// Interval returns a metric's confidence interval.
func (a *Analyzer) Interval(m Metric) Interval {
	return confidenceInterval(a.samples[m], a.budget.metric[m], a.settings.MinRequests)
}

// Classes returns the names of the traffic classes that have samples, sorted.
func (a *Analyzer) Classes() (names []string) {
	for name, class := range a.classes {
		if len(class.samples) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ClassInterval returns the confidence interval of the loss of a class, and its samples.
// The name must be one that Classes has returned.
func (a *Analyzer) ClassInterval(name string) (Interval, []float64) {
	samples := a.classes[name].samples
	return confidenceInterval(samples, a.budget.class, a.settings.MinRequests), samples
}
