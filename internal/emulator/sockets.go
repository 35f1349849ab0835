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
	// maxLoopWaitMicros is how long the loop sleeps at most when the simulation has nothing due.
	maxLoopWaitMicros = 100_000
	// clientIdleConns and clientIdleTimeout bound the idle connections of the emulated clients.
	clientIdleConns   = 200
	clientIdleTimeout = 4 * time.Second
	// gatewayKeyLifetime is how long the certificates of a run's gateways are valid.
	gatewayKeyLifetime = 24 * time.Hour
)

// socketRun is a run on loopback. Its loop is the one goroutine that touches the simulation
// and the routers' state; all other goroutines hand it tasks by runInLoop.
type socketRun struct {
	options      Options
	scenario     *scenario.Scenario
	simulation   *simulation.Simulation
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
	run.simulation = simulation.New(s, opt.Seed, run)
	run.simulation.Slack = socketAnswerSlackMicros
	return run
}

// prepareRouters opens what the routers talk to and writes their operators' files.
func (s *socketRun) prepareRouters() error {
	fleet := &s.scenario.Fleet
	if fleet.Sites >= 2 {
		if err := s.makeGatewayKeys(); err != nil {
			return err
		}
	}
	for i := range s.simulation.Routers() {
		r := &routerProcess{
			socketRun:   s,
			id:          i,
			servers:     map[string]*serverListener{},
			requests:    map[string]*clientRequest{},
			eventPosted: make(chan struct{}),
		}
		s.routers = append(s.routers, r)
		if err := r.prepare(); err != nil {
			return err
		}
	}
	if fleet.Sites < 2 && !fleet.Membership && !fleet.Supervised && fleet.DiskMB <= 0 {
		return nil
	}
	for _, r := range s.routers { // after all have addresses: a file names the peers'
		if err := r.writeOperatorConfig(); err != nil {
			return err
		}
	}
	return nil
}

func (s *socketRun) makeGatewayKeys() error {
	var names []string
	for i := range s.simulation.Routers() {
		names = append(names, routerName(i))
	}
	return gateway.MakeKeys(s.dir, names, gatewayKeyLifetime)
}

// startRouters starts one router after another, as a start takes CPU that the others need,
// and reports their addresses once all are ready.
func (s *socketRun) startRouters() error {
	s.startedAt = time.Now()
	var addrs []string
	for _, r := range s.routers {
		if err := r.start(s.simulation.Known()); err != nil {
			return err
		}
		if err := r.waitReady(); err != nil {
			return err
		}
		addrs = append(addrs, r.clientAddr)
	}
	if s.config.Ready != nil {
		s.config.Ready(addrs)
	}
	return nil
}

// startWatchers starts what goes on beside the loop: polls of the membership views, and Drive.
func (s *socketRun) startWatchers() {
	if s.scenario.Fleet.Membership {
		s.goroutines.Go(s.watchMembership)
	}
	if s.config.Drive != nil {
		done := make(chan error, 1)
		s.driverDone = done
		s.goroutines.Go(func() { done <- s.config.Drive(s.ctx, &Supervised{s}) })
	}
}

func (s *socketRun) killRouters() {
	for _, r := range s.routers {
		r.kill()
	}
}

// close ends the routers and all goroutines of the run.
func (s *socketRun) close() {
	s.cancel()
	s.killRouters()
	s.client.CloseIdleConnections()
	s.goroutines.Wait()
}

func (s *socketRun) result() *Result {
	r := &Result{
		Result:             s.simulation.Result,
		Violations:         s.checker.Violations,
		CountByRule:        s.checker.CountByRule,
		Judged:             s.checker.Checked,
		MaxDelay:           s.maxLate,
		Excused:            s.checker.Excused,
		Cost:               s.cost,
		BrokenConnections:  s.brokenConns,
		RefusedConnections: s.refusedConns,
	}
	if s.scenario.Fleet.Membership {
		r.Members = &s.membership
	}
	return r
}

// now is the time of the run in microseconds.
func (s *socketRun) now() int64 { return time.Since(s.startedAt).Microseconds() }

// unixMS is a time of the run as milliseconds since 1970, the form in which the platform
// tells times.
func (s *socketRun) unixMS(at int64) int64 { return s.startedAt.UnixMilli() + at/1000 }

// loop plays the simulation by the real clock until it is over.
func (s *socketRun) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	reported := int64(0)
	for {
		now := s.now()
		end := s.simulation.Length()
		if s.simulation.Over() || now > end {
			if s.driverDone != nil {
				return <-s.driverDone
			}
			return nil
		}
		for at := s.simulation.Next(); at <= now && s.simulation.Step(now); at = s.simulation.Next() {
			s.maxLate = max(s.maxLate, s.now()-at)
		}
		if second := now / 1_000_000; second > reported && s.options.Progress != nil {
			reported = second
			s.options.Progress(float64(now)/float64(end), s.simulation.Result.Timeline)
		}
		wait := max(min(s.simulation.Next()-s.now(), maxLoopWaitMicros), 0)
		timer.Reset(time.Duration(wait) * time.Microsecond)
		if err := s.waitForEvent(timer.C); err != nil {
			return err
		}
	}
}

// waitForEvent waits for a task, the timer, the end of Drive, a failure or the end of the
// run's context, and handles it.
func (s *socketRun) waitForEvent(timer <-chan time.Time) error {
	select {
	case task := <-s.tasks:
		s.simulation.At(s.now())
		task()
	case <-timer:
	case err := <-s.failures:
		return err
	case err := <-s.driverDone:
		s.driverDone = nil
		if err != nil {
			return err
		}
		if s.config.EndWithDrive {
			s.simulation.At(s.now())
			s.simulation.Close()
		}
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	return nil
}

// runInLoop hands the loop a task. Once the run is over the task is dropped.
func (s *socketRun) runInLoop(task func()) {
	select {
	case s.tasks <- task:
	case <-s.ctx.Done():
	}
}

// AttemptEnded answers an attempt.
func (s *socketRun) AttemptEnded(_ int, attempt *simulation.Attempt, end simulation.AttemptResult) {
	attempt.Tag.(*serverAttempt).finish(attempt, end)
}

// Note passes an entry of the event log on to the checker and the record. Where a server
// starts or goes down, its listeners follow.
func (s *socketRun) Note(e *eventlog.Entry) {
	s.sitesCut.Store(s.simulation != nil && s.simulation.SitesCut())
	switch e.Kind {
	case eventlog.KindDown, eventlog.KindStarted:
		for _, r := range s.routers {
			if listener := r.servers[e.Endpoint]; listener != nil {
				listener.setState(e.Kind == eventlog.KindStarted, s.simulation.Silent(e.Endpoint))
			}
		}
	}
	s.checker.Observe(e)
	if s.options.Record != nil {
		s.options.Record(e)
	}
}

// fail ends the run with an error. Only the first error counts.
func (s *socketRun) fail(err error) {
	select {
	case s.failures <- err:
	default:
	}
}
