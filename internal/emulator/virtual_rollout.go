package emulator

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"

	"quilldoor/internal/canary"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/invariant"
	"quilldoor/internal/rollout"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// Rolling is a rollout on the virtual clock: the routers' real decisions, with words
// that take up to a tenth of a second, changes that take as long as a trial, a witness
// beside each, and a new program that differs in one way.
type Rolling struct {
	Plan   *rollout.Plan
	StartS float64
	TrialS float64
	// Of the new program: the share of txns that it refuses without need, of one remap
	// rule where that is named, how much longer its hops take, and what of the board it
	// does not hear.
	Refuses                float64
	Of                     string
	OnlyAll                bool // it does so only once all routers have it
	Slower                 float64
	DeafDrains, DeafPurges bool
	// Judge off: stages pass when their watch is over. AtOnce: all change at StartS, and
	// nobody looks.
	NoJudge, AtOnce bool
}

// Rolled is what came of it.
type Rolled struct {
	*Result
	Way     rollout.Phase
	Stage   int
	Why     string
	EndedS  float64 // when all had ended in one generation; 0: they had not
	TurnedS float64 // when it was turned back; 0: never
	HarmedS float64 // when the first txn was refused, or answered more slowly, by the new program
	Harmed  int     // txns
	Accused int     // routers that were seen to break a rule
	News    int     // routers with the new generation in the end
}

// rolling is the state of a rollout run: a rollout node and a simulated upgrade for each router.
type rolling struct {
	*virtual
	set   *Rolling
	out   Rolled
	nodes []*rollout.Node
	local []rollingRouter
	mail  []rollingMail
	dice  *rand.Rand
	seed  uint64
	begun bool
	eyes  []*eye
}

// rollingRouter is which program a router runs, and what its canary analysis counts.
type rollingRouter struct {
	onNew, changing, target bool
	until                   int64
	run                     uint64
	counts                  canary.Counts
}

// rollingMail is a message between rollout nodes that is delivered at the next step.
type rollingMail struct {
	from, to int
	m        *rollout.Message
}

// VirtualRollout plays a script with a rollout in it.
func VirtualRollout(ctx context.Context, s *scenario.Scenario, seed uint64, set Rolling) (*Rolled, error) {
	if n := s.Fleet.Offices * s.Fleet.Routers; n != len(set.Plan.Routers) {
		return nil, fmt.Errorf("%s: %d routers, the plan has %d", s.Name, n, len(set.Plan.Routers))
	}
	r := &rolling{set: &set, dice: rand.New(rand.NewPCG(seed, 41)), seed: seed, local: make([]rollingRouter, len(set.Plan.Routers))}
	setup := s.Settings(0, 0)
	figures := setup.PolicySettings()
	for range r.local {
		r.eyes = append(r.eyes, &eye{judge: invariant.New(invariant.SettingsFrom(&figures)), acts: invariant.NewRecorder()})
	}
	rules := map[string]float64{}
	sla := map[string]int64{}
	for _, k := range s.Classes() {
		rules[k.Name], sla[k.Name] = k.PriorityWeight, k.LatencyObjective+int64(k.ObjectiveStretch*250_000)
	}
	type taken struct {
		at   int64
		rule string
		hops int
	}
	held := map[string]*taken{}
	harm := func() {
		if r.out.Harmed++; r.out.HarmedS == 0 {
			r.out.HarmedS = float64(r.world.Now()) / 1e6
		}
	}
	opt := Options{
		Seed: seed, looks: r,
		Refuse: func(router int, rule string) bool {
			if !r.news(router) || set.Refuses == 0 || set.OnlyAll && !r.all() || set.Of != "" && set.Of != rule || r.dice.Float64() >= set.Refuses {
				return false
			}
			harm()
			return true
		},
		Deaf: func(router int, n simulation.Notice) bool {
			deaf := r.news(router) && (n.Purge && set.DeafPurges || !n.Purge && set.DeafDrains)
			if deaf && r.out.HarmedS == 0 { // the referee counts what it breaks by that
				r.out.HarmedS = float64(r.world.Now()) / 1e6
			}
			return deaf
		},
		Lag: func(router int) float64 {
			if !r.news(router) {
				return 0
			}
			return set.Slower
		},
		Record: func(e *eventlog.Entry) {
			switch e.Kind {
			case eventlog.KindTaken:
				held[e.Request] = &taken{at: e.At, rule: e.Class}
			case eventlog.KindSent:
				if x := held[e.Request]; x != nil {
					x.hops++
				}
			case eventlog.KindAnswered, eventlog.KindLeft:
				x, ok := held[e.Request]
				if !ok {
					return
				}
				delete(held, e.Request)
				c := &r.local[e.Router].counts
				c.Requests++
				c.WeightOffered += rules[x.rule]
				c.Attempts += float64(x.hops)
				earned := 0.0
				if e.Outcome == "completed" {
					c.Completed++
					c.LogLatencySum += math.Log(float64(max(e.At-x.at, 1000)) / float64(sla[x.rule]))
					if set.Slower > 0 && r.news(e.Router) {
						harm()
					}
				}
				switch {
				case e.Outcome == "completed" && e.At-x.at <= sla[x.rule]:
					earned = rules[x.rule]
				case e.Outcome == "rejected":
					c.Rejected++
				case e.Outcome != "completed":
					c.Failed++
				}
				c.WeightEarned += earned
				if c.Classes == nil {
					c.Classes = map[string]canary.ClassCounts{}
				}
				w := c.Classes[x.rule]
				c.Classes[x.rule] = canary.ClassCounts{Requests: w.Requests + 1, WeightOffered: w.WeightOffered + rules[x.rule], WeightEarned: w.WeightEarned + earned}
			}
		},
		Each: r.step,
	}
	opt.ready = func(v *virtual) { r.virtual = v }
	res, err := Virtual(ctx, s, opt)
	if err != nil {
		return nil, err
	}
	r.out.Result = res
	for i := range r.local {
		if r.local[i].onNew {
			r.out.News++
		}
		if r.eyes[i].accused {
			r.out.Accused++
		}
	}
	return &r.out, nil
}

// news tells whether a router's new program serves.
func (r *rolling) news(router int) bool {
	l := &r.local[router]
	return l.onNew && (!l.changing || l.target)
}

// all tells whether it serves everywhere.
func (r *rolling) all() bool {
	for i := range r.local {
		if !r.news(i) {
			return false
		}
	}
	return true
}

// step is called ten times a second.
func (r *rolling) step(now int64) {
	if r.set.AtOnce {
		if !r.begun && now >= int64(r.set.StartS*1e6) {
			r.begun = true
			for i := range r.local {
				r.local[i].onNew = true
			}
		}
		return
	}
	if r.nodes == nil {
		for i, x := range r.set.Plan.Routers {
			r.nodes = append(r.nodes, rollout.NewNode(r.set.Plan, x.Name, &rollout.Durable{}, rand.New(rand.NewPCG(r.seed, uint64(i))), now+1))
		}
	}
	mail := r.mail
	r.mail = nil
	for _, m := range mail {
		r.post(m.to, r.nodes[m.to].Receive(now+1, r.set.Plan.Routers[m.from].Name, m.m))
	}
	if !r.begun && now >= int64(r.set.StartS*1e6) {
		r.begun = true
		r.nodes[0].Command(now+1, rollout.CommandStart)
	}
	for i, n := range r.nodes {
		l := &r.local[i]
		if l.changing && now >= l.until {
			l.changing = false
		}
		c := l.counts
		c.Classes = maps.Clone(c.Classes)
		if r.set.NoJudge { // nothing is ever worse
			c = canary.Counts{Requests: float64(now) / 1e4, WeightOffered: float64(now) / 1e4, WeightEarned: float64(now) / 1e4}
		}
		seen := r.look(now, i)
		drains, purges := r.eyes[i].judge.EventCounts()
		n.SetReport(rollout.Report{
			Upgraded: l.onNew && !l.changing, Changing: l.changing, Capable: true, Counts: c, RunID: l.run, MemoryMB: 20, ViolatedRules: seen.Rules, FirstViolation: seen.Text,
			DrainsSeen: drains, PurgesSeen: purges,
		})
		r.post(i, n.Tick(now+1))
		if w := n.Target(now + 1); w.MayStart && !l.changing && w.New != l.onNew {
			v, _ := n.View()
			l.changing, l.target, l.onNew, l.run = true, w.New, w.New, v.RunID
			l.until = now + int64(r.set.TrialS*1e6)
		}
		if v, age := n.View(); n.IsLeader() && age >= 0 {
			if r.out.Way, r.out.Stage, r.out.Why = v.Phase, v.Stage, v.Reason; v.Phase == rollout.PhaseRollingBack && r.out.TurnedS == 0 {
				r.out.TurnedS = float64(now) / 1e6
			}
			if (v.Phase == rollout.PhaseDone || v.Phase == rollout.PhaseRolledBack) && r.out.EndedS == 0 {
				r.out.EndedS = float64(now) / 1e6
			}
		}
	}
}

func (r *rolling) post(from int, out []rollout.Outgoing) {
	for _, o := range out {
		r.mail = append(r.mail, rollingMail{from, o.To, o.Message})
	}
}
