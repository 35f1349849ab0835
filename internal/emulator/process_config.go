package emulator

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"

	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// Limits of each router process in the platform's configuration.
const (
	processCores    = 1
	processMemoryMB = 192
	processSockets  = 1024
	// flowsPerLink is the number of flows at full rate that a router's link carries.
	flowsPerLink = 4
)

// platformName is the router's name in the platform's configuration. It counts from 1 and so
// differs from routerName, as the platform's names are independent of the names in the operator's
// configuration. The emulator's errors use platformName, as the router's own log does.
func (r *routerProcess) platformName() string { return fmt.Sprint("n", r.id+1) }

// start writes the platform's configuration with the given endpoint list, and starts the process.
func (r *routerProcess) start(endpoints []policy.Endpoint) error {
	r.startCount++
	r.discoveryEvents = []json.RawMessage{r.encodeEvent(r.newEndpointListEvent(1, endpoints, true))}
	setup := r.scenario.Settings(r.simulation.Office(r.id), r.id)
	if r.options.Settings != nil {
		r.options.Settings(&setup)
	}
	fleet := &r.scenario.Fleet
	text, err := json.Marshal(platformConfig{
		Name:          r.platformName(),
		Listen:        r.clientAddr,
		Seed:          fmt.Sprintf("%x", r.id+1+r.startCount<<16),
		Limits:        processLimits{Cores: processCores, MemoryMB: processMemoryMB, Sockets: processSockets},
		Discovery:     r.discoveryListener.Addr().String(),
		FlowBytesPerS: fleet.FlowKBPerS * bytesPerKB,
		LinkBytesPerS: fleet.FlowKBPerS * flowsPerLink * bytesPerKB,
		Known:         discoveryUpdate{Revision: 1, Events: r.discoveryEvents},
		Settings:      setup,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.configPath(), text, 0o600); err != nil {
		return err
	}
	return r.launch()
}

// writeOperatorConfig writes the router's operator configuration, with the sections that the
// scenario requires.
func (r *routerProcess) writeOperatorConfig() (err error) {
	var config operatorconfig.Config
	if r.scenario.Fleet.Membership {
		if config.Membership, err = r.membershipConfig(); err != nil {
			return err
		}
	}
	if r.gatewayAddr != "" {
		if config.Gateway, err = r.gatewayConfig(); err != nil {
			return err
		}
	}
	if size := r.scenario.Fleet.DiskMB; size > 0 {
		config.DiskCache = &operatorconfig.DiskCache{Path: r.file(".disk"), SizeMB: size}
		if err := os.MkdirAll(config.DiskCache.Path, 0o700); err != nil {
			return err
		}
	}
	if r.scenario.Fleet.Supervised && !r.runsEarlierVersion() {
		config.Supervisor = r.supervisorConfig()
	}
	text, err := yaml.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(r.operatorPath(), text, 0o600)
}

// gatewayConfig returns the gateway section of a router. The gateway connects to each peer through
// a relay, which adds the scenario's latency between sites and holds bytes back while the sites
// are cut.
func (r *routerProcess) gatewayConfig() (*operatorconfig.Gateway, error) {
	config := &operatorconfig.Gateway{
		Name:         routerName(r.id),
		Site:         r.site(),
		Listen:       r.gatewayAddr,
		LocalReserve: siteLocalReserve,
		MaxRequests:  maxForwarded,
		HeartbeatMS:  heartbeatMicros / microsPerMilli,
		CertFile:     r.file(".pem"),
		KeyFile:      r.file(".key"),
		CAFile:       filepath.Join(r.dir, "ca.pem"),
	}
	for _, peer := range r.routers {
		if peer.site() == r.site() {
			continue
		}
		addr, err := r.startRelay(peer.gatewayAddr)
		if err != nil {
			return nil, err
		}
		config.Peers = append(config.Peers, operatorconfig.GatewayPeer{
			Name: routerName(peer.id), Site: peer.site(), Addr: addr,
		})
	}
	return config, nil
}

// supervisorConfig returns the supervisor section of a router.
func (r *routerProcess) supervisorConfig() *operatorconfig.Supervisor {
	config := &operatorconfig.Supervisor{
		Dir:           r.supervisorDir(),
		ReadyTimeoutS: readyTimeoutSeconds,
		TrialS:        r.scenario.Fleet.TrialS,
	}
	if r.scenario.Fleet.Membership {
		config.RolloutPlan = r.planPath()
	}
	return config
}

// site is the name of the router's site.
func (r *routerProcess) site() string {
	return scenario.Zone(r.scenario.Fleet.Site(r.simulation.Office(r.id)))
}

// file is the path of a file of this router in the run's folder.
func (r *routerProcess) file(suffix string) string {
	return filepath.Join(r.dir, routerName(r.id)+suffix)
}
