package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"quilldoor/internal/settings"
)

const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024

	maxBytesPerSecond = 1e15
)

// file is the form of the configuration file; nil: the key is missing.
type file struct {
	Name   *string `json:"name"`
	Listen *string `json:"listen"`
	Seed   *string `json:"seed"`
	Limits struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *float64 `json:"memory_mb"`
		Sockets  *float64 `json:"sockets"`
	} `json:"limits"`
	DiscoveryAddr        *string         `json:"board"`
	ClientBytesPerSecond float64         `json:"flow_bytes_per_s"`
	LinkBytesPerSecond   float64         `json:"link_bytes_per_s"`
	InitialUpdate        json.RawMessage `json:"known"`
	Settings             *settings.Setup `json:"settings"`
}

// Load reads the configuration.
func Load(overrides Overrides, getenv func(string) string) (*Config, error) {
	path := cmp.Or(overrides.File, getenv("LB_CONFIG"))
	if path == "" {
		return nil, errors.New("LB_CONFIG: no configuration file named, here or by --config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, unmarshalError(path, err)
	}
	if name := cmp.Or(overrides.Name, getenv("LB_NAME")); name != "" {
		f.Name = &name
	}
	if listen := cmp.Or(overrides.Listen, getenv("LB_LISTEN")); listen != "" {
		f.Listen = &listen
	}
	return f.config()
}

// unmarshalError names the key whose value is of another type, or else the file.
func unmarshalError(path string, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Errorf("%s: %s where %s is wanted", typeError.Field, typeError.Value, kindOf(typeError.Type.String()))
	}
	return fmt.Errorf("%s: %w", path, err)
}

// kindOf describes a Go type as a user of JSON knows it.
func kindOf(goType string) string {
	switch {
	case strings.HasPrefix(goType, "int"), strings.HasPrefix(goType, "float"):
		return "a number"
	case goType == "string":
		return "a text"
	case goType == "bool":
		return "true or false"
	case strings.HasPrefix(goType, "[]"):
		return "a list"
	}
	return "an object"
}

// config checks the file and completes it.
func (f *file) config() (*Config, error) {
	if err := f.checkRequired(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(*f.Seed, 16, 64)
	if err != nil {
		return nil, keyError{"seed", "not 1 to 16 hex digits"}
	}
	cores, memoryMB, sockets, err := f.machineLimits()
	if err != nil {
		return nil, err
	}
	if err := checkRate("flow_bytes_per_s", f.ClientBytesPerSecond); err != nil {
		return nil, err
	}
	if err := checkRate("link_bytes_per_s", f.LinkBytesPerSecond); err != nil {
		return nil, err
	}
	if err := checkSettings(f.Settings); err != nil {
		return nil, err
	}
	return &Config{
		Name:                 *f.Name,
		Listen:               *f.Listen,
		DiscoveryAddr:        *f.DiscoveryAddr,
		Seed:                 seed,
		Cores:                cores,
		MemoryMB:             int(memoryMB),
		InitialUpdate:        f.InitialUpdate,
		Settings:             *f.Settings,
		Limits:               newLimits(f.Settings, int(memoryMB), int(sockets)),
		ClientBytesPerSecond: int64(f.ClientBytesPerSecond),
		LinkBytesPerSecond:   int64(f.LinkBytesPerSecond),
	}, nil
}

func (f *file) checkRequired() error {
	switch {
	case f.Name == nil || *f.Name == "":
		return keyError{"name", "missing"}
	case f.Listen == nil:
		return keyError{"listen", "missing"}
	case f.DiscoveryAddr == nil:
		return keyError{"board", "missing"}
	case f.Settings == nil:
		return keyError{"settings", "missing"}
	case !isAddrPort(*f.Listen):
		return keyError{"listen", "not an address with a port"}
	case !isAddrPort(*f.DiscoveryAddr):
		return keyError{"board", "not an address with a port"}
	case f.Seed == nil:
		return keyError{"seed", "missing"}
	}
	return nil
}

func isAddrPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// machineLimits returns what the router may use of the machine.
func (f *file) machineLimits() (cores, memoryMB, sockets float64, err error) {
	if cores, err = inRange("limits.cores", f.Limits.Cores, 0.01, 1024, defaultCores); err != nil {
		return 0, 0, 0, err
	}
	if memoryMB, err = inRange("limits.memory_mb", f.Limits.MemoryMB, 24, 1<<20, defaultMemoryMB); err != nil {
		return 0, 0, 0, err
	}
	if sockets, err = inRange("limits.sockets", f.Limits.Sockets, 64, 1<<20, defaultSockets); err != nil {
		return 0, 0, 0, err
	}
	return cores, memoryMB, sockets, nil
}

// inRange returns the value, or the default where the key is missing.
func inRange(key string, value *float64, least, most, missing float64) (float64, error) {
	if value == nil {
		return missing, nil
	}
	if *value < least || *value > most || math.IsNaN(*value) {
		return 0, keyError{key, fmt.Sprintf("%g is not within %g and %g", *value, least, most)}
	}
	return *value, nil
}

func checkRate(key string, bytesPerSecond float64) error {
	if bytesPerSecond < 0 || bytesPerSecond > maxBytesPerSecond {
		return keyError{key, fmt.Sprintf("%g is not within 0 and 1e15", bytesPerSecond)}
	}
	return nil
}
