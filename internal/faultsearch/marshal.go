package faultsearch

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"

	"quilldoor/internal/scenario"
)

// faultsKey is the scenario's YAML key of the list of faults.
const faultsKey = "troubles"

// Marshal writes a scenario as YAML that scenario.Parse reads back to the same scenario.
// Keys that have the default value are left out.
func Marshal(s *scenario.Scenario) ([]byte, error) {
	fields, err := asMap(s)
	if err != nil {
		return nil, err
	}
	base := scenario.Default()
	defaults, err := asMap(&base)
	if err != nil {
		return nil, err
	}
	faults, err := marshalFaults(s.Faults)
	if err != nil {
		return nil, err
	}
	changed := differing(fields, defaults)
	delete(changed, faultsKey)
	if len(faults) > 0 {
		changed[faultsKey] = faults
	}
	return yaml.Marshal(changed)
}

// marshalFaults returns the keys of each fault that are not zero.
func marshalFaults(faults []scenario.Fault) ([]map[string]any, error) {
	var list []map[string]any
	for i := range faults {
		fields, err := asMap(&faults[i])
		if err != nil {
			return nil, fmt.Errorf("fault %d: %w", i, err)
		}
		for key, value := range fields {
			if reflect.ValueOf(value).IsZero() {
				delete(fields, key)
			}
		}
		list = append(list, fields)
	}
	return list, nil
}

// asMap converts a value to a map by its YAML keys.
func asMap(value any) (map[string]any, error) {
	text, err := yaml.Marshal(value)
	if err != nil {
		return nil, err
	}
	out := map[string]any{}
	return out, yaml.Unmarshal(text, &out)
}

// differing returns the keys of a whose values differ from those in b, nested maps included.
func differing(a, b map[string]any) map[string]any {
	out := map[string]any{}
	for key, value := range a {
		nestedA, isMapA := value.(map[string]any)
		nestedB, isMapB := b[key].(map[string]any)
		if isMapA && isMapB {
			if nested := differing(nestedA, nestedB); len(nested) > 0 {
				out[key] = nested
			}
			continue
		}
		if !reflect.DeepEqual(value, b[key]) {
			out[key] = value
		}
	}
	return out
}
