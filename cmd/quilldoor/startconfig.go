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

// errPeerMessagesForbidden keeps membership off where the platform does not permit it.
var errPeerMessagesForbidden = errors.New(
	"members: the settings forbid talk among routers (settings.Limits.PeerMessages)")

// startConfig is all that a router starts with.
type startConfig struct {
	*config.Config
	initialUpdate  *discovery.Update
	operator       *operatorconfig.Config
	settingsDigest uint64 // 0: no supervisor is configured
}

// loadConfig reads and checks the configuration.
type loadConfig func() (*startConfig, error)

// flags are those of the commands that read the configuration.
type flags struct {
	overrides                         config.Overrides
	operatorFile, logLevel, logFormat string
}

// load reads and checks the configuration, for the start and for a reload.
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

// version is that of the Go module, with the commit where the build knows it.
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
