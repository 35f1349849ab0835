package main

// class is a traffic class of a site.
type class struct {
	name, effect  string
	targetMs      float64
	giveUpMs      float64
	dedupWindowMs float64
	value         float64
	freshMs       float64
	graceMs       float64
	write         bool
}

// site is what the sites of the cases differ in. Zones are one hub and one office; the kinds are box, parent and
// origin.
type site struct {
	classes                   []class
	drainGraceMs              float64
	purgeGraceMs              float64
	secondCopies, joins       bool
	notes                     string
	routers, streams          int
	coldFrom, coldMs          float64
	fallMs, fallMultiple      float64
	parentColdFrom, parentMs  float64
	maxRetryAfterMs, maxTries float64
}

const (
	hubZone    = "hub"
	officeZone = "office"
)

// settings returns the object 'settings' of a configuration.
func (s *site) settings() object {
	var classes []object
	var fresh, grace, old []float64
	var writes, parts []bool
	for _, c := range s.classes {
		classes = append(classes, object{
			"Name": c.name, "Effect": c.effect, "Group": "all", "DedupWindowMs": c.dedupWindowMs, "TargetMs": c.targetMs,
			"GiveUpMs": c.giveUpMs, "AimStretch": 2.0, "LateShare": 0.15, "Streamed": false, "Value": c.value,
		})
		fresh, grace, old = append(fresh, c.freshMs), append(grace, c.graceMs), append(old, 0.7)
		writes, parts = append(writes, c.write), append(parts, false)
	}
	return object{
		"Callers": object{"MarksRetry": true},
		"Classes": classes,
		"Contract": object{
			"AnswerSlackMs": 8.0, "AskEveryMs": 10000.0, "ColdFrom": s.coldFrom, "ColdMs": s.coldMs,
			"DrainGraceMs": s.drainGraceMs, "FallMs": s.fallMs, "FallMultiple": s.fallMultiple,
		},
		"Discovery": "push", "Family": "edge",
		"FamilyInfo": object{
			"BypassAllowed": true, "ClassGraceMs": grace, "ClearedWithinMs": 6000.0, "Collapses": s.joins,
			"FeedKbPerS": []float64{0, 0}, "FlowKbPerS": 5600.0, "GoesThrough": writes, "GoodForMs": fresh,
			"HubByZone": []int{0, 0}, "LinkPrice": 0.02, "MasterKind": 2, "MultiPart": parts, "NotesGiven": s.notes,
			"OriginFallMs": 3000.0, "OriginFallMultiple": 0.0, "ParentColdFrom": s.parentColdFrom, "ParentRampMs": s.parentMs,
			"PurgeGraceMs": s.purgeGraceMs, "SecondTierKind": 1, "Sideways": "location", "UpperFallMultiple": 2.0,
			"WorthWhenOld": old, "ZoneBalancers": []int{0, s.routers},
		},
		"Goal":  object{"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.2},
		"Kinds": []string{"box", "parent", "origin"},
		"Limits": object{
			"Cancel": true, "ConnIdleMs": 15000.0, "ConnectTimeoutMs": 400.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000,
			"MaxOpen": 20000, "MaxRetryAfterMs": s.maxRetryAfterMs, "MostTries": s.maxTries, "PeerMessages": false,
			"Probes": false, "RetryAfter": true, "SecondCopies": s.secondCopies, "StreamsPerConn": s.streams,
		},
		"LoadReport":     object{"Fields": []string{"util", "x0", "x1"}, "How": "inline"},
		"OverShareWorth": 0.1,
		"Penalties":      object{"Origin": 0.08, "Waste": 0.05},
		"Rank":           0, "RoundMs": 2.0, "Siblings": s.routers, "Stage": 0, "Tenants": []string{},
		"Tiers": []string{"edge-cache"}, "WeightKind": "nominal", "WorthBy": "request",
		"Zone": officeZone, "Zones": []string{hubZone, officeZone},
	}
}

// ferryCargo has the figures of the site file of that name.
func ferryCargo() *site {
	return &site{
		classes: []class{
			{name: "cargo-media", effect: "safe", targetMs: 400, giveUpMs: 5000, dedupWindowMs: 2000, value: 2},
			{name: "cargo-docs", effect: "safe", targetMs: 400, giveUpMs: 3000, dedupWindowMs: 2000, value: 1, freshMs: 8000},
			{name: "booking", effect: "keyed", targetMs: 600, giveUpMs: 3000, dedupWindowMs: 2000, value: 3, write: true},
		},
		drainGraceMs: 2000, purgeGraceMs: 500, joins: true, notes: "off", routers: 1, streams: 100,
		coldFrom: 0.19, coldMs: 15000, fallMs: 1000, fallMultiple: 2, parentColdFrom: 0.079, parentMs: 22000,
		maxRetryAfterMs: 500, maxTries: 6,
	}
}

// leaseQuotes has the figures of the site file of that name.
func leaseQuotes() *site {
	return &site{
		classes: []class{
			{name: "demo-video", effect: "safe", targetMs: 600, giveUpMs: 5000, dedupWindowMs: 5000, value: 2},
			{name: "quote-page", effect: "safe", targetMs: 250, giveUpMs: 3000, dedupWindowMs: 5000, value: 1, freshMs: 8000, graceMs: 10000},
			{name: "quote-accept", effect: "unsafe", targetMs: 600, giveUpMs: 3000, dedupWindowMs: 5000, value: 3, write: true},
		},
		drainGraceMs: 500, purgeGraceMs: 300, secondCopies: true, notes: "all", routers: 1, streams: 32,
		coldFrom: 0.28, coldMs: 15000, fallMs: 1000, fallMultiple: 2, parentColdFrom: 0.067, parentMs: 20000,
		maxRetryAfterMs: 500, maxTries: 6,
	}
}
