package upgrade

import (
	"strings"
	"testing"
)

func TestBudgetsDivideTheMachine(t *testing.T) {
	machine := Resources{192, 1024}
	if u, err := SoleBudget(machine); err != nil || u.MemoryMB+SupervisorMB != 192 || u.Descriptors+SupervisorFDs != 1024 {
		t.Errorf("%+v, %v", u, err)
	}
	if _, err := SoleBudget(Resources{32, 64}); err == nil || !strings.Contains(err.Error(), "32 MB and 64") {
		t.Error(err)
	}
	for _, c := range []struct {
		old  Resources
		want string
	}{
		{Resources{30, 200}, ""},
		{Resources{140, 200}, "memory"},
		{Resources{30, 900}, "descriptors"},
	} {
		u, err := ShareBudget(machine, c.old)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %+v, %v", c.old, u, err)
		}
		if err == nil && (u.MemoryMB+c.old.MemoryMB+SupervisorMB > 192 ||
			u.Descriptors+c.old.Descriptors+SupervisorFDs > 1024) {
			t.Errorf("%+v and %+v are more than there is", c.old, u)
		}
	}
	budget := Resources{100, 50}
	if CheckUsage(budget, Resources{110, 50}) != nil || CheckUsage(budget, Resources{121, 50}) == nil ||
		CheckUsage(budget, Resources{10, 51}) == nil {
		t.Error("usage against the budget")
	}
}
