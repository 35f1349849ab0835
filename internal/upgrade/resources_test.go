package upgrade

import (
	"strings"
	"testing"
)

// Guards against budgets that together exceed the machine, against a generation that gets
// too little to run, and against a process over its budget that is not reported.
func TestBudgetsDivideTheMachine(t *testing.T) {
	machine := Resources{192, 1024}
	if sole, err := SoleBudget(machine); err != nil ||
		sole.MemoryMB+SupervisorMB != 192 || sole.Descriptors+SupervisorFDs != 1024 {
		t.Errorf("sole budget %+v, error %v", sole, err)
	}
	if _, err := SoleBudget(Resources{32, 64}); err == nil || !strings.Contains(err.Error(), "32 MB and 64") {
		t.Errorf("sole budget of a small machine: error %v", err)
	}
	for _, c := range []struct {
		presentUsage Resources
		wantError    string // part of the error; "": none
	}{
		{Resources{30, 200}, ""},
		{Resources{140, 200}, "memory"},
		{Resources{30, 900}, "descriptors"},
	} {
		share, err := ShareBudget(machine, c.presentUsage)
		if (err == nil) != (c.wantError == "") || err != nil && !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("present usage %+v: budget %+v, error %v", c.presentUsage, share, err)
		}
		if err == nil && (share.MemoryMB+c.presentUsage.MemoryMB+SupervisorMB > 192 ||
			share.Descriptors+c.presentUsage.Descriptors+SupervisorFDs > 1024) {
			t.Errorf("present usage %+v and budget %+v exceed the machine", c.presentUsage, share)
		}
	}
	budget := Resources{100, 50}
	if CheckUsage(budget, Resources{110, 50}) != nil || CheckUsage(budget, Resources{121, 50}) == nil ||
		CheckUsage(budget, Resources{10, 51}) == nil {
		t.Error("CheckUsage accepts a usage above the budget, or rejects one within it")
	}
}
