package placement

import "time"

const (
	// rejectedWeight is the weight of a new response in the share of rejected responses of an upstream. In that of the service, it has
	// a quarter of this weight.
	rejectedWeight = 0.25
	// rejectedCost is added to the load of an upstream whose responses are all rejected while none of the service's are. It exceeds the
	// load of an upstream that has requests waiting: one that rejects everything at once never has any.
	rejectedCost = 2.0
	// rejectedHalfLife is the half-life of the cost. It is longer than the time between two requests of a host to an upstream in a
	// fleet of many hosts.
	rejectedHalfLife = 10 * time.Second
)

// rejectedShare is the moving average of the share of rejected responses of an upstream.
type rejectedShare struct {
	share float64
	at    time.Time
}

func (p *Pool) observeRejected(now time.Time, s *state, rejected bool) {
	value := 0.0
	if rejected {
		value = 1
	}
	s.rejected.share += rejectedWeight * (value - s.rejected.share)
	s.rejected.at = now
	p.rejected += rejectedWeight / 4 * (value - p.rejected)
}

// rejectedCost returns the cost of an upstream that rejects a larger share of requests than the service does. Requests that are
// rejected for their own fault are spread evenly over the upstreams and cost nothing.
func (p *Pool) rejectedCost(now time.Time, s *state) float64 {
	if s.rejected.share <= p.rejected {
		return 0
	}
	return rejectedCost * (s.rejected.share - p.rejected) * decay(now.Sub(s.rejected.at), rejectedHalfLife)
}

// RejectedShare returns the share of rejected responses of the service.
func (p *Pool) RejectedShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejected
}
