package emulator

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"quilldoor/internal/checker"
	"quilldoor/internal/gateway"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

const (
	// socketAnswerSlackMicros is how much later than its deadline an answer may come on
	// sockets: 50 ms that the platform allows and 8 ms that the policy allows.
	socketAnswerSlackMicros = 58_000
	// maxListeners bounds the file descriptors: each router has its own address for each server.
	maxListeners = 3000
	// clientIdleConns and clientIdleTimeout bound the idle connections of the emulated clients.
	clientIdleConns   = 200
	clientIdleTimeout = 4 * time.Second
	// gatewayKeyLifetime is how long the certificates of a run's gateways are valid.
	gatewayKeyLifetime = 24 * time.Hour
)

// socketRun is a run on loopback. Its loop is the one goroutine that touches the simulation
// and the routers' state; all other goroutines hand it tasks by runInLoop.
type socketRun struct {
	options        Options
	scenario       *scenario.Scenario
	simulation     *simulation.Simulation
	checker        *checker.Checker
	routers        []*routerProcess
	client         *http.Client
	startedAt      atomic.Pointer[time.Time] // set anew once all routers are ready
	tasks          chan func()
	dir            string
	failures       chan error
	cancel         context.CancelFunc
	ctx            context.Context
	goroutines     sync.WaitGroup
	config         SocketOptions
	driverDone     chan error  // nil: there is no Drive, or it has returned
	sitesCut       atomic.Bool // sites can't reach each other
	reportedSecond int64       // the last one that Options.Progress was called for
	maxDelay       int64       // the longest delay of a due event, in microseconds
	delays         delayMonitor
	membership     Members // what was seen of the routers' membership views
	cost           Cost
	brokenConns    int // connections that ended without an answer, not by their client
	refusedConns   int
}

// RunOnSockets plays a scenario in real time: it listens on loopback for all that routers
// talk to, and starts a router process for each router.
func RunOnSockets(ctx context.Context, s *scenario.Scenario, options Options, config SocketOptions) (*Result, error) {
	if err := checkListenerCount(s); err != nil {
		return nil, err
	}
	program, err := findProgram(config.Program)
	if err != nil {
		return nil, err
	}
	config.Program = program
	dir, err := os.MkdirTemp("", "quilldoor-lab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	run := newSocketRun(ctx, cancel, s, options, config, dir)
	defer run.close()
	if err := run.prepareRouters(); err != nil {
		return nil, err
	}
	if err := run.startRouters(); err != nil {
		return nil, err
	}
	run.restartClock()
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
	ctx context.Context, cancel context.CancelFunc, s *scenario.Scenario, options Options, config SocketOptions, dir string,
) *socketRun {
	run := &socketRun{
		options:  options,
		scenario: s,
		checker:  checker.New(CheckerSettings(s, socketAnswerSlackMicros)),
		tasks:    make(chan func(), taskQueueLength),
		dir:      dir,
		failures: make(chan error, 1),
		ctx:      ctx,
		cancel:   cancel,
		config:   config,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: clientIdleConns,
			IdleConnTimeout:     clientIdleTimeout,
			DisableCompression:  true,
		}},
	}
	run.simulation = simulation.New(s, options.Seed, run)
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
		process := &routerProcess{
			socketRun:   s,
			id:          i,
			servers:     map[string]*serverListener{},
			requests:    map[string]*clientRequest{},
			eventPosted: make(chan struct{}),
		}
		s.routers = append(s.routers, process)
		if err := process.prepare(); err != nil {
			return err
		}
	}
	if fleet.Sites < 2 && !fleet.Membership && !fleet.Supervised && fleet.DiskMB <= 0 {
		return nil
	}
	for _, process := range s.routers { // after all have addresses: a file names the peers'
		if err := process.writeOperatorConfig(); err != nil {
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
	s.restartClock()
	var addrs []string
	for _, process := range s.routers {
		if err := process.start(s.simulation.EndpointList()); err != nil {
			return err
		}
		if err := process.waitReady(); err != nil {
			return err
		}
		addrs = append(addrs, process.clientAddr)
	}
	if s.config.Ready != nil {
		s.config.Ready(addrs)
	}
	return nil
}

// startWatchers starts what goes on beside the loop: the measuring of delays, polls of the membership
// views, and Drive.
func (s *socketRun) startWatchers() {
	s.goroutines.Go(func() { s.delays.watch(s.ctx.Done()) })
	if s.scenario.Fleet.Membership {
		s.goroutines.Go(s.watchMembership)
	}
	if s.config.Drive != nil {
		done := make(chan error, 1)
		s.driverDone = done
		s.goroutines.Go(func() { done <- s.config.Drive(s.ctx, &RunningRouters{s}) })
	}
}

func (s *socketRun) killRouters() {
	for _, process := range s.routers {
		process.kill()
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
	result := &Result{
		Result:             s.simulation.Result,
		Violations:         s.checker.Violations,
		CountByRule:        s.checker.CountByRule,
		Judged:             s.checker.Checked,
		MaxDelay:           max(s.maxDelay, s.delays.longestMicros.Load()),
		LateNotices:        s.checker.LateNotices,
		Excused:            s.checker.Excused,
		Cost:               s.cost,
		BrokenConnections:  s.brokenConns,
		RefusedConnections: s.refusedConns,
	}
	if s.scenario.Fleet.Membership {
		result.Members = &s.membership
	}
	return result
}
