package main

import "quilldoor/internal/emulator"

// rolloutDay is a set of faults during the rollout.
type rolloutDay struct {
	name     string
	faults   string // YAML of the scenario
	explicit bool   // played only for cases that name it
}

var rolloutDays = []rolloutDay{
	{name: "calm"},
	{name: "troubled", faults: `troubles:
  - {kind: die, at: 40, for: 10, share: 0.2}
  - {kind: purge, at: 60, share: 0.4}
  - {kind: office_lost, at: 80, for: 10, office: 3}
  - {kind: ledger_slow, at: 100, for: 20, strength: 2.5}
  - {kind: resets, at: 130, for: 20, share: 0.03}
  - {kind: die, at: 170, for: 10, share: 0.3}
  - {kind: late_reports, at: 200, for: 40, strength: 2}
  - {kind: burst, at: 230, for: 10, strength: 2}
`},
	{name: "purges and drains", explicit: true, faults: `troubles:
  - {kind: deploy, at: 30, for: 1, every: 12, strength: 1}
  - {kind: purge, at: 35, share: 0.5}
  - {kind: purge, at: 60, share: 0.5}
  - {kind: purge, at: 85, share: 0.5}
  - {kind: purge, at: 110, share: 0.5}
  - {kind: purge, at: 135, share: 0.5}
`},
}

// How a new program is rolled out.
const (
	modeJudged    = "judged"
	modeNoJudge   = "no judge"
	modeAtOnce    = "all at once"
	modeNoRollout = "no rollout"
)

// sameProgram is a rollout case without a change.
const sameProgram = "the same"

// rolloutCase is a new program and how it is rolled out.
type rolloutCase struct {
	program string
	day     string // empty: all days that are not explicit
	mode    string
	rolling emulator.RolloutOptions
}

var rolloutCases = []rolloutCase{
	{sameProgram, "", modeJudged, emulator.RolloutOptions{}},
	{"refuses 0.02", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.02}},
	{"refuses 0.05", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.05}},
	{"refuses 0.1", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.1}},
	{"refuses 0.3", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.3}},
	{"refuses 0.5 of acceptances", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.5, RejectClass: "quote-accept"}},
	{"refuses 0.2 once all have it", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.2, RejectOnceComplete: true}},
	{"a tenth slower", "", modeJudged, emulator.RolloutOptions{ExtraTimeShare: 0.1}},
	{"a fifth slower", "", modeJudged, emulator.RolloutOptions{ExtraTimeShare: 0.2}},
	{"half slower", "", modeJudged, emulator.RolloutOptions{ExtraTimeShare: 0.5}},
	{"refuses 0.1", "", modeNoJudge, emulator.RolloutOptions{RejectShare: 0.1, NoAnalysis: true}},
	{"refuses 0.1", "", modeAtOnce, emulator.RolloutOptions{RejectShare: 0.1, AllAtOnce: true}},
	{sameProgram, "", modeNoRollout, emulator.RolloutOptions{StartS: 1e9}},
	{sameProgram, "purges and drains", modeJudged, emulator.RolloutOptions{}},
	{"deaf to purges", "purges and drains", modeJudged, emulator.RolloutOptions{MissesPurges: true}},
	{"deaf to drains", "purges and drains", modeJudged, emulator.RolloutOptions{MissesDrains: true}},
}

// on reports whether the case is played on a day.
func (c *rolloutCase) on(day rolloutDay) bool {
	if c.day == "" {
		return !day.explicit
	}
	return c.day == day.name
}
