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

// A router under load is killed outright, mid-write, again and again. Nothing
// torn, nothing older than a purge, nothing forbidden comes from its disk.
func TestKilledRouterServesNothingStale(t *testing.T) {
	const rounds = 20
	platform := newFakePlatform(t)
	dir := t.TempDir()
	folder := filepath.Join(dir, "tier")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	addr := reserveAddress(t) // the router binds it again after each death
	target := `{"uid":"%s","endpoint":"%s","az":"z","model":"%s","state":"ready","capacity_hint":50}`
	pool := `{"rev":1,"pool":{"all":true,"targets":[` + fmt.Sprintf(target, "c", platform.cache.Addr(), "box") + "," +
		fmt.Sprintf(target, "o", platform.cache.Addr(), "origin") + `]}}`
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings := `"settings":{"Zone":"z","Zones":["z"],"Kinds":["box","origin"],"Siblings":1,
	  "FamilyInfo":{"MasterKind":1,"BypassAllowed":true,"GoesThrough":[false,true,false],"NotesGiven":"all",
	   "GoodForMs":[60000,0,60000],"ClassGraceMs":[60000,0,0],"ClearedWithinMs":200},
	  "Limits":{"MostTries":6,"Cancel":true,"StreamsPerConn":32},
	  "Classes":[{"Name":"page","Effect":"safe","TargetMs":500,"GiveUpMs":2000,"Value":1},
	   {"Name":"sign","Effect":"unsafe","TargetMs":500,"GiveUpMs":2000,"Value":1},
	   {"Name":"draw","Effect":"unsafe","TargetMs":500,"GiveUpMs":2000,"Value":1}]}}`
	config := write("config.json", `{"name":"t","listen":"`+addr+`","seed":"1","board":"`+platform.discovery.Addr().String()+
		`","known":{"rev":1,"notices":[`+pool+`]},`+settings)
	operatorFile := write("quilldoor.yaml", "disk:\n  path: "+folder+"\n  size_mb: 16\n  slot_kb: 1\n  sync_ms: 10\n  write_mb_per_s: 2\n"+
		"metrics:\n  file: "+filepath.Join(dir, "figures")+"\n  every_s: 1\n")
	var served, wrongResponses atomic.Int64
	parts, unannounced := 0, 0
	random := rand.New(rand.NewPCG(4, 4))
	for round := range rounds {
		platform.mu.Lock()
		platform.events, platform.lastPolled = []string{pool}, 0
		platform.mu.Unlock()
		var log bytes.Buffer
		router := exec.Command(os.Args[0], "serve", "--config", config, "--operator", operatorFile, "--log-format", "json")
		router.Env = append(os.Environ(), "QUILLDOOR_TEST_MAIN=1", "LB_CONFIG=", "LB_NAME=", "LB_LISTEN=", "LB_OPERATOR=")
		router.Stderr = &log
		if err := router.Start(); err != nil {
			t.Fatal(err)
		}
		ready := false
		for until := time.Now().Add(10 * time.Second); !ready && time.Now().Before(until); time.Sleep(time.Millisecond) {
			if res, err := http.Get("http://" + addr + "/health"); err == nil {
				res.Body.Close()
				ready = res.StatusCode == 200
			}
		}
		if !ready {
			router.Process.Kill()
			router.Wait()
			t.Fatalf("round %d: the router isn't ready: %s", round, log.String())
		}
		var clients sync.WaitGroup
		for i := range 4 {
			clients.Go(func() {
				platform.loadUntilKilled(addr, uint64(round*10+i), &served, &wrongResponses, func(what string) { t.Errorf("round %d: %s", round, what) })
			})
		}
		time.Sleep(time.Duration(120+random.IntN(60)) * time.Millisecond)
		platform.purge([]string{fmt.Sprintf("o%d", random.IntN(8))}, 0, true)
		if round%3 == 0 {
			platform.purge([]string{"o1", "o2", "o3", "o5"}, collectionOf("o1"), true)
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		router.Process.Kill()
		router.Wait()
		clients.Wait()
		if strings.Contains(log.String(), `"level":"error"`) || strings.Contains(log.String(), "panic") {
			t.Fatalf("round %d: %s", round, log.String())
		}
		report, err := diskstore.Inspect(diskstore.Dir{Path: folder, ReadOnly: true}, true)
		if err != nil || !report.Intact() {
			t.Fatalf("round %d: %+v, %v", round, report, err)
		}
		parts = report.Parts
		// Nobody tells the next router of these.
		purged := []string{fmt.Sprintf("o%d", random.IntN(4)), fmt.Sprintf("o%d", random.IntN(20))}
		platform.purge(purged, 0, false)
		unannounced += len(purged)
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	t.Logf("%d rounds: %d txns served, %d hops, %d copies proven, %d parts at the end, %d purges untold",
		rounds, served.Load(), platform.attempts, platform.revalidations, parts, unannounced)
	if int(served.Load()) < platform.attempts+500 || platform.revalidations < rounds || parts < 30 {
		t.Error("the disk did too little for this test to tell anything")
	}
	if err := filepath.WalkDir(folder, func(path string, _ os.DirEntry, _ error) error {
		if b, _ := os.ReadFile(path); bytes.Contains(b, []byte("SECRET")) {
			t.Errorf("%s holds an acceptance", path)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
	if figures, err := os.ReadFile(filepath.Join(dir, "figures")); err != nil || !strings.Contains(string(figures), `quilldoor_disk_looks_total{reason="good"}`) {
		t.Errorf("figures: %v, %.200s", err, figures)
	}
}
