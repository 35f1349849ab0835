package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg"

	"quilldoor/internal/handoff"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgradeagent"
)

// reportCommand draws where a rollout stands as one page that needs nothing else.
func reportCommand() *cobra.Command {
	var folder, from, out string
	c := &cobra.Command{
		Use: "rollout-report", Short: "Draw where a rollout stands, as one HTML page", Args: cobra.NoArgs,
		Long: "Asks the keeper of a folder, or reads what 'quilldoor rollout status --json' has printed. Who leads knows most.",
	}
	c.Flags().StringVar(&folder, "folder", "", "a keeper's folder")
	c.Flags().StringVar(&from, "json", "", "a status in JSON")
	c.Flags().StringVar(&out, "out", "rollout.html", "the page")
	c.RunE = func(*cobra.Command, []string) error {
		s := new(rollout.Status)
		switch {
		case (folder == "") == (from == ""):
			return fmt.Errorf("either --folder or --json")
		case folder != "":
			w, err := handoff.Request(filepath.Join(folder, upgradeagent.SocketName), &handoff.Message{Kind: handoff.KindRollout}, nil)
			if err != nil {
				return err
			}
			if w.Rollout == nil {
				return fmt.Errorf("%s", w.Note)
			}
			s = w.Rollout
		default:
			text, err := os.ReadFile(from)
			if err != nil {
				return err
			}
			if err := json.Unmarshal(text, s); err != nil {
				return fmt.Errorf("%s: %w", from, err)
			}
		}
		page, err := drawRollout(s, time.Now())
		if err != nil {
			return err
		}
		return os.WriteFile(out, page, 0o644)
	}
	return c
}

var rolloutPage = template.Must(template.New("rollout").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.S.Plan}}</title>
<style>body{font:15px/1.5 sans-serif;margin:2em auto;max-width:60em;color:#222}table{border-collapse:collapse}td,th{padding:.25em .8em;text-align:left;border-bottom:1px solid #ddd}
.new{background:#dff0df}.changes{background:#fff3cd}.silent{background:#f3d9d9}h2{margin-top:1.6em;font-size:1.1em}svg{max-width:100%;height:auto}</style></head><body>
<h1>{{.S.Plan}}: {{.S.Phase}}, stage {{.S.Stage}} of {{.S.Stages}}</h1>
<p>{{.At}}; known {{.S.AgeMS}} ms before. {{if .S.Leader}}Last heard to lead: {{.S.Leader}}.{{end}} {{if not .S.IsLeader}}This router does not lead: figures of others are whoever leads'.{{end}}</p>
{{if .S.Reason}}<p><b>{{.S.Reason}}</b></p>{{end}}
{{if .S.Recovering}}<p><b>This router has lost what it knew, and asks the others.</b></p>{{end}}
<table><tr><th>router</th><th>office</th><th>generation</th>{{if .S.IsLeader}}<th>heard</th><th>txns</th><th>earned</th><th>refused</th><th>failed</th><th>MB</th><th>restarts</th><th>breaks</th>{{end}}<th></th></tr>
{{range .Lines}}<tr class="{{.Activity}}"><td>{{.Name}}</td><td>{{.Office}}</td><td>{{.Activity}}</td>{{if $.S.IsLeader}}<td>{{.HeardMS}} ms ago</td><td>{{printf "%.0f" .Report.Counts.Requests}}</td><td>{{.Earned}}</td><td>{{printf "%.0f" .Report.Counts.Rejected}}</td><td>{{printf "%.0f" .Report.Counts.Failed}}</td><td>{{printf "%.0f" .Report.MemoryMB}}</td><td>{{.Report.Restarts}}</td><td>{{.Report.FirstViolation}}</td>{{end}}<td>{{.Report.FailureReason}}</td></tr>
{{end}}</table>
{{if .S.Verdict}}<h2>Watched for {{.Watched}} s: {{.S.Verdict}}</h2>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
</body></html>
`))

func drawRollout(s *rollout.Status, at time.Time) ([]byte, error) {
	type line struct {
		rollout.RouterStatus
		Earned string
	}
	type drawn struct {
		Title string
		SVG   template.HTML
	}
	var lines []line
	for _, l := range s.Routers {
		earned := "-"
		if c := l.Report.Counts; c.WeightOffered > 0 {
			earned = fmt.Sprintf("%.4f", c.WeightEarned/c.WeightOffered)
		}
		lines = append(lines, line{l, earned})
	}
	var plots []drawn
	for _, b := range s.Bounds {
		svg, err := drawBound(&b)
		if err != nil {
			return nil, err
		}
		plots = append(plots, drawn{fmt.Sprintf("%s, new less old: %+.4f, from %+.4f to %+.4f; %g is borne", b.Metric, b.Mean, b.Low, b.High, b.Tolerance), svg})
	}
	var out bytes.Buffer
	err := rolloutPage.Execute(&out, map[string]any{"S": s, "Lines": lines, "Plots": plots, "At": at.UTC().Format("2006-01-02 15:04:05 UTC"), "Watched": s.WatchMS / 1000})
	return out.Bytes(), err
}

// drawBound plots a figure's moments, their running mean, the bounds now and what is
// borne.
func drawBound(b *rollout.MetricInterval) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "moment", "new less old"
	points, means := make(plotter.XYs, len(b.Samples)), make(plotter.XYs, len(b.Samples))
	sum := 0.0
	for i, v := range b.Samples {
		sum += v
		points[i], means[i] = plotter.XY{X: float64(i + 1), Y: v}, plotter.XY{X: float64(i + 1), Y: sum / float64(i+1)}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return "", err
	}
	dots.Color, dots.Radius = color.Gray{170}, vg.Points(1.5)
	line, err := plotter.NewLine(means)
	if err != nil {
		return "", err
	}
	line.Color, line.Width = color.RGBA{30, 80, 160, 255}, vg.Points(1.5)
	p.Add(dots, line)
	p.Legend.Add("moments", dots)
	p.Legend.Add("mean so far", line)
	for _, x := range []struct {
		name string
		y    float64
		c    color.Color
	}{{"bounds now", b.Low, color.RGBA{30, 80, 160, 120}}, {"", b.High, color.RGBA{30, 80, 160, 120}}, {"borne", b.Tolerance, color.RGBA{180, 40, 40, 255}}} {
		l, err := plotter.NewLine(plotter.XYs{{X: 1, Y: x.y}, {X: float64(max(len(b.Samples), 2)), Y: x.y}})
		if err != nil {
			return "", err
		}
		l.Color, l.Dashes = x.c, []vg.Length{vg.Points(4), vg.Points(3)}
		if p.Add(l); x.name != "" {
			p.Legend.Add(x.name, l)
		}
	}
	w, err := p.WriterTo(vg.Points(640), vg.Points(220), "svg")
	if err != nil {
		return "", err
	}
	var svg bytes.Buffer
	if _, err := w.WriteTo(&svg); err != nil {
		return "", err
	}
	text := svg.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // no prologue inside a page
		text = text[i:]
	}
	return template.HTML(text), nil
}
