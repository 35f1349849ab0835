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

// upgradeCase is something that is done to all routers at once.
type upgradeCase struct {
	name       string
	supervised bool
	act        func(routers *emulator.RunningRouters, router int) error
}

// upgradeCases begin with the baseline that the others are compared with.
var upgradeCases = []upgradeCase{
	{"calm", true, func(*emulator.RunningRouters, int) error { return nil }},
	{"change", true, applyUpgrade},
	{"crash on trial", true, crashOnTrial},
	{"restart", false, func(routers *emulator.RunningRouters, router int) error { return routers.Restart(router) }},
}

// applyUpgrade asks a router's supervisor for a new generation.
func applyUpgrade(routers *emulator.RunningRouters, router int) error {
	reply, err := routers.Ask(router, &handoff.Message{Kind: handoff.KindApply})
	if err != nil {
		return err
	}
	if !reply.OK {
		return fmt.Errorf("router %d: %s", router, reply.Note)
	}
	return nil
}

// crashDelay is how long a new generation has been on trial when crashOnTrial kills it.
const crashDelay = time.Second

// crashOnTrial kills the new generation while it is on trial.
func crashOnTrial(routers *emulator.RunningRouters, router int) error {
	applied := make(chan error, 1)
	go func() {
		_, err := routers.Ask(router, &handoff.Message{Kind: handoff.KindApply})
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

// upgradeSettleTime is how long an upgrade may take until the old process is gone.
const upgradeSettleTime = 10 * time.Second

// upgradeDriver upgrades all routers of a run.
type upgradeDriver struct {
	upgrade upgradeCase

	mu      sync.Mutex
	figures *upgradeFigures
	peakMB  float64
}

// drive acts on all routers at once and waits until they are steady again.
func (d *upgradeDriver) drive(_ context.Context, routers *emulator.RunningRouters) error {
	time.Sleep(upgradeAt)
	began := time.Now()
	done := make(chan error, routers.Count())
	for router := range routers.Count() {
		go func() { done <- d.upgradeOne(routers, router, began) }()
	}
	for range routers.Count() {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

func (d *upgradeDriver) upgradeOne(routers *emulator.RunningRouters, router int, began time.Time) error {
	if err := d.upgrade.act(routers, router); err != nil {
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
	d.figures.drainedMS = append(d.figures.drainedMS, float64(time.Since(began).Milliseconds()))
	d.figures.recoveryMS = append(d.figures.recoveryMS, float64(status.LastCrashMS))
	d.peakMB = max(d.peakMB, float64(status.PeakMB))
	return nil
}
