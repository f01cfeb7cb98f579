package gateway

import (
	"math"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// dispatcherBudgetShare is the share of the retry budget of a service that its dispatchers use. The hosts share the rest for the
	// attempts that they place themselves.
	dispatcherBudgetShare = 0.8
	// successorShare is the share of its part of the slack that a dispatcher uses while another host ranks before it, which may act as the
	// same dispatcher.
	successorShare = 0.1
	// minRetryBurst is the minimum burst. With less than one token, no retry would be allowed at any rate.
	minRetryBurst = 1.5
	// minRateTime bounds from below the time over which a new dispatcher computes the rate of its requests.
	minRateTime = 500 * time.Millisecond
)

// dispatcherBudget is the part of the retry budget of a service that one dispatcher uses: the ratio of the requests that wait there first,
// and an equal share of the slack, of which it may have to leave some to another host that acts as the same dispatcher. A request waits
// first in one data centre, so the parts add up to the budget without messages.
type dispatcherBudget struct {
	limiter  *quota.Limiter
	bounds   func() Bounds
	arrivals float64 // decaying count of requests, with arrivalHalfLife
	at       time.Time
	since    time.Time // first request
	// dataCentres is the number of data centres with a dispatcher of the service.
	dataCentres int
	// slackShare is the share of its part of the slack that this dispatcher uses.
	slackShare float64
}

func newDispatcherBudget(bounds func() Bounds) *dispatcherBudget {
	b := &dispatcherBudget{limiter: quota.New(), bounds: bounds, slackShare: 1}
	b.limiter.SetHosts(nil)
	return b
}

// countRequest counts a first attempt.
func (b *dispatcherBudget) countRequest(now time.Time) {
	if b.since.IsZero() {
		b.since = now
	}
	b.arrivals = b.decayed(now) + 1
	b.at = now
}

func (b *dispatcherBudget) decayed(now time.Time) float64 {
	if b.at.IsZero() {
		return 0
	}
	return b.arrivals * math.Exp2(-float64(now.Sub(b.at))/float64(arrivalHalfLife))
}

// requestRate returns the rate of requests per second. The count of a new dispatcher covers only the time since its first request.
func (b *dispatcherBudget) requestRate(now time.Time) float64 {
	if b.since.IsZero() {
		return 0
	}
	covered := max(minRateTime, now.Sub(b.since))
	weight := 1 - math.Exp2(-float64(covered)/float64(arrivalHalfLife))
	return b.decayed(now) * math.Ln2 / arrivalHalfLife.Seconds() / weight
}

// limit returns the limit of retries.
func (b *dispatcherBudget) limit(now time.Time) quota.Limit {
	bounds := b.bounds()
	bounds.RetryRatio *= dispatcherBudgetShare
	bounds.RetrySlack *= dispatcherBudgetShare * b.slackShare / float64(max(1, b.dataCentres))
	limit := retryBudget(&bounds, b.requestRate(now))
	limit.Burst = max(limit.Burst, minRetryBurst)
	return limit
}

// slackShareOf returns the share of its part of the slack that a dispatcher of this host uses. Two hosts may act as the same dispatcher,
// because one of them is not heard. The hosts of each side of a partition use as much of the slack as they are of the fleet.
func (r *router) slackShareOf(now time.Time, members *memberList, id gossip.DispatcherID) float64 {
	first, live := members.first(now, id)
	if first != r.self {
		return successorShare
	}
	return min(1, float64(live)/float64(r.fleetSize()))
}

// budgetID is the key of the budget in the limiter, which is made for the limits of customers.
const budgetID settings.CustomerID = "retries"

func (b *dispatcherBudget) take(now time.Time) bool {
	return b.limiter.Admit(now, budgetID, b.limit(now)).Allowed
}

func (b *dispatcherBudget) has(now time.Time) bool {
	return b.limiter.WouldAdmit(now, budgetID, b.limit(now))
}
