package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"quilldoor/internal/discovery"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/gossip"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/operatorconfig"
)

// writeMetrics writes the router's metrics to a file at intervals, in the text format of
// Prometheus.
func (r *router) writeMetrics(ctx context.Context, file *operatorconfig.Metrics) {
	set := metricSet{metrics.NewSet()}
	interval := time.Duration(file.IntervalS) * time.Second
	r.writePeriodically(ctx, interval, "metrics not written", func() error {
		r.collectMetrics(set)
		return writeMetricsFile(file.File, set.Set)
	})
}

// writeMetricsFile replaces the file atomically.
func writeMetricsFile(path string, set *metrics.Set) error {
	f, err := os.Create(path + newFileSuffix)
	if err != nil {
		return err
	}
	set.WritePrometheus(f)
	metrics.WriteProcessMetrics(f)
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(path+newFileSuffix, path)
}

// metricSet sets metrics, whose names get the router's prefix. The labels are arguments for
// the verbs of the name.
type metricSet struct{ *metrics.Set }

func (s metricSet) gauge(value float64, name string, labels ...any) {
	s.GetOrCreateGauge("quilldoor_"+fmt.Sprintf(name, labels...), nil).Set(value)
}

func (s metricSet) counter(value int64, name string, labels ...any) {
	s.GetOrCreateCounter("quilldoor_" + fmt.Sprintf(name, labels...)).Set(uint64(value))
}

// flag sets a gauge to 1 if the value is true, else to 0.
func (s metricSet) flag(value bool, name string, labels ...any) {
	gaugeValue := 0.0
	if value {
		gaugeValue = 1
	}
	s.gauge(gaugeValue, name, labels...)
}

// collectMetrics sets the metrics from the counts of the router's components. The names and
// labels of metrics don't follow renamed identifiers, since dashboards and alerts use them.
func (r *router) collectMetrics(set metricSet) {
	requests, endpoints := r.engine.Count()
	set.gauge(float64(requests), "txns_open")
	set.gauge(float64(endpoints), "servers_listed")
	set.gauge(float64(r.downstream.Clients()), "clients")
	set.gauge(float64(r.upstream.ConnCount()), "upstream_connections")
	set.counter(r.engine.PurgedCopies(), "purged_copies_rejected_total")
	set.counter(r.engine.ForgottenIDs(), "executed_ids_forgotten_total")
	readWaits, readWaitTime := r.downstream.ReadWaits()
	set.counter(readWaits, "read_waits_total")
	set.gauge(readWaitTime.Seconds(), "read_wait_seconds_total")
	collectDiscovery(set, r.watcher.Status())
	if r.membership != nil {
		r.collectMembership(set)
	}
	if r.agent != nil {
		set.gauge(float64(r.agent.Generation), "generation")
	}
	if cache := r.diskCache.Load(); cache != nil {
		collectDiskCache(set, cache.State())
	}
}

func collectDiscovery(set metricSet, status discovery.Status) {
	set.gauge(float64(status.OpenPolls), "discovery_polls_open")
	set.counter(status.SentPolls, "discovery_polls_total")
	set.counter(status.Bytes, "discovery_bytes_total")
	if !status.KnownAt.IsZero() {
		set.gauge(time.Since(status.KnownAt).Seconds(), "discovery_age_seconds")
	}
}

func collectDiskCache(set metricSet, state diskrunner.State) {
	counts := &state.Counts
	for i := range diskcache.ReasonCount {
		set.counter(counts.Lookups[i], "disk_looks_total{reason=%q}", diskcache.Reason(i))
		set.counter(counts.Offers[i], "disk_offers_total{reason=%q}", diskcache.Reason(i))
	}
	set.counter(counts.Served-counts.ServedStale, "disk_served_total{how=%q}", "fresh")
	set.counter(counts.ServedStale, "disk_served_total{how=%q}", "stood_in")
	set.counter(counts.Revalidated, "disk_served_total{how=%q}", "proven")
	set.counter(counts.BytesServed, "disk_bytes_total{way=%q}", "out")
	set.counter(counts.BytesWritten, "disk_bytes_total{way=%q}", "in")
	set.counter(counts.Evicted, "disk_gone_total{why=%q}", "evicted")
	set.counter(counts.Purged, "disk_gone_total{why=%q}", "purged")
	set.counter(counts.ReadFailures, "disk_read_faults_total")
	set.counter(counts.HistoryGaps, "disk_gaps_total")
	for _, health := range []diskcache.Health{
		diskcache.HealthOn, diskcache.HealthFull, diskcache.HealthReadOnly, diskcache.HealthOff,
	} {
		set.flag(state.Health == health, "disk_health{state=%q}", health)
	}
	set.gauge(float64(state.Size.Parts), "disk_parts")
	set.gauge(float64(state.Size.Bytes), "disk_slot_bytes")
	set.gauge(float64(state.Size.MemoryBytes), "disk_memory_bytes")
	set.gauge(float64(state.Size.QueuedBytes), "disk_queued_bytes")
	set.gauge(float64(state.ReadMedianMicros)/microsPerSecond, "disk_read_seconds{quantile=%q}", "0.5")
	set.gauge(float64(state.ReadP99Micros)/microsPerSecond, "disk_read_seconds{quantile=%q}", "0.99")
}

// collectMembership sets the metrics of the router's view of the members, of the messages
// exchanged with them, and of gossip.
func (r *router) collectMembership(set metricSet) {
	view := r.membership.View()
	collectView(set, view)
	collectMessages(set, &view.Counts, &r.membership.Dropped)
	collectGossip(set, r.gossip.counts())
}

func collectView(set metricSet, view *membership.View) {
	members := map[membership.State]int{}
	for _, member := range view.Members {
		members[member.State]++
	}
	for _, state := range []membership.State{
		membership.StateAlive, membership.StateSuspect, membership.StateDead, membership.StateLeaving, membership.StateLeft,
	} {
		set.gauge(float64(members[state]), "members{state=%q}", state)
	}
	set.gauge(float64(view.Connectivity.Known), "members_known")
	set.gauge(float64(view.Connectivity.Reachable), "members_reachable")
	set.flag(view.Connectivity.Majority, "members_majority")
	set.gauge(float64(view.Connectivity.LocalHealth), "members_self_doubt")
}

func collectMessages(set metricSet, counts *membership.Counts, dropped *transport.DropCounts) {
	set.counter(counts.Sent, "members_words_total{way=%q}", "sent")
	set.counter(counts.Received, "members_words_total{way=%q}", "taken")
	for reason, count := range map[string]int64{
		"foreign":  counts.Misaddressed,
		"replayed": counts.Replayed,
		"bad":      counts.Malformed,
		"size":     dropped.Size.Load(),
		"version":  dropped.Version.Load(),
		"proof":    dropped.Authentication.Load(),
		"payload":  dropped.Payload.Load(),
	} {
		set.counter(count, "members_dropped_total{reason=%q}", reason)
	}
	set.counter(dropped.Unsent.Load(), "members_unsent_total")
	set.counter(counts.Suspicions, "members_suspicions_total")
	set.counter(counts.Refutations, "members_refuted_total")
	set.counter(counts.Deaths, "members_deaths_total")
	set.counter(counts.Resumes, "members_wakings_total")
}

func collectGossip(set metricSet, counts gossip.Counts) {
	for event, count := range map[string]int64{
		"asked":    counts.Requests,
		"answered": counts.Responses,
		"bound":    counts.ClaimsAccepted,
		"lapsed":   counts.ClaimsExpired,
		"purges":   counts.Purges,
		"refused":  counts.Rejected,
	} {
		set.counter(count, "news_total{what=%q}", event)
	}
}
