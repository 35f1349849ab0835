// Package scenario reads rehearsals: a fleet, its load and troubles, as YAML.
package scenario

import (
	"cmp"
	"slices"
	"strconv"

	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
	"quilldoor/internal/yamlfile"
)

// Scenario is one rehearsal. Fields that are left out get the figures of Default.
type Scenario struct {
	Name    string  `yaml:"-"`
	About   string  `yaml:"about"`
	Seed    uint64  `yaml:"seed"`
	LengthS float64 `yaml:"length_s"` // all of it; clients come until then
	WarmUpS float64 `yaml:"settle_s"` // of that, before outcomes count
	Fleet   Fleet   `yaml:"fleet"`
	Load    Load    `yaml:"load"`
	Faults  []Fault `yaml:"troubles"`
}

// Fleet is what the routers stand before.
type Fleet struct {
	Trunks  int `yaml:"trunks"`
	Offices int `yaml:"offices"` // at the trunks in turn
	Routers int `yaml:"routers"` // of each office
	Caches  int `yaml:"caches"`  // of each office
	Parents int `yaml:"parents"` // of each trunk

	Cores        int     `yaml:"cores"`          // of a cache
	SlotsPerCore int     `yaml:"slots_per_core"` // txns that it works on or fills at once
	QueuePerCore int     `yaml:"queue_per_core"` // txns that wait
	FillsPerCore int     `yaml:"fills_per_core"`
	Thrash       float64 `yaml:"thrash"` // of its power lost for each txn a core above four
	CacheShare   float64 `yaml:"keeps_share"`
	PreWarmed    bool    `yaml:"warm"`    // caches and parents begin with what is popular
	OrphanFills  bool    `yaml:"orphans"` // a fill whose txn has left runs on

	FlowKBPerS         float64 `yaml:"flow_kb_per_s"` // to a client, a core
	LinkShare          float64 `yaml:"link_share"`    // of an office's link in, of what its caches send at full load
	FillSpeed          float64 `yaml:"fill_speed"`    // a fill's pace, in flows, from the own trunk
	LocalMS            float64 `yaml:"home_ms"`       // to what stands in the office
	TrunkMS            float64 `yaml:"trunk_ms"`      // to the own trunk
	FarMS              float64 `yaml:"far_ms"`        // more for each further one
	ClientMS           float64 `yaml:"client_ms"`
	ParentLink         float64 `yaml:"parent_link"`  // of a parent's link out, of the links into its offices
	ParentCacheShare   float64 `yaml:"parent_keeps"` // share of the catalogue
	ParentCoalesces    bool    `yaml:"parent_joins"`
	OriginWorkers      int     `yaml:"ledger_workers"`
	OriginServiceMS    float64 `yaml:"ledger_ms"`
	OriginLinkKBPerS   float64 `yaml:"ledger_link_kb_per_s"` // 0: twice what parents would ask for
	OriginRejectShare  float64 `yaml:"ledger_refuse"`        // above this share of its places taken
	OriginStopMultiple float64 `yaml:"ledger_stops"`         // pushed to this multiple for three seconds
	OriginStopS        float64 `yaml:"ledger_stop_s"`

	SlowStartFrom       float64 `yaml:"cold_from"`
	SlowStartS          float64 `yaml:"cold_s"`
	OverloadMultiple    float64 `yaml:"fall_multiple"`
	OverloadMS          float64 `yaml:"fall_ms"`
	ParentSlowStartFrom float64 `yaml:"parent_cold_from"`
	ParentSlowStartS    float64 `yaml:"parent_cold_s"`

	ReportMS         float64 `yaml:"report_ms"`
	ReportDelayMS    float64 `yaml:"report_delay_ms"`
	ReportNoise      float64 `yaml:"report_noise"`
	DiscoveryDelayMS float64 `yaml:"board_ms"` // until a router is told of what happened
	DeathDetectionMS float64 `yaml:"death_ms"` // until the board knows that a process died
	DrainGraceMS     float64 `yaml:"drain_grace_ms"`
	PurgeGraceMS     float64 `yaml:"purge_grace_ms"`
	PurgeCompleteMS  float64 `yaml:"cleared_ms"` // until servers have dropped what was purged
	ErrorShare       float64 `yaml:"error_share"`
	Hedging          bool    `yaml:"second_copies"`

	Sites  int     `yaml:"sites"`   // 2 or more: routers of different sites are joined by gateways; offices belong to them in turn
	SiteMS float64 `yaml:"site_ms"` // one way between sites

	Membership     bool    `yaml:"members"` // routers know each other
	RouterDelayMS  float64 `yaml:"way_ms"`  // one way between routers
	Supervised     bool    `yaml:"keep"`    // on sockets: each router has a keeper
	TrialS         float64 `yaml:"trial_s"` // of its changes
	DiskMB         int     `yaml:"disk_mb"` // on sockets: of each router's disk tier; 0: none
	RouterJitterMS float64 `yaml:"way_jitter_ms"`
}

// Load is what clients do.
type Load struct {
	RequestsPerS  float64   `yaml:"txns_per_s"`
	VideoShare    float64   `yaml:"videos"` // share of txns
	WriteShare    float64   `yaml:"writes"`
	Objects       int       `yaml:"objects"` // of the catalogue
	Skew          float64   `yaml:"skew"`    // exponent of Zipf's law
	LocalShare    float64   `yaml:"local"`   // of txns that go to objects of one office only
	DriftS        float64   `yaml:"drift_s"` // after so long one object in a hundred changes its place
	Retries       int       `yaml:"retries"`
	RetryWaitMS   float64   `yaml:"wait_ms"` // before a retry; 0: at once
	HonourShare   float64   `yaml:"honour"`  // share of clients that keep to X-Throttle-Ms
	Patience      float64   `yaml:"patience"`
	PageFreshS    float64   `yaml:"page_fresh_s"` // 0: a page is good until it is purged
	OfficeWeights []float64 `yaml:"weights"`      // of offices, in turn; empty: all alike
}

// Fault is one thing that goes wrong. At, For and Every are seconds.
type Fault struct {
	Kind     string  `yaml:"kind"`
	At       float64 `yaml:"at"`
	For      float64 `yaml:"for"`
	Every    float64 `yaml:"every"`    // pauses come again after so long, waves follow
	Office   int     `yaml:"office"`   // from 1; 0: all, or any
	Trunk    int     `yaml:"trunk"`    // from 1; 0: all, or any
	Share    float64 `yaml:"share"`    // of the servers, groups, objects or txns there; 0: all
	Strength float64 `yaml:"strength"` // by kind
}

// FaultKind says what a trouble's place and strength mean.
type FaultKind struct {
	About       string
	Scope       string  // "caches", "parents", "office", "trunk", "routers" or "" for all
	Strength    float64 // where it isn't told; 0: it has none
	MinStrength float64
	MaxStrength float64
	Recurring   bool // every counts
}

// FaultKinds are the troubles there are.
var FaultKinds = map[string]FaultKind{
	"die":            {About: "caches die with a reset and come back cold and empty", Scope: "caches"},
	"silent":         {About: "caches say nothing more and come back cold and empty", Scope: "caches"},
	"pause":          {About: "caches stand still for strength ms, time and again", Scope: "caches", Strength: 200, MinStrength: 1, MaxStrength: 5000, Recurring: true},
	"deploy":         {About: "caches are drained in waves; successors start cold and empty", Scope: "caches", Strength: 2, MinStrength: 1, MaxStrength: 50, Recurring: true},
	"preempt":        {About: "caches are drained and gone strength s later; they come back", Scope: "caches", Strength: 1, MinStrength: 0.1, MaxStrength: 60},
	"office_lost":    {About: "all caches of an office are lost and come back cold and empty", Scope: "office"},
	"parents_lost":   {About: "all parents of a trunk are lost and come back cold and empty", Scope: "trunk"},
	"purge":          {About: "a share of the groups is purged at once"},
	"purge_object":   {About: "the strength most popular objects are purged one by one", Strength: 10, MinStrength: 1, MaxStrength: 10000},
	"ledger_slow":    {About: "the ledger works strength times slower", Strength: 3, MinStrength: 1, MaxStrength: 100},
	"ledger_stop":    {About: "the ledger answers nothing"},
	"late_reports":   {About: "load reports come strength s later", Strength: 2, MinStrength: 0.01, MaxStrength: 60},
	"late_board":     {About: "the notice board tells strength s later", Strength: 3, MinStrength: 0.01, MaxStrength: 60},
	"cut_board":      {About: "the notice board can't be reached, by a share of the routers", Scope: "routers"},
	"once":           {About: "a share of the txns is for objects wanted once"},
	"burst":          {About: "strength times the txns", Strength: 2, MinStrength: 0.01, MaxStrength: 100},
	"router_dies":    {About: "routers are killed and start from nothing", Scope: "routers"},
	"router_stops":   {About: "routers stand still and wake as they were", Scope: "routers"},
	"router_starves": {About: "neighbours take a share strength of the routers' CPU", Scope: "routers", Strength: 0.6, MinStrength: 0.01, MaxStrength: 0.95},
	"ways_delay":     {About: "words among routers come strength ms later, both ways", Scope: "routers", Strength: 50, MinStrength: 1, MaxStrength: 10000},
	"ways_jitter":    {About: "words among routers come up to strength ms later, by chance", Scope: "routers", Strength: 50, MinStrength: 1, MaxStrength: 10000},
	"ways_loss":      {About: "a share strength of the words among routers is lost", Scope: "routers", Strength: 0.05, MinStrength: 0.001, MaxStrength: 1},
	"ways_double":    {About: "a share strength of the words among routers comes twice", Scope: "routers", Strength: 0.1, MinStrength: 0.001, MaxStrength: 1},
	"ways_reorder":   {About: "a share strength of the words among routers is overtaken", Scope: "routers", Strength: 0.1, MinStrength: 0.001, MaxStrength: 1},
	"ways_slow":      {About: "ways among routers carry strength KB a second", Scope: "routers", Strength: 2, MinStrength: 0.1, MaxStrength: 1e6},
	"ways_cut":       {About: "routers are cut off from all others, and from each other", Scope: "routers"},
	"ways_one_way":   {About: "what routers say comes to no other, what others say comes to them", Scope: "routers"},
	"ways_camps":     {About: "routers are cut into strength parts, the first takes a share; no share: even ones", Strength: 2, MinStrength: 2, MaxStrength: 3},
	"ways_chain":     {About: "a third of the routers is cut from another third, the last third sees both"},
	"resets":         {About: "a share of the answers is a reset in their place", Scope: "caches"},
	"ledger_resets":  {About: "a share of the ledger's answers is a reset in their place"},
	"endless":        {About: "a share of the answers never comes", Scope: "caches"},
	"spoilt":         {About: "a share of the answers can't be read: their connection ends", Scope: "caches"},
	"site_cut":       {About: "sites can't reach each other"},
	"errors":         {About: "a share of the answers is an error without a reason", Scope: "caches"},
}

// Default is the small fleet: three offices at two trunks.
func Default() Scenario {
	return Scenario{
		Seed: 1, LengthS: 40, WarmUpS: 10,
		Fleet: Fleet{
			Trunks: 2, Offices: 3, Routers: 1, Caches: 4, Parents: 1, Cores: 5, SlotsPerCore: 5, QueuePerCore: 4,
			FillsPerCore: 4, Thrash: 0.05, CacheShare: 0.3, PreWarmed: true, FlowKBPerS: 310, LinkShare: 0.4, FillSpeed: 3, LocalMS: 0.3,
			TrunkMS: 7, FarMS: 30, ClientMS: 5, ParentLink: 1.3, ParentCacheShare: 0.7, OriginWorkers: 12, OriginServiceMS: 40,
			OriginRejectShare: 0.85, OriginStopMultiple: 2.5, OriginStopS: 4, SlowStartFrom: 0.3, SlowStartS: 12, OverloadMultiple: 2, OverloadMS: 1000,
			ParentSlowStartFrom: 0.1, ParentSlowStartS: 18, ReportMS: 300, ReportDelayMS: 120, ReportNoise: 0.06, DiscoveryDelayMS: 800,
			DeathDetectionMS: 2000, DrainGraceMS: 500, PurgeGraceMS: 300, PurgeCompleteMS: 6000, ErrorShare: 0.001, Hedging: true, SiteMS: 20, RouterDelayMS: 0.3, RouterJitterMS: 0.4, TrialS: 1,
		},
		Load: Load{
			RequestsPerS: 160, VideoShare: 0.54, WriteShare: 0.034, Objects: 3000, Skew: 0.9, LocalShare: 0.15, DriftS: 10, Retries: 2,
			RetryWaitMS: 150, HonourShare: 0.5, Patience: 0.8,
		},
	}
}

// Parse reads and checks a script. The name stands before faults.
func Parse(name string, text []byte) (*Scenario, error) {
	s := Default()
	s.Name = name
	if err := yamlfile.Decode(name, text, &s, s.validate); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Scenario) validate() error {
	f, l := &s.Fleet, &s.Load
	for _, n := range []struct {
		key            string
		v, least, most float64
	}{
		{"length_s", s.LengthS, 1, 24 * 3600},
		{"settle_s", s.WarmUpS, 0, s.LengthS},
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
		{"fleet.death_ms", f.DeathDetectionMS, 0, 60_000},
		{"fleet.drain_grace_ms", f.DrainGraceMS, 0, 60_000},
		{"fleet.purge_grace_ms", f.PurgeGraceMS, 0, 60_000},
		{"fleet.cleared_ms", f.PurgeCompleteMS, 0, 60_000},
		{"fleet.error_share", f.ErrorShare, 0, 1},
		{"load.txns_per_s", l.RequestsPerS, 0.1, 1e6},
		{"load.videos", l.VideoShare, 0, 1},
		{"load.writes", l.WriteShare, 0, 1 - l.VideoShare},
		{"load.objects", float64(l.Objects), 10, 1e6},
		{"load.skew", l.Skew, 0, 3},
		{"load.local", l.LocalShare, 0, 1},
		{"load.drift_s", l.DriftS, 0, 1e6},
		{"load.retries", float64(l.Retries), 0, 10},
		{"load.wait_ms", l.RetryWaitMS, 0, 60_000},
		{"load.honour", l.HonourShare, 0, 1},
		{"load.patience", l.Patience, 0.05, 1},
		{"load.page_fresh_s", l.PageFreshS, 0, 1e6},
	} {
		if !(n.v >= n.least && n.v <= n.most) {
			return yamlfile.Errorf(n.key, "%g is not within %g and %g", n.v, n.least, n.most)
		}
	}
	for i, v := range l.OfficeWeights {
		if !(v >= 0.01 && v <= 100) {
			return yamlfile.Errorf("load.weights["+strconv.Itoa(i)+"]", "%g is not within 0.01 and 100", v)
		}
	}
	// Each txn takes some kilobytes while it is open, each object some hundred bytes.
	if txns := l.RequestsPerS * s.LengthS; txns > 2e8 {
		return yamlfile.Errorf("load.txns_per_s", "%.0f txns in all are more than a run should take (200,000,000)", txns)
	}
	if n := f.Offices * f.Caches; n > 5000 {
		return yamlfile.Errorf("fleet.caches", "%d caches in all are more than 5000", n)
	}
	if n := f.Offices * f.Routers; n > 500 {
		return yamlfile.Errorf("fleet.routers", "%d routers in all are more than 500", n)
	}
	for i := range s.Faults {
		if err := s.Faults[i].validate(s, "troubles["+strconv.Itoa(i)+"]."); err != nil {
			return err
		}
	}
	return nil
}

func (t *Fault) validate(s *Scenario, key string) error {
	k, known := FaultKinds[t.Kind]
	if !known {
		return yamlfile.Errorf(key+"kind", "%.40q is no trouble", t.Kind)
	}
	if t.Strength == 0 {
		t.Strength = k.Strength
	}
	switch {
	case !(t.At >= 0 && t.At <= s.LengthS):
		return yamlfile.Errorf(key+"at", "%g is not within the script's %g s", t.At, s.LengthS)
	case !(t.For >= 0 && t.For <= 24*3600):
		return yamlfile.Errorf(key+"for", "%g is not within 0 and a day", t.For)
	case !(t.Share >= 0 && t.Share <= 1):
		return yamlfile.Errorf(key+"share", "%g is not within 0 and 1", t.Share)
	case t.Office < 0 || t.Office > s.Fleet.Offices:
		return yamlfile.Errorf(key+"office", "there is no office %d, only %d", t.Office, s.Fleet.Offices)
	case t.Trunk < 0 || t.Trunk > s.Fleet.Trunks:
		return yamlfile.Errorf(key+"trunk", "there is no trunk %d, only %d", t.Trunk, s.Fleet.Trunks)
	case t.Strength != 0 && k.Strength == 0:
		return yamlfile.Errorf(key+"strength", "%s has none", t.Kind)
	case k.Strength != 0 && !(t.Strength >= k.MinStrength && t.Strength <= k.MaxStrength):
		return yamlfile.Errorf(key+"strength", "%g is not within %g and %g", t.Strength, k.MinStrength, k.MaxStrength)
	case t.Every < 0 || t.Every > 0 && !k.Recurring:
		return yamlfile.Errorf(key+"every", "%s does not come again", t.Kind)
	case t.Every > 0 && t.Every < 0.01:
		return yamlfile.Errorf(key+"every", "%g is not 0.01 or more", t.Every)
	}
	if t.Share == 0 && t.Kind != "ways_camps" {
		t.Share = 1
	}
	if k.Recurring {
		t.Every = cmp.Or(t.Every, 2)
	}
	return nil
}

// FaultNames are the kinds of trouble in order.
func FaultNames() (names []string) {
	for n := range FaultKinds {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Rules of the emulated deployment, in the order of the settings.
const (
	ClassVideo = iota
	ClassPage
	ClassAccept
)

// Of the remap rules: times in ms.
var classTimes = []struct{ sla, limit, stretch, value, late, stale float64 }{
	ClassVideo:  {600, 5000, 2, 2, 0.2, 0.5},
	ClassPage:   {300, 2500, 2, 1, 0.2, 0.5},
	ClassAccept: {600, 3000, 1, 6, 0.3, 0},
}

// Zone names an office, from 0.
func Zone(office int) string { return "office-" + strconv.Itoa(office+1) }

// Site is where an office belongs, from 0; -1: sites are not joined.
func (f *Fleet) Site(office int) int {
	if f.Sites < 2 {
		return -1
	}
	return office % f.Sites
}

// Weight is an office's share of the load, of the mean.
func (l *Load) Weight(office, offices int) float64 {
	if len(l.OfficeWeights) == 0 {
		return 1
	}
	sum := 0.0
	for i := range offices {
		sum += l.OfficeWeights[i%len(l.OfficeWeights)]
	}
	return l.OfficeWeights[office%len(l.OfficeWeights)] * float64(offices) / sum
}

// Trunk is where an office hangs, from 0.
func (f *Fleet) Trunk(office int) int { return office % f.Trunks }

// Settings are what a router of an office is handed, in the platform's words.
func (s *Scenario) Settings(office, rank int) settings.Setup {
	f := &s.Fleet
	var set settings.Setup
	set.Rank, set.Siblings, set.Zone = rank, f.Offices*f.Routers, Zone(office)
	set.Kinds = []string{"box", "hub", "ledger"}
	for i := range f.Offices {
		set.Zones = append(set.Zones, Zone(i))
		set.FamilyInfo.HubByZone = append(set.FamilyInfo.HubByZone, f.Trunk(i))
		set.FamilyInfo.ZoneBalancers = append(set.FamilyInfo.ZoneBalancers, f.Routers)
		set.FamilyInfo.FeedKbPerS = append(set.FamilyInfo.FeedKbPerS, f.OfficeLinkKBPerS())
	}
	names := []string{"demo-video", "quote-page", "quote-accept"}
	for i, r := range classTimes {
		set.Classes = append(set.Classes, settings.Class{
			Name: names[i], Effect: "safe", TargetMs: r.sla, GiveUpMs: r.limit, AimStretch: r.stretch, LateShare: r.late,
			Value: r.value,
		})
	}
	set.Classes[ClassAccept].Effect = "unsafe"
	fi := &set.FamilyInfo
	// Good until purged is told as a day.
	const day = 24 * 3600 * 1000
	fi.GoodForMs, fi.ClassGraceMs = []float64{day, cmp.Or(s.Load.PageFreshS*1000, day), 0}, []float64{0, 0, 0}
	if s.Load.PageFreshS > 0 {
		fi.ClassGraceMs[ClassPage] = s.Load.PageFreshS * 1000
	}
	for _, r := range classTimes {
		fi.WorthWhenOld = append(fi.WorthWhenOld, r.stale)
	}
	fi.GoesThrough, fi.MultiPart = []bool{false, false, true}, []bool{true, false, false}
	fi.BypassAllowed, fi.MasterKind = true, 2
	if parent := 1; f.Parents > 0 {
		fi.SecondTierKind = &parent
	}
	fi.ClearedWithinMs, fi.PurgeGraceMs, fi.FlowKbPerS = f.PurgeCompleteMS, f.PurgeGraceMS, f.FlowKBPerS
	fi.LinkPrice, fi.NotesGiven, fi.Sideways = 0.02, "all", "none"
	fi.OriginFallMs, fi.OriginFallMultiple = 3000, f.OriginStopMultiple
	fi.ParentColdFrom, fi.ParentRampMs, fi.UpperFallMultiple = f.ParentSlowStartFrom, f.ParentSlowStartS*1000, f.OverloadMultiple
	set.Contract.AnswerSlackMs, set.Contract.DrainGraceMs = 8, f.DrainGraceMS
	set.Contract.ColdFrom, set.Contract.ColdMs = f.SlowStartFrom, f.SlowStartS*1000
	set.Contract.FallMs, set.Contract.FallMultiple = f.OverloadMS, f.OverloadMultiple
	l := &set.Limits
	l.PeerMessages = f.Membership
	l.Cancel, l.RetryAfter, l.SecondCopies, l.MostTries = true, true, f.Hedging, 6
	l.StreamsPerConn, l.MaxRetryAfterMs, l.ConnectTimeoutMs, l.ConnIdleMs = 32, 500, 400, 15_000
	set.LoadReport.Fields, set.LoadReport.How = []string{"util", "x0", "x1"}, "inline"
	set.Discovery, set.WeightKind, set.Callers.MarksRetry = "push", "rough", true
	return set
}

// OfficeLinkKBPerS is an office's link in, KB a second.
func (f *Fleet) OfficeLinkKBPerS() float64 {
	return f.LinkShare * float64(f.Caches*f.Cores) * f.FlowKBPerS
}

// Classes are the remap rules as decisions have them.
func (s *Scenario) Classes() []policy.TrafficClass {
	set := s.Settings(0, 0)
	return set.PolicySettings().Classes
}
