package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/config"
	"quilldoor/internal/loopback"
)

// standIn is a cache server of the test's own: it passes the lines it gets to
// got and writes what answer makes of a GET. An answer of "CLOSE" ends the
// connection behind what stands before it; an empty one leaves the hop open.
type standIn struct {
	net.Listener
	got    chan string
	answer func(id, fields, body string) string
}

func newStandIn(t *testing.T, answer func(id, fields, body string) string) *standIn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &standIn{l, make(chan string, 1000), answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *standIn) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		words := strings.Fields(line)
		if words[0] != "GET" {
			s.got <- line
			continue
		}
		n, _ := strconv.Atoi(words[3])
		body := make([]byte, n+2)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		s.got <- line
		text, end := strings.CutSuffix(s.answer(words[1], words[2], string(body[:n])), "CLOSE")
		c.Write([]byte(text))
		if end {
			return
		}
	}
}

func ack(id, body string) string {
	return fmt.Sprintf("%s ACK entity=e1,issued=7,detail=HIT %d\r\n%s\r\n", id, len(body), body)
}

// serveOn is how long routers under test serve on behind their listeners.
var serveOn = 50 * time.Millisecond

// reserveAddress is an address on loopback that only this test binds.
func reserveAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address.String()
}

// running is a router under test.
type running struct {
	addr, path, text string // of its configuration, board at 127.0.0.1:1
	term, hup        chan os.Signal
	end              chan error
	log              chan string // messages from info up
}

func (r *running) Levels() []logrus.Level { return logrus.AllLevels[:logrus.InfoLevel+1] }
func (r *running) Fire(e *logrus.Entry) error {
	text, err := e.String()
	select {
	case r.log <- text:
	default: // no test reads so many
	}
	return err
}

// startRouter starts one with a cache and an origin.
func startRouter(t *testing.T, cache, origin string) *running {
	t.Helper()
	return startWith(t, cache, origin, "", strings.NewReplacer())
}

// startWith starts one with an operator's file, and its configuration edited.
func startWith(t *testing.T, cache, origin, own string, edit *strings.Replacer) *running {
	t.Helper()
	r := &running{
		addr: reserveAddress(t), path: filepath.Join(t.TempDir(), "config.json"),
		term: make(chan os.Signal, 1), hup: make(chan os.Signal, 1), end: make(chan error, 1), log: make(chan string, 1000),
	}
	target := `{"uid":"%s","endpoint":"%s","az":"z","model":"%s","state":"ready","capacity_hint":50}`
	r.text = `{"name":"t","listen":"` + r.addr + `","seed":"1","board":"127.0.0.1:1","known":{"rev":1,"notices":[
	 {"rev":1,"pool":{"all":true,"targets":[` + fmt.Sprintf(target, "c", cache, "box") + "," +
		fmt.Sprintf(target, "o", origin, "origin") + `]}}]},
	 "settings":{"Zone":"z","Zones":["z"],"Kinds":["box","origin"],"Siblings":1,
	  "FamilyInfo":{"MasterKind":1,"BypassAllowed":true,"GoesThrough":[false,true],"NotesGiven":"all"},
	  "Limits":{"MostTries":6,"Cancel":true,"SecondCopies":true,"RetryAfter":true,"MaxRetryAfterMs":500,"StreamsPerConn":32},
	  "Classes":[{"Name":"page","Effect":"safe","TargetMs":500,"GiveUpMs":2000,"Value":1},
	   {"Name":"sign","Effect":"unsafe","TargetMs":500,"GiveUpMs":2000,"Value":1}]}}`
	r.text = edit.Replace(r.text)
	r.configure(t, r.text)
	f := &flags{overrides: config.Overrides{File: r.path}, operatorFile: own}
	c, err := f.load()
	if err != nil {
		t.Fatal(err)
	}
	c.Limits.ShutdownAcceptTime, c.Limits.ShutdownServeTime = 300*time.Millisecond, serveOn
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(r)
	go func() {
		r.end <- serve(c, log, r.term, r.hup, f.load)
	}()
	t.Cleanup(func() {
		r.term <- syscall.SIGTERM
		if err := <-r.end; err != nil {
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

func (r *running) configure(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// logged waits for a line of the log with the text.
func (r *running) logged(t *testing.T, text string) {
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

type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

var txns = 0

// send writes a txn's request; more stands among its headers.
func (c *client) send(method, target, more, body string) {
	txns++
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %016x\r\nX-Ttl-Ms: 1500\r\nX-Shard: 7\r\n%sContent-Length: %d\r\n\r\n%s",
		method, target, txns, more, len(body), body)
}

// reply reads an answer: its status, head and body.
func (c *client) reply(t *testing.T) (status, head, body string) {
	t.Helper()
	length := 0
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			t.Fatalf("after %q: %v", head, err)
		}
		if n, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(n))
		}
		if head += line; line == "\r\n" {
			break
		}
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(c.r, b); err != nil {
		t.Fatal(err)
	}
	return head[9:12], head, string(b)
}

func (c *client) want(t *testing.T, status string) (head, body string) {
	t.Helper()
	got, head, body := c.reply(t)
	if got != status {
		t.Fatalf("status %s, want %s: %q", got, status, head)
	}
	return head, body
}

func TestConversation(t *testing.T) {
	long := strings.Repeat("0123456789", 24_000)
	origin := newStandIn(t, func(id, _, body string) string {
		return strings.Replace(ack(id, "signed "+body), "entity=e1,issued=7,", "", 1)
	})
	cache := newStandIn(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "mine=e1") {
			return id + " NOMOD entity=e1,issued=7 0\r\n\r\n"
		}
		return ack(id, long)
	})
	addr := startRouter(t, cache.Addr().String(), origin.Addr().String()).addr
	c := dial(t, addr)
	io.WriteString(c, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
	c.want(t, "200")
	c.send("GET", "/rpc/page/ab/n-3", "", "")
	if head, body := c.want(t, "200"); body != long || !strings.Contains(head, "ETag: \"e1\"") {
		t.Fatalf("%d bytes behind %q", len(body), head)
	}
	line := <-cache.got
	if want := fmt.Sprintf("GET %016x queue=page,path=ab,blk=3,budget=", txns); !strings.HasPrefix(line, want) ||
		!strings.Contains(line, ",miss=o,prio=2") {
		t.Fatal(line)
	}
	c.send("GET", "/rpc/page/ab/n-3", "If-None-Match: \"e1\"\r\n", "")
	if _, body := c.want(t, "304"); body != "" {
		t.Fatal(body)
	}
	c.send("PUT", "/rpc/sign/cd", "X-Second-Try: 1\r\n", "name")
	if _, body := c.want(t, "200"); body != "signed name" {
		t.Fatal(body)
	}
	if line := <-origin.got; strings.Contains(line, "miss=") || !strings.HasSuffix(line, " 4") {
		t.Fatal(line)
	}
}

func TestBadRequestsAreAnswered(t *testing.T) {
	none := newStandIn(t, func(string, string, string) string { return "" })
	addr := startRouter(t, none.Addr().String(), none.Addr().String()).addr
	c := dial(t, addr)
	for target, status := range map[string]string{
		"/rpc/none/x": "404", "/other": "404", "/rpc/page/a,b": "400",
		"/rpc/page/a/n--1": "400", "/rpc/page/a/3": "400", "/rpc/sign/x": "405", "/rpc/page/" + strings.Repeat("x", 200): "400",
	} {
		c.send("GET", target, "", "")
		c.want(t, status)
	}
	// What doesn't fit a cache server's line once closed it over other hops.
	for _, header := range []string{
		"X-Txn: 12", "X-Ttl-Ms: -5", "X-Ttl-Ms: soon", "X-Ttl-Ms: 9000000", "X-Ttl-Ms: NaN",
		"X-Shard: 256", "X-Shard: 1\r\nX-Shard: 1", "X-Shard: 01", "X-Shard: 1\r\nContent-Length: 2\r\n",
		"X-Shard: 1\r\nIf-None-Match: " + strings.Repeat("x", 200),
	} {
		name, _, _ := strings.Cut(header, ":")
		text := "GET /rpc/page/x HTTP/1.1\r\nHost: x\r\nX-Txn: 00000000000000aa\r\nX-Ttl-Ms: 5\r\nX-Shard: 1\r\n\r\n"
		at := strings.Index(text, name)
		io.WriteString(c, text[:at]+header+text[at+strings.Index(text[at:], "\r"):])
		c.want(t, "400")
	}
	for text, status := range map[string]string{
		"nonsense\r\n\r\n": "400", "GET /" + strings.Repeat("x", 20_000): "431",
		"PUT / HTTP/1.1\r\nContent-Length: 48001\r\n\r\n":                                      "413",
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n": "501",
		"GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n": "501",
	} {
		c := dial(t, addr)
		io.WriteString(c, text)
		c.want(t, status)
		if _, err := c.r.ReadByte(); err == nil {
			t.Errorf("%.20q: the connection goes on", text)
		}
	}
	if len(none.got) > 0 {
		t.Errorf("a hop went out: %s", <-none.got)
	}
}

// A wait for a hop once didn't see that its client had gone.
func TestLeavingClientCancelsItsAttempt(t *testing.T) {
	silent := newStandIn(t, func(string, string, string) string { return "" })
	addr := startRouter(t, silent.Addr().String(), silent.Addr().String()).addr
	c := dial(t, addr)
	c.send("GET", "/rpc/page/x", "", "")
	id := strings.Fields(<-silent.got)[1]
	c.Close()
	if line := <-silent.got; line != "DROP "+id {
		t.Fatal(line)
	}
}

func TestSilentEndpointDelaysNoOtherAttempt(t *testing.T) {
	cache := newStandIn(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "path=slow,") {
			return ""
		}
		return ack(id, "quick")
	})
	addr := startRouter(t, cache.Addr().String(), cache.Addr().String()).addr
	slow, quick := dial(t, addr), dial(t, addr)
	slow.send("GET", "/rpc/page/slow", "", "")
	<-cache.got
	quick.send("GET", "/rpc/page/x", "", "")
	quick.want(t, "200")
	// The slow one is answered in its time, too, and its connection goes on.
	if status, _, _ := slow.reply(t); status != "503" && status != "504" {
		t.Fatal(status)
	}
	slow.send("GET", "/rpc/page/x", "", "")
	slow.want(t, "200")
}

// What broke off, or broke the protocol, was answered whole by the next try.
func TestBrokenResponsesAreRetried(t *testing.T) {
	for _, first := range []string{"CLOSE", "%s ACK entity=e,issued=7 10\r\n01234CLOSE", "%s ACK - -1\r\n", "%s ACK - 0\r\n\r\n", "x\r\n"} {
		tries := 0
		server := newStandIn(t, func(id, _, _ string) string {
			if tries++; tries == 1 {
				return strings.Replace(first, "%s", id, 1)
			}
			return ack(id, "whole")
		})
		addr := startRouter(t, server.Addr().String(), server.Addr().String()).addr
		c := dial(t, addr)
		c.send("GET", "/rpc/page/x", "", "")
		if _, body := c.want(t, "200"); body != "whole" {
			t.Errorf("%q: %q", first, body)
		}
	}
}

// An unrepeatable txn that may have run is aborted; where it is proven that it
// has not, it goes again and may be rejected.
func TestUnsafeRequestsAreNotRetried(t *testing.T) {
	for answer, want := range map[string]string{"%s EIO - 0\r\n\r\n": "504", "CLOSE": "504", "%s AGAIN - 0\r\n\r\n": "503"} {
		origin := newStandIn(t, func(id, _, _ string) string { return strings.Replace(answer, "%s", id, 1) })
		addr := startRouter(t, origin.Addr().String(), origin.Addr().String()).addr
		c := dial(t, addr)
		c.send("PUT", "/rpc/sign/x", "", "name")
		head, _ := c.want(t, want)
		if tries := len(origin.got); (tries > 1) != (want == "503") {
			t.Errorf("%q: %d tries", answer, tries)
		}
		if strings.Contains(head, "X-Throttle-Ms: 500") != (want == "503") {
			t.Errorf("%q: %s", answer, head)
		}
	}
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	gone := reserveAddress(t) // nobody listens there
	addr := startRouter(t, gone, gone).addr
	c := dial(t, addr)
	c.send("PUT", "/rpc/sign/x", "", "name")
	c.want(t, "503")
}

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
	cache := newStandIn(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "path=held,") {
			<-release
		}
		return ack(id, "there")
	})
	r := startRouter(t, cache.Addr().String(), cache.Addr().String())
	addr, term, end := r.addr, r.term, r.end
	held := dial(t, addr)
	held.send("GET", "/rpc/page/held", "", "")
	<-cache.got
	term <- syscall.SIGTERM
	late := dial(t, addr)
	late.send("GET", "/rpc/page/x", "", "")
	late.want(t, "200")
	close(release)
	held.want(t, "200")
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
	cache := newStandIn(t, func(id, fields, _ string) string {
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
	held.send("GET", "/rpc/page/held", "", "")
	<-cache.got
	for _, bad := range []string{"{", strings.Replace(r.text, `"board":"127.0.0.1:1"`, `"board":"here"`, 1)} {
		r.configure(t, bad)
		r.hup <- syscall.SIGHUP
		r.logged(t, "the old one stays")
	}
	// Its first event is known already; the second takes the cache away.
	text := strings.Replace(r.text, "127.0.0.1:1\"", other.Addr().String()+"\"", 1)
	text = strings.Replace(text, `}]}}]}`, `}]}},{"rev":2,"pool":{"targets":[{"uid":"c","state":"draining"}]}}]}`, 1)
	r.configure(t, strings.Replace(text, `"seed":"1"`, `"seed":"2"`, 1))
	r.hup <- syscall.SIGHUP
	r.logged(t, "key=seed")
	r.logged(t, "scope=diff")
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
		r.hup <- syscall.SIGHUP
	}
	close(release)
	held.want(t, "200")
}
