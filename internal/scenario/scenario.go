// Package scenario reads scenarios from YAML: a fleet, the load on it and the faults of a run.
// It also derives the settings that a router of the fleet is started with. It runs no scenario:
// internal/simulation and internal/emulator do.
package scenario

import "quilldoor/internal/yamlfile"

// Scenario describes one run. Keys that are absent in the YAML have the values of Default.
type Scenario struct {
	Name    string  `yaml:"-"`
	About   string  `yaml:"about"` // one line
	Seed    uint64  `yaml:"seed"`
	LengthS float64 `yaml:"length_s"` // seconds until clients stop sending requests
	WarmUpS float64 `yaml:"settle_s"` // seconds at the start in which outcomes do not count
	Fleet   Fleet   `yaml:"fleet"`
	Load    Load    `yaml:"load"`
	Faults  []Fault `yaml:"troubles"`
}

// Default returns a scenario of a small fleet without faults: three offices at two trunks.
func Default() Scenario {
	return Scenario{
		Seed:    1,
		LengthS: 40,
		WarmUpS: 10,
		Fleet:   defaultFleet(),
		Load:    defaultLoad(),
	}
}

// Parse decodes and validates a scenario. The name becomes the scenario's, and errors give it as
// the file.
func Parse(name string, text []byte) (*Scenario, error) {
	s := Default()
	s.Name = name
	if err := yamlfile.Decode(name, text, &s, s.validate); err != nil {
		return nil, err
	}
	return &s, nil
}
