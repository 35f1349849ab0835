// Package config reads, checks and completes the router's configuration: a JSON
// file, the LB_* variables over it, and flags over those. It also derives the
// limits that the sockets' side keeps to (Limits). Errors name the key.
package config

import (
	"encoding/json"
	"reflect"

	"quilldoor/internal/settings"
)

// Overrides are the values of flags; empty ones leave what the file and the
// variables say.
type Overrides struct{ File, Name, Listen string }

// Config is a checked configuration.
type Config struct {
	Name          string
	Listen        string // address with a port
	DiscoveryAddr string // address with a port
	Seed          uint64
	Cores         float64
	MemoryMB      int
	InitialUpdate json.RawMessage // for discovery; nil: nothing is known yet
	Settings      settings.Setup
	Limits        *Limits

	// Of the router's own link, 0 if not given: one transfer, and all together.
	ClientBytesPerSecond int64
	LinkBytesPerSecond   int64
}

// LimitsFor returns the limits that the same settings give with other memory and
// descriptors.
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
