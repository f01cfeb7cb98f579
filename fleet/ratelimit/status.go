package ratelimit

import (
	"slices"
	"strings"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// HeldStatus describes a slice that this host holds.
type HeldStatus struct {
	Customer string
	// RateShare and BurstShare are fractions of the customer's limits, between 0 and 1.
	RateShare, BurstShare float64
	// Tokens is the number of requests that can be admitted at once, borrowed tokens included.
	Tokens float64
	// Demand is in requests per second.
	Demand float64
}

// LoanStatus describes what an owner counts as lent to one holder. Shares are fractions of the customer's limits, Demand is
// in requests per second.
type LoanStatus struct {
	Holder                fleet.Identity
	RateShare, BurstShare float64
	Demand                float64
}

// OwnedStatus describes a customer that this host owns.
type OwnedStatus struct {
	Customer string
	// Granting is false while the owner waits until the slices of a former owner are reported or have expired.
	Granting bool
	// ReserveTokens is in requests.
	ReserveTokens float64
	Loans         []LoanStatus
}

// Status describes a limiter for the admin page, as JSON under the names of its fields.
type Status struct {
	// Epoch is the number of the epoch that the limiter uses.
	Epoch uint64
	// Missing are the members whose complete report has not arrived at this host.
	Missing []fleet.HostID
	// Held and Owned are sorted by customer.
	Held  []HeldStatus
	Owned []OwnedStatus
	// Decisions counts the decisions since the start of the process by reason.
	Decisions map[Reason]uint64
	// Borrows and Renewals count the calls to owners since the start of the process.
	Borrows, Renewals uint64
}

// Status returns the state of the limiter. It locks one shard of the customers at a time, so the values may be from slightly
// different moments.
func (l *Limiter) Status() Status {
	status := Status{
		Decisions: make(map[Reason]uint64),
		Borrows:   l.borrows.Load(),
		Renewals:  l.renewals.Load(),
	}
	if view := l.current.Load(); view != nil {
		status.Epoch = view.Epoch.Number
	}
	for i := range l.shards {
		l.shards[i].addStatus(l, &status)
	}
	status.Missing = l.owned.missing()
	l.owned.each(func(customer string, owner *Owner) bool {
		status.Owned = append(status.Owned, owner.status(customer, l))
		return true
	})
	slices.SortFunc(status.Held, func(a, b HeldStatus) int { return strings.Compare(a.Customer, b.Customer) })
	slices.SortFunc(status.Owned, func(a, b OwnedStatus) int { return strings.Compare(a.Customer, b.Customer) })
	return status
}

// addStatus adds the customers and decisions of a shard to status.
func (s *shard) addStatus(l *Limiter, status *Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.options.Clock.Now()
	for customer, c := range s.customers {
		c.holder.expire(now)
		status.Held = append(status.Held, HeldStatus{
			Customer:   customer,
			RateShare:  shareFraction(c.holder.rate),
			BurstShare: shareFraction(c.holder.burst),
			Tokens:     (c.holder.bucket.Tokens(now) + c.holder.borrowed) * c.holder.limits.Burst,
			Demand:     float64(c.demand),
		})
	}
	for reason, count := range s.decisions {
		if count > 0 {
			status.Decisions[Reason(reason)] += count
		}
	}
}

func (o *ownedCustomers) missing() []fleet.HostID {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.history) == 0 {
		return nil
	}
	return o.history[len(o.history)-1].missing()
}

func (o *Owner) status(customer string, l *Limiter) OwnedStatus {
	now := l.options.Clock.Now()
	o.expireLoans(now)
	status := OwnedStatus{Customer: customer, Granting: o.granting, ReserveTokens: o.reserve.Tokens(now) * o.limits.Burst}
	for i := range o.loans {
		loan := &o.loans[i]
		status.Loans = append(status.Loans, LoanStatus{
			Holder:     loan.holder,
			RateShare:  shareFraction(loan.rate),
			BurstShare: shareFraction(loan.burst),
			Demand:     float64(loan.demand),
		})
	}
	return status
}
