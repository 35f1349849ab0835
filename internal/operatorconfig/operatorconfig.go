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
	Disk    *Disk    `yaml:"disk"`
	Metrics *Metrics `yaml:"metrics"`
	Gateway *Gateway `yaml:"gateway"`
	Members *Members `yaml:"members"`
	Keep    *Keep    `yaml:"keep,omitempty"`
}

// Keep lets a keeper change the router's program and settings under load.
type Keep struct {
	Folder string  `yaml:"folder"` // the keeper's own
	ReadyS float64 `yaml:"ready_s"`
	TrialS float64 `yaml:"trial_s"`
	Plan   string  `yaml:"plan,omitempty"` // of rollouts; "": none
}

// Members lets the routers of a site know each other.
type Members struct {
	Name    string   `yaml:"name"`
	Place   string   `yaml:"place"`  // "": the zone of the settings
	Listen  string   `yaml:"listen"` // UDP
	KeyFile string   `yaml:"key_file"`
	Peers   []Member `yaml:"peers"`
	Rate    int      `yaml:"rate_bytes_per_s"`
}

// Member is a router to begin with. Its address goes before what others say.
type Member struct {
	Name string `yaml:"name"`
	Addr string `yaml:"addr"`
}

// Gateway joins this router to routers of another site.
type Gateway struct {
	Name    string  `yaml:"name"` // as peers' files and certificates have it
	Site    string  `yaml:"site"`
	Listen  string  `yaml:"listen"`
	Peers   []Peer  `yaml:"peers"`
	Most    int     `yaml:"most"`
	Reserve float64 `yaml:"reserve"`
	BeatMS  int     `yaml:"beat_ms"`
	Cert    string  `yaml:"cert"`
	Key     string  `yaml:"key"`
	CA      string  `yaml:"ca"`
	Status  string  `yaml:"status_file"`
}

// Peer is a router of another site.
type Peer struct {
	Name string `yaml:"name"`
	Site string `yaml:"site"`
	Addr string `yaml:"addr"`
}

// Disk is the tier of copies on disk.
type Disk struct {
	Path       string   `yaml:"path"`
	SizeMB     int      `yaml:"size_mb"`
	SlotKB     int      `yaml:"slot_kb"`
	MemoryMB   int      `yaml:"memory_mb"`
	WriteMBPS  int      `yaml:"write_mb_per_s"`
	QueueMB    int      `yaml:"queue_mb"`
	SyncMS     int      `yaml:"sync_ms"`
	Reads      int      `yaml:"reads"`
	ReadWaitMS int      `yaml:"read_wait_ms"`
	Rules      []string `yaml:"rules"` // empty: all that may be kept
}

// Metrics is a file of figures in the text format of Prometheus, for a collector
// that reads files: the platform permits no listener.
type Metrics struct {
	File   string `yaml:"file"`
	EveryS int    `yaml:"every_s"`
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
	if err := yamlfile.Read(name, text, c, c.check); err != nil {
		return nil, err
	}
	return c, nil
}

// check fills in what is not told and refuses what can't be worked with.
func (c *Config) check() error {
	if d := c.Disk; d != nil {
		if d.Path == "" {
			return yamlfile.Wrong("disk.path", "missing")
		}
		if !filepath.IsAbs(d.Path) {
			return yamlfile.Wrong("disk.path", "not an absolute path")
		}
		for _, n := range []struct {
			key               string
			at                *int
			without, low, top int
		}{
			{"size_mb", &d.SizeMB, 0, 16, 16 << 20},
			// 16 kB: a part of 240 kB wastes 3%, and a part costs 60 bytes of memory for its slots at most.
			{"slot_kb", &d.SlotKB, 16, diskstore.LeastSlot >> 10, diskstore.MostSlot >> 10},
			{"memory_mb", &d.MemoryMB, 16, 1, 64 << 10},
			{"write_mb_per_s", &d.WriteMBPS, 8, 1, 10_000},
			{"queue_mb", &d.QueueMB, 4, 1, 1 << 10},
			{"sync_ms", &d.SyncMS, 1000, 10, 60_000},
			{"reads", &d.Reads, 16, 1, 4096},
			{"read_wait_ms", &d.ReadWaitMS, 20, 1, 1000},
		} {
			if *n.at == 0 && n.without != 0 {
				*n.at = n.without
			}
			if *n.at < n.low || *n.at > n.top {
				return yamlfile.Wrong("disk."+n.key, "%d is not within %d and %d", *n.at, n.low, n.top)
			}
		}
		if d.Entries() < leastEntries {
			return yamlfile.Wrong("disk.memory_mb", "%d MB are too few for %d slots: use larger slots or more memory", d.MemoryMB, d.Slots())
		}
		for i, r := range d.Rules {
			if r == "" || slices.Index(d.Rules, r) < i {
				return yamlfile.Wrong(fmt.Sprintf("disk.rules[%d]", i), "%q is empty or stands twice", r)
			}
		}
	}
	if m := c.Metrics; m != nil {
		if m.File == "" || !filepath.IsAbs(m.File) {
			return yamlfile.Wrong("metrics.file", "not an absolute path")
		}
		if m.EveryS == 0 {
			m.EveryS = 10
		}
		if m.EveryS < 1 || m.EveryS > 3600 {
			return yamlfile.Wrong("metrics.every_s", "%d is not within 1 and 3600", m.EveryS)
		}
	}
	if m := c.Members; m != nil {
		if err := m.check(); err != nil {
			return err
		}
	}
	if k := c.Keep; k != nil {
		if k.Plan != "" && c.Members == nil {
			return yamlfile.Wrong("keep.plan", "rollouts go among routers that know each other: members is missing")
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

func (k *Keep) check() error {
	// A Unix socket's address holds 108 bytes.
	const mostFolder = 80
	if !filepath.IsAbs(k.Folder) || len(k.Folder) > mostFolder {
		return yamlfile.Wrong("keep.folder", "not an absolute path of up to %d bytes", mostFolder)
	}
	if k.Plan != "" && !filepath.IsAbs(k.Plan) {
		return yamlfile.Wrong("keep.plan", "not an absolute path")
	}
	k.ReadyS, k.TrialS = cmp.Or(k.ReadyS, 10), cmp.Or(k.TrialS, 30)
	if !(k.ReadyS >= 0.1 && k.ReadyS <= 600) {
		return yamlfile.Wrong("keep.ready_s", "%g is not within 0.1 and 600", k.ReadyS)
	}
	if !(k.TrialS >= 0.1 && k.TrialS <= 3600) {
		return yamlfile.Wrong("keep.trial_s", "%g is not within 0.1 and 3600", k.TrialS)
	}
	return nil
}

func (m *Members) check() error {
	const mostName, mostPeers = 64, 512
	addr, err := netip.ParseAddrPort(m.Listen)
	switch {
	case m.Name == "" || m.Name == "?" || len(m.Name) > mostName:
		return yamlfile.Wrong("members.name", "missing, or no name of up to %d bytes", mostName)
	case len(m.Place) > mostName:
		return yamlfile.Wrong("members.place", "longer than %d bytes", mostName)
	case err != nil || addr.Addr().IsUnspecified() || addr.Port() == 0:
		return yamlfile.Wrong("members.listen", "not an address with a port that others can reach")
	case !filepath.IsAbs(m.KeyFile):
		return yamlfile.Wrong("members.key_file", "not an absolute path")
	case len(m.Peers) == 0 || len(m.Peers) > mostPeers:
		return yamlfile.Wrong("members.peers", "%d of them, 1 to %d wanted", len(m.Peers), mostPeers)
	}
	// 300: below, a death takes longer to be passed on than to be found.
	if m.Rate = cmp.Or(m.Rate, 1500); m.Rate < 300 || m.Rate > 1_000_000 {
		return yamlfile.Wrong("members.rate_bytes_per_s", "%d is not within 300 and 1000000", m.Rate)
	}
	seen := map[string]bool{}
	for i, p := range m.Peers {
		key := fmt.Sprintf("members.peers[%d]", i)
		if p.Name == "" || p.Name == "?" || len(p.Name) > mostName || seen[p.Name] {
			return yamlfile.Wrong(key+".name", "%q is empty, too long or stands twice", p.Name)
		}
		if _, err := netip.ParseAddrPort(p.Addr); err != nil {
			return yamlfile.Wrong(key+".addr", "not an address with a port")
		}
		seen[p.Name] = true
	}
	return nil
}

func (g *Gateway) check() error {
	for key, text := range map[string]string{"name": g.Name, "site": g.Site, "cert": g.Cert, "key": g.Key, "ca": g.CA} {
		if text == "" {
			return yamlfile.Wrong("gateway."+key, "missing")
		}
	}
	if _, err := netip.ParseAddrPort(g.Listen); err != nil {
		return yamlfile.Wrong("gateway.listen", "not an address with a port")
	}
	const mostPeers = 64 // each keeps two connections
	if len(g.Peers) == 0 || len(g.Peers) > mostPeers {
		return yamlfile.Wrong("gateway.peers", "%d of them, 1 to %d wanted", len(g.Peers), mostPeers)
	}
	seen := map[string]bool{g.Name: true}
	for i, p := range g.Peers {
		key := fmt.Sprintf("gateway.peers[%d]", i)
		_, err := netip.ParseAddrPort(p.Addr)
		switch {
		case p.Name == "" || seen[p.Name]:
			return yamlfile.Wrong(key+".name", "%q is empty, stands twice or is this router's", p.Name)
		case p.Site == "" || p.Site == g.Site:
			return yamlfile.Wrong(key+".site", "%q is empty or this router's own", p.Site)
		case err != nil:
			return yamlfile.Wrong(key+".addr", "not an address with a port")
		}
		seen[p.Name] = true
	}
	g.Most, g.BeatMS = cmp.Or(g.Most, 256), cmp.Or(g.BeatMS, 250)
	switch {
	case g.Most < 1 || g.Most > 100_000:
		return yamlfile.Wrong("gateway.most", "%d is not within 1 and 100000", g.Most)
	case !(g.Reserve >= 0 && g.Reserve < 1):
		return yamlfile.Wrong("gateway.reserve", "%g is not within 0 and 1", g.Reserve)
	case g.BeatMS < 20 || g.BeatMS > 5000:
		return yamlfile.Wrong("gateway.beat_ms", "%d is not within 20 and 5000", g.BeatMS)
	}
	return nil
}

// Fixed names the parts in which another file differs: all of them take a restart.
func (c *Config) Fixed(other *Config) (keys []string) {
	if !reflect.DeepEqual(c.Disk, other.Disk) {
		keys = append(keys, "disk")
	}
	if !reflect.DeepEqual(c.Metrics, other.Metrics) {
		keys = append(keys, "metrics")
	}
	if !reflect.DeepEqual(c.Gateway, other.Gateway) {
		keys = append(keys, "gateway")
	}
	if !reflect.DeepEqual(c.Keep, other.Keep) {
		keys = append(keys, "keep")
	}
	if !reflect.DeepEqual(c.Members, other.Members) {
		keys = append(keys, "members")
	}
	return keys
}

// Slots is how many the disk's size gives.
func (d *Disk) Slots() int { return d.SizeMB << 10 / d.SlotKB }

// What the tier takes of memory: a slot's place in its chain and a bit; a part's
// entry, its places in the buckets and its share of the sketch, with tables of
// powers of two half empty at worst.
const (
	slotBytes    = 33.0 / 8
	partBytes    = 64 + 16 + 8
	leastEntries = 256
)

// Entries is how many parts the memory gives room for; never more than slots.
func (d *Disk) Entries() int {
	left := float64(d.MemoryMB)*(1<<20) - float64(d.Slots())*slotBytes
	return max(min(d.Slots(), int(left/partBytes)), 0)
}
