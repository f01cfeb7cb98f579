package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostID names a host across restarts.
type HostID string

// Incarnation is a random number drawn at each process start. A restarted process is a different member.
type Incarnation uint64

// MemberState is the state of a member of an epoch.
type MemberState int

// The states of a member.
const (
	// Active members own customers, operation slots and services.
	Active MemberState = iota + 1
	// Leaving members own nothing and are in no address answer, but still serve.
	Leaving
)

// Member is one host process of an epoch.
type Member struct {
	ID          HostID
	Incarnation Incarnation
	// PeerAddress and CallerAddress are IP number and port.
	PeerAddress   string
	CallerAddress string
	DataCentre    string
	// Capacity weights ownership and address answers; 1 is a host of ordinary size.
	Capacity float64
	State    MemberState
}

// Identity names one process of a host.
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

// Majority is the number of members that forms a majority of the epoch.
func (e *Epoch) Majority() int { return len(e.Members)/2 + 1 }

// Owner returns the member that owns the key, by weighted rendezvous hashing over the active members. The result depends
// only on the epoch and the key. It returns false if the epoch has no active member.
func (e *Epoch) Owner(key string) (Member, bool) {
	ranked := e.Ranked(key, 1)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// Ranked returns up to n active members in the order of their rendezvous score for the key.
func (e *Epoch) Ranked(key string, n int) []Member {
	type scored struct {
		member Member
		score  float64
	}
	candidates := make([]scored, 0, len(e.Members))
	for _, m := range e.Members {
		if m.State != Active {
			continue
		}
		candidates = append(candidates, scored{member: m, score: score(key, &m)})
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return compareIDs(a.member.ID, b.member.ID)
		}
	})
	n = min(n, len(candidates))
	members := make([]Member, n)
	for i := range members {
		members[i] = candidates[i].member
	}
	return members
}

func compareIDs(a, b HostID) int {
	if a < b {
		return -1
	}
	return 1
}

// score implements weighted rendezvous hashing: -capacity/ln(u) with u uniform in (0, 1) from the hash of key and host.
func score(key string, m *Member) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(m.ID))
	const mantissaBits = 53
	u := (float64(d.Sum64()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -m.Capacity / math.Log(u)
}

// View is what a host may act on at one moment. A View is immutable.
type View struct {
	Self  Identity
	Epoch Epoch
	// Guest is true for a host that serves without being a member of the epoch.
	Guest bool
	// ActiveUntil is the end of the activity lease on the host's lease clock.
	ActiveUntil time.Time
	// FreeAt is the time from which what excluded members of earlier epochs held is free, on the host's lease clock.
	FreeAt time.Time
	// LearnedAt is the time at which the host learned this epoch, on its lease clock.
	LearnedAt time.Time
}

// ActiveAt reports whether the host may do exclusive work at the given time.
func (v *View) ActiveAt(now time.Time) bool { return now.Before(v.ActiveUntil) }

// Owns reports whether the host itself owns the key in the view's epoch.
func (v *View) Owns(key string) bool {
	owner, ok := v.Epoch.Owner(key)
	return ok && !v.Guest && owner.Identity() == v.Self
}

// ViewSource provides the current view. Implementations are safe for concurrent use and cheap to call.
type ViewSource interface {
	View() *View
}
