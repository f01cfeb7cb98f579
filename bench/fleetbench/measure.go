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
	// arrived and decided are the times since the start.
	arrivedAt, decidedAt time.Duration
	allowed              bool
}

// Measures are the figures of one policy under one load.
type Measures struct {
	Requests int `json:"requests"`
	// OverAdmissions counts admissions over rate and burst; LargestExcess is in tokens.
	OverAdmissions int     `json:"over_admissions"`
	MaxExcess      float64 `json:"largest_excess"`
	// WrongfulPercent counts the refusals at whose moment an ideal bucket fed with the actual admissions had a token, in per
	// cent of the requests of customers within their rate. WrongfulOverloadPercent is the same for the others.
	WrongfulPercent         float64 `json:"wrongful_percent"`
	WrongfulOverloadPercent float64 `json:"wrongful_overload_percent"`
	// WorstSharePercent is the least over the customers of admitted requests in per cent of what one ideal bucket would
	// have admitted of the same arrivals.
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

// measure computes the figures from outcomes in any order. Over-admission is left to the caller.
func measure(outcomes []outcome, overloaded func(customer int) bool) Measures {
	m := Measures{Requests: len(outcomes), WorstSharePercent: 100}
	var within, over, wrongWithin, wrongOver int
	for i := range customers {
		own := slices.DeleteFunc(slices.Clone(outcomes), func(o outcome) bool { return o.customer != i })
		wrong := countWrongfulRejections(own, customers[i].limits)
		if overloaded(i) {
			over += len(own)
			wrongOver += wrong
		} else {
			within += len(own)
			wrongWithin += wrong
		}
		sharePercent := entitlementPercent(own, customers[i].limits)
		m.WorstSharePercent = min(m.WorstSharePercent, sharePercent)
		m.Customers = append(m.Customers, customerMeasures{
			Customer: customers[i].name, Requests: len(own), WrongfulPercent: percent(wrong, len(own)), SharePercent: sharePercent,
		})
	}
	m.WrongfulPercent = percent(wrongWithin, within)
	m.WrongfulOverloadPercent = percent(wrongOver, over)
	return m
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

var origin = time.Unix(0, 0)

// wrongful counts the refusals at whose moment the ideal bucket had a token.
func countWrongfulRejections(outcomes []outcome, limits ratelimit.Limits) int {
	slices.SortStableFunc(outcomes, func(a, b outcome) int { return int(a.decidedAt - b.decidedAt) })
	ideal := ratelimit.NewChecker(origin, limits)
	count := 0
	for _, o := range outcomes {
		at := origin.Add(o.decidedAt)
		if o.allowed {
			ideal.Admitted(at)
		} else if ideal.HasToken(at) {
			count++
		}
	}
	return count
}

// share is what was admitted in per cent of what one ideal bucket would have admitted.
func entitlementPercent(outcomes []outcome, limits ratelimit.Limits) float64 {
	slices.SortStableFunc(outcomes, func(a, b outcome) int { return int(a.arrivedAt - b.arrivedAt) })
	ideal := ratelimit.NewChecker(origin, limits)
	entitled, admitted := 0, 0
	for _, o := range outcomes {
		if o.allowed {
			admitted++
		}
		if at := origin.Add(o.arrivedAt); ideal.HasToken(at) {
			ideal.Admitted(at)
			entitled++
		}
	}
	return percent(admitted, max(1, entitled))
}

// checkBound replays the admissions.
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
	m.MaxExcess = result.LargestExcess
}

// Wrongful returns the wrongful refusals in per cent of the requests of customers within their rate.
func WrongfulRejections(m *Measures) float64 { return m.WrongfulPercent }

// WorstShare returns the worst-served customer's share of its entitlement in per cent.
func WorstShare(m *Measures) float64 { return m.WorstSharePercent }
