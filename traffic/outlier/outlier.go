package outlier

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Outcome is the way in which an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OK is a valid response. It counts as bad if it was slow.
	OK Outcome = iota + 1
	// Failed is an error, a broken response, a response to another request, or a timeout.
	Failed
	// Shed is a rejection because of load, which is no evidence about the upstream's health.
	Shed
	// Abandoned is an attempt that the host itself cancelled, for example the slower one of a hedged pair. It counts as bad
	// only if it was already slow.
	Abandoned
)

// Counts holds the numbers of attempts at an upstream, cumulative since the detector was created.
type Counts struct {
	// OK attempts got a valid response that was not slow.
	OK uint64
	// Failed and Slow attempts are bad. Each attempt counts in at most one of them.
	Failed uint64
	Slow   uint64
	// Shed attempts were rejected because of load.
	Shed uint64
}

// Bad returns the number of attempts that are evidence of an unhealthy upstream.
func (c Counts) Bad() uint64 { return c.Failed + c.Slow }

// Options configures a Detector.
type Options struct {
	// SlowMultiple is the multiple of the service's median latency above which an attempt is slow. Default 4: with log-normal
	// latencies of sigma 0.5, 0.3% of the responses of a healthy upstream are slow, and 97% of those of an upstream that is ten
	// times slower.
	SlowMultiple float64
	// MinSlowThreshold is the minimum of the slow threshold. It keeps noise in a fast service from counting as slow.
	// Default 100 ms.
	MinSlowThreshold time.Duration
	// MaxSlowThreshold is the maximum of the slow threshold. It applies while too few latencies are known. Default 1 s.
	MaxSlowThreshold time.Duration
}

const (
	// maxLatencies is the number of latencies kept for each upstream: about 50 s at 0.3 requests/s.
	maxLatencies = 16
	// minLatencies is the minimum number of latencies for the median of an upstream to be used.
	minLatencies = 3
	// minPeers is the number of upstreams with a median that are needed to compute the slow threshold, unless the host uses only
	// one upstream. The lower median of two is that of the faster one. Hosts that prefer their local data centre may use no more
	// than two upstreams. With 3, a few samples of other upstreams reset the threshold to its maximum, and 2 of 100 upstreams
	// that were ten times slower went undetected.
	minPeers = 2
)

type upstream struct {
	counts    Counts
	latencies [maxLatencies]time.Duration
	samples   int
}

type attempt struct {
	id    settings.UpstreamID
	start time.Time
	slow  bool
}

// Detector classifies and counts the attempts of one host at the upstreams of one service.
type Detector struct {
	options       Options
	upstreams     map[settings.UpstreamID]*upstream
	inFlight      map[uint64]*attempt
	lastNumber    uint64
	slowThreshold time.Duration
}

// NewDetector returns a detector without recorded attempts.
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
		options:       options,
		upstreams:     make(map[settings.UpstreamID]*upstream),
		inFlight:      make(map[uint64]*attempt),
		slowThreshold: options.MaxSlowThreshold,
	}
}

// Start records the start of an attempt and returns its number, which must be passed to Finish.
func (d *Detector) Start(now time.Time, id settings.UpstreamID) uint64 {
	d.lastNumber++
	d.inFlight[d.lastNumber] = &attempt{id: id, start: now}
	return d.lastNumber
}

// Finish records how an attempt ended. Unknown and finished attempts are ignored.
func (d *Detector) Finish(now time.Time, number uint64, outcome Outcome) {
	a := d.inFlight[number]
	if a == nil {
		return
	}
	delete(d.inFlight, number)
	u := d.upstream(a.id)
	latency := now.Sub(a.start)
	if outcome == OK {
		u.latencies[u.samples%maxLatencies] = latency
		u.samples++
	}
	switch {
	case a.slow:
	case outcome == Shed:
		u.counts.Shed++
	case outcome == Failed:
		u.counts.Failed++
	case latency > d.slowThreshold:
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

// Sweep updates the slow threshold and counts the attempts that have been in flight for longer as slow.
func (d *Detector) Sweep(now time.Time) {
	d.slowThreshold = d.computeSlowThreshold()
	for _, a := range d.inFlight {
		if !a.slow && now.Sub(a.start) > d.slowThreshold {
			a.slow = true
			d.upstream(a.id).counts.Slow++
		}
	}
}

// SlowThreshold returns the latency above which an attempt is slow.
func (d *Detector) SlowThreshold() time.Duration { return d.slowThreshold }

func (d *Detector) computeSlowThreshold() time.Duration {
	medians := make([]time.Duration, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		if u.samples >= minLatencies {
			medians = append(medians, median(slices.Clone(u.latencies[:min(u.samples, maxLatencies)])))
		}
	}
	if len(medians) < min(minPeers, max(1, len(d.upstreams))) {
		return d.options.MaxSlowThreshold
	}
	threshold := time.Duration(d.options.SlowMultiple * float64(median(medians)))
	return min(max(threshold, d.options.MinSlowThreshold), d.options.MaxSlowThreshold)
}

// median returns the lower median. It sorts values in place.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Counts calls yield with the cumulative counts of each upstream with attempts, in no particular order.
func (d *Detector) Counts(yield func(settings.UpstreamID, Counts) bool) {
	for id, u := range d.upstreams {
		if !yield(id, u.counts) {
			return
		}
	}
}

// Keep removes the upstreams for which keep returns false, so that the state does not grow as upstreams are replaced.
func (d *Detector) Keep(keep func(settings.UpstreamID) bool) {
	for id := range d.upstreams {
		if !keep(id) {
			delete(d.upstreams, id)
		}
	}
}
