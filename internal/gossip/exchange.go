package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"

	"quilldoor/internal/policy"
)

const (
	// digestBuckets is the number of buckets into which the state is split, so that only those that differ are sent.
	digestBuckets = 16
	// requestInterval is the minimum time between two requests of a replica.
	requestInterval = second / 2
	// claimRequestInterval replaces requestInterval while a claim has to be confirmed or prolonged.
	claimRequestInterval = requestInterval / 5
	// settleTime is how long a replica must be unchanged before a different digest causes a request: most differences
	// are changes that the other sources are about to announce.
	settleTime = second / 2
	// startupRequests is the number of requests that a new replica sends without waiting: its list may be as old as
	// the start of its process.
	startupRequests = requiredConfirmations
	// maxChunks bounds the messages of one response.
	maxChunks = 12
	// maxClaimedBytes bounds the encoded size of the endpoint ids in a request.
	maxClaimedBytes = 800
)

// digest covers the fields in which two replicas can differ for an endpoint: its start and state.
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

// timeBytes returns the low 48 bits of a time, the least significant byte first.
func timeBytes(t int64) []byte {
	return []byte{byte(t), byte(t >> 8), byte(t >> 16), byte(t >> 24), byte(t >> 32), byte(t >> 40)}
}

func bucketOf(key string) int {
	h := fnv.New32a()
	h.Write([]byte(key))
	return int(h.Sum32() % digestBuckets)
}

func (k purgeKey) bucket() int { return bucketOf(k.object + string(rune(k.group))) }

// rebuildDigests computes the digests of all buckets. Endpoints that are gone are left out, since other replicas may
// already have dropped their records.
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

// Digest returns the digest of the whole state, which all messages of package membership carry. Equal states have equal
// digests.
func (r *Replica) Digest() (digest uint32) {
	for i, d := range r.digests {
		digest ^= d * uint32(2*i+1)
	}
	return digest
}

// ShouldRequest reports whether to send a request to a router with this digest, and counts the request if so. A
// different digest causes a request once the replica has been unchanged for settleTime or has a claim. A claim that has
// to be confirmed or prolonged causes one even if the digests are equal.
func (r *Replica) ShouldRequest(now int64, digest uint32) bool {
	differs := digest != r.Digest()
	if r.Counts.Requests < startupRequests && differs {
		r.Counts.Requests++
		return true
	}
	hasClaims, requestDue := r.claimStatus(now)
	interval := requestInterval
	if requestDue {
		interval = claimRequestInterval
	}
	if now-r.requestedAt < interval {
		return false
	}
	// A claim shows that other routers are ahead of the local source: waiting would not remove the difference.
	settled := hasClaims || now-r.changedAt >= settleTime
	needed := requestDue || differs && settled
	if !needed {
		return false
	}
	r.requestedAt = now
	r.Counts.Requests++
	return true
}

// claimStatus reports whether there are claims, and whether one of them is due for a request: a candidate has to be
// confirmed, and an accepted claim has to be prolonged after a third of its lifetime.
func (r *Replica) claimStatus(now int64) (hasClaims, requestDue bool) {
	for _, rec := range r.endpoints {
		hasCandidate, hasAccepted := rec.candidate.exists(), rec.accepted.exists()
		hasClaims = hasClaims || hasCandidate || hasAccepted
		prolongationDue := hasAccepted && rec.accepted.expiresAt-now < claimLifetime*2/3
		requestDue = requestDue || hasCandidate || prolongationDue
	}
	return hasClaims, requestDue
}

// NewRequest returns a request for the buckets that differ. The digests of buckets with claims are inverted: they then
// differ in any case, and the other router reports the endpoints of the claims again.
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

// claimedIDs returns the ids of the endpoints with accepted claims, as many as fit into a request. They are in the
// order in which the claims expire.
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

// reportedIDBytes returns the maximum encoded size of an endpoint id in a list of a message.
func reportedIDBytes(id string) int {
	const prefixBytes = 3
	return prefixBytes + len(id)
}

// Respond returns the content of the buckets that differ from the request, in chunks of about chunkBytes each. It
// returns 12 chunks at most; the rest is left to later requests. Endpoints are reported as the local source has
// announced them: if claims were passed on, routers without a source would confirm each other's claims. Purges are
// reported whichever router has announced them. Those endpoints in request.Claimed that the local source does not list
// are returned as unlisted.
func (r *Replica) Respond(request *DigestRequest, chunkBytes int) []StateResponse {
	if len(request.Digests) != digestBuckets {
		r.Counts.Rejected++
		return nil
	}
	r.Counts.Responses++
	differs := func(bucket int) bool { return request.Digests[bucket] != r.digests[bucket] }
	response := chunkedResponse{chunkBytes: chunkBytes}
	for _, id := range request.Claimed {
		if r.isUnlisted(id) {
			response.addUnlisted(id)
		}
	}
	for _, id := range r.sortedIDs() {
		if differs(bucketOf(id)) {
			response.addEndpoint(r.endpoints[id].local)
		}
	}
	for _, key := range r.sortedPurgeKeys(func(k purgeKey) bool { return differs(k.bucket()) }) {
		response.addPurge(key, r.purges[key])
	}
	chunks := response.finish()
	return chunks[:min(len(chunks), maxChunks)]
}

// isUnlisted reports whether the local source has announced a complete list and the replica holds no endpoint with this
// id. That is also the case once the record of an endpoint that is gone was dropped. A full replica reports no endpoint
// as unlisted, since it may lack endpoints that the source lists.
func (r *Replica) isUnlisted(id string) bool {
	return r.listComplete && len(r.endpoints) < maxEndpoints && r.endpoints[id] == nil
}

// chunkedResponse splits a response into chunks.
type chunkedResponse struct {
	chunkBytes   int
	chunks       []StateResponse // complete ones
	current      StateResponse
	currentBytes int // estimated size of current
}

// reserve begins a new chunk if an item of the given size does not fit into the current one.
func (c *chunkedResponse) reserve(itemBytes int) {
	if c.currentBytes+itemBytes > c.chunkBytes {
		c.chunks = append(c.chunks, c.current)
		c.current = StateResponse{}
		c.currentBytes = 0
	}
	c.currentBytes += itemBytes
}

func (c *chunkedResponse) addEndpoint(e Endpoint) {
	const fixedBytes = 40 // all but the strings
	c.reserve(fixedBytes + len(e.ID) + len(e.Address) + len(e.Zone) + len(e.Kind))
	c.current.Endpoints = append(c.current.Endpoints, newEndpointReport(e))
}

func (c *chunkedResponse) addUnlisted(id string) {
	c.reserve(reportedIDBytes(id))
	c.current.Unlisted = append(c.current.Unlisted, id)
}

func (c *chunkedResponse) addPurge(key purgeKey, at int64) {
	const fixedBytes = 20 // all but the string
	c.reserve(fixedBytes + len(key.object))
	c.current.Purges = append(c.current.Purges, PurgeReport{Object: key.object, Group: key.group, At: at})
}

func (c *chunkedResponse) finish() []StateResponse { return append(c.chunks, c.current) }

// Result is the outcome of a payload.
type Result struct {
	Replies   [][]byte   // encoded Payloads to send to the sender
	Endpoints []Endpoint // accepted claims, to be applied to the endpoint list
	Purges    []Purge    // to be applied
}

// HandlePayload processes the digest and the body of a message from another router. A nil body means that the message
// carries the digest alone; otherwise the body is a request or a response. There are 12 replies at most, of about
// chunkBytes each.
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
	endpoints, purges := r.Merge(now, wall, from, payload.Response)
	return Result{Endpoints: endpoints, Purges: purges}
}

func (r *Replica) respond(request *DigestRequest, chunkBytes int) (replies [][]byte) {
	for _, chunk := range r.Respond(request, chunkBytes) {
		replies = append(replies, (&Payload{Response: &chunk}).Encode())
	}
	return replies
}
