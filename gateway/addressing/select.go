package addressing

import (
	"cmp"
	"math"
	"slices"

	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

// Host is a live host of the caller's data centre.
type Host struct {
	ID      string
	Address string
	// Capacity is the rate of requests that the host can serve, in any unit; 0 if not known.
	Capacity float64
}

const (
	// unevenRatio is the ratio of the greatest to the smallest capacity from which hosts are weighted.
	unevenRatio = 2
	// minListed is the minimum number of addresses in a list. If 55 % of the hosts die at once, 0.8 % of the lists with eight addresses
	// hold no live one.
	minListed = 8
	// saturation determines the length of lists. A host of the greatest capacity is then listed for 1-exp(-saturation) of the callers.
	// Per capacity, the smallest hosts get at most saturation/(1-exp(-saturation)) = 1.58 times the callers of the largest.
	saturation = 1
)

// Uneven reports whether the hosts are weighted: the greatest known capacity is at least unevenRatio times the smallest.
func Uneven(hosts []Host) bool {
	smallest, greatest, _ := capacities(hosts)
	return greatest > 0 && greatest >= unevenRatio*smallest
}

// capacities returns the smallest, the greatest and the mean of the known capacities; 0 if none is known.
func capacities(hosts []Host) (smallest, greatest, mean float64) {
	smallest = math.Inf(1)
	known := 0
	for i := range hosts {
		if c := hosts[i].Capacity; c > 0 {
			smallest, greatest, mean = min(smallest, c), max(greatest, c), mean+c
			known++
		}
	}
	if known == 0 {
		return 0, 0, 0
	}
	return smallest, greatest, mean / float64(known)
}

// Select returns the addresses for a caller, at most limit of them. The caller is its IP address, without a port. Hosts that are not
// uneven are returned in the order in which they are given. Of uneven hosts, the ones with the highest scores are returned, in that
// order.
func Select(hosts []Host, caller string, limit int) []string {
	if !Uneven(hosts) {
		return addresses(hosts[:min(limit, len(hosts))])
	}
	_, _, mean := capacities(hosts)
	type scored struct {
		index int
		score float64
	}
	order := make([]scored, len(hosts))
	for i := range hosts {
		order[i] = scored{index: i, score: rendezvous.Weighted(caller, hosts[i].ID, capacityOr(&hosts[i], mean))}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(hosts[a.index].ID, hosts[b.index].ID))
	})
	selected := make([]string, 0, limit)
	for _, s := range order[:Length(hosts, limit)] {
		selected = append(selected, hosts[s.index].Address)
	}
	return selected
}

// Length returns the number of addresses in each list, at most limit.
//
// The scores of a caller are like the inverses of times that are exponentially distributed with the capacities as rates, and a list
// holds the hosts with the earliest times. A host of capacity c is thus listed with the probability 1-exp(-c*t), which is in proportion
// to c while c*t is small: in long lists, the large hosts are in every list, and the weights no longer show. Length is the expected
// number of hosts for the t at which the exponent of the largest host is saturation. One host that starts or ends changes it by one at
// most, unless it is the only one of the greatest capacity.
func Length(hosts []Host, limit int) int {
	limit = min(limit, len(hosts))
	if !Uneven(hosts) {
		return limit
	}
	_, greatest, mean := capacities(hosts)
	expected := 0.0
	for i := range hosts {
		expected -= math.Expm1(-saturation * capacityOr(&hosts[i], mean) / greatest)
	}
	return min(limit, max(minListed, int(expected)))
}

// Share returns the share of a host in the capacity of all hosts; 0 if it is not one of them or no capacity is known.
func Share(hosts []Host, id string) float64 {
	_, _, mean := capacities(hosts)
	own, sum := 0.0, 0.0
	for i := range hosts {
		c := capacityOr(&hosts[i], mean)
		sum += c
		if hosts[i].ID == id {
			own = c
		}
	}
	if sum == 0 {
		return 0
	}
	return own / sum
}

// capacityOr returns the capacity of a host, or the given one if it is not known.
func capacityOr(h *Host, unknown float64) float64 {
	if h.Capacity > 0 {
		return h.Capacity
	}
	return unknown
}

func addresses(hosts []Host) []string {
	list := make([]string, len(hosts))
	for i := range hosts {
		list[i] = hosts[i].Address
	}
	return list
}
