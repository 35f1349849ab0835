// Package config reads, checks and completes the router's configuration: a JSON
// file, the LB_* variables over it, and flags over those.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/settings"
)

// Overrides are the values of flags; empty ones leave what the file and the
// variables say.
type Overrides struct{ File, Name, Listen string }

// Config is a checked configuration.
type Config struct {
	Name, Listen, DiscoveryAddr              string
	Seed                                     uint64
	Cores                                    float64
	MemoryMB                                 int
	InitialUpdate                            json.RawMessage // nil: nothing known yet
	Settings                                 settings.Setup
	Limits                                   *Limits
	ClientBytesPerSecond, LinkBytesPerSecond int64 // of the router's own link, bytes a second: one transfer, all; 0: not told
}

type file struct {
	Name   *string `json:"name"`
	Listen *string `json:"listen"`
	Seed   *string `json:"seed"`
	Limits struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *float64 `json:"memory_mb"`
		Sockets  *float64 `json:"sockets"`
	} `json:"limits"`
	Board    *string         `json:"board"`
	Flow     float64         `json:"flow_bytes_per_s"`
	Link     float64         `json:"link_bytes_per_s"`
	Known    json.RawMessage `json:"known"`
	Settings *settings.Setup `json:"settings"`
}

// Load reads the configuration.
func Load(over Overrides, env func(string) string) (*Config, error) {
	path := cmp.Or(over.File, env("LB_CONFIG"))
	if path == "" {
		return nil, errors.New("LB_CONFIG: no configuration file named, here or by --config")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: %s where %s is wanted", wrong.Field, wrong.Value, kind(wrong.Type.String()))
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if name := cmp.Or(over.Name, env("LB_NAME")); name != "" {
		f.Name = &name
	}
	if listen := cmp.Or(over.Listen, env("LB_LISTEN")); listen != "" {
		f.Listen = &listen
	}
	return f.check()
}

func kind(goType string) string {
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

// fault names a key and what is wrong with it.
type fault struct{ key, text string }

func (f fault) Error() string { return f.key + ": " + f.text }

func (f *file) check() (*Config, error) {
	c := &Config{Cores: 1, MemoryMB: 192, InitialUpdate: f.Known, Settings: settings.Setup{}}
	switch {
	case f.Name == nil || *f.Name == "":
		return nil, fault{"name", "missing"}
	case f.Listen == nil:
		return nil, fault{"listen", "missing"}
	case f.Board == nil:
		return nil, fault{"board", "missing"}
	case f.Settings == nil:
		return nil, fault{"settings", "missing"}
	}
	c.Name, c.Listen, c.DiscoveryAddr, c.Settings = *f.Name, *f.Listen, *f.Board, *f.Settings
	for key, addr := range map[string]string{"listen": c.Listen, "board": c.DiscoveryAddr} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fault{key, "not an address with a port"}
		}
	}
	if f.Seed == nil {
		return nil, fault{"seed", "missing"}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(*f.Seed, 16, 64); err != nil {
		return nil, fault{"seed", "not 1 to 16 hex digits"}
	}
	sockets := 1024
	for _, n := range []struct {
		key        string
		from       *float64
		least, top float64
		to         func(float64)
	}{
		{"limits.cores", f.Limits.Cores, 0.01, 1024, func(v float64) { c.Cores = v }},
		{"limits.memory_mb", f.Limits.MemoryMB, 24, 1 << 20, func(v float64) { c.MemoryMB = int(v) }},
		{"limits.sockets", f.Limits.Sockets, 64, 1 << 20, func(v float64) { sockets = int(v) }},
	} {
		if n.from == nil {
			continue
		}
		if *n.from < n.least || *n.from > n.top || math.IsNaN(*n.from) {
			return nil, fault{n.key, fmt.Sprintf("%g is not within %g and %g", *n.from, n.least, n.top)}
		}
		n.to(*n.from)
	}
	for key, v := range map[string]float64{"flow_bytes_per_s": f.Flow, "link_bytes_per_s": f.Link} {
		if v < 0 || v > 1e15 {
			return nil, fault{key, fmt.Sprintf("%g is not within 0 and 1e15", v)}
		}
	}
	c.ClientBytesPerSecond, c.LinkBytesPerSecond = int64(f.Flow), int64(f.Link)
	if err := checkSettings(&c.Settings); err != nil {
		return nil, err
	}
	c.Limits = newLimits(&c.Settings, c.MemoryMB, sockets)
	return c, nil
}

// ImmutableChanges names the keys in which another configuration differs and which can't
// change while the router runs: all but the board's address and what is known.
func (c *Config) ImmutableChanges(other *Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name},
		{"listen", c.Listen == other.Listen},
		{"seed", c.Seed == other.Seed},
		{"limits", c.Cores == other.Cores && c.MemoryMB == other.MemoryMB && c.Limits.MaxDescriptors == other.Limits.MaxDescriptors},
		{"settings", reflect.DeepEqual(c.Settings, other.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// checkSettings refuses what the router can't work with, or what the protocol
// on sockets has no form for.
func checkSettings(s *settings.Setup) error {
	const longest = 60e3
	f, l := &s.FamilyInfo, &s.Limits
	switch {
	case len(s.Classes) == 0:
		return fault{"settings.Classes", "missing or empty"}
	case len(s.Kinds) == 0:
		return fault{"settings.Kinds", "missing or empty"}
	case s.Zone == "":
		return fault{"settings.Zone", "missing"}
	case len(s.Tenants) > 0:
		return fault{"settings.Tenants", "the protocol has no field that names a txn's tenant"}
	case f.MasterKind < 0 || f.MasterKind >= len(s.Kinds):
		return fault{"settings.FamilyInfo.MasterKind", "not a place in Kinds"}
	case f.SecondTierKind != nil && (*f.SecondTierKind < -1 || *f.SecondTierKind >= len(s.Kinds)):
		return fault{"settings.FamilyInfo.SecondTierKind", "not a place in Kinds"}
	}
	for key, v := range map[string]float64{
		"Limits.MostTries": float64(l.MostTries), "Limits.MaxOpen": float64(l.MaxOpen),
		"Limits.StreamsPerConn": float64(l.StreamsPerConn), "Limits.ConnectTimeoutMs": l.ConnectTimeoutMs,
		"Limits.ConnIdleMs": l.ConnIdleMs, "Limits.MaxRetryAfterMs": l.MaxRetryAfterMs,
		"Contract.AnswerSlackMs": s.Contract.AnswerSlackMs, "Contract.DrainGraceMs": s.Contract.DrainGraceMs,
		"Contract.ColdMs": s.Contract.ColdMs, "Contract.FallMs": s.Contract.FallMs,
		"FamilyInfo.ClearedWithinMs": f.ClearedWithinMs, "FamilyInfo.PurgeGraceMs": f.PurgeGraceMs,
		"Siblings": float64(s.Siblings),
	} {
		if v < 0 {
			return fault{"settings." + key, "negative"}
		}
	}
	for i, k := range s.Classes {
		key := fmt.Sprintf("settings.Classes[%d].", i)
		switch {
		case k.Name == "" || !cacheproto.IsPlain(k.Name):
			return fault{key + "Name", "not a plain word"}
		case k.Effect != "safe" && k.Effect != "keyed" && k.Effect != "unsafe":
			return fault{key + "Effect", fmt.Sprintf("%q is none of safe, keyed, unsafe", k.Effect)}
		case k.Streamed:
			return fault{key + "Streamed", "the protocol has no streams"}
		case k.TargetMs <= 0 || k.TargetMs > longest:
			return fault{key + "TargetMs", fmt.Sprintf("%g is not within 0 and %g", k.TargetMs, longest)}
		case k.GiveUpMs <= 0 || k.GiveUpMs > longest:
			return fault{key + "GiveUpMs", fmt.Sprintf("%g is not within 0 and %g", k.GiveUpMs, longest)}
		}
	}
	return nil
}

// Limits are the sizes, counts and times that the sockets' side keeps to.
type Limits struct {
	MemoryBytes int64 // bytes that the collector aims to stay under

	MaxDescriptors      int // descriptors of the process
	MaxClients          int // connections
	MaxUpstreamConns    int
	MaxConnsPerEndpoint int // before hops share a connection
	MaxStreamsPerConn   int // hops on a connection

	MaxHeadBytes     int   // bytes of a message's head
	MaxHeaderFields  int   // headers
	MaxRequestBody   int   // bytes of a client's body
	MaxDiscardBytes  int   // bytes read behind a refusal
	MaxResponseBody  int   // bytes of a cache server's body
	MaxDiscoveryBody int   // bytes of the notice board's answer
	MaxBufferedBytes int64 // bytes of bodies at once

	MaxRequestTimeout     time.Duration // time limits told are cut to this
	RequestReadTimeout    time.Duration // for a request to come whole: from its first byte, the first one from the start
	ClientIdleTimeout     time.Duration
	LingeringCloseTimeout time.Duration // behind a refusal, and for one to be taken in
	ResponseGrace         time.Duration // past a txn's time limit, for a slow reader
	ConnectTimeout        time.Duration
	MaxDecisionAge        time.Duration // how old the decision on a hop may be when it is written
	UpstreamIdleTimeout   time.Duration
	WriteTimeout          time.Duration // for a server to take a write in
	ResponseReadTimeout   time.Duration // for a server to finish an answer that it began
	ReadStallTimeout      time.Duration // within an answer, between two pieces of it
	LateResponseWindow    time.Duration // hops that are over, of which an answer may still come
	PollWait              time.Duration // of a poll
	PollGrace             time.Duration
	PollBackoffMin        time.Duration // after a failed poll, doubling
	PollBackoffMax        time.Duration

	ShutdownAcceptTime time.Duration // after SIGTERM
	ShutdownServeTime  time.Duration // after that, on open connections
	DrainTimeout       time.Duration // after that, for what was taken
}

// LimitsFor are the limits that the same settings give with other memory and descriptors.
func (c *Config) LimitsFor(memoryMB, sockets int) *Limits {
	return newLimits(&c.Settings, memoryMB, sockets)
}

const ms = time.Millisecond

func newLimits(s *settings.Setup, memoryMB, sockets int) *Limits {
	millis := func(v float64) time.Duration { return time.Duration(v * float64(ms)) }
	memory := int64(memoryMB) << 20
	l := &Limits{
		// The rest is for stacks, sockets' structures and the collector's overshoot.
		MemoryBytes: memory * 5 / 8,
		// The usual clients hold a third at most; the rest covers the listener, the
		// notice board and connections that are being closed. A connection takes 16 kB
		// to 20 kB: all of them fill three eighths of the memory at most, bodies half of that.
		MaxDescriptors: sockets, MaxClients: min(sockets*2/5, int(memory>>16)), MaxUpstreamConns: min(sockets*2/5, int(memory>>17)),
		MaxConnsPerEndpoint: 64, MaxStreamsPerConn: max(s.Limits.StreamsPerConn, 1),
		MaxHeadBytes: 16 << 10, MaxHeaderFields: 64, MaxRequestBody: 48_000, MaxDiscardBytes: 256 << 10, MaxResponseBody: 240_000, MaxDiscoveryBody: int(min(4<<20, memory/16)),
		MaxBufferedBytes: memory * 3 / 16,
		// A client that never gets to a request is owed an end within 3 s; usual ones
		// close their idle connections after 4 s.
		RequestReadTimeout: 2500 * ms, ClientIdleTimeout: 5 * time.Second, LingeringCloseTimeout: 400 * ms, ResponseGrace: 50 * ms,
		ConnectTimeout: cmp.Or(millis(s.Limits.ConnectTimeoutMs), 400*ms),
		// Servers close theirs at the full time; a hop must not cross that.
		UpstreamIdleTimeout: cmp.Or(millis(s.Limits.ConnIdleMs), 15*time.Second) * 4 / 5,
		WriteTimeout:        100 * ms, ReadStallTimeout: 400 * ms, PollWait: time.Second, PollGrace: 500 * ms,
		PollBackoffMin: 20 * ms, PollBackoffMax: 250 * ms,
		ShutdownAcceptTime: 450 * ms, ShutdownServeTime: 250 * ms,
	}
	for _, k := range s.Classes {
		l.MaxRequestTimeout = max(l.MaxRequestTimeout, millis(k.GiveUpMs))
	}
	// SIGKILL comes no sooner than 0.7 s and the longest time limit after SIGTERM, which
	// AcceptOn, ServeOn and this must stay within. What came in time ends sooner.
	l.DrainTimeout = max(l.MaxRequestTimeout-l.ResponseGrace, l.ResponseGrace)
	l.ResponseReadTimeout, l.LateResponseWindow = l.MaxRequestTimeout+time.Second, 2*l.MaxRequestTimeout
	// A hop may wait this long for its connection, and what was told meanwhile of
	// drains and purges must still be kept when it is written.
	l.MaxDecisionAge = l.MaxRequestTimeout
	for _, grace := range []float64{s.Contract.DrainGraceMs, s.FamilyInfo.PurgeGraceMs} {
		if grace > 0 {
			l.ConnectTimeout = min(l.ConnectTimeout, millis(grace)*3/4)
			l.MaxDecisionAge = min(l.MaxDecisionAge, millis(grace)*9/10)
		}
	}
	return l
}
