package quota

import (
	"math"
	"time"
)

// demand is a decaying count of requests.
type demand struct {
	count float64
	at    time.Time
}

func (d *demand) add(now time.Time, n float64) {
	d.count = d.now(now) + n
	d.at = now
}

func (d *demand) now(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(demandHalfLife))
}

// perSecond is the rate of requests that keeps the count at its value.
func (d *demand) perSecond(now time.Time) float64 {
	return d.now(now) * math.Ln2 / demandHalfLife.Seconds()
}

// remote is what another host has reported of a customer.
type remote struct {
	admitted, asked uint64
	at              time.Time
	// perSecond is the rate at which it is taken to admit since settledAt, and predicted what it was taken to have admitted
	// from its last report until then.
	perSecond float64
	predicted float64
	settledAt time.Time
}

// off is how far the count is from what is predicted.
func (r *remote) off(now time.Time, admitted uint64) float64 {
	predicted := r.predicted
	if !r.settledAt.IsZero() {
		predicted += r.perSecond * now.Sub(r.settledAt).Seconds()
	}
	return math.Abs(float64(admitted) - float64(r.admitted) - predicted)
}

// note takes a report. It returns how many requests it adds to those that were predicted, and the rate that follows from it.
func (r *remote) note(now time.Time, admitted, asked uint64) (more, perSecond float64) {
	r.settle(now)
	added := float64(admitted - r.admitted)
	more, perSecond = added-r.predicted, r.perSecond
	if !r.at.IsZero() {
		interval := max(now.Sub(r.at).Seconds(), shortestInterval)
		perSecond += (1 - math.Exp2(-interval/rateHalfLife)) * (added/interval - perSecond)
	}
	r.admitted, r.asked, r.at, r.predicted = admitted, asked, now, 0
	return more, perSecond
}

// settle adds what was predicted until now.
func (r *remote) settle(now time.Time) {
	if !r.settledAt.IsZero() {
		r.predicted += r.perSecond * now.Sub(r.settledAt).Seconds()
	}
	r.settledAt = now
}
