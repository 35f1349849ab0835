package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/bufferpool"
)

const valid = `{"name":"n3","listen":"127.0.0.1:8080","seed":"8c1f30d27a5be964","board":"127.0.0.1:2379","unknown":1,
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "settings":{"Zone":"z","Kinds":["box","origin"],"Siblings":1,"FamilyInfo":{"MasterKind":1,"PurgeGraceMs":200},
  "Contract":{"DrainGraceMs":500},"Limits":{"ConnectTimeoutMs":400,"ConnIdleMs":15000,"StreamsPerConn":32},
  "Classes":[{"Name":"page","Effect":"safe","TargetMs":250,"GiveUpMs":3000}]}}`

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(Overrides{File: path}, func(name string) string { return env[name] })
}

func TestConfigurationIsCompleted(t *testing.T) {
	c, err := load(t, valid, map[string]string{"LB_NAME": "other", "LB_CONFIG": "/nowhere"})
	if err != nil {
		t.Fatal(err)
	}
	l := c.Limits
	if c.Name != "other" || c.Seed != 0x8c1f30d27a5be964 || l.MaxStreamsPerConn != 32 || l.UpstreamIdleTimeout != 12*time.Second {
		t.Fatalf("config %+v, limits %+v", c, l)
	}
	if l.MaxClients < 1024/3 || l.MaxClients+l.MaxUpstreamConns > 900 || l.MemoryBytes+0 >= 192<<20 {
		t.Fatalf("%d clients, %d upstream connections, memory limit of %d bytes", l.MaxClients, l.MaxUpstreamConns, l.MemoryBytes)
	}
	// An attempt that waits longer for its connection could be written after the
	// graces of a drain or a purge.
	if l.ConnectTimeout != 150*time.Millisecond {
		t.Fatalf("connect timeout %v with a purge grace of 200 ms", l.ConnectTimeout)
	}
}

// Guards against limits that do not scale with the configured memory, with which a router
// with 48 MB refused to start.
func TestLimitsFollowMemory(t *testing.T) {
	for _, sockets := range []string{"256", "1024"} {
		text := strings.Replace(strings.Replace(valid, "192", "32", 1), "1024", sockets, 1)
		c, err := load(t, text, nil)
		if err != nil {
			t.Fatal(err)
		}
		l, memory := c.Limits, int64(32<<20)
		held := l.MaxBufferedBytes + int64(l.MaxDiscoveryBody) + int64(l.MaxClients+l.MaxUpstreamConns)*(bufferpool.BufferSize+8<<10)
		if held > memory*5/8 || l.MemoryBytes > memory*3/4 || l.MaxClients < l.MaxDescriptors/3 {
			t.Errorf("%s sockets: connections and bodies hold up to %d bytes, collector limit %d, %d clients",
				sockets, held, l.MemoryBytes, l.MaxClients)
		}
	}
}

func TestErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"name":"n3",`, ``, "name: missing"},
		{`"n3"`, `5`, "config.json: name: got number, expected a string"},
		{`"127.0.0.1:8080"`, `"here"`, `listen: "here" is not an IP address with a port`},
		{`"board":"127.0.0.1:2379",`, ``, "board: missing"},
		{`8c1f30d27a5be964`, `xyz`, "seed: not"},
		{`"seed":"8c1f30d27a5be964",`, ``, "seed: missing"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb: -1 is not within"},
		{`"memory_mb":192`, `"memory_mb":16`, "limits.memory_mb: 16 is not within"},
		{`"memory_mb":192`, `"memory_mb":"x"`, "config.json: limits.memory_mb: got string, expected a number"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets: 3 is not within"},
		{`"settings":{`, `"other":{`, "settings: missing"},
		{`"Zone":"z",`, ``, "settings.Zone: missing"},
		{`"MasterKind":1`, `"MasterKind":2`, "settings.FamilyInfo.MasterKind: 2 is not an index"},
		{`"Effect":"safe"`, `"Effect":"none"`, `settings.Classes[0].Effect: "none"`},
		{`"TargetMs":250`, `"TargetMs":0`, "settings.Classes[0].TargetMs: 0 is not above 0"},
		{`"GiveUpMs":3000`, `"GiveUpMs":1e9`, "settings.Classes[0].GiveUpMs"},
		{`"GiveUpMs":3000`, `"GiveUpMs":3000,"Streamed":true`, "settings.Classes[0].Streamed"},
		{`"Name":"page"`, `"Name":"a,b"`, `settings.Classes[0].Name: "a,b"`},
		{`"Siblings":1`, `"Siblings":-1`, "settings.Siblings: -1 is negative"},
		{`"Siblings":1`, `"Tenants":[{"Name":"t"}]`, "settings.Tenants: "},
		{`"Siblings":1`, `"Siblings":"one"`, "config.json: settings.Siblings: got string, expected a number"},
	} {
		text := strings.Replace(valid, c.old, c.new, 1)
		if !json.Valid([]byte(text)) || text == valid {
			t.Fatalf("replacing %q by %q leaves the configuration unchanged or invalid JSON", c.old, c.new)
		}
		if _, err := load(t, text, nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q replaced by %q: error %v, want %s", c.old, c.new, err, c.want)
		}
	}
	if _, err := load(t, "{", nil); err == nil {
		t.Error("a truncated file is accepted")
	}
	if _, err := Load(Overrides{}, func(string) string { return "" }); err == nil {
		t.Error("no configuration file is accepted")
	}
}
