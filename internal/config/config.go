// Package config reads, checks and completes the router's configuration: a JSON
// file, the LB_* variables over it, and flags over those. It also derives the
// limits for connections and memory (Limits). Errors name the key.
package config

import (
	"encoding/json"
	"reflect"

	"quilldoor/internal/settings"
)

// Overrides are the values of flags; empty ones leave what the variables and the file
// say.
type Overrides struct {
	File   string // path of the configuration file, in place of LB_CONFIG
	Name   string // in place of LB_NAME and the key "name"
	Listen string // in place of LB_LISTEN and the key "listen"
}

// Config is a checked configuration. Each field names its key in the file.
type Config struct {
	// Name of the router ("name"; required), as its log has it.
	Name string

	// Listen is the address with a port for clients ("listen"; required).
	Listen string

	// DiscoveryAddr is the address with a port of the discovery service ("board"; required). It may change while
	// the router runs.
	DiscoveryAddr string

	// Seed of the router's random decisions ("seed"; required), written as 1 to 16 hex digits.
	Seed uint64

	// Cores of the machine that the router may use ("limits.cores"; default 1), from 0.01 to 1024. Parts of a
	// core are cut off, but one is used at least.
	Cores float64

	// MemoryMB is the memory that the router may use, in megabytes ("limits.memory_mb"; default 192), from 24 to
	// 1048576. It bounds connections and bodies: with little, idle clients are closed sooner and large bodies wait
	// for each other.
	MemoryMB int

	// InitialUpdate is what discovery last told ("known"; default: nothing), in its own form. With it a router
	// serves before its first poll.
	InitialUpdate json.RawMessage

	// Settings describe the site ("settings"; required).
	Settings settings.Setup

	// Limits are derived from MemoryMB, Settings and the descriptors that the process may open ("limits.sockets";
	// default 1024), from 64 to 1048576.
	Limits *Limits

	// ClientBytesPerSecond is the rate of one transfer to a client ("flow_bytes_per_s"; default 0: not known).
	// The scores that upgrades are compared by allow for it, and the disk cache's estimate of a transfer's end.
	ClientBytesPerSecond int64

	// LinkBytesPerSecond is the rate of the router's link to its clients, for all transfers together
	// ("link_bytes_per_s"; default 0: not known). The disk cache serves nothing that the link would send too late.
	LinkBytesPerSecond int64
}

// LimitsFor returns the limits that the same settings give with other memory, in
// megabytes, and descriptors: two processes of a router share both.
func (c *Config) LimitsFor(memoryMB, sockets int) *Limits {
	return newLimits(&c.Settings, memoryMB, sockets)
}

// ImmutableChanges names the keys in which another configuration differs and
// which can't change while the router runs: all but the discovery service's
// address and what is known of its list.
func (c *Config) ImmutableChanges(other *Config) (keys []string) {
	sameLimits := c.Cores == other.Cores && c.MemoryMB == other.MemoryMB &&
		c.Limits.MaxDescriptors == other.Limits.MaxDescriptors
	for _, item := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name},
		{"listen", c.Listen == other.Listen},
		{"seed", c.Seed == other.Seed},
		{"limits", sameLimits},
		{"settings", reflect.DeepEqual(c.Settings, other.Settings)},
	} {
		if !item.same {
			keys = append(keys, item.key)
		}
	}
	return keys
}

// keyError names a key and what is wrong with it.
type keyError struct{ key, text string }

func (e keyError) Error() string { return e.key + ": " + e.text }
