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
	Name, Listen, Board string
	Seed                uint64
	Cores               float64
	MemoryMB            int
	Known               json.RawMessage // nil: nothing known yet
	Settings            settings.Setup
	Limits              *Limits
	Flow, Link          int64 // of the router's own link, bytes a second: one transfer, all; 0: not told
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
	c := &Config{Cores: 1, MemoryMB: 192, Known: f.Known, Settings: settings.Setup{}}
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
	c.Name, c.Listen, c.Board, c.Settings = *f.Name, *f.Listen, *f.Board, *f.Settings
	for key, addr := range map[string]string{"listen": c.Listen, "board": c.Board} {
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
	c.Flow, c.Link = int64(f.Flow), int64(f.Link)
	if err := checkSettings(&c.Settings); err != nil {
		return nil, err
	}
	c.Limits = newLimits(&c.Settings, c.MemoryMB, sockets)
	return c, nil
}

// Fixed names the keys in which another configuration differs and which can't
// change while the router runs: all but the board's address and what is known.
func (c *Config) Fixed(other *Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name}, {"listen", c.Listen == other.Listen}, {"seed", c.Seed == other.Seed},
		{"limits", c.Cores == other.Cores && c.MemoryMB == other.MemoryMB && c.Limits.Sockets == other.Limits.Sockets},
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
		case k.Name == "" || !cacheproto.Plain(k.Name):
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
	Memory int64 // bytes that the collector aims to stay under

	Sockets   int // descriptors of the process
	Clients   int // connections
	Upstream  int
	PerServer int // before hops share a connection
	Streams   int // hops on a connection

	Head    int   // bytes of a message's head
	Fields  int   // headers
	Upload  int   // bytes of a client's body
	ReadOff int   // bytes read behind a refusal
	Answer  int   // bytes of a cache server's body
	News    int   // bytes of the notice board's answer
	Held    int64 // bytes of bodies at once

	LongestTxn   time.Duration // time limits told are cut to this
	RequestTime  time.Duration // for a request to come whole: from its first byte, the first one from the start
	IdleClient   time.Duration
	ReadOn       time.Duration // behind a refusal, and for one to be taken in
	ReplySlack   time.Duration // past a txn's time limit, for a slow reader
	Connect      time.Duration
	Decided      time.Duration // how old the decision on a hop may be when it is written
	IdleUpstream time.Duration
	Write        time.Duration // for a server to take a write in
	Frame        time.Duration // for a server to finish an answer that it began
	Stall        time.Duration // within an answer, between two pieces of it
	Remember     time.Duration // hops that are over, of which an answer may still come
	Linger       time.Duration // of a poll
	PollSlack    time.Duration
	RetryFirst   time.Duration // after a failed poll, doubling
	RetryMost    time.Duration

	AcceptOn time.Duration // after SIGTERM
	ServeOn  time.Duration // after that, on open connections
	DrainFor time.Duration // after that, for what was taken
}

// Within are the limits that the same settings give with other memory and descriptors.
func (c *Config) Within(memoryMB, sockets int) *Limits {
	return newLimits(&c.Settings, memoryMB, sockets)
}

const ms = time.Millisecond

func newLimits(s *settings.Setup, memoryMB, sockets int) *Limits {
	millis := func(v float64) time.Duration { return time.Duration(v * float64(ms)) }
	memory := int64(memoryMB) << 20
	l := &Limits{
		// The rest is for stacks, sockets' structures and the collector's overshoot.
		Memory: memory * 5 / 8,
		// The usual clients hold a third at most; the rest covers the listener, the
		// notice board and connections that are being closed. A connection takes 16 kB
		// to 20 kB: all of them fill three eighths of the memory at most, bodies half of that.
		Sockets: sockets, Clients: min(sockets*2/5, int(memory>>16)), Upstream: min(sockets*2/5, int(memory>>17)),
		PerServer: 64, Streams: max(s.Limits.StreamsPerConn, 1),
		Head: 16 << 10, Fields: 64, Upload: 48_000, ReadOff: 256 << 10, Answer: 240_000, News: int(min(4<<20, memory/16)),
		Held: memory * 3 / 16,
		// A client that never gets to a request is owed an end within 3 s; usual ones
		// close their idle connections after 4 s.
		RequestTime: 2500 * ms, IdleClient: 5 * time.Second, ReadOn: 400 * ms, ReplySlack: 50 * ms,
		Connect: cmp.Or(millis(s.Limits.ConnectTimeoutMs), 400*ms),
		// Servers close theirs at the full time; a hop must not cross that.
		IdleUpstream: cmp.Or(millis(s.Limits.ConnIdleMs), 15*time.Second) * 4 / 5,
		Write:        100 * ms, Stall: 400 * ms, Linger: time.Second, PollSlack: 500 * ms,
		RetryFirst: 20 * ms, RetryMost: 250 * ms,
		AcceptOn: 450 * ms, ServeOn: 250 * ms,
	}
	for _, k := range s.Classes {
		l.LongestTxn = max(l.LongestTxn, millis(k.GiveUpMs))
	}
	// SIGKILL comes no sooner than 0.7 s and the longest time limit after SIGTERM, which
	// AcceptOn, ServeOn and this must stay within. What came in time ends sooner.
	l.DrainFor = max(l.LongestTxn-l.ReplySlack, l.ReplySlack)
	l.Frame, l.Remember = l.LongestTxn+time.Second, 2*l.LongestTxn
	// A hop may wait this long for its connection, and what was told meanwhile of
	// drains and purges must still be kept when it is written.
	l.Decided = l.LongestTxn
	for _, grace := range []float64{s.Contract.DrainGraceMs, s.FamilyInfo.PurgeGraceMs} {
		if grace > 0 {
			l.Connect = min(l.Connect, millis(grace)*3/4)
			l.Decided = min(l.Decided, millis(grace)*9/10)
		}
	}
	return l
}
