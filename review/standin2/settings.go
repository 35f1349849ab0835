package main

// Classes of a small deployment.
const (
	classPage   = "quote-page"
	classVideo  = "demo-video"
	classAccept = "quote-accept"
)

// leaseSettings are the settings of a small deployment of one district office with one router, in
// the form and with the figures of the platform's example.
func leaseSettings() map[string]any {
	return map[string]any{
		"Callers": map[string]any{"MarksRetry": true},
		"Classes": []any{
			map[string]any{
				"Name": classVideo, "Effect": "safe", "Group": "all", "DedupWindowMs": 5000.0, "TargetMs": 600.0,
				"AimStretch": 2.0, "GiveUpMs": 5000.0, "LateShare": 0.15, "Value": 2.0, "Streamed": false,
			},
			map[string]any{
				"Name": classPage, "Effect": "safe", "Group": "all", "DedupWindowMs": 5000.0, "TargetMs": 250.0,
				"AimStretch": 2.0, "GiveUpMs": 3000.0, "LateShare": 0.2, "Value": 1.0, "Streamed": false,
			},
			map[string]any{
				"Name": classAccept, "Effect": "unsafe", "Group": "all", "DedupWindowMs": 5000.0, "TargetMs": 600.0,
				"GiveUpMs": 3000.0, "LateShare": 0.0, "Value": 3.0, "Streamed": false,
			},
		},
		"Contract": map[string]any{
			"AnswerSlackMs": 8.0, "AskEveryMs": 10000.0, "ColdFrom": 0.28, "ColdMs": 15000.0, "DrainGraceMs": 500.0,
			"FallMs": 1000.0, "FallMultiple": 2.0,
		},
		"Discovery": "push", "Family": "edge",
		"FamilyInfo": map[string]any{
			"BypassAllowed": true, "ClassGraceMs": []float64{0, 10000, 0}, "ClearedWithinMs": 6000.0, "Collapses": false,
			"FeedKbPerS": []float64{0, 0}, "FlowKbPerS": 5600.0, "GoesThrough": []bool{false, false, true},
			"GoodForMs": []float64{0, 8000, 0}, "HubByZone": []int{0, 0}, "LinkPrice": 0.02, "MasterKind": 3,
			"MultiPart": []bool{true, false, false}, "NotesGiven": "all", "OriginFallMs": 3000.0, "OriginFallMultiple": 2.5,
			"ParentColdFrom": 0.067, "ParentRampMs": 20000.0, "PurgeGraceMs": 300.0, "SecondTierKind": 2, "Sideways": "any",
			"UpperFallMultiple": 2.0, "WorthWhenOld": []float64{0.7, 0.7, 0.7}, "ZoneBalancers": []int{0, 1},
		},
		"Kinds": []string{"small-box", "big-box", "parent", "origin"},
		"Limits": map[string]any{
			"Cancel": true, "ConnIdleMs": 15000.0, "ConnectTimeoutMs": 400.0, "CpuUsPerS": 400000, "MaxOpen": 20000,
			"MaxRetryAfterMs": 500.0, "MostTries": 6, "PeerMessages": false, "Probes": false, "RetryAfter": true,
			"SecondCopies": true, "StreamsPerConn": 32,
		},
		"LoadReport": map[string]any{"Fields": []string{"util", "x0", "x1"}, "How": "inline"},
		"Rank":       0, "RoundMs": 2.0, "Siblings": 1, "Stage": 0, "Tenants": []any{}, "Tiers": []string{"office-cache"},
		"WeightKind": "rough", "WorthBy": "request", "Zone": "edge-1", "Zones": []string{"trunk-a", "edge-1"},
	}
}
