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

// routerProcess is a router and what it alone talks to.
type routerProcess struct {
	*socketRun
	id                int
	clientAddr        string
	startCount        int
	cmd               *exec.Cmd
	exited            chan struct{}
	costCounted       *exec.Cmd // the last whose cost is
	killed            bool
	orphanGroups      []int // of keepers before, whose generations may run on
	log               logTail
	discoveryEvents   []string // of the board, from 1 at each start
	eventPosted       chan struct{}
	discoveryListener net.Listener
	servers           map[string]*serverListener // by server
	requests          map[string]*clientRequest
	gatewayAddr       string         // address of its gateway; "": its site is alone
	membershipAddr    netip.AddrPort // where it hears the other routers
	starveTicker      *time.Ticker   // takes its CPU away time and again
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
func (r *routerProcess) prepare() error {
	if err := r.reserveAddresses(); err != nil {
		return err
	}
	var err error
	if r.discoveryListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serveLongPoll), ReadTimeout: 10 * time.Second}
	r.goroutines.Go(func() { _ = server.Serve(r.discoveryListener) }) // it ends with the listener
	r.goroutines.Go(func() {
		<-r.ctx.Done()
		server.Close()
	})
	for _, s := range r.world.Known() {
		if _, err := r.listenerFor(s.ID); err != nil {
			return err
		}
	}
	return nil
}

// runsEarlier tells whether the router runs an earlier text.
func (r *routerProcess) runsEarlier() bool { return r.config.Earlier != "" && r.id%2 == 1 }

func (r *routerProcess) configPath() string {
	return filepath.Join(r.dir, fmt.Sprintf("n%d.json", r.id+1))
}

// launch starts the program with the configuration that lies there.
func (r *routerProcess) launch() error {
	program, command := r.config.Program, "serve"
	switch {
	case r.runsEarlier():
		program = r.config.Earlier
	case r.scenario.Fleet.Supervised:
		command = "keep"
	}
	cmd := exec.Command(program, command, "--config", r.configPath())
	// A router and all that its keeper starts are a group: a machine that dies takes
	// all of it along.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.WaitDelay = 100 * time.Millisecond // others of its group may hold its log
	if r.gatewayAddr != "" || r.membershipAddr.IsValid() || r.scenario.Fleet.Supervised || r.scenario.Fleet.DiskMB > 0 {
		cmd.Args = append(cmd.Args, "--operator", filepath.Join(r.dir, routerName(r.id)+".yaml"))
	}
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "LB_") {
			cmd.Env = append(cmd.Env, variable)
		}
	}
	cmd.Env = append(cmd.Env, "QUILLDOOR_TEST_MAIN=1") // a test's own binary is the program in tests
	cmd.Dir = r.dir
	cmd.Stderr = io.MultiWriter(&r.log, cmp.Or[io.Writer](r.config.Log, io.Discard))
	if r.scenario.Fleet.Supervised { // a pipe would end with the keeper, and take its generations along
		f, err := os.OpenFile(filepath.Join(r.dir, routerName(r.id)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	r.cmd, r.exited, r.killed = cmd, ended, false
	r.goroutines.Go(func() {
		err := cmd.Wait()
		close(ended)
		r.runInLoop(func() {
			if r.cmd == cmd && !r.killed {
				r.fail(fmt.Errorf("router n%d ended by itself (%w); its last lines:\n%s", r.id+1, err, r.recentLog()))
			}
		})
	})
	return nil
}

// recentLog is the end of what the router has logged.
func (r *routerProcess) recentLog() string {
	if text, err := os.ReadFile(filepath.Join(r.dir, routerName(r.id)+".log")); err == nil {
		_, _ = r.log.Write(text) // to memory
	}
	return r.log.String()
}

// waitReady waits until the router answers.
func (r *routerProcess) waitReady() error {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		select {
		case <-r.exited:
			return fmt.Errorf("router n%d ended at its start; its last lines:\n%s", r.id+1, r.log.String())
		case <-r.ctx.Done():
			return r.ctx.Err()
		case task := <-r.tasks: // nobody else reads it yet
			task()
		default:
		}
		if res, err := r.client.Get("http://" + r.clientAddr + "/health"); err == nil {
			res.Body.Close()
			if res.StatusCode == 200 && r.supervisorSteady() {
				return nil
			}
		}
	}
	return fmt.Errorf("router n%d is not ready after 30 s; its last lines:\n%s", r.id+1, r.log.String())
}

// supervisorSteady tells whether nothing is under way at the router's keeper, if it has one: it
// hears only after the first client that its generation serves.
func (r *routerProcess) supervisorSteady() bool {
	if !r.scenario.Fleet.Supervised || r.runsEarlier() {
		return true
	}
	s, err := (&Kept{r.socketRun}).Standing(r.id)
	return err == nil && s.State == "steady"
}

// kill kills the process and waits for it.
func (r *routerProcess) kill() {
	if r.cmd == nil {
		return
	}
	r.killed = true
	if r.starveTicker != nil {
		r.starveTicker.Stop()
		r.starveTicker = nil
	}
	for _, g := range append(r.orphanGroups, r.cmd.Process.Pid) {
		syscall.Kill(-g, syscall.SIGKILL)
	}
	r.orphanGroups = nil
	<-r.exited
	if state := r.cmd.ProcessState; r.costCounted != r.cmd {
		r.costCounted = r.cmd
		r.cost.CPU += state.UserTime() + state.SystemTime()
		if use, ok := state.SysUsage().(*syscall.Rusage); ok {
			r.cost.MostKB = max(r.cost.MostKB, use.Maxrss)
		}
	}
}
