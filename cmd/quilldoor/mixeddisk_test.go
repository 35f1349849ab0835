package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// diskFolder is the folder of a disk cache that routers of several programs use in turn.
type diskFolder struct {
	*killedRouter
	log bytes.Buffer // of the router that runs, or ran last
}

// startProgram starts a router of a program, and waits until purges from now on are known
// to it.
func (d *diskFolder) startProgram(t *testing.T, program string) *exec.Cmd {
	t.Helper()
	// purgeHistoryStart is more than clocks may differ by: copies issued later are newer than
	// all purges that the router does not know.
	const purgeHistoryStart = 150 * time.Millisecond
	d.platform.restartDiscovery(d.pool)
	d.log.Reset()
	process := exec.Command(program, "serve", "--config", d.config, "--operator", d.operator)
	process.Env = append(os.Environ(), mainVariable+"=1", "LB_CONFIG=", "LB_NAME=", "LB_LISTEN=", "LB_OPERATOR=")
	process.Stderr = &d.log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Process.Kill() })
	d.waitUntilHealthy(t)
	time.Sleep(purgeHistoryStart)
	return process
}

// waitUntilHealthy waits until the router serves.
func (d *diskFolder) waitUntilHealthy(t *testing.T) {
	t.Helper()
	const timeout = 10 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, err := healthStatus(d.addr); err == nil && status == http.StatusOK {
			return
		}
	}
	t.Fatal("the router isn't ready")
}

// end ends a router as a planned restart does, and fails the test where it logged an error.
func (d *diskFolder) end(t *testing.T, process *exec.Cmd) {
	t.Helper()
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil {
		t.Errorf("%s: %v", process.Path, err)
	}
	for line := range strings.Lines(d.log.String()) {
		if strings.Contains(line, "level=error") {
			t.Errorf("%s has logged: %s", process.Path, line)
		}
	}
}

// diskPart is one part of an object.
type diskPart struct{ object, part string }

// diskParts are parts of several objects.
func diskParts(prefix string) (parts []diskPart) {
	const objects, partsOfEach = 6, 3
	for i := range objects {
		for part := range partsOfEach {
			parts = append(parts, diskPart{fmt.Sprint(prefix, i), fmt.Sprint(part)})
		}
	}
	return parts
}

// expectAttempts asks the router for parts, and checks their content and how many attempts
// and revalidations that took.
func (d *diskFolder) expectAttempts(t *testing.T, parts []diskPart, attempts, revalidations int) {
	t.Helper()
	attemptsBefore, revalidationsBefore := d.platform.counts()
	client := dial(t, d.addr)
	for _, part := range parts {
		client.sendRequest("GET", "/rpc/page/"+part.object+"/n-"+part.part, "", "")
		if _, body := client.expectStatus(t, "200"); body != objectBody(part.object, part.part, 0) {
			t.Errorf("%v: %.40q", part, body)
		}
	}
	attemptsAfter, revalidationsAfter := d.platform.counts()
	if got := attemptsAfter - attemptsBefore; got != attempts {
		t.Errorf("%d attempts for %d parts, want %d", got, len(parts), attempts)
	}
	if got := revalidationsAfter - revalidationsBefore; got != revalidations {
		t.Errorf("%d revalidations for %d parts, want %d", got, len(parts), revalidations)
	}
}

// counts are those of the platform.
func (p *fakePlatform) counts() (attempts, revalidations int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.attempts, p.revalidations
}

// Guards against a disk cache that drops, or can't read, the copies of a router of another
// version: each fresh copy must be served from disk after one revalidation, since purges
// made between the two routers are unknown, and then without any attempt. Each version
// writes, the other one reads and writes, and the first reads again.
func TestDiskCacheFolderOfEarlierProgram(t *testing.T) {
	for _, programs := range programPairs(t) {
		t.Run(programs.name, func(t *testing.T) {
			folder := &diskFolder{killedRouter: newKilledRouter(t)}
			folder.exchange(t, programs)
		})
	}
}

// exchange lets the two programs read each other's copies.
func (d *diskFolder) exchange(t *testing.T, programs programPair) {
	t.Helper()
	ofFirst := diskParts("first")
	ofOther := diskParts("other")

	process := d.startProgram(t, programs.first)
	d.store(t, ofFirst)
	d.end(t, process)

	process = d.startProgram(t, programs.other)
	d.expectAttempts(t, ofFirst, len(ofFirst), len(ofFirst))
	d.expectAttempts(t, ofFirst, 0, 0)
	d.store(t, ofOther)
	d.end(t, process)

	process = d.startProgram(t, programs.first)
	both := append(ofFirst, ofOther...)
	d.expectAttempts(t, both, len(both), len(both))
	d.expectAttempts(t, both, 0, 0)
	d.end(t, process)
}

// store lets the router write parts that the disk does not have yet. It keeps what is
// requested a second time.
func (d *diskFolder) store(t *testing.T, parts []diskPart) {
	t.Helper()
	for range 2 {
		d.expectAttempts(t, parts, len(parts), 0)
	}
	const writeTime = 300 * time.Millisecond
	time.Sleep(writeTime)
	d.expectAttempts(t, parts, 0, 0)
}
