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
	// socketAnswerSlackMicros is the time by which an answer may be later than its deadline on
	// sockets: the platform allows 50 ms and the policy 8 ms.
	socketAnswerSlackMicros = 58_000
	// maxListeners limits the file descriptors of a run: each router has its own listener for each
	// server.
	maxListeners = 3000
	// clientIdleConns and clientIdleTimeout limit the idle connections of the emulated clients, for
	// each router.
	clientIdleConns   = 200
	clientIdleTimeout = 4 * time.Second
	// gatewayKeyLifetime is the period of validity of the gateways' certificates.
	gatewayKeyLifetime = 24 * time.Hour
)

// socketRun is a run on loopback. Only the goroutine of its loop accesses the simulation and the
// routers' state; all other goroutines pass it tasks with runInLoop.
type socketRun struct {
	options        Options
	scenario       *scenario.Scenario
	simulation     *simulation.Simulation
	checker        *checker.Checker
	routers        []*routerProcess
	client         *http.Client
	startedAt      atomic.Pointer[time.Time] // reset once all routers are ready
	tasks          chan func()
	dir            string
	failures       chan error
	cancel         context.CancelFunc
	ctx            context.Context
	goroutines     sync.WaitGroup
	config         SocketOptions
	driverDone     chan error  // receives the result of Drive; nil: there is no Drive, or it has returned
	sitesCut       atomic.Bool // sites can't reach each other
	reportedSecond int64       // the last second for which Options.Progress was called
	maxDelay       int64       // the longest delay of a due event, in microseconds
	delays         delayMonitor
	membership     Members
	cost           Cost
	brokenConns    int // client connections that broke before an answer
	refusedConns   int // client connections that routers did not accept
}

// RunOnSockets plays a scenario in real time: it starts a process for each router, and emulates on
// loopback the services, clients and networks that the routers communicate with.
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

// checkListenerCount returns an error for a scenario that requires more listeners than a run may
// open.
func checkListenerCount(s *scenario.Scenario) error {
	fleet := &s.Fleet
	routers := fleet.Offices * fleet.Routers
	listeners := routers * (fleet.Offices*fleet.Caches + fleet.Trunks*fleet.Parents + 1)
	if fleet.Membership {
		listeners += routers * routers // a datagram relay for each pair
	}
	if listeners > maxListeners {
		return fmt.Errorf("scenario %s: %d routers require %d listeners, more than the limit of %d: run it on the virtual clock",
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

// prepareRouters opens the listeners of the emulated services and writes the routers' operator
// configurations.
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
	for _, process := range s.routers { // in a second loop, as a configuration holds the addresses of all peers
		if err := process.writeOperatorConfig(); err != nil {
			return err
		}
	}
	return nil
}

// makeGatewayKeys writes the certificates and keys of the routers' gateways.
func (s *socketRun) makeGatewayKeys() error {
	var names []string
	for i := range s.simulation.Routers() {
		names = append(names, routerName(i))
	}
	return gateway.MakeKeys(s.dir, names, gatewayKeyLifetime)
}

// startRouters starts the routers one at a time, as concurrent starts would compete for the CPU,
// and calls Ready with their addresses once all are ready.
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

// startWatchers starts the goroutines that run beside the loop: the delay monitor, the comparison
// of membership views, and Drive.
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

// close kills the routers and waits for all goroutines of the run.
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
		Unsent:             s.checker.Unsent,
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
