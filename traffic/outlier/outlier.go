package outlier

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OK is a proper answer. It counts as bad if it was slow.
	OK Outcome = iota + 1
	// Failed is an error, a broken or crossed answer, or a timeout.
	Failed
	// Shed is a refusal because of load, which says nothing about health.
	Shed
	// Abandoned is an attempt that the host itself ended, for example the slower one of a hedged pair. It counts as bad
	// only if it was already slow.
	Abandoned
)

// Counts are cumulative since the detector was created.
type Counts struct {
	// OK attempts were answered properly and in time.
	OK uint64
	// Failed and Slow attempts are bad; each attempt counts in one of them at most.
	Failed uint64
	Slow   uint64
	Shed   uint64
}

// Bad is the number of attempts that speak against the upstream.
func (c Counts) Bad() uint64 { return c.Failed + c.Slow }

// Options configure a Detector.
type Options struct {
	// SlowMultiple of the service's median latency is slow. Default 4: with log-normal latencies of sigma 0.5, 0.3% of
	// the answers of a healthy upstream and 97% of those of one that is ten times slower lie above it.
	SlowMultiple float64
	// SlowMinimum is the lowest slow bound, so that noise in a fast service is not slow. Default 100 ms.
	MinSlowThreshold time.Duration
	// SlowMaximum is the highest slow bound and the one in force while too few latencies are known. Default 1 s.
	MaxSlowThreshold time.Duration
}

const (
	// history is how many latencies are kept for each upstream: about 50 s at 0.3 requests/s.
	history = 16
	// fewest is how many latencies an upstream needs for a median of its own.
	fewest = 3
	// fewestPeers is how many upstreams need a median of their own, unless the host uses a single one. The lower median of
	// two is the faster one. Hosts that prefer their own data centre may use no more than two; with 3, a few samples of
	// others set the bound back to its maximum, and 2 of 100 upstreams ten times slower went unnoticed.
	fewestPeers = 2
)

type upstream struct {
	counts    Counts
	latencies [history]time.Duration
	samples   int
}

type attempt struct {
	id    settings.UpstreamID
	start time.Time
	slow  bool
}

// Detector judges the attempts of one host at one service.
type Detector struct {
	options   Options
	upstreams map[settings.UpstreamID]*upstream
	open      map[uint64]*attempt
	last      uint64
	bound     time.Duration
}

// NewDetector returns a detector without evidence.
func NewDetector(options Options) *Detector {
	if options.SlowMultiple == 0 {
		options.SlowMultiple = 4
	}
	if options.MinSlowThreshold == 0 {
		options.MinSlowThreshold = 100 * time.Millisecond
	}
	if options.MaxSlowThreshold == 0 {
		options.MaxSlowThreshold = time.Second
	}
	return &Detector{
		options:   options,
		upstreams: make(map[settings.UpstreamID]*upstream),
		open:      make(map[uint64]*attempt),
		bound:     options.MaxSlowThreshold,
	}
}

// Start records that an attempt was sent and returns the number by which Finish knows it.
func (d *Detector) Start(now time.Time, id settings.UpstreamID) uint64 {
	d.last++
	d.open[d.last] = &attempt{id: id, start: now}
	return d.last
}

// Finish records how an attempt ended. Unknown and finished attempts are ignored.
func (d *Detector) Finish(now time.Time, number uint64, outcome Outcome) {
	a := d.open[number]
	if a == nil {
		return
	}
	delete(d.open, number)
	u := d.upstream(a.id)
	took := now.Sub(a.start)
	if outcome == OK {
		u.latencies[u.samples%history] = took
		u.samples++
	}
	switch {
	case a.slow:
	case outcome == Shed:
		u.counts.Shed++
	case outcome == Failed:
		u.counts.Failed++
	case took > d.bound:
		u.counts.Slow++
	case outcome == OK:
		u.counts.OK++
	}
}

func (d *Detector) upstream(id settings.UpstreamID) *upstream {
	u := d.upstreams[id]
	if u == nil {
		u = &upstream{}
		d.upstreams[id] = u
	}
	return u
}

// Sweep updates the slow bound and counts attempts that have been open for longer as slow.
func (d *Detector) Sweep(now time.Time) {
	d.bound = d.slowBound()
	for _, a := range d.open {
		if !a.slow && now.Sub(a.start) > d.bound {
			a.slow = true
			d.upstream(a.id).counts.Slow++
		}
	}
}

// Bound is the latency above which an attempt is slow.
func (d *Detector) SlowThreshold() time.Duration { return d.bound }

func (d *Detector) slowBound() time.Duration {
	medians := make([]time.Duration, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		if u.samples >= fewest {
			medians = append(medians, median(slices.Clone(u.latencies[:min(u.samples, history)])))
		}
	}
	if len(medians) < min(fewestPeers, max(1, len(d.upstreams))) {
		return d.options.MaxSlowThreshold
	}
	bound := time.Duration(d.options.SlowMultiple * float64(median(medians)))
	return min(max(bound, d.options.MinSlowThreshold), d.options.MaxSlowThreshold)
}

// median returns the lower median and reorders values.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Counts calls yield with the cumulative counts of each upstream that was tried, in no order.
func (d *Detector) Counts(yield func(settings.UpstreamID, Counts) bool) {
	for id, u := range d.upstreams {
		if !yield(id, u.counts) {
			return
		}
	}
}

// Keep forgets the upstreams for which keep returns false, so that the state does not grow with replaced upstreams.
func (d *Detector) Keep(keep func(settings.UpstreamID) bool) {
	for id := range d.upstreams {
		if !keep(id) {
			delete(d.upstreams, id)
		}
	}
}
