package scenario

import (
	"strconv"

	"quilldoor/internal/yamlfile"
)

// Bounds of a whole run. Its memory grows by some kilobytes for each open request and by some
// hundred bytes for each object.
const (
	maxRequests = 2e8
	maxCaches   = 5000
	maxRouters  = 500

	maxLengthS = 24 * 3600
)

// keyRange is the value of a key and the bounds of that value.
type keyRange struct {
	key              string
	value, low, high float64
}

// validate checks a scenario and sets the defaults of its faults. An error names the key.
func (s *Scenario) validate() error {
	ranges := []keyRange{
		{"length_s", s.LengthS, 1, maxLengthS},
		{"settle_s", s.WarmUpS, 0, s.LengthS},
	}
	ranges = append(ranges, s.Fleet.ranges()...)
	ranges = append(ranges, s.Load.ranges()...)
	for _, r := range ranges {
		if err := yamlfile.CheckRange(r.key, r.value, r.low, r.high); err != nil {
			return err
		}
	}
	for i, weight := range s.Load.OfficeWeights {
		if err := yamlfile.CheckRange("load.weights["+strconv.Itoa(i)+"]", weight, 0.01, 100); err != nil {
			return err
		}
	}
	if err := s.validateSize(); err != nil {
		return err
	}
	for i := range s.Faults {
		if err := s.Faults[i].validate(s, "troubles["+strconv.Itoa(i)+"]."); err != nil {
			return err
		}
	}
	return nil
}

// validateSize checks the total number of requests, caches and routers.
func (s *Scenario) validateSize() error {
	fleet := &s.Fleet
	if requests := s.Load.RequestsPerS * s.LengthS; requests > maxRequests {
		return yamlfile.Errorf("load.txns_per_s", "%.0f requests in all are more than the limit of a run (200,000,000)", requests)
	}
	if caches := fleet.Offices * fleet.Caches; caches > maxCaches {
		return yamlfile.Errorf("fleet.caches", "%d caches in all are more than %d", caches, maxCaches)
	}
	if routers := fleet.Offices * fleet.Routers; routers > maxRouters {
		return yamlfile.Errorf("fleet.routers", "%d routers in all are more than %d", routers, maxRouters)
	}
	return nil
}

func (f *Fleet) ranges() []keyRange {
	return []keyRange{
		{"fleet.trunks", float64(f.Trunks), 1, 50},
		{"fleet.offices", float64(f.Offices), 1, 200},
		{"fleet.routers", float64(f.Routers), 1, 50},
		{"fleet.caches", float64(f.Caches), 1, 200},
		{"fleet.trial_s", f.TrialS, 0.1, 600},
		{"fleet.disk_mb", float64(f.DiskMB), 0, 1 << 14},
		{"fleet.parents", float64(f.Parents), 0, 50},
		{"fleet.cores", float64(f.Cores), 1, 1000},
		{"fleet.slots_per_core", float64(f.SlotsPerCore), 1, 1000},
		{"fleet.queue_per_core", float64(f.QueuePerCore), 0, 1000},
		{"fleet.fills_per_core", float64(f.FillsPerCore), 1, 1000},
		{"fleet.thrash", f.Thrash, 0, 1},
		{"fleet.keeps_share", f.CacheShare, 0, 1},
		{"fleet.flow_kb_per_s", f.FlowKBPerS, 1, 1e6},
		{"fleet.link_share", f.LinkShare, 0.01, 100},
		{"fleet.fill_speed", f.FillSpeed, 0.1, 100},
		{"fleet.home_ms", f.LocalMS, 0, 1000},
		{"fleet.trunk_ms", f.TrunkMS, 0, 1000},
		{"fleet.far_ms", f.FarMS, 0, 1000},
		{"fleet.client_ms", f.ClientMS, 0, 1000},
		{"fleet.parent_link", f.ParentLink, 0.01, 100},
		{"fleet.parent_keeps", f.ParentCacheShare, 0, 1},
		{"fleet.ledger_workers", float64(f.OriginWorkers), 1, 1e5},
		{"fleet.ledger_ms", f.OriginServiceMS, 0.1, 10_000},
		{"fleet.ledger_link_kb_per_s", f.OriginLinkKBPerS, 0, 1e9},
		{"fleet.ledger_refuse", f.OriginRejectShare, 0.1, 100},
		{"fleet.ledger_stops", f.OriginStopMultiple, 1, 1000},
		{"fleet.ledger_stop_s", f.OriginStopS, 0.1, 600},
		{"fleet.cold_from", f.SlowStartFrom, 0.01, 1},
		{"fleet.cold_s", f.SlowStartS, 0.01, 600},
		{"fleet.fall_multiple", f.OverloadMultiple, 1, 1000},
		{"fleet.fall_ms", f.OverloadMS, 10, 60_000},
		{"fleet.parent_cold_from", f.ParentSlowStartFrom, 0.01, 1},
		{"fleet.parent_cold_s", f.ParentSlowStartS, 0.01, 600},
		{"fleet.report_ms", f.ReportMS, 1, 60_000},
		{"fleet.report_delay_ms", f.ReportDelayMS, 0, 60_000},
		{"fleet.report_noise", f.ReportNoise, 0, 1},
		{"fleet.board_ms", f.DiscoveryDelayMS, 0, 60_000},
		{"fleet.death_ms", f.CrashDetectionMS, 0, 60_000},
		{"fleet.drain_grace_ms", f.DrainGraceMS, 0, 60_000},
		{"fleet.purge_grace_ms", f.PurgeGraceMS, 0, 60_000},
		{"fleet.cleared_ms", f.PurgeCompleteMS, 0, 60_000},
		{"fleet.error_share", f.ErrorShare, 0, 1},
	}
}

func (l *Load) ranges() []keyRange {
	return []keyRange{
		{"load.txns_per_s", l.RequestsPerS, 0.1, 1e6},
		{"load.videos", l.VideoShare, 0, 1},
		{"load.writes", l.WriteShare, 0, 1 - l.VideoShare},
		{"load.objects", float64(l.Objects), 10, 1e6},
		{"load.skew", l.Skew, 0, 3},
		{"load.local", l.LocalShare, 0, 1},
		{"load.drift_s", l.DriftS, 0, 1e6},
		{"load.retries", float64(l.Retries), 0, 10},
		{"load.wait_ms", l.RetryWaitMS, 0, 60_000},
		{"load.honour", l.RetryAfterShare, 0, 1},
		{"load.patience", l.ClientTimeoutShare, 0.05, 1},
		{"load.page_fresh_s", l.PageFreshS, 0, 1e6},
	}
}
