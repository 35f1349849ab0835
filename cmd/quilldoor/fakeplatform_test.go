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

// fakePlatform contains all services that a router connects to: a cache that always has the
// latest version of each object, the origin, and discovery, whose events are numbered from 1
// at each start of the router.
type fakePlatform struct {
	cache     *fakeEndpoint
	discovery net.Listener

	mu            sync.Mutex
	versions      map[string]int // current version by object
	minVersions   map[string]int // oldest version with which a request sent now may be answered, by object
	events        []string       // of discovery since the router's start; the first is the endpoint list
	lastPolled    int            // number of the last event that the router has received
	revalidations int
	attempts      int
}

func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{versions: map[string]int{}, minVersions: map[string]int{}}
	p.cache = newFakeEndpoint(t, p.respond)
	go func() { // no test reads the received lines
		for range p.cache.received {
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.discovery = listener
	go func() { _ = http.Serve(listener, http.HandlerFunc(p.servePoll)) }() // until the listener is closed
	t.Cleanup(func() { listener.Close() })
	return p
}

// restartDiscovery replaces all events by a first one, for a new process of the router.
func (p *fakePlatform) restartDiscovery(first string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = []string{first}
	p.lastPolled = 0
}

// objectBody returns the content of one part of an object in a version.
func objectBody(object, part string, version int) string {
	return strings.Repeat(fmt.Sprintf("%s/%s version %d;", object, part, version), 150)
}

// respond answers an attempt as the cache or the origin.
func (p *fakePlatform) respond(id, fields, body string) string {
	values := map[string]string{}
	for pair := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(pair, "=")
		values[name] = value
	}
	if values["queue"] == "sign" {
		return fmt.Sprintf("%s ACK - %d\r\n%s\r\n", id, len(body), body)
	}
	if values["queue"] == "draw" {
		return fmt.Sprintf("%s ACK entity=e,issued=%d 12\r\nSECRET-DRAWN\r\n", id, time.Now().UnixMilli())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	object := values["path"]
	current := p.versions[object]
	tag := fmt.Sprintf("%s.%s.%d", object, values["blk"], current)
	p.attempts++
	if values["mine"] == tag {
		p.revalidations++
		return fmt.Sprintf("%s NOMOD entity=%s,issued=%d 0\r\n\r\n", id, tag, time.Now().UnixMilli())
	}
	text := objectBody(object, values["blk"], current)
	return fmt.Sprintf("%s ACK entity=%s,issued=%d,detail=HIT %d\r\n%s\r\n",
		id, tag, time.Now().UnixMilli(), len(text), text)
}

// servePoll answers a poll of discovery when there is a new event, or after a while without
// one.
func (p *fakePlatform) servePoll(w http.ResponseWriter, r *http.Request) {
	watch, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	p.mu.Lock()
	// Not in the loop below, in which the poll of a killed router continues for a while.
	p.lastPolled = max(p.lastPolled, watch)
	p.mu.Unlock()
	for deadline := time.Now().Add(200 * time.Millisecond); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		if watch < len(p.events) || time.Now().After(deadline) {
			unseen := strings.Join(p.events[min(watch, len(p.events)):], ",")
			text := fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, len(p.events), unseen)
			p.mu.Unlock()
			io.WriteString(w, text)
			return
		}
		p.mu.Unlock()
	}
}

// purge increments the versions of objects. If the purge is announced, it is also an event of
// discovery, for the collection if one is given and for the first object otherwise, and purge
// returns once the router has polled the event.
func (p *fakePlatform) purge(objects []string, collection int, announced bool) {
	p.mu.Lock()
	for _, object := range objects {
		p.versions[object]++
	}
	purgedAt := time.Now().UnixMilli()
	rev := len(p.events) + 1
	scope := fmt.Sprintf(`"asset":%q`, objects[0])
	if collection > 0 {
		scope = fmt.Sprintf(`"collection":%d`, collection)
	}
	if announced {
		p.events = append(p.events, fmt.Sprintf(`{"rev":%d,"flush":{%s,"ms":%d}}`, rev, scope, purgedAt))
	}
	p.mu.Unlock()
	if announced {
		p.waitForPoll(rev)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, object := range objects {
		p.minVersions[object] = p.versions[object]
	}
}

// waitForPoll waits until the router has polled an event, for 5 s at most.
func (p *fakePlatform) waitForPoll(event int) {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		delivered := p.lastPolled >= event
		p.mu.Unlock()
		if delivered {
			return
		}
	}
}

// loadUntilKilled sends requests until the router is killed, counts the pages served and
// reports each wrong response.
func (p *fakePlatform) loadUntilKilled(addr string, seed uint64, served *atomic.Int64, report func(string)) {
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
		method, target, body := randomRequest(random, object, part)
		p.mu.Lock()
		minVersion := p.minVersions[object]
		p.mu.Unlock()
		fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Ttl-Ms: 1500\r\n"+
			"X-Shard: %d\r\nContent-Length: %d\r\n\r\n%s",
			method, target, random.Uint64(), collectionOf(object), len(body), body)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		got, err := io.ReadAll(response.Body)
		if err != nil {
			return // the router was killed during the response
		}
		if response.StatusCode == 304 {
			report("304 to a client without a copy")
		}
		if method == "PUT" || strings.HasPrefix(target, "/rpc/draw/") || response.StatusCode != 200 {
			continue
		}
		served.Add(1)
		gotVersion := -1 // remains if the body has another form
		_, _ = fmt.Sscanf(string(got), object+"/"+part+" version %d;", &gotVersion)
		if gotVersion < minVersion || string(got) != objectBody(object, part, gotVersion) {
			report(fmt.Sprintf("%s/%s: body %.40q, want version %d or later", object, part, got, minVersion))
		}
	}
}

// randomRequest returns a request, most often for a page, which may be cached, and otherwise of
// one of the two classes that may not be cached.
func randomRequest(random *rand.Rand, object, part string) (method, target, body string) {
	switch random.IntN(40) {
	case 0: // a read that is unsafe to repeat
		return "GET", "/rpc/draw/" + object, ""
	case 1:
		return "PUT", "/rpc/sign/" + object, "SECRET-ACCEPTANCE"
	}
	return "GET", "/rpc/page/" + object + "/n-" + part, ""
}

// collectionOf returns the collection of an object.
func collectionOf(object string) int { return 1 + len(object)%2 }
