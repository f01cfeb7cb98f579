package ratelimit

// Policy of the division. bench/fleetbench measures the effect of these values.
const (
	// minReserveRate is the share of the rate that stays in the reserve at least, also when demand exceeds the rate.
	minReserveRate = 0.04
	// demandHeadroom is the factor by which slices exceed measured demand, to allow for its noise.
	demandHeadroom = 1.2
	// minReserveBurst is the share of the burst that slices leave in the reserve at least, and minReserveRequests the same
	// bound in requests; the larger applies. Without them a small burst would be lent out whole, and the reserve would lose
	// refill for each request that borrows.
	minReserveBurst    = 0.25
	minReserveRequests = 6
	// burstPerRate is the ratio of a slice's share of the burst to its share of the rate.
	burstPerRate = 0.5
	// minSliceDemand is the demand, in requests per second, from which a holder gets a slice, and minKeptSliceDemand the
	// demand down to which it keeps the slice. Without a slice, requests borrow one token each.
	minSliceDemand     = 3
	minKeptSliceDemand = 2
	// minEvenBurst is the burst, in requests, that each holder must get if what may be lent is divided evenly. With less,
	// no holder gets a slice: the first to report would hold unused tokens that the others need.
	minEvenBurst = 1.5
	// fullSliceBurst is the burst of a slice, in requests, per unit of headroom. A small bucket is often full and then loses
	// refill that other holders need. A small slice therefore gets less than the demand, but at least minSliceHeadroom times
	// the demand; the rest is borrowed.
	fullSliceBurst   = 6
	minSliceHeadroom = 0.5
	// confirmBorrowThreshold is the borrowed fraction of the burst above which the holder must report soon after a borrow.
	// Borrowed tokens that have been used count against the burst until the holder reports, and with many hosts they are
	// most of a small burst.
	confirmBorrowThreshold = 0.0625
	// minSliceBurst is the smallest burst of a slice, in requests. The tokens of a slice that cannot hold a whole one are
	// never used.
	minSliceBurst = 2
)

// divideMaxMin divides total among the demands with max-min fairness: no share exceeds its demand, and the shares whose
// demand is not met are equal. It writes the result to shares, which has the length of demands.
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

// fillOpen sets the shares that are still open, marked by a negative value, to level.
func fillOpen(shares []float64, level float64) {
	for i := range shares {
		if shares[i] < 0 {
			shares[i] = level
		}
	}
}

// targetRate returns the share of the rate for the holder at index i. demands are the demands of all holders as fractions of
// the rate.
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
