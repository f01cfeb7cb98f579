package fleetbench

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
)

// outcome is the decision on one request.
type outcome struct {
	customer int
	// arrivedAt and decidedAt are times since the start.
	arrivedAt, decidedAt time.Duration
	allowed              bool
}

// Measures are the figures of one rate limiter under one load.
type Measures struct {
	Requests int `json:"requests"`
	// OverAdmissions counts admissions beyond rate and burst. MaxExcess is the largest excess in tokens.
	OverAdmissions int     `json:"over_admissions"`
	MaxExcess      float64 `json:"largest_excess"`
	// WrongfulPercent is the percentage of requests of customers within their rate that were wrongfully rejected: at that
	// time an ideal bucket, charged with the actual admissions, had a token. WrongfulOverloadPercent is the same for
	// overloaded customers.
	WrongfulPercent         float64 `json:"wrongful_percent"`
	WrongfulOverloadPercent float64 `json:"wrongful_overload_percent"`
	// WorstSharePercent is the minimum over all customers of the admitted requests in per cent of those that one ideal
	// bucket would have admitted of the same arrivals.
	WorstSharePercent float64 `json:"worst_share_percent"`
	// Customers are the same figures for each customer.
	Customers []customerMeasures `json:"customers"`
}

type customerMeasures struct {
	Customer        string  `json:"customer"`
	Requests        int     `json:"requests"`
	WrongfulPercent float64 `json:"wrongful_percent"`
	SharePercent    float64 `json:"share_percent"`
}

func (m *Measures) writeCustomers(w io.Writer) error {
	line := "  limiter, wrongful and share by customer:"
	for _, c := range m.Customers {
		line += fmt.Sprintf(" %s %.2f%%/%.1f%%", c.Customer, c.WrongfulPercent, c.SharePercent)
	}
	_, err := fmt.Fprintln(w, line)
	return err
}

// measure computes the figures from outcomes in any order, except over-admissions, which the caller adds.
func measure(outcomes []outcome, overloaded func(customer int) bool) Measures {
	m := Measures{Requests: len(outcomes), WorstSharePercent: 100}
	var requests, overloadRequests, wrongful, overloadWrongful int
	for i := range customers {
		ofCustomer := slices.DeleteFunc(slices.Clone(outcomes), func(o outcome) bool { return o.customer != i })
		rejections := countWrongfulRejections(ofCustomer, customers[i].limits)
		if overloaded(i) {
			overloadRequests += len(ofCustomer)
			overloadWrongful += rejections
		} else {
			requests += len(ofCustomer)
			wrongful += rejections
		}
		sharePercent := entitlementPercent(ofCustomer, customers[i].limits)
		m.WorstSharePercent = min(m.WorstSharePercent, sharePercent)
		m.Customers = append(m.Customers, customerMeasures{
			Customer: customers[i].name, Requests: len(ofCustomer),
			WrongfulPercent: percent(rejections, len(ofCustomer)), SharePercent: sharePercent,
		})
	}
	m.WrongfulPercent = percent(wrongful, requests)
	m.WrongfulOverloadPercent = percent(overloadWrongful, overloadRequests)
	return m
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

var origin = time.Unix(0, 0)

// countWrongfulRejections counts the rejections at a time when an ideal bucket, charged with the actual admissions, had a
// token.
func countWrongfulRejections(outcomes []outcome, limits ratelimit.Limits) int {
	slices.SortStableFunc(outcomes, func(a, b outcome) int { return int(a.decidedAt - b.decidedAt) })
	ideal := ratelimit.NewChecker(origin, limits)
	count := 0
	for _, o := range outcomes {
		at := origin.Add(o.decidedAt)
		if o.allowed {
			ideal.Record(at)
		} else if ideal.HasToken(at) {
			count++
		}
	}
	return count
}

// entitlementPercent returns the admitted requests in per cent of those that one ideal bucket would have admitted.
func entitlementPercent(outcomes []outcome, limits ratelimit.Limits) float64 {
	slices.SortStableFunc(outcomes, func(a, b outcome) int { return int(a.arrivedAt - b.arrivedAt) })
	ideal := ratelimit.NewChecker(origin, limits)
	entitled, admitted := 0, 0
	for _, o := range outcomes {
		if o.allowed {
			admitted++
		}
		if at := origin.Add(o.arrivedAt); ideal.HasToken(at) {
			ideal.Record(at)
			entitled++
		}
	}
	return percent(admitted, max(1, entitled))
}

// countOverAdmissions replays the admissions and records by how much they exceed rate and burst.
func (m *Measures) countOverAdmissions(admissions []ratelimit.Admission) {
	limits := make(map[string]ratelimit.Limits)
	for _, c := range customers {
		limits[c.name] = c.limits
	}
	result := ratelimit.Check(admissions, func(customer string) (ratelimit.Limits, bool) {
		l, ok := limits[customer]
		return l, ok
	})
	m.OverAdmissions = len(result.Violations)
	m.MaxExcess = result.MaxExcess
}

// WrongfulRejections returns the wrongful rejections in per cent of the requests of customers within their rate.
func WrongfulRejections(m *Measures) float64 { return m.WrongfulPercent }

// WorstShare returns the lowest share of its entitlement that any customer was admitted, in per cent.
func WorstShare(m *Measures) float64 { return m.WorstSharePercent }
