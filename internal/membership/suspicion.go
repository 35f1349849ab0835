package membership

import (
	"math"
	"slices"
)

const (
	// The shortest suspicion timeout is suspicionBase, which lets the suspect refute after a pause of a little more than
	// half a second, and suspicionPerDoubling for each doubling of the members, as the time for a refutation to spread
	// grows with their logarithm.
	suspicionBase        = 600 * millisecond
	suspicionPerDoubling = 60 * millisecond
	// suspicionMaxFactor is the longest timeout, that of a suspicion by a single member, as a multiple of the shortest.
	suspicionMaxFactor = 4
	// maxConfirmations is the number of suspecting members from which on the shortest timeout applies.
	maxConfirmations = 3
	// earlyProbers is the expected number of members that probe a new suspect early: they confirm the suspicion, or
	// receive an acknowledgement.
	earlyProbers = 10
	// lastProbeLead is how long before the deadline a node probes the suspect if it has not done so yet: no node
	// declares a member dead without a failed probe of its own.
	lastProbeLead = 250 * millisecond

	deadRetention    = 600 * second
	leftRetention    = 60 * second
	maxAbsentMembers = 256 // dead and left; the ones that have been absent longest are forgotten first
)

// anonymousConfirmer is the ID of all confirmations that name no member. Together they count as one confirmation.
const anonymousConfirmer = 1

// confirmerID hashes a member's name to 16 bits. Two names with the same ID count as one confirmation.
func confirmerID(name string) uint16 { return max(uint16(hashName(name)), anonymousConfirmer+1) }

// suspicionTimeout returns the time from the start of a suspicion to its deadline. It shrinks with the logarithm of the
// confirmations (Lifeguard): from suspicionMaxFactor times the shortest timeout for one confirmation to the shortest
// for maxConfirmations, or for all members but the suspect if they are fewer.
func suspicionTimeout(confirmations, members int) int64 {
	minTimeout := minSuspicionTimeout(members)
	needed := min(maxConfirmations, members-1) // without the suspect
	if confirmations >= needed || needed <= 1 {
		return minTimeout
	}
	maxTimeout := suspicionMaxFactor * minTimeout
	return maxTimeout - int64(float64(maxTimeout-minTimeout)*math.Log(float64(confirmations))/math.Log(float64(needed)))
}

func minSuspicionTimeout(members int) int64 {
	return suspicionBase + suspicionPerDoubling*log2(members)
}

// log2 returns the binary logarithm of n+1, rounded up.
func log2(n int) int64 { return int64(math.Ceil(math.Log2(float64(max(n, 1) + 1)))) }

// beginSuspicion initializes the suspicion of a member that has just become suspect. If another member reported the
// suspicion, this node's earlier failed probes do not count, and the node may be one of the early probers.
func (n *Node) beginSuspicion(m *member, cause event) {
	m.ownProbeBegun = false
	m.ownProbeAt = 0
	if cause == eventProbeFailed {
		return
	}
	m.failedProbes = 0
	if n.random.IntN(n.present+1) < earlyProbers {
		m.ownProbeAt = n.now + minSuspicionTimeout(n.present+1)/4
	}
}

// confirm counts a confirmation of a suspicion and sets the deadline by the new count. It reports whether the
// confirmation is new.
func (n *Node) confirm(m *member, confirmer uint16) bool {
	if !m.addConfirmer(confirmer) {
		return false
	}
	n.setDeadline(m)
	return true
}

func (n *Node) setDeadline(m *member) {
	confirmations := m.confirmations()
	if !n.safeguardEnabled(safeguardConfirmations) {
		confirmations = maxConfirmations
	}
	m.deadline = m.stateSince + suspicionTimeout(confirmations, n.present+1)
}

// addConfirmer reports false if the confirmer was already counted, or if maxConfirmations were.
func (m *member) addConfirmer(confirmer uint16) bool {
	for i, known := range m.suspectedBy {
		if known == confirmer {
			return false
		}
		if known == 0 {
			m.suspectedBy[i] = confirmer
			return true
		}
	}
	return false
}

func (m *member) confirmations() (count int) {
	for _, confirmer := range m.suspectedBy {
		if confirmer != 0 {
			count++
		}
	}
	return count
}

// extendSuspicion restarts the shortest timeout for a suspect that has responded, and has the suspect probed once more
// before the deadline.
func (n *Node) extendSuspicion(m *member) {
	m.deadline = max(m.deadline, n.now+minSuspicionTimeout(n.present+1))
	m.ownProbeBegun = false
}

// checkTimeouts probes suspects, declares suspects dead whose deadline has passed, and forgets absent members whose
// retention has ended or that exceed maxAbsentMembers.
func (n *Node) checkTimeouts() {
	absent := n.countDeadAndLeft()
	for _, m := range n.membersWithTimeout() {
		if m.state == StateSuspect {
			n.checkSuspect(m)
			continue
		}
		n.apply(m, eventForget, 0)
		absent--
	}
	for ; absent > maxAbsentMembers; absent-- {
		oldest := n.oldestAbsent()
		if oldest == nil {
			return
		}
		n.apply(oldest, eventForget, 0)
	}
}

func (n *Node) checkSuspect(m *member) {
	switch {
	case m.failedProbes == 0:
		if !m.ownProbeBegun {
			m.ownProbeBegun = true
			n.ping(m)
		}
	case n.now >= m.deadline:
		n.apply(m, eventTimeout, 0)
	}
}

func (n *Node) countDeadAndLeft() (count int) {
	for _, m := range n.members {
		if m.state == StateDead || m.state == StateLeft {
			count++
		}
	}
	return count
}

// membersWithTimeout returns the members for which a timeout of checkTimeouts is due, sorted by name.
func (n *Node) membersWithTimeout() (list []*member) {
	for _, m := range n.members {
		if n.timeoutDue(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareNames)
	return list
}

func (n *Node) timeoutDue(m *member) bool {
	switch m.state {
	case StateSuspect:
		earlyProbeDue := m.ownProbeAt > 0 && n.now >= m.ownProbeAt && !m.ownProbeBegun
		return earlyProbeDue || n.now >= m.deadline-lastProbeLead
	case StateDead:
		return n.now-m.stateSince > deadRetention && !m.seed
	case StateLeft:
		return n.now-m.stateSince > leftRetention && !m.seed
	}
	return false
}

// oldestAbsent returns the absent member with the earliest change of state, or nil if there is none. Seeds are left
// out.
func (n *Node) oldestAbsent() (oldest *member) {
	for _, m := range n.members {
		if m.seed || isPresent(m) {
			continue
		}
		if oldest == nil || m.stateSince < oldest.stateSince || m.stateSince == oldest.stateSince && m.name < oldest.name {
			oldest = m
		}
	}
	return oldest
}
