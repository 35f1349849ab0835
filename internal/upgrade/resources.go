package upgrade

import "fmt"

// Resources of a machine, or the part of them that a process has or may have. MemoryMB is in units of 2^20 bytes,
// Descriptors a number of open files and sockets.
type Resources struct {
	MemoryMB, Descriptors int
}

// Reserved for the supervisor itself: memory in units of 2^20 bytes, and descriptors.
const (
	SupervisorMB = 16
	// SupervisorFDs covers its sockets, connections to processes and tools, and files.
	SupervisorFDs = 32
)

const (
	// minRouterMB and minRouterFDs are the least that a router works with.
	minRouterMB  = 24
	minRouterFDs = 64
	// drainGrowth covers what a quiesced process still acquires while it drains.
	drainGrowth = 1.1
	// memoryOvershootDivisor bounds how far memory may overshoot, by a part of the
	// budget, before the garbage collector catches up.
	memoryOvershootDivisor = 5
)

// SoleBudget is what a generation may use while it is the only one. It is an error, with
// the figures, when that is less than 24 MB or 64 descriptors.
func SoleBudget(machine Resources) (Resources, error) {
	budget := Resources{
		MemoryMB:    machine.MemoryMB - SupervisorMB,
		Descriptors: machine.Descriptors - SupervisorFDs,
	}
	if budget.MemoryMB < minRouterMB || budget.Descriptors < minRouterFDs {
		return budget, fmt.Errorf(
			"keep: %d MB and %d descriptors here; the supervisor takes %d MB and %d, a router %d MB and %d at least",
			machine.MemoryMB, machine.Descriptors, SupervisorMB, SupervisorFDs, minRouterMB, minRouterFDs)
	}
	return budget, nil
}

// ShareBudget is what a new generation may use beside the supervisor and what the
// present processes use, of which it takes a tenth more. It is an error, with the
// figures, when that is less than 24 MB or 64 descriptors.
func ShareBudget(machine, present Resources) (Resources, error) {
	budget := Resources{
		MemoryMB:    machine.MemoryMB - SupervisorMB - int(drainGrowth*float64(present.MemoryMB)+1),
		Descriptors: machine.Descriptors - SupervisorFDs - int(drainGrowth*float64(present.Descriptors)+1),
	}
	if budget.MemoryMB < minRouterMB {
		return budget, fmt.Errorf(
			"memory: %d MB here, %d for the supervisor and %d for the present generation leave %d, %d are wanted",
			machine.MemoryMB, SupervisorMB, machine.MemoryMB-SupervisorMB-budget.MemoryMB, budget.MemoryMB, minRouterMB)
	}
	if budget.Descriptors < minRouterFDs {
		return budget, fmt.Errorf(
			"descriptors: %d here, %d for the supervisor and %d for the present generation leave %d, %d are wanted",
			machine.Descriptors, SupervisorFDs, machine.Descriptors-SupervisorFDs-budget.Descriptors,
			budget.Descriptors, minRouterFDs)
	}
	return budget, nil
}

// CheckUsage returns an error, with the figures, when a process uses more descriptors than
// its budget, or more than 1.2 times its memory.
func CheckUsage(budget, usage Resources) error {
	switch {
	case usage.MemoryMB > budget.MemoryMB+budget.MemoryMB/memoryOvershootDivisor:
		return fmt.Errorf("memory: %d MB of %d", usage.MemoryMB, budget.MemoryMB)
	case usage.Descriptors > budget.Descriptors:
		return fmt.Errorf("descriptors: %d of %d", usage.Descriptors, budget.Descriptors)
	}
	return nil
}
