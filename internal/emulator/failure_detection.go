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
	// detectionEventQueue is the number of queued events beyond which reading the routers' logs
	// blocks.
	detectionEventQueue = 4096
	// detectionRandomStream separates the random draws of the measurement from other draws with
	// the same seed.
	detectionRandomStream = 5
	// joinTime is the time that the routers are given to join the membership.
	joinTime = 15 * time.Second
	// detectTimeout and rejoinTimeout are the time limits for the other routers to log the death
	// of a killed router, and its return after a restart.
	detectTimeout = 15 * time.Second
	rejoinTimeout = 10 * time.Second
	// The pause after each kill is pauseBetweenKills and a random time below maxExtraPauseMillis.
	pauseBetweenKills   = time.Second
	maxExtraPauseMillis = 500
	// Bounds of the histogram of detection times, in microseconds, and its significant digits.
	detectMinMicros = 1000
	detectMaxMicros = 60_000_000
	detectDigits    = 3
)

// memberEvent is a line about a member in a router's log.
type memberEvent struct {
	router  int // index of the router that logged it
	message string
	member  string
	at      time.Time // when the emulator read the line
}

// detectionRun is a set of router processes with a common membership, and the events in their logs.
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

// MeasureFailureDetection starts router processes with a common membership and kills one at a time.
// For each kill it measures the time, in microseconds, until all other routers have logged the
// death. Missed is the number of kills that some of the others did not log within the time limit.
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

// killOne kills a router, records the time until all others have logged its death, and starts it
// again. It returns false if some of them did not log the death within detectTimeout.
func (d *detectionRun) killOne(killed int, times *hdrhistogram.Histogram) (detected bool, err error) {
	others := len(d.commands) - 1
	killedAt := time.Now()
	if err := d.commands[killed].Process.Kill(); err != nil {
		return false, err
	}
	last, detected := d.waitLogged("member dead", routerName(killed), others, detectTimeout)
	if detected {
		_ = times.RecordValue(last.Sub(killedAt).Microseconds()) // can't fail, as detectTimeout is within the histogram's bounds
	}
	if err := d.start(killed); err != nil {
		return false, err
	}
	d.waitLogged("member alive", routerName(killed), others, rejoinTimeout)
	return detected, nil
}

// waitLogged waits until the wanted number of routers have logged a message about a member, and
// returns the time of the last one. It returns false if the time limit passes before.
func (d *detectionRun) waitLogged(message, member string, want int, within time.Duration) (last time.Time, ok bool) {
	loggedBy := map[int]bool{}
	timeout := time.After(within)
	for len(loggedBy) < want {
		select {
		case event := <-d.events:
			if event.message == message && event.member == member {
				loggedBy[event.router] = true
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

// discardEvents discards the events that arrive during the given time.
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
