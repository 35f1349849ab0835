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
	// readyTimeout is the time limit for a router process to become ready.
	readyTimeout = 30 * time.Second
	// readyPollInterval is the interval between the health requests to a starting router.
	readyPollInterval = 5 * time.Millisecond
	// logPipeWait limits the wait for the end of a router's log after its exit: other processes
	// of its group may hold the pipe open.
	logPipeWait = 100 * time.Millisecond
)

// launch starts the router's program with its current configuration files.
func (r *routerProcess) launch() error {
	cmd := r.command()
	cmd.Stderr = io.MultiWriter(&r.log, cmp.Or[io.Writer](r.config.Log, io.Discard))
	// A pipe would be closed after the supervisor's exit, which would end its generations at their
	// next write.
	if r.scenario.Fleet.Supervised {
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
				r.fail(fmt.Errorf("router %s exited unexpectedly (%w); end of its log:\n%s", r.platformName(), err, r.recentLog()))
			}
		})
	})
	return nil
}

// command returns the command that starts the router's process.
func (r *routerProcess) command() *exec.Cmd {
	program, subcommand := r.config.Program, "serve"
	switch {
	case r.runsEarlierVersion():
		program = r.config.Earlier
	case r.scenario.Fleet.Supervised:
		subcommand = "keep"
	}
	cmd := exec.Command(program, subcommand, "--config", r.configPath())
	// A router and all processes that its supervisor starts form one process group, so that the
	// crash of their machine can be emulated by killing the group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.WaitDelay = logPipeWait
	if r.gatewayAddr != "" || r.membershipAddr.IsValid() || r.scenario.Fleet.Supervised || r.scenario.Fleet.DiskMB > 0 {
		cmd.Args = append(cmd.Args, "--operator", r.operatorPath())
	}
	cmd.Env = routerEnvironment()
	cmd.Dir = r.dir
	return cmd
}

// routerEnvironment is the environment of this process without the variables that configure a
// router.
func routerEnvironment() (environment []string) {
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "LB_") {
			environment = append(environment, variable)
		}
	}
	return append(environment, "QUILLDOOR_TEST_MAIN=1") // makes a test binary, the program in tests, run as quilldoor
}

// recentLog returns the end of the router's log.
func (r *routerProcess) recentLog() string {
	if text, err := os.ReadFile(r.logPath()); err == nil {
		_, _ = r.log.Write(text) // a logTail returns no error
	}
	return r.log.String()
}

// waitReady waits until the router is ready. Meanwhile it runs the tasks of the loop, which has
// not started yet.
func (r *routerProcess) waitReady() error {
	var health error
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		select {
		case <-r.exited:
			return fmt.Errorf("router %s exited before it was ready; end of its log:\n%s", r.platformName(), r.log.String())
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
	return fmt.Errorf("router %s is not ready after %.0f s (%w); end of its log:\n%s",
		r.platformName(), readyTimeout.Seconds(), health, r.log.String())
}

// checkHealth returns the reason why the router is not ready; nil: it is ready.
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
		return errors.New("the supervisor is not in the steady state")
	}
	return nil
}

// supervisorSteady reports whether the router has no supervisor or a steady one. A generation
// accepts clients before its supervisor is notified of it, so /health may succeed while the
// supervisor is not yet steady.
func (r *routerProcess) supervisorSteady() bool {
	if !r.scenario.Fleet.Supervised || r.runsEarlierVersion() {
		return true
	}
	status, err := r.supervisorStatus()
	return err == nil && status.State == upgrade.StateSteady.String()
}

// kill kills all processes of the router, waits for the exit of cmd and adds its cost to the run's.
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

// countCost adds the CPU time and the memory of the exited process to the run's cost, once for
// each process.
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
