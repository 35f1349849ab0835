package main

import (
	"bytes"
	"sync"
	"time"

	"quilldoor/internal/engine"
	"quilldoor/internal/gossip"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/rollout"
)

// peers lets the router decide by what the others' boards have told.
type peers struct {
	*router
	start time.Time

	mu     sync.Mutex
	book   *gossip.Book
	ticked int64
}

func (p *peers) now() int64 { return time.Since(p.start).Microseconds() }

// Tag of the news.
func (p *peers) Tag() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Tag()
}

// Letter takes what another router says.
func (p *peers) Letter(from string, tag uint32, body []byte) [][]byte {
	if bytes.HasPrefix(body, rollout.Mark) {
		if p.kept != nil {
			p.kept.Letter(from, body)
		}
		return nil
	}
	p.mu.Lock()
	t := p.book.Letter(p.now(), clock(), from, tag, body, transport.MostBody)
	p.mu.Unlock()
	p.apply(t.Servers)
	for _, x := range t.Purges {
		p.router.taken(x.Object, x.Group, x.At)
	}
	return t.Back
}

func (p *peers) apply(list []gossip.Server) {
	if len(list) > 0 {
		p.log.WithField("changes", len(list)).Info("list changed by what other routers say")
		p.listed("diff", coreServers(list))
	}
}

// Tick ends what nobody has said again.
func (p *peers) Tick(s membership.Standing) {
	const every = 250_000 // microseconds
	p.mu.Lock()
	now := p.now()
	var lapsed []gossip.Server
	if now-p.ticked >= every {
		p.ticked = now
		p.book.Alone(s.Known < 3)
		lapsed = p.book.Tick(now, clock())
	}
	p.mu.Unlock()
	p.apply(lapsed)
}

// board passes what the own board tells, with what others know better.
func (p *peers) board(scope string, list []engine.Server) []engine.Server {
	out := make([]gossip.Server, len(list))
	for i, s := range list {
		out[i] = gossip.Server{Entry: s.Entry, Endpoint: s.Endpoint}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return coreServers(p.book.Board(p.now(), scope != "diff", out))
}

func (p *peers) purged(object string, group, at int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.Purged(p.now(), gossip.Purge{Object: object, Group: group, At: at})
}

func coreServers(list []gossip.Server) (out []engine.Server) {
	for _, s := range list {
		out = append(out, engine.Server{Entry: s.Entry, Endpoint: s.Endpoint})
	}
	return out
}

// news tells the counts of the book.
func (p *peers) news() gossip.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Counts
}
