package emulate

import (
	"context"
	"fmt"
	"math/rand/v2"

	"quilldoor/internal/record"
	"quilldoor/internal/rollout"
	"quilldoor/internal/script"
	"quilldoor/internal/verdict"
)

// Rolling is a rollout on the virtual clock: the routers' real decisions, with words
// that take up to a tenth of a second, changes that take as long as a trial, and a new
// program that differs in one way.
type Rolling struct {
	Plan    *rollout.Plan
	StartS  float64
	TrialS  float64
	Refuses float64 // share of txns that the new program refuses without need
	// Judge off: stages pass when their watch is over. AtOnce: all change at StartS, and
	// nobody looks.
	NoJudge, AtOnce bool
}

// Rolled is what came of it.
type Rolled struct {
	*Result
	Way     rollout.Way
	Stage   int
	Why     string
	EndedS  float64 // when all had ended in one generation; 0: they had not
	TurnedS float64 // when it was turned back; 0: never
	HarmedS float64 // when the first txn was refused by the new program
	Harmed  int     // txns
	News    int     // routers with the new generation in the end
}

type rolling struct {
	*virtual
	set    *Rolling
	out    Rolled
	nodes  []*rollout.Node
	local  []rollingRouter
	mail   []rollingMail
	dice   *rand.Rand
	seed   uint64
	open   map[string]int
	begun  bool
	ending bool
}

type rollingRouter struct {
	onNew, changing, target bool
	until                   int64
	run                     uint64
	counts                  verdict.Counts
}

type rollingMail struct {
	from, to int
	m        *rollout.Msg
}

// VirtualRollout plays a script with a rollout in it.
func VirtualRollout(ctx context.Context, s *script.Script, seed uint64, set Rolling) (*Rolled, error) {
	if n := s.Fleet.Offices * s.Fleet.Routers; n != len(set.Plan.Routers) {
		return nil, fmt.Errorf("%s: %d routers, the plan has %d", s.Name, n, len(set.Plan.Routers))
	}
	r := &rolling{set: &set, dice: rand.New(rand.NewPCG(seed, 41)), seed: seed, open: map[string]int{}, local: make([]rollingRouter, len(set.Plan.Routers))}
	rules := map[string]float64{}
	sla := map[string]int64{}
	for _, k := range s.Rules() {
		rules[k.Name], sla[k.Name] = k.Importance, k.SLA+int64(k.Stretch*250_000)
	}
	type taken struct {
		at   int64
		rule string
	}
	held := map[string]taken{}
	opt := Options{Seed: seed,
		Refuse: func(router int) bool {
			l := &r.local[router]
			if serves := l.onNew && !(l.changing && !l.target); !serves || set.Refuses == 0 || r.dice.Float64() >= set.Refuses {
				return false
			}
			if r.out.Harmed++; r.out.HarmedS == 0 {
				r.out.HarmedS = float64(r.world.Now()) / 1e6
			}
			return true
		},
		Record: func(e *record.Entry) {
			switch e.Kind {
			case "taken":
				held[e.Txn] = taken{e.At, e.Rule}
			case "final", "left":
				x, ok := held[e.Txn]
				if !ok {
					return
				}
				delete(held, e.Txn)
				c := &r.local[e.Router].counts
				c.Txns++
				c.Asked += rules[x.rule]
				switch {
				case e.Outcome == "completed" && e.At-x.at <= sla[x.rule]:
					c.Earned += rules[x.rule]
				case e.Outcome == "rejected":
					c.Refused++
				case e.Outcome != "completed":
					c.Failed++
				}
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
	}
	return &r.out, nil
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
		r.post(m.to, r.nodes[m.to].Heard(now+1, r.set.Plan.Routers[m.from].Name, m.m))
	}
	if !r.begun && now >= int64(r.set.StartS*1e6) {
		r.begun = true
		r.nodes[0].Command(now+1, rollout.Start)
	}
	for i, n := range r.nodes {
		l := &r.local[i]
		if l.changing && now >= l.until {
			l.changing = false
		}
		c := l.counts
		if r.set.NoJudge { // nothing is ever worse
			c = verdict.Counts{Txns: float64(now) / 1e4, Asked: float64(now) / 1e4, Earned: float64(now) / 1e4}
		}
		n.Local(rollout.Report{OnNew: l.onNew && !l.changing, Changing: l.changing, Able: true, Counts: c, Run: l.run, MemoryMB: 20})
		r.post(i, n.Tick(now+1))
		if w := n.Want(now + 1); w.Go && !l.changing && w.New != l.onNew {
			v, _ := n.View()
			l.changing, l.target, l.onNew, l.run = true, w.New, w.New, v.Run
			l.until = now + int64(r.set.TrialS*1e6)
		}
		if v, age := n.View(); n.Leads() && age >= 0 {
			if r.out.Way, r.out.Stage, r.out.Why = v.Way, v.Stage, v.Why; v.Way == rollout.Backward && r.out.TurnedS == 0 {
				r.out.TurnedS = float64(now) / 1e6
			}
			if (v.Way == rollout.Done || v.Way == rollout.Undone) && r.out.EndedS == 0 {
				r.out.EndedS = float64(now) / 1e6
			}
		}
	}
}

func (r *rolling) post(from int, out []rollout.Out) {
	for _, o := range out {
		r.mail = append(r.mail, rollingMail{from, o.To, o.Msg})
	}
}
