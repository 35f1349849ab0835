package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/config"
	"quilldoor/internal/loopback"
)

// shutdownServeTime is how long a router under test serves after its listener is closed.
var shutdownServeTime = 50 * time.Millisecond

// reserveAddress returns an address on loopback that no other test binds.
func reserveAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address.String()
}

// testRouter is a router that runs inside the test process.
type testRouter struct {
	addr       string
	config     string // the JSON that it started with
	configPath string
	terminate  chan os.Signal
	reload     chan os.Signal
	process    chan *router // receives the router once it is constructed
	done       chan error
	log        chan string // messages of level info and above
}

// Levels returns the levels of the messages that Fire receives: info and above.
func (r *testRouter) Levels() []logrus.Level { return logrus.AllLevels[:logrus.InfoLevel+1] }

// Fire passes a log message on to the test, which need not read it.
func (r *testRouter) Fire(entry *logrus.Entry) error {
	text, err := entry.String()
	select {
	case r.log <- text:
	default:
	}
	return err
}

// testRouterConfig returns the configuration of a router in front of one cache and one origin.
// Nothing listens at its discovery address.
func testRouterConfig(addr, cache, origin string) string {
	const target = `{"uid":"%s","endpoint":"%s","az":"z","model":"%s","state":"ready","capacity_hint":50}`
	return `{"name":"t","listen":"` + addr + `","seed":"1","board":"127.0.0.1:1","known":{"rev":1,"notices":[
	 {"rev":1,"pool":{"all":true,"targets":[` + fmt.Sprintf(target, "c", cache, "box") + "," +
		fmt.Sprintf(target, "o", origin, "origin") + `]}}]},
	 "settings":{"Zone":"z","Zones":["z"],"Kinds":["box","origin"],"Siblings":1,
	  "FamilyInfo":{"MasterKind":1,"BypassAllowed":true,"GoesThrough":[false,true],"NotesGiven":"all"},
	  "Limits":{"MostTries":6,"Cancel":true,"SecondCopies":true,"RetryAfter":true,"MaxRetryAfterMs":500,"StreamsPerConn":32},
	  "Classes":[{"Name":"page","Effect":"safe","TargetMs":500,"GiveUpMs":2000,"Value":1},
	   {"Name":"sign","Effect":"unsafe","TargetMs":500,"GiveUpMs":2000,"Value":1}]}}`
}

// startRouter starts a router in front of a cache and an origin.
func startRouter(t *testing.T, cache, origin string) *testRouter {
	t.Helper()
	return startRouterWith(t, cache, origin, "", strings.NewReplacer())
}

// startRouterWith starts a router with an operator's file and an edited configuration,
// and stops it at the end of the test.
func startRouterWith(t *testing.T, cache, origin, operatorFile string, edit *strings.Replacer) *testRouter {
	t.Helper()
	addr := reserveAddress(t)
	r := &testRouter{
		addr:       addr,
		config:     edit.Replace(testRouterConfig(addr, cache, origin)),
		configPath: filepath.Join(t.TempDir(), "config.json"),
		terminate:  make(chan os.Signal, 1),
		reload:     make(chan os.Signal, 1),
		process:    make(chan *router, 1),
		done:       make(chan error, 1),
		log:        make(chan string, 1000),
	}
	r.writeConfig(t, r.config)
	flags := &flags{overrides: config.Overrides{File: r.configPath}, operatorFile: operatorFile}
	startConfig, err := flags.load()
	if err != nil {
		t.Fatal(err)
	}
	startConfig.Limits.ShutdownAcceptTime = 300 * time.Millisecond
	startConfig.Limits.ShutdownServeTime = shutdownServeTime
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(r)
	go func() {
		router, err := newRouter(startConfig, log, flags.load)
		if err != nil {
			r.done <- err
			return
		}
		r.process <- router
		r.done <- router.serve(r.terminate, r.reload)
	}()
	t.Cleanup(func() {
		r.terminate <- syscall.SIGTERM
		if err := <-r.done; err != nil {
			t.Error(err)
		}
	})
	r.waitUntilListening(t)
	return r
}

// waitUntilListening waits until the router accepts connections.
func (r *testRouter) waitUntilListening(t *testing.T) {
	t.Helper()
	for range 1000 {
		if conn, err := net.Dial("tcp", r.addr); err == nil {
			conn.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the router doesn't listen")
}

// writeConfig replaces the configuration file.
func (r *testRouter) writeConfig(t *testing.T, text string) {
	t.Helper()
	writeFile(t, r.configPath, []byte(text))
}

// writeFile writes a file that only the current user can read.
func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// waitForLog waits for a log line that contains the text.
func (r *testRouter) waitForLog(t *testing.T, text string) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case line := <-r.log:
			if strings.Contains(line, text) {
				return
			}
		case <-timeout:
			t.Fatalf("no log line contains %q", text)
		}
	}
}
