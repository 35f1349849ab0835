package faultsearch

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"

	"quilldoor/internal/scenario"
)

// faultsKey is the YAML key of a scenario's list of faults.
const faultsKey = "troubles"

// Marshal encodes a scenario as YAML, from which scenario.Parse reads back the same scenario.
// Keys with their default value are omitted.
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
	changed := changedFields(fields, defaults)
	delete(changed, faultsKey)
	if len(faults) > 0 {
		changed[faultsKey] = faults
	}
	return yaml.Marshal(changed)
}

// marshalFaults converts each fault to a map of its YAML keys whose values are not zero.
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

// asMap converts a struct to a map by its YAML keys.
func asMap(value any) (map[string]any, error) {
	text, err := yaml.Marshal(value)
	if err != nil {
		return nil, err
	}
	out := map[string]any{}
	return out, yaml.Unmarshal(text, &out)
}

// changedFields returns the entries of fields whose values differ from those in defaults. Nested maps
// are compared in the same way.
func changedFields(fields, defaults map[string]any) map[string]any {
	out := map[string]any{}
	for key, value := range fields {
		nestedField, fieldIsMap := value.(map[string]any)
		nestedDefault, defaultIsMap := defaults[key].(map[string]any)
		if fieldIsMap && defaultIsMap {
			if nested := changedFields(nestedField, nestedDefault); len(nested) > 0 {
				out[key] = nested
			}
			continue
		}
		if !reflect.DeepEqual(value, defaults[key]) {
			out[key] = value
		}
	}
	return out
}
