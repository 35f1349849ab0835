package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fakePlatform is a stand-in for all that a router talks to: a cache that always has
// the latest version of each object, the origin, and a notice board whose events
// are numbered from 1 at each start of the router.
type fakePlatform struct {
	cache     *fakeEndpoint
	discovery net.Listener

	mu            sync.Mutex
	versions      map[string]int // of an object, now
	minVersions   map[string]int // that an answer to a request sent now must have
	asked         map[string]int // hops by object
	events        []string       // of the board since the router's start; the first is no purge
	lastPolled    int            // last event that the router has
	revalidations int
	attempts      int
}

func newFakePlatform(t *testing.T) *fakePlatform {
	o := &fakePlatform{versions: map[string]int{}, minVersions: map[string]int{}, asked: map[string]int{}}
	o.cache = newFakeEndpoint(t, o.respond)
	go func() { // nobody reads the lines
		for range o.cache.received {
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.discovery = l
	go func() { _ = http.Serve(l, http.HandlerFunc(o.servePoll)) }() // until the listener is closed
	t.Cleanup(func() { l.Close() })
	return o
}

func objectBody(object, part string, version int) string {
	return strings.Repeat(fmt.Sprintf("%s/%s version %d;", object, part, version), 150)
}

func (o *fakePlatform) respond(id, fields, body string) string {
	field := map[string]string{}
	for f := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(f, "=")
		field[name] = value
	}
	if field["queue"] == "sign" {
		return fmt.Sprintf("%s ACK - %d\r\n%s\r\n", id, len(body), body)
	}
	if field["queue"] == "draw" {
		return fmt.Sprintf("%s ACK entity=e,issued=%d 12\r\nSECRET-DRAWN\r\n", id, time.Now().UnixMilli())
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	object := field["path"]
	current := o.versions[object]
	tag := fmt.Sprintf("%s.%s.%d", object, field["blk"], current)
	o.attempts++
	if field["mine"] == tag {
		o.revalidations++
		return fmt.Sprintf("%s NOMOD entity=%s,issued=%d 0\r\n\r\n", id, tag, time.Now().UnixMilli())
	}
	text := objectBody(object, field["blk"], current)
	return fmt.Sprintf("%s ACK entity=%s,issued=%d,detail=HIT %d\r\n%s\r\n", id, tag, time.Now().UnixMilli(), len(text), text)
}

func (o *fakePlatform) servePoll(w http.ResponseWriter, r *http.Request) {
	watch, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	o.mu.Lock()
	o.lastPolled = max(o.lastPolled, watch) // once: the poll of a router that was killed goes on for a while
	o.mu.Unlock()
	for until := time.Now().Add(200 * time.Millisecond); ; time.Sleep(time.Millisecond) {
		o.mu.Lock()
		if watch < len(o.events) || time.Now().After(until) {
			text := fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, len(o.events), strings.Join(o.events[min(watch, len(o.events)):], ","))
			o.mu.Unlock()
			io.WriteString(w, text)
			return
		}
		o.mu.Unlock()
	}
}

// purge makes new versions; told says that the board has it, and returns once
// the router has it from there.
func (o *fakePlatform) purge(objects []string, collection int, announced bool) {
	o.mu.Lock()
	for _, object := range objects {
		o.versions[object]++
	}
	at := time.Now().UnixMilli()
	rev := len(o.events) + 1
	scope := fmt.Sprintf(`"asset":%q`, objects[0])
	if collection > 0 {
		scope = fmt.Sprintf(`"collection":%d`, collection)
	}
	if announced {
		o.events = append(o.events, fmt.Sprintf(`{"rev":%d,"flush":{%s,"ms":%d}}`, rev, scope, at))
	}
	o.mu.Unlock()
	for until := time.Now().Add(5 * time.Second); announced && time.Now().Before(until); time.Sleep(time.Millisecond) {
		o.mu.Lock()
		delivered := o.lastPolled >= rev
		o.mu.Unlock()
		if delivered {
			break
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, object := range objects {
		o.minVersions[object] = o.versions[object]
	}
}

// loadUntilKilled asks for objects until the router is gone, and judges each answer.
func (o *fakePlatform) loadUntilKilled(addr string, seed uint64, served, wrongResponses *atomic.Int64, report func(string)) {
	random := rand.New(rand.NewPCG(seed, 9))
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		object := fmt.Sprintf("o%d", int(random.ExpFloat64()*4)%40)
		part := strconv.Itoa(random.IntN(3))
		method, target, body := "GET", "/rpc/page/"+object+"/n-"+part, ""
		switch random.IntN(40) {
		case 0: // read, but not to be repeated, so not to be kept
			target = "/rpc/draw/" + object
		case 1:
			method, target, body = "PUT", "/rpc/sign/"+object, "SECRET-ACCEPTANCE"
		}
		o.mu.Lock()
		minVersion := o.minVersions[object]
		o.mu.Unlock()
		fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Ttl-Ms: 1500\r\nX-Shard: %d\r\nContent-Length: %d\r\n\r\n%s",
			method, target, random.Uint64(), collectionOf(object), len(body), body)
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		got, err := io.ReadAll(res.Body)
		if err != nil {
			return // killed within its answer
		}
		if res.StatusCode == 304 {
			wrongResponses.Add(1)
			report("304 to a client without a copy")
		}
		if method == "PUT" || strings.HasPrefix(target, "/rpc/draw/") || res.StatusCode != 200 {
			continue
		}
		served.Add(1)
		gotVersion := -1
		_, _ = fmt.Sscanf(string(got), object+"/"+part+" version %d;", &gotVersion) // -1 where it is no such body
		if gotVersion < minVersion || string(got) != objectBody(object, part, gotVersion) {
			wrongResponses.Add(1)
			report(fmt.Sprintf("%s/%s: %.40q, version %d at least", object, part, got, minVersion))
		}
	}
}

func collectionOf(object string) int { return 1 + len(object)%2 }
