package main

import (
	"context"
	"runtime"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/clock"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

const (
	sweepInterval  = time.Second      // between sweeps of idle upstream connections
	statusInterval = 10 * time.Second // between status lines in the log
)

// backgroundState is the state that runBackground keeps between its iterations.
type backgroundState struct {
	healthChecks int // number sent so far, which makes the tag of the next one unique
	sweptAt      time.Time
	statusAt     time.Time
	maxTimerLag  time.Duration // longest delay of a timer since the last status line
}

// runBackground runs the engine's timers and its background commands, closes idle upstream
// connections and logs the status, until the context ends.
func (r *router) runBackground(ctx context.Context) {
	state := backgroundState{sweptAt: time.Now(), statusAt: time.Now()}
	for {
		r.syncClock()
		nextDue, commands := r.engine.Run(clock.Now())
		for _, command := range commands {
			r.runCommand(&state, command)
		}
		r.sweep(&state, time.Now())
		due := time.Now().Add(time.Duration(nextDue-clock.Now()) * time.Microsecond)
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-time.After(time.Until(due)):
			state.maxTimerLag = max(state.maxTimerLag, time.Since(due))
		}
	}
}

// syncClock tells the engine by how much the system's clock differs from that of decisions.
func (r *router) syncClock() { r.engine.SetClockStep(clock.Step()) }

func (r *router) runCommand(state *backgroundState, command engine.Command) {
	switch command.Kind {
	case engine.CommandHealthCheck:
		state.healthChecks++
		r.checkHealth(command.Endpoint, "p"+strconv.Itoa(state.healthChecks))
	case engine.CommandLog:
		r.logDecision(command)
	case engine.CommandDrop:
		command.Attempt.Drop(command.TimedOut)
	}
}

// logDecision logs a decision of the policy about an endpoint.
func (r *router) logDecision(command engine.Command) {
	entry := r.log.WithField("endpoint", command.EndpointID)
	if command.Backoff > 0 {
		entry = entry.WithField("backoff_ms", command.Backoff/microsPerMilli)
	}
	entry.Info(command.Text)
}

// sweep closes idle upstream connections and logs the status, each at its own interval.
func (r *router) sweep(state *backgroundState, now time.Time) {
	if now.Sub(state.sweptAt) < sweepInterval {
		return
	}
	state.sweptAt = now
	r.upstream.Sweep(now)
	if now.Sub(state.statusAt) < statusInterval {
		return
	}
	state.statusAt = now
	r.logStatus(state.maxTimerLag)
	state.maxTimerLag = 0
}

// logStatus logs the router's load and resource usage, and the disk cache's status.
func (r *router) logStatus(maxTimerLag time.Duration) {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	requests, endpoints := r.engine.Count()
	clients, lateResponses := r.downstream.CollectStats()
	r.log.WithFields(logrus.Fields{
		"requests":             requests,
		"endpoints":            endpoints,
		"clients":              clients,
		"late_responses":       lateResponses,
		"upstream_connections": r.upstream.ConnCount(),
		"goroutines":           runtime.NumGoroutine(),
		"memory_mb":            samples[0].Value.Uint64() / bytesPerMB,
		"gc_cycles":            samples[1].Value.Uint64(),
		"max_timer_lag_ms":     maxTimerLag.Milliseconds(),
	}).Info("status")
	if cache := r.diskCache.Load(); cache != nil {
		r.log.WithFields(cache.Status()).Info("disk cache status")
	}
}

// checkHealth sends a health check and reports its outcome to the engine. Without a
// response within the connect timeout the outcome is a timeout.
func (r *router) checkHealth(endpoint *engine.Endpoint, tag string) {
	sent := clock.Now()
	report := func(outcome policy.Outcome) {
		r.events.HealthChecked(clock.Now(), endpoint.ID, outcome, clock.Now()-sent)
	}
	r.upstream.CheckHealth(endpoint, tag, func(ok bool) {
		if ok {
			report(policy.OutcomeDone)
		} else {
			report(policy.OutcomeConnectionRefused)
		}
	})
	time.AfterFunc(r.limits.ConnectTimeout, func() {
		if r.upstream.CancelHealthCheck(endpoint, tag) {
			report(policy.OutcomeTimeout)
		}
	})
}
