package upgrade

import "fmt"

// Resources are those of a machine, or the part of them that a process uses or may use.
// MemoryMB is in units of 2^20 bytes. Descriptors is a number of open files and sockets.
type Resources struct {
	MemoryMB, Descriptors int
}

// Resources reserved for the supervisor itself.
const (
	// SupervisorMB is its memory, in units of 2^20 bytes.
	SupervisorMB = 16
	// SupervisorFDs is the number of its descriptors: sockets, connections to processes
	// and tools, and files.
	SupervisorFDs = 32
)

const (
	// minRouterMB and minRouterFDs are the least memory, in units of 2^20 bytes, and the
	// fewest descriptors that a router can run with.
	minRouterMB  = 24
	minRouterFDs = 64
	// drainGrowth is the factor by which the usage of the present processes may still grow.
	drainGrowth = 1.1
	// A process may exceed its memory budget by the budget divided by
	// memoryOvershootDivisor: memory overshoots until the garbage collector catches up.
	memoryOvershootDivisor = 5
)

// SoleBudget returns the resources that a generation may use while it is the only one. It
// returns an error with the figures when these are less than 24 MB or 64 descriptors.
func SoleBudget(machine Resources) (Resources, error) {
	budget := Resources{
		MemoryMB:    machine.MemoryMB - SupervisorMB,
		Descriptors: machine.Descriptors - SupervisorFDs,
	}
	if budget.MemoryMB < minRouterMB || budget.Descriptors < minRouterFDs {
		return budget, fmt.Errorf(
			"keep: %d MB and %d descriptors are available; "+
				"the supervisor needs %d MB and %d descriptors, a router at least %d MB and %d descriptors",
			machine.MemoryMB, machine.Descriptors, SupervisorMB, SupervisorFDs, minRouterMB, minRouterFDs)
	}
	return budget, nil
}

// ShareBudget returns the resources that a new generation may use while the present
// processes run: those that remain after the supervisor's part and the present usage
// increased by a tenth. It returns an error with the figures when these are less than
// 24 MB or 64 descriptors.
func ShareBudget(machine, presentUsage Resources) (Resources, error) {
	budget := Resources{
		MemoryMB:    machine.MemoryMB - SupervisorMB - int(drainGrowth*float64(presentUsage.MemoryMB)+1),
		Descriptors: machine.Descriptors - SupervisorFDs - int(drainGrowth*float64(presentUsage.Descriptors)+1),
	}
	if budget.MemoryMB < minRouterMB {
		return budget, fmt.Errorf(
			"memory: %d MB are available; %d MB for the supervisor and %d MB for the present processes "+
				"leave %d MB, a new generation needs at least %d MB",
			machine.MemoryMB, SupervisorMB, machine.MemoryMB-SupervisorMB-budget.MemoryMB, budget.MemoryMB, minRouterMB)
	}
	if budget.Descriptors < minRouterFDs {
		return budget, fmt.Errorf(
			"descriptors: %d are available; %d for the supervisor and %d for the present processes "+
				"leave %d, a new generation needs at least %d",
			machine.Descriptors, SupervisorFDs, machine.Descriptors-SupervisorFDs-budget.Descriptors,
			budget.Descriptors, minRouterFDs)
	}
	return budget, nil
}

// CheckUsage returns an error with the figures when a process uses more than 1.2 times the
// memory of its budget, or more descriptors than its budget.
func CheckUsage(budget, usage Resources) error {
	switch {
	case usage.MemoryMB > budget.MemoryMB+budget.MemoryMB/memoryOvershootDivisor:
		return fmt.Errorf("memory: %d MB in use, the budget is %d MB", usage.MemoryMB, budget.MemoryMB)
	case usage.Descriptors > budget.Descriptors:
		return fmt.Errorf("descriptors: %d in use, the budget is %d", usage.Descriptors, budget.Descriptors)
	}
	return nil
}
