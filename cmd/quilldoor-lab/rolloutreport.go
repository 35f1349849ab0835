package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/handoff"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgradeagent"
)

//go:embed rolloutreport.html
var rolloutReportText string

var rolloutReportTemplate = template.Must(template.New("rollout").Parse(rolloutReportText))

// rolloutReportCommand renders a rollout's status as an HTML page without external resources.
func rolloutReportCommand() *cobra.Command {
	var folder, jsonFile, out string
	command := &cobra.Command{
		Use:   "rollout-report",
		Short: "Render a rollout's status as one HTML page",
		Args:  cobra.NoArgs,
		Long: "Requests the status from the supervisor of a folder, or reads the output of 'quilldoor rollout status --json'.\n" +
			"Only the leader's status has the reports of all routers.",
	}
	command.Flags().StringVar(&folder, "folder", "", "folder of the supervisor to request the status from")
	command.Flags().StringVar(&jsonFile, "json", "", "file with a status in JSON")
	command.Flags().StringVar(&out, "out", "rollout.html", "file for the page")
	command.RunE = func(*cobra.Command, []string) error {
		status, err := loadRolloutStatus(folder, jsonFile)
		if err != nil {
			return err
		}
		page, err := renderRollout(status, time.Now())
		if err != nil {
			return err
		}
		return os.WriteFile(out, page, 0o644)
	}
	return command
}

// loadRolloutStatus returns the status from a supervisor or from a file. Exactly one of the two must
// be named.
func loadRolloutStatus(folder, jsonFile string) (*rollout.Status, error) {
	if (folder == "") == (jsonFile == "") {
		return nil, errors.New("exactly one of --folder and --json is required")
	}
	if folder != "" {
		return requestRolloutStatus(folder)
	}
	text, err := os.ReadFile(jsonFile)
	if err != nil {
		return nil, err
	}
	status := new(rollout.Status)
	if err := json.Unmarshal(text, status); err != nil {
		return nil, fmt.Errorf("%s: %w", jsonFile, err)
	}
	return status, nil
}

func requestRolloutStatus(folder string) (*rollout.Status, error) {
	socket := filepath.Join(folder, upgradeagent.SocketName)
	reply, err := handoff.Request(socket, &handoff.Message{Kind: handoff.KindRollout}, nil)
	if err != nil {
		return nil, err
	}
	if reply.Rollout == nil {
		return nil, fmt.Errorf("%s: no rollout status: %s", socket, reply.Note)
	}
	return reply.Rollout, nil
}

// rolloutPage is the data of rolloutReportTemplate.
type rolloutPage struct {
	Status   *rollout.Status
	At       string // when the page was rendered
	WatchedS int64  // how long the current stage has been watched
	Routers  []routerRow
	Charts   []intervalChart
}

// routerRow is a router's row of the table.
type routerRow struct {
	rollout.RouterStatus
	EarnedShare string // of the offered weight; "-" if none was offered
}

// intervalChart is the chart of one metric of the canary analysis.
type intervalChart struct {
	Title string
	SVG   template.HTML
}

// renderRollout renders a rollout's status as an HTML page.
func renderRollout(status *rollout.Status, at time.Time) ([]byte, error) {
	page := rolloutPage{
		Status:   status,
		At:       at.UTC().Format("2006-01-02 15:04:05 UTC"),
		WatchedS: status.WatchMS / millisPerSecond,
	}
	for _, router := range status.Routers {
		row := routerRow{RouterStatus: router, EarnedShare: "-"}
		if counts := router.Report.Counts; counts.WeightOffered > 0 {
			row.EarnedShare = fmt.Sprintf("%.4f", counts.WeightEarned/counts.WeightOffered)
		}
		page.Routers = append(page.Routers, row)
	}
	for i := range status.Bounds {
		chart, err := newIntervalChart(&status.Bounds[i])
		if err != nil {
			return nil, err
		}
		page.Charts = append(page.Charts, chart)
	}
	var out bytes.Buffer
	err := rolloutReportTemplate.Execute(&out, page)
	return out.Bytes(), err
}

func newIntervalChart(interval *rollout.MetricInterval) (intervalChart, error) {
	svg, err := drawInterval(interval)
	if err != nil {
		return intervalChart{}, fmt.Errorf("chart of %s: %w", interval.Metric, err)
	}
	title := fmt.Sprintf("%s, new minus old: %+.4f, from %+.4f to %+.4f; tolerance %g",
		interval.Metric, interval.Mean, interval.Low, interval.High, interval.Tolerance)
	return intervalChart{Title: title, SVG: svg}, nil
}
