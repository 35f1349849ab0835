package rollout

import (
	"bytes"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/canary"
	"quilldoor/internal/cborcodec"
)

// MessagePrefix is what a rollout's letter among members begins with; those of others never do,
// since no CBOR map begins so.
var MessagePrefix = []byte("\xffR1")

// ErrMalformedMessage is that of a letter that is none of a rollout.
var ErrMalformedMessage = errors.New("rollout: not a letter")

var decoding = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 6, RejectDuplicateKeys: true,
})

// mostWhy keeps a letter within what members carry, mostLetter bytes: a report that is
// longer leaves out what single remap rules earned.
const mostWhy, mostLetter = 160, 1000

// Encode writes a message as a letter's body.
func Encode(m *Message) ([]byte, error) {
	if m.State != nil && len(m.State.Reason) > mostWhy {
		s := *m.State
		s.Reason = s.Reason[:mostWhy]
		c := *m
		m, c.State = &c, &s
	}
	if m.Report != nil && (len(m.Report.FailureReason) > mostWhy || len(m.Report.FirstViolation) > mostWhy) {
		r := *m.Report
		r.FailureReason, r.FirstViolation = r.FailureReason[:min(len(r.FailureReason), mostWhy)], r.FirstViolation[:min(len(r.FirstViolation), mostWhy)]
		c := *m
		m, c.Report = &c, &r
	}
	b, err := cbor.Marshal(m)
	if err == nil && len(MessagePrefix)+len(b) > mostLetter && m.Report != nil && len(m.Report.Counts.Classes) > 0 {
		c, r := *m, *m.Report
		r.Counts.Classes, c.Report = nil, &r
		return Encode(&c)
	}
	return append(bytes.Clone(MessagePrefix), b...), err
}

// Decode reads one.
func Decode(body []byte) (*Message, error) {
	b, ok := bytes.CutPrefix(body, MessagePrefix)
	m := new(Message)
	if !ok || decoding.Unmarshal(b, m) != nil || m.Kind == 0 || m.State != nil && (len(m.State.Batch) > MaxRouters/8 || len(m.State.Changed) > MaxRouters/8 ||
		len(m.State.Skipped) > MaxRouters/8 || m.State.Stage < 0) {
		return nil, ErrMalformedMessage
	}
	return m, nil
}

// Status is what a router tells people of a rollout.
type Status struct {
	Plan       string           `cbor:"1,keyasint,omitempty" json:"plan"`
	Digest     uint64           `cbor:"2,keyasint,omitempty" json:"digest,string"`
	Phase      string           `cbor:"3,keyasint,omitempty" json:"way"`
	Stage      int              `cbor:"4,keyasint,omitempty" json:"stage"` // from 1
	Stages     int              `cbor:"5,keyasint,omitempty" json:"stages"`
	Reason     string           `cbor:"6,keyasint,omitempty" json:"why,omitempty"`
	AgeMS      int64            `cbor:"7,keyasint,omitempty" json:"age_ms"` // of what is known; -1: never told
	Seq        uint64           `cbor:"8,keyasint,omitempty" json:"seq"`
	Leader     string           `cbor:"9,keyasint,omitempty" json:"leader,omitempty"`
	IsLeader   bool             `cbor:"10,keyasint,omitempty" json:"leads"` // this router, now; what follows is known to it alone
	Routers    []RouterStatus   `cbor:"11,keyasint,omitempty" json:"routers"`
	Verdict    string           `cbor:"12,keyasint,omitempty" json:"say,omitempty"`
	WatchMS    int64            `cbor:"13,keyasint,omitempty" json:"watch_ms"`
	Bounds     []MetricInterval `cbor:"14,keyasint,omitempty" json:"bounds,omitempty"`
	Recovering bool             `cbor:"15,keyasint,omitempty" json:"lost"` // it has forgotten all, and asks the others
}

// RouterStatus is a router's.
type RouterStatus struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Office   string `cbor:"2,keyasint" json:"office"`
	Activity string `cbor:"3,keyasint,omitempty" json:"does"`
	HeardMS  int64  `cbor:"4,keyasint,omitempty" json:"heard_ms"`
	Report   Report `cbor:"5,keyasint,omitempty" json:"report"`
}

// MetricInterval is a figure's, with its moments.
type MetricInterval struct {
	Metric    string    `cbor:"1,keyasint" json:"figure"`
	Tolerance float64   `cbor:"2,keyasint" json:"bears"`
	Mean      float64   `cbor:"3,keyasint" json:"mean"`
	Low       float64   `cbor:"4,keyasint" json:"low"`
	High      float64   `cbor:"5,keyasint" json:"high"`
	Samples   []float64 `cbor:"6,keyasint,omitempty" json:"moments,omitempty"`
}

// Status tells people.
func (n *Node) Status() *Status {
	v, age := n.View()
	s := &Status{
		Plan: n.plan.Name, Digest: n.plan.Digest, Phase: v.Phase.String(), Stage: v.Stage + 1, Stages: len(n.plan.Stages), Reason: v.Reason, AgeMS: age / 1000, Seq: v.Seq,
		IsLeader: n.IsLeader(), Recovering: n.recovering != 0,
	}
	if age < 0 {
		s.AgeMS = -1
	}
	if n.leader >= 0 {
		s.Leader = n.plan.Routers[n.leader].Name
	}
	for i, r := range n.plan.Routers {
		does := "old"
		switch {
		case v.Batch.Has(i):
			does = "changes"
		case v.Skipped.Has(i):
			does = "silent"
		case v.Changed.Has(i):
			does = "new"
		}
		l := RouterStatus{Name: r.Name, Office: r.Office, Activity: does}
		if n.leads != nil {
			h := &n.leads.reports[i]
			l.HeardMS, l.Report = (n.now-h.at)/1000, h.r
		}
		s.Routers = append(s.Routers, l)
	}
	if l := n.leads; l != nil && l.judge != nil {
		s.Verdict, s.WatchMS = l.say.String()+": "+l.why, (n.now-l.watch)/1000
		const most = 600
		for f := range canary.MetricCount {
			b, d := l.judge.Interval(f), l.judge.Samples(f)
			if b.Samples < 2 {
				continue
			}
			s.Bounds = append(s.Bounds, MetricInterval{f.String(), n.plan.CanarySettings().Tolerance[f], b.Mean, b.Low, b.High, d[max(len(d)-most, 0):]})
		}
		for _, name := range l.judge.Classes() {
			if b, d := l.judge.ClassInterval(name); b.Samples >= 2 {
				s.Bounds = append(s.Bounds, MetricInterval{canary.MetricLoss.String() + " of " + name, n.plan.CanarySettings().ClassTolerance, b.Mean, b.Low, b.High, d[max(len(d)-most, 0):]})
			}
		}
	}
	return s
}
