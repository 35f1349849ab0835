package main

import "quilldoor/internal/emulator"

// rolloutFaultSet is a set of faults that occur during a rollout.
type rolloutFaultSet struct {
	name     string
	faults   string // in the YAML of a scenario
	explicit bool   // used only by cases that name it
}

var rolloutFaultSets = []rolloutFaultSet{
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

// The modes of rolling out a new program, by their names in the table.
const (
	modeAnalyzed    = "judged"   // in stages, with canary analysis of each
	modeNotAnalyzed = "no judge" // in stages, without canary analysis
	modeAllAtOnce   = "all at once"
	modeNoRollout   = "no rollout"
)

// sameProgram names the program of cases that roll out the running program again.
const sameProgram = "the same"

// rolloutCase is a new program with the mode of its rollout.
type rolloutCase struct {
	program  string
	faultSet string // empty: all sets that are not explicit
	mode     string
	options  emulator.RolloutOptions
}

var rolloutCases = []rolloutCase{
	{sameProgram, "", modeAnalyzed, emulator.RolloutOptions{}},
	{"refuses 0.02", "", modeAnalyzed, emulator.RolloutOptions{RejectShare: 0.02}},
	{"refuses 0.05", "", modeAnalyzed, emulator.RolloutOptions{RejectShare: 0.05}},
	{"refuses 0.1", "", modeAnalyzed, emulator.RolloutOptions{RejectShare: 0.1}},
	{"refuses 0.3", "", modeAnalyzed, emulator.RolloutOptions{RejectShare: 0.3}},
	{"refuses 0.5 of acceptances", "", modeAnalyzed, emulator.RolloutOptions{RejectShare: 0.5, RejectClass: "quote-accept"}},
	{"refuses 0.2 once all have it", "", modeAnalyzed, emulator.RolloutOptions{RejectShare: 0.2, RejectOnceComplete: true}},
	{"a tenth slower", "", modeAnalyzed, emulator.RolloutOptions{ExtraTimeShare: 0.1}},
	{"a fifth slower", "", modeAnalyzed, emulator.RolloutOptions{ExtraTimeShare: 0.2}},
	{"half slower", "", modeAnalyzed, emulator.RolloutOptions{ExtraTimeShare: 0.5}},
	{"refuses 0.1", "", modeNotAnalyzed, emulator.RolloutOptions{RejectShare: 0.1, NoAnalysis: true}},
	{"refuses 0.1", "", modeAllAtOnce, emulator.RolloutOptions{RejectShare: 0.1, AllAtOnce: true}},
	{sameProgram, "", modeNoRollout, emulator.RolloutOptions{StartS: 1e9}},
	{sameProgram, "purges and drains", modeAnalyzed, emulator.RolloutOptions{}},
	{"deaf to purges", "purges and drains", modeAnalyzed, emulator.RolloutOptions{MissesPurges: true}},
	{"deaf to drains", "purges and drains", modeAnalyzed, emulator.RolloutOptions{MissesDrains: true}},
}

// playedWith reports whether the case is played with a set of faults.
func (c *rolloutCase) playedWith(faultSet rolloutFaultSet) bool {
	if c.faultSet == "" {
		return !faultSet.explicit
	}
	return c.faultSet == faultSet.name
}
