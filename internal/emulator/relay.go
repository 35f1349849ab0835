package emulator

import (
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/scenario"
)

// operator writes a router's own file: its gateway, with peers behind relays that
// are as far away as the script says and are cut with the sites, and its part among
// the routers of the site.
func (r *process) operator() (err error) {
	site := func(x *process) string { return scenario.Zone(r.set.Fleet.Site(r.world.Office(x.id))) }
	file := func(name string) string { return filepath.Join(r.dir, name) }
	var own operatorconfig.Config
	if r.set.Fleet.Membership {
		if own.Membership, err = r.membersPart(); err != nil {
			return err
		}
	}
	if r.gate != "" {
		own.Gateway = &operatorconfig.Gateway{
			Name: nameOf(r.id), Site: site(r), Listen: r.gate, LocalReserve: siteRatio,
			MaxRequests: mostAcross, HeartbeatMS: beatEvery / 1000, CertFile: file(nameOf(r.id) + ".pem"), KeyFile: file(nameOf(r.id) + ".key"), CAFile: file("ca.pem"),
		}
	}
	for _, x := range r.routers {
		if r.gate == "" || site(x) == site(r) {
			continue
		}
		addr, err := r.relay(x.gate)
		if err != nil {
			return err
		}
		own.Gateway.Peers = append(own.Gateway.Peers, operatorconfig.GatewayPeer{Name: nameOf(x.id), Site: site(x), Addr: addr})
	}
	if n := r.set.Fleet.DiskMB; n > 0 {
		own.DiskCache = &operatorconfig.DiskCache{Path: file(nameOf(r.id) + ".disk"), SizeMB: n}
		if err := os.MkdirAll(own.DiskCache.Path, 0o700); err != nil {
			return err
		}
	}
	if f := &r.set.Fleet; f.Supervised && !r.earlier() {
		own.Supervisor = &operatorconfig.Supervisor{Dir: (&Kept{r.sockets}).Folder(r.id), ReadyTimeoutS: keptReady, TrialS: f.TrialS}
		if f.Membership {
			own.Supervisor.RolloutPlan = (&Kept{r.sockets}).Plan()
		}
	}
	text, err := yaml.Marshal(own)
	if err != nil {
		return err
	}
	return os.WriteFile(file(nameOf(r.id)+".yaml"), text, 0o600)
}

// relay passes connections on, late by the way between sites. While they are cut
// bytes wait, as they do with TCP.
func (v *sockets) relay(to string) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v.all.Go(func() {
		<-v.ctx.Done()
		l.Close()
	})
	v.all.Go(func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				continue
			}
			v.all.Go(func() { v.pass(a, b) })
			v.all.Go(func() { v.pass(b, a) })
		}
	})
	return l.Addr().String(), nil
}

func (v *sockets) pass(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	way := time.Duration(v.set.Fleet.SiteMS * float64(time.Millisecond))
	type piece struct {
		at time.Time
		b  []byte
	}
	pieces := make(chan piece, 1024)
	v.all.Go(func() {
		defer to.Close()
		defer from.Close()
		for {
			select {
			case <-v.ctx.Done():
				return
			case p, more := <-pieces:
				if !more {
					return
				}
				time.Sleep(time.Until(p.at.Add(way)))
				for v.cut.Load() && v.ctx.Err() == nil {
					time.Sleep(5 * time.Millisecond)
				}
				if _, err := to.Write(p.b); err != nil {
					return
				}
			}
		}
	})
	defer close(pieces)
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if err != nil {
			return
		}
		select {
		case pieces <- piece{time.Now(), b[:n]}:
		case <-v.ctx.Done():
			return
		}
	}
}
