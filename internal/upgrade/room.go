package upgrade

import "fmt"

// Resources is what a process has now.
type Resources struct {
	MemoryMB, Descriptors int
}

// What the keeper itself takes at the most, and the least that a router works with.
const (
	SupervisorMB, SupervisorFDs = 16, 32 // 10 to 12 MB measured; descriptors: sockets, children, tools, files
	leastMB, leastFDs           = 24, 64
	// A generation that hands over goes on with what it has: a tenth more covers what
	// comes while it answers.
	growth = 1.1
)

// SoleBudget is what a generation may have while it is the only one.
func SoleBudget(machine Resources) (Resources, error) {
	u := Resources{machine.MemoryMB - SupervisorMB, machine.Descriptors - SupervisorFDs}
	if u.MemoryMB < leastMB || u.Descriptors < leastFDs {
		return u, fmt.Errorf("keep: %d MB and %d descriptors here; the keeper takes %d MB and %d, a router %d MB and %d at least",
			machine.MemoryMB, machine.Descriptors, SupervisorMB, SupervisorFDs, leastMB, leastFDs)
	}
	return u, nil
}

// ShareBudget is what a new generation may have beside the old one and the keeper. The
// error tells the figures.
func ShareBudget(machine, old Resources) (Resources, error) {
	u := Resources{machine.MemoryMB - SupervisorMB - int(growth*float64(old.MemoryMB)+1), machine.Descriptors - SupervisorFDs - int(growth*float64(old.Descriptors)+1)}
	if u.MemoryMB < leastMB {
		return u, fmt.Errorf("memory: %d MB here, %d for the keeper and %d for the present generation leave %d, %d are wanted", machine.MemoryMB,
			SupervisorMB, machine.MemoryMB-SupervisorMB-u.MemoryMB, u.MemoryMB, leastMB)
	}
	if u.Descriptors < leastFDs {
		return u, fmt.Errorf("descriptors: %d here, %d for the keeper and %d for the present generation leave %d, %d are wanted", machine.Descriptors,
			SupervisorFDs, machine.Descriptors-SupervisorFDs-u.Descriptors, u.Descriptors, leastFDs)
	}
	return u, nil
}

// CheckUsage tells whether a process uses more than its part. Memory may overshoot by a
// fifth before the collector has its way.
func CheckUsage(part, use Resources) error {
	switch {
	case use.MemoryMB > part.MemoryMB+part.MemoryMB/5:
		return fmt.Errorf("memory: %d MB of %d", use.MemoryMB, part.MemoryMB)
	case use.Descriptors > part.Descriptors:
		return fmt.Errorf("descriptors: %d of %d", use.Descriptors, part.Descriptors)
	}
	return nil
}
