// Package operatorconfig reads the operator's own file: YAML that turns on what goes
// beyond the platform's configuration. A part that the file does not have is off, and so
// is everything if there is no file.
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

// DefaultPath is read where neither a flag nor the environment names a file. It may be
// absent; a named file may not.
const DefaultPath = "deploy/quilldoor.yaml"

// pathVariable is the environment variable that names the file.
const pathVariable = "LB_OPERATOR"

// Config is the validated file. A nil part is off. A change of any part takes a restart.
type Config struct {
	DiskCache  *DiskCache  `yaml:"disk"`           // cache of responses on disk
	Metrics    *Metrics    `yaml:"metrics"`        // file with metrics
	Gateway    *Gateway    `yaml:"gateway"`        // connections to routers of other sites
	Membership *Membership `yaml:"members"`        // the other routers of this site
	Supervisor *Supervisor `yaml:"keep,omitempty"` // upgrades under load
}

// Load reads the file that the flag names, else the environment variable LB_OPERATOR,
// else DefaultPath. The error of a file that can't be read wraps that of os.ReadFile.
func Load(flag string, getenv func(string) string) (*Config, error) {
	named := cmp.Or(flag, getenv(pathVariable))
	path := cmp.Or(named, DefaultPath)
	text, err := os.ReadFile(path)
	if named == "" && errors.Is(err, fs.ErrNotExist) {
		return &Config{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and validates a file's text and fills in defaults. Its errors are
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
		return yamlfile.Errorf("keep.plan", "rollouts go among routers that know each other: members is missing")
	}
	return c.Supervisor.validate()
}

// ImmutableChanges returns the keys of the parts in which another file differs. All of
// them take a restart.
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
