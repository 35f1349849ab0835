package emulator

import (
	"slices"

	"quilldoor/internal/membership"
	"quilldoor/internal/simulation"
)

// Members holds the results of comparing the routers' membership views during a run.
type Members struct {
	Comparisons int      `json:"Looks"` // number of comparisons of all views
	AgreedAfter int64    // microseconds from the last beginning or end of a fault to agreement; -1: the views don't agree
	CalledDead  int      // times that a comparison found a live router dead in all other views
	DeadByAll   []string // names of the routers that CalledDead counts

	lastFaultChange int64            // the beginning or end of a fault that AgreedAfter counts from
	reachableSince  map[string]int64 // time since which a router has been reachable, by router name
}

// deadGraceMicros is how long a router must have been reachable before it is an error that all
// others hold it dead.
const deadGraceMicros = 3 * microsPerSecond

// recordReachable updates the time since which a router has been reachable.
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

// reachable reports whether a router is running and can exchange messages with another running one.
func reachable(sim *simulation.Simulation, id int) bool {
	running := func(router int) bool { return sim.Up(router) && !sim.Suspended(router) }
	if !running(id) {
		return false
	}
	for other := range sim.Routers() {
		if other != id && running(other) && sim.Network.Reachable(id, other) && sim.Network.Reachable(other, id) {
			return true
		}
	}
	return false
}

// viewIntervalMicros is the interval between comparisons of the views.
const viewIntervalMicros = 200_000

// observe compares the views of the routers that are up. Views holds those that could be queried,
// by router name. LastFaultChange is the time of the last beginning or end of a fault.
func (m *Members) observe(now, lastFaultChange int64, up []string, views map[string]*membership.View) {
	m.Comparisons++
	if lastFaultChange != m.lastFaultChange || m.Comparisons == 1 {
		m.lastFaultChange = lastFaultChange
		m.AgreedAfter = -1
	}
	agreed := len(views) == len(up) && noneFalselyAlive(up, views)
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

// recordDeadByAll counts that all others hold a router dead, if it has been reachable for at least
// deadGraceMicros.
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

// countStates counts the views of the other routers, and those of them in which a router is alive
// or dead.
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

// noneFalselyAlive reports whether no view holds a router alive that is not up.
func noneFalselyAlive(up []string, views map[string]*membership.View) bool {
	for _, view := range views {
		for _, member := range view.Members {
			if member.State == membership.StateAlive && !slices.Contains(up, member.Name) {
				return false
			}
		}
	}
	return true
}
