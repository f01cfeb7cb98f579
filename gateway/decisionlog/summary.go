package decisionlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are counted from a tenth of a millisecond to a minute, in units of a microsecond, with two digits.
const (
	lowestLatency  = 100
	highestLatency = 60_000_000
	latencyDigits  = 2
)

// bins is the number of points of time of a Summary.
const bins = 120

// Bin counts what happened in a part of the time.
type Bin struct {
	// At is the begin, from the first line of the log.
	At time.Duration
	// Served answers come from upstreams and are no failure. Limited requests were over their customer's limit. Refused
	// ones did not run. Failed ones may have run.
	Served, Limited, Rejected, Failed int
	BreakersOpened                    int
	// OldestSettings is the longest time since the settings that decided a request were confirmed.
	MaxSettingsAge time.Duration
	// OldestRegistry is the greatest age of a list of upstreams that an upstream was chosen from.
	MaxRegistryAge time.Duration
}

// Failure counts requests that ended in the same way.
type Failure struct {
	Service string
	Status  int
	// Error is the kind of the host's own answer; empty for an upstream's.
	Error string
	// Outcomes are those of the attempts, in order.
	Outcomes string
	Count    int
	// Example is the id of the first such request.
	Example string
}

// ServiceLatency holds how long the requests of a service took that were served.
type ServiceLatency struct {
	Service   string
	Histogram *hdrhistogram.Histogram // in microseconds
}

// Summary tells about all lines of a log.
type Summary struct {
	Start     time.Time
	BinWidth  time.Duration
	Bins      []Bin
	Failures  []Failure // most frequent first
	Latencies []ServiceLatency
	// Marks are the lines about processes, dependencies and configurations, oldest first.
	Marks []Line
	Hosts int
	// Skipped is the number of lines that hosts have left out.
	Skipped int64
}

// Summarize counts the lines. The log must not be empty.
func (l *Log) Summarize() Summary {
	first, last := l.Lines[0].Time, l.Lines[len(l.Lines)-1].Time
	s := Summary{Start: first, BinWidth: max(last.Sub(first)/bins, time.Millisecond)}
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
	default: // of single upstreams and hosts
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
		kept := key
		kept.Example = line.ID
		f = &kept
		c.failures[key] = f
	}
	f.Count++
}

func (c *collector) latency(line *Line) {
	histogram := c.latencies[line.Service]
	if histogram == nil {
		histogram = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		c.latencies[line.Service] = histogram
	}
	// Values outside of the range are counted at its ends.
	_ = histogram.RecordValue(min(max(int64(line.TotalMS*1000), lowestLatency), highestLatency))
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
	}
	return text
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
