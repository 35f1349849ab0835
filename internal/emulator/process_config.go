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

// start starts the process with the list as it is.
func (r *routerProcess) start(known []simulation.Server) error {
	r.startCount++
	r.discoveryEvents = []string{r.endpointListEvent(1, known, true)}
	setup := r.scenario.Settings(r.world.Office(r.id), r.id)
	if r.options.Settings != nil {
		r.options.Settings(&setup)
	}
	fleet := &r.scenario.Fleet
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", r.id+1), "listen": r.clientAddr, "seed": fmt.Sprintf("%x", r.id+1+r.startCount<<16),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "board": r.discoveryListener.Addr().String(),
		"flow_bytes_per_s": fleet.FlowKBPerS * 1000, "link_bytes_per_s": fleet.FlowKBPerS * 4000,
		"known": json.RawMessage(`{"rev":1,"notices":[` + r.discoveryEvents[0] + `]}`), "settings": setup,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.configPath(), text, 0o600); err != nil {
		return err
	}
	return r.launch()
}

// writeOperatorConfig writes a router's own file: its gateway, with peers behind relays that
// are as far away as the script says and are cut with the sites, and its part among
// the routers of the site.
func (r *routerProcess) writeOperatorConfig() (err error) {
	site := func(peer *routerProcess) string { return scenario.Zone(r.scenario.Fleet.Site(r.world.Office(peer.id))) }
	file := func(name string) string { return filepath.Join(r.dir, name) }
	var config operatorconfig.Config
	if r.scenario.Fleet.Membership {
		if config.Membership, err = r.membershipConfig(); err != nil {
			return err
		}
	}
	if r.gatewayAddr != "" {
		config.Gateway = &operatorconfig.Gateway{
			Name: routerName(r.id), Site: site(r), Listen: r.gatewayAddr, LocalReserve: siteLocalReserve,
			MaxRequests: maxForwarded, HeartbeatMS: heartbeatMicros / 1000, CertFile: file(routerName(r.id) + ".pem"), KeyFile: file(routerName(r.id) + ".key"), CAFile: file("ca.pem"),
		}
	}
	for _, peer := range r.routers {
		if r.gatewayAddr == "" || site(peer) == site(r) {
			continue
		}
		addr, err := r.startRelay(peer.gatewayAddr)
		if err != nil {
			return err
		}
		config.Gateway.Peers = append(config.Gateway.Peers, operatorconfig.GatewayPeer{Name: routerName(peer.id), Site: site(peer), Addr: addr})
	}
	if n := r.scenario.Fleet.DiskMB; n > 0 {
		config.DiskCache = &operatorconfig.DiskCache{Path: file(routerName(r.id) + ".disk"), SizeMB: n}
		if err := os.MkdirAll(config.DiskCache.Path, 0o700); err != nil {
			return err
		}
	}
	if f := &r.scenario.Fleet; f.Supervised && !r.runsEarlier() {
		config.Supervisor = &operatorconfig.Supervisor{Dir: (&Kept{r.socketRun}).Folder(r.id), ReadyTimeoutS: readyTimeoutSeconds, TrialS: f.TrialS}
		if f.Membership {
			config.Supervisor.RolloutPlan = (&Kept{r.socketRun}).Plan()
		}
	}
	text, err := yaml.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(file(routerName(r.id)+".yaml"), text, 0o600)
}
