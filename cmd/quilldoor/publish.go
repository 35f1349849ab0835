package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"quilldoor/internal/diskcache"
	"quilldoor/internal/membership"
	"quilldoor/internal/operatorconfig"
)

// publish writes the router's figures to a file every so often, in the text form
// that Prometheus reads.
func (r *router) publish(ctx context.Context, m *operatorconfig.Metrics) {
	set := metrics.NewSet()
	every := time.NewTicker(time.Duration(m.IntervalS) * time.Second)
	defer every.Stop()
	for failed := false; ; {
		r.collect(set)
		err := writeFigures(m.File, set)
		if err != nil && !failed { // told once, until it goes again
			r.log.WithError(err).Error("metrics not written")
		}
		failed = err != nil
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// writeFigures puts the file in its place whole or not at all.
func writeFigures(path string, set *metrics.Set) error {
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	set.WritePrometheus(f)
	metrics.WriteProcessMetrics(f)
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// collect takes the parts' own counts over.
func (r *router) collect(set *metrics.Set) {
	gauge := func(v float64, name string, labels ...any) {
		set.GetOrCreateGauge("quilldoor_"+fmt.Sprintf(name, labels...), nil).Set(v)
	}
	count := func(v int64, name string, labels ...any) {
		set.GetOrCreateCounter("quilldoor_" + fmt.Sprintf(name, labels...)).Set(uint64(v))
	}
	txns, servers := r.core.Count()
	gauge(float64(txns), "txns_open")
	gauge(float64(servers), "servers_listed")
	gauge(float64(r.front.Clients()), "clients")
	gauge(float64(r.up.ConnCount()), "upstream_connections")
	if r.members != nil {
		r.collectMembers(gauge, count)
	}
	if r.kept != nil {
		gauge(float64(r.kept.Number), "generation")
	}
	own := r.shelf.Load()
	if own == nil {
		return
	}
	s := own.State()
	for i := range diskcache.ReasonCount {
		count(s.Counts.Lookups[i], "disk_looks_total{reason=%q}", diskcache.Reason(i))
		count(s.Counts.Offers[i], "disk_offers_total{reason=%q}", diskcache.Reason(i))
	}
	for how, n := range map[string]int64{
		"fresh": s.Counts.Served - s.Counts.ServedStale, "stood_in": s.Counts.ServedStale,
		"proven": s.Counts.Revalidated,
	} {
		count(n, "disk_served_total{how=%q}", how)
	}
	count(s.Counts.BytesServed, "disk_bytes_total{way=%q}", "out")
	count(s.Counts.BytesWritten, "disk_bytes_total{way=%q}", "in")
	count(s.Counts.Evicted, "disk_gone_total{why=%q}", "evicted")
	count(s.Counts.Purged, "disk_gone_total{why=%q}", "purged")
	count(s.Counts.ReadFailures, "disk_read_faults_total")
	count(s.Counts.HistoryGaps, "disk_gaps_total")
	for _, h := range []diskcache.Health{diskcache.HealthOn, diskcache.HealthFull, diskcache.HealthReadOnly, diskcache.HealthOff} {
		gauge(map[bool]float64{true: 1}[s.Health == h], "disk_health{state=%q}", h)
	}
	gauge(float64(s.Size.Parts), "disk_parts")
	gauge(float64(s.Size.Bytes), "disk_slot_bytes")
	gauge(float64(s.Size.MemoryBytes), "disk_memory_bytes")
	gauge(float64(s.Size.QueuedBytes), "disk_queued_bytes")
	gauge(float64(s.ReadMedianMicros)/1e6, "disk_read_seconds{quantile=%q}", "0.5")
	gauge(float64(s.ReadP99Micros)/1e6, "disk_read_seconds{quantile=%q}", "0.99")
}

// collectMembers takes over what is known of the other routers.
func (r *router) collectMembers(gauge func(float64, string, ...any), count func(int64, string, ...any)) {
	v, d := r.members.View(), &r.members.Dropped
	states := map[membership.State]int{}
	for _, s := range v.Members {
		states[s.State]++
	}
	for _, s := range []membership.State{membership.StateAlive, membership.StateSuspect, membership.StateDead, membership.StateLeaving, membership.StateLeft} {
		gauge(float64(states[s]), "members{state=%q}", s)
	}
	gauge(float64(v.Connectivity.Known), "members_known")
	gauge(float64(v.Connectivity.Reachable), "members_reachable")
	gauge(map[bool]float64{true: 1}[v.Connectivity.Majority], "members_majority")
	gauge(float64(v.Connectivity.LocalHealth), "members_self_doubt")
	c := v.Counts
	count(c.Sent, "members_words_total{way=%q}", "sent")
	count(c.Received, "members_words_total{way=%q}", "taken")
	for why, n := range map[string]int64{
		"foreign": c.Misaddressed, "replayed": c.Replayed, "bad": c.Malformed, "size": d.Size.Load(),
		"version": d.Version.Load(), "proof": d.Authentication.Load(), "payload": d.Payload.Load(),
	} {
		count(n, "members_dropped_total{reason=%q}", why)
	}
	count(d.Unsent.Load(), "members_unsent_total")
	count(c.Suspicions, "members_suspicions_total")
	count(c.Refutations, "members_refuted_total")
	count(c.Deaths, "members_deaths_total")
	count(c.Resumes, "members_wakings_total")
	n := r.peers.news()
	for what, v := range map[string]int64{"asked": n.Requests, "answered": n.Responses, "bound": n.ClaimsAccepted, "lapsed": n.ClaimsExpired, "purges": n.Purges, "refused": n.Rejected} {
		count(v, "news_total{what=%q}", what)
	}
}
