package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"quilldoor/internal/checker"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/gateway"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// Routers are the processes that a run on sockets plays against.
type Routers struct {
	Program string         // the router's program; "": quilldoor beside the running program
	Listen  string         // the first router's address for clients; "" or port 0: any address on loopback
	Ready   func([]string) // called with the routers' addresses once all are ready
	Log     io.Writer      // receives what routers log; nil: only the end is kept, for the report of a crash
	Guests  bool           // also serve requests that are not the scenario's own
	// Earlier is the program of every second router: an earlier version, which has no
	// supervisor. "": Program.
	Earlier string
	// Drive is called beside the run where the scenario's routers are supervised, once all
	// are ready. The run goes on until it returns. Its error ends the run.
	Drive func(context.Context, *Supervised) error
	// EndWithDrive stops the arrival of clients once Drive has returned.
	EndWithDrive bool
}

const (
	// socketAnswerSlackMicros is how much later than its deadline an answer may come on
	// sockets: 50 ms that the platform allows and 8 ms that the policy allows.
	socketAnswerSlackMicros = 58_000
	// maxListeners bounds the file descriptors: each router has its own address for each server.
	maxListeners = 3000
	// taskQueueLength is how many tasks may wait for the loop before senders block.
	taskQueueLength = 4096
	// maxLoopWaitMicros is how long the loop sleeps at most when the world has nothing due.
	maxLoopWaitMicros = 100_000
	// clientIdleConns and clientIdleTimeout bound the idle connections of the emulated clients.
	clientIdleConns   = 200
	clientIdleTimeout = 4 * time.Second
	// gatewayKeyLifetime is how long the certificates of a run's gateways are valid.
	gatewayKeyLifetime = 24 * time.Hour
)

// socketRun is a run on loopback. Its loop is the one goroutine that touches the world
// and the routers' state; all other goroutines hand it tasks by runInLoop.
type socketRun struct {
	options      Options
	scenario     *scenario.Scenario
	world        *simulation.Simulation
	checker      *checker.Checker
	routers      []*routerProcess
	client       *http.Client
	startedAt    time.Time
	tasks        chan func()
	dir          string
	failures     chan error
	cancel       context.CancelFunc
	ctx          context.Context
	goroutines   sync.WaitGroup
	config       Routers
	driverDone   chan error  // nil: there is no Drive, or it has returned
	sitesCut     atomic.Bool // sites can't reach each other
	maxLate      int64       // the longest delay of a due event, in microseconds
	membership   Members     // what was seen of the routers' membership views
	cost         Cost
	brokenConns  int // connections that ended without an answer, not by their client
	refusedConns int
}

// RunOnSockets plays a scenario in real time: it listens on loopback for all that routers
// talk to, and starts a router process for each router.
func RunOnSockets(ctx context.Context, s *scenario.Scenario, opt Options, conf Routers) (*Result, error) {
	if err := checkListenerCount(s); err != nil {
		return nil, err
	}
	program, err := findProgram(conf.Program)
	if err != nil {
		return nil, err
	}
	conf.Program = program
	dir, err := os.MkdirTemp("", "quilldoor-lab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	run := newSocketRun(ctx, cancel, s, opt, conf, dir)
	defer run.close()
	if err := run.prepareRouters(); err != nil {
		return nil, err
	}
	if err := run.startRouters(); err != nil {
		return nil, err
	}
	run.startedAt = time.Now()
	run.startWatchers()
	if err := run.loop(); err != nil {
		return nil, err
	}
	run.killRouters()
	return run.result(), nil
}

// checkListenerCount refuses scenarios that take more listeners than a run may open.
func checkListenerCount(s *scenario.Scenario) error {
	fleet := &s.Fleet
	routers := fleet.Offices * fleet.Routers
	listeners := routers * (fleet.Offices*fleet.Caches + fleet.Trunks*fleet.Parents + 1)
	if fleet.Membership {
		listeners += routers * routers // a datagram relay for each pair
	}
	if listeners > maxListeners {
		return fmt.Errorf("%s: %d routers and their servers take %d listeners, %d at most: play it on the virtual clock",
			s.Name, routers, listeners, maxListeners)
	}
	return nil
}

func newSocketRun(
	ctx context.Context, cancel context.CancelFunc, s *scenario.Scenario, opt Options, conf Routers, dir string,
) *socketRun {
	run := &socketRun{
		options:  opt,
		scenario: s,
		checker:  checker.New(CheckerSettings(s, socketAnswerSlackMicros)),
		tasks:    make(chan func(), taskQueueLength),
		dir:      dir,
		failures: make(chan error, 1),
		ctx:      ctx,
		cancel:   cancel,
		config:   conf,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: clientIdleConns,
			IdleConnTimeout:     clientIdleTimeout,
			DisableCompression:  true,
		}},
	}
	run.world = simulation.New(s, opt.Seed, run)
	run.world.Slack = socketAnswerSlackMicros
	return run
}

// prepareRouters opens what the routers talk to and writes their operators' files.
func (run *socketRun) prepareRouters() error {
	fleet := &run.scenario.Fleet
	if fleet.Sites >= 2 {
		if err := run.makeGatewayKeys(); err != nil {
			return err
		}
	}
	for i := range run.world.Routers() {
		r := &routerProcess{
			socketRun:   run,
			id:          i,
			servers:     map[string]*serverListener{},
			requests:    map[string]*clientRequest{},
			eventPosted: make(chan struct{}),
		}
		run.routers = append(run.routers, r)
		if err := r.prepare(); err != nil {
			return err
		}
	}
	if fleet.Sites < 2 && !fleet.Membership && !fleet.Supervised && fleet.DiskMB <= 0 {
		return nil
	}
	for _, r := range run.routers { // after all have addresses: a file names the peers'
		if err := r.writeOperatorConfig(); err != nil {
			return err
		}
	}
	return nil
}

func (run *socketRun) makeGatewayKeys() error {
	var names []string
	for i := range run.world.Routers() {
		names = append(names, routerName(i))
	}
	return gateway.MakeKeys(run.dir, names, gatewayKeyLifetime)
}

// startRouters starts one router after another, as a start takes CPU that the others need,
// and reports their addresses once all are ready.
func (run *socketRun) startRouters() error {
	run.startedAt = time.Now()
	var addrs []string
	for _, r := range run.routers {
		if err := r.start(run.world.Known()); err != nil {
			return err
		}
		if err := r.waitReady(); err != nil {
			return err
		}
		addrs = append(addrs, r.clientAddr)
	}
	if run.config.Ready != nil {
		run.config.Ready(addrs)
	}
	return nil
}

// startWatchers starts what goes on beside the loop: polls of the membership views, and Drive.
func (run *socketRun) startWatchers() {
	if run.scenario.Fleet.Membership {
		run.goroutines.Go(run.watchMembership)
	}
	if run.config.Drive != nil {
		done := make(chan error, 1)
		run.driverDone = done
		run.goroutines.Go(func() { done <- run.config.Drive(run.ctx, &Supervised{run}) })
	}
}

func (run *socketRun) killRouters() {
	for _, r := range run.routers {
		r.kill()
	}
}

// close ends the routers and all goroutines of the run.
func (run *socketRun) close() {
	run.cancel()
	run.killRouters()
	run.client.CloseIdleConnections()
	run.goroutines.Wait()
}

func (run *socketRun) result() *Result {
	r := &Result{
		Result:             run.world.Result,
		Violations:         run.checker.Violations,
		CountByRule:        run.checker.CountByRule,
		Judged:             run.checker.Checked,
		MaxDelay:           run.maxLate,
		Excused:            run.checker.Excused,
		Cost:               run.cost,
		BrokenConnections:  run.brokenConns,
		RefusedConnections: run.refusedConns,
	}
	if run.scenario.Fleet.Membership {
		r.Members = &run.membership
	}
	return r
}

// now is the time of the run in microseconds.
func (run *socketRun) now() int64 { return time.Since(run.startedAt).Microseconds() }

// unixMS is a time of the run as milliseconds since 1970, the form in which the platform
// tells times.
func (run *socketRun) unixMS(at int64) int64 { return run.startedAt.UnixMilli() + at/1000 }

// loop plays the world by the real clock until it is over.
func (run *socketRun) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	reported := int64(0)
	for {
		now := run.now()
		end := run.world.Length()
		if run.world.Over() || now > end {
			if run.driverDone != nil {
				return <-run.driverDone
			}
			return nil
		}
		for at := run.world.Next(); at <= now && run.world.Step(now); at = run.world.Next() {
			run.maxLate = max(run.maxLate, run.now()-at)
		}
		if second := now / 1_000_000; second > reported && run.options.Progress != nil {
			reported = second
			run.options.Progress(float64(now)/float64(end), run.world.Result.Timeline)
		}
		wait := max(min(run.world.Next()-run.now(), maxLoopWaitMicros), 0)
		timer.Reset(time.Duration(wait) * time.Microsecond)
		if err := run.waitForEvent(timer.C); err != nil {
			return err
		}
	}
}

// waitForEvent waits for a task, the timer, the end of Drive, a failure or the end of the
// run's context, and handles it.
func (run *socketRun) waitForEvent(timer <-chan time.Time) error {
	select {
	case task := <-run.tasks:
		run.world.At(run.now())
		task()
	case <-timer:
	case err := <-run.failures:
		return err
	case err := <-run.driverDone:
		run.driverDone = nil
		if err != nil {
			return err
		}
		if run.config.EndWithDrive {
			run.world.At(run.now())
			run.world.Close()
		}
	case <-run.ctx.Done():
		return run.ctx.Err()
	}
	return nil
}

// runInLoop hands the loop a task. Once the run is over the task is dropped.
func (run *socketRun) runInLoop(task func()) {
	select {
	case run.tasks <- task:
	case <-run.ctx.Done():
	}
}

// AttemptEnded answers an attempt.
func (run *socketRun) AttemptEnded(_ int, h *simulation.Attempt, e simulation.AttemptResult) {
	h.Tag.(*serverAttempt).finish(h, e)
}

// Note passes an entry of the event log on to the checker and the record. Where a server
// starts or goes down, its listeners follow.
func (run *socketRun) Note(e *eventlog.Entry) {
	run.sitesCut.Store(run.world != nil && run.world.SitesCut())
	switch e.Kind {
	case eventlog.KindDown, eventlog.KindStarted:
		for _, r := range run.routers {
			if p := r.servers[e.Endpoint]; p != nil {
				p.setState(e.Kind == eventlog.KindStarted, run.world.Silent(e.Endpoint))
			}
		}
	}
	run.checker.Observe(e)
	if run.options.Record != nil {
		run.options.Record(e)
	}
}

// fail ends the run with an error. Only the first error counts.
func (run *socketRun) fail(err error) {
	select {
	case run.failures <- err:
	default:
	}
}
