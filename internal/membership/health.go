package membership

const (
	// maxLocalHealth is the worst local health score: intervals and timeouts grow up to four times (Lifeguard).
	maxLocalHealth = 3
	// lateTick is the delay of a Tick from which on the node distrusts itself: it was short of processor time.
	lateTick = 60 * millisecond
	// pauseThreshold is the delay of a Tick from which on the process counts as paused.
	pauseThreshold = 300 * millisecond
	// maxResume is how long after a pause a node waits to hear of another member.
	maxResume = 2 * second
)

// healthMultiplier is the local health multiplier of intervals and timeouts: 1 for a healthy node.
func (n *Node) healthMultiplier() int64 { return int64(1 + n.localHealth) }

func (n *Node) worsenHealth() { n.localHealth = min(n.localHealth+1, maxLocalHealth) }

func (n *Node) improveHealth() { n.localHealth = max(n.localHealth-1, 0) }

// advanceClock takes the present time and compares it with the time of the Tick that was asked for.
func (n *Node) advanceClock(now int64) {
	before := n.now
	n.now = max(now, n.now)
	if n.nextTickAt == 0 || n.now <= n.nextTickAt+lateTick {
		return
	}
	late := n.now - max(n.nextTickAt, before)
	if late <= lateTick {
		return
	}
	n.nextTickAt = n.now
	n.worsenHealth()
	if late > pauseThreshold && n.guards(safeguardPauseDetection) {
		n.resume(late)
	}
}

// resume starts over after the process was paused: the node's view is as old as the pause, and no member has failed
// because this node could not hear it.
func (n *Node) resume(paused int64) {
	n.Counts.Resumes++
	n.resumedAt = n.now
	// Acknowledgements that waited in the socket would give the length of the pause as their round trip.
	n.pendingProbes = nil
	n.relayedProbes = nil
	n.exchangeQueue = nil
	for _, m := range n.members {
		if m.state == StateSuspect {
			m.deadline += paused
		}
	}
	n.clearGossipQueue()
	n.raiseIncarnation(n.self.Incarnation)
	n.lastStateExchangeAt = n.now - stateExchangeInterval
	for range fanout {
		if m := n.randomMember(isPresent); m != nil {
			n.requestStateExchange(m)
		}
	}
}

// endResume ends the state after a pause where there is nobody to hear from.
func (n *Node) endResume() {
	if len(n.probeOrder) == 0 || n.resumedAt > 0 && n.now-n.resumedAt > maxResume {
		n.resumedAt = 0
	}
}
