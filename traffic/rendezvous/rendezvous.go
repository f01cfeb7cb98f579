// Package rendezvous scores pairs of an upstream and a host for rendezvous hashing: who uses which, and in which order,
// follows from the ids alone, so that all hosts agree on it without a message.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score is the same at every host. For one upstream the scores order the hosts at random, and for one host the upstreams.
func Score(upstream, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(upstream) // never fails, as documented
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}
