package upgrade

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// A judge that looks ten times a second for half a minute stops nothing by chance
// alone, and stops what is plainly worse within some seconds.
func TestJudge(t *testing.T) {
	play := func(seed uint64, perS int, before, after float64) (stopped int64) {
		dice := rand.New(rand.NewPCG(seed, 1))
		var j TrialMonitor
		var e RequestCounts
		step := func(bad float64) {
			for range perS / 10 {
				if dice.Float64() < bad {
					e.Rejected++
				} else {
					e.Completed++
				}
			}
		}
		for now := int64(0); now < 40*second; now += 100 * ms {
			step(before)
			j.ObserveOld(now, e)
		}
		e = RequestCounts{}
		for at := int64(0); at < 30*second; at += 100 * ms {
			if step(after); j.ObserveNew(e) != nil {
				return at + 1
			}
		}
		return 0
	}
	stops, slowest := 0, int64(0)
	for seed := range uint64(400) {
		for _, perS := range []int{10, 200} {
			for _, share := range []float64{0.001, 0.05, 0.4} {
				if play(seed, perS, share, share) != 0 {
					stops++
				}
				at := play(seed, perS, share, share+0.4)
				if at == 0 {
					t.Fatalf("seed %d, %d a second, %g: 0.4 more is not found", seed, perS, share)
				}
				slowest = max(slowest, at)
			}
		}
	}
	if t.Logf("slowest stop after %d ms", slowest/ms); stops > 0 {
		t.Errorf("%d of 2400 stopped without a reason", stops)
	}
	// What served before a promotion counts on.
	var j TrialMonitor
	j.ObserveOld(0, RequestCounts{})
	j.ObserveOld(second, RequestCounts{Completed: 50, Rejected: 50})
	j.Promote()
	if err := j.ObserveNew(RequestCounts{Completed: 50, Rejected: 50}); err != nil {
		t.Error(err)
	}
	if err := j.ObserveNew(RequestCounts{ClientGone: 100}); err == nil {
		t.Error("clients that leave are not found")
	}
}

func TestRoom(t *testing.T) {
	machine := Resources{192, 1024}
	if u, err := SoleBudget(machine); err != nil || u.MemoryMB+SupervisorMB != 192 || u.Descriptors+SupervisorFDs != 1024 {
		t.Errorf("%+v, %v", u, err)
	}
	if _, err := SoleBudget(Resources{32, 64}); err == nil || !strings.Contains(err.Error(), "32 MB and 64") {
		t.Error(err)
	}
	for _, c := range []struct {
		old  Resources
		want string
	}{{Resources{30, 200}, ""}, {Resources{140, 200}, "memory"}, {Resources{30, 900}, "descriptors"}} {
		u, err := ShareBudget(machine, c.old)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %+v, %v", c.old, u, err)
		}
		if err == nil && (u.MemoryMB+c.old.MemoryMB+SupervisorMB > 192 || u.Descriptors+c.old.Descriptors+SupervisorFDs > 1024) {
			t.Errorf("%+v and %+v are more than there is", c.old, u)
		}
	}
	if CheckUsage(Resources{100, 50}, Resources{110, 50}) != nil || CheckUsage(Resources{100, 50}, Resources{121, 50}) == nil || CheckUsage(Resources{100, 50}, Resources{10, 51}) == nil {
		t.Error("over")
	}
}

func TestDiff(t *testing.T) {
	flat := func(v any) map[string]string {
		out := map[string]string{}
		if err := Flatten("config", v, out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	a := flat(map[string]any{"name": "n1", "board": "b1", "seed": "1", "settings": map[string]any{"Zone": "z", "Classes": []any{map[string]any{"TargetMs": 250.0}}}})
	b := flat(map[string]any{"name": "n1", "board": "b2", "seed": "2", "settings": map[string]any{"Zone": "y", "Classes": []any{map[string]any{"TargetMs": 250.0}}}})
	list := Diff(a, b)
	if len(list) != 2 || list[0].String() != "config.board: b2, was b1 (live)" || list[1].Mode != ModeHandoff {
		t.Errorf("%v", list)
	}
	if how, ok := HardestMode(list); how != ModeHandoff || !ok {
		t.Error(how, ok)
	}
	if how, ok := HardestMode(list[:1]); how != ModeLive || !ok {
		t.Error(how, ok)
	}
	if Digest(a) != Digest(b) {
		t.Error("routers of two offices with the same settings differ")
	}
	b["config.settings.Classes[0].TargetMs"], b["config.name"] = "300", "n2"
	if Digest(a) == Digest(b) {
		t.Error("another SLA time has the same digest")
	}
	if _, ok := HardestMode(Diff(a, b)); ok {
		t.Error("another name is taken")
	}
}

// A settled generation that dies at once again and again rests between its starts,
// never longer than told; one that has served for long begins anew.
func TestCrashLoopRests(t *testing.T) {
	m := NewMachine(modelTimes, 1)
	now := int64(1)
	var waits []int64
	for range 12 {
		began := now
		for m.State == StateDown {
			now = m.DueMicros()
			m.Tick(now)
		}
		waits = append(waits, now-began)
		m.Handle(now, InputOldReady)
		m.Handle(now, InputOldServes)
		if m.State != StateSteady {
			t.Fatal(m.State)
		}
		m.Handle(now, InputOldGone)
	}
	if waits[0] != 0 || waits[1] != 0 || waits[2] != restFirst || waits[11] != restMost {
		t.Errorf("%v", waits)
	}
	for m.State == StateDown {
		now = m.DueMicros()
		m.Tick(now)
	}
	m.Handle(now, InputOldServes)
	now += steadyAfter
	if m.Handle(now, InputOldGone); m.DueMicros() != now {
		t.Errorf("it waits %d us", m.DueMicros()-now)
	}
	// A keeper that stood still does not take it for the others' silence.
	n := NewAdoptedMachine(modelTimes, 1, true)
	n.Paused(10 * second)
	if n.Tick(1+modelTimes.TrialMicros) != nil || n.State != StateOnTrial {
		t.Error(n.State)
	}
}
