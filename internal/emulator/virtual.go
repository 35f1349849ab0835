package emulator

import (
	"context"

	"quilldoor/internal/checker"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simfleet"
	"quilldoor/internal/simulation"
)

// virtual is a run on a virtual clock.
type virtual struct {
	opt     Options
	set     *scenario.Scenario
	world   *simulation.World
	referee *checker.Checker
	routers []*vrouter
	due     dueHeap
	kicked  []*vrouter
	ready   []*vtxn
	purges  map[int][]simulation.Notice // that routers were told of, where sites are joined
	roster  *simfleet.Fleet             // what routers know of each other; nil: nothing
	knows   Members
}

// Virtual plays a script on a virtual clock. The same script and seed give the
// same result, whatever the machine.
func Virtual(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	v := &virtual{opt: opt, set: s, referee: checker.New(Figures(s, 8_000)), purges: map[int][]simulation.Notice{}}
	v.world = simulation.New(s, opt.Seed, v)
	for i := range v.world.Routers() {
		r := &vrouter{id: i, next: 1 << 62, place: -1}
		v.routers = append(v.routers, r)
		v.start(r, v.world.Known())
	}
	v.settle()
	v.know()
	if opt.ready != nil {
		opt.ready(v)
	}
	if opt.Each != nil {
		var each func()
		each = func() {
			opt.Each(v.world.Now())
			v.world.After(100_000, each)
		}
		v.world.After(100_000, each)
	}
	end, told := v.world.Length(), int64(0)
	for steps := 0; !v.world.Over(); steps++ {
		now := v.world.Next()
		if v.roster != nil {
			if at := v.roster.NextEvent(); at <= now && (len(v.due) == 0 || at <= v.due[0].next) {
				if at > end {
					break
				}
				v.world.At(at)
				v.roster.RunUntil(at)
				continue
			}
		}
		if len(v.due) > 0 && v.due[0].next < now {
			now = v.due[0].next
			if now > end {
				break
			}
			v.world.At(now)
			v.run(v.due[0])
		} else if now > end {
			break
		} else {
			v.world.Step(now)
		}
		v.settle()
		if steps%1024 == 0 {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			if at := now / 1_000_000; at > told && opt.Progress != nil {
				told = at
				opt.Progress(float64(now)/float64(end), v.world.Result.Timeline)
			}
		}
	}
	return v.result(), nil
}

func (v *virtual) result() *Result {
	r := &Result{Result: v.world.Result, Breaks: v.referee.Violations, Count: v.referee.CountByRule, Judged: v.referee.Checked, Excused: v.referee.Excused}
	if v.roster != nil {
		r.Members = &v.knows
	}
	return r
}

func (v *virtual) now() int64 { return v.world.Now() + epoch }

// settle carries out what routers have decided, until nothing is left.
func (v *virtual) settle() {
	for len(v.ready) > 0 || len(v.kicked) > 0 {
		for i := 0; i < len(v.ready); i++ {
			t := v.ready[i]
			t.rung = false
			v.orders(t, t.txn.TakeCommands())
		}
		v.ready = v.ready[:0]
		for i := 0; i < len(v.kicked); i++ {
			r := v.kicked[i]
			r.kick = false
			if r.core != nil {
				v.run(r)
			}
		}
		v.kicked = v.kicked[:0]
	}
}

// Note passes a line of the record on.
func (v *virtual) Note(e *eventlog.Entry) {
	v.referee.Observe(e)
	if v.opt.Record != nil {
		v.opt.Record(e)
	}
}
