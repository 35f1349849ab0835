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
	// minMembershipBytesPerSecond is the lowest rate at which a failure is passed on to all
	// members no slower than it is detected.
	minMembershipBytesPerSecond     = 300
	maxMembershipBytesPerSecond     = 1_000_000
	defaultMembershipBytesPerSecond = 1500
)

// Membership configures how the routers of a site discover each other and detect each
// other's failures: the part "members" of the file. The platform's settings have to permit
// messages between routers.
type Membership struct {
	// Name is this router's name, up to 64 bytes; required. It is unique in the site.
	Name string `yaml:"name"`

	// Zone is the zone that this router announces to the others, up to 64 bytes (default:
	// the zone of the settings).
	Zone string `yaml:"place"`

	// Listen is the UDP address and port at which other routers reach this one; required.
	// An unspecified address such as 0.0.0.0 is refused.
	Listen string `yaml:"listen"`

	// KeyFile is the absolute path of the key that all routers of the site share;
	// required. Messages that are not authenticated with this key are dropped.
	KeyFile string `yaml:"key_file"`

	// Peers are the routers to contact at the start, from 1 to 512. One that responds is
	// enough to discover all others. The list may include this router.
	Peers []MembershipPeer `yaml:"peers"`

	// BytesPerSecond bounds the rate at which this router sends messages, in bytes per
	// second (default 1500), from 300 to 1000000. A low rate saves bandwidth and passes
	// changes on slowly.
	BytesPerSecond int `yaml:"rate_bytes_per_s"`
}

// MembershipPeer is a router to contact at the start. Addr takes precedence over the
// address that other routers pass on.
type MembershipPeer struct {
	Name string `yaml:"name"`
	Addr string `yaml:"addr"`
}

func (m *Membership) validate() error {
	addr, err := netip.ParseAddrPort(m.Listen)
	switch {
	case !validMembershipName(m.Name):
		return yamlfile.Errorf("members.name", `%q is empty, "?" or longer than %d bytes`, m.Name, maxMembershipNameBytes)
	case len(m.Zone) > maxMembershipNameBytes:
		return yamlfile.Errorf("members.place", "%d bytes long, at most %d are allowed", len(m.Zone), maxMembershipNameBytes)
	case err != nil || addr.Addr().IsUnspecified() || addr.Port() == 0:
		return yamlfile.Errorf("members.listen", "%q is not a specific IP address with a port above 0", m.Listen)
	case !filepath.IsAbs(m.KeyFile):
		return yamlfile.Errorf("members.key_file", "%q is not an absolute path", m.KeyFile)
	case len(m.Peers) == 0 || len(m.Peers) > maxMembershipPeers:
		return yamlfile.Errorf("members.peers", "%d peers, expected 1 to %d", len(m.Peers), maxMembershipPeers)
	}
	m.BytesPerSecond = cmp.Or(m.BytesPerSecond, defaultMembershipBytesPerSecond)
	err = yamlfile.CheckRange("members.rate_bytes_per_s",
		m.BytesPerSecond, minMembershipBytesPerSecond, maxMembershipBytesPerSecond)
	if err != nil {
		return err
	}
	return m.validatePeers()
}

// validMembershipName rejects "?", which stands for a router whose name is not known yet.
func validMembershipName(name string) bool {
	return name != "" && name != "?" && len(name) <= maxMembershipNameBytes
}

func (m *Membership) validatePeers() error {
	seen := map[string]bool{}
	for i, peer := range m.Peers {
		key := fmt.Sprintf("members.peers[%d]", i)
		if !validMembershipName(peer.Name) || seen[peer.Name] {
			return yamlfile.Errorf(key+".name", `%q is empty, "?", longer than %d bytes or a duplicate`,
				peer.Name, maxMembershipNameBytes)
		}
		if _, err := netip.ParseAddrPort(peer.Addr); err != nil {
			return yamlfile.Errorf(key+".addr", "%q is not an IP address with a port", peer.Addr)
		}
		seen[peer.Name] = true
	}
	return nil
}
