package logs

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/bronzeyard/bronzeyard/gateway/decisionlog"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
)

var (
	green  = color.RGBA{G: 130, B: 60, A: 255}
	amber  = color.RGBA{R: 220, G: 150, A: 255}
	blue   = color.RGBA{R: 40, G: 80, B: 200, A: 255}
	red    = color.RGBA{R: 200, G: 30, B: 30, A: 255}
	silver = color.RGBA{R: 190, G: 190, B: 190, A: 255}
)

// series is one curve of a plot.
type series struct {
	name  string
	color color.Color
	value func(*decisionlog.Bin) float64
}

// plotOverTime plots curves over the period of the summary, with a vertical line at each mark.
func plotOverTime(s *decisionlog.Summary, title, unit string, curves ...series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds since "+s.Start.Format(timeFormat), unit
	p.Legend.Top = true
	maxY := 0.0
	for _, curve := range curves {
		points := make(plotter.XYs, len(s.Bins))
		for i := range s.Bins {
			points[i].X, points[i].Y = s.Bins[i].At.Seconds(), curve.value(&s.Bins[i])
			maxY = max(maxY, points[i].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("plot %q: %w", title, err)
		}
		line.Color, line.Width = curve.color, lineWidth
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	if err := addMarks(p, s, maxY); err != nil {
		return "", fmt.Errorf("plot %q: %w", title, err)
	}
	return render(p)
}

// addMarks draws a vertical line where a process started or stopped, or a dependency failed or recovered.
func addMarks(p *plot.Plot, s *decisionlog.Summary, maxY float64) error {
	for i := range s.Marks {
		mark := &s.Marks[i]
		if mark.Event == decisionlog.EventConfiguration || mark.Event == decisionlog.EventHistoryGone {
			continue
		}
		at := mark.Time.Sub(s.Start).Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: at}, {X: at, Y: maxY}})
		if err != nil {
			return err
		}
		line.Color = silver
		p.Add(line)
	}
	return nil
}

// quantiles are the quantiles of the latency plot, in percent.
var quantiles = []float64{50, 75, 90, 95, 99, 99.9}

// plotLatencies plots the latency quantiles of each service.
func plotLatencies(s *decisionlog.Summary) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Latency of served requests by quantile", "seconds"
	p.Legend.Top, p.Legend.Left = true, true
	names := make([]string, len(quantiles))
	for i, q := range quantiles {
		names[i] = fmt.Sprintf("p%v", q)
	}
	p.NominalX(names...)
	colors := []color.Color{blue, green, amber, red}
	for n, service := range s.Latencies {
		points := make(plotter.XYs, len(quantiles))
		for i, q := range quantiles {
			points[i].X = float64(i)
			points[i].Y = float64(service.Histogram.ValueAtQuantile(q)) / 1e6
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", fmt.Errorf("plot of latencies: %w", err)
		}
		line.Color, line.Width, dots.Color = colors[n%len(colors)], lineWidth, colors[n%len(colors)]
		p.Add(line, dots)
		p.Legend.Add(service.Service, line)
	}
	return render(p)
}

// render draws the plot as an SVG image to be embedded in the page.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", err
	}
	image := buffer.Bytes()
	if begin := bytes.Index(image, []byte("<svg")); begin > 0 {
		image = image[begin:] // an XML declaration is not allowed inside an HTML page
	}
	return template.HTML(image), nil //nolint:gosec // written by the plot library, which escapes text
}
