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

// A router stood still for fifteen seconds while its table of descriptors grew.
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
		t.Fatalf("room for %d descriptors", n)
	}
}

// What was taken before and shortly after the signal is answered.
func TestShutdownAnswersAll(t *testing.T) {
	release := make(chan bool)
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "path=held,") {
			<-release
		}
		return ack(id, "there")
	})
	r := startRouter(t, cache.Addr().String(), cache.Addr().String())
	addr, term, end := r.addr, r.terminate, r.done
	held := dial(t, addr)
	held.sendRequest("GET", "/rpc/page/held", "", "")
	<-cache.received
	term <- syscall.SIGTERM
	late := dial(t, addr)
	late.sendRequest("GET", "/rpc/page/x", "", "")
	late.expectStatus(t, "200")
	close(release)
	held.expectStatus(t, "200")
	err := <-end
	if err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", addr); err == nil {
		t.Fatal("still listening")
	}
	end <- nil
}

// SIGHUP once ended the router. A bad file changes nothing; a good one moves the
// follower, which goes on behind the last event, and open txns don't notice.
func TestReload(t *testing.T) {
	release := make(chan bool)
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "path=held,") {
			<-release
		}
		return ack(id, "there")
	})
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	r := startRouter(t, cache.Addr().String(), cache.Addr().String())
	held := dial(t, r.addr)
	held.sendRequest("GET", "/rpc/page/held", "", "")
	<-cache.received
	for _, bad := range []string{"{", strings.Replace(r.config, `"board":"127.0.0.1:1"`, `"board":"here"`, 1)} {
		r.writeConfig(t, bad)
		r.reload <- syscall.SIGHUP
		r.waitForLog(t, "the old one stays")
	}
	// Its first event is known already; the second takes the cache away.
	text := strings.Replace(r.config, "127.0.0.1:1\"", other.Addr().String()+"\"", 1)
	text = strings.Replace(text, `}]}}]}`, `}]}},{"rev":2,"pool":{"targets":[{"uid":"c","state":"draining"}]}}]}`, 1)
	r.writeConfig(t, strings.Replace(text, `"seed":"1"`, `"seed":"2"`, 1))
	r.reload <- syscall.SIGHUP
	r.waitForLog(t, "key=seed")
	r.waitForLog(t, "scope=diff")
	for range 2 { // the second reload comes while the first one's poll is out
		c, err := other.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		line, _ := bufio.NewReader(c).ReadString('\n')
		if !strings.HasPrefix(line, "GET /board/poll?watch=2&") {
			t.Fatal(line)
		}
		r.reload <- syscall.SIGHUP
	}
	close(release)
	held.expectStatus(t, "200")
}

// Once the listener is shut, answers say that their connections end, so that clients
// come back elsewhere before theirs are shut.
func TestResponsesSayCloseOnceTheListenerIsShut(t *testing.T) {
	shutdownServeTime = 5 * time.Second
	defer func() { shutdownServeTime = 50 * time.Millisecond }()
	cache := newFakeEndpoint(t, func(id, _, _ string) string { return ack(id, "there") })
	r := startRouter(t, cache.Addr().String(), cache.Addr().String())
	c, resting := dial(t, r.addr), dial(t, r.addr)
	resting.sendRequest("GET", "/rpc/page/x", "", "")
	resting.expectStatus(t, "200")
	r.terminate <- syscall.SIGTERM
	r.terminate <- syscall.SIGTERM // a second one changes nothing
	for closing := false; !closing; {
		c.sendRequest("GET", "/rpc/page/x", "", "")
		head, _ := c.expectStatus(t, "200")
		<-cache.received
		closing = strings.Contains(head, "Connection: close")
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("behind the last answer: %v", err)
	}
	// One that rests until it is let go sees a plain end, no reset.
	if _, err := resting.reader.ReadByte(); err != io.EOF {
		t.Errorf("the resting client: %v", err)
	}
	resting.Close()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	<-r.terminate // the cleanup's place
	r.done <- nil
}
