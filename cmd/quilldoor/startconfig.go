package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"quilldoor/internal/config"
	"quilldoor/internal/discovery"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/upgrade"
)

// errPeerMessagesForbidden rejects a membership that the platform does not permit.
var errPeerMessagesForbidden = errors.New(
	"members: the settings forbid messages between routers (settings.Limits.PeerMessages)")

// startConfig is the configuration that a router starts with: the platform's and the
// operator's.
type startConfig struct {
	*config.Config
	initialUpdate  *discovery.Update
	operator       *operatorconfig.Config
	settingsDigest uint64 // 0: no supervisor is configured
}

// loadConfig reads and checks the configuration.
type loadConfig func() (*startConfig, error)

// flags are the flags shared by all commands.
type flags struct {
	overrides                         config.Overrides
	operatorFile, logLevel, logFormat string
}

// load reads and checks the configuration, at the start and for a reload.
func (f *flags) load() (*startConfig, error) {
	platform, err := config.Load(f.overrides, os.Getenv)
	if err != nil {
		return nil, err
	}
	initial := &discovery.Update{}
	if platform.InitialUpdate != nil {
		if initial, err = discovery.Parse(platform.InitialUpdate); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	operator, err := operatorconfig.Load(f.operatorFile, os.Getenv)
	if err != nil {
		return nil, err
	}
	if err := checkMembership(platform, operator.Membership); err != nil {
		return nil, err
	}
	c := &startConfig{Config: platform, initialUpdate: initial, operator: operator}
	if operator.Supervisor != nil {
		flat, err := flatten(f)
		if err != nil {
			return nil, err
		}
		c.settingsDigest = upgrade.Digest(flat)
	}
	return c, nil
}

// checkMembership checks that the platform permits the membership and that its key can be read.
func checkMembership(platform *config.Config, members *operatorconfig.Membership) error {
	if members == nil {
		return nil
	}
	if !platform.Settings.Limits.PeerMessages {
		return errPeerMessagesForbidden
	}
	_, err := transport.ReadKey(members.KeyFile)
	return err
}

// version returns the version of the Go module, with the commit if the build recorded it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text
}
