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

// Routers are the processes to play against.
type Routers struct {
	Program string         // "": quilldoor beside the running program
	Listen  string         // of the first router; "" or port 0: any address on loopback
	Ready   func([]string) // told the routers' addresses once all are ready
	Log     io.Writer      // what routers log; nil: kept only for the report of a death
	Guests  bool           // requests that are none of the world's are served, too
	// Earlier is the program of every second router, an earlier text of this
	// repository that knows no keeper; "": Program.
	Earlier string
	// Drive is called beside the run where the script's routers are kept, once all are
	// ready. The run goes on until it returns. Its error ends it.
	Drive func(context.Context, *Kept) error
	// EndWithDrive lets no more clients come once it has returned.
	EndWithDrive bool
}

// socketAnswerSlackMicros is how much longer answers may take: the platform's 50 ms and the
// module's 8.
const socketAnswerSlackMicros = 58_000

// maxListeners bounds the descriptors: each router has an address of its own for
// each server.
const maxListeners = 3000

// socketRun is a run on loopback. Its loop is the one goroutine that touches the
// world and what is below it; all others send it what comes in.
type socketRun struct {
	options      Options
	scenario     *scenario.Scenario
	world        *simulation.World
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
	driverDone   chan error  // nil: nobody drives, or it is over
	sitesCut     atomic.Bool // sites can't reach each other
	maxLate      int64       // how late the loop did something, at most
	membership   Members     // what was seen of the routers' knowledge of each other
	cost         Cost
	brokenConns  int // connections that ended without an answer, not by their client
	refusedConns int
}

// Sockets plays a script in real time: it listens on loopback for all that routers
// talk to, and starts a router process for each.
func Sockets(ctx context.Context, s *scenario.Scenario, opt Options, conf Routers) (*Result, error) {
	fleet := &s.Fleet
	routers := fleet.Offices * fleet.Routers
	listeners := routers * (fleet.Offices*fleet.Caches + fleet.Trunks*fleet.Parents + 1)
	if fleet.Membership {
		listeners += routers * routers // a way each
	}
	if listeners > maxListeners {
		return nil, fmt.Errorf("%s: %d routers and their servers take %d listeners, %d at most: play it on the virtual clock",
			s.Name, routers, listeners, maxListeners)
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
	v := &socketRun{
		options: opt, scenario: s, checker: checker.New(Figures(s, socketAnswerSlackMicros)), tasks: make(chan func(), 4096), dir: dir,
		failures: make(chan error, 1), ctx: ctx, cancel: cancel, config: conf,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 4 * time.Second, DisableCompression: true}},
	}
	defer func() {
		cancel()
		for _, r := range v.routers {
			r.kill()
		}
		v.client.CloseIdleConnections()
		v.goroutines.Wait()
	}()
	v.world = simulation.New(s, opt.Seed, v)
	v.world.Slack = socketAnswerSlackMicros
	if fleet.Sites >= 2 {
		var names []string
		for i := range v.world.Routers() {
			names = append(names, routerName(i))
		}
		if err := gateway.MakeKeys(dir, names, 24*time.Hour); err != nil {
			return nil, err
		}
	}
	for i := range v.world.Routers() {
		r := &routerProcess{socketRun: v, id: i, servers: map[string]*serverListener{}, requests: map[string]*clientRequest{}, eventPosted: make(chan struct{})}
		v.routers = append(v.routers, r)
		if err := r.prepare(); err != nil {
			return nil, err
		}
	}
	if fleet.Sites >= 2 || fleet.Membership || fleet.Supervised || fleet.DiskMB > 0 {
		for _, r := range v.routers {
			if err := r.writeOperatorConfig(); err != nil {
				return nil, err
			}
		}
	}
	v.startedAt = time.Now()
	var addrs []string
	for _, r := range v.routers { // one by one: a start takes CPU, and others may be judged meanwhile
		if err := r.start(v.world.Known()); err != nil {
			return nil, err
		}
		if err := r.waitReady(); err != nil {
			return nil, err
		}
		addrs = append(addrs, r.clientAddr)
	}
	if conf.Ready != nil {
		conf.Ready(addrs)
	}
	v.startedAt = time.Now()
	if fleet.Membership {
		v.goroutines.Go(v.watchMembership)
	}
	if conf.Drive != nil {
		v.driverDone = make(chan error, 1)
		v.goroutines.Go(func() { v.driverDone <- conf.Drive(ctx, &Kept{v}) })
	}
	if err := v.loop(); err != nil {
		return nil, err
	}
	for _, r := range v.routers {
		r.kill()
	}
	r := &Result{
		Result: v.world.Result, Breaks: v.checker.Violations, Count: v.checker.CountByRule, Judged: v.checker.Checked, Late: v.maxLate,
		Excused: v.checker.Excused, Cost: v.cost, Broke: v.brokenConns, Refused: v.refusedConns,
	}
	if fleet.Membership {
		r.Members = &v.membership
	}
	return r, nil
}

func (v *socketRun) now() int64 { return time.Since(v.startedAt).Microseconds() }

// unixMS is the world's time as the platform tells times; births before the run
// are 0.
func (v *socketRun) unixMS(at int64) int64 { return v.startedAt.UnixMilli() + at/1000 }

// loop plays the world by the real clock until it is over.
func (v *socketRun) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	reported := int64(0)
	for {
		now, end := v.now(), v.world.Length()
		if v.world.Over() || now > end {
			if v.driverDone != nil {
				return <-v.driverDone
			}
			return nil
		}
		for at := v.world.Next(); at <= now && v.world.Step(now); at = v.world.Next() {
			v.maxLate = max(v.maxLate, v.now()-at)
		}
		if at := now / 1_000_000; at > reported && v.options.Progress != nil {
			reported = at
			v.options.Progress(float64(now)/float64(end), v.world.Result.Timeline)
		}
		timer.Reset(time.Duration(max(min(v.world.Next()-v.now(), 100_000), 0)) * time.Microsecond)
		select {
		case task := <-v.tasks:
			v.world.At(v.now())
			task()
		case <-timer.C:
		case err := <-v.failures:
			return err
		case err := <-v.driverDone:
			if v.driverDone = nil; err != nil {
				return err
			}
			if v.config.EndWithDrive {
				v.world.At(v.now())
				v.world.Close()
			}
		case <-v.ctx.Done():
			return v.ctx.Err()
		}
	}
}

// runInLoop gives the loop something to do, unless the run is over.
func (v *socketRun) runInLoop(task func()) {
	select {
	case v.tasks <- task:
	case <-v.ctx.Done():
	}
}

// End answers a hop.
func (v *socketRun) End(_ int, h *simulation.Hop, e simulation.End) {
	h.Tag.(*serverAttempt).finish(h, e)
}

// Note passes a line of the record on; what becomes of servers moves their
// listeners.
func (v *socketRun) Note(e *eventlog.Entry) {
	v.sitesCut.Store(v.world != nil && v.world.SitesCut())
	switch e.Kind {
	case eventlog.KindDown, eventlog.KindStarted:
		for _, r := range v.routers {
			if p := r.servers[e.Endpoint]; p != nil {
				p.setState(e.Kind == eventlog.KindStarted, v.world.Silent(e.Endpoint))
			}
		}
	}
	v.checker.Observe(e)
	if v.options.Record != nil {
		v.options.Record(e)
	}
}

func (v *socketRun) fail(err error) {
	select {
	case v.failures <- err:
	default: // the first one counts
	}
}
