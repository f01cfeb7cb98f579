package fleetbench

import (
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
)

// Figures of the table-counter baseline.
const (
	tableWriteLatency  = 20 * time.Millisecond
	tableWriteInterval = time.Second / 300
)

// baseline decides on an arrival. It returns the time of the decision since the start.
type baseline func(a arrival) (decided time.Duration, allowed bool)

// fixedSplit gives each host an equal part of rate and burst. A host that is lost keeps its part until its exclusion.
func (r *run) fixedSplit() baseline {
	hosts := len(r.epoch.Members)
	buckets := make(map[[2]int]*ratelimit.Bucket)
	left := false
	return func(a arrival) (time.Duration, bool) {
		now := origin.Add(a.at)
		if r.lostHosts != nil && !left && a.at >= r.lostAt+exclusionDelay+takeoverDelay {
			left = true
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

// tableCounter asks one counter in the table for each request: its writes queue for the table's capacity. A request that
// would wait longer than the limiter's requests wait is refused.
func (r *run) tableCounter() baseline {
	buckets := make([]ratelimit.Bucket, len(customers))
	for i := range customers {
		limits := customers[i].limits
		buckets[i] = ratelimit.NewBucket(origin, limits.Rate, limits.Burst, limits.Burst)
	}
	var next time.Duration
	return func(a arrival) (time.Duration, bool) {
		begin := max(next, a.at)
		decided := begin + tableWriteLatency
		if decided-a.at > ratelimit.BorrowWait {
			return a.at, false
		}
		next = begin + tableWriteInterval
		return decided, buckets[a.customer].Take(origin.Add(decided), 1)
	}
}

// replay runs a baseline over the load.
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
