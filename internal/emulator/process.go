package emulator

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

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
