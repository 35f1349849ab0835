package faultsearch

import (
	"math"
	"reflect"
	"slices"

	"quilldoor/internal/scenario"
)

// minHalvedS is the duration of a fault, in seconds, above which Shrink tries to halve it.
const minHalvedS = 0.4

// edit applies one simplification to a scenario, in place.
type edit func(*scenario.Scenario)

// Shrink reduces a scenario as long as fails returns true for it. It returns the reduced scenario
// and the number of calls of fails, which is at most maxRuns. The given scenario is not changed.
// Shrink first removes faults, several at a time. It then shortens the remaining faults and widens
// their scope, makes the fleet smaller and sets its other settings to the defaults.
func Shrink(s *scenario.Scenario, fails func(*scenario.Scenario) bool, maxRuns int) (*scenario.Scenario, int) {
	r := &reducer{current: s, fails: fails, maxRuns: maxRuns}
	r.removeFaults()
	r.simplify()
	return r.current, r.runs
}

// reducer is the state of one call of Shrink.
type reducer struct {
	current *scenario.Scenario // the most reduced scenario that fails
	fails   func(*scenario.Scenario) bool
	runs    int
	maxRuns int
}

// accept runs a candidate and makes it the current scenario if it fails. It accepts no candidate
// after maxRuns runs.
func (r *reducer) accept(candidate *scenario.Scenario) bool {
	if r.runs >= r.maxRuns {
		return false
	}
	r.runs++
	if !r.fails(candidate) {
		return false
	}
	r.current = candidate
	return true
}

// removeFaults tries to remove consecutive faults: half of them at once, then a quarter and so on.
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

// simplify applies single edits until none of them gives a scenario that fails.
func (r *reducer) simplify() {
	for progress := true; progress && r.runs < r.maxRuns; {
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

// Copy returns a deep copy of a scenario.
func Copy(s *scenario.Scenario) *scenario.Scenario {
	copied := *s
	copied.Faults = slices.Clone(s.Faults)
	copied.Load.OfficeWeights = slices.Clone(s.Load.OfficeWeights)
	return &copied
}

// edits returns all single simplifications of a scenario.
func edits(s *scenario.Scenario) []edit {
	return slices.Concat(faultEdits(s.Faults), sizeEdits(), defaultEdits())
}

// faultEdits returns the edits that set a fault's share to 1, remove its restriction to one office,
// or halve its duration.
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

// sizeEdits returns the edits that reduce the fleet, the load or the length.
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

// decrement returns an edit that lowers a field by one, unless it is at its minimum or a fault
// refers to an office or a trunk that would not exist any more.
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

// faultsFit reports whether each fault's office, trunk and start are within the scenario.
func faultsFit(s *scenario.Scenario) bool {
	for _, fault := range s.Faults {
		if fault.Office > s.Fleet.Offices || fault.Trunk > s.Fleet.Trunks || fault.At > s.LengthS {
			return false
		}
	}
	return true
}

// defaultEdits returns the edits that set one field of the fleet or the load to its default,
// except for the fields that sizeEdits reduces.
func defaultEdits() []edit {
	defaults := scenario.Default()
	fleet := func(s *scenario.Scenario) any { return &s.Fleet }
	load := func(s *scenario.Scenario) any { return &s.Load }
	return append(fieldEdits(fleet, &defaults), fieldEdits(load, &defaults)...)
}

// fieldEdits returns the edits that set a single field of one part of the scenario to its value in
// defaults.
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

// lastFaultEnd is the time, in whole seconds, by which all faults have ended.
func lastFaultEnd(s *scenario.Scenario) float64 {
	end := 0.0
	for _, fault := range s.Faults {
		end = max(end, fault.At+fault.For)
	}
	return math.Ceil(end)
}
