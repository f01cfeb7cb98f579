package addressing

import (
	"math"
	"time"
)

// Sample holds what the requests of an interval have taken in sum.
type Sample struct {
	Requests        float64
	ProcessorTime   time.Duration
	Bytes           float64
	HeldByteSeconds float64
}

const (
	// trafficHalfLife is the half-life of past traffic in the means.
	trafficHalfLife = time.Minute
	// minMeasured is the weight of the measured requests from which the means are used. A host with one request in 4 s reaches it.
	minMeasured = 20
	// settledExponent is the power of two by which a mean may differ from the value in use. The value moves at three quarters of a step
	// so that a mean between two powers of two does not alternate between them.
	settledExponent = 0.75
)

// defaultTraffic applies until enough requests were measured.
var defaultTraffic = Traffic{ProcessorTime: 2 * time.Millisecond, Bytes: 8 << 10, HeldByteSeconds: 4 << 10}

// Meter measures the mean traffic of requests. The means that it returns are powers of two (except the default ones), and change only
// if the measured ones differ by much, because each change of capacities changes the lists of callers. The zero value is ready to use.
type Meter struct {
	sum     Sample
	at      time.Time
	current Traffic
}

// Add adds a sample of the time since the previous one.
func (m *Meter) Add(now time.Time, s Sample) {
	decay := 1.0
	if !m.at.IsZero() {
		decay = math.Exp2(-float64(now.Sub(m.at)) / float64(trafficHalfLife))
	}
	m.at = now
	m.sum.Requests = m.sum.Requests*decay + s.Requests
	m.sum.ProcessorTime = time.Duration(float64(m.sum.ProcessorTime)*decay) + s.ProcessorTime
	m.sum.Bytes = m.sum.Bytes*decay + s.Bytes
	m.sum.HeldByteSeconds = m.sum.HeldByteSeconds*decay + s.HeldByteSeconds
	if m.sum.Requests < minMeasured {
		return
	}
	before := m.Traffic()
	m.current = Traffic{
		ProcessorTime:   time.Duration(settle(float64(before.ProcessorTime), float64(m.sum.ProcessorTime)/m.sum.Requests)),
		Bytes:           settle(before.Bytes, m.sum.Bytes/m.sum.Requests),
		HeldByteSeconds: settle(before.HeldByteSeconds, m.sum.HeldByteSeconds/m.sum.Requests),
	}
}

// Traffic returns the means in use.
func (m *Meter) Traffic() Traffic {
	if m.current == (Traffic{}) {
		return defaultTraffic
	}
	return m.current
}

// settle returns the value in use if the mean is close to it, and the power of two that is nearest to the mean otherwise.
func settle(current, mean float64) float64 {
	if mean <= 0 || math.Abs(math.Log2(mean/current)) <= settledExponent {
		return current
	}
	return math.Exp2(math.Round(math.Log2(mean)))
}
