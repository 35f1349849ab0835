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

// rolloutReportCommand renders a rollout's status as one page without external resources.
func rolloutReportCommand() *cobra.Command {
	var folder, jsonFile, out string
	command := &cobra.Command{
		Use:   "rollout-report",
		Short: "Render a rollout's status as one HTML page",
		Args:  cobra.NoArgs,
		Long: "Asks the supervisor of a folder, or reads what 'quilldoor rollout status --json' has printed. The leader's\n" +
			"status has the figures of all routers.",
	}
	command.Flags().StringVar(&folder, "folder", "", "a supervisor's folder")
	command.Flags().StringVar(&jsonFile, "json", "", "a status in JSON")
	command.Flags().StringVar(&out, "out", "rollout.html", "the page")
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

// loadRolloutStatus gets the status from a supervisor or from a file; one of them is named.
func loadRolloutStatus(folder, jsonFile string) (*rollout.Status, error) {
	if (folder == "") == (jsonFile == "") {
		return nil, errors.New("either --folder or --json")
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
		return nil, errors.New(reply.Note)
	}
	return reply.Rollout, nil
}

// rolloutPage is what the template renders.
type rolloutPage struct {
	Status   *rollout.Status
	At       string
	WatchedS int64
	Routers  []routerRow
	Charts   []boundChart
}

// routerRow is a router's line of the table.
type routerRow struct {
	rollout.RouterStatus
	EarnedShare string // of the offered weight; "-" if none was offered
}

// boundChart is the chart of one of the guards' metrics.
type boundChart struct {
	Title string
	SVG   template.HTML
}

// renderRollout returns the page.
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
		chart, err := newBoundChart(&status.Bounds[i])
		if err != nil {
			return nil, err
		}
		page.Charts = append(page.Charts, chart)
	}
	var out bytes.Buffer
	err := rolloutReportTemplate.Execute(&out, page)
	return out.Bytes(), err
}

func newBoundChart(bound *rollout.MetricInterval) (boundChart, error) {
	svg, err := drawBound(bound)
	if err != nil {
		return boundChart{}, fmt.Errorf("chart of %s: %w", bound.Metric, err)
	}
	title := fmt.Sprintf("%s, new less old: %+.4f, from %+.4f to %+.4f; %g is tolerated",
		bound.Metric, bound.Mean, bound.Low, bound.High, bound.Tolerance)
	return boundChart{Title: title, SVG: svg}, nil
}
