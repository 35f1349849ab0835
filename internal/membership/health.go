package membership

const (
	// maxLocalHealth is the worst local health score, at which intervals and timeouts are four times as long (Lifeguard).
	maxLocalHealth = 3
	// lateTickThreshold is the delay of a Tick above which the local health score worsens: the process was short of
	// processor time.
	lateTickThreshold = 60 * millisecond
	// pauseThreshold is the delay of a Tick above which the process counts as paused.
	pauseThreshold = 300 * millisecond
	// maxResumeDuration is how long after a pause a node waits for an acknowledgement of another member.
	maxResumeDuration = 2 * second
)

// healthMultiplier returns the local health multiplier of intervals and timeouts: 1 for a healthy node.
func (n *Node) healthMultiplier() int64 { return int64(1 + n.localHealth) }

func (n *Node) worsenHealth() { n.localHealth = min(n.localHealth+1, maxLocalHealth) }

func (n *Node) improveHealth() { n.localHealth = max(n.localHealth-1, 0) }

// advanceClock sets the present time and detects a late call by the time that the last Tick returned.
func (n *Node) advanceClock(now int64) {
	previous := n.now
	n.now = max(now, n.now)
	if n.nextTickAt == 0 || n.now <= n.nextTickAt+lateTickThreshold {
		return
	}
	delay := n.now - max(n.nextTickAt, previous)
	if delay <= lateTickThreshold {
		return
	}
	n.nextTickAt = n.now
	n.worsenHealth()
	if delay > pauseThreshold && n.safeguardEnabled(safeguardPauseDetection) {
		n.resume(delay)
	}
}

// resume resets the node after a pause of the process: its view is outdated by the length of the pause, and no member
// may be declared dead because of messages that this node could not receive.
func (n *Node) resume(pauseDuration int64) {
	n.Counts.Resumes++
	n.resumedAt = n.now
	// Acknowledgements that waited in the socket would give round trips that include the pause.
	n.pendingProbes = nil
	n.relayedProbes = nil
	n.exchangeQueue = nil
	for _, m := range n.members {
		if m.state == StateSuspect {
			m.deadline += pauseDuration
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

// endResume ends the resuming state if there is no present member, or after maxResumeDuration.
func (n *Node) endResume() {
	if len(n.probeOrder) == 0 || n.resumedAt > 0 && n.now-n.resumedAt > maxResumeDuration {
		n.resumedAt = 0
	}
}
