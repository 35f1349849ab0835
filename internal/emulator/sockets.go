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

// slackOnSockets is how much longer answers may take: the platform's 50 ms and the
// module's 8.
const slackOnSockets = 58_000

// mostListeners bounds the descriptors: each router has an address of its own for
// each server.
const mostListeners = 3000

// sockets is a run on loopback. Its loop is the one goroutine that touches the
// world and what is below it; all others send it what comes in.
type sockets struct {
	opt     Options
	set     *scenario.Scenario
	world   *simulation.World
	referee *checker.Checker
	routers []*process
	client  *http.Client
	start   time.Time
	in      chan func()
	dir     string
	fail    chan error
	cancel  context.CancelFunc
	ctx     context.Context
	all     sync.WaitGroup
	conf    Routers
	drive   chan error  // nil: nobody drives, or it is over
	cut     atomic.Bool // sites can't reach each other
	late    int64       // how late the loop did something, at most
	knows   Members     // what was seen of the routers' knowledge of each other
	cost    Cost
	broke   int // connections that ended without an answer, not by their client
	refused int
}

// Sockets plays a script in real time: it listens on loopback for all that routers
// talk to, and starts a router process for each.
func Sockets(ctx context.Context, s *scenario.Scenario, opt Options, conf Routers) (*Result, error) {
	f := &s.Fleet
	routers := f.Offices * f.Routers
	n := routers * (f.Offices*f.Caches + f.Trunks*f.Parents + 1)
	if f.Membership {
		n += routers * routers // a way each
	}
	if n > mostListeners {
		return nil, fmt.Errorf("%s: %d routers and their servers take %d listeners, %d at most: play it on the virtual clock",
			s.Name, routers, n, mostListeners)
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
	v := &sockets{
		opt: opt, set: s, referee: checker.New(Figures(s, slackOnSockets)), in: make(chan func(), 4096), dir: dir,
		fail: make(chan error, 1), ctx: ctx, cancel: cancel, conf: conf,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 4 * time.Second, DisableCompression: true}},
	}
	defer func() {
		cancel()
		for _, r := range v.routers {
			r.end()
		}
		v.client.CloseIdleConnections()
		v.all.Wait()
	}()
	v.world = simulation.New(s, opt.Seed, v)
	v.world.Slack = slackOnSockets
	if f.Sites >= 2 {
		var names []string
		for i := range v.world.Routers() {
			names = append(names, nameOf(i))
		}
		if err := gateway.MakeKeys(dir, names, 24*time.Hour); err != nil {
			return nil, err
		}
	}
	for i := range v.world.Routers() {
		r := &process{sockets: v, id: i, places: map[string]*place{}, asks: map[string]*asked{}, changed: make(chan struct{})}
		v.routers = append(v.routers, r)
		if err := r.prepare(); err != nil {
			return nil, err
		}
	}
	if f.Sites >= 2 || f.Membership || f.Supervised || f.DiskMB > 0 {
		for _, r := range v.routers {
			if err := r.operator(); err != nil {
				return nil, err
			}
		}
	}
	v.start = time.Now()
	var addrs []string
	for _, r := range v.routers { // one by one: a start takes CPU, and others may be judged meanwhile
		if err := r.run(v.world.Known()); err != nil {
			return nil, err
		}
		if err := r.ready(); err != nil {
			return nil, err
		}
		addrs = append(addrs, r.listen)
	}
	if conf.Ready != nil {
		conf.Ready(addrs)
	}
	v.start = time.Now()
	if f.Membership {
		v.all.Go(v.watch)
	}
	if conf.Drive != nil {
		v.drive = make(chan error, 1)
		v.all.Go(func() { v.drive <- conf.Drive(ctx, &Kept{v}) })
	}
	if err := v.loop(); err != nil {
		return nil, err
	}
	for _, r := range v.routers {
		r.end()
	}
	r := &Result{
		Result: v.world.Result, Breaks: v.referee.Violations, Count: v.referee.CountByRule, Judged: v.referee.Checked, Late: v.late,
		Excused: v.referee.Excused, Cost: v.cost, Broke: v.broke, Refused: v.refused,
	}
	if f.Membership {
		r.Members = &v.knows
	}
	return r, nil
}

func (v *sockets) now() int64 { return time.Since(v.start).Microseconds() }

// unixMS is the world's time as the platform tells times; births before the run
// are 0.
func (v *sockets) unixMS(at int64) int64 { return v.start.UnixMilli() + at/1000 }

// loop plays the world by the real clock until it is over.
func (v *sockets) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	told := int64(0)
	for {
		now, end := v.now(), v.world.Length()
		if v.world.Over() || now > end {
			if v.drive != nil {
				return <-v.drive
			}
			return nil
		}
		for at := v.world.Next(); at <= now && v.world.Step(now); at = v.world.Next() {
			v.late = max(v.late, v.now()-at)
		}
		if at := now / 1_000_000; at > told && v.opt.Progress != nil {
			told = at
			v.opt.Progress(float64(now)/float64(end), v.world.Result.Timeline)
		}
		timer.Reset(time.Duration(max(min(v.world.Next()-v.now(), 100_000), 0)) * time.Microsecond)
		select {
		case do := <-v.in:
			v.world.At(v.now())
			do()
		case <-timer.C:
		case err := <-v.fail:
			return err
		case err := <-v.drive:
			if v.drive = nil; err != nil {
				return err
			}
			if v.conf.EndWithDrive {
				v.world.At(v.now())
				v.world.Close()
			}
		case <-v.ctx.Done():
			return v.ctx.Err()
		}
	}
}

// send gives the loop something to do, unless the run is over.
func (v *sockets) send(do func()) {
	select {
	case v.in <- do:
	case <-v.ctx.Done():
	}
}

// End answers a hop.
func (v *sockets) End(_ int, h *simulation.Hop, e simulation.End) { h.Tag.(*lineHop).end(h, e) }

// Note passes a line of the record on; what becomes of servers moves their
// listeners.
func (v *sockets) Note(e *eventlog.Entry) {
	v.cut.Store(v.world != nil && v.world.SitesCut())
	switch e.Kind {
	case eventlog.KindDown, eventlog.KindStarted:
		for _, r := range v.routers {
			if p := r.places[e.Endpoint]; p != nil {
				p.turn(e.Kind == eventlog.KindStarted, v.world.Silent(e.Endpoint))
			}
		}
	}
	v.referee.Observe(e)
	if v.opt.Record != nil {
		v.opt.Record(e)
	}
}

func (v *sockets) failed(err error) {
	select {
	case v.fail <- err:
	default: // the first one counts
	}
}
