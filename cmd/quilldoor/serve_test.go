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
		t.Skip("no /proc here")
	}
	_, size, _ := strings.Cut(string(status), "FDSize:")
	if n, _ := strconv.Atoi(strings.Fields(size)[0]); n < 900 {
		t.Fatalf("the table has %d descriptors", n)
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
	r := startRouter(t, cache.Addr().String(), cache.Addr().String())
	held := dial(t, r.addr)
	held.sendRequest("GET", "/rpc/page/held", "", "")
	<-cache.received
	r.terminate <- syscall.SIGTERM
	late := dial(t, r.addr)
	late.sendRequest("GET", "/rpc/page/x", "", "")
	late.expectStatus(t, "200")
	close(release)
	held.expectStatus(t, "200")
	if err := <-r.done; err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", r.addr); err == nil {
		t.Fatal("still listening")
	}
	r.done <- nil // for the cleanup
}

// Guards against a reload that ends the router, takes a bad file, forgets the last event
// of discovery or disturbs open requests.
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
	r := startRouter(t, cache.Addr().String(), cache.Addr().String())
	held := dial(t, r.addr)
	held.sendRequest("GET", "/rpc/page/held", "", "")
	<-cache.received
	for _, bad := range []string{"{", strings.Replace(r.config, `"board":"127.0.0.1:1"`, `"board":"here"`, 1)} {
		r.writeConfig(t, bad)
		r.reload <- syscall.SIGHUP
		r.waitForLog(t, "the old one stays")
	}
	// The first event is known already; the second drains the cache.
	text := strings.Replace(r.config, "127.0.0.1:1\"", discovery.Addr().String()+"\"", 1)
	text = strings.Replace(text, `}]}}]}`, `}]}},{"rev":2,"pool":{"targets":[{"uid":"c","state":"draining"}]}}]}`, 1)
	r.writeConfig(t, strings.Replace(text, `"seed":"1"`, `"seed":"2"`, 1))
	r.reload <- syscall.SIGHUP
	r.waitForLog(t, "key=seed")
	r.waitForLog(t, "scope=diff")
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
		r.reload <- syscall.SIGHUP
	}
	close(release)
	held.expectStatus(t, "200")
}

// Guards against clients that send on connections about to be closed: once the listener
// is closed, each response announces the end of its connection.
func TestResponsesSayCloseOnceTheListenerIsShut(t *testing.T) {
	shutdownServeTime = 5 * time.Second
	defer func() { shutdownServeTime = 50 * time.Millisecond }()
	cache := newFakeEndpoint(t, func(id, _, _ string) string { return ack(id, "there") })
	r := startRouter(t, cache.Addr().String(), cache.Addr().String())
	c, idle := dial(t, r.addr), dial(t, r.addr)
	idle.sendRequest("GET", "/rpc/page/x", "", "")
	idle.expectStatus(t, "200")
	r.terminate <- syscall.SIGTERM
	r.terminate <- syscall.SIGTERM // a second one changes nothing
	for closing := false; !closing; {
		c.sendRequest("GET", "/rpc/page/x", "", "")
		head, _ := c.expectStatus(t, "200")
		<-cache.received
		closing = strings.Contains(head, "Connection: close")
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v", err)
	}
	// An idle client sees an orderly end, no reset.
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("the idle client: %v", err)
	}
	idle.Close()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	<-r.terminate // makes room for the cleanup's signal
	r.done <- nil
}
