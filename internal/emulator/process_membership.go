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

// membershipConfig returns the membership section of a router, and writes the key file that it
// names. The router reaches each peer through a datagram relay of its own, so that the scenario
// can cut and delay each direction.
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

// startDatagramRelay starts a relay for datagrams from this router to another one and returns its
// address. The simulated network decides which datagrams are delayed, lost or duplicated.
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
					_, _ = conn.WriteToUDPAddrPort(datagram, to.membershipAddr) // on an error the datagram is lost
				})
			}
		}
	})
	return conn.LocalAddr().String(), nil
}

// viewTarget is a router whose membership view is queried.
type viewTarget struct {
	name string
	addr netip.AddrPort
}

// watchMembership compares the routers' membership views at intervals. It queries them with the
// message that the router's own command sends.
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

// viewTargets returns the names of the routers that are up, and those of them that can answer a
// query. It reads them in the run's loop; ok is false once the run is over.
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

// queryViews queries the routers' views concurrently. The result omits routers that don't answer.
func queryViews(targets []viewTarget) map[string]*membership.View {
	type answer struct {
		name string
		view *membership.View
	}
	answers := make(chan answer, len(targets))
	for _, target := range targets {
		go func() {
			view, _ := transport.Query([]byte(membershipKey), target.name, target.addr) // nil on an error
			answers <- answer{target.name, view}
		}()
	}
	views := map[string]*membership.View{}
	for range targets {
		if received := <-answers; received.view != nil {
			views[received.name] = received.view
		}
	}
	return views
}

// compareViews compares the views, unless a router was killed while they were queried.
func (s *socketRun) compareViews(up []string, views map[string]*membership.View) {
	for _, name := range up {
		if !s.simulation.Up(s.routerByName(name)) {
			return
		}
	}
	s.membership.observe(s.simulation.Now(), s.simulation.LastFaultChange(), up, views)
}

// routerByName returns the ID of the router with a name that routerName returned.
func (s *socketRun) routerByName(name string) (routerID int) {
	_, _ = fmt.Sscanf(name, "n%d", &routerID) // 0 if the name has another form
	return routerID
}
