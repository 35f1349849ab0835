package invariant

import (
	"slices"

	"quilldoor/internal/policy"
)

// endpoint is what discovery has said of one, and what was sent to it.
type endpoint struct {
	kind      string
	weight    float64
	startedAt int64 // 0: long past
	outSince  int64 // when it was first known to drain or to have gone; 0: it may be used
	gone      bool
	work      []workRecord // within the window, while in slow start
}

type workRecord struct {
	at   int64
	work float64 // microseconds
}

// purge of an object, or of a group.
type purge struct {
	object     uint64 // hash; 0: the group
	group      int64
	issuedAt   int64 // copies issued before are stale
	receivedAt int64
}

func (p *purge) covers(r *Response) bool {
	if p.object != 0 {
		return p.object == r.Object
	}
	return p.group == r.Group
}

// EndpointsChanged takes changes of the endpoint list, or a complete list, from which
// missing endpoints have gone.
func (m *Monitor) EndpointsChanged(now int64, complete bool, list []policy.Endpoint) {
	listed := map[string]bool{}
	for i := range list {
		listed[list[i].ID] = true
		m.endpointChanged(now, &list[i])
	}
	for id, e := range m.endpoints {
		if complete && !listed[id] {
			e.setOut(now, true, true)
		}
		if e.gone && now-e.outSince > goneTTL {
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
	if entry.StartedAt != known.startedAt { // it was started anew
		known.startedAt = entry.StartedAt
		known.work = nil
	}
	out := entry.State != policy.EndpointActive
	if out && known.outSince == 0 {
		m.drainsSeen++
	}
	known.setOut(now, out, entry.State == policy.EndpointGone)
}

// setOut keeps the time at which the endpoint first was out.
func (e *endpoint) setOut(now int64, out, gone bool) {
	e.gone = gone
	if !out {
		e.outSince = 0
	} else if e.outSince == 0 {
		e.outSince = now
	}
}

// addWork returns the work within the window that ends with a new record.
func (e *endpoint) addWork(added workRecord, window int64) (total float64) {
	e.work = slices.DeleteFunc(e.work, func(w workRecord) bool { return w.at <= added.at-window })
	e.work = append(e.work, added)
	if len(e.work) > maxWorkRecords {
		e.work = e.work[1:]
	}
	for _, w := range e.work {
		if w.at <= added.at { // records of another process may be later
			total += w.work
		}
	}
	return total
}

// Purged takes a purge of an object, or of a group where the object is "". Copies that
// the origin issued before are stale.
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

// EventCounts returns how many endpoints have begun to drain or gone, and how many purges
// there were.
func (m *Monitor) EventCounts() (drains, purges int) { return m.drainsSeen, m.purgesSeen }

// SetDisconnected says whether discovery can't be reached. An endpoint that returned meanwhile
// is not known to have, so drains are not judged until some time after.
func (m *Monitor) SetDisconnected(now int64, disconnected bool) {
	if m.disconnected && !disconnected {
		m.drainsFrom = now + maxDiscoverySkew
	}
	m.disconnected = disconnected
}

// ClockJumped says that the system's clock was moved by so much, in microseconds. Earlier
// times move along, and activity from before the jump is not judged.
func (m *Monitor) ClockJumped(now, by int64) {
	for _, e := range m.endpoints {
		if e.outSince != 0 {
			e.outSince += by
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
	m.drainsFrom = now + maxDiscoverySkew
}
