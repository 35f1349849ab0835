package emulator

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/operatorconfig"
)

// membershipKey is the key that a run's routers sign their membership messages with.
const membershipKey = "of emulated routers on loopback only"

// membershipConfig is a router's membership section. It reaches each other router by a
// datagram relay of its own, so that the scenario can cut and delay each direction.
func (r *routerProcess) membershipConfig() (*operatorconfig.Membership, error) {
	path := filepath.Join(r.dir, "members.key")
	if err := os.WriteFile(path, []byte(membershipKey), 0o600); err != nil {
		return nil, err
	}
	config := &operatorconfig.Membership{Name: routerName(r.id), Listen: r.membershipAddr.String(), KeyFile: path}
	for _, peer := range r.routers {
		if peer == r {
			continue
		}
		addr, err := r.startDatagramRelay(peer)
		if err != nil {
			return nil, err
		}
		config.Peers = append(config.Peers, operatorconfig.MembershipPeer{Name: routerName(peer.id), Addr: addr})
	}
	return config, nil
}

// startDatagramRelay passes datagrams from this router to another one, delayed, lost or
// repeated as the simulated network says.
func (r *routerProcess) startDatagramRelay(to *routerProcess) (addr string, err error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	r.goroutines.Go(func() {
		<-r.ctx.Done()
		conn.Close()
	})
	r.goroutines.Go(func() {
		buffer := make([]byte, transport.MaxDatagram+1)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if r.ctx.Err() != nil {
				return
			}
			if err != nil {
				continue
			}
			now := r.now()
			for _, at := range r.simulation.Network.Transmit(now, r.id, to.id, n) {
				datagram := slices.Clone(buffer[:n])
				delay := time.Duration(at-now) * time.Microsecond
				time.AfterFunc(delay, func() {
					_, _ = conn.WriteToUDPAddrPort(datagram, to.membershipAddr) // a datagram may be lost
				})
			}
		}
	})
	return conn.LocalAddr().String(), nil
}

// viewTarget is a router whose membership view is asked for.
type viewTarget struct {
	name string
	addr netip.AddrPort
}

// watchMembership compares the routers' membership views time and again. It asks for them
// with the query that the router's own command uses.
func (s *socketRun) watchMembership() {
	for s.ctx.Err() == nil {
		up, targets, ok := s.viewTargets()
		if !ok {
			return
		}
		views := queryViews(targets)
		s.runInLoop(func() { s.compareViews(up, views) })
		select {
		case <-time.After(viewIntervalMicros * time.Microsecond):
		case <-s.ctx.Done():
		}
	}
}

// viewTargets asks the loop which routers are up, and which of them can answer. Not ok: the
// run is over.
func (s *socketRun) viewTargets() (up []string, targets []viewTarget, ok bool) {
	done := make(chan struct{})
	s.runInLoop(func() {
		defer close(done)
		for _, process := range s.routers {
			name := routerName(process.id)
			s.membership.recordReachable(s.simulation.Now(), name, reachable(s.simulation, process.id))
			if !s.simulation.Up(process.id) {
				continue
			}
			up = append(up, name)
			if !s.simulation.Suspended(process.id) {
				targets = append(targets, viewTarget{name, process.membershipAddr})
			}
		}
	})
	select {
	case <-done:
		return up, targets, true
	case <-s.ctx.Done():
		return nil, nil, false
	}
}

// queryViews asks routers for their views, all at once. Who doesn't answer is left out.
func queryViews(targets []viewTarget) map[string]*membership.View {
	type answer struct {
		name string
		view *membership.View
	}
	answers := make(chan answer, len(targets))
	for _, target := range targets {
		go func() {
			view, _ := transport.Query([]byte(membershipKey), target.name, target.addr) // nil where it fails
			answers <- answer{target.name, view}
		}()
	}
	views := map[string]*membership.View{}
	for range targets {
		if answered := <-answers; answered.view != nil {
			views[answered.name] = answered.view
		}
	}
	return views
}

// compareViews judges views, unless a router was killed while they were asked for.
func (s *socketRun) compareViews(up []string, views map[string]*membership.View) {
	for _, name := range up {
		if !s.simulation.Up(s.routerByName(name)) {
			return
		}
	}
	s.membership.observe(s.simulation.Now(), s.simulation.LastFaultChange(), up, views)
}

// routerByName is the reverse of routerName.
func (s *socketRun) routerByName(name string) (routerID int) {
	_, _ = fmt.Sscanf(name, "n%d", &routerID) // 0 where it is no such name
	return routerID
}
