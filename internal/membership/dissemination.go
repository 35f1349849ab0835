package membership

import (
	"net/netip"
	"slices"
)

const (
	// transmissionsPerDoubling is the number of messages that carry an update for each doubling of the members.
	transmissionsPerDoubling = 2
	// maxUpdateAge is how long an update is sent. Members without it then receive it in a state exchange.
	maxUpdateAge = 3 * second
	// gossipBurstBytes is how many bytes of updates may be sent at once after a time without updates.
	gossipBurstBytes = 3000
	// maxPiggybackBytes bounds the updates in one message, so that a ping stays small.
	maxPiggybackBytes = 400
	// pingCostBytes is the cost of a ping outside the probe order in the byte budget of updates.
	pingCostBytes = 150
)

// enqueue queues a member's update for the next messages: perDoubling messages for each doubling of the members.
func (n *Node) enqueue(m *member, perDoubling int64) {
	transmissions := uint8(min(perDoubling*log2(n.present+1), 255))
	m.transmissions = max(m.transmissions, transmissions)
	m.enqueuedAt = n.now
	if !slices.Contains(n.gossipQueue, m) {
		n.gossipQueue = append(n.gossipQueue, m)
	}
	n.viewChangedAt = n.now
}

func (n *Node) clearGossipQueue() {
	for _, m := range n.members {
		m.transmissions = 0
	}
	n.gossipQueue = n.gossipQueue[:0]
}

// updateBatch collects the updates of one message.
type updateBatch struct {
	updates        []Update
	remainingBytes float64
}

// addToBatch adds an update to a batch and deducts its size from the byte budget. It reports whether the update fitted.
func (n *Node) addToBatch(batch *updateBatch, u Update) bool {
	size := float64(u.size())
	if size > batch.remainingBytes {
		return false
	}
	batch.remainingBytes -= size
	n.gossipTokens -= size
	batch.updates = append(batch.updates, u)
	return true
}

// piggyback selects the updates for a message: first the update about the receiver if it is suspect, dead or left, so
// that the receiver can refute it, then those with the most transmissions left. The bytes are bounded for each message
// and over time.
func (n *Node) piggyback(to *member) []Update {
	n.refillGossipTokens()
	bounded := n.safeguardEnabled(safeguardGossipBound)
	maxBytes := float64(min(maxPiggybackBytes, n.settings.MaxMessageBytes-messageOverheadBytes))
	batch := updateBatch{remainingBytes: min(maxBytes, n.gossipTokens)}
	if !bounded {
		batch.remainingBytes = maxPiggybackBytes
	}
	if to.state == StateSuspect || to.state == StateDead || to.state == StateLeft {
		u := to.briefUpdate()
		batch.remainingBytes += float64(u.size())
		n.addToBatch(&batch, u)
	}
	if n.resumedAt > 0 {
		return batch.updates
	}
	n.addQueuedUpdates(&batch, to, bounded)
	return batch.updates
}

func (n *Node) addQueuedUpdates(batch *updateBatch, to *member, bounded bool) {
	slices.SortStableFunc(n.gossipQueue, func(a, b *member) int { return int(b.transmissions) - int(a.transmissions) })
	// A receiver with the same digest holds all updates but the suspicions, which the digest leaves out.
	sameView := to.viewDigest == foldDigest(n.viewDigest()) && bounded
	for _, m := range n.gossipQueue {
		if sameView && m.state != StateSuspect {
			continue
		}
		if m != to && m.transmissions > 0 && n.addToBatch(batch, m.briefUpdate()) && bounded {
			m.transmissions--
		}
	}
	n.gossipQueue = slices.DeleteFunc(n.gossipQueue, func(m *member) bool {
		if n.now-m.enqueuedAt > maxUpdateAge && bounded {
			m.transmissions = 0
		}
		return m.transmissions == 0
	})
}

func (n *Node) refillGossipTokens() {
	elapsed := float64(n.now - n.gossipTokensAt)
	n.gossipTokens = min(n.gossipTokens+elapsed*float64(n.settings.GossipBytesPerSecond)/second, gossipBurstBytes)
	n.gossipTokensAt = n.now
}

// consumePingTokens deducts a ping outside the probe order from the byte budget of updates. It reports false, and
// deducts nothing, if the budget is too small.
func (n *Node) consumePingTokens() bool {
	n.refillGossipTokens()
	if n.gossipTokens < pingCostBytes {
		return false
	}
	n.gossipTokens -= pingCostBytes
	return true
}

// briefUpdate returns the update about a member for piggybacking. For a suspect or dead member it leaves out the zone
// and the address, which the receivers hold since the member joined.
func (m *member) briefUpdate() Update {
	u := m.update()
	if m.state == StateSuspect || m.state == StateDead {
		u.Zone = ""
		u.Addr = netip.AddrPort{}
	}
	return u
}

// update returns the complete update about a member.
func (m *member) update() Update {
	u := Update{
		Name:        m.name,
		Zone:        m.zone,
		Addr:        m.addr,
		ID:          m.id,
		Incarnation: m.incarnation,
		State:       m.state,
		Process:     m.process,
	}
	for _, confirmer := range m.suspectedBy {
		if confirmer != 0 && m.state == StateSuspect {
			u.SuspectedBy = append(u.SuspectedBy, confirmer)
		}
	}
	return u
}
