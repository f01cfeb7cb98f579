package decisionlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency histograms range from minLatency to maxLatency, which are in microseconds (a tenth of a millisecond and a minute),
// with latencyDigits significant digits.
const (
	minLatency    = 100
	maxLatency    = 60_000_000
	latencyDigits = 2
)

// binCount is the approximate number of bins of a Summary.
const binCount = 120

// Bin counts the events within one interval of a Summary.
type Bin struct {
	// At is the start of the interval, relative to the first line of the log.
	At time.Duration
	// Served counts requests with a status below 400, Limited those with status 429 (over their customer's limit), Rejected those
	// with status 503, 408 or 421, which did not run, and Failed those with any other status, which may have run.
	Served, Limited, Rejected, Failed int
	BreakersOpened                    int
	// MaxSettingsAge is the longest time between the last confirmation of the settings and a request that used them.
	MaxSettingsAge time.Duration
	// MaxRegistryAge is the greatest age of a list of upstreams from which an upstream was selected.
	MaxRegistryAge time.Duration
}

// Failure counts the requests with the same service, status, error and outcomes of attempts.
type Failure struct {
	Service string
	Status  int
	// Error is the kind of the error response that the host generated. It is empty for a response of an upstream.
	Error string
	// Outcomes lists the outcomes of the attempts, in order.
	Outcomes string
	Count    int
	// Example is the ID of the first such request.
	Example string
}

// ServiceLatency holds the latencies of the served requests of a service.
type ServiceLatency struct {
	Service   string
	Histogram *hdrhistogram.Histogram // in microseconds
}

// Summary summarizes all lines of a log.
type Summary struct {
	Start     time.Time
	BinWidth  time.Duration
	Bins      []Bin
	Failures  []Failure // most frequent first
	Latencies []ServiceLatency
	// Marks are the lines about processes, dependencies and configurations, oldest first.
	Marks []Line
	Hosts int
	// Skipped is the number of lines that hosts have skipped or dropped.
	Skipped int64
}

// Summarize returns a summary of the log. The log must not be empty.
func (l *Log) Summarize() Summary {
	first, last := l.Lines[0].Time, l.Lines[len(l.Lines)-1].Time
	s := Summary{Start: first, BinWidth: max(last.Sub(first)/binCount, time.Millisecond)}
	s.Bins = make([]Bin, last.Sub(first)/s.BinWidth+1)
	for i := range s.Bins {
		s.Bins[i].At = time.Duration(i) * s.BinWidth
	}
	c := collector{summary: &s, failures: make(map[Failure]*Failure), latencies: make(map[string]*hdrhistogram.Histogram)}
	hosts := make(map[string]bool)
	for i := range l.Lines {
		hosts[l.Lines[i].Host] = true
		c.add(&l.Lines[i])
	}
	s.Hosts = len(hosts)
	c.finish()
	return s
}

type collector struct {
	summary   *Summary
	failures  map[Failure]*Failure
	latencies map[string]*hdrhistogram.Histogram
}

func (c *collector) add(line *Line) {
	s := c.summary
	bin := &s.Bins[line.Time.Sub(s.Start)/s.BinWidth]
	switch line.Event {
	case EventRequest:
		c.request(bin, line)
	case EventBreakerOpen:
		bin.BreakersOpened++
	case EventSkipped, EventDropped:
		s.Skipped += line.Count
	case EventStart, EventStop, EventStopped, EventReload, EventReloadFailed, EventDependencyLost, EventDependencyRegained,
		EventConfiguration, EventHistoryGone:
		s.Marks = append(s.Marks, *line)
	default: // events of single upstreams and hosts
	}
}

func (c *collector) request(bin *Bin, line *Line) {
	bin.MaxSettingsAge = max(bin.MaxSettingsAge, milliseconds(line.ConfigurationAgeMS))
	for i := range line.Attempts {
		bin.MaxRegistryAge = max(bin.MaxRegistryAge, milliseconds(line.Attempts[i].RegistryAgeMS))
	}
	switch {
	case line.Status < 400:
		bin.Served++
		c.latency(line)
		return
	case line.Status == 429:
		bin.Limited++
	case line.Status == 503 || line.Status == 408 || line.Status == 421:
		bin.Rejected++
	default:
		bin.Failed++
	}
	key := Failure{Service: line.Service, Status: line.Status, Error: line.Error, Outcomes: outcomes(line.Attempts)}
	f := c.failures[key]
	if f == nil {
		first := key
		first.Example = line.ID
		f = &first
		c.failures[key] = f
	}
	f.Count++
}

func (c *collector) latency(line *Line) {
	histogram := c.latencies[line.Service]
	if histogram == nil {
		histogram = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
		c.latencies[line.Service] = histogram
	}
	// Values outside the range are counted at its ends, so RecordValue cannot fail.
	_ = histogram.RecordValue(min(max(int64(line.TotalMS*1000), minLatency), maxLatency))
}

func (c *collector) finish() {
	for _, f := range c.failures {
		c.summary.Failures = append(c.summary.Failures, *f)
	}
	slices.SortFunc(c.summary.Failures, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Example, b.Example))
	})
	for service, histogram := range c.latencies {
		c.summary.Latencies = append(c.summary.Latencies, ServiceLatency{Service: service, Histogram: histogram})
	}
	slices.SortFunc(c.summary.Latencies, func(a, b ServiceLatency) int { return cmp.Compare(a.Service, b.Service) })
}

func outcomes(attempts []Attempt) string {
	text := ""
	for i := range attempts {
		if i > 0 {
			text += ", "
		}
		text += attempts[i].Outcome
		if attempts[i].Trial {
			text += " (trial)"
		}
		if attempts[i].Hedge {
			text += " (hedge)"
		}
	}
	return text
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
