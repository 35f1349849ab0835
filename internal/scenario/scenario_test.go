package scenario

import (
	"strings"
	"testing"

	"quilldoor/internal/policy"
)

func TestParseErrorsNameLineAndKey(t *testing.T) {
	for text, want := range map[string]string{
		"length_s: 0\n":          "f:1: length_s: 0 is not within",
		"settle_s: 50\n":         "f:1: settle_s",
		"\nfleet:\n  cores: 0\n": "f:3: fleet.cores",
		"load: {txns_per_s: 1000000, objects: 10}\nlength_s: 86400\n": "f:1: load.txns_per_s: 86400000000 requests",
		"fleet: {offices: 100, caches: 100}\n":                        "f:1: fleet.caches: 10000 caches",
		"fleet: {offices: 200, routers: 50}\n":                        "f:1: fleet.routers: 10000 routers",
		"troubles:\n- {kind: rain, at: 1}\n":                          "f:2: troubles[0].kind: \"rain\" is not a kind of fault",
		"troubles:\n- {kind: die, at: 1}\n- {kind: die, at: 99}\n":    "f:3: troubles[1].at: 99 is not within",
		"troubles:\n- {kind: die, at: 1, office: 9}\n":                "f:2: troubles[0].office: there is no office 9",
		"troubles:\n- {kind: parents_lost, at: 1, trunk: 9}\n":        "f:2: troubles[0].trunk",
		"troubles:\n- {kind: die, at: 1, strength: 3}\n":              "f:2: troubles[0].strength: die has no strength",
		"troubles:\n- {kind: ledger_slow, at: 1, strength: 1000}\n":   "f:2: troubles[0].strength: 1000 is not within",
		"troubles:\n- {kind: die, at: 1, share: 2}\n":                 "f:2: troubles[0].share",
		"troubles:\n- {kind: die, at: 1, every: 2}\n":                 "f:2: troubles[0].every: die does not recur",
		"troubles:\n- {kind: die, at: 1, for: .inf}\n":                "f:2: troubles[0].for",
		"load: {skew: .nan}\n":                                        "f:1: load.skew",
		"fleets: {}\n":                                                "f:1: fleets: unknown field",
	} {
		if _, err := Parse("f", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	for _, name := range FaultNames() {
		s, err := Parse("f", []byte("troubles:\n- {kind: "+name+", at: 1, for: 2}\n"))
		kind := FaultKinds[name]
		if err != nil || s.Faults[0].Strength != kind.Strength || kind.Recurring && s.Faults[0].Every == 0 {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
	}
}

// The settings of a router follow the scenario: zone, hierarchy, classes and slow start.
func TestSettingsFollowTheScenario(t *testing.T) {
	s := Default()
	s.Load.PageFreshS = 12
	setup := s.Settings(2, 2)
	got := setup.PolicySettings()
	if got.Zone != "office-3" || len(got.Zones) != 3 || got.Routers != 3 ||
		got.Hierarchy.OriginKind != 2 || got.Hierarchy.ParentKind != 1 {
		t.Fatalf("zone, zones, routers or hierarchy: %+v", got)
	}
	page, accept := got.Classes[ClassPage], got.Classes[ClassAccept]
	if page.FreshFor != 12_000_000 || page.StaleGrace != 12_000_000 ||
		accept.Effect != policy.EffectUnsafe || !accept.Write {
		t.Fatalf("page or accept class: %+v", got.Classes)
	}
	if got.Contract.SlowStartFrom != s.Fleet.SlowStartFrom || got.Contract.OverloadMultiple != s.Fleet.OverloadMultiple ||
		got.Hierarchy.ParentSlowStartFrom != s.Fleet.ParentSlowStartFrom {
		t.Fatalf("slow start or overload: %+v, %+v", got.Contract, got.Hierarchy)
	}
}
