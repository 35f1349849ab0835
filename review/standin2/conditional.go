package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["conditional"] = playConditional }

// Figures of the terminal: those of the ferry-cargo site.
const (
	docsClass        = "cargo-docs"
	docsObjects      = 60
	docsRate         = 617     // requests a second, 0.8 of what warm caches send
	docsTagged       = 0.75    // of the requests bring the tag of a copy
	docsFlow         = 310_000 // bytes a second that one transfer to a client runs at
	ferryColdFrom    = 0.19
	ferryColdTime    = 15 * time.Second
	ferryFall        = 2.0
	ferryFallTime    = time.Second
	ferryBackAfter   = 9 * time.Second
	ferryListedAfter = 2 * time.Second // until the list tells that a cache is gone
	ferryWatched     = 6 * time.Second // from the start of the cold cache
)

// ferryCapacity are the transfers at once of the caches: three large ones, of ten cores, and four small ones.
var ferryCapacity = []float64{10, 10, 10, 6, 6, 6, 6}

// docsSize returns the length of an object of the class.
func docsSize(object int) int { return 6_000 + 530*object }

// docsSending returns how long a copy takes to send.
func docsSending(object int) time.Duration {
	return time.Duration(docsSize(object)) * time.Second / docsFlow
}

// ferryBox is a cache of the office. One that starts is empty.
type ferryBox struct {
	*server
	mu       sync.Mutex
	kept     map[int]bool
	watched  bool
	arrivals []time.Time // of attempts, while it is watched
}

func (b *ferryBox) watch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watched = true
}

func (b *ferryBox) handle(a *attempt) answer {
	object, err := strconv.ParseInt(a.object[len(a.object)-4:], 16, 32)
	if err != nil {
		return answer{word: "NOENT"}
	}
	n := int(object)
	b.mu.Lock()
	hit := b.kept[n]
	b.kept[n] = true
	if b.watched {
		b.arrivals = append(b.arrivals, a.at)
	}
	b.mu.Unlock()
	reply := answer{word: "ACK", tag: "t" + a.object, issued: time.Now().UnixMilli(), delay: 2 * time.Millisecond}
	if !hit { // a parent has it, and fills at three times the pace
		reply.delay += 10*time.Millisecond + docsSending(n)/3
	}
	if a.tag == reply.tag {
		reply.word = "NOMOD"
		reply.delay += docsSending(n) / 20
		return reply
	}
	reply.body = make([]byte, docsSize(n))
	reply.delay += docsSending(n)
	return reply
}

// playConditional lets one of seven caches fall silent and come back cold while some clients ask with the tags of copies that
// they have. The cold cache must not be sent more than it bears.
func playConditional(s *stage) (broken int, err error) {
	if err := s.binaries(); err != nil {
		return 0, err
	}
	boxes, targets, err := newBoxes(s.rec)
	if err != nil {
		return 0, err
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
	if err := r.configure(b, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, ferrySettings(), docsFlow); err != nil {
		return 0, err
	}
	if err := r.start(); err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load := &docsLoad{router: r.listen}
	go load.run(ctx)
	sleep(ctx, 4*time.Second)
	back, started := boxes[0], time.Now()
	if s.trouble {
		if back, started, err = replaceBox(ctx, s, b, boxes[0], targets[0]); err != nil {
			return 0, err
		}
	} else {
		back.watch()
	}
	sleep(ctx, ferryWatched)
	stop()
	back.mu.Lock()
	defer back.mu.Unlock()
	s.rec.say("clients: %d requests answered with 200, %d with 304, %d rejected or failed", load.full.Load(), load.current.Load(), load.other.Load())
	if len(back.arrivals) == 0 {
		return 0, errors.New("the cache got nothing")
	}
	return judgeCold(s, back.arrivals, started), nil
}

// replaceBox lets a cache fall silent, and starts another one in its place, cold and empty, as the list tells.
func replaceBox(ctx context.Context, s *stage, b *board, old *ferryBox, entry target) (*ferryBox, time.Time, error) {
	old.silent.Store(true)
	s.rec.note("%s has fallen silent", old.id)
	sleep(ctx, ferryListedAfter)
	entry.State = "gone"
	b.post("pool", map[string]any{"all": false, "targets": []target{entry}})
	sleep(ctx, ferryBackAfter-ferryListedAfter)
	old.close()
	back, err := newBox(s.rec, "s-cold")
	if err != nil {
		return nil, time.Time{}, err
	}
	back.watch()
	now := time.Now()
	entry.UID, entry.Endpoint, entry.State, entry.BootMS = back.id, back.addr, "ready", now.UnixMilli()
	b.post("pool", map[string]any{"all": false, "targets": []target{entry}})
	s.rec.note("%s has started cold", back.id)
	return back, now, nil
}

// judgeCold counts the windows in which the cold cache got more than it bears.
func judgeCold(s *stage, list []time.Time, start time.Time) (broken int) {
	mean := time.Duration(0)
	for i := range docsObjects {
		mean += docsSending(i) / docsObjects
	}
	worst := 0.0
	next := 0
	for first := range list {
		from := list[first]
		next = max(next, first)
		for next < len(list) && list[next].Sub(from) <= ferryFallTime {
			next++
		}
		middle := from.Add(ferryFallTime / 2).Sub(start)
		capacity := min(ferryColdFrom+(1-ferryColdFrom)*middle.Seconds()/ferryColdTime.Seconds(), 1) * ferryCapacity[0]
		if !s.trouble {
			capacity = ferryCapacity[0]
		}
		n := ferryFall * capacity * ferryFallTime.Seconds() / mean.Seconds()
		bound := n + 2*math.Sqrt(n) + 2
		got := float64(next - first)
		if got/bound > worst {
			worst = got / bound
			s.rec.note("window from %d ms after the start: %.0f attempts, N %.1f, bound %.1f (%.2f of it)", from.Sub(start).Milliseconds(), got, n, bound, worst)
		}
		if got > bound && middle < ferryColdTime {
			broken++
		}
	}
	s.rec.say("class's mean sending time %v; %d attempts at the cache that was started; the fullest window had %.2f of what it bears", mean, len(list), worst)
	return broken
}

func newBox(rec *record, id string) (*ferryBox, error) {
	box := &ferryBox{kept: map[int]bool{}}
	server, err := newServer(rec, id, "large", box.handle)
	box.server = server
	return box, err
}

func newBoxes(rec *record) (boxes []*ferryBox, targets []target, err error) {
	for i, capacity := range ferryCapacity {
		box, err := newBox(rec, fmt.Sprintf("s-%d", i))
		if err != nil {
			return nil, nil, err
		}
		boxes = append(boxes, box)
		targets = append(targets, target{UID: box.id, Endpoint: box.addr, AZ: "edge-1", Model: map[bool]string{true: "large", false: "small"}[capacity > 7], State: "ready", Capacity: capacity})
	}
	for _, kind := range []string{"parent", "origin"} {
		server, err := newServer(rec, kind, kind, func(*attempt) answer { return answer{word: "NOENT"} })
		if err != nil {
			return nil, nil, err
		}
		targets = append(targets, target{UID: kind, Endpoint: server.addr, AZ: "trunk-a", Model: kind, State: "ready", Capacity: 40})
	}
	return boxes, targets, nil
}

// docsLoad are usual clients that together ask at a rate.
type docsLoad struct {
	router               string
	full, current, other atomic.Int64
}

func (l *docsLoad) run(ctx context.Context) {
	const clients = 200
	idle := make(chan *client, clients)
	for range clients {
		idle <- &client{addr: l.router}
	}
	ticker := time.NewTicker(time.Second / docsRate)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case c := <-idle:
			go func() {
				l.ask(c)
				idle <- c
			}()
		default: // all clients wait for answers
		}
	}
}

func (l *docsLoad) ask(c *client) {
	object := fmt.Sprintf("7f3a9c21e0b4%04x", rand.IntN(docsObjects))
	q := &request{method: http.MethodGet, class: docsClass, object: object, group: 17, ttl: 3 * time.Second}
	if rand.Float64() < docsTagged {
		q.tag = "t" + object
	}
	switch out := c.do(q, q.ttl+time.Second); out.status {
	case http.StatusOK:
		l.full.Add(1)
	case http.StatusNotModified:
		l.current.Add(1)
	default:
		l.other.Add(1)
	}
}

// ferrySettings are the settings of a small deployment of one terminal with one router.
func ferrySettings() map[string]any {
	all := leaseSettings()
	all["Classes"] = []any{map[string]any{
		"Name": docsClass, "Effect": "safe", "Group": "all", "DedupWindowMs": 5000.0, "TargetMs": 400.0, "AimStretch": 2.0,
		"GiveUpMs": 3000.0, "LateShare": 0.2, "Value": 1.0, "Streamed": false,
	}}
	all["Contract"] = map[string]any{
		"AnswerSlackMs": 8.0, "AskEveryMs": 10000.0, "ColdFrom": ferryColdFrom, "ColdMs": float64(ferryColdTime.Milliseconds()),
		"DrainGraceMs": 2000.0, "FallMs": float64(ferryFallTime.Milliseconds()), "FallMultiple": ferryFall,
	}
	info := oneReadClass(all, 8000)
	info["Collapses"], info["Sideways"] = true, "location"
	info["MasterKind"], info["SecondTierKind"] = 3, 2
	info["ParentColdFrom"], info["ParentRampMs"] = 0.079, 22000.0
	all["Kinds"] = []string{"small", "large", "parent", "origin"}
	limits := all["Limits"].(map[string]any)
	limits["StreamsPerConn"], limits["Probes"], limits["PeerMessages"], limits["SecondCopies"] = 100, true, true, false
	return all
}

// oneReadClass makes all classes one that is read and fresh for so many milliseconds, and returns the FamilyInfo.
func oneReadClass(all map[string]any, freshMillis float64) map[string]any {
	info := all["FamilyInfo"].(map[string]any)
	info["ClassGraceMs"], info["GoodForMs"] = []float64{0}, []float64{freshMillis}
	info["GoesThrough"], info["MultiPart"], info["WorthWhenOld"] = []bool{false}, []bool{false}, []float64{0.7}
	info["NotesGiven"], info["PurgeGraceMs"] = "off", 500.0
	all["WeightKind"] = "nominal"
	return info
}
