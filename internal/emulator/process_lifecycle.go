package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"quilldoor/internal/upgrade"
)

const (
	// readyTimeout is how long a router may take until it serves.
	readyTimeout = 30 * time.Second
	// readyPollInterval is how often a starting router's health is asked for.
	readyPollInterval = 5 * time.Millisecond
	// logPipeWait is how long the end of a router's log is waited for: other processes of
	// its group may hold the pipe open.
	logPipeWait = 100 * time.Millisecond
)

// launch starts the program with the configuration file as it is.
func (r *routerProcess) launch() error {
	cmd := r.command()
	cmd.Stderr = io.MultiWriter(&r.log, cmp.Or[io.Writer](r.config.Log, io.Discard))
	if r.scenario.Fleet.Supervised { // a pipe would end with the supervisor, and take its generations along
		file, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer file.Close()
		cmd.Stderr = file
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("router %s: %w", r.platformName(), err)
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
				r.fail(fmt.Errorf("router %s ended by itself (%w); its last lines:\n%s", r.platformName(), err, r.recentLog()))
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
		cmd.Args = append(cmd.Args, "--operator", r.operatorPath())
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
	if text, err := os.ReadFile(r.logPath()); err == nil {
		_, _ = r.log.Write(text) // to memory
	}
	return r.log.String()
}

// waitReady waits until the router serves. Meanwhile it runs the loop's tasks, as the loop
// has not begun.
func (r *routerProcess) waitReady() error {
	var health error
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		select {
		case <-r.exited:
			return fmt.Errorf("router %s ended at its start; its last lines:\n%s", r.platformName(), r.log.String())
		case <-r.ctx.Done():
			return r.ctx.Err()
		case task := <-r.tasks:
			task()
		default:
		}
		if health = r.checkHealth(); health == nil {
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready after %.0f s (%w); its last lines:\n%s",
		r.platformName(), readyTimeout.Seconds(), health, r.log.String())
}

// checkHealth returns why the router does not serve yet; nil: it does.
func (r *routerProcess) checkHealth() error {
	response, err := r.client.Get("http://" + r.clientAddr + "/health")
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("/health: %s", response.Status)
	}
	if !r.supervisorSteady() {
		return errors.New("the supervisor has a change under way")
	}
	return nil
}

// supervisorSteady tells whether the router's supervisor, if it has one, has nothing under
// way. It learns that its generation serves only after the generation's first client.
func (r *routerProcess) supervisorSteady() bool {
	if !r.scenario.Fleet.Supervised || r.runsEarlier() {
		return true
	}
	status, err := r.supervisorStatus()
	return err == nil && status.State == upgrade.StateSteady.String()
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
