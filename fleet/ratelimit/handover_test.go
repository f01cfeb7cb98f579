package ratelimit

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Guards against requests that are rejected during a handover although the new owner lends soon. Here the owner is unreachable
// for the first 300 ms of an epoch.
func TestLimiterWaitsForNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 10, Burst: 10})
		owner := f.ownerOf("zoo")
		setIsolated := func(isolated bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.hosts[owner].isolated = isolated
		}
		setIsolated(true)
		time.AfterFunc(300*time.Millisecond, func() { setIsolated(false) })
		if d := f.hosts[1-owner].limiter.Admit(t.Context(), "zoo"); !d.Allowed {
			t.Errorf("decision %+v, want allowed", d)
		}
		setIsolated(true)
		if d := f.hosts[1-owner].limiter.waitForOwner(t.Context(), &f.hosts[1-owner].limiter.shards[shardIndex("zoo")], "zoo", Decision{Reason: Unavailable}); d.Allowed {
			t.Errorf("decision %+v without a token", d)
		}
		f.stop()
	})
}

// Guards against requests that are rejected for hours because the owner of their customer was lost while the table is down. No
// other host can replace the owner, so the slices must stay valid. The admissions must still stay within the limit.
func TestSlicesLastWithoutOwnerInSameEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 100, Burst: 100})
		owner := f.ownerOf("zoo")
		f.load([]int{1 - owner}, "zoo", 50, 3*time.Second)
		f.mu.Lock()
		f.hosts[owner].isolated = true
		f.mu.Unlock()
		f.load([]int{1 - owner}, "zoo", 50, time.Minute)
		allowed := 0
		for range 100 {
			if f.hosts[1-owner].limiter.Admit(t.Context(), "zoo").Allowed {
				allowed++
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.stop()
		if allowed < 90 {
			t.Errorf("%d of 100 requests at half of the rate allowed, want at least 90", allowed)
		}
	})
}

// Guards against requests that are rejected for the rest of the backoff after a failed call although the owner has responded to
// a renewal meanwhile. Also guards against requests that are rejected as rate limited although no owner has denied a borrow.
// Here the call fails at 450 ms, the backoff ends at 550 ms, and the renewal at 500 ms reaches the owner.
func TestResponseEndsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 10, Burst: 10})
		owner := f.ownerOf("zoo")
		host := f.hosts[1-owner]
		setIsolated := func(isolated bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.hosts[owner].isolated = isolated
			// The epoch is too old to be a reason to wait.
			host.view.LearnedAt = time.Now().Add(-handoverWindow)
		}
		setIsolated(true)
		time.Sleep(250 * time.Millisecond)
		if d := host.limiter.Admit(t.Context(), "zoo"); d.Reason != Unavailable {
			t.Errorf("decision %+v without a response of the owner, want unavailable", d)
		}
		time.Sleep(160 * time.Millisecond)
		setIsolated(false)
		if d := host.limiter.Admit(t.Context(), "zoo"); d.Reason != Unavailable || d.RetryAfter != 90*time.Millisecond {
			t.Errorf("decision %+v 90 ms before the end of the backoff, want unavailable until then", d)
		}
		time.Sleep(60 * time.Millisecond)
		if d := host.limiter.Admit(t.Context(), "zoo"); !d.Allowed {
			t.Errorf("decision %+v after the owner's response, want allowed", d)
		}
		f.stop()
		f.checkBound(t)
	})
}

// Guards against a renewal that replaces the owner's denial: the customer is over its limit until the time that the owner has
// stated. After a failed renewal, a shorter retry time would make the callers return too early. After a successful one, the
// holder would try to borrow before its retry time. The owner denies the borrow at 254 ms. The renewal at 500 ms fails at
// 700 ms or succeeds at once.
func TestRenewalKeepsDenial(t *testing.T) {
	for _, isolated := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(2, Limits{Rate: 1, Burst: 1})
			owner := f.ownerOf("zoo")
			host := f.hosts[1-owner]
			time.Sleep(250 * time.Millisecond)
			if d := host.limiter.Admit(t.Context(), "zoo"); !d.Allowed {
				t.Errorf("decision %+v, want allowed", d)
			}
			d := host.limiter.Admit(t.Context(), "zoo")
			if d.Reason != RateLimited {
				t.Errorf("decision %+v without a token, want rate limited", d)
			}
			due, borrows := time.Now().Add(d.RetryAfter), host.limiter.Status().Borrows
			f.mu.Lock()
			f.hosts[owner].isolated = isolated
			// The epoch is too old to be a reason to wait.
			host.view.LearnedAt = time.Now().Add(-handoverWindow)
			f.mu.Unlock()
			for _, wait := range []time.Duration{500 * time.Millisecond, 100 * time.Millisecond} {
				time.Sleep(wait)
				if d := host.limiter.Admit(t.Context(), "zoo"); d.Reason != RateLimited || d.RetryAfter != time.Until(due) {
					t.Errorf("owner unreachable: %v: decision %+v after a renewal, want rate limited for %v", isolated, d, time.Until(due))
				}
			}
			if got := host.limiter.Status().Borrows; got != borrows {
				t.Errorf("owner unreachable: %v: tried to borrow %d times before the retry time", isolated, got-borrows)
			}
			f.stop()
			f.checkBound(t)
		})
	}
}

// leave issues the next epoch, in which a host is leaving and owns no customers.
func (f *testFleet) leave(host int) {
	f.mu.Lock()
	next := fleet.Epoch{Number: f.epoch.Number + 1, Members: slices.Clone(f.epoch.Members)}
	next.Members[host].State = fleet.Leaving
	f.epoch = next
	f.mu.Unlock()
	for _, h := range f.hosts {
		f.mu.Lock()
		old := h.view
		now := time.Now()
		h.view.Epoch, h.view.LearnedAt, h.view.TakeoverAt, h.view.RemovalTakeoverAt = next, now, now.Add(takeoverDelay), now
		latest := h.view
		f.mu.Unlock()
		h.limiter.OnView(&old, &latest)
	}
}

// Guards against a customer without requests so far whose first request is rejected as rate limited because the customer's new
// owner started with an empty reserve. A request must get its token if the token is due before the time-out. Otherwise it must
// be rejected at once, but not as rate limited.
func TestIdleCustomerAfterOwnerChange(t *testing.T) {
	for _, rate := range []float64{1, 2, 5, 10, 50} {
		for _, after := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprint("rate ", rate, " after ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(3, Limits{Rate: rate, Burst: 10})
					time.Sleep(3*time.Second + 33*time.Millisecond)
					former := f.ownerOf("zoo")
					f.leave(former)
					time.Sleep(after)
					start := time.Now()
					d := f.hosts[3-former-f.ownerOf("zoo")].limiter.Admit(t.Context(), "zoo")
					waited := time.Since(start)
					switch {
					case rate > 1 && !d.Allowed:
						t.Errorf("decision %+v after %v, want allowed", d, waited)
					case rate == 1 && (d.Reason != Unavailable || after+waited+d.RetryAfter < time.Second || waited > 200*time.Millisecond):
						t.Errorf("decision %+v after %v, want unavailable at once, until a token is due at 1 s", d, waited)
					}
					f.stop()
					f.checkBound(t)
				})
			})
		}
	}
}

// Guards against a customer within its rate whose short bursts are rejected as rate limited by a host with a slice. The reason
// is a new owner that does not grant yet, is unreachable for the first 250 ms, or started with an empty reserve.
func TestBurstAfterOwnerChange(t *testing.T) {
	for _, c := range []struct {
		after    time.Duration
		isolated bool
	}{{after: time.Millisecond}, {after: 50 * time.Millisecond}, {after: 150 * time.Millisecond}, {50 * time.Millisecond, true}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(3, Limits{Rate: 100, Burst: 100})
				former := f.ownerOf("zoo")
				hosts := []int{(former + 1) % 3, (former + 2) % 3}
				f.load(hosts, "zoo", 10, 5*time.Second)
				f.leave(former)
				host := f.hosts[3-former-f.ownerOf("zoo")]
				setIsolated := func(isolated bool) {
					f.mu.Lock()
					defer f.mu.Unlock()
					host.isolated = isolated
				}
				setIsolated(c.isolated)
				time.AfterFunc(250*time.Millisecond, func() { setIsolated(false) })
				time.Sleep(c.after)
				var requests sync.WaitGroup
				for range 20 {
					requests.Go(func() {
						if d := host.limiter.Admit(t.Context(), "zoo"); !d.Allowed {
							t.Errorf("decision %+v in a burst of 20, want allowed", d)
						}
					})
				}
				counts := f.load(hosts, "zoo", 10, 2*time.Second)
				requests.Wait()
				f.stop()
				f.checkBound(t)
				if counts[Allowed] != 40 {
					t.Errorf("decisions %v at a fifth of the rate, want 40 allowed", counts)
				}
			})
		})
	}
}

// Guards against requests that wait for a new owner although they cannot be admitted. While the owner is unreachable, these are
// the requests above burst and rate. After the owner has responded that its reserve is empty, they are those above the rate.
func TestUnservableRequestsAreRejectedAtOnce(t *testing.T) {
	for _, c := range []struct {
		isolated bool
		until    time.Duration
		want     int64
	}{{true, BorrowTimeout + handoverRetryInterval/2, 16}, {false, 10 * time.Millisecond, 6}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(3, Limits{Rate: 10, Burst: 10})
				former := f.ownerOf("zoo")
				f.leave(former)
				time.Sleep(150 * time.Millisecond)
				host := f.hosts[3-former-f.ownerOf("zoo")]
				f.mu.Lock()
				host.isolated = c.isolated
				f.mu.Unlock()
				var requests sync.WaitGroup
				for range 100 {
					requests.Go(func() { host.limiter.Admit(t.Context(), "zoo") })
				}
				time.Sleep(c.until)
				if got := host.limiter.handoverWaiters.Load(); got != c.want {
					t.Errorf("%d requests wait, want %d", got, c.want)
				}
				requests.Wait()
				f.stop()
				f.checkBound(t)
			})
		})
	}
}

// Guards against a customer over its limit whose requests are not rejected as rate limited because its owner once started with
// an empty reserve.
func TestDenialAfterRefill(t *testing.T) {
	start := time.Unix(1000, 0)
	limits := Limits{Rate: 10, Burst: 10}
	holder := fleet.Identity{ID: "a", Incarnation: 1}
	successor := NewSuccessorOwner(start, limits)
	successor.StartGranting(start)
	slow := NewOwner(start, Limits{Rate: 1, Burst: 1000}, 0)
	for _, c := range []struct {
		name  string
		owner *Owner
		after time.Duration
		want  bool
	}{
		{"full at the start", NewOwner(start, limits, 1), 0, false},
		{"empty", successor, 0, true},
		{"not yet refilled", successor, time.Second - 1, true},
		{"refilled and used", successor, time.Second, false},
		{"half of the burst", NewOwner(start, limits, 0.5), 500*time.Millisecond - 1, true},
		{"half of the burst, refilled", NewOwner(start, limits, 0.5), 500 * time.Millisecond, false},
		{"large burst", slow, handoverWindow - 1, true},
		{"large burst after the handover window", slow, handoverWindow, false},
	} {
		now := start.Add(c.after)
		c.owner.reserve.Take(now, c.owner.reserve.Tokens(now))
		need := ceilTokens(c.owner.limits.cost())
		grant := c.owner.Handle(now, holder, Report{Seq: uint64(now.UnixNano()), Need: need, Want: need}, SliceTTL)
		if grant.RetryAfter == 0 || grant.Refilling != c.want {
			t.Errorf("%s: grant %+v, want a denied borrow with refilling %v", c.name, grant, c.want)
		}
	}
}

// Guards against a customer whose many requests take all slots for requests that wait for a new owner, so that requests of a
// customer within its rate are rejected at once. Here the owners are unreachable for the first 300 ms of an epoch.
func TestOneCustomerLeavesHandoverWaitersToOthers(t *testing.T) {
	for _, limits := range []Limits{{Rate: 10, Burst: 10}, {Rate: 10_000, Burst: 10_000}} {
		t.Run(fmt.Sprint("rate ", limits.Rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(2, limits)
				owner := f.ownerOf("zoo")
				host := f.hosts[1-owner].limiter
				setIsolated := func(isolated bool) {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.hosts[owner].isolated = isolated
				}
				other := "quiet-0"
				for i := 1; f.ownerOf(other) != owner; i++ {
					other = fmt.Sprint("quiet-", i)
				}
				setIsolated(true)
				var requests sync.WaitGroup
				for range 2 * maxHandoverWaiters {
					requests.Go(func() { host.Admit(t.Context(), "zoo") })
				}
				time.Sleep(2 * BorrowTimeout)
				time.AfterFunc(200*time.Millisecond, func() { setIsolated(false) })
				if d := host.Admit(t.Context(), other); !d.Allowed {
					t.Errorf("decision %+v with many waiting requests of another customer, want allowed", d)
				}
				requests.Wait()
				f.stop()
				f.checkBound(t)
			})
		})
	}
}
