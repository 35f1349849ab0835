package supervisor

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"quilldoor/internal/upgrade"
)

// Indexes of the fields of /proc/PID/stat after the process's name, see proc(5).
const (
	statState     = 0
	statStartTime = 19
)

// startTicksOf returns when a process started, in clock ticks since the system's boot. It
// returns 0 when no process has this PID, or when it is a zombie.
func startTicksOf(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The name is in parentheses and may contain any character.
	endOfName := strings.LastIndex(string(text), ") ")
	if endOfName < 0 {
		return 0
	}
	fields := strings.Fields(string(text)[endOfName+len(") "):])
	if len(fields) <= statStartTime || fields[statState] == "Z" {
		return 0
	}
	ticks, _ := strconv.ParseUint(fields[statStartTime], 10, 64) // 0 on an error
	return ticks
}

// usageOf returns the resources in use by a process; a value that can't be read is 0.
func usageOf(pid int) (usage upgrade.Resources) {
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		if fields := strings.Fields(string(text)); len(fields) > 1 {
			pages, _ := strconv.ParseInt(fields[1], 10, 64) // 0 on an error
			usage.MemoryMB = int(pages * int64(syscall.Getpagesize()) >> 20)
		}
	}
	if d, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		names, _ := d.Readdirnames(-1) // the names read before an error are counted
		usage.Descriptors = len(names)
		d.Close()
	}
	return usage
}
