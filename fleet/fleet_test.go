package fleet

import (
	"fmt"
	"math"
	"testing"
)

func epochOf(n int, capacity func(i int) float64) Epoch {
	epoch := Epoch{Number: 1}
	for i := range n {
		epoch.Members = append(epoch.Members, Member{
			ID: HostID(fmt.Sprintf("host-%02d", i)), Incarnation: Incarnation(i + 1), Capacity: capacity(i), State: Active,
		})
	}
	return epoch
}

func ordinary(int) float64 { return 1 }

// TestOwnerFollowsCapacity guards against ownership that ignores capacity: a host with twice the capacity must own about twice
// as many keys.
func TestOwnerFollowsCapacity(t *testing.T) {
	epoch := epochOf(8, func(i int) float64 { return 1 + float64(i%2) })
	const keys = 24_000
	owned := make(map[HostID]int)
	for i := range keys {
		owner, _ := epoch.Owner(fmt.Sprint("customer-", i))
		owned[owner.ID]++
	}
	for _, m := range epoch.Members {
		want := keys * m.Capacity / 12
		if got := float64(owned[m.ID]); math.Abs(got-want)/want > 0.1 {
			t.Errorf("%s with capacity %g owns %g keys, want about %g", m.ID, m.Capacity, got, want)
		}
	}
}

// TestOwnerMovesOnlyKeysOfTheLeavingHost guards against a change of membership that moves a key between two hosts that both
// remain active.
func TestOwnerMovesOnlyKeysOfTheLeavingHost(t *testing.T) {
	before := epochOf(16, ordinary)
	after := epochOf(16, ordinary)
	after.Members[3].State = Leaving
	for i := range 5_000 {
		key := fmt.Sprint("customer-", i)
		was, _ := before.Owner(key)
		is, _ := after.Owner(key)
		if was.ID != "host-03" && was.ID != is.ID {
			t.Fatalf("key %s moved from host %s to %s, neither of which is leaving", key, was.ID, is.ID)
		}
		if is.ID == "host-03" {
			t.Fatalf("the leaving host owns key %s", key)
		}
	}
}

// TestOwnerWithoutActiveMember guards against ownership by a leaving member if the epoch has no active one.
func TestOwnerWithoutActiveMember(t *testing.T) {
	epoch := epochOf(1, ordinary)
	epoch.Members[0].State = Leaving
	if owner, ok := epoch.Owner("x"); ok {
		t.Errorf("owner %v in an epoch without active members, want none", owner)
	}
}

func BenchmarkOwner(b *testing.B) {
	epoch := epochOf(16, ordinary)
	b.ReportAllocs()
	for b.Loop() {
		epoch.Owner("customer-4711")
	}
}
