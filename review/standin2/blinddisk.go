package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["blinddisk"] = playBlindDisk }

const (
	lookupsClass   = "match-lookups"
	outageTime     = 12 * time.Second // of the notice board
	longestTelling = 7 * time.Second  // after which an event counts as told, whether or not it arrived
	tmGrace        = 500 * time.Millisecond
)

// pageCache is a cache that keeps one copy of each object, until a purge has reached it.
type pageCache struct {
	mu     sync.Mutex
	issued map[string]time.Time
}

func (c *pageCache) handle(a *attempt) answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	limit := a.within
	if limit == 0 {
		limit = 12 * time.Second // the fresh time of the class
	}
	issued, kept := c.issued[a.object]
	detail := "HIT"
	if !kept || now.Sub(issued) > limit {
		issued, detail = now, "MISS_ORIGIN"
		c.issued[a.object] = issued
	}
	millis := issued.UnixMilli()
	reply := answer{word: "ACK", tag: fmt.Sprint("v", millis), issued: millis, detail: detail, delay: 15 * time.Millisecond}
	if a.tag == reply.tag {
		reply.word = "NOMOD"
		return reply
	}
	reply.body = []byte(fmt.Sprintf("%d%s", millis, strings.Repeat(" ", 8_000)))
	return reply
}

// purge drops the copies, as a purge does that has reached the cache.
func (c *pageCache) purge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.issued)
}

// playBlindDisk kills a router, under its supervisor and with a disk cache, while the notice board is down, and
// starts it again. The object's group is purged during the outage. Seven seconds and the grace later no answer may be older.
func playBlindDisk(s *stage) (broken int, err error) {
	if err := s.binaries(); err != nil {
		return 0, err
	}
	cache := &pageCache{issued: map[string]time.Time{}}
	var targets []target
	for i, kind := range []string{"standard", "standard", "parent", "origin"} {
		server, err := newServer(s.rec, fmt.Sprintf("s-%d", i), kind, cache.handle)
		if err != nil {
			return 0, err
		}
		defer server.close()
		zone := "edge-1"
		if kind == "parent" || kind == "origin" {
			zone = "trunk-a"
		}
		targets = append(targets, target{UID: server.id, Endpoint: server.addr, AZ: zone, Model: kind, State: "ready", Capacity: 10})
	}
	b, err := newBoard(targets)
	if err != nil {
		return 0, err
	}
	defer b.close()
	r, err := newRouter(s.root, s.folder, "n1")
	if err != nil {
		return 0, err
	}
	defer r.stop()
	r.command = strings.Replace(r.command, " serve", " keep", 1)
	disk := filepath.Join(r.folder, "disk")
	if err := os.Mkdir(disk, 0o700); err != nil {
		return 0, err
	}
	text := fmt.Sprintf("disk:\n  path: %s\n  size_mb: 64\nkeep:\n  folder: %s\n  trial_s: 1\n", disk, filepath.Join(r.folder, "keep"))
	if err := r.operate(text); err != nil {
		return 0, err
	}
	if err := r.configure(b, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, tmSettings(), flowBytesPerSecond); err != nil {
		return 0, err
	}
	if err := r.start(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	b.close()
	down := time.Now()
	s.rec.note("the notice board is down")
	if s.trouble {
		r.stop()
		s.rec.note("the router was killed")
		if err := r.start(); err != nil {
			return 0, err
		}
		s.rec.note("the router is ready again")
	}
	return s.askAfterPurge(r, cache, down)
}

// askAfterPurge asks for an object some times, purges it, and asks on to the end of the outage.
func (s *stage) askAfterPurge(r *router, cache *pageCache, down time.Time) (broken int, err error) {
	c := &client{addr: r.listen}
	defer c.drop()
	object := pageName(1)
	ask := func() (result, int64) {
		q := &request{method: http.MethodGet, class: lookupsClass, object: object, group: 17, ttl: 2 * time.Second}
		out := c.do(q, 3*time.Second)
		var issued int64
		_, _ = fmt.Sscan(string(out.body), &issued) // 0 where there is no body
		s.rec.note("%s sent, status %d, copy of %d, error %v", q.id, out.status, issued, out.err)
		return out, issued
	}
	time.Sleep(200 * time.Millisecond)
	for range 3 {
		ask()
	}
	purgedAt := time.Now()
	told := purgedAt.Add(longestTelling)
	s.rec.note("purge of the object's group of %d", purgedAt.UnixMilli())
	reached := time.AfterFunc(5*time.Second, cache.purge)
	defer reached.Stop()
	judged := 0
	for time.Since(down) < outageTime {
		sent := time.Now()
		out, issued := ask()
		if out.status == http.StatusOK && sent.Sub(told) > tmGrace+socketSlack {
			judged++
			if issued < purgedAt.UnixMilli() {
				broken++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.rec.say("%d requests answered when the purge counted as told and the grace was over, %d of them with a copy from before it", judged, broken)
	if judged == 0 {
		return 0, errors.New("no request was answered after the purge")
	}
	return broken, nil
}

// tmSettings are the settings of a small deployment of one division office with one router.
func tmSettings() map[string]any {
	all := leaseSettings()
	all["Classes"] = []any{map[string]any{
		"Name": lookupsClass, "Effect": "safe", "Group": "all", "DedupWindowMs": 5000.0, "TargetMs": 300.0, "AimStretch": 2.0,
		"GiveUpMs": 2500.0, "LateShare": 0.2, "Value": 1.0, "Streamed": false,
	}}
	all["Contract"] = map[string]any{
		"AnswerSlackMs": 8.0, "AskEveryMs": 10000.0, "ColdFrom": 0.17, "ColdMs": 16000.0, "DrainGraceMs": 2000.0,
		"FallMs": 2000.0, "FallMultiple": 4.0,
	}
	info := oneReadClass(all, 12000)
	info["BypassAllowed"], info["MasterKind"], info["SecondTierKind"] = false, 2, 1
	info["ParentColdFrom"], info["ParentRampMs"] = 0.061, 22000.0
	all["Kinds"] = []string{"standard", "parent", "origin"}
	limits := all["Limits"].(map[string]any)
	limits["ConnIdleMs"], limits["MostTries"], limits["MaxRetryAfterMs"], limits["StreamsPerConn"] = 30000.0, 8, 2000.0, 100
	limits["Probes"] = true
	return all
}
