package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["farpurge"] = playFarPurge }

const (
	purgeGrace    = 300 * time.Millisecond // PurgeGraceMs of the settings
	socketSlack   = 50 * time.Millisecond  // by which each time limit is longer on sockets
	purgedGroups  = 128                    // of 256: half of the groups are purged at once, the object's among them
	clearedWithin = 6 * time.Second        // ClearedWithinMs of the settings
)

// southCopies are the copies that the caches of the southern site keep. They were made before the
// purge, and lie about until the purge has reached these caches.
type southCopies struct {
	mu     sync.Mutex
	issued map[string]time.Time
}

// handle answers with the copy that is kept, if it is young enough, else with a new one.
func (c *southCopies) handle(a *attempt) answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	issued, kept := c.issued[a.object]
	detail := "HIT"
	if !kept || a.within > 0 && now.Sub(issued) > a.within {
		issued, detail = now, "MISS_ORIGIN"
		c.issued[a.object] = issued
	}
	millis := issued.UnixMilli()
	return answer{
		word: "ACK", tag: fmt.Sprint("v", millis), issued: millis, detail: detail, delay: 20 * time.Millisecond,
		body: []byte(fmt.Sprint(millis)),
	}
}

// playFarPurge kills a router, under its supervisor, after a purge was told to it, and starts it again.
// While its own caches are full, it forwards requests to another site. No answer may be older than the purge.
func playFarPurge(s *stage) (broken int, err error) {
	sites, err := newTwoSites(s)
	if err != nil {
		return 0, err
	}
	defer sites.end()
	object := pageName(1)
	first, err := sites.askUntilAnswered(object)
	if err != nil {
		return 0, err
	}
	s.rec.note("before the purge: a copy of %s", first)
	purgedAt := time.Now()
	for group := range purgedGroups {
		sites.northBoard.post("flush", map[string]any{"collection": group, "ms": purgedAt.UnixMilli()})
	}
	told := time.Now()
	s.rec.note("purge of half of the groups of %d told to the router", purgedAt.UnixMilli())
	if s.trouble {
		time.Sleep(200 * time.Millisecond)
		sites.north.stop()
		s.rec.note("the router was killed")
		if err := sites.configureNorth(); err != nil {
			return 0, err
		}
		if err := sites.north.start(); err != nil {
			return 0, err
		}
		s.rec.note("the router is ready again")
	}
	c := &client{addr: sites.north.listen}
	defer c.drop()
	answered := 0
	for time.Since(purgedAt) < clearedWithin-500*time.Millisecond {
		q := &request{method: http.MethodGet, class: classVideo, object: object, group: 17, ttl: 2 * time.Second}
		sent := time.Now()
		out := c.do(q, 3*time.Second)
		s.rec.note("%s sent, status %d, copy of %q, error %v", q.id, out.status, out.body, out.err)
		if out.status == http.StatusOK {
			answered++
			var issued int64
			if _, err := fmt.Sscan(string(out.body), &issued); err != nil {
				return 0, err
			}
			if issued < purgedAt.UnixMilli() && sent.Sub(told) > purgeGrace+socketSlack {
				broken++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.rec.say("%d requests answered after the purge, %d of them with a copy from before it", answered, broken)
	if answered == 0 {
		return 0, errors.New("no request was answered after the purge")
	}
	return broken, nil
}

// twoSites are a northern site whose servers are full, and a southern one that is calm.
type twoSites struct {
	*stage
	servers                []*server
	northBoard, southBoard *board
	north, south           *router
}

func newTwoSites(s *stage) (*twoSites, error) {
	if err := s.binaries(); err != nil {
		return nil, err
	}
	t := &twoSites{stage: s}
	copies := &southCopies{issued: map[string]time.Time{}}
	full := func(*attempt) answer { return answer{word: "AGAIN", delay: 5 * time.Millisecond} }
	var err error
	if t.northBoard, err = t.newSite("north", full); err != nil {
		return nil, err
	}
	if t.southBoard, err = t.newSite("south", copies.handle); err != nil {
		return nil, err
	}
	if t.north, err = newRouter(s.root, s.folder, "n1"); err != nil {
		return nil, err
	}
	if t.south, err = newRouter(s.root, s.folder, "s1"); err != nil {
		return nil, err
	}
	// The operator of the northern site supervises the router.
	t.north.command = strings.Replace(t.north.command, " serve", " keep", 1)
	if err := t.writeOperatorFiles(); err != nil {
		return nil, err
	}
	if err := t.configureNorth(); err != nil {
		return nil, err
	}
	if err := t.south.configure(t.southBoard, t.limits(), leaseSettings(), flowBytesPerSecond); err != nil {
		return nil, err
	}
	if err := t.south.start(); err != nil {
		return nil, err
	}
	return t, t.north.start()
}

func (t *twoSites) limits() map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
}

func (t *twoSites) configureNorth() error {
	return t.north.configure(t.northBoard, t.limits(), leaseSettings(), flowBytesPerSecond)
}

// newSite starts two caches, a parent and the ledger of a site, and its notice board.
func (t *twoSites) newSite(site string, handle func(*attempt) answer) (*board, error) {
	var list []target
	for i, kind := range []string{"small-box", "small-box", "parent", "origin"} {
		server, err := newServer(t.rec, fmt.Sprintf("%s-%d", site, i), kind, handle)
		if err != nil {
			return nil, err
		}
		t.servers = append(t.servers, server)
		zone := "edge-1"
		if kind == "parent" || kind == "origin" {
			zone = "trunk-a"
		}
		list = append(list, target{UID: server.id, Endpoint: server.addr, AZ: zone, Model: kind, State: "ready", Capacity: 10})
	}
	return newBoard(list)
}

// writeOperatorFiles makes the keys and writes the operators' files of both routers.
func (t *twoSites) writeOperatorFiles() error {
	keys := exec.Command(filepath.Join(t.root, "bin", "quilldoor"), "keys", "n1", "s1", "--out", t.folder)
	if text, err := keys.CombinedOutput(); err != nil {
		return fmt.Errorf("keys: %w: %s", err, text)
	}
	northAddr, err := freeAddr()
	if err != nil {
		return err
	}
	southAddr, err := freeAddr()
	if err != nil {
		return err
	}
	gateway := func(name, site, listen, peer, peerSite, peerAddr string) string {
		return fmt.Sprintf("gateway:\n  name: %s\n  site: %s\n  listen: %s\n  cert: %[4]s/%[1]s.pem\n  key: %[4]s/%[1]s.key\n"+
			"  ca: %[4]s/ca.pem\n  peers: [{name: %[5]s, site: %[6]s, addr: \"%[7]s\"}]\n", name, site, listen, t.folder, peer, peerSite, peerAddr)
	}
	north := gateway("n1", "north", northAddr, "s1", "south", southAddr) +
		fmt.Sprintf("keep:\n  folder: %s\n  trial_s: 1\n", filepath.Join(t.north.folder, "keep"))
	if err := t.north.operate(north); err != nil {
		return err
	}
	return t.south.operate(gateway("s1", "south", southAddr, "n1", "north", northAddr))
}

// askUntilAnswered asks for an object until the other site has answered, and returns the body.
func (t *twoSites) askUntilAnswered(object string) (string, error) {
	c := &client{addr: t.north.listen}
	defer c.drop()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		q := &request{method: http.MethodGet, class: classVideo, object: object, group: 17, ttl: 2 * time.Second}
		if out := c.do(q, 3*time.Second); out.status == http.StatusOK {
			return string(out.body), nil
		}
	}
	return "", fmt.Errorf("no request is forwarded to the other site: %s", t.north.tail())
}

func (t *twoSites) end() {
	t.north.stop()
	t.south.stop()
	t.northBoard.close()
	t.southBoard.close()
	for _, server := range t.servers {
		server.close()
	}
}

// operate writes the router's operator's file.
func (r *router) operate(text string) error {
	path := filepath.Join(r.folder, "quilldoor.yaml")
	r.env = append(r.env, "LB_OPERATOR="+path)
	return os.WriteFile(path, []byte(text), 0o600)
}
