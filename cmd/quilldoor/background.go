package main

import (
	"context"
	"runtime"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

const (
	sweepInterval  = time.Second      // between closings of idle upstream connections
	statusInterval = 10 * time.Second // between lines of status in the log
)

// background is what runBackground remembers from round to round.
type background struct {
	healthChecks int // sent so far: they number the next one
	sweptAt      time.Time
	statusAt     time.Time
	maxTimerLag  time.Duration // since the last status: how late a timer fired
}

// runBackground does what time brings: the engine's timers and background commands, idle
// connections, the status line.
func (r *router) runBackground(ctx context.Context) {
	b := background{sweptAt: time.Now(), statusAt: time.Now()}
	for {
		next, commands := r.engine.Run(clock())
		for _, command := range commands {
			r.runCommand(&b, command)
		}
		r.sweep(&b, time.Now())
		due := time.UnixMicro(next)
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-time.After(time.Until(due)):
			b.maxTimerLag = max(b.maxTimerLag, time.Since(due))
		}
	}
}

func (r *router) runCommand(b *background, command engine.Command) {
	switch command.Kind {
	case engine.CommandHealthCheck:
		b.healthChecks++
		r.checkHealth(command.Endpoint, "p"+strconv.Itoa(b.healthChecks))
	case engine.CommandLog:
		r.logDecision(command)
	case engine.CommandDrop:
		command.Attempt.Drop(command.Silent)
	}
}

// logDecision writes what the policy reports to the log.
func (r *router) logDecision(command engine.Command) {
	entry := r.log.WithField("endpoint", command.EndpointID)
	if command.Backoff > 0 {
		entry = entry.WithField("backoff_ms", command.Backoff/microsPerMilli)
	}
	entry.Info(command.Text)
}

// sweep closes idle upstream connections and logs the status, each at its interval.
func (r *router) sweep(b *background, now time.Time) {
	if now.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = now
	r.upstream.Sweep(now)
	if now.Sub(b.statusAt) < statusInterval {
		return
	}
	b.statusAt = now
	r.logStatus(b.maxTimerLag)
	b.maxTimerLag = 0
}

// logStatus tells how full the router is.
func (r *router) logStatus(maxTimerLag time.Duration) {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	requests, endpoints := r.engine.Count()
	clients, late := r.downstream.CollectStats()
	r.log.WithFields(logrus.Fields{
		"requests":             requests,
		"endpoints":            endpoints,
		"clients":              clients,
		"late_responses":       late,
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

// checkHealth sends a health check, and counts it as timed out after the time that a
// connection may take.
func (r *router) checkHealth(endpoint *engine.Endpoint, tag string) {
	sent := clock()
	report := func(outcome policy.Outcome) {
		r.events.HealthChecked(clock(), endpoint.ID, outcome, clock()-sent)
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
