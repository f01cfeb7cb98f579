// Package rendezvous computes the scores of rendezvous hashing for pairs of an upstream and a host. The scores depend on the
// ids alone, so all hosts agree, without communication, on which hosts use an upstream and in which order.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of an upstream and a host. It is the same on every host. For a given upstream the scores put the
// hosts in a pseudo-random order, and for a given host the upstreams.
func Score(upstream, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(upstream) // documented to return no error
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Weighted returns the score of a pair for hosts with different weights. The host with the highest score among those of a set is chosen
// with a probability in proportion to its weight, and a change of the weight of one host moves only pairs to or from that host.
func Weighted(upstream, host string, weight float64) float64 {
	// The score is mapped to the inside of (0, 1), where the logarithm is neither 0 nor infinite.
	const bits = 53
	u := (float64(Score(upstream, host)>>(64-bits)) + 0.5) / (1 << bits)
	return -weight / math.Log(u)
}
