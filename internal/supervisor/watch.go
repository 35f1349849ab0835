package supervisor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/config"
	"quilldoor/internal/discovery"
	"quilldoor/internal/engine"
	"quilldoor/internal/handoff"
	"quilldoor/internal/invariant"
	"quilldoor/internal/policy"
)

// Watch lets the keeper look on at what its generations do.
type Watch struct {
	Rules  invariant.Settings
	Limits *config.Limits
	// Board reads the platform's file: where the notice board is, and what is known.
	Board func() (addr string, known *discovery.News, err error)
}

// watching follows the notice board beside the generations, and judges their acts by
// it. A change leaves the keeper as it is: what it runs was good before.
type watching struct {
	*Keeper
	judge    *invariant.Judge
	follower *discovery.Follower
	stop     context.CancelFunc
	done     chan struct{}
	offset   int64 // of the system's clock from the steady one
	told     map[int]uint8
}

func (k *Keeper) watch() {
	if k.Watch == nil {
		return
	}
	w := &watching{Keeper: k, judge: invariant.New(k.Watch.Rules), told: map[int]uint8{}}
	w.follower = discovery.New(k.Watch.Limits, w)
	w.offset = time.Now().UnixMicro() - k.now()
	k.eyes = w
	w.follow()
}

// follow reads where the board is and follows it there. The last address stays if the
// file has a fault.
func (w *watching) follow() {
	addr, known, err := w.Watch.Board()
	if err != nil {
		w.Log.WithError(err).Error("keeper: the board is not looked for anew")
		return
	}
	old, was := w.stop, w.done
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	w.stop, w.done = stop, done
	go func() { // two never run at once
		defer close(done)
		if old != nil {
			old()
			<-was
		}
		w.follower.Apply(&discovery.News{Notices: known.Notices})
		w.follower.Run(ctx, addr)
	}()
}

// in the keeper's loop; the follower runs beside it.
func (w *watching) in(do func(now int64)) {
	now := time.Now().UnixMicro()
	w.events <- func() { do(now) }
}

// Members takes changes of the list of servers.
func (w *watching) Members(scope string, list []engine.Server) {
	entries := make([]policy.Entry, len(list))
	for i, s := range list {
		entries[i] = s.Entry
	}
	w.in(func(now int64) { w.judge.Listed(now, scope != "diff", entries) })
}

// Purge takes a purge.
func (w *watching) Purge(object string, group, at int64) {
	w.in(func(now int64) { w.judge.Purged(now, object, group, at) })
}

// BoardLost tells of the first failed poll in a row.
func (w *watching) BoardLost(error) { w.in(func(now int64) { w.judge.Blind(now, true) }) }

// BoardBack tells that polls go through again.
func (w *watching) BoardBack() { w.in(func(now int64) { w.judge.Blind(now, false) }) }

// BoardGap tells that news may have been missed.
func (w *watching) BoardGap() {
	w.in(func(now int64) {
		w.judge.Blind(now, true)
		w.judge.Blind(now, false)
	})
}

// look judges what processes have done, ten times a second.
func (w *watching) look() {
	const jump = int64(50_000) // microseconds: a clock that is slewed moves by less between two looks
	now := time.Now().UnixMicro()
	if by := now - w.now() - w.offset; by > jump || by < -jump {
		w.Log.WithField("by_ms", by/1000).Warn("keeper: the clock has jumped")
		w.judge.Jumped(now, by)
		w.offset += by
	} else {
		w.offset += by
	}
	w.judge.Tick(now)
	for _, p := range w.procs() {
		if s := w.judge.Seen(p.pid64()); s.Rules&^w.told[p.pid] != 0 {
			w.told[p.pid] |= s.Rules
			w.Log.WithFields(logrus.Fields{"generation": p.manifest.Generation, "pid": p.pid, "what": s.Text}).Error("keeper: a rule is broken")
		}
	}
}

func (p *proc) pid64() uint64 { return uint64(p.pid) }

// seen is what a process was seen to break that the one beside it was not.
func (k *Keeper) seen(p, beside *proc) (s invariant.Seen) {
	if k.eyes == nil || p == nil {
		return s
	}
	if s = k.eyes.judge.Seen(p.pid64()); beside != nil {
		if s.Rules &^= k.eyes.judge.Seen(beside.pid64()).Rules; s.Rules == 0 {
			s.Text = ""
		}
	}
	return s
}

// acted takes what a process says of itself.
func (k *Keeper) acted(p *proc, w *handoff.Word) {
	if k.eyes != nil && w.Acts != nil {
		k.eyes.judge.Acts(time.Now().UnixMicro(), p.pid64(), w.Acts)
	}
}
