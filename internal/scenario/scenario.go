// Package scenario reads scenarios from YAML: a fleet, the load on it and the faults of a run.
// It also gives the settings that a router of the fleet is started with. It plays nothing:
// internal/simulation and internal/emulator do.
package scenario

import "quilldoor/internal/yamlfile"

// Scenario is one run. Keys that the YAML leaves out have the values of Default.
type Scenario struct {
	Name    string  `yaml:"-"`
	About   string  `yaml:"about"` // one line
	Seed    uint64  `yaml:"seed"`
	LengthS float64 `yaml:"length_s"` // seconds in all; clients send requests until then
	WarmUpS float64 `yaml:"settle_s"` // seconds of those before outcomes count
	Fleet   Fleet   `yaml:"fleet"`
	Load    Load    `yaml:"load"`
	Faults  []Fault `yaml:"troubles"`
}

// Default is a small fleet without faults: three offices at two trunks.
func Default() Scenario {
	return Scenario{
		Seed:    1,
		LengthS: 40,
		WarmUpS: 10,
		Fleet:   defaultFleet(),
		Load:    defaultLoad(),
	}
}

// Parse decodes and validates a scenario. The name is the scenario's, and the file in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	s := Default()
	s.Name = name
	if err := yamlfile.Decode(name, text, &s, s.validate); err != nil {
		return nil, err
	}
	return &s, nil
}
