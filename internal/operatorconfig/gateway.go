package operatorconfig

import (
	"cmp"
	"fmt"
	"net/netip"

	"quilldoor/internal/yamlfile"
)

// maxGatewayPeers bounds the connections: each peer takes two.
const maxGatewayPeers = 64

// Gateway connects this router to routers of other sites.
type Gateway struct {
	Name   string        `yaml:"name"` // as in the certificates and the files of peers
	Site   string        `yaml:"site"`
	Listen string        `yaml:"listen"` // address and port
	Peers  []GatewayPeer `yaml:"peers"`
	// MaxRequests bounds the requests forwarded to all peers, and those inbound from all
	// peers, at the same time (default 256).
	MaxRequests int `yaml:"most"`
	// LocalReserve is the share of MaxRequests that inbound requests never take, from 0
	// to below 1.
	LocalReserve float64 `yaml:"reserve"`
	// HeartbeatMS is the time between two heartbeats to a peer, in milliseconds (default
	// 250): a short one detects failures sooner and costs more messages.
	HeartbeatMS int    `yaml:"beat_ms"`
	CertFile    string `yaml:"cert"`
	KeyFile     string `yaml:"key"`
	CAFile      string `yaml:"ca"`
	StatusFile  string `yaml:"status_file"` // "": none
}

// GatewayPeer is a router of another site.
type GatewayPeer struct {
	Name string `yaml:"name"`
	Site string `yaml:"site"`
	Addr string `yaml:"addr"`
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
	g.MaxRequests = cmp.Or(g.MaxRequests, 256)
	g.HeartbeatMS = cmp.Or(g.HeartbeatMS, 250)
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
	for i, p := range g.Peers {
		key := fmt.Sprintf("gateway.peers[%d]", i)
		_, err := netip.ParseAddrPort(p.Addr)
		switch {
		case p.Name == "" || seen[p.Name]:
			return yamlfile.Errorf(key+".name", "%q is empty, stands twice or is this router's", p.Name)
		case p.Site == "" || p.Site == g.Site:
			return yamlfile.Errorf(key+".site", "%q is empty or this router's own", p.Site)
		case err != nil:
			return yamlfile.Errorf(key+".addr", "not an address with a port")
		}
		seen[p.Name] = true
	}
	return nil
}
