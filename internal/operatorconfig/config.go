// Package operatorconfig reads the operator's file: YAML that enables features beyond the
// platform's configuration. Each part of the file enables one; a part that is missing
// leaves its feature off, and so does a missing file.
package operatorconfig

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"reflect"

	"quilldoor/internal/yamlfile"
)

// DefaultPath is read if neither a flag nor the environment names a file. It may be
// absent, unlike a named file.
const DefaultPath = "deploy/quilldoor.yaml"

// pathVariable is the environment variable for the path of the file.
const pathVariable = "LB_OPERATOR"

// Config is the validated file. A nil part is off. A change of any part takes effect after
// a restart.
type Config struct {
	DiskCache  *DiskCache  `yaml:"disk"`           // cache of responses on disk
	Metrics    *Metrics    `yaml:"metrics"`        // file for a metrics collector
	Gateway    *Gateway    `yaml:"gateway"`        // connections to routers of other sites
	Membership *Membership `yaml:"members"`        // the other routers of this site
	Supervisor *Supervisor `yaml:"keep,omitempty"` // upgrades without a restart
}

// Load reads the file at the path in the flag, else in the environment variable
// LB_OPERATOR, else at DefaultPath. The error of a file that can't be read wraps that of
// os.ReadFile.
func Load(flag string, getenv func(string) string) (*Config, error) {
	namedPath := cmp.Or(flag, getenv(pathVariable))
	path := cmp.Or(namedPath, DefaultPath)
	text, err := os.ReadFile(path)
	if namedPath == "" && errors.Is(err, fs.ErrNotExist) {
		return &Config{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse decodes and validates a file's text and fills in defaults. Its errors are of type
// *yamlfile.Error and name the file, the line and the key.
func Parse(name string, text []byte) (*Config, error) {
	c := &Config{}
	if err := yamlfile.Decode(name, text, c, c.validate); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) validate() error {
	if c.DiskCache != nil {
		if err := c.DiskCache.validate(); err != nil {
			return err
		}
	}
	if c.Metrics != nil {
		if err := c.Metrics.validate(); err != nil {
			return err
		}
	}
	if c.Membership != nil {
		if err := c.Membership.validate(); err != nil {
			return err
		}
	}
	if c.Supervisor != nil {
		if err := c.validateSupervisor(); err != nil {
			return err
		}
	}
	if c.Gateway != nil {
		return c.Gateway.validate()
	}
	return nil
}

func (c *Config) validateSupervisor() error {
	if c.Supervisor.RolloutPlan != "" && c.Membership == nil {
		return yamlfile.Errorf("keep.plan", "a rollout needs membership, but the part members is missing")
	}
	return c.Supervisor.validate()
}

// ImmutableChanges returns the keys of the parts in which another file differs. A change of
// any of them takes effect after a restart.
func (c *Config) ImmutableChanges(other *Config) (keys []string) {
	for _, part := range []struct {
		key           string
		before, after any
	}{
		{"disk", c.DiskCache, other.DiskCache},
		{"metrics", c.Metrics, other.Metrics},
		{"gateway", c.Gateway, other.Gateway},
		{"keep", c.Supervisor, other.Supervisor},
		{"members", c.Membership, other.Membership},
	} {
		if !reflect.DeepEqual(part.before, part.after) {
			keys = append(keys, part.key)
		}
	}
	return keys
}
