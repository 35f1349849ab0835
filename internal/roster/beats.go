package roster

import (
	"net/netip"
	"slices"

	"quilldoor/internal/members"
)

// Beats is the baseline: every router tells every other one, every so often, that
// it lives; who is silent for some beats is dead. Nothing is passed on.
type Beats struct {
	self    members.Rumour
	to      []members.Seed
	every   int64
	allowed int64 // silence
	next    int64
	heard   map[string]int64
	state   map[string]members.State
}

// NewBeats makes the baseline's knowledge: beats and the silence that is allowed,
// microseconds.
func NewBeats(self string, all []members.Seed, every, allowed, now int64) *Beats {
	return &Beats{self: members.Rumour{Name: self, State: members.Alive, Inc: 1}, to: all, every: every, allowed: allowed, next: now,
		heard: map[string]int64{}, state: map[string]members.State{}}
}

// Run beats.
func (b *Beats) Run(now int64) (next int64, out []members.Out, news []members.Change) {
	if now >= b.next {
		b.next = now + b.every
		for _, s := range b.to {
			if s.Name != b.self.Name {
				out = append(out, members.Out{To: s.Name, Addr: s.Addr, Word: &members.Word{Kind: members.Ping, From: b.self, To: s.Name}})
			}
		}
	}
	for _, s := range b.to {
		if b.state[s.Name] == members.Alive && now-b.heard[s.Name] > b.allowed {
			b.state[s.Name] = members.Dead
			news = append(news, members.Change{At: now, Name: s.Name, From: members.Alive, To: members.Dead})
		}
	}
	return min(b.next, now+b.every/4), out, news
}

// Heard takes a beat.
func (b *Beats) Heard(now int64, _ netip.AddrPort, w *members.Word) []members.Out {
	if slices.ContainsFunc(b.to, func(s members.Seed) bool { return s.Name == w.From.Name }) {
		b.heard[w.From.Name], b.state[w.From.Name] = now, members.Alive
	}
	return nil
}

// State is what is held of a router now.
func (b *Beats) State(name string) members.State {
	if name == b.self.Name {
		return members.Alive
	}
	return b.state[name]
}
