package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"quilldoor/internal/engine"
	"quilldoor/internal/gossip"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simfleet"
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

// know gives the routers of the virtual clock their knowledge of each other.
func (v *virtual) know() {
	if !v.set.Fleet.Membership {
		return
	}
	count := v.world.Routers()
	v.roster = simfleet.New(count, v.opt.Seed, v.world.Ways, func(h *simfleet.Host, now int64) simfleet.Detector {
		r := v.routers[h.ID]
		return membership.New(membership.Settings{
			Name: h.Name, Zone: scenario.Zone(v.world.Office(h.ID)), Addr: simfleet.Addr(h.ID),
			Seeds: simfleet.Seeds(count), Epoch: 1,
		}, rand.New(rand.NewPCG(v.opt.Seed, uint64(h.ID)<<32|r.starts)), now)
	})
	v.roster.Payloads = mailer{v}
	for i := range count {
		v.roster.Start(i)
	}
	var look func()
	look = func() {
		views := map[string]*membership.View{}
		var up []string
		for _, h := range v.roster.Hosts {
			v.knows.inTouch(v.world.Now(), h.Name, canTalk(v.world, h.ID))
			if h.Detector != nil {
				up = append(up, h.Name)
				if !v.routers[h.ID].stopped {
					views[h.Name] = h.Detector.(*membership.Node).View()
				}
			}
		}
		v.knows.look(v.world.Now(), v.world.LastTurn(), up, views)
		v.world.After(lookEvery, look)
	}
	v.world.After(lookEvery, look)
}

// longest is the longest time limit of the rules.
const longest = 5_000_000

// mailer is what virtual routers do with what they know, as the router does it.
type mailer struct{ *virtual }

func (m mailer) Digest(h *simfleet.Host) uint32 { return m.routers[h.ID].book.Digest() }

func (m mailer) HandlePayload(h *simfleet.Host, l membership.Payload) [][]byte {
	r := m.routers[h.ID]
	t := r.book.HandlePayload(m.now(), m.now(), l.From, l.Digest, l.Body, transport.MaxPayloadBytes)
	m.apply(r, t.Endpoints)
	for _, p := range t.Purges {
		r.core.Purge(m.now(), p.Object, p.Group, p.At)
	}
	m.settle()
	return t.Replies
}

func (m mailer) apply(r *vrouter, list []gossip.Endpoint) {
	if len(list) > 0 {
		r.core.UpdateEndpoints(m.now(), policy.ScopeDiff, coreServers(list))
	}
}

func (m mailer) Tick(h *simfleet.Host) {
	r, n := m.routers[h.ID], h.Detector.(*membership.Node)
	r.book.SetSingleConfirmation(n.Connectivity().Known < 3)
	m.apply(r, r.book.Tick(m.now(), m.now()))
	m.settle()
}

// known passes what the board tells, with what other routers know better.
func (v *virtual) known(r *vrouter, whole bool, list []engine.Endpoint) []engine.Endpoint {
	if r.book == nil {
		return list
	}
	out := make([]gossip.Endpoint, len(list))
	for i, s := range list {
		out[i] = gossip.Endpoint{Endpoint: s.Endpoint, Address: s.Address}
	}
	return coreServers(r.book.ApplyLocal(v.now(), whole, out))
}

func coreServers(list []gossip.Endpoint) (out []engine.Endpoint) {
	for _, s := range list {
		out = append(out, engine.Endpoint{Endpoint: s.Endpoint, Address: s.Address})
	}
	return out
}

// ---- On sockets ----

// membersKey is that of a run's routers.
const membersKey = "of rehearsals on loopback only"

// membersPart is a router's part of the operator's file: it reaches every other one
// by a way of its own.
func (r *process) membersPart() (*operatorconfig.Membership, error) {
	path := filepath.Join(r.dir, "members.key")
	if err := os.WriteFile(path, []byte(membersKey), 0o600); err != nil {
		return nil, err
	}
	m := &operatorconfig.Membership{Name: nameOf(r.id), Listen: r.members.String(), KeyFile: path}
	for _, x := range r.routers {
		if x == r {
			continue
		}
		addr, err := r.way(x)
		if err != nil {
			return nil, err
		}
		m.Peers = append(m.Peers, operatorconfig.MembershipPeer{Name: nameOf(x.id), Addr: addr})
	}
	return m, nil
}

// way passes datagrams from a router to another, as the world's ways say.
func (r *process) way(to *process) (addr string, err error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	r.all.Go(func() {
		<-r.ctx.Done()
		conn.Close()
	})
	r.all.Go(func() {
		b := make([]byte, transport.MaxDatagram+1)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(b)
			if r.ctx.Err() != nil {
				return
			}
			if err != nil {
				continue
			}
			now := r.now()
			for _, at := range r.world.Ways.Transmit(now, r.id, to.id, n) {
				word := slices.Clone(b[:n])
				time.AfterFunc(time.Duration(at-now)*time.Microsecond, func() { _, _ = conn.WriteToUDPAddrPort(word, to.members) })
			}
		}
	})
	return conn.LocalAddr().String(), nil
}

// watch looks at all views time and again, as a person would with the router's own
// command.
func (v *sockets) watch() {
	type target struct {
		id   int
		name string
		addr netip.AddrPort
	}
	for v.ctx.Err() == nil {
		var up []string
		var ask []target
		done := make(chan struct{})
		v.send(func() {
			defer close(done)
			for _, r := range v.routers {
				v.knows.inTouch(v.world.Now(), nameOf(r.id), canTalk(v.world, r.id))
				if v.world.Up(r.id) {
					up = append(up, nameOf(r.id))
					if !v.world.Stopped(r.id) {
						ask = append(ask, target{r.id, nameOf(r.id), r.members})
					}
				}
			}
		})
		select {
		case <-done:
		case <-v.ctx.Done():
			return
		}
		type got struct {
			name string
			view *membership.View
		}
		answers := make(chan got, len(ask))
		for _, t := range ask {
			go func() {
				view, _ := transport.Query([]byte(membersKey), t.name, t.addr)
				answers <- got{t.name, view}
			}()
		}
		views := map[string]*membership.View{}
		for range ask {
			if g := <-answers; g.view != nil {
				views[g.name] = g.view
			}
		}
		v.send(func() {
			// Who was killed or started while it was asked is looked at next time.
			for _, x := range up {
				if !v.world.Up(v.byName(x)) {
					return
				}
			}
			v.knows.look(v.world.Now(), v.world.LastTurn(), up, views)
		})
		select {
		case <-time.After(lookEvery * time.Microsecond):
		case <-v.ctx.Done():
		}
	}
}

func (v *sockets) byName(name string) (router int) {
	_, _ = fmt.Sscanf(name, "n%d", &router) // 0 where it is no such name
	return router
}
