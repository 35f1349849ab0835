package emulator

import (
	"slices"

	"quilldoor/internal/membership"
	"quilldoor/internal/simulation"
)

// Members is what the routers' membership views showed while a run went on.
type Members struct {
	Comparisons int      `json:"Looks"` // how often all views were compared
	AgreedAfter int64    // microseconds from the last beginning or end of a fault; -1: they did not agree again
	CalledDead  int      // comparisons in which all others that answered held a live router dead
	DeadByAll   []string // the routers that this happened to

	countsFrom     int64            // the beginning or end of a fault that AgreedAfter counts from
	reachableSince map[string]int64 // since when a router is up and exchanges messages with another one
}

// deadGraceMicros is how long a router must have been reachable until it counts against the
// others that all of them hold it dead.
const deadGraceMicros = 3 * microsPerSecond

// recordReachable follows since when a router has been reachable.
func (m *Members) recordReachable(now int64, name string, reachable bool) {
	if m.reachableSince == nil {
		m.reachableSince = map[string]int64{}
	}
	if _, known := m.reachableSince[name]; !reachable {
		delete(m.reachableSince, name)
	} else if !known {
		m.reachableSince[name] = now
	}
}

// reachable tells whether a router is up and exchanges messages with another one.
func reachable(sim *simulation.Simulation, id int) bool {
	runs := func(router int) bool { return sim.Up(router) && !sim.Suspended(router) }
	if !runs(id) {
		return false
	}
	for other := range sim.Routers() {
		if other != id && runs(other) && sim.Network.Reachable(id, other) && sim.Network.Reachable(other, id) {
			return true
		}
	}
	return false
}

// viewIntervalMicros is how often views are compared.
const viewIntervalMicros = 200_000

// observe compares the views of the routers that are up. Views has those that could be asked,
// by the router's name. LastFaultChange is when a fault began or ended last.
func (m *Members) observe(now, lastFaultChange int64, up []string, views map[string]*membership.View) {
	m.Comparisons++
	if lastFaultChange != m.countsFrom || m.Comparisons == 1 {
		m.countsFrom = lastFaultChange
		m.AgreedAfter = -1
	}
	agreed := len(views) == len(up) && onlyAlive(up, views)
	for _, name := range up {
		alive, dead, others := countStates(name, views)
		if alive < others {
			agreed = false
		}
		if others >= 2 && dead == others {
			m.recordDeadByAll(now, name)
		}
	}
	switch {
	case !agreed:
		m.AgreedAfter = -1
	case m.AgreedAfter < 0:
		m.AgreedAfter = now - lastFaultChange
	}
}

// recordDeadByAll counts that all others hold a router dead, if it has been reachable for long
// enough that they should not.
func (m *Members) recordDeadByAll(now int64, name string) {
	since, isReachable := m.reachableSince[name]
	if !isReachable || now-since < deadGraceMicros {
		return
	}
	m.CalledDead++
	if !slices.Contains(m.DeadByAll, name) {
		m.DeadByAll = append(m.DeadByAll, name)
	}
}

// countStates counts the other routers' views in which a router is alive, and dead.
func countStates(name string, views map[string]*membership.View) (alive, dead, others int) {
	for observer, view := range views {
		if observer == name {
			continue
		}
		others++
		i := slices.IndexFunc(view.Members, func(member membership.MemberStatus) bool { return member.Name == name })
		if i < 0 {
			continue
		}
		switch view.Members[i].State {
		case membership.StateAlive:
			alive++
		case membership.StateDead:
			dead++
		}
	}
	return alive, dead, others
}

// onlyAlive tells whether no view holds a router alive that is not up.
func onlyAlive(up []string, views map[string]*membership.View) bool {
	for _, view := range views {
		for _, member := range view.Members {
			if member.State == membership.StateAlive && !slices.Contains(up, member.Name) {
				return false
			}
		}
	}
	return true
}
