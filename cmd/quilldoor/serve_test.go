package main

import (
	"bufio"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a router that stalls while the kernel grows its descriptor table.
func TestDescriptorTableIsGrownAtTheStart(t *testing.T) {
	if err := growDescriptorTable(900); err != nil {
		t.Fatal(err)
	}
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Skip("/proc is not available")
	}
	_, rest, _ := strings.Cut(string(status), "FDSize:")
	if size, _ := strconv.Atoi(strings.Fields(rest)[0]); size < 900 {
		t.Fatalf("the table has %d descriptors", size)
	}
}

// Guards against a shutdown that drops requests accepted before or shortly after its signal.
func TestShutdownAnswersAll(t *testing.T) {
	release := make(chan bool)
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "path=held,") {
			<-release
		}
		return ack(id, "there")
	})
	router := startRouter(t, cache.Addr().String(), cache.Addr().String())
	held := dial(t, router.addr)
	held.sendRequest("GET", "/rpc/page/held", "", "")
	<-cache.received
	router.terminate <- syscall.SIGTERM
	late := dial(t, router.addr)
	late.sendRequest("GET", "/rpc/page/x", "", "")
	late.expectStatus(t, "200")
	close(release)
	held.expectStatus(t, "200")
	if err := <-router.done; err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", router.addr); err == nil {
		t.Fatal("the router still listens")
	}
	router.done <- nil // for the cleanup
}

// Guards against a reload that ends the router, accepts an invalid file, loses the number of
// the last event of discovery or interrupts open requests.
func TestReload(t *testing.T) {
	release := make(chan bool)
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "path=held,") {
			<-release
		}
		return ack(id, "there")
	})
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	router := startRouter(t, cache.Addr().String(), cache.Addr().String())
	held := dial(t, router.addr)
	held.sendRequest("GET", "/rpc/page/held", "", "")
	<-cache.received
	for _, bad := range []string{"{", strings.Replace(router.config, `"board":"127.0.0.1:1"`, `"board":"here"`, 1)} {
		router.writeConfig(t, bad)
		router.reload <- syscall.SIGHUP
		router.waitForLog(t, "the old one stays")
	}
	// The router has the first event already; the second one drains the cache.
	text := strings.Replace(router.config, "127.0.0.1:1\"", discovery.Addr().String()+"\"", 1)
	text = strings.Replace(text, `}]}}]}`, `}]}},{"rev":2,"pool":{"targets":[{"uid":"c","state":"draining"}]}}]}`, 1)
	router.writeConfig(t, strings.Replace(text, `"seed":"1"`, `"seed":"2"`, 1))
	router.reload <- syscall.SIGHUP
	router.waitForLog(t, "key=seed")
	router.waitForLog(t, "scope=diff")
	for range 2 { // the second reload comes during the poll of the first
		conn, err := discovery.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		line, _ := bufio.NewReader(conn).ReadString('\n')
		if !strings.HasPrefix(line, "GET /board/poll?watch=2&") {
			t.Fatal(line)
		}
		router.reload <- syscall.SIGHUP
	}
	close(release)
	held.expectStatus(t, "200")
}

// Guards against clients that send on connections that are about to be closed: once the listener
// is closed, each response announces the end of its connection.
func TestResponsesSayCloseOnceTheListenerIsShut(t *testing.T) {
	shutdownServeTime = 5 * time.Second
	defer func() { shutdownServeTime = 50 * time.Millisecond }()
	cache := newFakeEndpoint(t, func(id, _, _ string) string { return ack(id, "there") })
	router := startRouter(t, cache.Addr().String(), cache.Addr().String())
	client, idle := dial(t, router.addr), dial(t, router.addr)
	idle.sendRequest("GET", "/rpc/page/x", "", "")
	idle.expectStatus(t, "200")
	router.terminate <- syscall.SIGTERM
	router.terminate <- syscall.SIGTERM // a second one changes nothing
	for closing := false; !closing; {
		client.sendRequest("GET", "/rpc/page/x", "", "")
		head, _ := client.expectStatus(t, "200")
		<-cache.received
		closing = strings.Contains(head, "Connection: close")
	}
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v, want EOF", err)
	}
	// The idle connection is shut down in order, without a reset.
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want EOF", err)
	}
	idle.Close()
	if err := <-router.done; err != nil {
		t.Error(err)
	}
	<-router.terminate // makes room for the cleanup's signal
	router.done <- nil
}
