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

// faults makes calls fail, all at random: a request or an answer is lost, a request is handled twice or late.
type faults struct{ random *rand.Rand }

// draw returns a number below n. The fleet's lock is held.
func (f *faults) draw(n int) int { return f.random.IntN(n) }

// callWithFaults handles a call at another host with faults.
func (h *testHost) callWithFaults(ctx context.Context, to *testHost, req, resp proto.Message) error {
	h.fleet.mu.Lock()
	lose, double, delay := h.fleet.faults.draw(10), h.fleet.faults.draw(10), h.fleet.faults.draw(10)
	late := time.Duration(h.fleet.faults.draw(400)) * time.Millisecond
	h.fleet.mu.Unlock()
	if lose == 0 {
		<-ctx.Done()
		return peer.ErrNoResponse
	}
	if double == 0 {
		copied := proto.Clone(req)
		time.AfterFunc(late, func() { _, _ = to.handler(context.Background(), h.member.Identity(), copied) })
	}
	time.Sleep(time.Millisecond)
	if delay == 0 {
		time.Sleep(late)
	}
	answer, err := to.handler(ctx, h.member.Identity(), req)
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
	proto.Merge(resp, answer)
	return nil
}

// replace issues an epoch in which a host has been replaced by a new process. The old process acts until its lease ends.
// The others learn the epoch one by one; until then they act on the old one, for as long as their lease lasts.
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
		if end := issued.Add(leaseLife); end.Before(h.view.ActiveUntil) {
			h.view.ActiveUntil = end
		}
	}
	if end := issued.Add(lease); end.Before(old.view.ActiveUntil) {
		old.view.ActiveUntil = end
	}
	fresh := &testHost{fleet: f, member: next.Members[host]}
	f.hosts[host] = fresh
	f.former = append(f.former, old)
	f.mu.Unlock()
	fresh.learn(next)
	fresh.limiter = New(Options{
		Views: fresh, Caller: fresh, Registrar: fresh, Clock: clock.Standard{}, Limits: f.limitsOf, Record: f.record,
	})
	f.stopped.Go(func() { fresh.limiter.Run(ctx) })
}

// learn gives the host a view of an epoch with a lease.
func (h *testHost) learn(epoch fleet.Epoch) {
	h.fleet.mu.Lock()
	now := time.Now()
	old := h.view
	h.view = fleet.View{
		Self: h.member.Identity(), Epoch: epoch, ActiveUntil: now.Add(time.Hour), LearnedAt: now, FreeAt: now.Add(freeAfter),
	}
	view := h.view
	h.fleet.mu.Unlock()
	if h.limiter != nil {
		h.limiter.OnView(&old, &view)
	}
}

// TestLimiterUnderFaults guards the bound over all hosts (I5) in the runtime: calls are lost, doubled and late, hosts are
// replaced while their former process still acts, and epochs are learned late or not at all. The burst is small against the
// rate, so that rate lent twice for a part of a second is seen.
func TestLimiterUnderFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
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
				// Members that learn the epoch only after the free time still hold slices.
				f.saturate(time.Duration(random.IntN(2)) * 3 * time.Second)
			}
			cancel()
			f.stop()
			f.checkBound(t)
			if len(f.recorded) < 2000 {
				t.Errorf("seed %d: only %d admissions", seed, len(f.recorded))
			}
		})
	}
}

const faultSeeds = 4

func (f *testFleet) learnAll() {
	for i := range f.hosts {
		f.learnIfBehind(i)
	}
}

// saturate sends more than the rate to every process, the replaced ones included.
func (f *testFleet) saturate(duration time.Duration) {
	f.mu.Lock()
	const lastFormer = 2
	former := f.former[max(0, len(f.former)-lastFormer):]
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

// learnOne lets a random host learn the newest epoch.
func (f *testFleet) learnOne(random *rand.Rand) { f.learnIfBehind(random.IntN(len(f.hosts))) }

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
