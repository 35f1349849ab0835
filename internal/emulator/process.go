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

// routerProcess is a router, and what it alone talks to: its discovery service and its own
// listener for each server.
type routerProcess struct {
	*socketRun
	id int

	clientAddr     string
	gatewayAddr    string         // "": its site is alone
	membershipAddr netip.AddrPort // invalid: routers don't know each other

	cmd          *exec.Cmd
	startCount   int
	exited       chan struct{} // closed when cmd has ended
	killed       bool          // cmd ended, or will end, at the emulator's will
	costCounted  *exec.Cmd     // the last process that the run's cost includes
	orphanGroups []int         // process groups of killed supervisors, whose generations may run on
	log          logTail
	starveTicker *time.Ticker // times the pauses that take its CPU; nil: none

	discoveryListener net.Listener
	discoveryEvents   []string                   // revisions from 1, anew at each start
	eventPosted       chan struct{}              // closed at the next discovery event
	servers           map[string]*serverListener // by server
	requests          map[string]*clientRequest  // by request, the forwarded ones too
}

const (
	// readyTimeout is how long a router may take until it serves.
	readyTimeout = 30 * time.Second
	// readyPollInterval is how often a starting router's health is asked for.
	readyPollInterval = 5 * time.Millisecond
	// discoveryReadTimeout bounds the reading of a discovery request.
	discoveryReadTimeout = 10 * time.Second
	// logPipeWait is how long the end of a router's log is waited for: other processes of
	// its group may hold the pipe open.
	logPipeWait = 100 * time.Millisecond
)

// findProgram checks that the router's program exists. "": quilldoor beside this program.
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

// prepare reserves addresses, and starts the discovery service and the servers' listeners.
func (r *routerProcess) prepare() error {
	if err := r.reserveAddresses(); err != nil {
		return err
	}
	var err error
	if r.discoveryListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serveLongPoll), ReadTimeout: discoveryReadTimeout}
	r.goroutines.Go(func() { _ = server.Serve(r.discoveryListener) }) // it ends with the listener
	r.goroutines.Go(func() {
		<-r.ctx.Done()
		server.Close()
	})
	for _, s := range r.simulation.Known() {
		if _, err := r.listenerFor(s.ID); err != nil {
			return err
		}
	}
	return nil
}

// runsEarlier tells whether the router runs the earlier version.
func (r *routerProcess) runsEarlier() bool { return r.config.Earlier != "" && r.id%2 == 1 }

// configPath is the file of the platform's configuration of the router.
func (r *routerProcess) configPath() string {
	return filepath.Join(r.dir, fmt.Sprintf("n%d.json", r.id+1))
}

// launch starts the program with the configuration file as it is.
func (r *routerProcess) launch() error {
	cmd := r.command()
	cmd.Stderr = io.MultiWriter(&r.log, cmp.Or[io.Writer](r.config.Log, io.Discard))
	if r.scenario.Fleet.Supervised { // a pipe would end with the supervisor, and take its generations along
		file, err := os.OpenFile((&Supervised{r.socketRun}).Log(r.id), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer file.Close()
		cmd.Stderr = file
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("router n%d: %w", r.id+1, err)
	}
	exited := make(chan struct{})
	r.cmd = cmd
	r.exited = exited
	r.killed = false
	r.goroutines.Go(func() {
		err := cmd.Wait()
		close(exited)
		r.runInLoop(func() {
			if r.cmd == cmd && !r.killed {
				r.fail(fmt.Errorf("router n%d ended by itself (%w); its last lines:\n%s", r.id+1, err, r.recentLog()))
			}
		})
	})
	return nil
}

// command is the command line and environment of the router's process.
func (r *routerProcess) command() *exec.Cmd {
	program, subcommand := r.config.Program, "serve"
	switch {
	case r.runsEarlier():
		program = r.config.Earlier
	case r.scenario.Fleet.Supervised:
		subcommand = "keep"
	}
	cmd := exec.Command(program, subcommand, "--config", r.configPath())
	// A router and all that its supervisor starts are one process group, so that the crash
	// of a machine takes all of it along.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.WaitDelay = logPipeWait
	if r.gatewayAddr != "" || r.membershipAddr.IsValid() || r.scenario.Fleet.Supervised || r.scenario.Fleet.DiskMB > 0 {
		cmd.Args = append(cmd.Args, "--operator", (&Supervised{r.socketRun}).Operator(r.id))
	}
	cmd.Env = routerEnvironment()
	cmd.Dir = r.dir
	return cmd
}

// routerEnvironment is this process's environment without the router's own variables.
func routerEnvironment() (environment []string) {
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "LB_") {
			environment = append(environment, variable)
		}
	}
	return append(environment, "QUILLDOOR_TEST_MAIN=1") // a test's own binary is the program in tests
}

// recentLog is the end of what the router has logged.
func (r *routerProcess) recentLog() string {
	if text, err := os.ReadFile((&Supervised{r.socketRun}).Log(r.id)); err == nil {
		_, _ = r.log.Write(text) // to memory
	}
	return r.log.String()
}

// waitReady waits until the router serves. Meanwhile it runs the loop's tasks, as the loop
// has not begun.
func (r *routerProcess) waitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		select {
		case <-r.exited:
			return fmt.Errorf("router n%d ended at its start; its last lines:\n%s", r.id+1, r.log.String())
		case <-r.ctx.Done():
			return r.ctx.Err()
		case task := <-r.tasks:
			task()
		default:
		}
		response, err := r.client.Get("http://" + r.clientAddr + "/health")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK && r.supervisorSteady() {
			return nil
		}
	}
	return fmt.Errorf("router n%d is not ready after 30 s; its last lines:\n%s", r.id+1, r.log.String())
}

// supervisorSteady tells whether the router's supervisor, if it has one, has nothing under
// way. It learns that its generation serves only after the generation's first client.
func (r *routerProcess) supervisorSteady() bool {
	if !r.scenario.Fleet.Supervised || r.runsEarlier() {
		return true
	}
	status, err := (&Supervised{r.socketRun}).Status(r.id)
	return err == nil && status.State == "steady"
}

// kill kills the router's processes, waits for the first one and counts its cost.
func (r *routerProcess) kill() {
	if r.cmd == nil {
		return
	}
	r.killed = true
	r.stopStarving()
	for _, group := range append(r.orphanGroups, r.cmd.Process.Pid) {
		syscall.Kill(-group, syscall.SIGKILL)
	}
	r.orphanGroups = nil
	<-r.exited
	r.countCost()
}

// countCost adds what the process used to the run's cost, once for each process.
func (r *routerProcess) countCost() {
	if r.costCounted == r.cmd {
		return
	}
	r.costCounted = r.cmd
	state := r.cmd.ProcessState
	r.cost.CPU += state.UserTime() + state.SystemTime()
	if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
		r.cost.MaxMemoryKB = max(r.cost.MaxMemoryKB, usage.Maxrss)
	}
}
