package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quilldoor/internal/diskcache/diskstore"
)

// The test's own binary is the router where a test starts one to kill it.
func TestMain(m *testing.M) {
	if os.Getenv("QUILLDOOR_TEST_MAIN") != "" {
		main()
		return
	}
	code := m.Run()
	if code == 0 {
		code = undecided()
	}
	os.Exit(code)
}

// office is a stand-in for all that a router talks to: a cache that always has
// the latest version of each object, the origin, and a notice board whose events
// are numbered from 1 at each start of the router.
type office struct {
	cache *standIn
	board net.Listener

	mu      sync.Mutex
	version map[string]int // of an object, now
	least   map[string]int // that an answer to a request sent now must have
	asked   map[string]int // hops by object
	events  []string       // of the board since the router's start; the first is no purge
	polled  int            // last event that the router has
	proofs  int
	hops    int
}

func newOffice(t *testing.T) *office {
	o := &office{version: map[string]int{}, least: map[string]int{}, asked: map[string]int{}}
	o.cache = newStandIn(t, o.answer)
	go func() { // nobody reads the lines
		for range o.cache.got {
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.board = l
	go func() { _ = http.Serve(l, http.HandlerFunc(o.poll)) }() // until the listener is closed
	t.Cleanup(func() { l.Close() })
	return o
}

func bodyOf(object, part string, version int) string {
	return strings.Repeat(fmt.Sprintf("%s/%s version %d;", object, part, version), 150)
}

func (o *office) answer(id, fields, body string) string {
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
	v := o.version[object]
	tag := fmt.Sprintf("%s.%s.%d", object, field["blk"], v)
	o.hops++
	if field["mine"] == tag {
		o.proofs++
		return fmt.Sprintf("%s NOMOD entity=%s,issued=%d 0\r\n\r\n", id, tag, time.Now().UnixMilli())
	}
	text := bodyOf(object, field["blk"], v)
	return fmt.Sprintf("%s ACK entity=%s,issued=%d,detail=HIT %d\r\n%s\r\n", id, tag, time.Now().UnixMilli(), len(text), text)
}

func (o *office) poll(w http.ResponseWriter, r *http.Request) {
	watch, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	o.mu.Lock()
	o.polled = max(o.polled, watch) // once: the poll of a router that was killed goes on for a while
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
func (o *office) purge(objects []string, group int, told bool) {
	o.mu.Lock()
	for _, object := range objects {
		o.version[object]++
	}
	at := time.Now().UnixMilli()
	rev := len(o.events) + 1
	what := fmt.Sprintf(`"asset":%q`, objects[0])
	if group > 0 {
		what = fmt.Sprintf(`"collection":%d`, group)
	}
	if told {
		o.events = append(o.events, fmt.Sprintf(`{"rev":%d,"flush":{%s,"ms":%d}}`, rev, what, at))
	}
	o.mu.Unlock()
	for until := time.Now().Add(5 * time.Second); told && time.Now().Before(until); time.Sleep(time.Millisecond) {
		o.mu.Lock()
		has := o.polled >= rev
		o.mu.Unlock()
		if has {
			break
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, object := range objects {
		o.least[object] = o.version[object]
	}
}

// load asks for objects until the router is gone, and judges each answer.
func (o *office) load(addr string, seed uint64, served, wrong *atomic.Int64, told func(string)) {
	r := rand.New(rand.NewPCG(seed, 9))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		object := fmt.Sprintf("o%d", int(r.ExpFloat64()*4)%40)
		part := strconv.Itoa(r.IntN(3))
		method, target, body := "GET", "/rpc/page/"+object+"/n-"+part, ""
		switch r.IntN(40) {
		case 0: // read, but not to be repeated, so not to be kept
			target = "/rpc/draw/" + object
		case 1:
			method, target, body = "PUT", "/rpc/sign/"+object, "SECRET-ACCEPTANCE"
		}
		o.mu.Lock()
		least := o.least[object]
		o.mu.Unlock()
		fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nX-Txn: %016x\r\nX-Ttl-Ms: 1500\r\nX-Shard: %d\r\nContent-Length: %d\r\n\r\n%s",
			method, target, r.Uint64(), group(object), len(body), body)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		got, err := io.ReadAll(res.Body)
		if err != nil {
			return // killed within its answer
		}
		if res.StatusCode == 304 {
			wrong.Add(1)
			told("304 to a client without a copy")
		}
		if method == "PUT" || strings.HasPrefix(target, "/rpc/draw/") || res.StatusCode != 200 {
			continue
		}
		served.Add(1)
		v := -1
		_, _ = fmt.Sscanf(string(got), object+"/"+part+" version %d;", &v) // -1 where it is no such body
		if v < least || string(got) != bodyOf(object, part, v) {
			wrong.Add(1)
			told(fmt.Sprintf("%s/%s: %.40q, version %d at least", object, part, got, least))
		}
	}
}

func group(object string) int { return 1 + len(object)%2 }

// A router under load is killed outright, mid-write, again and again. Nothing
// torn, nothing older than a purge, nothing forbidden comes from its disk.
func TestKilledRouterServesNothingStale(t *testing.T) {
	const rounds = 20
	o := newOffice(t)
	dir := t.TempDir()
	folder := filepath.Join(dir, "tier")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	addr := reserveAddress(t) // the router binds it again after each death
	target := `{"uid":"%s","endpoint":"%s","az":"z","model":"%s","state":"ready","capacity_hint":50}`
	pool := `{"rev":1,"pool":{"all":true,"targets":[` + fmt.Sprintf(target, "c", o.cache.Addr(), "box") + "," +
		fmt.Sprintf(target, "o", o.cache.Addr(), "origin") + `]}}`
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings := `"settings":{"Zone":"z","Zones":["z"],"Kinds":["box","origin"],"Siblings":1,
	  "FamilyInfo":{"MasterKind":1,"BypassAllowed":true,"GoesThrough":[false,true,false],"NotesGiven":"all",
	   "GoodForMs":[60000,0,60000],"ClassGraceMs":[60000,0,0],"ClearedWithinMs":200},
	  "Limits":{"MostTries":6,"Cancel":true,"StreamsPerConn":32},
	  "Classes":[{"Name":"page","Effect":"safe","TargetMs":500,"GiveUpMs":2000,"Value":1},
	   {"Name":"sign","Effect":"unsafe","TargetMs":500,"GiveUpMs":2000,"Value":1},
	   {"Name":"draw","Effect":"unsafe","TargetMs":500,"GiveUpMs":2000,"Value":1}]}}`
	config := write("config.json", `{"name":"t","listen":"`+addr+`","seed":"1","board":"`+o.board.Addr().String()+
		`","known":{"rev":1,"notices":[`+pool+`]},`+settings)
	own := write("quilldoor.yaml", "disk:\n  path: "+folder+"\n  size_mb: 16\n  slot_kb: 1\n  sync_ms: 10\n  write_mb_per_s: 2\n"+
		"metrics:\n  file: "+filepath.Join(dir, "figures")+"\n  every_s: 1\n")
	var served, wrong atomic.Int64
	parts, unproven := 0, 0
	r := rand.New(rand.NewPCG(4, 4))
	for round := range rounds {
		o.mu.Lock()
		o.events, o.polled = []string{pool}, 0
		o.mu.Unlock()
		var log bytes.Buffer
		router := exec.Command(os.Args[0], "serve", "--config", config, "--operator", own, "--log-format", "json")
		router.Env = append(os.Environ(), "QUILLDOOR_TEST_MAIN=1", "LB_CONFIG=", "LB_NAME=", "LB_LISTEN=", "LB_OPERATOR=")
		router.Stderr = &log
		if err := router.Start(); err != nil {
			t.Fatal(err)
		}
		up := false
		for until := time.Now().Add(10 * time.Second); !up && time.Now().Before(until); time.Sleep(time.Millisecond) {
			if res, err := http.Get("http://" + addr + "/health"); err == nil {
				res.Body.Close()
				up = res.StatusCode == 200
			}
		}
		if !up {
			router.Process.Kill()
			router.Wait()
			t.Fatalf("round %d: the router isn't ready: %s", round, log.String())
		}
		var clients sync.WaitGroup
		for i := range 4 {
			clients.Go(func() {
				o.load(addr, uint64(round*10+i), &served, &wrong, func(what string) { t.Errorf("round %d: %s", round, what) })
			})
		}
		time.Sleep(time.Duration(120+r.IntN(60)) * time.Millisecond)
		o.purge([]string{fmt.Sprintf("o%d", r.IntN(8))}, 0, true)
		if round%3 == 0 {
			o.purge([]string{"o1", "o2", "o3", "o5"}, group("o1"), true)
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
		router.Process.Kill()
		router.Wait()
		clients.Wait()
		if strings.Contains(log.String(), `"level":"error"`) || strings.Contains(log.String(), "panic") {
			t.Fatalf("round %d: %s", round, log.String())
		}
		report, err := diskstore.Inspect(diskstore.Dir{Path: folder, ReadOnly: true}, true)
		if err != nil || !report.Intact() {
			t.Fatalf("round %d: %+v, %v", round, report, err)
		}
		parts = report.Parts
		// Nobody tells the next router of these.
		down := []string{fmt.Sprintf("o%d", r.IntN(4)), fmt.Sprintf("o%d", r.IntN(20))}
		o.purge(down, 0, false)
		unproven += len(down)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.Logf("%d rounds: %d txns served, %d hops, %d copies proven, %d parts at the end, %d purges untold",
		rounds, served.Load(), o.hops, o.proofs, parts, unproven)
	if int(served.Load()) < o.hops+500 || o.proofs < rounds || parts < 30 {
		t.Error("the disk did too little for this test to tell anything")
	}
	if err := filepath.WalkDir(folder, func(path string, _ os.DirEntry, _ error) error {
		if b, _ := os.ReadFile(path); bytes.Contains(b, []byte("SECRET")) {
			t.Errorf("%s holds an acceptance", path)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
	if figures, err := os.ReadFile(filepath.Join(dir, "figures")); err != nil || !strings.Contains(string(figures), `quilldoor_disk_looks_total{reason="good"}`) {
		t.Errorf("figures: %v, %.200s", err, figures)
	}
}

// What the disk has stands before the module: served while fresh, proven when it
// is not, and given in place of a refusal within its grace.
func TestCopiesOnDisk(t *testing.T) {
	dir, own := t.TempDir(), filepath.Join(t.TempDir(), "own.yaml")
	if err := os.WriteFile(own, []byte("disk: {path: "+dir+", size_mb: 16, slot_kb: 1, sync_ms: 10, read_wait_ms: 500}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var mode atomic.Value
	mode.Store("ack")
	body := strings.Repeat("video", 200)
	cache := newStandIn(t, func(id, fields, _ string) string {
		now := time.Now().UnixMilli()
		switch m := mode.Load().(string); {
		case m == "full":
			return id + " AGAIN - 0\r\n\r\n"
		case m == "odd" && strings.Contains(fields, "mine="):
			return fmt.Sprintf("%s NOMOD entity=other,issued=%d 0\r\n\r\n", id, now)
		case m == "same" && strings.Contains(fields, "mine=e1"):
			return fmt.Sprintf("%s NOMOD entity=e1,issued=%d 0\r\n\r\n", id, now)
		}
		return fmt.Sprintf("%s ACK entity=e1,issued=%d,detail=HIT %d\r\n%s\r\n", id, now, len(body), body)
	})
	hops := func() (n int) {
		for ; len(cache.got) > 0; n++ {
			<-cache.got
		}
		return n
	}
	const fresh = 1500 * time.Millisecond
	r := startWith(t, cache.Addr().String(), cache.Addr().String(), own, strings.NewReplacer(`"NotesGiven":"all"`,
		`"NotesGiven":"all","GoodForMs":[1500,0],"ClassGraceMs":[60000,0],"ClearedWithinMs":1`))
	r.logged(t, "disk cache recovered")
	time.Sleep(150 * time.Millisecond) // copies given out from now on are vouched for
	c := dial(t, r.addr)
	ask := func(more, status string) string {
		c.send("GET", "/rpc/page/film/n-1", more, "")
		_, got := c.want(t, status)
		return got
	}
	for range 2 {
		ask("", "200")
	}
	at := time.Now()
	time.Sleep(50 * time.Millisecond)
	hops()
	mode.Store("full")
	if got := ask("", "200"); got != body {
		t.Fatalf("%.20q from disk", got)
	}
	if got := ask("If-None-Match: \"e1\"\r\n", "304"); got != "" {
		t.Fatal("bytes behind a 304")
	}
	if n := hops(); n > 0 {
		t.Fatalf("%d hops for what the disk has", n)
	}
	time.Sleep(time.Until(at.Add(fresh + 100*time.Millisecond)))
	if got := ask("", "200"); got != body { // past its fresh time: asked for, refused, stands in
		t.Fatalf("%.20q where the module refuses", got)
	}
	if hops() == 0 {
		t.Fatal("past its fresh time, and the module was not asked")
	}
	mode.Store("odd")
	// A proof of something else is none: it counts as an error, in whose place the copy stands in, unproven.
	if got := ask("", "200"); got != body || hops() == 0 {
		t.Fatalf("%.20q behind a proof of another copy", got)
	}
	mode.Store("same")
	if got := ask("", "200"); got != body {
		t.Fatalf("%.20q proven", got)
	}
	if n := hops(); n != 1 {
		t.Fatalf("%d hops for a proof", n)
	}
	if got := ask("", "200"); got != body || hops() != 0 {
		t.Fatal("proven, and asked for again")
	}
	mode.Store("full")
	c.send("PUT", "/rpc/sign/film", "", "name")
	c.want(t, "503")
}
