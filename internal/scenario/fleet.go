package scenario

import "strconv"

// Fleet describes the routers and the servers that they route to. A trunk connects offices to its
// parent caches; an office has routers and caches; all parents fill from one origin.
type Fleet struct {
	Trunks  int `yaml:"trunks"`
	Offices int `yaml:"offices"` // assigned to the trunks in turn
	Routers int `yaml:"routers"` // of each office
	Caches  int `yaml:"caches"`  // of each office
	Parents int `yaml:"parents"` // of each trunk

	// Caches.
	Cores        int     `yaml:"cores"`          // of a cache
	SlotsPerCore int     `yaml:"slots_per_core"` // requests that a cache serves or fills at once
	QueuePerCore int     `yaml:"queue_per_core"` // requests that wait for a slot
	FillsPerCore int     `yaml:"fills_per_core"` // fills at once
	Thrash       float64 `yaml:"thrash"`         // share of the capacity lost for each request per core above four
	CacheShare   float64 `yaml:"keeps_share"`    // share of an office's part of the catalogue that its caches hold together
	PreWarmed    bool    `yaml:"warm"`           // caches and parents start with the popular objects
	OrphanFills  bool    `yaml:"orphans"`        // a fill goes on when its request is cancelled

	// Network.
	FlowKBPerS float64 `yaml:"flow_kb_per_s"` // rate from a core to a client
	LinkShare  float64 `yaml:"link_share"`    // capacity of the link into an office; 1: the output of its caches at full load
	FillSpeed  float64 `yaml:"fill_speed"`    // rate of a fill from the office's own trunk, as a multiple of FlowKBPerS
	LocalMS    float64 `yaml:"home_ms"`       // round trip within an office
	TrunkMS    float64 `yaml:"trunk_ms"`      // round trip to the office's own trunk
	FarMS      float64 `yaml:"far_ms"`        // added to the round trip for each further trunk
	ClientMS   float64 `yaml:"client_ms"`     // round trip between a client and its router

	// Parents.
	ParentLink       float64 `yaml:"parent_link"`  // capacity of a parent's outgoing link; 1: its part of the links into its offices
	ParentCacheShare float64 `yaml:"parent_keeps"` // share of the catalogue that a parent holds
	ParentCoalesces  bool    `yaml:"parent_joins"` // concurrent requests for an object share one fill

	// Origin.
	OriginWorkers      int     `yaml:"ledger_workers"`
	OriginServiceMS    float64 `yaml:"ledger_ms"`
	OriginLinkKBPerS   float64 `yaml:"ledger_link_kb_per_s"` // 0: the sum of the offices' links
	OriginRejectShare  float64 `yaml:"ledger_refuse"`        // share of its slots in use from which on it rejects requests
	OriginStopMultiple float64 `yaml:"ledger_stops"`         // multiple of its capacity; it stops if the arrivals of 3 s exceed this
	OriginStopS        float64 `yaml:"ledger_stop_s"`        // duration of the stop

	// Slow start, and collapse under overload during it.
	SlowStartFrom       float64 `yaml:"cold_from"`        // share of a cache's capacity at its start
	SlowStartS          float64 `yaml:"cold_s"`           // time from its start until it has all of its capacity
	OverloadMultiple    float64 `yaml:"fall_multiple"`    // multiple of the current capacity; more work than this makes a server collapse
	OverloadMS          float64 `yaml:"fall_ms"`          // window over which that work is summed
	ParentSlowStartFrom float64 `yaml:"parent_cold_from"` // as SlowStartFrom
	ParentSlowStartS    float64 `yaml:"parent_cold_s"`    // as SlowStartS

	// Control traffic and the contract with the servers.
	ReportMS         float64 `yaml:"report_ms"`       // interval between load reports
	ReportDelayMS    float64 `yaml:"report_delay_ms"` // time until a load report arrives
	ReportNoise      float64 `yaml:"report_noise"`    // relative error of a load report
	DiscoveryDelayMS float64 `yaml:"board_ms"`        // time until a router is notified of an event
	CrashDetectionMS float64 `yaml:"death_ms"`        // time until discovery detects a crashed process
	DrainGraceMS     float64 `yaml:"drain_grace_ms"`  // time for routers to stop using a draining server
	PurgeGraceMS     float64 `yaml:"purge_grace_ms"`  // time for routers to stop serving purged copies
	PurgeCompleteMS  float64 `yaml:"cleared_ms"`      // time until all servers have dropped purged copies
	ErrorShare       float64 `yaml:"error_share"`     // share of attempts that fail at random
	Hedging          bool    `yaml:"second_copies"`   // hedged requests are allowed

	// Sites and membership.
	Sites          int     `yaml:"sites"`         // 2 or more: gateways connect them; offices are assigned in turn
	SiteMS         float64 `yaml:"site_ms"`       // one-way delay between sites
	Membership     bool    `yaml:"members"`       // routers exchange membership messages
	RouterDelayMS  float64 `yaml:"way_ms"`        // one-way delay between routers
	RouterJitterMS float64 `yaml:"way_jitter_ms"` // maximum of the random addition to that delay

	// Settings that only runs with router processes use.
	Supervised bool    `yaml:"keep"`    // each router has a supervisor
	TrialS     float64 `yaml:"trial_s"` // trial of a new generation
	DiskMB     int     `yaml:"disk_mb"` // size of each router's disk cache; 0: none
}

func defaultFleet() Fleet {
	return Fleet{
		Trunks:  2,
		Offices: 3,
		Routers: 1,
		Caches:  4,
		Parents: 1,

		Cores:        5,
		SlotsPerCore: 5,
		QueuePerCore: 4,
		FillsPerCore: 4,
		Thrash:       0.05,
		CacheShare:   0.3,
		PreWarmed:    true,

		FlowKBPerS: 310,
		LinkShare:  0.4,
		FillSpeed:  3,
		LocalMS:    0.3,
		TrunkMS:    7,
		FarMS:      30,
		ClientMS:   5,

		ParentLink:       1.3,
		ParentCacheShare: 0.7,

		OriginWorkers:      12,
		OriginServiceMS:    40,
		OriginRejectShare:  0.85,
		OriginStopMultiple: 2.5,
		OriginStopS:        4,

		SlowStartFrom:       0.3,
		SlowStartS:          12,
		OverloadMultiple:    2,
		OverloadMS:          1000,
		ParentSlowStartFrom: 0.1,
		ParentSlowStartS:    18,

		ReportMS:         300,
		ReportDelayMS:    120,
		ReportNoise:      0.06,
		DiscoveryDelayMS: 800,
		CrashDetectionMS: 2000,
		DrainGraceMS:     500,
		PurgeGraceMS:     300,
		PurgeCompleteMS:  6000,
		ErrorShare:       0.001,
		Hedging:          true,

		SiteMS:         20,
		RouterDelayMS:  0.3,
		RouterJitterMS: 0.4,

		TrialS: 1,
	}
}

// Zone is the zone name of an office. Offices count from 0.
func Zone(office int) string { return "office-" + strconv.Itoa(office+1) }

// Site is the site of an office, both from 0, or -1 in a fleet without sites.
func (f *Fleet) Site(office int) int {
	if f.Sites < 2 {
		return -1
	}
	return office % f.Sites
}

// Trunk is the trunk of an office, both from 0.
func (f *Fleet) Trunk(office int) int { return office % f.Trunks }

// OfficeLinkKBPerS is the capacity of the link into an office.
func (f *Fleet) OfficeLinkKBPerS() float64 {
	return f.LinkShare * float64(f.Caches*f.Cores) * f.FlowKBPerS
}
