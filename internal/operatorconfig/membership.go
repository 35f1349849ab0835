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
	minMembershipBytesPerSecond     = 300
	maxMembershipBytesPerSecond     = 1_000_000
	defaultMembershipBytesPerSecond = 1500
)

// Membership lets the routers of a site know each other: the part "members" of the file.
// The platform's settings have to permit messages between routers.
type Membership struct {
	// Name of this router, up to 64 bytes; required. No other router of the site may have
	// it.
	Name string `yaml:"name"`

	// Zone that this router tells the others, up to 64 bytes (default: the zone of the
	// settings).
	Zone string `yaml:"place"`

	// Listen is the UDP address and port that other routers reach this one at; required.
	// An address that stands for all of the machine's is refused.
	Listen string `yaml:"listen"`

	// KeyFile is the absolute path of the key that all routers of the site share;
	// required. Messages that are not authenticated by it are dropped.
	KeyFile string `yaml:"key_file"`

	// Peers are the routers to contact first, from 1 to 512. One that is alive is enough to
	// find all others; this router may be among them.
	Peers []MembershipPeer `yaml:"peers"`

	// BytesPerSecond bounds what this router sends, in bytes a second (default 1500), from
	// 300 to 1000000. A low rate spares the network and passes changes on slowly.
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
	m.BytesPerSecond = cmp.Or(m.BytesPerSecond, defaultMembershipBytesPerSecond)
	err = yamlfile.CheckRange("members.rate_bytes_per_s",
		m.BytesPerSecond, minMembershipBytesPerSecond, maxMembershipBytesPerSecond)
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
	for i, peer := range m.Peers {
		key := fmt.Sprintf("members.peers[%d]", i)
		if !validMembershipName(peer.Name) || seen[peer.Name] {
			return yamlfile.Errorf(key+".name", "%q is empty, too long or stands twice", peer.Name)
		}
		if _, err := netip.ParseAddrPort(peer.Addr); err != nil {
			return yamlfile.Errorf(key+".addr", "not an address with a port")
		}
		seen[peer.Name] = true
	}
	return nil
}
