package simfleet

import (
	"net/netip"
	"slices"

	"quilldoor/internal/membership"
)

// HeartbeatDetector is the baseline of the experiments. Every router sends all others a heartbeat at an interval, and
// declares a member dead if its heartbeats stop for longer than the maximum silence. Routers do not forward states.
type HeartbeatDetector struct {
	self            membership.Update
	members         []membership.Seed
	interval        int64
	maxSilence      int64
	nextHeartbeatAt int64
	lastHeartbeatAt map[string]int64            // time of each member's last heartbeat
	states          map[string]membership.State // a member without a heartbeat so far has none
}

// NewHeartbeatDetector creates the detector of one router, which sends its first heartbeat at start. Times are
// microseconds.
func NewHeartbeatDetector(
	name string, members []membership.Seed, interval, maxSilence, start int64,
) *HeartbeatDetector {
	return &HeartbeatDetector{
		self:            membership.Update{Name: name, State: membership.StateAlive, Incarnation: 1},
		members:         members,
		interval:        interval,
		maxSilence:      maxSilence,
		nextHeartbeatAt: start,
		lastHeartbeatAt: map[string]int64{},
		states:          map[string]membership.State{},
	}
}

// Tick sends the heartbeats that are due and declares silent members dead.
func (d *HeartbeatDetector) Tick(now int64) (next int64, out []membership.Outbound, changes []membership.Change) {
	if now >= d.nextHeartbeatAt {
		d.nextHeartbeatAt = now + d.interval
		out = d.heartbeats()
	}
	for _, member := range d.members {
		if d.states[member.Name] == membership.StateAlive && now-d.lastHeartbeatAt[member.Name] > d.maxSilence {
			d.states[member.Name] = membership.StateDead
			changes = append(changes, membership.Change{
				At: now, Name: member.Name, From: membership.StateAlive, To: membership.StateDead,
			})
		}
	}
	return min(d.nextHeartbeatAt, now+d.interval/4), out, changes
}

func (d *HeartbeatDetector) heartbeats() (out []membership.Outbound) {
	for _, member := range d.members {
		if member.Name == d.self.Name {
			continue
		}
		msg := &membership.Message{Kind: membership.KindPing, Sender: d.self, To: member.Name}
		out = append(out, membership.Outbound{To: member.Name, Addr: member.Addr, Message: msg})
	}
	return out
}

// Receive records a heartbeat. Heartbeats of unknown members are ignored.
func (d *HeartbeatDetector) Receive(now int64, _ netip.AddrPort, msg *membership.Message) []membership.Outbound {
	name := msg.Sender.Name
	if slices.ContainsFunc(d.members, func(m membership.Seed) bool { return m.Name == name }) {
		d.lastHeartbeatAt[name] = now
		d.states[name] = membership.StateAlive
	}
	return nil
}

// State returns the state of a member; the router's own state is always alive.
func (d *HeartbeatDetector) State(name string) membership.State {
	if name == d.self.Name {
		return membership.StateAlive
	}
	return d.states[name]
}
