package main

import (
	"bytes"
	"sync"
	"time"

	"quilldoor/internal/clock"
	"quilldoor/internal/engine"
	"quilldoor/internal/gossip"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/policy"
	"quilldoor/internal/rollout"
)

// gossipHandler exchanges the endpoint lists and purges of discovery with the other routers
// of the site and applies theirs. It implements transport.PayloadHandler.
type gossipHandler struct {
	*router
	start time.Time

	mu       sync.Mutex
	replica  *gossip.Replica
	tickedAt int64 // microseconds since start
}

// newGossipHandler returns a handler with the purges that the process knows already. It gets the
// endpoint list with the next complete one.
func newGossipHandler(r *router) *gossipHandler {
	h := &gossipHandler{
		router:  r,
		start:   time.Now(),
		replica: gossip.New(gossip.Settings{PurgeRetention: r.purgeRetention()}),
	}
	for _, purge := range r.purges.all() {
		h.recordPurge(purge.object, purge.group, purge.at)
	}
	return h
}

func (h *gossipHandler) now() int64 { return time.Since(h.start).Microseconds() }

// Digest returns the digest of the replica, which all messages carry.
func (h *gossipHandler) Digest() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.Digest()
}

// HandlePayload applies a message from another router and returns the replies to it. A
// message about a rollout is forwarded to the supervisor.
func (h *gossipHandler) HandlePayload(from string, digest uint32, body []byte) [][]byte {
	if bytes.HasPrefix(body, rollout.MessagePrefix) {
		if h.agent != nil {
			h.agent.ForwardMessage(from, body)
		}
		return nil
	}
	h.mu.Lock()
	result := h.replica.HandlePayload(h.now(), clock.System(), from, digest, body, transport.MaxPayloadBytes)
	h.mu.Unlock()
	h.apply(result.Endpoints)
	for _, purge := range result.Purges {
		h.applyPurge(purge.Object, purge.Group, purge.At)
	}
	return result.Replies
}

// apply applies endpoints that other routers have announced.
func (h *gossipHandler) apply(list []gossip.Endpoint) {
	if len(list) > 0 {
		h.log.WithField("changes", len(list)).Info("endpoint list changed by gossip")
		h.applyEndpoints(policy.ScopeDiff, engineEndpoints(list))
	}
}

// Tick expires the claims of other routers that none of them has repeated.
func (h *gossipHandler) Tick(connectivity membership.Connectivity) {
	const tickInterval = 250_000 // microseconds
	h.mu.Lock()
	now := h.now()
	var expired []gossip.Endpoint
	if now-h.tickedAt >= tickInterval {
		h.tickedAt = now
		h.replica.SetSingleConfirmation(connectivity.Known < gossip.MembersForConfirmation)
		expired = h.replica.Tick(now, clock.System())
	}
	h.mu.Unlock()
	h.apply(expired)
}

// mergeLocal records endpoints from this router's discovery, and returns them in the state
// to apply: another router may have announced a later one.
func (h *gossipHandler) mergeLocal(scope policy.UpdateScope, list []engine.Endpoint) []engine.Endpoint {
	local := make([]gossip.Endpoint, len(list))
	for i, endpoint := range list {
		local[i] = gossip.Endpoint{Endpoint: endpoint.Endpoint, Address: endpoint.Address}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return engineEndpoints(h.replica.ApplyLocal(h.now(), scope != policy.ScopeDiff, local))
}

// recordPurge records a purge from this router's discovery.
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
