package faultsearch

import (
	"math"
	"reflect"
	"slices"

	"quilldoor/internal/scenario"
)

// minHalvedS is the duration, in seconds, above which a fault's duration is still halved.
const minHalvedS = 0.4

// edit makes one simplification of a scenario, in place.
type edit func(*scenario.Scenario)

// Shrink reduces a scenario while fails still holds for it, and returns the reduced one and the
// number of calls of fails, at most maxPlays. The given scenario is not changed. It first removes
// faults, several at a time; then it shortens and widens those that are left, and makes the fleet
// smaller and its settings the defaults.
func Shrink(s *scenario.Scenario, fails func(*scenario.Scenario) bool, maxPlays int) (*scenario.Scenario, int) {
	r := &reducer{current: s, fails: fails, maxPlays: maxPlays}
	r.removeFaults()
	r.simplify()
	return r.current, r.plays
}

// reducer is the state of one Shrink.
type reducer struct {
	current  *scenario.Scenario // the smallest scenario that fails
	fails    func(*scenario.Scenario) bool
	plays    int
	maxPlays int
}

// accept makes the candidate the current scenario if it fails, too.
func (r *reducer) accept(candidate *scenario.Scenario) bool {
	if r.plays >= r.maxPlays {
		return false
	}
	r.plays++
	if !r.fails(candidate) {
		return false
	}
	r.current = candidate
	return true
}

// removeFaults tries to remove runs of faults: half of them at once, then a quarter and so on.
func (r *reducer) removeFaults() {
	for size := max(len(r.current.Faults)/2, 1); size >= 1 && len(r.current.Faults) > 0; size /= 2 {
		for i := 0; i < len(r.current.Faults); {
			candidate := Copy(r.current)
			candidate.Faults = slices.Delete(candidate.Faults, i, min(i+size, len(candidate.Faults)))
			if !r.accept(candidate) {
				i += size
			}
		}
	}
}

// simplify applies single edits until none of them leaves a scenario that fails.
func (r *reducer) simplify() {
	for progress := true; progress && r.plays < r.maxPlays; {
		progress = false
		for _, apply := range edits(r.current) {
			candidate := Copy(r.current)
			apply(candidate)
			if reflect.DeepEqual(candidate, r.current) {
				continue
			}
			if r.accept(candidate) {
				progress = true
			}
		}
	}
}

// Copy returns a deep copy.
func Copy(s *scenario.Scenario) *scenario.Scenario {
	copied := *s
	copied.Faults = slices.Clone(s.Faults)
	copied.Load.OfficeWeights = slices.Clone(s.Load.OfficeWeights)
	return &copied
}

// edits returns the single simplifications of a scenario.
func edits(s *scenario.Scenario) []edit {
	return slices.Concat(faultEdits(s.Faults), sizeEdits(), defaultEdits())
}

// faultEdits widen a fault to its whole place or shorten it.
func faultEdits(faults []scenario.Fault) []edit {
	var list []edit
	for i, fault := range faults {
		if fault.Share != 1 {
			list = append(list, func(s *scenario.Scenario) { s.Faults[i].Share = 1 })
		}
		if fault.Office != 0 {
			list = append(list, func(s *scenario.Scenario) { s.Faults[i].Office = 0 })
		}
		if fault.For > minHalvedS {
			list = append(list, func(s *scenario.Scenario) { s.Faults[i].For = roundDigits(fault.For / 2) })
		}
	}
	return list
}

// sizeEdits make the fleet, the load or the length smaller.
func sizeEdits() []edit {
	return []edit{
		decrement(func(s *scenario.Scenario) *int { return &s.Fleet.Offices }, 1),
		decrement(func(s *scenario.Scenario) *int { return &s.Fleet.Routers }, 1),
		decrement(func(s *scenario.Scenario) *int { return &s.Fleet.Caches }, 1),
		decrement(func(s *scenario.Scenario) *int { return &s.Fleet.Trunks }, 1),
		decrement(func(s *scenario.Scenario) *int { return &s.Load.Retries }, 0),
		func(s *scenario.Scenario) { s.Fleet.Membership = false },
		func(s *scenario.Scenario) { s.Fleet.Sites = 0 },
		func(s *scenario.Scenario) {
			if end := lastFaultEnd(s) + warmUpS; end < s.LengthS {
				s.LengthS = end
			}
		},
		func(s *scenario.Scenario) { s.Load.RequestsPerS = roundDigits(s.Load.RequestsPerS / 2) },
	}
}

// decrement lowers a field by one, unless it is at its minimum or a fault needs it as it is.
func decrement(field func(*scenario.Scenario) *int, minimum int) edit {
	return func(s *scenario.Scenario) {
		value := field(s)
		if *value <= minimum {
			return
		}
		*value--
		if !faultsFit(s) {
			*value++
		}
	}
}

// faultsFit reports whether each fault's place and time exist in the scenario.
func faultsFit(s *scenario.Scenario) bool {
	for _, fault := range s.Faults {
		if fault.Office > s.Fleet.Offices || fault.Trunk > s.Fleet.Trunks || fault.At > s.LengthS {
			return false
		}
	}
	return true
}

// defaultEdits set one field of the fleet or the load to its default, but for those that
// sizeEdits lower.
func defaultEdits() []edit {
	defaults := scenario.Default()
	fleet := func(s *scenario.Scenario) any { return &s.Fleet }
	load := func(s *scenario.Scenario) any { return &s.Load }
	return append(fieldEdits(fleet, &defaults), fieldEdits(load, &defaults)...)
}

// fieldEdits set single fields of a part of the scenario to those in defaults.
func fieldEdits(part func(*scenario.Scenario) any, defaults *scenario.Scenario) []edit {
	var list []edit
	values := reflect.ValueOf(part(defaults)).Elem()
	for i := range values.NumField() {
		switch values.Type().Field(i).Name {
		case "Offices", "Routers", "Caches", "Trunks", "Membership", "Sites", "RequestsPerS", "Retries":
			continue
		}
		list = append(list, func(s *scenario.Scenario) {
			reflect.ValueOf(part(s)).Elem().Field(i).Set(values.Field(i))
		})
	}
	return list
}

// lastFaultEnd is the second by which all faults are over.
func lastFaultEnd(s *scenario.Scenario) float64 {
	end := 0.0
	for _, fault := range s.Faults {
		end = max(end, fault.At+fault.For)
	}
	return math.Ceil(end)
}
