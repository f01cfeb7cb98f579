package warmup

import (
	"math"
	"time"
)

const (
	// maxSenders is the number of hosts that may send a cold upstream requests, if the slack allows it. Some of them may have ended
	// without notice, so one is not enough.
	maxSenders = 4
	// senderMargin is the factor by which the number of hosts that send may exceed the intended one while their views of the fleet differ.
	senderMargin = 1.5
)

// Limit is the limit of the requests to a cold upstream of a service. The zero value means that there is none.
type Limit struct {
	// Rate is the number of requests per second that a cold upstream tolerates, and Period the time for which it is cold.
	Rate   float64
	Period time.Duration
	// All hosts together may send Rate times Overshoot plus Slack requests in any second.
	Overshoot, Slack float64
}

// Active reports whether there is a limit.
func (l *Limit) Active() bool { return l.Rate > 0 && l.Overshoot > 0 }

// shares returns the number of hosts that send, and the rate of each in requests per second. A host sends at most one request more than
// its rate in any second. The rate is 0 if the bound allows no request of several hosts.
func (l *Limit) shares() (senders int, rate float64) {
	senders = min(maxSenders, max(1, int(l.Slack/senderMargin)))
	most := math.Ceil(senderMargin * float64(senders))
	rate = min(l.Rate/float64(senders), (l.Overshoot*l.Rate+l.Slack)/most-1)
	return senders, max(0, rate)
}
