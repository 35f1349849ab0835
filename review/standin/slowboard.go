package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/policy"
)

// The figures of lease-quotes, and of the day.
const (
	videoTTL       = 5 * time.Second
	purgeGrace     = 300 * time.Millisecond
	drainGrace     = 500 * time.Millisecond
	socketSlack    = 50 * time.Millisecond // by which each time limit is longer on sockets
	clearedFrom    = 5400 * time.Millisecond
	clearedStep    = 150 * time.Millisecond // between the caches; the last clears after 5.85 s, and 6 s are allowed
	askedWait      = time.Second            // what the router asks the board to wait for
	toldAfterWait  = 2 * time.Second        // behind the end of that wait what the board has to tell counts as told
	toldAtMost     = 7 * time.Second        // and behind the event in any case
	boardDelay     = 2 * time.Second
	calmFor        = 4 * time.Second
	slowFor        = 20 * time.Second
	requestPeriod  = 20 * time.Millisecond
	videos         = 40
	purgedGroups   = 16 // of groups
	groups         = 40
	secondPurgeAt  = 8 * time.Second // behind the first
	fillTime       = 30 * time.Millisecond
	hitTime        = 5 * time.Millisecond
	boxes          = 4
	boxWeight      = 20
	drainingBox    = "b-2"
	videoBodyBytes = 2000
)

// copyOf is a copy of an object: its version, and when the origin gave it out.
type copyOf struct {
	version int
	issued  time.Time
}

// office is the caches and the origin, and what they know of purges.
type office struct {
	*run
	board *board

	mu       sync.Mutex
	versions map[string]int       // by object, at the origin
	purgedAt map[string]time.Time // by object: its last purge
	copies   map[string]map[string]copyOf
	ran      []attemptRun // attempts that were answered with a copy, and attempts to the draining box
	drained  time.Time    // when the board had the drain
}

// attemptRun is an attempt as the servers have seen it.
type attemptRun struct {
	at              time.Time
	txn, box        string
	object, source  string
	issued, purged  time.Time // of the copy; of the object's last purge by then
	version, newest int
}

// handle answers an attempt at a box.
func (o *office) handle(box string, got *attempt) {
	o.mu.Lock()
	held, isHeld := o.copies[box][got.Object]
	maxAge := time.Duration(got.MaxAgeMillis) * time.Millisecond
	hit := isHeld && (maxAge == 0 || got.at.Sub(held.issued) <= maxAge)
	reason := policy.ReasonHit
	if !hit && got.Source != "" && got.FillMode&policy.FillNoFetch == 0 {
		held = copyOf{o.versions[got.Object], got.at}
		o.copies[box][got.Object] = held
		hit = true
		reason = policy.ReasonMissOrigin
	}
	o.ran = append(o.ran, attemptRun{
		at: got.at, txn: got.ID, box: box, object: got.Object, source: got.Source, issued: held.issued,
		purged: o.purgedAt[got.Object], version: held.version, newest: o.versions[got.Object],
	})
	o.mu.Unlock()
	if !hit {
		got.answer(cacheproto.Response{Status: cacheproto.StatusMiss, Reason: policy.ReasonNoFill}, "")
		return
	}
	took := hitTime
	if reason == policy.ReasonMissOrigin {
		took = fillTime
	}
	time.Sleep(took)
	text := videoText(got.Object, held.version)
	got.answer(cacheproto.Response{
		Status: cacheproto.StatusOK, Tag: fmt.Sprintf("%s.%d", got.Object, held.version),
		IssuedMillis: held.issued.UnixMilli(), Reason: reason, Load: map[string]float64{"util": 0.3, "x0": 0.7, "x1": 0.2},
	}, text)
}

func videoText(name string, version int) string {
	line := fmt.Sprintf("%s version %d;", name, version)
	return strings.Repeat(line, videoBodyBytes/len(line))
}

// groupOf returns the group of a video.
func groupOf(video int) int { return video % groups }

// purge purges groups at once. Each cache drops its older copies by itself.
func (o *office) purge(from, to int) {
	o.mu.Lock()
	now := time.Now()
	for video := range videos {
		if group := groupOf(video); group >= from && group < to {
			o.versions[videoName(video)]++
			o.purgedAt[videoName(video)] = now
		}
	}
	o.mu.Unlock()
	for group := from; group < to; group++ {
		o.board.tell("flush", object{"collection": group, "ms": now.UnixMilli()})
	}
	for i := range boxes {
		box := boxName(i)
		time.AfterFunc(clearedFrom+time.Duration(i)*clearedStep, func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			for name, held := range o.copies[box] {
				if held.issued.Before(o.purgedAt[name]) {
					delete(o.copies[box], name)
				}
			}
			o.add("box %s has dropped its copies from before the purge", box)
		})
	}
}

func videoName(video int) string { return fmt.Sprintf("video-%d", video) }
func boxName(i int) string       { return fmt.Sprintf("b-%d", i+1) }

// toldBy returns when an event that the board had at a time counts as told at the latest: 2 s behind the end of the
// wait that the first poll behind it asked for, and 7 s behind it in any case.
func (o *office) toldBy(at time.Time) time.Time {
	told := at.Add(toldAtMost)
	if poll, ok := o.board.firstPollAfter(at); ok {
		if byPoll := poll.Add(askedWait + toldAfterWait); byPoll.Before(told) {
			told = byPoll
		}
	}
	return told
}

// playSlowBoard lets the board answer 2 s late for 20 s. Meanwhile groups are purged, and a box drains.
func playSlowBoard(r *run) (broken int, err error) {
	b, err := r.startBoard()
	if err != nil {
		return 0, err
	}
	o := &office{
		run: r, board: b, versions: map[string]int{}, purgedAt: map[string]time.Time{}, copies: map[string]map[string]copyOf{},
	}
	origin, err := startEndpoint("o-1", func(got *attempt) { got.answer(cacheproto.Response{Status: cacheproto.StatusError}, "") })
	if err != nil {
		return 0, err
	}
	targets := []object{target("o-1", origin.addr, hubZone, "origin", "ready", boxWeight)}
	var draining object
	for i := range boxes {
		box := boxName(i)
		o.copies[box] = map[string]copyOf{}
		e, err := startEndpoint(box, func(got *attempt) { o.handle(box, got) })
		if err != nil {
			return 0, err
		}
		targets = append(targets, target(box, e.addr, officeZone, "box", "ready", boxWeight))
		if box == drainingBox {
			draining = target(box, e.addr, officeZone, "box", "draining", boxWeight)
		}
	}
	b.tell("pool", object{"rev": 1, "all": true, "targets": targets})
	router, err := r.startRouter("n1", b.addr, b.known(), leaseQuotes().settings())
	if err != nil {
		return 0, err
	}
	defer r.keepLog("n1")
	defer router.stop()

	served := o.startClients(router.addr)
	time.Sleep(calmFor)
	if r.trouble {
		b.setDelay(boardDelay)
	}
	slowUntil := time.Now().Add(slowFor)
	time.Sleep(2 * time.Second)
	o.purge(0, purgedGroups)
	o.drained = b.tell("pool", object{"rev": 2, "all": false, "targets": []object{draining}})
	time.Sleep(secondPurgeAt)
	o.purge(purgedGroups, 2*purgedGroups)
	time.Sleep(time.Until(slowUntil))
	b.setDelay(0)
	answers := served()
	if !router.running() {
		return 0, errors.New("the router has ended")
	}
	return o.judge(answers), nil
}

// startClients asks for videos until the function that it returns is called, which returns the answers by txn.
func (o *office) startClients(addr string) (stop func() map[string]answer) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	ended := make(chan struct{})
	clients.Go(func() {
		ticker := time.NewTicker(requestPeriod)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			const stride = 7 // visits all videos in turn
			video := i * stride % videos
			q := &request{
				method: http.MethodGet, target: "/rpc/demo-video/" + videoName(video), txn: newID(), ttl: videoTTL, shard: groupOf(video),
			}
			clients.Go(func() {
				got := ask(addr, q, q.ttl)
				mu.Lock()
				defer mu.Unlock()
				answers[q.txn] = got
			})
		}
	})
	return func() map[string]answer {
		close(ended)
		clients.Wait()
		return answers
	}
}

// judge counts the answers from copies older than a purge that counted as told when the router sent the attempt,
// and the attempts that named a box as target or source whose drain counted as told.
func (o *office) judge(answers map[string]answer) (broken int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	drainBinds := o.toldBy(o.drained).Add(drainGrace + socketSlack)
	o.add("the drain of %s was at %.3f and binds from %.3f", drainingBox, o.at(o.drained), o.at(drainBinds))
	statuses := map[int]int{}
	for _, got := range answers {
		statuses[got.status]++
	}
	o.add("answers by status: %v", statuses)
	stale, drained := 0, 0
	for _, ran := range o.ran {
		got, answered := answers[ran.txn]
		text := fmt.Sprintf("txn %s of %s at box %s, sent at %.3f", ran.txn, ran.object, ran.box, o.at(ran.at))
		switch {
		case (ran.box == drainingBox || ran.source == drainingBox) && ran.at.After(drainBinds):
			drained++
			o.add("broken: drain: %s, answered %d", text, got.status)
		case answered && got.status == http.StatusOK && !ran.purged.IsZero() && ran.issued.Before(ran.purged) &&
			got.body == videoText(ran.object, ran.version) &&
			ran.at.After(o.toldBy(ran.purged).Add(purgeGrace+socketSlack)):
			stale++
			o.add("broken: purge: %s, answered version %d of %d, purged at %.3f, told at %.3f at the latest",
				text, ran.version, ran.newest, o.at(ran.purged), o.at(o.toldBy(ran.purged)))
		}
	}
	o.add("%d attempts, %d answers older than a purge, %d attempts to a box that drained", len(o.ran), stale, drained)
	fmt.Printf("%d attempts, %d answers older than a purge, %d attempts to a box that drained\n", len(o.ran), stale, drained)
	return stale + drained
}
