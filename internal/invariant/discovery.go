package invariant

import (
	"slices"

	"quilldoor/internal/policy"
)

// endpoint holds the state of an endpoint as received from discovery, and the work sent
// to it.
type endpoint struct {
	kind          string
	weight        float64
	startedAt     int64        // 0: it started too long ago to matter
	unusableSince int64        // when the monitor was first notified of its drain or removal; 0: it may be used
	removed       bool         // policy.EndpointRemoved, or missing from a complete list
	work          []workRecord // within the window, while in slow start
}

type workRecord struct {
	at   int64
	work float64 // microseconds
}

// purge is a purge of an object or of a whole group.
type purge struct {
	object     uint64 // hash of the object's name; 0: the whole group is purged
	group      int64
	issuedAt   int64 // copies that the origin issued earlier are stale
	receivedAt int64 // when the monitor received it
}

func (p *purge) covers(response *Response) bool {
	if p.object != 0 {
		return p.object == response.Object
	}
	return p.group == response.Group
}

// EndpointsChanged applies changes of the endpoint list, or a complete list: endpoints
// missing from a complete list were removed.
func (m *Monitor) EndpointsChanged(now int64, complete bool, list []policy.Endpoint) {
	listed := map[string]bool{}
	for i := range list {
		listed[list[i].ID] = true
		m.endpointChanged(now, &list[i])
	}
	for id, e := range m.endpoints {
		if complete && !listed[id] {
			e.setUnusable(now, true, true)
		}
		if e.removed && now-e.unusableSince > removedEndpointTTL {
			delete(m.endpoints, id)
		}
	}
}

func (m *Monitor) endpointChanged(now int64, entry *policy.Endpoint) {
	known := m.endpoints[entry.ID]
	if known == nil {
		if len(m.endpoints) >= maxEndpoints {
			m.Dropped++
			return
		}
		known = &endpoint{}
		m.endpoints[entry.ID] = known
	}
	known.kind = entry.Kind
	known.weight = entry.Weight
	if entry.StartedAt != known.startedAt { // it has restarted
		known.startedAt = entry.StartedAt
		known.work = nil
	}
	unusable := entry.State != policy.EndpointActive
	if unusable && known.unusableSince == 0 {
		m.drainsSeen++
	}
	known.setUnusable(now, unusable, entry.State == policy.EndpointRemoved)
}

// setUnusable records whether the endpoint drains or was removed, and since when.
func (e *endpoint) setUnusable(now int64, unusable, removed bool) {
	e.removed = removed
	if !unusable {
		e.unusableSince = 0
	} else if e.unusableSince == 0 {
		e.unusableSince = now
	}
}

// addWork adds a record and returns the work within the window that ends with it.
func (e *endpoint) addWork(added workRecord, window int64) (total float64) {
	e.work = slices.DeleteFunc(e.work, func(w workRecord) bool { return w.at <= added.at-window })
	e.work = append(e.work, added)
	if len(e.work) > maxWorkRecords {
		e.work = e.work[1:]
	}
	for _, w := range e.work {
		if w.at <= added.at { // another process may have sent later work already
			total += w.work
		}
	}
	return total
}

// Purged adds a purge of an object, or of a whole group if object is "". Copies that the
// origin issued before issuedAt are stale.
func (m *Monitor) Purged(now int64, object string, group, issuedAt int64) {
	p := purge{group: group, issuedAt: issuedAt, receivedAt: now}
	if object != "" {
		p.object = hashObject(object)
	}
	for len(m.purges) > 0 && (now-m.purges[0].receivedAt > purgeTTL || len(m.purges) >= maxPurges) {
		m.purges = m.purges[1:]
	}
	m.purges = append(m.purges, p)
	m.purgesSeen++
}

// EventCounts returns how often an entry of the endpoint list has reported that an endpoint
// began to drain or was removed, and how many purges the monitor has received.
func (m *Monitor) EventCounts() (drains, purges int) { return m.drainsSeen, m.purgesSeen }

// SetDisconnected sets whether discovery can't be reached. Endpoints may have become
// active again meanwhile, so drains are not checked until maxDiscoverySkew after the
// connection is restored.
func (m *Monitor) SetDisconnected(now int64, disconnected bool) {
	if m.disconnected && !disconnected {
		m.checkDrainsFrom = now + maxDiscoverySkew
	}
	m.disconnected = disconnected
}

// ClockStepped applies a jump of the system's clock, in microseconds: it shifts the
// monitor's own earlier times, and discards reports from before the jump unchecked.
func (m *Monitor) ClockStepped(now, by int64) {
	for _, e := range m.endpoints {
		if e.unusableSince != 0 {
			e.unusableSince += by
		}
		e.work = nil
	}
	for i := range m.purges {
		m.purges[i].receivedAt += by
	}
	for _, p := range m.processes {
		p.pending = nil
		for r := range p.violations {
			p.violations[r].shift(by)
		}
	}
	m.checkDrainsFrom = now + maxDiscoverySkew
}
