package dispatch

import (
	"hash/fnv"
	"slices"

	"github.com/bronzeyard/bronzeyard/settings"
)

// MaxHints is the number of upstreams that each list of hints of a Request has at most. With two full lists, an ask stays far below the
// size of a datagram.
const MaxHints = 8

// HashOf returns the hash by which hints name an upstream. Two upstreams of a service may have the same hash; a hint then applies to both.
func HashOf(id settings.UpstreamID) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()
}

// isConnected reports whether the asking host has an idle connection to the upstream.
func (r *Request) isConnected(u *upstream) bool { return slices.Contains(r.Connected, u.hash) }

// isUnreachable reports whether the asking host could not connect to the upstream lately.
func (r *Request) isUnreachable(u *upstream) bool { return slices.Contains(r.Unreachable, u.hash) }
