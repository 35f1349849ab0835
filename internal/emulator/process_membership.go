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
