package membership

import (
	"math"
	"slices"
)

const (
	// suspicionBase and suspicionPerDoubling make the least suspicion timeout: time for a refutation to spread, which
	// grows with the logarithm of the members, after a pause of half a second and some.
	suspicionBase        = 600 * millisecond
	suspicionPerDoubling = 60 * millisecond
	// suspicionMaxFactor is the longest timeout, while one member alone suspects, as a multiple of the least.
	suspicionMaxFactor = 4
	// maxConfirmations is the number of suspecting members from which on the least timeout holds.
	maxConfirmations = 3
	// earlyProbers is about how many members probe a new suspect at once: they become confirmations, or hear that it
	// is alive.
	earlyProbers = 10
	// lastProbeLead is how long before the deadline a member that did not probe the suspect yet does so: no member is
	// declared dead without a failed probe of this node's own.
	lastProbeLead = 250 * millisecond

	deadRetention    = 600 * second
	leftRetention    = 60 * second
	maxAbsentMembers = 256 // dead and left ones; the oldest are forgotten first
)

// anonymousConfirmer stands for all confirmations that name no member: they count as one, however many come.
const anonymousConfirmer = 1

// confirmerID shortens a member's name. Two names with the same ID count as one confirmation.
func confirmerID(name string) uint16 { return max(uint16(hashName(name)), anonymousConfirmer+1) }

// suspicionTimeout is the time from the start of a suspicion to its deadline. It shrinks with the logarithm of the
// confirmations, from suspicionMaxFactor times the least timeout for one of them to the least for maxConfirmations
// (Lifeguard), or for as many as the group can give.
func suspicionTimeout(confirmations, members int) int64 {
	least := minSuspicionTimeout(members)
	needed := min(maxConfirmations, members-1) // all but the suspect
	if confirmations >= needed || needed <= 1 {
		return least
	}
	most := suspicionMaxFactor * least
	return most - int64(float64(most-least)*math.Log(float64(confirmations))/math.Log(float64(needed)))
}

func minSuspicionTimeout(members int) int64 {
	return suspicionBase + suspicionPerDoubling*log2(members)
}

// log2 is the binary logarithm of n+1, rounded up.
func log2(n int) int64 { return int64(math.Ceil(math.Log2(float64(max(n, 1) + 1)))) }

// beginSuspicion prepares a member that has just become suspect. Where another member's probe failed, this node's
// own earlier failures don't count, and it may be one of those that probe the suspect early.
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

// confirm counts a suspecting member and sets the deadline by the new count. It reports whether the confirmation was
// a new one.
func (n *Node) confirm(m *member, confirmer uint16) bool {
	if !m.addConfirmer(confirmer) {
		return false
	}
	n.setDeadline(m)
	return true
}

func (n *Node) setDeadline(m *member) {
	confirmations := m.confirmations()
	if !n.guards(safeguardConfirmations) {
		confirmations = maxConfirmations
	}
	m.deadline = m.since + suspicionTimeout(confirmations, n.present+1)
}

// addConfirmer reports false where the confirmer is known already, or there is no room for it.
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

// extendSuspicion gives a suspect that was heard of the least timeout once more, and another probe before its end.
func (n *Node) extendSuspicion(m *member) {
	m.deadline = max(m.deadline, n.now+minSuspicionTimeout(n.present+1))
	m.ownProbeBegun = false
}

// checkTimeouts probes suspects, declares those dead whose deadline has passed, and forgets members that were absent
// for long.
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

// membersWithTimeout returns the members for which checkTimeouts has something to do, by name.
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
		return n.now-m.since > deadRetention && !m.seed
	case StateLeft:
		return n.now-m.since > leftRetention && !m.seed
	}
	return false
}

// oldestAbsent returns the absent member that changed its state first; nil: there is none but seeds.
func (n *Node) oldestAbsent() (oldest *member) {
	for _, m := range n.members {
		if m.seed || isPresent(m) {
			continue
		}
		if oldest == nil || m.since < oldest.since || m.since == oldest.since && m.name < oldest.name {
			oldest = m
		}
	}
	return oldest
}
