package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quilldoor/internal/diskcache/diskstore"
)

// killedRouter is a router with a disk cache that is started and killed repeatedly.
type killedRouter struct {
	platform *fakePlatform
	addr     string // the same for all its processes
	folder   string // of the disk cache
	command  string // that starts it
	config   string
	operator string
	metrics  string
	pool     string // the first event of discovery, with the endpoint list
}

// newKilledRouter writes the files of a router in front of a fake platform.
func newKilledRouter(t *testing.T) *killedRouter {
	t.Helper()
	dir := t.TempDir()
	platform := newFakePlatform(t)
	const target = `{"uid":"%s","endpoint":"%s","az":"z","model":"%s","state":"ready","capacity_hint":50}`
	router := &killedRouter{
		platform: platform,
		addr:     reserveAddress(t),
		folder:   filepath.Join(dir, "tier"),
		command:  "serve",
		config:   filepath.Join(dir, "config.json"),
		operator: filepath.Join(dir, "quilldoor.yaml"),
		metrics:  filepath.Join(dir, "figures"),
		pool: `{"rev":1,"pool":{"all":true,"targets":[` + fmt.Sprintf(target, "c", platform.cache.Addr(), "box") + "," +
			fmt.Sprintf(target, "o", platform.cache.Addr(), "origin") + `]}}`,
	}
	if err := os.Mkdir(router.folder, 0o700); err != nil {
		t.Fatal(err)
	}
	settings := `"settings":{"Zone":"z","Zones":["z"],"Kinds":["box","origin"],"Siblings":1,
	  "FamilyInfo":{"MasterKind":1,"BypassAllowed":true,"GoesThrough":[false,true,false],"NotesGiven":"all",
	   "GoodForMs":[60000,0,60000],"ClassGraceMs":[60000,0,0],"ClearedWithinMs":200},
	  "Limits":{"MostTries":6,"Cancel":true,"StreamsPerConn":32},
	  "Classes":[{"Name":"page","Effect":"safe","TargetMs":500,"GiveUpMs":2000,"Value":1},
	   {"Name":"sign","Effect":"unsafe","TargetMs":500,"GiveUpMs":2000,"Value":1},
	   {"Name":"draw","Effect":"unsafe","TargetMs":500,"GiveUpMs":2000,"Value":1}]}}`
	writeFile(t, router.config, []byte(`{"name":"t","listen":"`+router.addr+
		`","seed":"1","board":"`+platform.discovery.Addr().String()+
		`","known":{"rev":1,"notices":[`+router.pool+`]},`+settings))
	writeFile(t, router.operator, []byte("disk:\n  path: "+router.folder+
		"\n  size_mb: 16\n  slot_kb: 1\n  sync_ms: 10\n  write_mb_per_s: 2\n"+
		"metrics:\n  file: "+router.metrics+"\n  every_s: 1\n"))
	return router
}

// start starts the router's process with a new discovery and waits until it is healthy.
func (r *killedRouter) start(t *testing.T, round int, log *bytes.Buffer) *exec.Cmd {
	t.Helper()
	r.platform.restartDiscovery(r.pool)
	process := ownCommand(r.command, "--config", r.config, "--operator", r.operator, "--log-format", "json")
	process.Env = append(process.Env, "LB_CONFIG=", "LB_NAME=", "LB_LISTEN=", "LB_OPERATOR=")
	process.Stderr = log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		response, err := http.Get("http://" + r.addr + "/health")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return process
		}
	}
	process.Process.Kill()
	process.Wait()
	t.Fatalf("round %d: the router isn't ready: %s", round, log.String())
	return nil
}

// loadAndKill starts the router, purges objects under load, kills the router while it writes
// to disk and checks its log.
func (r *killedRouter) loadAndKill(t *testing.T, round int, random *rand.Rand, served *atomic.Int64) {
	t.Helper()
	var log bytes.Buffer
	process := r.start(t, round, &log)
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			r.platform.loadUntilKilled(r.addr, uint64(round*10+i), served, func(problem string) {
				t.Errorf("round %d: %s", round, problem)
			})
		})
	}
	time.Sleep(time.Duration(120+random.IntN(60)) * time.Millisecond)
	r.platform.purge([]string{fmt.Sprintf("o%d", random.IntN(8))}, 0, true)
	if round%3 == 0 {
		r.platform.purge([]string{"o1", "o2", "o3", "o5"}, collectionOf("o1"), true)
	}
	time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	process.Process.Kill()
	process.Wait()
	clients.Wait()
	if strings.Contains(log.String(), `"level":"error"`) || strings.Contains(log.String(), "panic") {
		t.Fatalf("round %d: %s", round, log.String())
	}
}

// Guards against a disk cache that serves torn or purged content, or stores content that may
// not be cached, after its router was killed during a write.
func TestKilledRouterServesNothingStale(t *testing.T) {
	const rounds = 20
	router := newKilledRouter(t)
	platform := router.platform
	var served atomic.Int64
	parts, unannounced := 0, 0
	random := rand.New(rand.NewPCG(4, 4))
	for round := range rounds {
		router.loadAndKill(t, round, random, &served)
		report, err := diskstore.Inspect(diskstore.Dir{Path: router.folder, ReadOnly: true}, true)
		if err != nil || !report.Intact() {
			t.Fatalf("round %d: %+v, %v", round, report, err)
		}
		parts = report.Parts
		// The next process receives no event for these purges: its copies need a revalidation.
		purged := []string{fmt.Sprintf("o%d", random.IntN(4)), fmt.Sprintf("o%d", random.IntN(20))}
		platform.purge(purged, 0, false)
		unannounced += len(purged)
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	t.Logf("%d rounds: %d requests served, %d attempts, %d revalidations, %d parts at the end, %d purges unannounced",
		rounds, served.Load(), platform.attempts, platform.revalidations, parts, unannounced)
	if int(served.Load()) < platform.attempts+500 || platform.revalidations < rounds || parts < 30 {
		t.Error("the disk cache did too little for a conclusion")
	}
	router.checkNoSecretOnDisk(t)
	metrics, err := os.ReadFile(router.metrics)
	if err != nil || !strings.Contains(string(metrics), `quilldoor_disk_looks_total{reason="good"}`) {
		t.Errorf("metrics: %v, %.200s", err, metrics)
	}
}

// checkNoSecretOnDisk checks that no content of the classes that may not be cached is
// in a file of the disk cache.
func (r *killedRouter) checkNoSecretOnDisk(t *testing.T) {
	t.Helper()
	err := filepath.WalkDir(r.folder, func(path string, _ os.DirEntry, _ error) error {
		if content, _ := os.ReadFile(path); bytes.Contains(content, []byte("SECRET")) {
			t.Errorf("%s holds content that may not be cached", path)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}
