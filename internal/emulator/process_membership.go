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

// membershipKey is that of a run's routers.
const membershipKey = "of rehearsals on loopback only"

// membershipConfig is a router's part of the operator's file: it reaches every other one
// by a way of its own.
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

// startDatagramRelay passes datagrams from a router to another, as the world's ways say.
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
			for _, at := range r.world.Ways.Transmit(now, r.id, to.id, n) {
				datagram := slices.Clone(buffer[:n])
				time.AfterFunc(time.Duration(at-now)*time.Microsecond, func() { _, _ = conn.WriteToUDPAddrPort(datagram, to.membershipAddr) })
			}
		}
	})
	return conn.LocalAddr().String(), nil
}

// watchMembership looks at all views time and again, as a person would with the router's own
// command.
func (v *socketRun) watchMembership() {
	type target struct {
		id   int
		name string
		addr netip.AddrPort
	}
	for v.ctx.Err() == nil {
		var up []string
		var targets []target
		done := make(chan struct{})
		v.runInLoop(func() {
			defer close(done)
			for _, r := range v.routers {
				v.membership.recordReachable(v.world.Now(), routerName(r.id), reachable(v.world, r.id))
				if v.world.Up(r.id) {
					up = append(up, routerName(r.id))
					if !v.world.Stopped(r.id) {
						targets = append(targets, target{r.id, routerName(r.id), r.membershipAddr})
					}
				}
			}
		})
		select {
		case <-done:
		case <-v.ctx.Done():
			return
		}
		type answer struct {
			name string
			view *membership.View
		}
		answers := make(chan answer, len(targets))
		for _, t := range targets {
			go func() {
				view, _ := transport.Query([]byte(membershipKey), t.name, t.addr)
				answers <- answer{t.name, view}
			}()
		}
		views := map[string]*membership.View{}
		for range targets {
			if answered := <-answers; answered.view != nil {
				views[answered.name] = answered.view
			}
		}
		v.runInLoop(func() {
			// Who was killed or started while it was asked is looked at next time.
			for _, name := range up {
				if !v.world.Up(v.routerByName(name)) {
					return
				}
			}
			v.membership.observe(v.world.Now(), v.world.LastTurn(), up, views)
		})
		select {
		case <-time.After(viewIntervalMicros * time.Microsecond):
		case <-v.ctx.Done():
		}
	}
}

func (v *socketRun) routerByName(name string) (router int) {
	_, _ = fmt.Sscanf(name, "n%d", &router) // 0 where it is no such name
	return router
}
