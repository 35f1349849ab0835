package main

import (
	"bytes"
	"sync"
	"time"

	"quilldoor/internal/engine"
	"quilldoor/internal/gossip"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/policy"
	"quilldoor/internal/rollout"
)

// gossipHandler lets the router act on what discovery has told other routers of the site.
// It is the membership's payload handler.
type gossipHandler struct {
	*router
	start time.Time

	mu       sync.Mutex
	replica  *gossip.Replica
	tickedAt int64 // microseconds since start
}

func newGossipHandler(r *router) *gossipHandler {
	return &gossipHandler{
		router:  r,
		start:   time.Now(),
		replica: gossip.New(gossip.Settings{PurgeRetention: r.purgeRetention()}),
	}
}

func (h *gossipHandler) now() int64 { return time.Since(h.start).Microseconds() }

// Digest of the replica.
func (h *gossipHandler) Digest() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.Digest()
}

// HandlePayload takes what another router says, and returns what it is answered.
func (h *gossipHandler) HandlePayload(from string, digest uint32, body []byte) [][]byte {
	if bytes.HasPrefix(body, rollout.MessagePrefix) {
		if h.agent != nil {
			h.agent.ForwardMessage(from, body)
		}
		return nil
	}
	h.mu.Lock()
	result := h.replica.HandlePayload(h.now(), clock(), from, digest, body, transport.MaxPayloadBytes)
	h.mu.Unlock()
	h.apply(result.Endpoints)
	for _, purge := range result.Purges {
		h.applyPurge(purge.Object, purge.Group, purge.At)
	}
	return result.Replies
}

func (h *gossipHandler) apply(list []gossip.Endpoint) {
	if len(list) > 0 {
		h.log.WithField("changes", len(list)).Info("endpoint list changed by gossip")
		h.applyEndpoints(policy.ScopeDiff, engineEndpoints(list))
	}
}

// Tick ends the claims of others that nobody has repeated.
func (h *gossipHandler) Tick(connectivity membership.Connectivity) {
	const interval = 250_000 // microseconds
	h.mu.Lock()
	now := h.now()
	var expired []gossip.Endpoint
	if now-h.tickedAt >= interval {
		h.tickedAt = now
		h.replica.SetSingleConfirmation(connectivity.Known < gossip.MembersForConfirmation)
		expired = h.replica.Tick(now, clock())
	}
	h.mu.Unlock()
	h.apply(expired)
}

// mergeLocal enters what discovery tells this router, and returns it with what others
// know better.
func (h *gossipHandler) mergeLocal(scope policy.UpdateScope, list []engine.Endpoint) []engine.Endpoint {
	local := make([]gossip.Endpoint, len(list))
	for i, endpoint := range list {
		local[i] = gossip.Endpoint{Endpoint: endpoint.Endpoint, Address: endpoint.Address}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return engineEndpoints(h.replica.ApplyLocal(h.now(), scope != policy.ScopeDiff, local))
}

func (h *gossipHandler) recordPurge(object string, group, at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replica.ApplyLocalPurge(h.now(), gossip.Purge{Object: object, Group: group, At: at})
}

func (h *gossipHandler) counts() gossip.Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.Counts
}

func engineEndpoints(list []gossip.Endpoint) (endpoints []engine.Endpoint) {
	for _, endpoint := range list {
		endpoints = append(endpoints, engine.Endpoint{Endpoint: endpoint.Endpoint, Address: endpoint.Address})
	}
	return endpoints
}
