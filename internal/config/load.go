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

// Environment variables. A flag takes precedence over its variable, a variable over the file.
const (
	fileVariable   = "LB_CONFIG"
	nameVariable   = "LB_NAME"
	listenVariable = "LB_LISTEN"
)

// numberRange is the inclusive range of a number in the file, and its default.
type numberRange struct{ low, high, byDefault float64 }

var (
	coresRange    = numberRange{low: 0.01, high: 1024, byDefault: 1}
	memoryMBRange = numberRange{low: 24, high: 1 << 20, byDefault: 192}
	socketsRange  = numberRange{low: 64, high: 1 << 20, byDefault: 1024}
)

// maxBytesPerSecond exceeds the rate of any link; rates up to it fit an int64.
const maxBytesPerSecond = 1e15

// file is the schema of the configuration file. A nil pointer means that the key is missing.
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

// errNoFile means that neither the flag nor the environment variable names a configuration file.
var errNoFile = errors.New("no configuration file: --config and " + fileVariable + " are not set")

// Load reads and validates the configuration. Unknown keys of the file are ignored: the
// platform may write keys for other software.
func Load(overrides Overrides, getenv func(string) string) (*Config, error) {
	path := cmp.Or(overrides.File, getenv(fileVariable))
	if path == "" {
		return nil, errNoFile
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration file: %w", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, unmarshalError(path, err)
	}
	if name := cmp.Or(overrides.Name, getenv(nameVariable)); name != "" {
		f.Name = &name
	}
	if listen := cmp.Or(overrides.Listen, getenv(listenVariable)); listen != "" {
		f.Listen = &listen
	}
	return f.config()
}

// unmarshalError names the file, and the key if its value is of the wrong type.
func unmarshalError(path string, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Errorf("%s: %s: got %s, expected %s",
			path, typeError.Field, typeError.Value, jsonType(typeError.Type.String()))
	}
	return fmt.Errorf("%s: %w", path, err)
}

// jsonType returns the JSON type that a Go type is decoded from.
func jsonType(goType string) string {
	switch {
	case strings.HasPrefix(goType, "int"), strings.HasPrefix(goType, "float"):
		return "a number"
	case goType == "string":
		return "a string"
	case goType == "bool":
		return "a boolean"
	case strings.HasPrefix(goType, "[]"):
		return "an array"
	}
	return "an object"
}

// config validates the file and fills in defaults.
func (f *file) config() (*Config, error) {
	if err := f.checkRequired(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(*f.Seed, 16, 64)
	if err != nil {
		return nil, keyError{"seed", "not 1 to 16 hex digits"}
	}
	resources, err := f.resources()
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
		Cores:                resources.cores,
		MemoryMB:             resources.memoryMB,
		InitialUpdate:        f.InitialUpdate,
		Settings:             *f.Settings,
		Limits:               newLimits(f.Settings, resources.memoryMB, resources.sockets),
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
		return keyError{"listen", fmt.Sprintf("%q is not an IP address with a port", *f.Listen)}
	case !isAddrPort(*f.DiscoveryAddr):
		return keyError{"board", fmt.Sprintf("%q is not an IP address with a port", *f.DiscoveryAddr)}
	case f.Seed == nil:
		return keyError{"seed", "missing"}
	}
	return nil
}

func isAddrPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// machineResources are the resources of the machine that the router may use.
type machineResources struct {
	cores    float64
	memoryMB int
	sockets  int // descriptors of the process
}

func (f *file) resources() (machineResources, error) {
	cores, err := coresRange.check("limits.cores", f.Limits.Cores)
	if err != nil {
		return machineResources{}, err
	}
	memoryMB, err := memoryMBRange.check("limits.memory_mb", f.Limits.MemoryMB)
	if err != nil {
		return machineResources{}, err
	}
	sockets, err := socketsRange.check("limits.sockets", f.Limits.Sockets)
	if err != nil {
		return machineResources{}, err
	}
	return machineResources{cores: cores, memoryMB: int(memoryMB), sockets: int(sockets)}, nil
}

// check returns the value, or the default where the key is missing.
func (r numberRange) check(key string, value *float64) (float64, error) {
	if value == nil {
		return r.byDefault, nil
	}
	if *value < r.low || *value > r.high || math.IsNaN(*value) {
		return 0, keyError{key, fmt.Sprintf("%g is not within %g and %g", *value, r.low, r.high)}
	}
	return *value, nil
}

func checkRate(key string, bytesPerSecond float64) error {
	if bytesPerSecond < 0 || bytesPerSecond > maxBytesPerSecond {
		return keyError{key, fmt.Sprintf("%g is not within 0 and 1e15", bytesPerSecond)}
	}
	return nil
}
