package scenario

import (
	"cmp"
	"slices"

	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
)

// Traffic classes of the emulated deployment, as indices into the settings' classes.
const (
	ClassVideo = iota
	ClassPage
	ClassAccept
	classCount
)

// trafficClass holds the settings of a traffic class.
type trafficClass struct {
	name           string
	effect         string
	objectiveMS    float64 // latency objective
	deadlineMS     float64
	stretch        float64 // multiple of the transfer time by which the objective grows
	priorityWeight float64
	lateShare      float64 // share of the weight that a response after the objective is worth
	staleShare     float64 // share of the weight that a stale response is worth
	multipart      bool
	writesThrough  bool
}

var trafficClasses = [classCount]trafficClass{
	ClassVideo: {
		name: "demo-video", effect: "safe", objectiveMS: 600, deadlineMS: 5000, stretch: 2,
		priorityWeight: 2, lateShare: 0.2, staleShare: 0.5, multipart: true,
	},
	ClassPage: {
		name: "quote-page", effect: "safe", objectiveMS: 300, deadlineMS: 2500, stretch: 2,
		priorityWeight: 1, lateShare: 0.2, staleShare: 0.5,
	},
	ClassAccept: {
		name: "quote-accept", effect: "unsafe", objectiveMS: 600, deadlineMS: 3000, stretch: 1,
		priorityWeight: 6, lateShare: 0.3, writesThrough: true,
	},
}

// Kinds of endpoints, as the settings and the endpoint list name them.
const (
	EndpointCache  = "box"
	EndpointParent = "hub"
	EndpointOrigin = "ledger"
)

// endpointKinds are all kinds, in the order of the settings.
var endpointKinds = []string{EndpointCache, EndpointParent, EndpointOrigin}

const (
	// untilPurgedMS is the freshness time of an object that is fresh until it is purged: a day.
	untilPurgedMS = 24 * 3600 * millisPerSecond

	millisPerSecond = 1000

	linkPrice          = 0.02
	originOverloadMS   = 3000
	answerSlackMS      = 8
	maxAttempts        = 6
	streamsPerConn     = 32
	maxRetryAfterMS    = 500
	connectTimeoutMS   = 400
	connIdleTimeoutMS  = 15_000
	loadReportEncoding = "inline"
)

// Settings returns the platform's settings for a router of an office. The rank is the router's
// number among all routers of the fleet.
func (s *Scenario) Settings(office, rank int) settings.Setup {
	var setup settings.Setup
	setup.Rank = rank
	setup.Siblings = s.Fleet.Offices * s.Fleet.Routers
	setup.Zone = Zone(office)
	setup.Kinds = slices.Clone(endpointKinds)
	setup.Discovery = "push"
	setup.WeightKind = "rough"
	setup.Callers.MarksRetry = true
	setup.LoadReport.Fields = []string{"util", "x0", "x1"}
	setup.LoadReport.How = loadReportEncoding
	s.setZones(&setup)
	s.setClasses(&setup)
	s.setHierarchy(&setup)
	s.setContract(&setup)
	s.setLimits(&setup)
	return setup
}

// Classes returns the traffic classes in the form that the policy receives.
func (s *Scenario) Classes() []policy.TrafficClass {
	setup := s.Settings(0, 0)
	return setup.PolicySettings().Classes
}

func (s *Scenario) setZones(setup *settings.Setup) {
	fleet := &s.Fleet
	family := &setup.FamilyInfo
	for office := range fleet.Offices {
		setup.Zones = append(setup.Zones, Zone(office))
		family.HubByZone = append(family.HubByZone, fleet.Trunk(office))
		family.ZoneBalancers = append(family.ZoneBalancers, fleet.Routers)
		family.FeedKbPerS = append(family.FeedKbPerS, fleet.OfficeLinkKBPerS())
	}
}

func (s *Scenario) setClasses(setup *settings.Setup) {
	family := &setup.FamilyInfo
	for _, class := range trafficClasses {
		setup.Classes = append(setup.Classes, settings.Class{
			Name:       class.name,
			Effect:     class.effect,
			TargetMs:   class.objectiveMS,
			GiveUpMs:   class.deadlineMS,
			AimStretch: class.stretch,
			LateShare:  class.lateShare,
			Value:      class.priorityWeight,
		})
		family.WorthWhenOld = append(family.WorthWhenOld, class.staleShare)
		family.GoesThrough = append(family.GoesThrough, class.writesThrough)
		family.MultiPart = append(family.MultiPart, class.multipart)
	}
	pageFreshMS := s.Load.PageFreshS * millisPerSecond
	family.GoodForMs = []float64{untilPurgedMS, cmp.Or(pageFreshMS, untilPurgedMS), 0}
	family.ClassGraceMs = []float64{0, 0, 0}
	if s.Load.PageFreshS > 0 {
		family.ClassGraceMs[ClassPage] = pageFreshMS
	}
}

// setHierarchy sets the settings of parents, the origin and purges.
func (s *Scenario) setHierarchy(setup *settings.Setup) {
	fleet := &s.Fleet
	family := &setup.FamilyInfo
	family.BypassAllowed = true
	family.MasterKind = slices.Index(endpointKinds, EndpointOrigin)
	if fleet.Parents > 0 {
		parent := slices.Index(endpointKinds, EndpointParent)
		family.SecondTierKind = &parent
	}
	family.ClearedWithinMs = fleet.PurgeCompleteMS
	family.PurgeGraceMs = fleet.PurgeGraceMS
	family.FlowKbPerS = fleet.FlowKBPerS
	family.LinkPrice = linkPrice
	family.NotesGiven = "all"
	family.Sideways = "none"
	family.OriginFallMs = originOverloadMS
	family.OriginFallMultiple = fleet.OriginStopMultiple
	family.ParentColdFrom = fleet.ParentSlowStartFrom
	family.ParentRampMs = fleet.ParentSlowStartS * millisPerSecond
	family.UpperFallMultiple = fleet.OverloadMultiple
}

func (s *Scenario) setContract(setup *settings.Setup) {
	fleet := &s.Fleet
	contract := &setup.Contract
	contract.AnswerSlackMs = answerSlackMS
	contract.DrainGraceMs = fleet.DrainGraceMS
	contract.ColdFrom = fleet.SlowStartFrom
	contract.ColdMs = fleet.SlowStartS * millisPerSecond
	contract.FallMs = fleet.OverloadMS
	contract.FallMultiple = fleet.OverloadMultiple
}

func (s *Scenario) setLimits(setup *settings.Setup) {
	limits := &setup.Limits
	limits.PeerMessages = s.Fleet.Membership
	limits.Cancel = true
	limits.RetryAfter = true
	limits.SecondCopies = s.Fleet.Hedging
	limits.MostTries = maxAttempts
	limits.StreamsPerConn = streamsPerConn
	limits.MaxRetryAfterMs = maxRetryAfterMS
	limits.ConnectTimeoutMs = connectTimeoutMS
	limits.ConnIdleMs = connIdleTimeoutMS
}
