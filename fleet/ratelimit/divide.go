package ratelimit

// Policy of the division. The figures were chosen by measurement with bench/fleetbench.
const (
	// reserveShare is the least share of the rate that stays in the reserve when demand exceeds the rate.
	minReserveRate = 0.04
	// headroom multiplies measured demand, for its noise.
	demandHeadroom = 1.2
	// reserveBurst is the least share of the burst that slices leave in the reserve, and reserveRequests the least in
	// requests. Without them a small burst would be lent out whole, and the reserve would lose refill for each request that
	// borrows.
	minReserveBurst    = 0.25
	minReserveRequests = 6
	// burstPerRate is a slice's share of the burst for each share of the rate.
	burstPerRate = 0.5
	// leastSliceDemand is the demand in requests per second from which a holder gets a slice, and keepSliceDemand the one
	// down to which it keeps it. Below, requests borrow one token each.
	minSliceDemand     = 3
	minKeptSliceDemand = 2
	// leastEvenBurst is the burst in requests that each holder must get of an even division of what may be lent. With less,
	// nobody gets a slice: the first to ask would strand the tokens that the others need.
	minEvenBurst = 1.5
	// fullBurst is the burst of a slice, in requests, per unit of headroom. A small bucket is often full, and the refill that
	// it loses is missed elsewhere, so a small slice gets less than the demand, but at least smallHeadroom of it; the rest is
	// borrowed.
	fullSliceBurst   = 6
	minSliceHeadroom = 0.5
	// confirmBorrowed is the borrowed part of the burst above which a borrow has to be confirmed. Borrowed tokens that are
	// used still count against the burst until the holder reports, and with many hosts that is most of a small burst.
	confirmBorrowThreshold = 0.0625
	// leastSliceBurst is the smallest burst of a slice in requests. A slice that cannot hold one token strands its tokens.
	minSliceBurst = 2
)

// divideMaxMin divides total among the demands with max-min fairness: nobody gets more than its demand, and what is short
// is shared equally by those whose demand is not met. The result is written to shares, which has the length of demands.
func divideMaxMin(total float64, demands, shares []float64) {
	open := 0
	for i, demand := range demands {
		shares[i] = -1
		if demand <= 0 {
			shares[i] = 0
			continue
		}
		open++
	}
	for open > 0 {
		level := total / float64(open)
		satisfied := 0
		for i, demand := range demands {
			if shares[i] < 0 && demand <= level {
				shares[i] = demand
				total -= demand
				satisfied++
			}
		}
		if satisfied == 0 {
			fillOpen(shares, level)
			return
		}
		open -= satisfied
	}
}

func fillOpen(shares []float64, level float64) {
	for i := range shares {
		if shares[i] < 0 {
			shares[i] = level
		}
	}
}

// targetRate returns the share of the rate that the holder at index i should have, given the demands of all holders in
// shares of the rate.
func targetRate(demands []float64, i int) float64 {
	if demands[i] <= 0 {
		return 0
	}
	const inline = 16
	var buffer [inline]float64
	shares := buffer[:]
	if len(demands) > inline {
		shares = make([]float64, len(demands))
	}
	shares = shares[:len(demands)]
	divideMaxMin(1-minReserveRate, demands, shares)
	return shares[i]
}
