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
		var j Judge
		var e Ends
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
			j.Old(now, e)
		}
		e = Ends{}
		for at := int64(0); at < 30*second; at += 100 * ms {
			if step(after); j.New(e) != nil {
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
	var j Judge
	j.Old(0, Ends{})
	j.Old(second, Ends{Completed: 50, Rejected: 50})
	j.Follows()
	if err := j.New(Ends{Completed: 50, Rejected: 50}); err != nil {
		t.Error(err)
	}
	if err := j.New(Ends{Left: 100}); err == nil {
		t.Error("clients that leave are not found")
	}
}

func TestRoom(t *testing.T) {
	machine := Use{192, 1024}
	if u, err := Alone(machine); err != nil || u.MemoryMB+KeeperMB != 192 || u.Descriptors+KeeperFDs != 1024 {
		t.Errorf("%+v, %v", u, err)
	}
	if _, err := Alone(Use{32, 64}); err == nil || !strings.Contains(err.Error(), "32 MB and 64") {
		t.Error(err)
	}
	for _, c := range []struct {
		old  Use
		want string
	}{{Use{30, 200}, ""}, {Use{140, 200}, "memory"}, {Use{30, 900}, "descriptors"}} {
		u, err := Beside(machine, c.old)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %+v, %v", c.old, u, err)
		}
		if err == nil && (u.MemoryMB+c.old.MemoryMB+KeeperMB > 192 || u.Descriptors+c.old.Descriptors+KeeperFDs > 1024) {
			t.Errorf("%+v and %+v are more than there is", c.old, u)
		}
	}
	if Over(Use{100, 50}, Use{110, 50}) != nil || Over(Use{100, 50}, Use{121, 50}) == nil || Over(Use{100, 50}, Use{10, 51}) == nil {
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
	if len(list) != 2 || list[0].String() != "config.board: b2, was b1 (live)" || list[1].How != HandOver {
		t.Errorf("%v", list)
	}
	if how, ok := Verdict(list); how != HandOver || !ok {
		t.Error(how, ok)
	}
	if how, ok := Verdict(list[:1]); how != Live || !ok {
		t.Error(how, ok)
	}
	if Digest(a) != Digest(b) {
		t.Error("routers of two offices with the same settings differ")
	}
	b["config.settings.Classes[0].TargetMs"], b["config.name"] = "300", "n2"
	if Digest(a) == Digest(b) {
		t.Error("another SLA time has the same digest")
	}
	if _, ok := Verdict(Diff(a, b)); ok {
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
		for m.State == Down {
			now = m.Due()
			m.Tick(now)
		}
		waits = append(waits, now-began)
		m.Handle(now, OldReady)
		m.Handle(now, OldServes)
		if m.State != Steady {
			t.Fatal(m.State)
		}
		m.Handle(now, OldGone)
	}
	if waits[0] != 0 || waits[1] != 0 || waits[2] != restFirst || waits[11] != restMost {
		t.Errorf("%v", waits)
	}
	for m.State == Down {
		now = m.Due()
		m.Tick(now)
	}
	m.Handle(now, OldServes)
	now += steadyAfter
	if m.Handle(now, OldGone); m.Due() != now {
		t.Errorf("it waits %d us", m.Due()-now)
	}
	// A keeper that stood still does not take it for the others' silence.
	n := Adopted(modelTimes, 1, true)
	n.Slept(10 * second)
	if n.Tick(1+modelTimes.Trial) != nil || n.State != OnTrial {
		t.Error(n.State)
	}
}
