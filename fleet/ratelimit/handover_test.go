package ratelimit

import (
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
