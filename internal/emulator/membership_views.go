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

	turn  int64            // the trouble's turn that the agreement is counted from
	touch map[string]int64 // since when a router runs and somebody can both hear it and be heard
}

// mustKnow is how long a router that runs must have been able to talk with another
// one, until all others holding it dead counts against them.
const mustKnow = 3_000_000

// inTouch follows which routers could be known to live.
func (m *Members) inTouch(now int64, name string, can bool) {
	if m.touch == nil {
		m.touch = map[string]int64{}
	}
	if _, was := m.touch[name]; !can {
		delete(m.touch, name)
	} else if !was {
		m.touch[name] = now
	}
}

// canTalk tells whether a router runs and some other one can hear it and be heard.
func canTalk(w *simulation.World, id int) bool {
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

// lookEvery is how often views are looked at.
const lookEvery = 200_000

// look judges views: of routers that run, by name, those that could be asked.
func (m *Members) look(now, turn int64, up []string, views map[string]*membership.View) {
	m.Looks++
	if turn != m.turn || m.Looks == 1 {
		m.turn, m.AgreedAfter = turn, -1
	}
	agreed := len(views) == len(up)
	for _, x := range up {
		dead, others := 0, 0
		for by, v := range views {
			if by == x {
				continue
			}
			others++
			i := slices.IndexFunc(v.Members, func(s membership.MemberStatus) bool { return s.Name == x })
			switch {
			case i < 0 || v.Members[i].State != membership.StateAlive:
				agreed = false
				if i >= 0 && v.Members[i].State == membership.StateDead {
					dead++
				}
			}
		}
		if since, can := m.touch[x]; can && now-since >= mustKnow && others >= 2 && dead == others {
			m.CalledDead++
			if !slices.Contains(m.DeadByAll, x) {
				m.DeadByAll = append(m.DeadByAll, x)
			}
		}
	}
	for _, v := range views {
		for _, s := range v.Members {
			if s.State == membership.StateAlive && !slices.Contains(up, s.Name) {
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
