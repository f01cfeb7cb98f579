package dispatch

import "time"

const (
	// drainWindow is the time over which the rate of freed slots is measured.
	drainWindow  = 2 * time.Second
	drainBuckets = 10
	drainBucket  = drainWindow / drainBuckets
	// priorPeriod is the time for which the measurement counts as if slots had become free at the prior rate.
	priorPeriod = 200 * time.Millisecond
)

// drain measures the rate at which slots become free. Only times with waiting requests count, because the rate at other times is that
// of the arrivals.
type drain struct {
	buckets [drainBuckets]drainCount
	at      time.Time
	busy    bool
}

type drainCount struct {
	index int64
	freed int
	busy  time.Duration
}

// advance records that requests waited since the last call, if they did, and whether they do now.
func (d *drain) advance(now time.Time, busy bool) {
	if d.busy && now.After(d.at) {
		d.bucket(now).busy += min(now.Sub(d.at), drainBucket)
	}
	d.at, d.busy = now, busy
}

// freed records that a slot became free.
func (d *drain) freed(now time.Time) {
	if d.busy {
		d.bucket(now).freed++
	}
}

func (d *drain) bucket(now time.Time) *drainCount {
	index := now.UnixNano() / int64(drainBucket)
	b := &d.buckets[uint64(index)%drainBuckets]
	if b.index != index {
		*b = drainCount{index: index}
	}
	return b
}

// rate returns the number of slots that become free per second. prior is the rate if nothing was measured.
func (d *drain) rate(now time.Time, prior float64) float64 {
	index := now.UnixNano() / int64(drainBucket)
	freed, busy := prior*priorPeriod.Seconds(), priorPeriod
	for i := range d.buckets {
		if index-d.buckets[i].index < drainBuckets {
			freed += float64(d.buckets[i].freed)
			busy += d.buckets[i].busy
		}
	}
	return freed / busy.Seconds()
}
