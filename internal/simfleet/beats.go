package simfleet

import (
	"net/netip"
	"slices"

	"quilldoor/internal/membership"
)

// HeartbeatDetector is the baseline: every router tells every other one, every so often, that
// it lives; who is silent for some beats is dead. Nothing is passed on.
type HeartbeatDetector struct {
	self    membership.Update
	to      []membership.Seed
	every   int64
	allowed int64 // silence
	next    int64
	heard   map[string]int64
	state   map[string]membership.State
}

// NewHeartbeatDetector makes the baseline's knowledge: beats and the silence that is allowed,
// microseconds.
func NewHeartbeatDetector(self string, all []membership.Seed, every, allowed, now int64) *HeartbeatDetector {
	return &HeartbeatDetector{
		self: membership.Update{Name: self, State: membership.StateAlive, Incarnation: 1}, to: all, every: every, allowed: allowed, next: now,
		heard: map[string]int64{}, state: map[string]membership.State{},
	}
}

// Tick beats.
func (b *HeartbeatDetector) Tick(now int64) (next int64, out []membership.Outbound, news []membership.Change) {
	if now >= b.next {
		b.next = now + b.every
		for _, s := range b.to {
			if s.Name != b.self.Name {
				out = append(out, membership.Outbound{To: s.Name, Addr: s.Addr, Message: &membership.Message{Kind: membership.KindPing, Sender: b.self, To: s.Name}})
			}
		}
	}
	for _, s := range b.to {
		if b.state[s.Name] == membership.StateAlive && now-b.heard[s.Name] > b.allowed {
			b.state[s.Name] = membership.StateDead
			news = append(news, membership.Change{At: now, Name: s.Name, From: membership.StateAlive, To: membership.StateDead})
		}
	}
	return min(b.next, now+b.every/4), out, news
}

// Receive takes a beat.
func (b *HeartbeatDetector) Receive(now int64, _ netip.AddrPort, w *membership.Message) []membership.Outbound {
	if slices.ContainsFunc(b.to, func(s membership.Seed) bool { return s.Name == w.Sender.Name }) {
		b.heard[w.Sender.Name], b.state[w.Sender.Name] = now, membership.StateAlive
	}
	return nil
}

// State is what is held of a router now.
func (b *HeartbeatDetector) State(name string) membership.State {
	if name == b.self.Name {
		return membership.StateAlive
	}
	return b.state[name]
}
