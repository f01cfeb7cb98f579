package ratelimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
)

// faults makes calls fail at random: a request or a response is lost, or a request is handled twice or late.
type faults struct{ random *rand.Rand }

// intN returns a random number below n. The caller holds the lock of the fleet.
func (f *faults) intN(n int) int { return f.random.IntN(n) }

// callWithFaults makes a call to another host with random faults.
func (h *testHost) callWithFaults(ctx context.Context, to *testHost, req, resp proto.Message) error {
	h.fleet.mu.Lock()
	lose, duplicate, delay := h.fleet.faults.intN(10), h.fleet.faults.intN(10), h.fleet.faults.intN(10)
	lateness := time.Duration(h.fleet.faults.intN(400)) * time.Millisecond
	h.fleet.mu.Unlock()
	if lose == 0 {
		<-ctx.Done()
		return peer.ErrNoResponse
	}
	if duplicate == 0 {
		copied := proto.Clone(req)
		time.AfterFunc(lateness, func() { _, _ = to.handler(context.Background(), h.member.Identity(), copied) })
	}
	time.Sleep(time.Millisecond)
	if delay == 0 {
		time.Sleep(lateness)
	}
	response, err := to.handler(ctx, h.member.Identity(), req)
	if err != nil {
		return err
	}
	if lose == 1 {
		<-ctx.Done()
	}
	time.Sleep(time.Millisecond)
	if ctx.Err() != nil {
		return peer.ErrNoResponse
	}
	proto.Merge(resp, response)
	return nil
}

// replace issues an epoch in which a host has been replaced by a new process. The old process stays active until its lease
// ends. The other hosts learn the epoch one by one. Until then they use the old one, for as long as their lease lasts.
func (f *testFleet) replace(ctx context.Context, host int, lease time.Duration) {
	f.mu.Lock()
	old := f.hosts[host]
	issued := time.Now()
	next := fleet.Epoch{Number: f.epoch.Number + 1}
	for _, m := range f.epoch.Members {
		if m.ID == old.member.ID {
			m.Incarnation++
		}
		next.Members = append(next.Members, m)
	}
	f.epoch = next
	for _, h := range f.hosts {
		if end := issued.Add(leaseTTL); end.Before(h.view.ActiveUntil) {
			h.view.ActiveUntil = end
		}
	}
	if end := issued.Add(lease); end.Before(old.view.ActiveUntil) {
		old.view.ActiveUntil = end
	}
	replacement := &testHost{fleet: f, member: next.Members[host]}
	f.hosts[host] = replacement
	f.formerHosts = append(f.formerHosts, old)
	f.mu.Unlock()
	replacement.learn(next)
	replacement.limiter = New(Options{
		Views: replacement, Caller: replacement, Registrar: replacement, Clock: clock.Standard{}, Limits: f.limitsOf, Record: f.record,
	})
	f.stopped.Go(func() { replacement.limiter.Run(ctx) })
}

// learn gives the host a view of an epoch, with a lease.
func (h *testHost) learn(epoch fleet.Epoch) {
	h.fleet.mu.Lock()
	now := time.Now()
	old := h.view
	h.view = fleet.View{
		Self: h.member.Identity(), Epoch: epoch, ActiveUntil: now.Add(time.Hour), LearnedAt: now, TakeoverAt: now.Add(takeoverDelay),
	}
	view := h.view
	h.fleet.mu.Unlock()
	if h.limiter != nil {
		h.limiter.OnView(&old, &view)
	}
}

// Guards the bound on the admissions of all hosts together (invariant I5) in Limiter. Calls are lost, duplicated and delayed,
// hosts are replaced while their former process is still active, and epochs are learned late or not at all. The burst is small
// relative to the rate, so a rate that is lent twice for a part of a second violates the bound.
func TestLimiterUnderFaults(t *testing.T) {
	for seed := range uint64(faultSeedCount) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			random := rand.New(rand.NewPCG(seed, 7)) //nolint:gosec // reproducible faults, no secret
			f := newTestFleet(4, Limits{Rate: 600, Burst: 30})
			f.mu.Lock()
			f.faults = &faults{random: rand.New(rand.NewPCG(seed, 8))} //nolint:gosec // reproducible faults, no secret
			f.mu.Unlock()
			for range 6 {
				f.learnAll()
				f.saturate(4 * time.Second)
				for range 1 + random.IntN(2) {
					f.replace(ctx, random.IntN(4), time.Duration(700+random.IntN(700))*time.Millisecond)
					for range random.IntN(4) {
						f.learnOne(random)
						f.saturate(time.Duration(random.IntN(300)) * time.Millisecond)
					}
				}
				// Members that learn the epoch only after the takeover time still hold slices.
				f.saturate(time.Duration(random.IntN(2)) * 3 * time.Second)
			}
			cancel()
			f.stop()
			f.checkBound(t)
			if len(f.recorded) < 2000 {
				t.Errorf("seed %d: %d admissions, want at least 2000", seed, len(f.recorded))
			}
		})
	}
}

const faultSeedCount = 4

func (f *testFleet) learnAll() {
	for i := range f.hosts {
		f.learnIfBehind(i)
	}
}

// saturate sends requests above the rate to every process, including the last two that were replaced.
func (f *testFleet) saturate(duration time.Duration) {
	f.mu.Lock()
	const lastFormer = 2
	former := f.formerHosts[max(0, len(f.formerHosts)-lastFormer):]
	hosts := append(slices.Clone(former), f.hosts...)
	f.mu.Unlock()
	var requests sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, h := range hosts {
			for range 6 {
				requests.Go(func() { h.limiter.Admit(context.Background(), "zoo") })
			}
		}
	}
	requests.Wait()
}

// learnOne makes a random host learn the newest epoch.
func (f *testFleet) learnOne(random *rand.Rand) { f.learnIfBehind(random.IntN(len(f.hosts))) }

// learnIfBehind makes a host learn the newest epoch if it has an older one.
func (f *testFleet) learnIfBehind(i int) {
	h := f.host(i)
	f.mu.Lock()
	epoch := f.epoch
	behind := h.view.Epoch.Number < epoch.Number
	f.mu.Unlock()
	if behind {
		h.learn(epoch)
	}
}
