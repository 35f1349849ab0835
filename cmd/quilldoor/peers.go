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

// peers lets the router decide by what the others' boards have told.
type peers struct {
	*router
	start time.Time

	mu     sync.Mutex
	book   *gossip.Replica
	ticked int64
}

func (p *peers) now() int64 { return time.Since(p.start).Microseconds() }

// Digest of the news.
func (p *peers) Digest() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Digest()
}

// HandlePayload takes what another router says.
func (p *peers) HandlePayload(from string, tag uint32, body []byte) [][]byte {
	if bytes.HasPrefix(body, rollout.MessagePrefix) {
		if p.kept != nil {
			p.kept.ForwardMessage(from, body)
		}
		return nil
	}
	p.mu.Lock()
	t := p.book.HandlePayload(p.now(), clock(), from, tag, body, transport.MaxPayloadBytes)
	p.mu.Unlock()
	p.apply(t.Endpoints)
	for _, x := range t.Purges {
		p.taken(x.Object, x.Group, x.At)
	}
	return t.Replies
}

func (p *peers) apply(list []gossip.Endpoint) {
	if len(list) > 0 {
		p.log.WithField("changes", len(list)).Info("list changed by what other routers say")
		p.listed(policy.ScopeDiff, coreServers(list))
	}
}

// Tick ends what nobody has said again.
func (p *peers) Tick(s membership.Connectivity) {
	const every = 250_000 // microseconds
	p.mu.Lock()
	now := p.now()
	var lapsed []gossip.Endpoint
	if now-p.ticked >= every {
		p.ticked = now
		p.book.SetSingleConfirmation(s.Known < 3)
		lapsed = p.book.Tick(now, clock())
	}
	p.mu.Unlock()
	p.apply(lapsed)
}

// board passes what the own board tells, with what others know better.
func (p *peers) board(scope policy.UpdateScope, list []engine.Endpoint) []engine.Endpoint {
	out := make([]gossip.Endpoint, len(list))
	for i, s := range list {
		out[i] = gossip.Endpoint{Endpoint: s.Endpoint, Address: s.Address}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return coreServers(p.book.ApplyLocal(p.now(), scope != policy.ScopeDiff, out))
}

func (p *peers) purged(object string, group, at int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.ApplyLocalPurge(p.now(), gossip.Purge{Object: object, Group: group, At: at})
}

func coreServers(list []gossip.Endpoint) (out []engine.Endpoint) {
	for _, s := range list {
		out = append(out, engine.Endpoint{Endpoint: s.Endpoint, Address: s.Address})
	}
	return out
}

// news tells the counts of the book.
func (p *peers) news() gossip.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Counts
}
