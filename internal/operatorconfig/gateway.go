package operatorconfig

import (
	"cmp"
	"fmt"
	"net/netip"

	"quilldoor/internal/yamlfile"
)

// maxGatewayPeers bounds the connections: each peer takes two.
const maxGatewayPeers = 64

const (
	defaultMaxGatewayRequests = 256
	defaultGatewayHeartbeatMS = 250
)

// Gateway connects this router to routers of other sites: the part "gateway" of the file.
type Gateway struct {
	// Name of this router, as in its certificate and in the files of its peers; required.
	Name string `yaml:"name"`

	// Site of this router; required. Peers are of other sites.
	Site string `yaml:"site"`

	// Listen is the TCP address and port for peers; required.
	Listen string `yaml:"listen"`

	// Peers are the routers to connect to, from 1 to 64.
	Peers []GatewayPeer `yaml:"peers"`

	// MaxRequests bounds the requests forwarded to all peers, and those inbound from all
	// peers, at the same time (default 256). A high number helps a site in need more, and
	// lets it take more of this one.
	MaxRequests int `yaml:"most"`

	// LocalReserve is the share of MaxRequests that inbound requests never take, from 0
	// (the default) to below 1. A large share protects this site's own requests and helps
	// peers less.
	LocalReserve float64 `yaml:"reserve"`

	// HeartbeatMS is the time between two heartbeats to a peer, in milliseconds (default
	// 250), from 20 to 5000. A short one detects failures sooner and costs more messages.
	HeartbeatMS int `yaml:"beat_ms"`

	// CertFile, KeyFile and CAFile are the paths of this router's certificate, its private
	// key, and the authority that signed the certificates of all peers, in PEM; required.
	// They are read again on SIGHUP.
	CertFile string `yaml:"cert"`
	KeyFile  string `yaml:"key"`
	CAFile   string `yaml:"ca"`

	// StatusFile is the path of a JSON file with the gateway's state, written every second
	// (default: none). 'quilldoor gateway status' shows it.
	StatusFile string `yaml:"status_file"`
}

// GatewayPeer is a router of another site.
type GatewayPeer struct {
	Name string `yaml:"name"` // as in its certificate
	Site string `yaml:"site"`
	Addr string `yaml:"addr"` // address and port of its gateway
}

func (g *Gateway) validate() error {
	for _, required := range []struct{ key, text string }{
		{"name", g.Name}, {"site", g.Site}, {"cert", g.CertFile}, {"key", g.KeyFile}, {"ca", g.CAFile},
	} {
		if required.text == "" {
			return yamlfile.Errorf("gateway."+required.key, "missing")
		}
	}
	if _, err := netip.ParseAddrPort(g.Listen); err != nil {
		return yamlfile.Errorf("gateway.listen", "not an address with a port")
	}
	if err := g.validatePeers(); err != nil {
		return err
	}
	g.MaxRequests = cmp.Or(g.MaxRequests, defaultMaxGatewayRequests)
	g.HeartbeatMS = cmp.Or(g.HeartbeatMS, defaultGatewayHeartbeatMS)
	if err := yamlfile.CheckRange("gateway.most", g.MaxRequests, 1, 100_000); err != nil {
		return err
	}
	if !(g.LocalReserve >= 0 && g.LocalReserve < 1) { // refuses NaN, too
		return yamlfile.Errorf("gateway.reserve", "%g is not within 0 and 1", g.LocalReserve)
	}
	return yamlfile.CheckRange("gateway.beat_ms", g.HeartbeatMS, 20, 5000)
}

func (g *Gateway) validatePeers() error {
	if len(g.Peers) == 0 || len(g.Peers) > maxGatewayPeers {
		return yamlfile.Errorf("gateway.peers", "%d of them, 1 to %d wanted", len(g.Peers), maxGatewayPeers)
	}
	seen := map[string]bool{g.Name: true}
	for i, peer := range g.Peers {
		key := fmt.Sprintf("gateway.peers[%d]", i)
		_, err := netip.ParseAddrPort(peer.Addr)
		switch {
		case peer.Name == "" || seen[peer.Name]:
			return yamlfile.Errorf(key+".name", "%q is empty, stands twice or is this router's", peer.Name)
		case peer.Site == "" || peer.Site == g.Site:
			return yamlfile.Errorf(key+".site", "%q is empty or this router's own", peer.Site)
		case err != nil:
			return yamlfile.Errorf(key+".addr", "not an address with a port")
		}
		seen[peer.Name] = true
	}
	return nil
}
