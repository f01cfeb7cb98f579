package quota

import (
	"math"
	"time"
)

// demand is a count of requests with exponential decay.
type demand struct {
	count float64
	at    time.Time
	// halfLife is the half-life of the count. Default demandHalfLife.
	halfLife time.Duration
}

func (d *demand) decay() time.Duration {
	if d.halfLife == 0 {
		return demandHalfLife
	}
	return d.halfLife
}

func (d *demand) add(now time.Time, n float64) {
	d.count = d.value(now) + n
	d.at = now
}

func (d *demand) value(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(d.decay()))
}

// rate is the rate, in requests per second, at which the decaying count stays constant.
func (d *demand) rate(now time.Time) float64 {
	return d.value(now) * math.Ln2 / d.decay().Seconds()
}

// prediction extrapolates from a host's last report how many requests of one customer it has admitted since.
type prediction struct {
	admitted, requested uint64
	reportedAt          time.Time
	// rate is the predicted rate since predictedAt, in requests per second. predicted is the number of requests that the host
	// is predicted to have admitted between its last report and predictedAt.
	rate        float64
	predicted   float64
	predictedAt time.Time
}

// deviation is the absolute difference between a count of admissions and its prediction.
func (p *prediction) deviation(now time.Time, admitted uint64) float64 {
	predicted := p.predicted
	if !p.predictedAt.IsZero() {
		predicted += p.rate * now.Sub(p.predictedAt).Seconds()
	}
	return math.Abs(float64(admitted) - float64(p.admitted) - predicted)
}

// update records the counts of a report. It returns by how many requests they exceed the prediction, and the new predicted
// rate in requests per second. The rate does not take effect until the caller sets it.
func (p *prediction) update(now time.Time, admitted, requested uint64) (excess, rate float64) {
	p.advance(now)
	added := float64(admitted - p.admitted)
	excess, rate = added-p.predicted, p.rate
	if !p.reportedAt.IsZero() {
		interval := max(now.Sub(p.reportedAt).Seconds(), minReportInterval)
		rate += (1 - math.Exp2(-interval/rateHalfLife)) * (added/interval - rate)
	}
	p.admitted, p.requested, p.reportedAt, p.predicted = admitted, requested, now, 0
	return excess, rate
}

// advance adds the requests that are predicted until now.
func (p *prediction) advance(now time.Time) {
	if !p.predictedAt.IsZero() {
		p.predicted += p.rate * now.Sub(p.predictedAt).Seconds()
	}
	p.predictedAt = now
}
