package canary

import "slices"

// maxSamples bounds the memory of a stage: hours of samples.
const maxSamples = 20_000

// arm is one side of the comparison.
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
	offices  map[string]*[armCount]Counts // since the office's last sample
	samples  [MetricCount][]float64       // differences, new less old
	classes  map[string]*classAnalysis
}

// classAnalysis is a traffic class's loss, sampled by itself: its requests may be few
// and its samples take long.
type classAnalysis struct {
	offices map[string]*[armCount]ClassCounts
	samples []float64
}

// New returns the analyzer of one of a number of stages, which share the probability of
// a false stop.
func New(settings Settings, stages int) *Analyzer {
	return &Analyzer{
		settings: settings,
		budget:   newErrorBudget(&settings, stages),
		offices:  map[string]*[armCount]Counts{},
		classes:  map[string]*classAnalysis{},
	}
}

// SkipMicros returns how long after its change a router is left out, microseconds.
func (a *Analyzer) SkipMicros() int64 { return a.settings.SkipMicros }

// Observe adds what a router of an office did since it was observed last.
func (a *Analyzer) Observe(office string, isNew bool, c Counts) {
	side := armOld
	if isNew {
		side = armNew
	}
	arms := a.offices[office]
	if arms == nil {
		arms = &[armCount]Counts{}
		a.offices[office] = arms
	}
	arms[side] = arms[side].Plus(c)
	for name, counts := range c.Classes {
		if class := a.class(name); class != nil {
			class.observe(office, side, counts)
		}
	}
}

// class returns the analysis of a traffic class; nil: there are MaxClasses others.
func (a *Analyzer) class(name string) *classAnalysis {
	class := a.classes[name]
	if class == nil && len(a.classes) < MaxClasses {
		class = &classAnalysis{offices: map[string]*[armCount]ClassCounts{}}
		a.classes[name] = class
	}
	return class
}

func (c *classAnalysis) observe(office string, side arm, counts ClassCounts) {
	arms := c.offices[office]
	if arms == nil {
		arms = &[armCount]ClassCounts{}
		c.offices[office] = arms
	}
	arms[side] = arms[side].addScaled(counts, 1)
}

// EndSample makes one sample of all offices whose two arms have enough requests,
// weighted by the smaller arm. A fault strikes offices together, so that their
// differences at one time are no independent samples.
func (a *Analyzer) EndSample() {
	var weight, sum [MetricCount]float64
	for _, arms := range a.offices {
		w := min(arms[armOld].Requests, arms[armNew].Requests)
		if w < a.settings.MinRequests {
			continue
		}
		for m := range MetricCount {
			newValue, inNew := m.of(&arms[armNew])
			oldValue, inOld := m.of(&arms[armOld])
			if inNew && inOld {
				weight[m] += w
				sum[m] += w * (newValue - oldValue)
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
	for _, arms := range c.offices {
		w := min(arms[armOld].Requests, arms[armNew].Requests)
		if w < minRequests {
			continue
		}
		weight += w
		sum += w * (arms[armOld].earned() - arms[armNew].earned())
		*arms = [armCount]ClassCounts{}
	}
	c.samples = appendSample(c.samples, sum, weight)
}

// appendSample adds a weighted mean. No weight makes no sample.
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

// ClassInterval returns the confidence interval of the loss of a class that Classes has
// returned, and its samples.
func (a *Analyzer) ClassInterval(name string) (Interval, []float64) {
	samples := a.classes[name].samples
	return confidenceInterval(samples, a.budget.class, a.settings.MinRequests), samples
}
