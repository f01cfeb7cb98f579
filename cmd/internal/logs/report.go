package logs

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"os"

	"github.com/bronzeyard/bronzeyard/gateway/decisionlog"
)

//go:embed report.html.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("report").Parse(pageTemplateText))

const reportFileMode = 0o644

// pageData is the data of report.html.tmpl, which refers to the fields by name.
type pageData struct {
	Start, End                       string
	Hosts                            int
	Served, Limited, Refused, Failed int
	Skipped                          int64
	Ignored                          int
	Plots                            []template.HTML
	Failures                         []decisionlog.Failure
	Latencies                        []latencyRow
	Marks                            []markRow
}

type latencyRow struct {
	Service       string
	Count         int64
	P50, P95, P99 string
	Highest       string
}

type markRow struct{ At, Host, Text string }

func (c *Commands) runReport(log *decisionlog.Log) error {
	summary := log.Summarize()
	data, err := newPageData(log, &summary)
	if err != nil {
		return err
	}
	var buffer bytes.Buffer
	if err := pageTemplate.Execute(&buffer, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(c.output, buffer.Bytes(), reportFileMode); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.env.Stdout, "%s: %d requests of %d hosts\n", c.output,
		data.Served+data.Limited+data.Refused+data.Failed, data.Hosts)
	return err
}

func newPageData(log *decisionlog.Log, s *decisionlog.Summary) (*pageData, error) {
	data := &pageData{
		Start: s.Start.Format(timeFormat), End: log.Lines[len(log.Lines)-1].Time.Format(timeFormat),
		Hosts: s.Hosts, Skipped: s.Skipped, Ignored: log.Ignored, Failures: s.Failures,
	}
	for i := range s.Bins {
		b := &s.Bins[i]
		data.Served, data.Limited = data.Served+b.Served, data.Limited+b.Limited
		data.Refused, data.Failed = data.Refused+b.Rejected, data.Failed+b.Failed
	}
	for _, l := range s.Latencies {
		milliseconds := func(q float64) string { return fmt.Sprintf("%.1f", float64(l.Histogram.ValueAtQuantile(q))/1e3) }
		data.Latencies = append(data.Latencies, latencyRow{
			Service: l.Service, Count: l.Histogram.TotalCount(),
			P50: milliseconds(50), P95: milliseconds(95), P99: milliseconds(99), Highest: milliseconds(100),
		})
	}
	for i := range s.Marks {
		m := &s.Marks[i]
		data.Marks = append(data.Marks, markRow{
			At: fmt.Sprintf("%.3f", m.Time.Sub(s.Start).Seconds()), Host: m.Host,
			Text: describe(&decisionlog.Step{Line: *m}),
		})
	}
	return data, data.addPlots(s)
}

func (d *pageData) addPlots(s *decisionlog.Summary) error {
	perSecond := func(count func(*decisionlog.Bin) int) func(*decisionlog.Bin) float64 {
		return func(b *decisionlog.Bin) float64 { return float64(count(b)) / s.BinWidth.Seconds() }
	}
	add := func(image template.HTML, err error) error {
		d.Plots = append(d.Plots, image)
		return err
	}
	if err := add(plotOverTime(s, "Answers", "per second",
		series{"served", green, perSecond(func(b *decisionlog.Bin) int { return b.Served })},
		series{"over the limit", blue, perSecond(func(b *decisionlog.Bin) int { return b.Limited })},
		series{"refused, not run", amber, perSecond(func(b *decisionlog.Bin) int { return b.Rejected })},
		series{"failed", red, perSecond(func(b *decisionlog.Bin) int { return b.Failed })},
	)); err != nil {
		return err
	}
	if err := add(plotOverTime(s, "Circuit breakers opened", "per second",
		series{"opened, counted at each host", red, perSecond(func(b *decisionlog.Bin) int { return b.BreakersOpened })},
	)); err != nil {
		return err
	}
	if err := add(plotOverTime(s, "Age of what decided, oldest", "seconds",
		series{"settings", blue, func(b *decisionlog.Bin) float64 { return b.MaxSettingsAge.Seconds() }},
		series{"list of upstreams", amber, func(b *decisionlog.Bin) float64 { return b.MaxRegistryAge.Seconds() }},
	)); err != nil {
		return err
	}
	return add(plotLatencies(s))
}
