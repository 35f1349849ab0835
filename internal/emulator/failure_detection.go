package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-yaml"

	"quilldoor/internal/loopback"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/scenario"
)

const (
	// detectionMemoryMB and detectionSockets are the limits of each router process.
	detectionMemoryMB = 64
	detectionSockets  = 256
	// detectionSeeds is how many routers the others know from the start.
	detectionSeeds = 3
	// detectionEventQueue is how many events may wait until a router's log is read on.
	detectionEventQueue = 4096
	// detectionRandomStream sets the draws of Detection apart from others of the same seed.
	detectionRandomStream = 5
	// joinTime is how long the routers have to find each other.
	joinTime = 15 * time.Second
	// detectTimeout and rejoinTimeout are how long a death, and a return, are waited for.
	detectTimeout = 15 * time.Second
	rejoinTimeout = 10 * time.Second
	// restTime is the pause between two kills; up to maxExtraRestMillis come on top.
	restTime           = time.Second
	maxExtraRestMillis = 500
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
	run.rest(joinTime)
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
		run.rest(restTime + time.Duration(random.IntN(maxExtraRestMillis))*time.Millisecond)
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

// startAll reserves addresses for the routers and starts them.
func (d *detectionRun) startAll(routers int) error {
	for i := range routers {
		addr, err := loopback.Reserve() // for UDP and TCP
		if err != nil {
			return err
		}
		d.peers = append(d.peers, operatorconfig.MembershipPeer{Name: routerName(i), Addr: addr.String()})
	}
	if err := os.WriteFile(d.keyFile, []byte(membershipKey), 0o600); err != nil {
		return err
	}
	d.commands = make([]*exec.Cmd, routers)
	for i := range routers {
		if err := d.start(i); err != nil {
			return err
		}
	}
	return nil
}

// start starts a router process and follows its log.
func (d *detectionRun) start(i int) error {
	config, operator, err := d.writeConfig(i)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(d.ctx, d.program,
		"serve", "--config", config, "--operator", operator, "--log-format", "json")
	cmd.Env = routerEnvironment()
	reader, writer := io.Pipe()
	cmd.Stderr = writer
	if err := cmd.Start(); err != nil {
		return err
	}
	d.goroutines.Go(func() { d.followLog(i, reader) })
	d.goroutines.Go(func() {
		_ = cmd.Wait() // it is killed
		writer.Close()
	})
	d.commands[i] = cmd
	return nil
}

// writeConfig writes a router's two configuration files: the platform's and the operator's.
func (d *detectionRun) writeConfig(i int) (config, operator string, err error) {
	name := routerName(i)
	operatorText, err := yaml.Marshal(operatorconfig.Config{Membership: &operatorconfig.Membership{
		Name: name, Listen: d.peers[i].Addr, KeyFile: d.keyFile, Peers: d.peers[:min(len(d.peers), detectionSeeds)],
	}})
	if err != nil {
		return "", "", err
	}
	configText, err := json.Marshal(platformConfig{
		Name:      name,
		Listen:    d.peers[i].Addr,
		Seed:      fmt.Sprint(i + 1),
		Discovery: "127.0.0.1:1", // nobody listens there
		Limits:    processLimits{Cores: processCores, MemoryMB: detectionMemoryMB, Sockets: detectionSockets},
		Settings:  d.scenario.Settings(0, 0),
		Known:     discoveryUpdate{Events: []json.RawMessage{}},
	})
	if err != nil {
		return "", "", err
	}
	config = filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(config, configText, 0o600); err != nil {
		return "", "", err
	}
	operator = filepath.Join(d.dir, name+".yaml")
	return config, operator, os.WriteFile(operator, operatorText, 0o600)
}

// followLog passes on what a router logs about members, until its process ends.
func (d *detectionRun) followLog(router int, log io.Reader) {
	scanner := bufio.NewScanner(log)
	for scanner.Scan() {
		var line struct{ Msg, Member string }
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Member == "" {
			continue
		}
		select {
		case d.events <- memberEvent{router, line.Msg, line.Member, time.Now()}:
		case <-d.ctx.Done():
		}
	}
	_, _ = io.Copy(io.Discard, log) // a line that is too long ends the scan, not the process
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

// rest drops what routers log for some time.
func (d *detectionRun) rest(duration time.Duration) {
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
