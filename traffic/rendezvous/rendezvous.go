// Package rendezvous computes the scores of rendezvous hashing for pairs of an upstream and a host. The scores depend on the
// ids alone, so all hosts agree, without communication, on which hosts use an upstream and in which order.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the score of an upstream and a host. It is the same on every host. For a given upstream the scores put the
// hosts in a pseudo-random order, and for a given host the upstreams.
func Score(upstream, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(upstream) // documented to return no error
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}
