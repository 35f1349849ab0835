package emulator

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/scenario"
)

const (
	// detectionEventQueue is how many events may wait until a router's log is read on.
	detectionEventQueue = 4096
	// detectionRandomStream sets the draws of the measurement apart from others of the same seed.
	detectionRandomStream = 5
	// joinTime is how long the routers have to find each other.
	joinTime = 15 * time.Second
	// detectTimeout and rejoinTimeout are how long a death, and a return, are waited for.
	detectTimeout = 15 * time.Second
	rejoinTimeout = 10 * time.Second
	// Up to maxExtraPauseMillis come on top of pauseBetweenKills.
	pauseBetweenKills   = time.Second
	maxExtraPauseMillis = 500
	// Bounds of the histogram, in microseconds, and its significant digits.
	detectMinMicros = 1000
	detectMaxMicros = 60_000_000
	detectDigits    = 3
)

// memberEvent is a line about a member in a router's log.
type memberEvent struct {
	router  int // that logged it
	message string
	member  string
	at      time.Time
}

// detectionRun is a number of router processes that know each other, and what they log.
type detectionRun struct {
	ctx        context.Context
	goroutines sync.WaitGroup
	program    string
	dir        string
	keyFile    string
	peers      []operatorconfig.MembershipPeer
	scenario   scenario.Scenario
	commands   []*exec.Cmd
	events     chan memberEvent
}

// MeasureFailureDetection starts router processes that know each other, kills one after
// another, and measures the time, in microseconds, until the last of the others has logged the
// death. Missed is the number of kills that not all others logged in time.
func MeasureFailureDetection(
	ctx context.Context, program string, routers, kills int, seed uint64,
) (times *hdrhistogram.Histogram, missed int, err error) {
	if program, err = findProgram(program); err != nil {
		return nil, 0, err
	}
	dir, err := os.MkdirTemp("", "quilldoor-lab-")
	if err != nil {
		return nil, 0, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	run := &detectionRun{
		ctx: ctx, program: program, dir: dir, keyFile: filepath.Join(dir, "members.key"),
		scenario: scenario.Default(), events: make(chan memberEvent, detectionEventQueue),
	}
	run.scenario.Fleet.Membership = true
	defer run.goroutines.Wait()
	defer cancel()
	if err := run.startAll(routers); err != nil {
		return nil, 0, err
	}
	run.discardEvents(joinTime)
	random := rand.New(rand.NewPCG(seed, detectionRandomStream))
	times = hdrhistogram.New(detectMinMicros, detectMaxMicros, detectDigits)
	for range kills {
		detected, err := run.killOne(random.IntN(routers), times)
		if err != nil {
			return nil, 0, err
		}
		if !detected {
			missed++
		}
		run.discardEvents(pauseBetweenKills + time.Duration(random.IntN(maxExtraPauseMillis))*time.Millisecond)
	}
	return times, missed, ctx.Err()
}

// killOne kills a router, records when all others have logged its death, and starts it again.
// Not detected: they did not in time.
func (d *detectionRun) killOne(killed int, times *hdrhistogram.Histogram) (detected bool, err error) {
	others := len(d.commands) - 1
	killedAt := time.Now()
	if err := d.commands[killed].Process.Kill(); err != nil {
		return false, err
	}
	last, detected := d.waitLogged("member dead", routerName(killed), others, detectTimeout)
	if detected {
		_ = times.RecordValue(last.Sub(killedAt).Microseconds()) // detectTimeout is within the bounds
	}
	if err := d.start(killed); err != nil {
		return false, err
	}
	d.waitLogged("member alive", routerName(killed), others, rejoinTimeout)
	return detected, nil
}

// waitLogged waits until so many routers have logged a message about a member, and returns
// when the last of them did.
func (d *detectionRun) waitLogged(message, member string, want int, within time.Duration) (last time.Time, ok bool) {
	seen := map[int]bool{}
	timeout := time.After(within)
	for len(seen) < want {
		select {
		case event := <-d.events:
			if event.message == message && event.member == member {
				seen[event.router] = true
				last = event.at
			}
		case <-timeout:
			return last, false
		case <-d.ctx.Done():
			return last, false
		}
	}
	return last, true
}

// discardEvents waits, and discards what the routers log meanwhile.
func (d *detectionRun) discardEvents(duration time.Duration) {
	timeout := time.After(duration)
	for {
		select {
		case <-d.events:
		case <-timeout:
			return
		case <-d.ctx.Done():
			return
		}
	}
}
