// Package faultsearch looks for days on which a rule breaks or little is earned: it draws
// scripts by chance, has them played by a function that it is handed, and cuts those
// that go wrong down to what matters (delta debugging: Zeller and Hildebrandt, 2002). It
// does no I/O itself; the same seed draws the same days.
package faultsearch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"quilldoor/internal/scenario"
)

// Space says what may be drawn.
type Space struct {
	Members, Sites bool     // days may have them; else none has
	Kinds          []string // of trouble; empty: all that the day's fleet can have
	Most           int      // troubles of a day
	LengthS        float64
	// Load, as a share of what the fleet's caches can send: from and to.
	LoadFrom, LoadTo float64
}

// Default is small fleets in all kinds of trouble.
func Default() Space {
	return Space{Members: true, Sites: true, Most: 6, LengthS: 32, LoadFrom: 0.15, LoadTo: 0.8}
}

// settles is how long a day runs before it counts, and before its first trouble.
const settles = 6.0

// between draws evenly, spread by its logarithm.
func between(dice *rand.Rand, low, high float64) float64 {
	return round(low * math.Pow(high/low, dice.Float64()))
}

// round keeps three digits, so that a day can be read.
func round(v float64) float64 {
	if v == 0 {
		return 0
	}
	p := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*p) / p
}

func one[T any](dice *rand.Rand, list ...T) T { return list[dice.IntN(len(list))] }

// Draw makes a day.
func Draw(dice *rand.Rand, space Space) *scenario.Scenario {
	s := scenario.Default()
	f, l := &s.Fleet, &s.Load
	s.Seed = 1 + dice.Uint64N(1<<32)
	s.LengthS, s.WarmUpS = space.LengthS, settles
	f.Trunks, f.Offices, f.Routers, f.Caches = 1+dice.IntN(3), 1+dice.IntN(4), 1+dice.IntN(3), 2+dice.IntN(4)
	f.Parents, f.Cores = one(dice, 1, 1, 2), 2+dice.IntN(5)
	f.LinkShare, f.ParentLink = between(dice, 0.2, 0.8), between(dice, 0.8, 1.8)
	f.SlowStartFrom, f.SlowStartS, f.OverloadMultiple = between(dice, 0.15, 0.5), between(dice, 3, 15), between(dice, 1.5, 4)
	f.ParentSlowStartFrom, f.ParentSlowStartS = between(dice, 0.06, 0.4), between(dice, 3, 20)
	f.DiscoveryDelayMS, f.DeathDetectionMS = between(dice, 100, 2500), between(dice, 300, 4000)
	f.CacheShare, f.PreWarmed = between(dice, 0.1, 0.5), dice.IntN(4) > 0
	f.ParentCoalesces, f.OrphanFills, f.Hedging = dice.IntN(2) == 0, dice.IntN(2) == 0, dice.IntN(2) == 0
	f.OriginRejectShare = between(dice, 0.5, 1)
	l.Retries, l.RetryWaitMS, l.HonourShare = dice.IntN(4), one(dice, 0, 150, 600.0), one(dice, 0, 0.5, 1)
	l.WriteShare = one(dice, 0.034, 0.034, 0.2)
	const meanWork = 0.27 // seconds of a core that a txn takes, of the default's mix
	l.RequestsPerS = round(between(dice, space.LoadFrom, space.LoadTo) * float64(f.Offices*f.Caches*f.Cores) / meanWork)
	f.Membership = space.Members && f.Offices*f.Routers > 1 && dice.IntN(2) == 0
	if space.Sites && f.Offices > 1 && dice.IntN(4) == 0 {
		f.Sites = 2
	}
	kinds := space.Kinds
	if len(kinds) == 0 {
		kinds = scenario.FaultNames()
	}
	kinds = slices.DeleteFunc(slices.Clone(kinds), func(k string) bool {
		return strings.HasPrefix(k, "ways_") && !f.Membership || k == "site_cut" && f.Sites < 2
	})
	for range 1 + dice.IntN(max(space.Most, 1)) {
		s.Faults = append(s.Faults, trouble(dice, &s, one(dice, kinds...)))
	}
	slices.SortStableFunc(s.Faults, func(a, b scenario.Fault) int { return int(math.Copysign(1, a.At-b.At)) })
	return &s
}

func trouble(dice *rand.Rand, s *scenario.Scenario, name string) scenario.Fault {
	const last = 12.0 // seconds at the end in which none begins
	k := scenario.FaultKinds[name]
	t := scenario.Fault{Kind: name, At: round(settles + dice.Float64()*max(s.LengthS-settles-last, 1)), For: between(dice, 0.2, 9)}
	t.Share = one(dice, 1, between(dice, 0.05, 1))
	switch k.Scope {
	case "":
		t.Share = between(dice, 0.02, 1)
	case "office", "caches", "routers":
		if dice.IntN(2) == 0 {
			t.Office = 1 + dice.IntN(s.Fleet.Offices)
		}
	case "trunk":
		t.Trunk = 1 + dice.IntN(s.Fleet.Trunks)
	}
	switch name {
	case "spoilt", "resets", "ledger_resets", "endless", "errors": // of all answers
		t.Share = between(dice, 0.005, 0.3)
	case "ways_camps":
		t.Strength = one(dice, 2, 3.0)
	}
	if k.Strength != 0 && t.Strength == 0 {
		t.Strength = round(min(max(k.Strength*between(dice, 0.3, 3), k.MinStrength), k.MaxStrength))
	}
	if k.Recurring {
		t.Every = between(dice, 0.5, 4)
	}
	return t
}

// Text of a day: all in which it differs from the default.
func Text(s *scenario.Scenario) ([]byte, error) {
	d := scenario.Default()
	mine, err := asMap(s)
	if err != nil {
		return nil, err
	}
	theirs, err := asMap(&d)
	if err != nil {
		return nil, err
	}
	out := differs(mine, theirs)
	var list []map[string]any
	for _, t := range s.Faults {
		m, err := asMap(&t)
		if err != nil {
			return nil, err
		}
		for key, v := range m {
			if reflect.ValueOf(v).IsZero() {
				delete(m, key)
			}
		}
		list = append(list, m)
	}
	if delete(out, "troubles"); len(list) > 0 {
		out["troubles"] = list
	}
	return yaml.Marshal(out)
}

func asMap(v any) (map[string]any, error) {
	text, err := yaml.Marshal(v)
	if err != nil {
		return nil, err
	}
	out := map[string]any{}
	return out, yaml.Unmarshal(text, &out)
}

func differs(a, b map[string]any) map[string]any {
	out := map[string]any{}
	for key, v := range a {
		inner, deep := v.(map[string]any)
		other, same := b[key].(map[string]any)
		switch {
		case deep && same:
			if d := differs(inner, other); len(d) > 0 {
				out[key] = d
			}
		case !reflect.DeepEqual(v, b[key]):
			out[key] = v
		}
	}
	return out
}

// Shrink cuts a day down while bad still holds of it, with so many plays at most, and
// tells how many it took. Troubles go first, several at a time; then what is left of them
// is made shorter and weaker, and the fleet becomes the default's and smaller.
func Shrink(s *scenario.Scenario, bad func(*scenario.Scenario) bool, most int) (*scenario.Scenario, int) {
	plays := 0
	try := func(c *scenario.Scenario) bool {
		if plays >= most {
			return false
		}
		plays++
		return bad(c)
	}
	for n := max(len(s.Faults)/2, 1); n >= 1 && len(s.Faults) > 0; n /= 2 {
		for i := 0; i < len(s.Faults); {
			c := Copy(s)
			c.Faults = slices.Delete(c.Faults, i, min(i+n, len(c.Faults)))
			if try(c) {
				s = c
			} else {
				i += n
			}
		}
	}
	for again := true; again && plays < most; {
		again = false
		for _, change := range changes(s) {
			c := Copy(s)
			if change(c); reflect.DeepEqual(c, s) {
				continue
			}
			if try(c) {
				s, again = c, true
			}
		}
	}
	return s, plays
}

// Copy of a day.
func Copy(s *scenario.Scenario) *scenario.Scenario {
	c := *s
	c.Faults = slices.Clone(s.Faults)
	c.Load.OfficeWeights = slices.Clone(s.Load.OfficeWeights)
	return &c
}

// changes that make a day simpler, each by itself.
func changes(s *scenario.Scenario) (list []func(*scenario.Scenario)) {
	add := func(f func(*scenario.Scenario)) { list = append(list, f) }
	for i, t := range s.Faults {
		if t.Share != 1 {
			add(func(c *scenario.Scenario) { c.Faults[i].Share = 1 })
		}
		if t.Office != 0 {
			add(func(c *scenario.Scenario) { c.Faults[i].Office = 0 })
		}
		if t.For > 0.4 {
			add(func(c *scenario.Scenario) { c.Faults[i].For = round(t.For / 2) })
		}
	}
	fits := func(c *scenario.Scenario) bool {
		for _, t := range c.Faults {
			if t.Office > c.Fleet.Offices || t.Trunk > c.Fleet.Trunks || t.At > c.LengthS {
				return false
			}
		}
		return true
	}
	less := func(at func(*scenario.Scenario) *int, least int) {
		add(func(c *scenario.Scenario) {
			v := at(c)
			if was := *v; was > least {
				if *v = was - 1; !fits(c) {
					*v = was
				}
			}
		})
	}
	less(func(c *scenario.Scenario) *int { return &c.Fleet.Offices }, 1)
	less(func(c *scenario.Scenario) *int { return &c.Fleet.Routers }, 1)
	less(func(c *scenario.Scenario) *int { return &c.Fleet.Caches }, 1)
	less(func(c *scenario.Scenario) *int { return &c.Fleet.Trunks }, 1)
	less(func(c *scenario.Scenario) *int { return &c.Load.Retries }, 0)
	add(func(c *scenario.Scenario) { c.Fleet.Membership = false })
	add(func(c *scenario.Scenario) { c.Fleet.Sites = 0 })
	add(func(c *scenario.Scenario) {
		if end := last(c) + settles; end < c.LengthS {
			c.LengthS = end
		}
	})
	add(func(c *scenario.Scenario) { c.Load.RequestsPerS = round(c.Load.RequestsPerS / 2) })
	// All other figures become the default's, one by one.
	d := scenario.Default()
	for _, part := range []struct {
		of  func(*scenario.Scenario) any
		was any
	}{{func(c *scenario.Scenario) any { return &c.Fleet }, &d.Fleet}, {func(c *scenario.Scenario) any { return &c.Load }, &d.Load}} {
		was := reflect.ValueOf(part.was).Elem()
		for i := range was.NumField() {
			switch was.Type().Field(i).Name {
			case "Offices", "Routers", "Caches", "Trunks", "Membership", "Sites", "RequestsPerS", "Retries":
				continue
			}
			add(func(c *scenario.Scenario) { reflect.ValueOf(part.of(c)).Elem().Field(i).Set(was.Field(i)) })
		}
	}
	return list
}

// last is when a day's last trouble is over.
func last(s *scenario.Scenario) (at float64) {
	for _, t := range s.Faults {
		at = max(at, t.At+t.For)
	}
	return math.Ceil(at)
}

// Found is a day that went wrong.
type Found struct {
	N      int // of the days, from 1
	What   string
	Worth  float64
	Script *scenario.Scenario
}

func (f *Found) String() string { return fmt.Sprintf("day %d: %s, worth %.3f", f.N, f.What, f.Worth) }
