package membership

import "slices"

const (
	// fanout is the number of random members that receive an indirect ping, the hellos of a joining node, or the first
	// state exchanges after a pause.
	fanout = 3
	// maxPendingProbes and maxRelayedProbes bound the pings that await an acknowledgement; no further ones are sent.
	maxPendingProbes = 64
	maxRelayedProbes = 64
	// maxAckWait bounds the timeout for an acknowledgement.
	maxAckWait = 2 * second
	// probeSamples is the number of round trips and of probe outcomes that are kept.
	probeSamples = 16
	// failingProbeSpeedup divides the probe interval while many probes fail.
	failingProbeSpeedup = 3
	maxFailedProbes     = 200 // limit of member.failedProbes
)

// pendingProbe is a ping by this node that awaits its acknowledgement.
type pendingProbe struct {
	requestID uint32
	target    *member
	targetID  InstanceID
	sentAt    int64
	deadline  int64
	indirect  bool // indirect pings were sent
	nacks     int
	failed    bool // counted as failed; a late acknowledgement still provides its round trip
}

// relayedProbe is a ping that was sent on another member's indirect ping.
type relayedProbe struct {
	requestID       uint32 // of the ping
	originRequestID uint32 // of the indirect ping
	origin          string
	deadline        int64
}

// probe pings the next present member once per probe interval. Each member is probed once per round, in an order that
// is shuffled for each round, which bounds the time to its first probe (SWIM). The interval grows with the local health
// score. It shrinks while many probes fail, as many members may then have failed.
func (n *Node) probe() {
	interval := n.settings.ProbeInterval * n.healthMultiplier()
	if n.probesFailing() {
		interval = n.settings.ProbeInterval / failingProbeSpeedup
	}
	if n.now-n.lastProbeAt < interval {
		return
	}
	n.lastProbeAt = n.now
	for range len(n.probeOrder) + 1 {
		m := n.nextInProbeOrder()
		if m == nil {
			return
		}
		if isPresent(m) {
			n.ping(m)
			return
		}
	}
}

// nextInProbeOrder returns the next member of the round, and begins a new round after the last one. It returns nil if
// there is no present member.
func (n *Node) nextInProbeOrder() *member {
	if n.probeIndex >= len(n.probeOrder) {
		n.probeIndex = 0
		n.random.Shuffle(len(n.probeOrder), func(i, j int) {
			n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i]
		})
		if len(n.probeOrder) == 0 {
			return nil
		}
	}
	m := n.probeOrder[n.probeIndex]
	n.probeIndex++
	return m
}

// probesFailing reports whether at least a quarter of the last probes failed. It reports false while the node resumes
// after a pause, or has fewer than probeSamples outcomes.
func (n *Node) probesFailing() bool {
	if n.probeCount < probeSamples || n.resumedAt > 0 {
		return false
	}
	const failedOneIn = 4
	return failedOneIn*(probeSamples-n.acknowledgedProbes()) >= probeSamples
}

// acknowledgedProbes counts the probes with an acknowledgement among the last ones.
func (n *Node) acknowledgedProbes() (count int) {
	for _, acknowledged := range n.probeOutcomes {
		if acknowledged {
			count++
		}
	}
	return count
}

func (n *Node) recordOutcome(acknowledged bool) {
	n.probeOutcomes[n.probeCount%probeSamples] = acknowledged
	n.probeCount++
}

// ping probes a member directly. If maxPendingProbes are pending, the new probe replaces one that has already failed.
// If none has failed, no ping is sent: a probe that is dropped before its deadline could never fail.
func (n *Node) ping(m *member) {
	if len(n.pendingProbes) >= maxPendingProbes {
		i := slices.IndexFunc(n.pendingProbes, func(p pendingProbe) bool { return p.failed })
		if i < 0 {
			return
		}
		n.pendingProbes = slices.Delete(n.pendingProbes, i, i+1)
	}
	n.lastRequestID++
	n.pendingProbes = append(n.pendingProbes, pendingProbe{
		requestID: n.lastRequestID,
		target:    m,
		targetID:  m.id,
		sentAt:    n.now,
		deadline:  n.now + n.ackTimeout(m),
	})
	n.send(m, KindPing, Message{RequestID: n.lastRequestID})
}

// ackTimeout returns the timeout for a member's acknowledgement: half a probe interval, three times the second longest
// of the last round trips, or twice this member's last one, whichever is longest. It is multiplied by the local health
// multiplier, and bounded by maxAckWait.
func (n *Node) ackTimeout(m *member) int64 {
	sorted := n.rttSamples
	slices.Sort(sorted[:])
	timeout := max(n.settings.ProbeInterval/2, 3*int64(sorted[probeSamples-2]), 2*int64(m.rtt))
	return min(timeout*n.healthMultiplier(), maxAckWait)
}

// checkPendingProbes sends indirect pings for the probes whose acknowledgement is late, and fails the probes whose
// indirect pings were not acknowledged either. It sends a nack for each late relayed probe.
func (n *Node) checkPendingProbes() {
	kept := n.pendingProbes[:0]
	for _, p := range n.pendingProbes {
		if n.checkPendingProbe(&p) {
			kept = append(kept, p)
		}
	}
	n.pendingProbes = kept
	n.relayedProbes = slices.DeleteFunc(n.relayedProbes, n.nackIfLate)
}

// checkPendingProbe reports whether the probe is still pending, or kept for a late acknowledgement.
func (n *Node) checkPendingProbe(p *pendingProbe) bool {
	switch {
	case p.target.id != p.targetID: // another instance has replaced the probed one
		return false
	case p.failed:
		return n.now-p.sentAt <= 2*maxAckWait
	case n.now < p.deadline:
	case !p.indirect:
		n.pingIndirectly(p)
	default:
		n.failProbe(p)
	}
	return true
}

func (n *Node) pingIndirectly(p *pendingProbe) {
	p.indirect = true
	p.deadline = n.now + 2*n.ackTimeout(p.target)
	for range fanout {
		relay := n.randomMember(func(m *member) bool { return m != p.target && isAlive(m) })
		if relay != nil {
			n.send(relay, KindIndirectPing, Message{RequestID: p.requestID, Target: p.target.name})
		}
	}
}

func (n *Node) failProbe(p *pendingProbe) {
	p.failed = true
	n.recordOutcome(false)
	p.target.failedProbes = min(p.target.failedProbes+1, maxFailedProbes)
	p.target.reach = ReachNone
	// If not even the relays have answered, the fault is probably at this node.
	if p.nacks == 0 && n.present > 1 && n.now-n.lastHeardAt > n.settings.ProbeInterval {
		n.worsenHealth()
	}
	n.apply(p.target, eventProbeFailed, confirmerID(n.self.Name))
}

// nackIfLate notifies the origin of an indirect ping if the target did not answer this node before the deadline. It
// reports whether the deadline has passed.
func (n *Node) nackIfLate(r relayedProbe) bool {
	if n.now < r.deadline {
		return false
	}
	if origin := n.members[r.origin]; origin != nil && isPresent(origin) {
		n.send(origin, KindNack, Message{RequestID: r.originRequestID})
	}
	return true
}

// relayPing pings the target of an indirect ping on behalf of its origin.
func (n *Node) relayPing(origin *member, msg *Message) {
	target := n.members[msg.Target]
	if target == nil || target.state.absent() || len(n.relayedProbes) >= maxRelayedProbes {
		return
	}
	n.lastRequestID++
	n.relayedProbes = append(n.relayedProbes, relayedProbe{
		requestID:       n.lastRequestID,
		originRequestID: msg.RequestID,
		origin:          origin.name,
		deadline:        n.now + n.ackTimeout(target),
	})
	n.Counts.Relayed++
	n.send(target, KindPing, Message{RequestID: n.lastRequestID})
}

// forwardAck forwards the acknowledgement of a relayed probe to the probe's origin. It reports whether requestID is
// that of a relayed probe.
func (n *Node) forwardAck(from *member, requestID uint32) bool {
	i := slices.IndexFunc(n.relayedProbes, func(r relayedProbe) bool { return r.requestID == requestID })
	if i < 0 {
		return false
	}
	r := n.relayedProbes[i]
	if origin := n.members[r.origin]; origin != nil && isPresent(origin) {
		n.send(origin, KindAck, Message{RequestID: r.originRequestID, Target: from.name})
	}
	n.relayedProbes = slices.Delete(n.relayedProbes, i, i+1)
	return true
}

func (n *Node) countNack(requestID uint32) {
	for i := range n.pendingProbes {
		if n.pendingProbes[i].requestID == requestID {
			n.pendingProbes[i].nacks++
		}
	}
}

// acknowledge completes the pending probe with that request ID. relayed means that a relay has forwarded the
// acknowledgement.
func (n *Node) acknowledge(requestID uint32, relayed bool) {
	i := slices.IndexFunc(n.pendingProbes, func(p pendingProbe) bool { return p.requestID == requestID })
	if i < 0 {
		return
	}
	pending := &n.pendingProbes[i]
	target := pending.target
	target.lastHeardAt = n.now
	target.failedProbes = 0
	if relayed {
		target.reach = ReachRelayed
	} else {
		rtt := int32(min(n.now-pending.sentAt, maxAckWait))
		target.reach = ReachDirect
		target.rtt = rtt
		n.rttSamples[n.random.IntN(probeSamples)] = rtt
		n.improveHealth()
	}
	if !pending.failed {
		n.recordOutcome(true)
	}
	if pending.sentAt >= n.resumedAt {
		n.resumedAt = 0
	}
	n.apply(target, eventContact, 0)
	n.pendingProbes = slices.Delete(n.pendingProbes, i, i+1)
}
