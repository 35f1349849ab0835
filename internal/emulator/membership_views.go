package emulator

import (
	"slices"

	"quilldoor/internal/membership"
	"quilldoor/internal/simulation"
)

// Members is what was seen of the routers' knowledge of each other.
type Members struct {
	Looks       int   // at all views, while the run went on
	AgreedAfter int64 // microseconds from the last trouble's beginning or end; -1: they did not agree again
	CalledDead  int   // looks at which all the others that answered held a live router dead
	DeadByAll   []string

	faultTurn      int64            // the trouble's turn that the agreement is counted from
	reachableSince map[string]int64 // since when a router runs and somebody can both hear it and be heard
}

// deadGraceMicros is how long a router that runs must have been able to talk with another
// one, until all others holding it dead counts against them.
const deadGraceMicros = 3_000_000

// recordReachable follows which routers could be known to live.
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

// reachable tells whether a router runs and some other one can hear it and be heard.
func reachable(w *simulation.World, id int) bool {
	if !w.Up(id) || w.Stopped(id) {
		return false
	}
	for x := range w.Routers() {
		if x != id && w.Up(x) && !w.Stopped(x) && w.Ways.Reachable(id, x) && w.Ways.Reachable(x, id) {
			return true
		}
	}
	return false
}

// viewIntervalMicros is how often views are looked at.
const viewIntervalMicros = 200_000

// observe judges views: of routers that run, by name, those that could be asked.
func (m *Members) observe(now, turn int64, up []string, views map[string]*membership.View) {
	m.Looks++
	if turn != m.faultTurn || m.Looks == 1 {
		m.faultTurn, m.AgreedAfter = turn, -1
	}
	agreed := len(views) == len(up)
	for _, name := range up {
		dead, others := 0, 0
		for observer, view := range views {
			if observer == name {
				continue
			}
			others++
			i := slices.IndexFunc(view.Members, func(member membership.MemberStatus) bool { return member.Name == name })
			switch {
			case i < 0 || view.Members[i].State != membership.StateAlive:
				agreed = false
				if i >= 0 && view.Members[i].State == membership.StateDead {
					dead++
				}
			}
		}
		if since, can := m.reachableSince[name]; can && now-since >= deadGraceMicros && others >= 2 && dead == others {
			m.CalledDead++
			if !slices.Contains(m.DeadByAll, name) {
				m.DeadByAll = append(m.DeadByAll, name)
			}
		}
	}
	for _, view := range views {
		for _, member := range view.Members {
			if member.State == membership.StateAlive && !slices.Contains(up, member.Name) {
				agreed = false
			}
		}
	}
	switch {
	case !agreed:
		m.AgreedAfter = -1
	case m.AgreedAfter < 0:
		m.AgreedAfter = now - turn
	}
}
