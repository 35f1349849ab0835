package operatorconfig

import (
	"cmp"
	"fmt"
	"net/netip"

	"quilldoor/internal/yamlfile"
)

// maxGatewayPeers bounds the connections to peers: each peer has two.
const maxGatewayPeers = 64

const (
	defaultMaxGatewayRequests = 256
	defaultGatewayHeartbeatMS = 250
)

// Gateway connects this router to routers of other sites: the part "gateway" of the file.
type Gateway struct {
	// Name is this router's name, as in its certificate and in the files of its peers;
	// required.
	Name string `yaml:"name"`

	// Site is this router's site; required. Peers belong to other sites.
	Site string `yaml:"site"`

	// Listen is the TCP address and port that accepts connections of peers; required.
	Listen string `yaml:"listen"`

	// Peers are the routers to connect to, from 1 to 64.
	Peers []GatewayPeer `yaml:"peers"`

	// MaxRequests bounds the concurrent requests forwarded to all peers, and likewise those
	// inbound from all peers (default 256). With a high number, an overloaded site is
	// relieved more and may use more of this site's capacity.
	MaxRequests int `yaml:"most"`

	// LocalReserve is the share of MaxRequests that is not available to inbound requests,
	// from 0 (the default) to below 1. A large share protects this site's own requests and
	// relieves peers less.
	LocalReserve float64 `yaml:"reserve"`

	// HeartbeatMS is the time between two heartbeats to a peer, in milliseconds (default
	// 250), from 20 to 5000. A short interval detects failures sooner and costs more
	// messages.
	HeartbeatMS int `yaml:"beat_ms"`

	// CertFile, KeyFile and CAFile are the paths of this router's certificate, its private
	// key, and the authority that signed the certificates of all peers, in PEM; required.
	// SIGHUP reloads them.
	CertFile string `yaml:"cert"`
	KeyFile  string `yaml:"key"`
	CAFile   string `yaml:"ca"`

	// StatusFile is the path of a JSON file with the gateway's state, written every second
	// (default: none). 'quilldoor gateway status' shows it.
	StatusFile string `yaml:"status_file"`
}

// GatewayPeer is a router of another site, to which this one connects.
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
		return yamlfile.Errorf("gateway.listen", "%q is not an IP address with a port", g.Listen)
	}
	if err := g.validatePeers(); err != nil {
		return err
	}
	g.MaxRequests = cmp.Or(g.MaxRequests, defaultMaxGatewayRequests)
	g.HeartbeatMS = cmp.Or(g.HeartbeatMS, defaultGatewayHeartbeatMS)
	if err := yamlfile.CheckRange("gateway.most", g.MaxRequests, 1, 100_000); err != nil {
		return err
	}
	if !(g.LocalReserve >= 0 && g.LocalReserve < 1) { // also refuses NaN
		return yamlfile.Errorf("gateway.reserve", "%g is not at least 0 and below 1", g.LocalReserve)
	}
	return yamlfile.CheckRange("gateway.beat_ms", g.HeartbeatMS, 20, 5000)
}

func (g *Gateway) validatePeers() error {
	if len(g.Peers) == 0 || len(g.Peers) > maxGatewayPeers {
		return yamlfile.Errorf("gateway.peers", "%d peers, expected 1 to %d", len(g.Peers), maxGatewayPeers)
	}
	seen := map[string]bool{g.Name: true}
	for i, peer := range g.Peers {
		key := fmt.Sprintf("gateway.peers[%d]", i)
		_, err := netip.ParseAddrPort(peer.Addr)
		switch {
		case peer.Name == "" || seen[peer.Name]:
			return yamlfile.Errorf(key+".name", "%q is empty, a duplicate or this router's own name", peer.Name)
		case peer.Site == "" || peer.Site == g.Site:
			return yamlfile.Errorf(key+".site", "%q is empty or this router's own site", peer.Site)
		case err != nil:
			return yamlfile.Errorf(key+".addr", "%q is not an IP address with a port", peer.Addr)
		}
		seen[peer.Name] = true
	}
	return nil
}
