package main

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A keyed txn's mark once stayed behind, so that no cache server could have told a
// repeat; one without a mark is no request.
func TestKeyedRequestCarriesItsIdempotencyKey(t *testing.T) {
	origin := newStandIn(t, func(id, _, _ string) string { return id + " ACK - 2\r\nok\r\n" })
	keyed := strings.NewReplacer(`"Effect":"unsafe"`, `"Effect":"keyed","Group":"all","DedupWindowMs":700`)
	addr := startWith(t, origin.Addr().String(), origin.Addr().String(), "", keyed).addr
	c := dial(t, addr)
	c.send("PUT", "/rpc/sign/x", "X-Txn-Key: k-17\r\n", "name")
	c.want(t, "200")
	if line := <-origin.got; !strings.Contains(line, ",uniq=k-17 ") {
		t.Errorf("the mark is missing: %s", line)
	}
	for _, mark := range []string{"", "X-Txn-Key: a,b\r\n", "X-Txn-Key: k\r\nX-Txn-Key: k\r\n", "X-Txn-Key: " + strings.Repeat("k", 200) + "\r\n"} {
		c.send("PUT", "/rpc/sign/x", mark, "name")
		c.want(t, "400")
	}
}

// An answer that names another copy than the client's once made it a 304.
func TestCopyIsCurrentOnlyByItsOwnTag(t *testing.T) {
	cache := newStandIn(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "mine=") {
			return id + " NOMOD entity=e2,issued=7 0\r\n\r\n"
		}
		return ack(id, "bytes")
	})
	c := dial(t, startRouter(t, cache.Addr().String(), cache.Addr().String()).addr)
	c.send("GET", "/rpc/page/x", "If-None-Match: \"e1\"\r\n", "")
	if status, head, _ := c.reply(t); status == "304" {
		t.Errorf("called current: %s", head)
	}
	c.send("GET", "/rpc/page/x", "", "")
	c.want(t, "200")
}

// What a client sent ahead ends with it: neither another hop of the txn in hand nor
// the next txn begins.
func TestNoAttemptBeginsForAClientThatLeft(t *testing.T) {
	cache := newStandIn(t, func(id, fields, _ string) string {
		if strings.Contains(fields, "path=held,") {
			return ""
		}
		return ack(id, "there")
	})
	addr := startRouter(t, cache.Addr().String(), cache.Addr().String()).addr
	c := dial(t, addr)
	c.send("GET", "/rpc/page/held", "", "")
	id := strings.Fields(<-cache.got)[1]
	c.send("GET", "/rpc/page/next", "", "")
	io.WriteString(c, "GET /rpc/pa")
	c.Close()
	if line := <-cache.got; line != "DROP "+id {
		t.Fatal(line)
	}
	other := dial(t, addr)
	other.send("GET", "/rpc/page/other", "", "")
	other.want(t, "200")
	if line := <-cache.got; !strings.Contains(line, "path=other,") {
		t.Errorf("begun for nobody: %s", line)
	}
}

// Once the listener is shut, answers say that their connections end, so that clients
// come back elsewhere before theirs are shut.
func TestResponsesSayCloseOnceTheListenerIsShut(t *testing.T) {
	serveOn = 5 * time.Second
	defer func() { serveOn = 50 * time.Millisecond }()
	cache := newStandIn(t, func(id, _, _ string) string { return ack(id, "there") })
	r := startRouter(t, cache.Addr().String(), cache.Addr().String())
	c, resting := dial(t, r.addr), dial(t, r.addr)
	resting.send("GET", "/rpc/page/x", "", "")
	resting.want(t, "200")
	r.term <- syscall.SIGTERM
	r.term <- syscall.SIGTERM // a second one changes nothing
	for closing := false; !closing; {
		c.send("GET", "/rpc/page/x", "", "")
		head, _ := c.want(t, "200")
		<-cache.got
		closing = strings.Contains(head, "Connection: close")
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("behind the last answer: %v", err)
	}
	// One that rests until it is let go sees a plain end, no reset.
	if _, err := resting.r.ReadByte(); err != io.EOF {
		t.Errorf("the resting client: %v", err)
	}
	resting.Close()
	if err := <-r.end; err != nil {
		t.Error(err)
	}
	<-r.term // the cleanup's place
	r.end <- nil
}

// Many commands at once are answered one by one, each once and in order.
func TestManyCommandsAtOnce(t *testing.T) {
	const most = 200 // more than the buffer holds
	cache := newStandIn(t, func(id, fields, _ string) string { return ack(id, fields[:strings.Index(fields, ",blk")]) })
	c := dial(t, startRouter(t, cache.Addr().String(), cache.Addr().String()).addr)
	go func() {
		for n := range most {
			fmt.Fprintf(c, "GET /rpc/page/p%d HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Ttl-Ms: 2000\r\nX-Shard: 1\r\n\r\n", n, 1<<40+n)
		}
	}()
	for n := range most {
		if _, body := c.want(t, "200"); body != fmt.Sprintf("queue=page,path=p%d", n) {
			t.Fatalf("answer %d: %q", n, body)
		}
	}
}
