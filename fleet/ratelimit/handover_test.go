package ratelimit

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests that are refused while the ownership of their customer changes hands, although the new owner is
// about to lend: here it is out of reach for the first 300 ms of an epoch.
func TestLimiterWaitsForNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 10, Burst: 10})
		owner := f.ownerOf("zoo")
		setCut := func(cut bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.hosts[owner].cut = cut
		}
		setCut(true)
		time.AfterFunc(300*time.Millisecond, func() { setCut(false) })
		if d := f.hosts[1-owner].limiter.Admit(t.Context(), "zoo"); !d.Allowed {
			t.Errorf("decision %+v, want allowed", d)
		}
		setCut(true)
		if d := f.hosts[1-owner].limiter.waitForOwner(t.Context(), &f.hosts[1-owner].limiter.shards[shardIndex("zoo")], "zoo", Decision{Reason: Unavailable}); d.Allowed {
			t.Errorf("decision %+v without a token", d)
		}
		f.stop()
	})
}

// Guards against customers that are refused for hours because their owner was lost while the table is down: nobody can take
// its place, so the slices have to last, and the sum of admissions still has to stay within the limit.
func TestSlicesOutlastALostOwnerWithoutNewEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 100, Burst: 100})
		owner := f.ownerOf("zoo")
		f.load([]int{1 - owner}, "zoo", 50, 3*time.Second)
		f.mu.Lock()
		f.hosts[owner].cut = true
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

// Guards against requests that are refused for the rest of the backoff after a failed call although the owner has answered a
// renewal meanwhile, and against a refusal as rate limited that no owner has decided: here the call fails at 450 ms, the backoff
// ends at 550 ms, and the renewal of 500 ms reaches the owner.
func TestAnswerEndsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 10, Burst: 10})
		owner := f.ownerOf("zoo")
		host := f.hosts[1-owner]
		setCut := func(cut bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.hosts[owner].cut = cut
			// No new epoch is a reason to wait.
			host.view.LearnedAt = time.Now().Add(-handoverWindow)
		}
		setCut(true)
		time.Sleep(250 * time.Millisecond)
		if d := host.limiter.Admit(t.Context(), "zoo"); d.Reason != Unavailable {
			t.Errorf("decision %+v without an answer of the owner, want unavailable", d)
		}
		time.Sleep(160 * time.Millisecond)
		setCut(false)
		if d := host.limiter.Admit(t.Context(), "zoo"); d.Reason != Unavailable || d.RetryAfter != 90*time.Millisecond {
			t.Errorf("decision %+v 90 ms before the end of the backoff, want unavailable until then", d)
		}
		time.Sleep(60 * time.Millisecond)
		if d := host.limiter.Admit(t.Context(), "zoo"); !d.Allowed {
			t.Errorf("decision %+v after the owner's answer, want allowed", d)
		}
		f.stop()
		f.checkBound(t)
	})
}

// Guards against a renewal that replaces the owner's refusal: the customer is over its limit until the time that the owner has
// stated. After a failed renewal a shorter retry time would bring the callers back too early, and after an answered one the
// holder would ask before its turn. The owner refuses at 254 ms, and the renewal of 500 ms fails at 700 ms or is answered at once.
func TestRenewalKeepsRefusal(t *testing.T) {
	for _, cut := range []bool{true, false} {
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
			f.hosts[owner].cut = cut
			// No new epoch is a reason to wait.
			host.view.LearnedAt = time.Now().Add(-handoverWindow)
			f.mu.Unlock()
			for _, wait := range []time.Duration{500 * time.Millisecond, 100 * time.Millisecond} {
				time.Sleep(wait)
				if d := host.limiter.Admit(t.Context(), "zoo"); d.Reason != RateLimited || d.RetryAfter != time.Until(due) {
					t.Errorf("owner out of reach: %v: decision %+v after a renewal, want rate limited for %v", cut, d, time.Until(due))
				}
			}
			if got := host.limiter.Status().Borrows; got != borrows {
				t.Errorf("owner out of reach: %v: asked %d times before its time", cut, got-borrows)
			}
			f.stop()
			f.checkBound(t)
		})
	}
}

// Guards against a customer whose many requests take all the places of the wait for a new owner, so that those of a customer
// within its rate are refused at once: here the owners are out of reach for the first 300 ms of an epoch.
func TestOneCustomerLeavesPlacesToWait(t *testing.T) {
	for _, limits := range []Limits{{Rate: 10, Burst: 10}, {Rate: 10_000, Burst: 10_000}} {
		t.Run(fmt.Sprint("rate ", limits.Rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(2, limits)
				owner := f.ownerOf("zoo")
				host := f.hosts[1-owner].limiter
				setCut := func(cut bool) {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.hosts[owner].cut = cut
				}
				quiet := "quiet-0"
				for i := 1; f.ownerOf(quiet) != owner; i++ {
					quiet = fmt.Sprint("quiet-", i)
				}
				setCut(true)
				var requests sync.WaitGroup
				for range 2 * maxHandoverWaiters {
					requests.Go(func() { host.Admit(t.Context(), "zoo") })
				}
				time.Sleep(2 * BorrowWait)
				time.AfterFunc(200*time.Millisecond, func() { setCut(false) })
				if d := host.Admit(t.Context(), quiet); !d.Allowed {
					t.Errorf("decision %+v beside many requests of another customer, want allowed", d)
				}
				requests.Wait()
				f.stop()
				f.checkBound(t)
			})
		})
	}
}
