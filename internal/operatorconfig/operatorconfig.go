// Package operatorconfig reads the operator's own file: YAML that switches on what
// goes beyond the platform. An absent or empty file means that all of it is off.
package operatorconfig

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"

	"quilldoor/internal/diskcache/diskstore"
	"quilldoor/internal/yamlfile"
)

// DefaultPath is read where neither a flag nor LB_OPERATOR names a file; it may
// be absent, a named one may not.
const DefaultPath = "deploy/quilldoor.yaml"

// Config is the checked file. A nil part is off.
type Config struct {
	DiskCache  *DiskCache  `yaml:"disk"`
	Metrics    *Metrics    `yaml:"metrics"`
	Gateway    *Gateway    `yaml:"gateway"`
	Membership *Membership `yaml:"members"`
	Supervisor *Supervisor `yaml:"keep,omitempty"`
}

// Supervisor lets a keeper change the router's program and settings under load.
type Supervisor struct {
	Dir           string  `yaml:"folder"` // the keeper's own
	ReadyTimeoutS float64 `yaml:"ready_s"`
	TrialS        float64 `yaml:"trial_s"`
	RolloutPlan   string  `yaml:"plan,omitempty"` // of rollouts; "": none
}

// Membership lets the routers of a site know each other.
type Membership struct {
	Name           string           `yaml:"name"`
	Zone           string           `yaml:"place"`  // "": the zone of the settings
	Listen         string           `yaml:"listen"` // UDP
	KeyFile        string           `yaml:"key_file"`
	Peers          []MembershipPeer `yaml:"peers"`
	BytesPerSecond int              `yaml:"rate_bytes_per_s"`
}

// MembershipPeer is a router to begin with. Its address goes before what others say.
type MembershipPeer struct {
	Name string `yaml:"name"`
	Addr string `yaml:"addr"`
}

// Gateway joins this router to routers of another site.
type Gateway struct {
	Name         string        `yaml:"name"` // as peers' files and certificates have it
	Site         string        `yaml:"site"`
	Listen       string        `yaml:"listen"`
	Peers        []GatewayPeer `yaml:"peers"`
	MaxRequests  int           `yaml:"most"`
	LocalReserve float64       `yaml:"reserve"`
	HeartbeatMS  int           `yaml:"beat_ms"`
	CertFile     string        `yaml:"cert"`
	KeyFile      string        `yaml:"key"`
	CAFile       string        `yaml:"ca"`
	StatusFile   string        `yaml:"status_file"`
}

// GatewayPeer is a router of another site.
type GatewayPeer struct {
	Name string `yaml:"name"`
	Site string `yaml:"site"`
	Addr string `yaml:"addr"`
}

// DiskCache is the tier of copies on disk.
type DiskCache struct {
	Path               string   `yaml:"path"`
	SizeMB             int      `yaml:"size_mb"`
	SlotKB             int      `yaml:"slot_kb"`
	MemoryMB           int      `yaml:"memory_mb"`
	WriteMBPerSecond   int      `yaml:"write_mb_per_s"`
	QueueMB            int      `yaml:"queue_mb"`
	SyncIntervalMS     int      `yaml:"sync_ms"`
	MaxConcurrentReads int      `yaml:"reads"`
	ReadWaitMS         int      `yaml:"read_wait_ms"`
	TrafficClasses     []string `yaml:"rules"` // empty: all that may be kept
}

// Metrics is a file of figures in the text format of Prometheus, for a collector
// that reads files: the platform permits no listener.
type Metrics struct {
	File      string `yaml:"file"`
	IntervalS int    `yaml:"every_s"`
}

// Load reads the file that the flag names, else LB_OPERATOR, else the default.
func Load(flag string, env func(string) string) (*Config, error) {
	path := cmp.Or(flag, env("LB_OPERATOR"))
	text, err := os.ReadFile(cmp.Or(path, DefaultPath))
	if path == "" && errors.Is(err, fs.ErrNotExist) {
		return &Config{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(cmp.Or(path, DefaultPath), text)
}

// Parse reads and checks a file's text.
func Parse(name string, text []byte) (*Config, error) {
	c := &Config{}
	if err := yamlfile.Decode(name, text, c, c.check); err != nil {
		return nil, err
	}
	return c, nil
}

// check fills in what is not told and refuses what can't be worked with.
func (c *Config) check() error {
	if d := c.DiskCache; d != nil {
		if d.Path == "" {
			return yamlfile.Errorf("disk.path", "missing")
		}
		if !filepath.IsAbs(d.Path) {
			return yamlfile.Errorf("disk.path", "not an absolute path")
		}
		for _, n := range []struct {
			key               string
			at                *int
			without, low, top int
		}{
			{"size_mb", &d.SizeMB, 0, 16, 16 << 20},
			// 16 kB: a part of 240 kB wastes 3%, and a part costs 60 bytes of memory for its slots at most.
			{"slot_kb", &d.SlotKB, 16, diskstore.MinSlotBytes >> 10, diskstore.MaxSlotBytes >> 10},
			{"memory_mb", &d.MemoryMB, 16, 1, 64 << 10},
			{"write_mb_per_s", &d.WriteMBPerSecond, 8, 1, 10_000},
			{"queue_mb", &d.QueueMB, 4, 1, 1 << 10},
			{"sync_ms", &d.SyncIntervalMS, 1000, 10, 60_000},
			{"reads", &d.MaxConcurrentReads, 16, 1, 4096},
			{"read_wait_ms", &d.ReadWaitMS, 20, 1, 1000},
		} {
			if *n.at == 0 && n.without != 0 {
				*n.at = n.without
			}
			if *n.at < n.low || *n.at > n.top {
				return yamlfile.Errorf("disk."+n.key, "%d is not within %d and %d", *n.at, n.low, n.top)
			}
		}
		if d.MaxEntries() < leastEntries {
			return yamlfile.Errorf("disk.memory_mb", "%d MB are too few for %d slots: use larger slots or more memory", d.MemoryMB, d.Slots())
		}
		for i, r := range d.TrafficClasses {
			if r == "" || slices.Index(d.TrafficClasses, r) < i {
				return yamlfile.Errorf(fmt.Sprintf("disk.rules[%d]", i), "%q is empty or stands twice", r)
			}
		}
	}
	if m := c.Metrics; m != nil {
		if m.File == "" || !filepath.IsAbs(m.File) {
			return yamlfile.Errorf("metrics.file", "not an absolute path")
		}
		if m.IntervalS == 0 {
			m.IntervalS = 10
		}
		if m.IntervalS < 1 || m.IntervalS > 3600 {
			return yamlfile.Errorf("metrics.every_s", "%d is not within 1 and 3600", m.IntervalS)
		}
	}
	if m := c.Membership; m != nil {
		if err := m.check(); err != nil {
			return err
		}
	}
	if k := c.Supervisor; k != nil {
		if k.RolloutPlan != "" && c.Membership == nil {
			return yamlfile.Errorf("keep.plan", "rollouts go among routers that know each other: members is missing")
		}
		if err := k.check(); err != nil {
			return err
		}
	}
	if g := c.Gateway; g != nil {
		return g.check()
	}
	return nil
}

func (k *Supervisor) check() error {
	// A Unix socket's address holds 108 bytes.
	const mostFolder = 80
	if !filepath.IsAbs(k.Dir) || len(k.Dir) > mostFolder {
		return yamlfile.Errorf("keep.folder", "not an absolute path of up to %d bytes", mostFolder)
	}
	if k.RolloutPlan != "" && !filepath.IsAbs(k.RolloutPlan) {
		return yamlfile.Errorf("keep.plan", "not an absolute path")
	}
	k.ReadyTimeoutS, k.TrialS = cmp.Or(k.ReadyTimeoutS, 10), cmp.Or(k.TrialS, 30)
	if !(k.ReadyTimeoutS >= 0.1 && k.ReadyTimeoutS <= 600) {
		return yamlfile.Errorf("keep.ready_s", "%g is not within 0.1 and 600", k.ReadyTimeoutS)
	}
	if !(k.TrialS >= 0.1 && k.TrialS <= 3600) {
		return yamlfile.Errorf("keep.trial_s", "%g is not within 0.1 and 3600", k.TrialS)
	}
	return nil
}

func (m *Membership) check() error {
	const mostName, mostPeers = 64, 512
	addr, err := netip.ParseAddrPort(m.Listen)
	switch {
	case m.Name == "" || m.Name == "?" || len(m.Name) > mostName:
		return yamlfile.Errorf("members.name", "missing, or no name of up to %d bytes", mostName)
	case len(m.Zone) > mostName:
		return yamlfile.Errorf("members.place", "longer than %d bytes", mostName)
	case err != nil || addr.Addr().IsUnspecified() || addr.Port() == 0:
		return yamlfile.Errorf("members.listen", "not an address with a port that others can reach")
	case !filepath.IsAbs(m.KeyFile):
		return yamlfile.Errorf("members.key_file", "not an absolute path")
	case len(m.Peers) == 0 || len(m.Peers) > mostPeers:
		return yamlfile.Errorf("members.peers", "%d of them, 1 to %d wanted", len(m.Peers), mostPeers)
	}
	// 300: below, a death takes longer to be passed on than to be found.
	if m.BytesPerSecond = cmp.Or(m.BytesPerSecond, 1500); m.BytesPerSecond < 300 || m.BytesPerSecond > 1_000_000 {
		return yamlfile.Errorf("members.rate_bytes_per_s", "%d is not within 300 and 1000000", m.BytesPerSecond)
	}
	seen := map[string]bool{}
	for i, p := range m.Peers {
		key := fmt.Sprintf("members.peers[%d]", i)
		if p.Name == "" || p.Name == "?" || len(p.Name) > mostName || seen[p.Name] {
			return yamlfile.Errorf(key+".name", "%q is empty, too long or stands twice", p.Name)
		}
		if _, err := netip.ParseAddrPort(p.Addr); err != nil {
			return yamlfile.Errorf(key+".addr", "not an address with a port")
		}
		seen[p.Name] = true
	}
	return nil
}

func (g *Gateway) check() error {
	for key, text := range map[string]string{"name": g.Name, "site": g.Site, "cert": g.CertFile, "key": g.KeyFile, "ca": g.CAFile} {
		if text == "" {
			return yamlfile.Errorf("gateway."+key, "missing")
		}
	}
	if _, err := netip.ParseAddrPort(g.Listen); err != nil {
		return yamlfile.Errorf("gateway.listen", "not an address with a port")
	}
	const mostPeers = 64 // each keeps two connections
	if len(g.Peers) == 0 || len(g.Peers) > mostPeers {
		return yamlfile.Errorf("gateway.peers", "%d of them, 1 to %d wanted", len(g.Peers), mostPeers)
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
	g.MaxRequests, g.HeartbeatMS = cmp.Or(g.MaxRequests, 256), cmp.Or(g.HeartbeatMS, 250)
	switch {
	case g.MaxRequests < 1 || g.MaxRequests > 100_000:
		return yamlfile.Errorf("gateway.most", "%d is not within 1 and 100000", g.MaxRequests)
	case !(g.LocalReserve >= 0 && g.LocalReserve < 1):
		return yamlfile.Errorf("gateway.reserve", "%g is not within 0 and 1", g.LocalReserve)
	case g.HeartbeatMS < 20 || g.HeartbeatMS > 5000:
		return yamlfile.Errorf("gateway.beat_ms", "%d is not within 20 and 5000", g.HeartbeatMS)
	}
	return nil
}

// ImmutableChanges names the parts in which another file differs: all of them take a restart.
func (c *Config) ImmutableChanges(other *Config) (keys []string) {
	if !reflect.DeepEqual(c.DiskCache, other.DiskCache) {
		keys = append(keys, "disk")
	}
	if !reflect.DeepEqual(c.Metrics, other.Metrics) {
		keys = append(keys, "metrics")
	}
	if !reflect.DeepEqual(c.Gateway, other.Gateway) {
		keys = append(keys, "gateway")
	}
	if !reflect.DeepEqual(c.Supervisor, other.Supervisor) {
		keys = append(keys, "keep")
	}
	if !reflect.DeepEqual(c.Membership, other.Membership) {
		keys = append(keys, "members")
	}
	return keys
}

// Slots is how many the disk's size gives.
func (d *DiskCache) Slots() int { return d.SizeMB << 10 / d.SlotKB }

// What the tier takes of memory: a slot's place in its chain and a bit; a part's
// entry, its places in the buckets and its share of the sketch, with tables of
// powers of two half empty at worst.
const (
	slotBytes    = 33.0 / 8
	partBytes    = 64 + 16 + 8
	leastEntries = 256
)

// MaxEntries is how many parts the memory gives room for; never more than slots.
func (d *DiskCache) MaxEntries() int {
	left := float64(d.MemoryMB)*(1<<20) - float64(d.Slots())*slotBytes
	return max(min(d.Slots(), int(left/partBytes)), 0)
}
