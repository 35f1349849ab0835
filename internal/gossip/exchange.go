package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"

	"quilldoor/internal/policy"
)

const (
	// digestBuckets is the number of digests into which the state is split, so that only what differs is sent.
	digestBuckets = 16
	// requestInterval is the least time between two requests of a router, but for claims that are to be confirmed.
	requestInterval        = second / 2
	confirmRequestInterval = requestInterval / 5
	// settleTime is how long a replica must be unchanged before it asks: most differences are changes that the other
	// sources are about to announce.
	settleTime = second / 2
	// startupRequests is the number of requests that a new replica sends without waiting: its list may be as old as
	// the start of its process.
	startupRequests = requiredConfirmations
	// maxChunks bounds the messages of one response.
	maxChunks = 12
	// maxClaimedBytes bounds the endpoint ids in a request.
	maxClaimedBytes = 800
)

// digest covers what replicas of an endpoint can differ in: its start and state.
func (e *Endpoint) digest() uint32 {
	h := fnv.New32a()
	h.Write([]byte(e.ID))
	h.Write([]byte{stateRank(e.State)})
	h.Write(timeBytes(e.StartedAt))
	return h.Sum32()
}

func (k purgeKey) digest(at int64) uint32 {
	h := fnv.New32a()
	h.Write([]byte(k.object))
	h.Write([]byte{'p', byte(k.group)})
	h.Write(timeBytes(at))
	return h.Sum32()
}

// timeBytes are the low 48 bits of a time, least byte first.
func timeBytes(t int64) []byte {
	return []byte{byte(t), byte(t >> 8), byte(t >> 16), byte(t >> 24), byte(t >> 32), byte(t >> 40)}
}

func bucketOf(key string) int {
	h := fnv.New32a()
	h.Write([]byte(key))
	return int(h.Sum32() % digestBuckets)
}

func (k purgeKey) bucket() int { return bucketOf(k.object + string(rune(k.group))) }

// rebuildDigests computes the digests of all buckets. Endpoints that are gone are left out: some replicas have
// forgotten them.
func (r *Replica) rebuildDigests() {
	r.digests = [digestBuckets]uint32{}
	for id, rec := range r.endpoints {
		e := rec.effective()
		if e.State == policy.EndpointActive || e.State == policy.EndpointDraining {
			r.digests[bucketOf(id)] ^= e.digest()
		}
	}
	for key, at := range r.purges {
		r.digests[key.bucket()] ^= key.digest(at)
	}
}

// Digest returns the digest of the whole state, which all messages of package membership carry. Equal states have the
// same.
func (r *Replica) Digest() (digest uint32) {
	for i, d := range r.digests {
		digest ^= d * uint32(2*i+1)
	}
	return digest
}

// ShouldRequest reports whether to ask a router with this digest for its state, and counts the request. A different
// digest is a reason once the replica has settled; a claim that needs to be confirmed or prolonged is one at once.
func (r *Replica) ShouldRequest(now int64, digest uint32) bool {
	differs := digest != r.Digest()
	if r.Counts.Requests < startupRequests && differs {
		r.Counts.Requests++
		return true
	}
	claims, confirmationDue := r.claimStatus(now)
	interval := requestInterval
	if confirmationDue {
		interval = confirmRequestInterval
	}
	if now-r.requestedAt < interval {
		return false
	}
	// With a claim the others are known to be ahead of the own source: there is nothing to wait for.
	settled := claims || now-r.changedAt >= settleTime
	needed := confirmationDue || differs && settled
	if !needed {
		return false
	}
	r.requestedAt = now
	r.Counts.Requests++
	return true
}

// claimStatus reports whether there are claims, and whether one of them is due for a request: a candidate wants a
// confirmation, an accepted one is to be prolonged after a third of its lifetime.
func (r *Replica) claimStatus(now int64) (claims, confirmationDue bool) {
	for _, rec := range r.endpoints {
		candidate, accepted := rec.candidate.exists(), rec.accepted.exists()
		claims = claims || candidate || accepted
		aging := accepted && rec.accepted.expiresAt-now < claimLifetime*2/3
		confirmationDue = confirmationDue || candidate || aging
	}
	return claims, confirmationDue
}

// NewRequest makes the request for what differs. The digests of buckets with claims are inverted, so that they always
// differ and the claims are reported again.
func (r *Replica) NewRequest() DigestRequest {
	request := DigestRequest{Digests: slices.Clone(r.digests[:]), Claimed: r.claimedIDs()}
	for id, rec := range r.endpoints {
		if rec.candidate.exists() || rec.accepted.exists() {
			bucket := bucketOf(id)
			request.Digests[bucket] = ^r.digests[bucket]
		}
	}
	return request
}

// claimedIDs returns the endpoints with accepted claims that fit into a request, the claim that expires first before
// the others.
func (r *Replica) claimedIDs() (ids []string) {
	for _, id := range r.sortedIDs() {
		if r.endpoints[id].accepted.exists() {
			ids = append(ids, id)
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(r.endpoints[a].accepted.expiresAt, r.endpoints[b].accepted.expiresAt)
	})
	size := 0
	for i, id := range ids {
		size += reportedIDBytes(id)
		if size > maxClaimedBytes {
			return ids[:i]
		}
	}
	return ids
}

// reportedIDBytes is the most that an endpoint id takes in a list of a message.
func reportedIDBytes(id string) int {
	const prefixBytes = 3
	return prefixBytes + len(id)
}

// Respond returns what the own source has announced in the buckets that differ, in chunks of up to chunkBytes, 12 at
// most: the next request brings the rest. Claims are not passed on, else routers without a source would confirm each
// other's. Purges are, whoever announced them. Of the endpoints that the request claims, those that the own source does
// not list are named.
func (r *Replica) Respond(request *DigestRequest, chunkBytes int) []StateExchange {
	if len(request.Digests) != digestBuckets {
		r.Counts.Rejected++
		return nil
	}
	r.Counts.Responses++
	differs := func(bucket int) bool { return request.Digests[bucket] != r.digests[bucket] }
	response := chunkedExchange{chunkBytes: chunkBytes}
	for _, id := range request.Claimed {
		if r.doesNotList(id) {
			response.addUnlisted(id)
		}
	}
	for _, id := range r.sortedIDs() {
		if differs(bucketOf(id)) {
			response.addEndpoint(r.endpoints[id].local)
		}
	}
	for _, key := range r.sortedPurges(func(k purgeKey) bool { return differs(k.bucket()) }) {
		response.addPurge(key, r.purges[key])
	}
	chunks := response.finish()
	return chunks[:min(len(chunks), maxChunks)]
}

// doesNotList reports whether the own source has announced all endpoints that exist, and not this one; it may have been
// gone for so long that it is forgotten.
func (r *Replica) doesNotList(id string) bool {
	return r.listComplete && len(r.endpoints) < maxEndpoints && r.endpoints[id] == nil
}

// chunkedExchange collects a response in chunks.
type chunkedExchange struct {
	chunkBytes int
	chunks     []StateExchange
	current    StateExchange
	size       int // estimated, of current
}

// reserve begins a new chunk where the current one has no room for so many bytes.
func (c *chunkedExchange) reserve(bytes int) {
	if c.size+bytes > c.chunkBytes {
		c.chunks = append(c.chunks, c.current)
		c.current = StateExchange{}
		c.size = 0
	}
	c.size += bytes
}

func (c *chunkedExchange) addEndpoint(e Endpoint) {
	const fixedBytes = 40 // beside the texts
	c.reserve(fixedBytes + len(e.ID) + len(e.Address) + len(e.Zone) + len(e.Kind))
	c.current.Endpoints = append(c.current.Endpoints, newEndpointReport(e))
}

func (c *chunkedExchange) addUnlisted(id string) {
	c.reserve(reportedIDBytes(id))
	c.current.Unlisted = append(c.current.Unlisted, id)
}

func (c *chunkedExchange) addPurge(key purgeKey, at int64) {
	const fixedBytes = 20 // beside the text
	c.reserve(fixedBytes + len(key.object))
	c.current.Purges = append(c.current.Purges, PurgeReport{Object: key.object, Group: key.group, At: at})
}

func (c *chunkedExchange) finish() []StateExchange { return append(c.chunks, c.current) }

// Result is what a payload brings.
type Result struct {
	Replies   [][]byte   // encoded Payloads to be sent to its sender
	Endpoints []Endpoint // accepted claims, to be applied to the endpoint list
	Purges    []Purge    // to be applied
}

// HandlePayload handles what a message of another router carries: its digest alone where body is nil, or a request or
// a response. Replies are 12 at most and have up to about chunkBytes each.
func (r *Replica) HandlePayload(now, wall int64, from string, digest uint32, body []byte, chunkBytes int) Result {
	if body == nil {
		if !r.ShouldRequest(now, digest) {
			return Result{}
		}
		request := r.NewRequest()
		return Result{Replies: [][]byte{(&Payload{Request: &request}).Encode()}}
	}
	payload := Decode(body)
	if payload == nil {
		r.Counts.Rejected++
		return Result{}
	}
	if payload.Request != nil {
		return Result{Replies: r.respond(payload.Request, chunkBytes)}
	}
	endpoints, purges := r.Merge(now, wall, from, payload.StateExchange)
	return Result{Endpoints: endpoints, Purges: purges}
}

func (r *Replica) respond(request *DigestRequest, chunkBytes int) (replies [][]byte) {
	for _, chunk := range r.Respond(request, chunkBytes) {
		replies = append(replies, (&Payload{StateExchange: &chunk}).Encode())
	}
	return replies
}
