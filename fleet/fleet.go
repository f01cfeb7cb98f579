package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostID identifies a host across restarts.
type HostID string

// Incarnation is a random number that is generated at each process start. A restarted process is a different member.
type Incarnation uint64

// MemberState is the state of a member of an epoch.
type MemberState int

// The states of a member.
const (
	// Active members own customers, operation slots and services.
	Active MemberState = iota + 1
	// Leaving members own nothing and are in no address response, but still serve requests.
	Leaving
)

// Member is one host process of an epoch.
type Member struct {
	ID          HostID
	Incarnation Incarnation
	// PeerAddress and CallerAddress are IP address and port.
	PeerAddress   string
	CallerAddress string
	DataCentre    string
	// Capacity is the host's weight in ownership and address responses; 1 is a host of ordinary size.
	Capacity float64
	State    MemberState
}

// Identity identifies one process of a host.
type Identity struct {
	ID          HostID
	Incarnation Incarnation
}

// Identity returns the member's identity.
func (m *Member) Identity() Identity { return Identity{ID: m.ID, Incarnation: m.Incarnation} }

// Epoch is one version of the membership.
type Epoch struct {
	// Number grows by one with each change. 0 means that no epoch is known.
	Number uint64
	// Members are sorted by ID.
	Members []Member
	// WriteID identifies the write that stored this epoch.
	WriteID string
}

// Member returns the member with the given identity.
func (e *Epoch) Member(id Identity) (Member, bool) {
	i := slices.IndexFunc(e.Members, func(m Member) bool { return m.Identity() == id })
	if i < 0 {
		return Member{}, false
	}
	return e.Members[i], true
}

// Majority returns the minimum number of members that forms a majority of the epoch.
func (e *Epoch) Majority() int { return len(e.Members)/2 + 1 }

// Owner returns the member that owns the key. Owners are chosen by weighted rendezvous hashing over the active members, so the
// result depends only on the epoch and the key. Owner returns false if the epoch has no active member.
func (e *Epoch) Owner(key string) (Member, bool) {
	keyHash := xxhash.Sum64String(key)
	best, bestScore := -1, 0.0
	for i := range e.Members {
		member := &e.Members[i]
		if member.State != Active {
			continue
		}
		memberScore := score(keyHash, member)
		if best < 0 || memberScore > bestScore || memberScore == bestScore && member.ID < e.Members[best].ID {
			best, bestScore = i, memberScore
		}
	}
	if best < 0 {
		return Member{}, false
	}
	return e.Members[best], true
}

// Ranked returns up to n active members in the order of their rendezvous score for the key; the first is the owner.
func (e *Epoch) Ranked(key string, n int) []Member {
	type scored struct {
		member *Member
		score  float64
	}
	keyHash := xxhash.Sum64String(key)
	candidates := make([]scored, 0, len(e.Members))
	for i := range e.Members {
		if member := &e.Members[i]; member.State == Active {
			candidates = append(candidates, scored{member: member, score: score(keyHash, member)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.member.ID, b.member.ID)
	})
	members := make([]Member, min(n, len(candidates)))
	for i := range members {
		members[i] = *candidates[i].member
	}
	return members
}

// score implements weighted rendezvous hashing: -capacity/ln(u) with u uniform in (0, 1) from the hashes of key and host.
func score(keyHash uint64, m *Member) float64 {
	const mantissaBits = 53
	mixed := mix(keyHash ^ mix(xxhash.Sum64String(string(m.ID))))
	u := (float64(mixed>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -m.Capacity / math.Log(u)
}

// mix is the finalizer of MurmurHash3, which spreads every input bit over the whole word.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// View is the state of the membership that a host may act on at one moment. A View is immutable.
type View struct {
	Self  Identity
	Epoch Epoch
	// Learner is true if the host is not a member of the epoch. A learner has no vote and owns nothing, but may serve requests.
	// A host is a learner before it joins and after it was removed.
	Learner bool
	// ActiveUntil is the end of the activity lease on the host's lease clock.
	ActiveUntil time.Time
	// TakeoverAt is the takeover time, on the host's lease clock. From then on a new owner may take over what members of
	// earlier epochs held, because every lease in an earlier epoch has expired.
	TakeoverAt time.Time
	// RemovalTakeoverAt is the takeover time as far as hosts that were removed from the fleet require it. If only joins
	// separate the epochs and all members are known to have the newest one, nothing is held under an older epoch after this
	// time. The zero time stands for TakeoverAt.
	RemovalTakeoverAt time.Time
	// LearnedAt is the time at which the host learned this epoch, on its lease clock.
	LearnedAt time.Time
}

// ActiveAt reports whether the host may do exclusive work at the given time.
func (v *View) ActiveAt(now time.Time) bool { return now.Before(v.ActiveUntil) }

// Owns reports whether the host owns the key in the view's epoch.
func (v *View) Owns(key string) bool {
	owner, ok := v.Epoch.Owner(key)
	return ok && !v.Learner && owner.Identity() == v.Self
}

// ViewSource provides the current view. Implementations are safe for concurrent use and cheap to call.
type ViewSource interface {
	View() *View
}
