package main

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against purged copies from disk during an outage of discovery that began before the disk
// cache was opened: the router is killed under its supervisor and starts while discovery is down.
func TestDiskCacheOpenedDuringAnOutageRevalidates(t *testing.T) {
	t.Parallel()
	const countsAsLost = 2500 * time.Millisecond // 2 s and a purge's grace, with some slack
	router := newKilledRouter(t)
	operator, err := os.ReadFile(router.operator)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, router.operator, append(operator, "keep:\n  folder: "+filepath.Join(t.TempDir(), "keep")+"\n  trial_s: 1\n"...))
	router.command = "keep"
	router.platform.discovery.Close()
	var log bytes.Buffer
	startedAt := time.Now()
	process := router.start(t, 0, &log)
	defer func() {
		process.Process.Signal(syscall.SIGTERM)
		process.Wait()
	}()
	client := dial(t, router.addr)
	for time.Since(startedAt) < countsAsLost {
		client.sendRequest("GET", "/rpc/page/o1/n-0", "", "")
		client.expectStatus(t, "200")
		time.Sleep(20 * time.Millisecond)
	}
	router.platform.purge([]string{"o1"}, 0, false)
	client.sendRequest("GET", "/rpc/page/o1/n-0", "", "")
	if _, body := client.expectStatus(t, "200"); body != objectBody("o1", "0", 1) {
		t.Errorf("answered with %.20q after the purge", body)
	}
}
