package fleetbench

import (
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
)

// Model of the table in the baseline tableCounter: the latency of a write, and the time between writes at full capacity.
const (
	tableWriteLatency  = 20 * time.Millisecond
	tableWriteInterval = time.Second / 300
)

// baseline is a simple rate limiter that the real one is compared with. It decides on an arrival and returns the time of
// the decision since the start.
type baseline func(a arrival) (decided time.Duration, allowed bool)

// fixedSplit gives each host an equal share of rate and burst. The share of a lost host is redistributed once the host is
// excluded and its share may be taken over.
func (r *run) fixedSplit() baseline {
	hosts := len(r.epoch.Members)
	buckets := make(map[[2]int]*ratelimit.Bucket)
	redistributed := false
	return func(a arrival) (time.Duration, bool) {
		now := origin.Add(a.at)
		if r.lostHosts != nil && !redistributed && a.at >= r.lostAt+exclusionDelay+takeoverDelay {
			redistributed = true
			hosts -= len(r.lostHosts)
			for key, bucket := range buckets {
				limits := customers[key[0]].limits
				bucket.Resize(now, limits.Rate/float64(hosts), max(1, limits.Burst/float64(hosts)))
			}
		}
		key := [2]int{a.customer, a.host}
		bucket := buckets[key]
		if bucket == nil {
			limits := customers[a.customer].limits
			burst := max(1, limits.Burst/float64(hosts))
			full := ratelimit.NewBucket(now, limits.Rate/float64(hosts), burst, burst)
			bucket = &full
			buckets[key] = bucket
		}
		return a.at, bucket.Take(now, 1)
	}
}

// tableCounter updates a counter in the table for each request. The writes queue for the table's capacity. A request is
// rejected if it would wait longer than the limiter lets a request wait for borrowed tokens.
func (r *run) tableCounter() baseline {
	buckets := make([]ratelimit.Bucket, len(customers))
	for i := range customers {
		limits := customers[i].limits
		buckets[i] = ratelimit.NewBucket(origin, limits.Rate, limits.Burst, limits.Burst)
	}
	var nextWrite time.Duration
	return func(a arrival) (time.Duration, bool) {
		writeStart := max(nextWrite, a.at)
		decided := writeStart + tableWriteLatency
		if decided-a.at > ratelimit.BorrowTimeout {
			return a.at, false
		}
		nextWrite = writeStart + tableWriteInterval
		return decided, buckets[a.customer].Take(origin.Add(decided), 1)
	}
}

// replay runs a baseline on the load and measures its decisions.
func (r *run) replay(arrivals []arrival, decide baseline) Measures {
	outcomes := make([]outcome, 0, len(arrivals))
	var admissions []ratelimit.Admission
	for _, a := range arrivals {
		decided, allowed := decide(a)
		outcomes = append(outcomes, outcome{customer: a.customer, arrivedAt: a.at, decidedAt: decided, allowed: allowed})
		if allowed {
			admissions = append(admissions, ratelimit.Admission{At: origin.Add(decided), Customer: customers[a.customer].name})
		}
	}
	m := measure(outcomes, r.scenario.isOverloaded)
	m.countOverAdmissions(admissions)
	return m
}
