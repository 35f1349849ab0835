package invariant

import "fmt"

// Rule is one that a router must keep, by its number in docs/architecture.md and in the
// reports. Those that can't be seen from outside the process are left out.
type Rule uint8

// Rules that can be checked from outside the process.
const (
	RuleDuplicate  Rule = 2 // no second attempt beside one that may have been executed, if not idempotent
	RuleDrained    Rule = 3 // no attempt to, or fill from, an endpoint that drains or has gone
	RuleOverBudget Rule = 4 // no more work to an endpoint in slow start than this router's share
	RuleStale      Rule = 5 // no response older than a purge
	ruleCount      Rule = 6
)

var ruleNames = [ruleCount]string{
	RuleDuplicate:  "request that is not idempotent sent twice",
	RuleDrained:    "sent to endpoints that drain or have gone",
	RuleOverBudget: "slow-start budgets overspent",
	RuleStale:      "responses older than a purge",
}

// String returns the rule's number and name, as reports and pages show it.
func (r Rule) String() string { return fmt.Sprintf("rule %d, %s", uint8(r), ruleNames[r]) }

// Times in microseconds.
const (
	millisecond = int64(1000)
	second      = int64(1_000_000)
)

const (
	// maxDiscoverySkew is how much later than the monitor a process may learn of the same
	// change: both poll discovery, and one of them may lose a poll and its retry.
	maxDiscoverySkew = 2 * second
	// settleDelay is how long activity waits to be judged, so that a change which the
	// process learned of first has come here as well.
	settleDelay = second
	// maxDiscoveryStall is how late a process may learn of a change if its connection to
	// discovery hangs. It violates rules for that long and no longer; what goes on is a
	// fault of the program.
	maxDiscoveryStall = 7 * second
	// minViolations of a rule prove a fault, except of RuleDuplicate, where one does.
	minViolations = 3
	// violationTTL is how long a violation counts.
	violationTTL = 60 * second
	// goneTTL is how long endpoints are remembered after they have gone.
	goneTTL = 120 * second
	// purgeTTL is how long purges are remembered: caches and disks hold older copies.
	purgeTTL = 120 * second
)

// Bounds of memory.
const (
	maxEndpoints      = 8192
	maxPurges         = 4096
	maxPending        = 128 // activities of a process; a dozen come in a second
	maxProcesses      = 64
	maxViolationTimes = 256            // of a rule and a process
	maxWorkRecords    = 4 * maxPending // of an endpoint
)
