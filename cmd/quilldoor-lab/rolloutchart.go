package main

import (
	"bytes"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the format in which charts are written

	"quilldoor/internal/rollout"
)

const (
	chartWidth  = 640 // points
	chartHeight = 220 // points
	lineWidth   = 1.5 // points; also the radius of a sample
)

var (
	sampleColor    = color.Gray{170}
	meanColor      = color.RGBA{30, 80, 160, 255}
	intervalColor  = color.RGBA{30, 80, 160, 120}
	toleranceColor = color.RGBA{180, 40, 40, 255}
)

// drawInterval plots a metric's samples and their running mean, with its current confidence
// interval and its tolerance as horizontal lines.
func drawInterval(interval *rollout.MetricInterval) (template.HTML, error) {
	chart := plot.New()
	chart.X.Label.Text = "sample"
	chart.Y.Label.Text = "new minus old"
	if err := addSamples(chart, interval.Samples); err != nil {
		return "", err
	}
	lastX := float64(max(len(interval.Samples), 2))
	for _, line := range []struct {
		name  string // empty: not in the legend
		y     float64
		color color.Color
	}{
		{"interval", interval.Low, intervalColor},
		{"", interval.High, intervalColor},
		{"tolerance", interval.Tolerance, toleranceColor},
	} {
		if err := addHorizontalLine(chart, line.name, line.y, lastX, line.color); err != nil {
			return "", err
		}
	}
	return chartSVG(chart)
}

// addSamples adds the samples and their running mean to the chart.
func addSamples(chart *plot.Plot, samples []float64) error {
	points := make(plotter.XYs, len(samples))
	means := make(plotter.XYs, len(samples))
	sum := 0.0
	for i, value := range samples {
		sum += value
		x := float64(i + 1)
		points[i] = plotter.XY{X: x, Y: value}
		means[i] = plotter.XY{X: x, Y: sum / x}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	dots.Color = sampleColor
	dots.Radius = vg.Points(lineWidth)
	mean, err := plotter.NewLine(means)
	if err != nil {
		return err
	}
	mean.Color = meanColor
	mean.Width = vg.Points(lineWidth)
	chart.Add(dots, mean)
	chart.Legend.Add("samples", dots)
	chart.Legend.Add("running mean", mean)
	return nil
}

// addHorizontalLine adds a dashed horizontal line from x = 1 to lastX, in the legend if it has a
// name.
func addHorizontalLine(chart *plot.Plot, name string, y, lastX float64, lineColor color.Color) error {
	line, err := plotter.NewLine(plotter.XYs{{X: 1, Y: y}, {X: lastX, Y: y}})
	if err != nil {
		return err
	}
	line.Color = lineColor
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	chart.Add(line)
	if name != "" {
		chart.Legend.Add(name, line)
	}
	return nil
}

// chartSVG renders the chart as an svg element.
func chartSVG(chart *plot.Plot) (template.HTML, error) {
	writer, err := chart.WriterTo(vg.Points(chartWidth), vg.Points(chartHeight), "svg")
	if err != nil {
		return "", err
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return "", err
	}
	text := svg.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // an XML prolog is not allowed inside an HTML page
		text = text[i:]
	}
	return template.HTML(text), nil
}
