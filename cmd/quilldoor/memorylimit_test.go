package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// greedyClients are clients that make a router hold as much memory as they can, by kind.
var greedyClients = []func(conn net.Conn, id int64){
	func(conn net.Conn, id int64) { // writes slowly
		fmt.Fprintf(conn, greedyPut, id)
		for piece := bytes.Repeat([]byte("x"), 480); ; time.Sleep(20 * time.Millisecond) {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	},
	func(conn net.Conn, id int64) { // stops half way through a large request
		fmt.Fprintf(conn, greedyPut, id)
		conn.Write(bytes.Repeat([]byte("x"), 47_999))
		_, _ = io.Copy(io.Discard, conn) // the router may close it
	},
	func(conn net.Conn, _ int64) { // a head of many fields, which doesn't end
		io.WriteString(conn, "GET /rpc/page/x HTTP/1.1\r\nHost: o\r\n"+strings.Repeat("a:"+strings.Repeat("b", 240)+"\r\n", 62))
		_, _ = io.Copy(io.Discard, conn) // the router may close it
	},
	func(conn net.Conn, _ int64) { // a head of more short fields than are allowed
		io.WriteString(conn, "GET /rpc/page/x HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 4000)+"\r\n")
		_, _ = io.Copy(io.Discard, conn) // the router may close it
	},
}

const greedyPut = "PUT /rpc/sign/x HTTP/1.1\r\nHost: o\r\nX-Txn: %016x\r\nX-Ttl-Ms: 1500\r\nX-Shard: 1\r\nContent-Length: 48000\r\n\r\n"

// buildProgram builds the program as it is deployed, without the tests.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "quilldoor")
	if output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return program
}

// peakMemoryKB returns the most memory that a process has had resident, in units of 1,024 bytes.
func peakMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	defer status.Close()
	for scanner := bufio.NewScanner(status); scanner.Scan(); {
		if value, found := strings.CutPrefix(scanner.Text(), "VmHWM:"); found {
			peak, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return peak
		}
	}
	t.Fatal("no peak of the memory")
	return 0
}

// Guards against a router that passes its memory limit beside hundreds of clients that write slowly,
// stop half way through a large request or send heads of very many fields.
func TestMemoryStaysInsideItsLimitBesideManyClients(t *testing.T) {
	const (
		limitMB = 32
		clients = 400
		playFor = 4 * time.Second
	)
	endpoint := newFakeEndpoint(t, func(id, _, _ string) string { return ack(id, strings.Repeat("x", 20_000)) })
	addr := reserveAddress(t)
	config := filepath.Join(t.TempDir(), "config.json")
	limited := strings.Replace(testRouterConfig(addr, endpoint.Addr().String(), endpoint.Addr().String()),
		`"seed":"1"`, fmt.Sprintf(`"seed":"1","limits":{"cores":1,"memory_mb":%d,"sockets":1024}`, limitMB), 1)
	writeFile(t, config, []byte(limited))
	process := exec.Command(buildProgram(t), "serve", "--config", config)
	process.Env = append(os.Environ(), "LB_CONFIG=", "LB_NAME=", "LB_LISTEN=", "LB_OPERATOR=")
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		process.Process.Kill()
		process.Wait()
	}()
	waitUntilHealthy(t, addr)
	var ids atomic.Int64
	var running sync.WaitGroup
	until := time.Now().Add(playFor)
	for i := range clients {
		running.Go(func() {
			for time.Now().Before(until) {
				conn, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				conn.SetDeadline(until)
				greedyClients[i%len(greedyClients)](conn, ids.Add(1))
				conn.Close()
			}
		})
	}
	running.Wait()
	peak := peakMemoryKB(t, process.Process.Pid)
	t.Logf("%d connections, at most %d KB resident", ids.Load(), peak)
	if peak > limitMB<<10 {
		t.Errorf("%d KB resident, the limit is %d MB", peak, limitMB)
	}
}
