package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
	"quilldoor/internal/upgrade"
)

// upgradeCase is an action that is performed on all routers at once.
type upgradeCase struct {
	name       string
	supervised bool
	action     func(routers *emulator.RunningRouters, router int) error
}

// upgradeCases starts with the baseline that the other cases are compared with.
var upgradeCases = []upgradeCase{
	{"calm", true, func(*emulator.RunningRouters, int) error { return nil }},
	{"change", true, applyUpgrade},
	{"crash on trial", true, crashOnTrial},
	{"restart", false, func(routers *emulator.RunningRouters, router int) error { return routers.Restart(router) }},
}

// applyUpgrade requests a new generation from a router's supervisor and waits for the outcome.
func applyUpgrade(routers *emulator.RunningRouters, router int) error {
	reply, err := routers.CallSupervisor(router, &handoff.Message{Kind: handoff.KindApply})
	if err != nil {
		return err
	}
	if !reply.OK {
		return fmt.Errorf("upgrade of router %d failed: %s", router, reply.Note)
	}
	return nil
}

// crashDelay is the time that a new generation spends on trial before crashOnTrial kills it.
const crashDelay = time.Second

// crashOnTrial starts an upgrade and kills the new generation while it is on trial.
func crashOnTrial(routers *emulator.RunningRouters, router int) error {
	applied := make(chan error, 1)
	go func() {
		_, err := routers.CallSupervisor(router, &handoff.Message{Kind: handoff.KindApply})
		applied <- err
	}()
	status, err := routers.WaitStatus(router, upgradeSettleTime, func(s *handoff.Status) bool {
		return s.State == upgrade.StateOnTrial.String() && s.Next != nil
	})
	if err != nil {
		return err
	}
	time.Sleep(crashDelay)
	if err := routers.Signal(router, status.Next.PID, syscall.SIGKILL); err != nil {
		return err
	}
	return <-applied
}

// upgradeSettleTime is the longest wait for an upgrade to reach a state: a new generation on trial,
// or a steady supervisor whose old process has exited.
const upgradeSettleTime = 10 * time.Second

// upgradeDriver performs an upgrade case on all routers of a run.
type upgradeDriver struct {
	upgrade upgradeCase

	mu      sync.Mutex
	figures *upgradeFigures
	peakMB  float64
}

// drive performs the case on all routers at once and waits until supervised routers are steady
// again, with their old processes exited.
func (d *upgradeDriver) drive(_ context.Context, routers *emulator.RunningRouters) error {
	time.Sleep(upgradeAt)
	start := time.Now()
	done := make(chan error, routers.Count())
	for router := range routers.Count() {
		go func() { done <- d.upgradeOne(routers, router, start) }()
	}
	for range routers.Count() {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

// upgradeOne performs the case on one router. For a supervised router it also waits until the
// supervisor is steady, and adds its times and peak memory to the figures.
func (d *upgradeDriver) upgradeOne(routers *emulator.RunningRouters, router int, start time.Time) error {
	if err := d.upgrade.action(routers, router); err != nil {
		return err
	}
	if !d.upgrade.supervised {
		return nil
	}
	status, err := routers.WaitStatus(router, upgradeSettleTime, func(s *handoff.Status) bool {
		return s.State == upgrade.StateSteady.String() && s.DrainingProcesses == 0
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.figures.drainedMS = append(d.figures.drainedMS, float64(time.Since(start).Milliseconds()))
	d.figures.recoveryMS = append(d.figures.recoveryMS, float64(status.LastCrashMS))
	d.peakMB = max(d.peakMB, float64(status.PeakMB))
	return nil
}
