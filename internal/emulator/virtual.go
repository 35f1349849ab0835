package emulator

import (
	"context"

	"quilldoor/internal/checker"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simfleet"
	"quilldoor/internal/simulation"
)

// virtualRun is a run on a virtual clock.
type virtualRun struct {
	options       Options
	scenario      *scenario.Scenario
	world         *simulation.World
	checker       *checker.Checker
	routers       []*virtualRouter
	timers        timerHeap
	woken         []*virtualRouter
	readyRequests []*virtualRequest
	seenPurges    map[int][]simulation.Notice // that routers were told of, where sites are joined
	fleet         *simfleet.Fleet             // what routers know of each other; nil: nothing
	membership    Members
}

// Virtual plays a script on a virtual clock. The same script and seed give the
// same result, whatever the machine.
func Virtual(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	v := &virtualRun{options: opt, scenario: s, checker: checker.New(Figures(s, 8_000)), seenPurges: map[int][]simulation.Notice{}}
	v.world = simulation.New(s, opt.Seed, v)
	for i := range v.world.Routers() {
		r := &virtualRouter{id: i, nextTimer: 1 << 62, heapIndex: -1}
		v.routers = append(v.routers, r)
		v.startRouter(r, v.world.Known())
	}
	v.settle()
	v.startMembership()
	if opt.onStart != nil {
		opt.onStart(v)
	}
	if opt.Each != nil {
		var tick func()
		tick = func() {
			opt.Each(v.world.Now())
			v.world.After(100_000, tick)
		}
		v.world.After(100_000, tick)
	}
	end, reported := v.world.Length(), int64(0)
	for steps := 0; !v.world.Over(); steps++ {
		now := v.world.Next()
		if v.fleet != nil {
			if at := v.fleet.NextEvent(); at <= now && (len(v.timers) == 0 || at <= v.timers[0].nextTimer) {
				if at > end {
					break
				}
				v.world.At(at)
				v.fleet.RunUntil(at)
				continue
			}
		}
		if len(v.timers) > 0 && v.timers[0].nextTimer < now {
			now = v.timers[0].nextTimer
			if now > end {
				break
			}
			v.world.At(now)
			v.runTimers(v.timers[0])
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
			if at := now / 1_000_000; at > reported && opt.Progress != nil {
				reported = at
				opt.Progress(float64(now)/float64(end), v.world.Result.Timeline)
			}
		}
	}
	return v.result(), nil
}

func (v *virtualRun) result() *Result {
	r := &Result{Result: v.world.Result, Breaks: v.checker.Violations, Count: v.checker.CountByRule, Judged: v.checker.Checked, Excused: v.checker.Excused}
	if v.fleet != nil {
		r.Members = &v.membership
	}
	return r
}

func (v *virtualRun) now() int64 { return v.world.Now() + epochMicros }

// settle carries out what routers have decided, until nothing is left.
func (v *virtualRun) settle() {
	for len(v.readyRequests) > 0 || len(v.woken) > 0 {
		for i := 0; i < len(v.readyRequests); i++ {
			request := v.readyRequests[i]
			request.queued = false
			v.runCommands(request, request.request.TakeCommands())
		}
		v.readyRequests = v.readyRequests[:0]
		for i := 0; i < len(v.woken); i++ {
			r := v.woken[i]
			r.wakePending = false
			if r.engine != nil {
				v.runTimers(r)
			}
		}
		v.woken = v.woken[:0]
	}
}

// Note passes a line of the record on.
func (v *virtualRun) Note(e *eventlog.Entry) {
	v.checker.Observe(e)
	if v.options.Record != nil {
		v.options.Record(e)
	}
}
