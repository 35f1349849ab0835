package emulator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quilldoor/internal/checker"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/gateway"
	"quilldoor/internal/loopback"
	"quilldoor/internal/policy"
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

// process is a router and what it alone talks to.
type process struct {
	*sockets
	id      int
	listen  string
	starts  int
	cmd     *exec.Cmd
	ended   chan struct{}
	counted *exec.Cmd // the last whose cost is
	killed  bool
	groups  []int // of keepers before, whose generations may run on
	log     tail
	events  []string // of the board, from 1 at each start
	changed chan struct{}
	board   net.Listener
	places  map[string]*place // by server
	asks    map[string]*asked
	gate    string         // address of its gateway; "": its site is alone
	members netip.AddrPort // where it hears the other routers
	starved *time.Ticker   // takes its CPU away time and again
}

// asked is a txn that the router has, with its hops so far.
type asked struct {
	*simulation.Ask
	hops    int
	cancel  context.CancelFunc
	carried bool // for a router of another site
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

func findProgram(name string) (string, error) {
	if name == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		name = filepath.Join(filepath.Dir(self), "quilldoor")
	}
	if _, err := os.Stat(name); err != nil {
		return "", fmt.Errorf("the router's program: %w", err)
	}
	return name, nil
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

// ---- What the world says ----

// Ask sends a client's request.
func (v *sockets) Ask(a *simulation.Ask) {
	r := v.routers[a.Router]
	ctx, cancel := context.WithCancel(v.ctx)
	x := &asked{Ask: a, cancel: cancel}
	r.asks[a.Txn] = x
	listen := r.listen
	v.all.Go(func() {
		outcome, issued, stay, wrong := v.request(ctx, listen, a)
		v.send(func() {
			cancel()
			if wrong != "" {
				v.Note(&eventlog.Entry{Kind: eventlog.KindWrong, At: v.world.Now(), Router: a.Router, Request: a.Txn, State: wrong})
			}
			v.everywhere(a.Txn)
			if outcome == "" && r.asks[a.Txn] == x {
				v.broke++
			}
			if outcome == "refused" && r.asks[a.Txn] == x {
				v.refused++
				delete(r.asks, a.Txn)
				v.world.Refused(a.Router, a.Txn)
			} else if outcome != "" && r.asks[a.Txn] == x {
				delete(r.asks, a.Txn)
				v.world.Final(a.Router, a.Txn, outcome, issued, stay)
			}
		})
	})
}

// everywhere forgets a txn at routers that carried it for another.
func (v *sockets) everywhere(txn string) {
	for _, r := range v.routers {
		if x := r.asks[txn]; x != nil && x.carried {
			delete(r.asks, txn)
		}
	}
}

// carried finds a txn that another site's router has handed over.
func (r *process) carried(txn string) *asked {
	for _, home := range r.routers {
		if x := home.asks[txn]; x != nil && !x.carried && r.gate != "" && home.gate != "" {
			b := *x.Ask
			b.Router = r.id
			mine := &asked{Ask: &b, cancel: func() {}, carried: true}
			r.asks[txn] = mine
			r.Note(&eventlog.Entry{Kind: eventlog.KindForwarded, At: r.world.Now(), Router: r.id, Request: txn, Attempt: home.id})
			return mine
		}
	}
	return nil
}

// request is a try over HTTP. No outcome: there was no answer.
func (v *sockets) request(ctx context.Context, listen string, a *simulation.Ask) (outcome string, issued, stay int64, wrong string) {
	method, body := "GET", []byte(nil)
	if a.Write {
		method, body = "PUT", []byte("accepted "+a.Txn)
	}
	name := v.world.RuleOf(a.Rule).Name
	url := "http://" + listen + "/rpc/" + name + "/" + a.Object
	if a.Rule == scenario.ClassVideo {
		url += "/n-" + strconv.FormatInt(a.Part, 10)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	q.Header.Set("X-Txn", a.Txn)
	q.Header.Set("X-Ttl-Ms", strconv.FormatInt(max(a.Limit/1000, 1), 10))
	q.Header.Set("X-Shard", strconv.FormatInt(a.Group, 10))
	if a.Again {
		q.Header.Set("X-Second-Try", "1")
	}
	res, err := v.client.Do(q)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "refused", 0, 0, ""
	}
	if err != nil {
		return
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		return
	}
	switch res.StatusCode {
	case 200:
		if a.Write {
			if string(got) != "recorded accepted "+a.Txn {
				wrong = fmt.Sprintf("%.40q for an acceptance", got)
			}
			return "completed", 0, 0, wrong
		}
		issued, wrong = readBody(got, a)
		return "completed", issued, 0, wrong
	case 429, 503:
		ms, _ := strconv.ParseInt(res.Header.Get("X-Throttle-Ms"), 10, 32)
		return "rejected", 0, ms * 1000, ""
	}
	return "aborted", 0, 0, ""
}

// bodyOf is a copy's bytes: they tell what it is and when it was given out.
func bodyOf(object string, part, issued int64, kb float64) []byte {
	line := fmt.Appendf(nil, "%s/%d@%d;", object, part, issued)
	n := max(int(kb*1000), len(line))
	b := bytes.Repeat(line, n/len(line)+1)
	return b[:n]
}

func readBody(got []byte, a *simulation.Ask) (issued int64, wrong string) {
	line, _, _ := bytes.Cut(got, []byte(";"))
	at := bytes.LastIndexByte(line, '@')
	if at < 0 {
		return 0, fmt.Sprintf("%.40q", line)
	}
	issued, err := strconv.ParseInt(string(line[at+1:]), 10, 64)
	if err != nil || !bytes.Equal(got, bodyOf(a.Object, a.Part, issued, a.SizeKB)) {
		return 0, fmt.Sprintf("%.40q, %d bytes for %s/%d", line, len(got), a.Object, a.Part)
	}
	return issued, ""
}

// Leave ends a client's wait: it closes its connection.
func (v *sockets) Leave(router int, txn string) {
	if x := v.routers[router].asks[txn]; x != nil {
		delete(v.routers[router].asks, txn)
		v.everywhere(txn)
		x.cancel()
	}
}

// End answers a hop.
func (v *sockets) End(_ int, h *simulation.Hop, e simulation.End) { h.Tag.(*lineHop).end(h, e) }

// Told puts an event on a router's board.
func (v *sockets) Told(router int, n simulation.Notice) {
	r := v.routers[router]
	rev := len(r.events) + 1
	if n.Purge {
		what := fmt.Sprintf(`"collection":%d`, n.Group)
		if n.Object != "" {
			what = fmt.Sprintf(`"asset":%q`, n.Object)
		}
		r.post(fmt.Sprintf(`{"rev":%d,"flush":{%s,"ms":%d}}`, rev, what, v.unixMS(n.At)))
		return
	}
	r.post(r.pool(rev, n.Servers, false))
}

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

// Down kills a router outright.
func (v *sockets) Down(router int) {
	r := v.routers[router]
	for _, x := range r.asks {
		x.cancel()
	}
	r.asks = map[string]*asked{}
	r.end()
}

// Up starts it again.
func (v *sockets) Up(router int, known []simulation.Server) {
	if err := v.routers[router].run(known); err != nil {
		v.failed(err)
	}
}

// Stop lets a router stand still; its machine still accepts connections and keeps
// what comes.
func (v *sockets) Stop(router int) { v.routers[router].signal(syscall.SIGSTOP) }

// Wake lets it go on.
func (v *sockets) Wake(router int) { v.routers[router].signal(syscall.SIGCONT) }

func (r *process) signal(s os.Signal) {
	if err := r.cmd.Process.Signal(s); err != nil && !r.killed {
		r.failed(fmt.Errorf("router n%d: %w", r.id+1, err))
	}
}

// Starve takes a share of a router's CPU away, some milliseconds at a time, as a
// busy neighbour on its core does.
func (v *sockets) Starve(router int, share float64) {
	const slice = 20 * time.Millisecond
	r := v.routers[router]
	if r.starved != nil {
		r.starved.Stop()
		r.starved = nil
	}
	if share == 0 {
		return
	}
	r.starved = time.NewTicker(slice)
	ticker, cmd := r.starved, r.cmd
	v.all.Go(func() {
		for {
			select {
			case <-ticker.C:
			case <-v.ctx.Done():
				return
			}
			v.send(func() {
				if r.starved != ticker || r.cmd != cmd || r.killed || v.world.Stopped(router) {
					return
				}
				r.signal(syscall.SIGSTOP)
				time.AfterFunc(time.Duration(share*float64(slice)), func() {
					v.send(func() {
						if r.cmd == cmd && !r.killed && !v.world.Stopped(router) {
							r.signal(syscall.SIGCONT)
						}
					})
				})
			})
		}
	})
}

func (v *sockets) failed(err error) {
	select {
	case v.fail <- err:
	default: // the first one counts
	}
}

// ---- Router processes ----

// prepare takes addresses, starts the board and the servers' listeners.
func (r *process) prepare() error {
	if err := r.takeAddresses(); err != nil {
		return err
	}
	var err error
	if r.board, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.poll), ReadTimeout: 10 * time.Second}
	r.all.Go(func() { _ = server.Serve(r.board) }) // it ends with the listener
	r.all.Go(func() {
		<-r.ctx.Done()
		server.Close()
	})
	for _, s := range r.world.Known() {
		if _, err := r.place(s.ID); err != nil {
			return err
		}
	}
	return nil
}

// takeAddresses reserves what the router's process listens at: it binds them itself,
// and again when it is started after a death.
func (r *process) takeAddresses() error {
	listen, err := r.clientAddress()
	if err != nil {
		return err
	}
	r.listen = listen
	if r.set.Fleet.Sites >= 2 {
		gate, err := loopback.Reserve()
		if err != nil {
			return err
		}
		r.gate = gate.String()
	}
	if r.set.Fleet.Membership {
		if r.members, err = loopback.Reserve(); err != nil {
			return err
		}
	}
	return nil
}

// clientAddress is where the router hears clients: the address that the run's options
// name for the first router, or a reserved one.
func (r *process) clientAddress() (string, error) {
	named := r.conf.Listen
	if r.id != 0 || named == "" || strings.HasSuffix(named, ":0") {
		address, err := loopback.Reserve()
		return address.String(), err
	}
	// A port that somebody named can't be reserved. That it is in use shows here already.
	l, err := net.Listen("tcp", named)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// pool is a change of the list as the board words it.
func (r *process) pool(rev int, list []simulation.Server, all bool) string {
	type target struct {
		UID          string  `json:"uid"`
		Endpoint     string  `json:"endpoint"`
		AZ           string  `json:"az"`
		Model        string  `json:"model"`
		State        string  `json:"state"`
		CapacityHint float64 `json:"capacity_hint"`
		BootMS       int64   `json:"boot_ms"`
	}
	states := map[policy.EndpointState]string{policy.EndpointActive: "ready", policy.EndpointDraining: "draining", policy.EndpointGone: "gone"}
	out := []target{}
	for _, s := range list {
		p, err := r.place(s.ID)
		if err != nil {
			r.failed(err)
			continue
		}
		t := target{s.ID, p.addr, s.Zone, s.Kind, states[s.State], s.Weight, 0}
		if s.StartedAt > 0 {
			t.BootMS = r.unixMS(s.StartedAt)
		}
		out = append(out, t)
	}
	text, _ := json.Marshal(map[string]any{"rev": rev, "pool": map[string]any{"all": all, "targets": out}})
	return string(text)
}

func (r *process) post(event string) {
	r.events = append(r.events, event)
	close(r.changed)
	r.changed = make(chan struct{})
}

// poll is the board's long poll.
func (r *process) poll(w http.ResponseWriter, q *http.Request) {
	watch, _ := strconv.Atoi(q.URL.Query().Get("watch"))
	linger, _ := strconv.Atoi(q.URL.Query().Get("linger"))
	late := time.After(time.Duration(min(max(linger, 0), 5000)) * time.Millisecond)
	for {
		var news string
		var more <-chan struct{}
		done := make(chan struct{})
		r.send(func() {
			defer close(done)
			more = r.changed
			if watch < len(r.events) {
				news = strings.Join(r.events[max(watch, 0):], ",")
			}
			news = fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, len(r.events), news)
		})
		select {
		case <-done:
		case <-r.ctx.Done():
			return
		}
		if !strings.HasSuffix(news, "[]}") {
			_, _ = io.WriteString(w, news) // a poller that is gone asks again
			return
		}
		select {
		case <-more:
		case <-late:
			_, _ = io.WriteString(w, news) // a poller that is gone asks again
			return
		case <-q.Context().Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// run starts the process with the list as it is.
func (r *process) run(known []simulation.Server) error {
	r.starts++
	r.events = []string{r.pool(1, known, true)}
	setup := r.set.Settings(r.world.Office(r.id), r.id)
	if r.opt.Settings != nil {
		r.opt.Settings(&setup)
	}
	f := &r.set.Fleet
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", r.id+1), "listen": r.listen, "seed": fmt.Sprintf("%x", r.id+1+r.starts<<16),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "board": r.board.Addr().String(),
		"flow_bytes_per_s": f.FlowKBPerS * 1000, "link_bytes_per_s": f.FlowKBPerS * 4000,
		"known": json.RawMessage(`{"rev":1,"notices":[` + r.events[0] + `]}`), "settings": setup,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.config(), text, 0o600); err != nil {
		return err
	}
	return r.exec()
}

// earlier tells whether the router runs an earlier text.
func (r *process) earlier() bool { return r.conf.Earlier != "" && r.id%2 == 1 }

func (r *process) config() string { return filepath.Join(r.dir, fmt.Sprintf("n%d.json", r.id+1)) }

// exec starts the program with the configuration that lies there.
func (r *process) exec() error {
	program, what := r.conf.Program, "serve"
	switch {
	case r.earlier():
		program = r.conf.Earlier
	case r.set.Fleet.Supervised:
		what = "keep"
	}
	cmd := exec.Command(program, what, "--config", r.config())
	// A router and all that its keeper starts are a group: a machine that dies takes
	// all of it along.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.WaitDelay = 100 * time.Millisecond // others of its group may hold its log
	if r.gate != "" || r.members.IsValid() || r.set.Fleet.Supervised || r.set.Fleet.DiskMB > 0 {
		cmd.Args = append(cmd.Args, "--operator", filepath.Join(r.dir, nameOf(r.id)+".yaml"))
	}
	for _, e := range os.Environ() {
		if !strings.HasPrefix(e, "LB_") {
			cmd.Env = append(cmd.Env, e)
		}
	}
	cmd.Env = append(cmd.Env, "QUILLDOOR_TEST_MAIN=1") // a test's own binary is the program in tests
	cmd.Dir = r.dir
	cmd.Stderr = io.MultiWriter(&r.log, cmp.Or[io.Writer](r.conf.Log, io.Discard))
	if r.set.Fleet.Supervised { // a pipe would end with the keeper, and take its generations along
		f, err := os.OpenFile(filepath.Join(r.dir, nameOf(r.id)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer f.Close()
		cmd.Stderr = f
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("router n%d: %w", r.id+1, err)
	}
	ended := make(chan struct{})
	r.cmd, r.ended, r.killed = cmd, ended, false
	r.all.Go(func() {
		err := cmd.Wait()
		close(ended)
		r.send(func() {
			if r.cmd == cmd && !r.killed {
				r.failed(fmt.Errorf("router n%d ended by itself (%w); its last lines:\n%s", r.id+1, err, r.said()))
			}
		})
	})
	return nil
}

// said is the end of what the router has logged.
func (r *process) said() string {
	if text, err := os.ReadFile(filepath.Join(r.dir, nameOf(r.id)+".log")); err == nil {
		_, _ = r.log.Write(text) // to memory
	}
	return r.log.String()
}

// ready waits until the router answers.
func (r *process) ready() error {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		select {
		case <-r.ended:
			return fmt.Errorf("router n%d ended at its start; its last lines:\n%s", r.id+1, r.log.String())
		case <-r.ctx.Done():
			return r.ctx.Err()
		case do := <-r.in: // nobody else reads it yet
			do()
		default:
		}
		if res, err := r.client.Get("http://" + r.listen + "/health"); err == nil {
			res.Body.Close()
			if res.StatusCode == 200 && r.steady() {
				return nil
			}
		}
	}
	return fmt.Errorf("router n%d is not ready after 30 s; its last lines:\n%s", r.id+1, r.log.String())
}

// steady tells whether nothing is under way at the router's keeper, if it has one: it
// hears only after the first client that its generation serves.
func (r *process) steady() bool {
	if !r.set.Fleet.Supervised || r.earlier() {
		return true
	}
	s, err := (&Kept{r.sockets}).Standing(r.id)
	return err == nil && s.State == "steady"
}

// end kills the process and waits for it.
func (r *process) end() {
	if r.cmd == nil {
		return
	}
	r.killed = true
	if r.starved != nil {
		r.starved.Stop()
		r.starved = nil
	}
	for _, g := range append(r.groups, r.cmd.Process.Pid) {
		syscall.Kill(-g, syscall.SIGKILL)
	}
	r.groups = nil
	<-r.ended
	if state := r.cmd.ProcessState; r.counted != r.cmd {
		r.counted = r.cmd
		r.cost.CPU += state.UserTime() + state.SystemTime()
		if use, ok := state.SysUsage().(*syscall.Rusage); ok {
			r.cost.MostKB = max(r.cost.MostKB, use.Maxrss)
		}
	}
}

// tail keeps the last bytes that were written.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(b []byte) (int, error) {
	const most = 4 << 10
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	if over := len(t.text) - most; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
