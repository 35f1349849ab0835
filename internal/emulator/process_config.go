package emulator

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"

	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// run starts the process with the list as it is.
func (r *process) run(known []simulation.Server) error {
	r.starts++
	r.events = []string{r.pool(1, known, true)}
	setup := r.set.Settings(r.world.Office(r.id), r.id)
	if r.opt.Settings != nil {
		r.opt.Settings(&setup)
	}
	f := &r.set.Fleet
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", r.id+1), "listen": r.listen, "seed": fmt.Sprintf("%x", r.id+1+r.starts<<16),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "board": r.board.Addr().String(),
		"flow_bytes_per_s": f.FlowKBPerS * 1000, "link_bytes_per_s": f.FlowKBPerS * 4000,
		"known": json.RawMessage(`{"rev":1,"notices":[` + r.events[0] + `]}`), "settings": setup,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.config(), text, 0o600); err != nil {
		return err
	}
	return r.exec()
}

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
