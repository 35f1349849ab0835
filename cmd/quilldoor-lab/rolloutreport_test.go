package main

import (
	"strings"
	"testing"
	"time"

	"quilldoor/internal/rollout"
)

// The page has a chart for each metric, loads no external resources, and escapes router names and
// reasons.
func TestRolloutPageIsCompleteAndEscaped(t *testing.T) {
	status := &rollout.Status{
		Plan:     "faster",
		Phase:    "forward",
		Stage:    1,
		Stages:   3,
		IsLeader: true,
		Reason:   "<script>",
		Verdict:  "good",
		Routers: []rollout.RouterStatus{
			{Name: "n1<b>", Office: "a", Activity: "new"},
			{Name: "n2", Office: "a", Activity: "old"},
		},
		Bounds: []rollout.MetricInterval{{
			Metric:    "lost weight",
			Tolerance: 0.01,
			Mean:      0.02,
			Low:       -0.01,
			High:      0.05,
			Samples:   []float64{0.01, 0.03, 0.02},
		}},
	}
	page, err := renderRollout(status, time.Unix(0, 0))
	text := string(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "n1&lt;b&gt;", "0.0200, from"} {
		if !strings.Contains(text, want) {
			t.Fatalf("the page lacks %q:\n%.2000s", want, text)
		}
	}
	for _, bad := range []string{"<script", "src=", "<?xml", "n1<b>"} {
		if strings.Contains(text, bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
}
