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

// shutdownServeTime is how long routers under test serve on behind their listeners.
var shutdownServeTime = 50 * time.Millisecond

// reserveAddress is an address on loopback that only this test binds.
func reserveAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address.String()
}

// testRouter is a router under test.
type testRouter struct {
	addr, configPath, config string // of its configuration, board at 127.0.0.1:1
	terminate, reload        chan os.Signal
	done                     chan error
	log                      chan string // messages from info up
}

func (r *testRouter) Levels() []logrus.Level { return logrus.AllLevels[:logrus.InfoLevel+1] }
func (r *testRouter) Fire(e *logrus.Entry) error {
	text, err := e.String()
	select {
	case r.log <- text:
	default: // no test reads so many
	}
	return err
}

// startRouter starts one with a cache and an origin.
func startRouter(t *testing.T, cache, origin string) *testRouter {
	t.Helper()
	return startRouterWith(t, cache, origin, "", strings.NewReplacer())
}

// startRouterWith starts one with an operator's file, and its configuration edited.
func startRouterWith(t *testing.T, cache, origin, operatorFile string, edit *strings.Replacer) *testRouter {
	t.Helper()
	r := &testRouter{
		addr: reserveAddress(t), configPath: filepath.Join(t.TempDir(), "config.json"),
		terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), done: make(chan error, 1), log: make(chan string, 1000),
	}
	target := `{"uid":"%s","endpoint":"%s","az":"z","model":"%s","state":"ready","capacity_hint":50}`
	r.config = `{"name":"t","listen":"` + r.addr + `","seed":"1","board":"127.0.0.1:1","known":{"rev":1,"notices":[
	 {"rev":1,"pool":{"all":true,"targets":[` + fmt.Sprintf(target, "c", cache, "box") + "," +
		fmt.Sprintf(target, "o", origin, "origin") + `]}}]},
	 "settings":{"Zone":"z","Zones":["z"],"Kinds":["box","origin"],"Siblings":1,
	  "FamilyInfo":{"MasterKind":1,"BypassAllowed":true,"GoesThrough":[false,true],"NotesGiven":"all"},
	  "Limits":{"MostTries":6,"Cancel":true,"SecondCopies":true,"RetryAfter":true,"MaxRetryAfterMs":500,"StreamsPerConn":32},
	  "Classes":[{"Name":"page","Effect":"safe","TargetMs":500,"GiveUpMs":2000,"Value":1},
	   {"Name":"sign","Effect":"unsafe","TargetMs":500,"GiveUpMs":2000,"Value":1}]}}`
	r.config = edit.Replace(r.config)
	r.writeConfig(t, r.config)
	f := &flags{overrides: config.Overrides{File: r.configPath}, operatorFile: operatorFile}
	c, err := f.load()
	if err != nil {
		t.Fatal(err)
	}
	c.Limits.ShutdownAcceptTime, c.Limits.ShutdownServeTime = 300*time.Millisecond, shutdownServeTime
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(r)
	go func() {
		r.done <- serve(c, log, r.terminate, r.reload, f.load)
	}()
	t.Cleanup(func() {
		r.terminate <- syscall.SIGTERM
		if err := <-r.done; err != nil {
			t.Error(err)
		}
	})
	for range 1000 {
		if c, err := net.Dial("tcp", r.addr); err == nil {
			c.Close()
			return r
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the router doesn't listen")
	return nil
}

func (r *testRouter) writeConfig(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(r.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// waitForLog waits for a line of the log with the text.
func (r *testRouter) waitForLog(t *testing.T, text string) {
	t.Helper()
	over := time.After(10 * time.Second)
	for {
		select {
		case line := <-r.log:
			if strings.Contains(line, text) {
				return
			}
		case <-over:
			t.Fatalf("nothing logged with %q", text)
		}
	}
}
