package rollout

import "quilldoor/internal/canary"

// Status is the state of the rollout as known to one router, for status pages and commands.
type Status struct {
	Plan   string `cbor:"1,keyasint,omitempty" json:"plan"`             // the plan's name
	Digest uint64 `cbor:"2,keyasint,omitempty" json:"digest,string"`    // Plan.Digest
	Phase  string `cbor:"3,keyasint,omitempty" json:"way"`              // Phase.String
	Stage  int    `cbor:"4,keyasint,omitempty" json:"stage"`            // from 1
	Stages int    `cbor:"5,keyasint,omitempty" json:"stages"`           // in the plan
	Reason string `cbor:"6,keyasint,omitempty" json:"why,omitempty"`    // State.Reason
	AgeMS  int64  `cbor:"7,keyasint,omitempty" json:"age_ms"`           // age of the last known decided state; -1: none is known
	Seq    uint64 `cbor:"8,keyasint,omitempty" json:"seq"`              // of that state
	Leader string `cbor:"9,keyasint,omitempty" json:"leader,omitempty"` // name of the last known leader; "": none is known
	// IsLeader reports whether this router is the leader. Only a leader sets the routers'
	// reports, and the fields from Verdict to Bounds while it watches a stage. Verdict is a
	// canary.Verdict's name, a colon and its reason; WatchMS is the duration of the watch.
	IsLeader   bool             `cbor:"10,keyasint,omitempty" json:"leads"`
	Routers    []RouterStatus   `cbor:"11,keyasint,omitempty" json:"routers"` // in the plan's order
	Verdict    string           `cbor:"12,keyasint,omitempty" json:"say,omitempty"`
	WatchMS    int64            `cbor:"13,keyasint,omitempty" json:"watch_ms"`
	Bounds     []MetricInterval `cbor:"14,keyasint,omitempty" json:"bounds,omitempty"`
	Recovering bool             `cbor:"15,keyasint,omitempty" json:"lost"` // this router lost its durable state and requests that of the others
}

// RouterStatus is the status of one router of the plan.
type RouterStatus struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Office   string `cbor:"2,keyasint" json:"office"`
	Activity string `cbor:"3,keyasint,omitempty" json:"does"`     // old, changes, silent (skipped) or new
	HeardMS  int64  `cbor:"4,keyasint,omitempty" json:"heard_ms"` // time since its last report; set by a leader
	Report   Report `cbor:"5,keyasint,omitempty" json:"report"`   // set by a leader
}

// Values of RouterStatus.Activity.
const (
	activityOld      = "old"     // has the old generation
	activityChanging = "changes" // is in the batch
	activitySilent   = "silent"  // was skipped
	activityNew      = "new"     // has the new generation
)

// MetricInterval is the confidence interval of a metric's difference, new generation minus
// old, with its samples.
type MetricInterval struct {
	Metric    string    `cbor:"1,keyasint" json:"figure"` // a canary.Metric's name, or MetricLoss's name and a traffic class
	Tolerance float64   `cbor:"2,keyasint" json:"bears"`  // the stage stops once Low is above it
	Mean      float64   `cbor:"3,keyasint" json:"mean"`   // in the metric's unit
	Low       float64   `cbor:"4,keyasint" json:"low"`
	High      float64   `cbor:"5,keyasint" json:"high"`
	Samples   []float64 `cbor:"6,keyasint,omitempty" json:"moments,omitempty"` // the latest ones, 600 at most
}

// Status returns the status of the rollout as known to this router.
func (n *Node) Status() *Status {
	view, age := n.View()
	status := &Status{
		Plan:       n.plan.Name,
		Digest:     n.plan.Digest,
		Phase:      view.Phase.String(),
		Stage:      view.Stage + 1,
		Stages:     len(n.plan.Stages),
		Reason:     view.Reason,
		AgeMS:      age / millisecond,
		Seq:        view.Seq,
		IsLeader:   n.IsLeader(),
		Recovering: n.recovering(),
	}
	if age < 0 {
		status.AgeMS = -1
	}
	if n.leaderIndex >= 0 {
		status.Leader = n.plan.Routers[n.leaderIndex].Name
	}
	for i := range n.plan.Routers {
		status.Routers = append(status.Routers, n.routerStatus(&view, i))
	}
	if n.leader != nil {
		n.leader.addWatchStatus(n, status)
	}
	return status
}

func (n *Node) routerStatus(view *State, i int) RouterStatus {
	r := &n.plan.Routers[i]
	s := RouterStatus{Name: r.Name, Office: r.Office, Activity: activityOld}
	switch {
	case view.Batch.Has(i):
		s.Activity = activityChanging
	case view.Skipped.Has(i):
		s.Activity = activitySilent
	case view.Changed.Has(i):
		s.Activity = activityNew
	}
	if n.leader != nil {
		s.HeardMS = (n.now - n.leader.routers[i].reportedAt) / millisecond
		s.Report = n.leader.routers[i].report
	}
	return s
}

// addWatchStatus adds the verdict and the intervals of the canary analysis while a stage is
// watched.
func (l *leader) addWatchStatus(n *Node, s *Status) {
	analyzer := l.watch.analyzer
	if analyzer == nil {
		return
	}
	s.Verdict = l.watch.verdict.String() + ": " + l.watch.verdictReason
	s.WatchMS = (n.now - l.watch.startedAt) / millisecond
	settings := n.plan.CanarySettings()
	for metric := range canary.MetricCount {
		s.addInterval(metric.String(), settings.Tolerance[metric], analyzer.Interval(metric), analyzer.Samples(metric))
	}
	for _, class := range analyzer.Classes() {
		interval, samples := analyzer.ClassInterval(class)
		s.addInterval(canary.MetricLoss.String()+" of "+class, settings.ClassTolerance, interval, samples)
	}
}

// addInterval adds a metric's interval and its latest samples, if there are enough samples
// for an interval.
func (s *Status) addInterval(metric string, tolerance float64, interval canary.Interval, samples []float64) {
	const maxSamples = 600
	if interval.Samples < 2 {
		return
	}
	s.Bounds = append(s.Bounds, MetricInterval{
		Metric:    metric,
		Tolerance: tolerance,
		Mean:      interval.Mean,
		Low:       interval.Low,
		High:      interval.High,
		Samples:   samples[max(len(samples)-maxSamples, 0):],
	})
}
