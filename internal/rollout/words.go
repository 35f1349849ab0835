package rollout

import (
	"bytes"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/canary"
)

// Mark is what a rollout's letter among members begins with; those of others never do,
// since no CBOR map begins so.
var Mark = []byte("\xffR1")

// ErrLetter is that of a letter that is none of a rollout.
var ErrLetter = errors.New("rollout: not a letter")

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options stand above
	}
	return m
}()

// mostWhy keeps a letter within what members carry, mostLetter bytes: a report that is
// longer leaves out what single remap rules earned.
const mostWhy, mostLetter = 160, 1000

// Seal writes a message as a letter's body.
func Seal(m *Msg) ([]byte, error) {
	if m.State != nil && len(m.State.Why) > mostWhy {
		s := *m.State
		s.Why = s.Why[:mostWhy]
		c := *m
		m, c.State = &c, &s
	}
	if m.Report != nil && (len(m.Report.Failed) > mostWhy || len(m.Report.Broke) > mostWhy) {
		r := *m.Report
		r.Failed, r.Broke = r.Failed[:min(len(r.Failed), mostWhy)], r.Broke[:min(len(r.Broke), mostWhy)]
		c := *m
		m, c.Report = &c, &r
	}
	b, err := cbor.Marshal(m)
	if err == nil && len(Mark)+len(b) > mostLetter && m.Report != nil && len(m.Report.Counts.Rules) > 0 {
		c, r := *m, *m.Report
		r.Counts.Rules, c.Report = nil, &r
		return Seal(&c)
	}
	return append(bytes.Clone(Mark), b...), err
}

// Open reads one.
func Open(body []byte) (*Msg, error) {
	b, ok := bytes.CutPrefix(body, Mark)
	m := new(Msg)
	if !ok || decoding.Unmarshal(b, m) != nil || m.Kind == 0 || m.State != nil && (len(m.State.Batch) > MostRouters/8 || len(m.State.Changed) > MostRouters/8 ||
		len(m.State.Skipped) > MostRouters/8 || m.State.Stage < 0) {
		return nil, ErrLetter
	}
	return m, nil
}

// Standing is what a router tells people of a rollout.
type Standing struct {
	Plan    string  `cbor:"1,keyasint,omitempty" json:"plan"`
	Digest  uint64  `cbor:"2,keyasint,omitempty" json:"digest,string"`
	Way     string  `cbor:"3,keyasint,omitempty" json:"way"`
	Stage   int     `cbor:"4,keyasint,omitempty" json:"stage"` // from 1
	Stages  int     `cbor:"5,keyasint,omitempty" json:"stages"`
	Why     string  `cbor:"6,keyasint,omitempty" json:"why,omitempty"`
	AgeMS   int64   `cbor:"7,keyasint,omitempty" json:"age_ms"` // of what is known; -1: never told
	Seq     uint64  `cbor:"8,keyasint,omitempty" json:"seq"`
	Leader  string  `cbor:"9,keyasint,omitempty" json:"leader,omitempty"`
	Leads   bool    `cbor:"10,keyasint,omitempty" json:"leads"` // this router, now; what follows is known to it alone
	Routers []Line  `cbor:"11,keyasint,omitempty" json:"routers"`
	Say     string  `cbor:"12,keyasint,omitempty" json:"say,omitempty"`
	WatchMS int64   `cbor:"13,keyasint,omitempty" json:"watch_ms"`
	Bounds  []Bound `cbor:"14,keyasint,omitempty" json:"bounds,omitempty"`
	Lost    bool    `cbor:"15,keyasint,omitempty" json:"lost"` // it has forgotten all, and asks the others
}

// Line is a router's.
type Line struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Office  string `cbor:"2,keyasint" json:"office"`
	Does    string `cbor:"3,keyasint,omitempty" json:"does"`
	HeardMS int64  `cbor:"4,keyasint,omitempty" json:"heard_ms"`
	Report  Report `cbor:"5,keyasint,omitempty" json:"report"`
}

// Bound is a figure's, with its moments.
type Bound struct {
	Figure  string    `cbor:"1,keyasint" json:"figure"`
	Bears   float64   `cbor:"2,keyasint" json:"bears"`
	Mean    float64   `cbor:"3,keyasint" json:"mean"`
	Low     float64   `cbor:"4,keyasint" json:"low"`
	High    float64   `cbor:"5,keyasint" json:"high"`
	Moments []float64 `cbor:"6,keyasint,omitempty" json:"moments,omitempty"`
}

// Standing tells people.
func (n *Node) Standing() *Standing {
	v, age := n.View()
	s := &Standing{Plan: n.plan.Name, Digest: n.plan.Digest, Way: v.Way.String(), Stage: v.Stage + 1, Stages: len(n.plan.Stages), Why: v.Why, AgeMS: age / 1000, Seq: v.Seq,
		Leads: n.Leads(), Lost: n.recovering != 0}
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
		l := Line{Name: r.Name, Office: r.Office, Does: does}
		if n.leads != nil {
			h := &n.leads.reports[i]
			l.HeardMS, l.Report = (n.now-h.at)/1000, h.r
		}
		s.Routers = append(s.Routers, l)
	}
	if l := n.leads; l != nil && l.judge != nil {
		s.Say, s.WatchMS = l.say.String()+": "+l.why, (n.now-l.watch)/1000
		const most = 600
		for f := range canary.Figures {
			b, d := l.judge.Bound(f), l.judge.Moments(f)
			if b.Moments < 2 {
				continue
			}
			s.Bounds = append(s.Bounds, Bound{f.String(), n.plan.Verdict().Bear[f], b.Mean, b.Low, b.High, d[max(len(d)-most, 0):]})
		}
		for _, name := range l.judge.Rules() {
			if b, d := l.judge.OfRule(name); b.Moments >= 2 {
				s.Bounds = append(s.Bounds, Bound{canary.Loss.String() + " of " + name, n.plan.Verdict().Rule, b.Mean, b.Low, b.High, d[max(len(d)-most, 0):]})
			}
		}
	}
	return s
}
