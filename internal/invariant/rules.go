package invariant

import "fmt"

// Rule is a rule that a router must keep, by its number in docs/architecture.md and in
// reports. Rules that can't be checked from outside the process are left out.
type Rule uint8

// Rules that can be checked from outside the process.
const (
	RuleDuplicate  Rule = 2 // no attempt of a non-idempotent request beside one that may have been executed
	RuleDrained    Rule = 3 // no attempt to, or fill from, an endpoint that is draining or was removed
	RuleOverBudget Rule = 4 // no more work to an endpoint in slow start than this router's share
	RuleStale      Rule = 5 // no response older than a purge
	ruleCount      Rule = 6
)

var ruleNames = [ruleCount]string{
	RuleDuplicate:  "request that is not idempotent sent twice",
	RuleDrained:    "use of draining or removed endpoints",
	RuleOverBudget: "slow-start budgets exceeded",
	RuleStale:      "responses older than a purge",
}

// String returns the rule's number and name, as reports and status pages show it.
func (r Rule) String() string { return fmt.Sprintf("rule %d, %s", uint8(r), ruleNames[r]) }

// Times in microseconds.
const (
	millisecond = int64(1000)
	second      = int64(1_000_000)
)

const (
	// maxDiscoverySkew is how much later than the monitor a process may receive the same
	// change: both poll discovery, and one of them may lose a poll and its retry.
	maxDiscoverySkew = 2 * second
	// settleDelay is how long a report waits before it is checked, so that the monitor
	// has received every change that the process received earlier.
	settleDelay = second
	// maxDiscoveryStall is how late a process may receive a change if its connection to
	// discovery hangs. Such a process violates rules for that long at most; violations
	// that go on for longer are a fault of the program.
	maxDiscoveryStall = 7 * second
	// minViolations is how many violations of a rule prove a fault. For RuleDuplicate a
	// single one does.
	minViolations = 3
	// violationTTL is how long a violation counts.
	violationTTL = 60 * second
	// removedEndpointTTL is how long a removed endpoint is remembered, from when it became
	// unusable.
	removedEndpointTTL = 120 * second
	// purgeTTL is how long purges are remembered, since caches and disks may still hold
	// older copies.
	purgeTTL = 120 * second
)

// Bounds of memory.
const (
	maxEndpoints      = 8192
	maxPurges         = 4096
	maxPending        = 128 // reports of a process; it sends about a dozen per second
	maxProcesses      = 64
	maxViolationTimes = 256            // of a rule and a process
	maxWorkRecords    = 4 * maxPending // of an endpoint
)
