package operatorconfig

import (
	"cmp"
	"fmt"
	"net/netip"
	"path/filepath"

	"quilldoor/internal/yamlfile"
)

const (
	maxMembershipNameBytes = 64
	maxMembershipPeers     = 512
	// minMembershipBytesPerSecond: at lower rates a failure takes longer to be passed on
	// than to be detected.
	minMembershipBytesPerSecond = 300
)

// Membership lets the routers of a site know each other.
type Membership struct {
	Name    string           `yaml:"name"`
	Zone    string           `yaml:"place"`  // "": the zone of the settings
	Listen  string           `yaml:"listen"` // UDP address that other routers can reach
	KeyFile string           `yaml:"key_file"`
	Peers   []MembershipPeer `yaml:"peers"`
	// BytesPerSecond bounds what this router sends (default 1500): a low rate passes
	// changes on slowly.
	BytesPerSecond int `yaml:"rate_bytes_per_s"`
}

// MembershipPeer is a router to contact first. Its address takes precedence over the one
// that other routers pass on.
type MembershipPeer struct {
	Name string `yaml:"name"`
	Addr string `yaml:"addr"`
}

func (m *Membership) validate() error {
	addr, err := netip.ParseAddrPort(m.Listen)
	switch {
	case !validMembershipName(m.Name):
		return yamlfile.Errorf("members.name", "missing, or no name of up to %d bytes", maxMembershipNameBytes)
	case len(m.Zone) > maxMembershipNameBytes:
		return yamlfile.Errorf("members.place", "longer than %d bytes", maxMembershipNameBytes)
	case err != nil || addr.Addr().IsUnspecified() || addr.Port() == 0:
		return yamlfile.Errorf("members.listen", "not an address with a port that others can reach")
	case !filepath.IsAbs(m.KeyFile):
		return yamlfile.Errorf("members.key_file", "not an absolute path")
	case len(m.Peers) == 0 || len(m.Peers) > maxMembershipPeers:
		return yamlfile.Errorf("members.peers", "%d of them, 1 to %d wanted", len(m.Peers), maxMembershipPeers)
	}
	m.BytesPerSecond = cmp.Or(m.BytesPerSecond, 1500)
	err = yamlfile.CheckRange("members.rate_bytes_per_s", m.BytesPerSecond, minMembershipBytesPerSecond, 1_000_000)
	if err != nil {
		return err
	}
	return m.validatePeers()
}

// validMembershipName excludes "?", which stands for a router whose name is not known yet.
func validMembershipName(name string) bool {
	return name != "" && name != "?" && len(name) <= maxMembershipNameBytes
}

func (m *Membership) validatePeers() error {
	seen := map[string]bool{}
	for i, p := range m.Peers {
		key := fmt.Sprintf("members.peers[%d]", i)
		if !validMembershipName(p.Name) || seen[p.Name] {
			return yamlfile.Errorf(key+".name", "%q is empty, too long or stands twice", p.Name)
		}
		if _, err := netip.ParseAddrPort(p.Addr); err != nil {
			return yamlfile.Errorf(key+".addr", "not an address with a port")
		}
		seen[p.Name] = true
	}
	return nil
}
