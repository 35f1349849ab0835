package simfleet

import (
	"net/netip"
	"slices"

	"quilldoor/internal/membership"
)

// Beats is the baseline: every router tells every other one, every so often, that
// it lives; who is silent for some beats is dead. Nothing is passed on.
type Beats struct {
	self    membership.Rumour
	to      []membership.Seed
	every   int64
	allowed int64 // silence
	next    int64
	heard   map[string]int64
	state   map[string]membership.State
}

// NewBeats makes the baseline's knowledge: beats and the silence that is allowed,
// microseconds.
func NewBeats(self string, all []membership.Seed, every, allowed, now int64) *Beats {
	return &Beats{self: membership.Rumour{Name: self, State: membership.Alive, Inc: 1}, to: all, every: every, allowed: allowed, next: now,
		heard: map[string]int64{}, state: map[string]membership.State{}}
}

// Run beats.
func (b *Beats) Run(now int64) (next int64, out []membership.Out, news []membership.Change) {
	if now >= b.next {
		b.next = now + b.every
		for _, s := range b.to {
			if s.Name != b.self.Name {
				out = append(out, membership.Out{To: s.Name, Addr: s.Addr, Word: &membership.Word{Kind: membership.Ping, From: b.self, To: s.Name}})
			}
		}
	}
	for _, s := range b.to {
		if b.state[s.Name] == membership.Alive && now-b.heard[s.Name] > b.allowed {
			b.state[s.Name] = membership.Dead
			news = append(news, membership.Change{At: now, Name: s.Name, From: membership.Alive, To: membership.Dead})
		}
	}
	return min(b.next, now+b.every/4), out, news
}

// Heard takes a beat.
func (b *Beats) Heard(now int64, _ netip.AddrPort, w *membership.Word) []membership.Out {
	if slices.ContainsFunc(b.to, func(s membership.Seed) bool { return s.Name == w.From.Name }) {
		b.heard[w.From.Name], b.state[w.From.Name] = now, membership.Alive
	}
	return nil
}

// State is what is held of a router now.
func (b *Beats) State(name string) membership.State {
	if name == b.self.Name {
		return membership.Alive
	}
	return b.state[name]
}
