// Package config reads the router's configuration, validates it and fills in defaults.
// Its sources are a JSON file, the LB_* environment variables, which override the file,
// and flags, which override both. The package also derives the limits for connections and
// memory (Limits). An error about a value names its key.
package config

import (
	"encoding/json"
	"reflect"

	"quilldoor/internal/settings"
)

// Overrides are the values of flags. An empty one leaves the value of the environment
// variable or of the file.
type Overrides struct {
	File   string // path of the configuration file, in place of LB_CONFIG
	Name   string // in place of LB_NAME and the key "name"
	Listen string // in place of LB_LISTEN and the key "listen"
}

// Config is a validated configuration. The comment of each field names its key in the file.
type Config struct {
	// Name is the router's name ("name"; required), which it writes to its log.
	Name string

	// Listen is the IP address and port for clients ("listen"; required).
	Listen string

	// DiscoveryAddr is the IP address and port of the discovery service ("board"; required). It may change while
	// the router runs.
	DiscoveryAddr string

	// Seed is the seed of the router's random decisions ("seed"; required), written as 1 to 16 hex digits.
	Seed uint64

	// Cores is the number of the machine's cores that the router may use ("limits.cores"; default 1), from 0.01
	// to 1024. It is rounded down to a whole number, but at least one core is used.
	Cores float64

	// MemoryMB is the memory that the router may use, in megabytes ("limits.memory_mb"; default 192), from 24 to
	// 1048576. It bounds connections and bodies: with little memory, idle client connections are closed sooner and
	// large bodies wait for each other.
	MemoryMB int

	// InitialUpdate is the last update of the discovery service ("known"; default: none), in the format of the
	// service. With it, a router serves before its first poll.
	InitialUpdate json.RawMessage

	// Settings describe the site ("settings"; required).
	Settings settings.Setup

	// Limits are derived from MemoryMB, Settings and the number of descriptors that the process may open
	// ("limits.sockets"; default 1024), from 64 to 1048576.
	Limits *Limits

	// ClientBytesPerSecond is the rate of one transfer to a client ("flow_bytes_per_s"; default 0: unknown). The
	// scores by which upgrades are compared take it into account, and so does the disk cache's estimate of when a
	// transfer ends.
	ClientBytesPerSecond int64

	// LinkBytesPerSecond is the rate of the router's link to its clients, for all transfers together
	// ("link_bytes_per_s"; default 0: unknown). The disk cache serves no response that the link would send too late.
	LinkBytesPerSecond int64
}

// LimitsFor returns the limits for the same settings with another amount of memory, in
// megabytes, and another number of descriptors. During an upgrade two processes of a router
// share both.
func (c *Config) LimitsFor(memoryMB, sockets int) *Limits {
	return newLimits(&c.Settings, memoryMB, sockets)
}

// ImmutableChanges returns the keys in which another configuration differs and which
// can't change while the router runs. It covers neither the address of the discovery
// service, the initial update nor the rates of transfers.
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

// keyError is the error of one key: its path in the file and the reason.
type keyError struct{ key, text string }

func (e keyError) Error() string { return e.key + ": " + e.text }
