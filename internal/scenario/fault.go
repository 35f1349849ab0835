package scenario

import (
	"cmp"

	"quilldoor/internal/yamlfile"
)

// Fault is a fault that is injected during the run.
type Fault struct {
	Kind     string  `yaml:"kind"`     // key of FaultKinds
	At       float64 `yaml:"at"`       // seconds from the start
	For      float64 `yaml:"for"`      // seconds
	Every    float64 `yaml:"every"`    // seconds between pauses or waves; 0: defaultEveryS
	Office   int     `yaml:"office"`   // from 1; 0: all of them or any one, by kind
	Trunk    int     `yaml:"trunk"`    // from 1; 0: all of them or any one, by kind
	Share    float64 `yaml:"share"`    // of the servers, groups, objects or requests at that place; 0: all
	Strength float64 `yaml:"strength"` // its meaning depends on the kind
}

const (
	// defaultEveryS is the number of seconds between pauses or waves if the fault names none.
	defaultEveryS = 2
	minEveryS     = 0.01      // seconds
	maxFaultS     = 24 * 3600 // seconds: a day
)

// validate checks a fault and sets its defaults. The key is the prefix of the key that an error names.
func (f *Fault) validate(s *Scenario, key string) error {
	kind, known := FaultKinds[f.Kind]
	if !known {
		return yamlfile.Errorf(key+"kind", "%.40q is not a kind of fault", f.Kind)
	}
	if f.Strength == 0 {
		f.Strength = kind.Strength
	}
	if err := f.validateTimes(s, key); err != nil {
		return err
	}
	if err := f.validatePlace(s, key); err != nil {
		return err
	}
	if err := f.validateStrength(kind, key); err != nil {
		return err
	}
	if err := f.validateRecurrence(kind, key); err != nil {
		return err
	}
	if f.Share == 0 && f.Kind != KindPeerPartition { // a partition without a share has parts of equal size
		f.Share = 1
	}
	if kind.Recurring {
		f.Every = cmp.Or(f.Every, defaultEveryS)
	}
	return nil
}

// validateTimes checks when the fault begins and how long it lasts.
func (f *Fault) validateTimes(s *Scenario, key string) error {
	switch {
	case !(f.At >= 0 && f.At <= s.LengthS):
		return yamlfile.Errorf(key+"at", "%g is not within the scenario's %g s", f.At, s.LengthS)
	case !(f.For >= 0 && f.For <= maxFaultS):
		return yamlfile.Errorf(key+"for", "%g is not within 0 and a day", f.For)
	}
	return nil
}

// validatePlace checks the office, the trunk and the share that the fault affects.
func (f *Fault) validatePlace(s *Scenario, key string) error {
	if err := yamlfile.CheckRange(key+"share", f.Share, 0, 1); err != nil {
		return err
	}
	switch {
	case f.Office < 0 || f.Office > s.Fleet.Offices:
		return yamlfile.Errorf(key+"office", "there is no office %d, only %d", f.Office, s.Fleet.Offices)
	case f.Trunk < 0 || f.Trunk > s.Fleet.Trunks:
		return yamlfile.Errorf(key+"trunk", "there is no trunk %d, only %d", f.Trunk, s.Fleet.Trunks)
	}
	return nil
}

func (f *Fault) validateStrength(kind FaultKind, key string) error {
	if kind.Strength != 0 {
		return yamlfile.CheckRange(key+"strength", f.Strength, kind.MinStrength, kind.MaxStrength)
	}
	if f.Strength != 0 {
		return yamlfile.Errorf(key+"strength", "%s has no strength", f.Kind)
	}
	return nil
}

// validateRecurrence checks the time between pauses or waves.
func (f *Fault) validateRecurrence(kind FaultKind, key string) error {
	switch {
	case f.Every < 0 || f.Every > 0 && !kind.Recurring:
		return yamlfile.Errorf(key+"every", "%s does not recur", f.Kind)
	case f.Every > 0 && f.Every < minEveryS:
		return yamlfile.Errorf(key+"every", "%g is below the minimum of %g s", f.Every, minEveryS)
	}
	return nil
}
