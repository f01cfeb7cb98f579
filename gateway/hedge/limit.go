package hedge

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Limit is the operators' limit of hedges, as a share of the requests of a service. The zero value sets no limit.
type Limit struct {
	set   bool
	share float64
}

// NewLimit returns a limit of a share in [0, 1] of the requests. 0 turns hedging off.
func NewLimit(share float64) Limit { return Limit{set: true, share: share} }

// ParseLimit parses a percentage such as "5%". An empty text sets no limit.
func ParseLimit(text string) (Limit, error) {
	if text == "" {
		return Limit{}, nil
	}
	number, found := strings.CutSuffix(text, "%")
	if !found {
		return Limit{}, fmt.Errorf("hedge limit %q has no unit: state a percentage of the requests, for example 5%%", text)
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if err != nil {
		return Limit{}, fmt.Errorf("hedge limit %q is not a percentage: state a number, for example 5%%", text)
	}
	if !(percent >= 0 && percent <= 100) { // also for NaN
		return Limit{}, fmt.Errorf("hedge limit %q must be from 0%% to 100%%", text)
	}
	return NewLimit(percent / 100), nil
}

// String implements fmt.Stringer.
func (l Limit) String() string {
	if !l.set {
		return "none"
	}
	return strconv.FormatFloat(l.share*100, 'g', 6, 64) + "%"
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.set }

// typicalMultiple is the multiple of the typical duration before which a limited hedge does not start. The few hedges that a limit
// allows would otherwise be spent on responses that arrive in time: of the attempts that run at the 93rd percentile, more than half
// still end soon.
const typicalMultiple = 1.5

// Delay returns the time without a response after which a hedge may start. after is the delay without a limit.
func (l Limit) Delay(after, typical time.Duration) time.Duration {
	if !l.set || after <= 0 {
		return after
	}
	return max(after, time.Duration(typicalMultiple*float64(typical)))
}
