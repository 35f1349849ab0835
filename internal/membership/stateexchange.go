package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of parts of a view that have a digest each, so that only parts that differ are sent.
	digestBuckets = 16
	// stateExchangeInterval is the minimum time between two state exchanges that a node requests.
	stateExchangeInterval = second
	// viewSettleTime is how long a node's own view must be unchanged before it requests a state exchange, as updates in
	// transit cause most differences.
	viewSettleTime = 600 * millisecond
	// fullExchangePeriod is how long after it has joined a node requests all members: it lacks the dead members, too,
	// which the digests leave out.
	fullExchangePeriod = 2 * second
	exchangeBurstBytes = 2 * gossipBurstBytes
)

// allBuckets as RequestID of a KindDigestExchange requests all members, whatever the digests are.
const allBuckets = 1

func hashName(name string) uint32 { return max(uint32(xxhash.Sum64String(name)), 1) }

func bucketOf(name string) int { return int(hashName(name) % digestBuckets) }

// foldDigest folds a digest to 32 bits.
func foldDigest(digest uint64) uint32 { return uint32(digest) ^ uint32(digest>>32) }

// memberDigest returns a member's contribution to the digests of a view: a hash of its instance and its last update
// about itself. Suspicion is left out, as each node has its own timeout for it. An absent member contributes 0.
func memberDigest(name string, id InstanceID, incarnation uint32, s State) uint64 {
	if s.absent() || s == StateJoining || s == StateNameConflict {
		return 0
	}
	b := make([]byte, 0, maxNameBytes+16)
	b = append(b, name...)
	for _, v := range [3]uint32{id.Epoch, id.Nonce, incarnation} {
		b = append(b, byte(v), byte(v>>8), byte(v>>16), byte(v>>24))
	}
	if s == StateLeaving {
		b = append(b, 'l')
	}
	return xxhash.Sum64(b)
}

// toggleDigest removes a member from the digests, or adds it again. It must be called before and after each change of a
// field that memberDigest depends on.
func (n *Node) toggleDigest(m *member) {
	d := memberDigest(m.name, m.id, m.incarnation, m.state)
	n.membersDigest ^= d
	n.bucketDigests[bucketOf(m.name)] ^= foldDigest(d)
}

func (n *Node) selfDigest() uint64 {
	return memberDigest(n.self.Name, n.self.ID, n.self.Incarnation, n.self.State)
}

// viewDigest returns the digest of all present members, the node itself included.
func (n *Node) viewDigest() uint64 { return n.membersDigest ^ n.selfDigest() }

// viewBuckets returns the digests of the buckets, the node itself included.
func (n *Node) viewBuckets() [digestBuckets]uint32 {
	buckets := n.bucketDigests
	buckets[bucketOf(n.self.Name)] ^= foldDigest(n.selfDigest())
	return buckets
}

// compareViews requests a state exchange of the sender of a message if its view differs.
func (n *Node) compareViews(m *member, msg *Message) {
	settled := n.now-n.viewChangedAt >= viewSettleTime || msg.Kind == KindWelcome
	if msg.ViewDigest == n.viewDigest() || n.now-n.lastStateExchangeAt < stateExchangeInterval || !settled {
		return
	}
	n.lastStateExchangeAt = n.now - int64(n.random.IntN(int(stateExchangeInterval/4)))
	n.requestStateExchange(m)
}

// requestStateExchange sends the digests of this node's view to a member, which answers with the members of the
// buckets that differ.
func (n *Node) requestStateExchange(m *member) {
	n.Counts.StateExchanges++
	buckets := n.viewBuckets()
	requestID := uint32(0)
	if n.now-n.joinedAt < fullExchangePeriod {
		requestID = allBuckets
	}
	n.send(m, KindDigestExchange, Message{RequestID: requestID, BucketDigests: buckets[:]})
}

// answerStateExchange begins to send the members of the buckets that differ. It serves one member at a time and ignores
// other requests, which their senders repeat to another member. While the node resumes after a pause it ignores all
// requests, as its view is outdated.
func (n *Node) answerStateExchange(peer *member, msg *Message) {
	if n.resumedAt > 0 || len(msg.BucketDigests) != digestBuckets || len(n.exchangeQueue) > 0 {
		return
	}
	n.exchangeQueue = n.exchangeQueue[:0]
	buckets := n.viewBuckets()
	for _, m := range n.members {
		if m.state == StateUnknown {
			continue
		}
		b := bucketOf(m.name)
		if msg.RequestID == allBuckets || msg.BucketDigests[b] != buckets[b] {
			n.exchangeQueue = append(n.exchangeQueue, m)
		}
	}
	slices.SortFunc(n.exchangeQueue, compareNames)
	n.exchangePeer = peer
	n.sendExchangeChunk()
}

// sendExchangeChunk sends the next members of a state exchange, as many as fit into a message and the byte budget.
func (n *Node) sendExchangeChunk() {
	if len(n.exchangeQueue) == 0 || n.exchangePeer.state.absent() {
		n.exchangeQueue = nil
		return
	}
	n.refillExchangeTokens()
	remainingBytes := min(float64(n.settings.MaxMessageBytes-messageOverheadBytes), n.exchangeTokens)
	var updates []Update
	for len(n.exchangeQueue) > 0 && len(updates) < maxUpdates {
		u := n.exchangeQueue[0].update()
		size := float64(u.size())
		if size > remainingBytes {
			break
		}
		remainingBytes -= size
		n.exchangeTokens -= size
		updates = append(updates, u)
		n.exchangeQueue = n.exchangeQueue[1:]
	}
	if len(updates) > 0 {
		n.send(n.exchangePeer, KindStateExchange, Message{Updates: updates})
	}
}

func (n *Node) refillExchangeTokens() {
	elapsed := float64(n.now - n.exchangeTokensAt)
	n.exchangeTokens = min(n.exchangeTokens+elapsed*float64(2*n.settings.GossipBytesPerSecond)/second, exchangeBurstBytes)
	n.exchangeTokensAt = n.now
}
