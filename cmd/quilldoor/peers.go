package main

import (
	"bytes"
	"sync"
	"time"

	"quilldoor/internal/core"
	"quilldoor/internal/memberlink"
	"quilldoor/internal/members"
	"quilldoor/internal/news"
	"quilldoor/internal/rollout"
)

// peers lets the router decide by what the others' boards have told.
type peers struct {
	*router
	start time.Time

	mu     sync.Mutex
	book   *news.Book
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
	t := p.book.Letter(p.now(), clock(), from, tag, body, memberlink.MostBody)
	p.mu.Unlock()
	p.apply(t.Servers)
	for _, x := range t.Purges {
		p.router.taken(x.Object, x.Group, x.At)
	}
	return t.Back
}

func (p *peers) apply(list []news.Server) {
	if len(list) > 0 {
		p.log.WithField("changes", len(list)).Info("list changed by what other routers say")
		p.listed("diff", coreServers(list))
	}
}

// Tick ends what nobody has said again.
func (p *peers) Tick(s members.Standing) {
	const every = 250_000 // microseconds
	p.mu.Lock()
	now := p.now()
	var lapsed []news.Server
	if now-p.ticked >= every {
		p.ticked = now
		p.book.Alone(s.Known < 3)
		lapsed = p.book.Tick(now, clock())
	}
	p.mu.Unlock()
	p.apply(lapsed)
}

// board passes what the own board tells, with what others know better.
func (p *peers) board(scope string, list []core.Server) []core.Server {
	out := make([]news.Server, len(list))
	for i, s := range list {
		out[i] = news.Server{Entry: s.Entry, Endpoint: s.Endpoint}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return coreServers(p.book.Board(p.now(), scope != "diff", out))
}

func (p *peers) purged(object string, group, at int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.Purged(p.now(), news.Purge{Object: object, Group: group, At: at})
}

func coreServers(list []news.Server) (out []core.Server) {
	for _, s := range list {
		out = append(out, core.Server{Entry: s.Entry, Endpoint: s.Endpoint})
	}
	return out
}

// news tells the counts of the book.
func (p *peers) news() news.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Counts
}
