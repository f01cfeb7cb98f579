package ratelimit

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
)

// testFleet is a fleet of limiters with calls in memory that take 1 ms each way.
type testFleet struct {
	mu       sync.Mutex
	hosts    []*testHost
	epoch    fleet.Epoch
	limits   Limits
	recorded []Admission
	cancel   context.CancelFunc
	stopped  sync.WaitGroup
	// faults, if set, makes calls fail.
	faults *faults
	// formerHosts are the processes that were replaced.
	formerHosts []*testHost
}

func (f *testFleet) host(i int) *testHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[i]
}

// testHost implements fleet.ViewSource, peer.Caller and peer.Registrar for one host.
type testHost struct {
	fleet   *testFleet
	member  fleet.Member
	view    fleet.View
	handler peer.HandlerFunc
	limiter *Limiter
	// isolated makes calls to and from the host time out.
	isolated bool
}

func (h *testHost) View() *fleet.View {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	view := h.view
	return &view
}

func (h *testHost) Handle(_ peer.Method, _ func() proto.Message, handler peer.HandlerFunc) {
	h.handler = handler
}

func (h *testHost) Call(ctx context.Context, address string, _ peer.Method, req, resp proto.Message) error {
	const latency = time.Millisecond
	for i := range h.fleet.hosts {
		to := h.fleet.host(i)
		if to.member.PeerAddress != address {
			continue
		}
		h.fleet.mu.Lock()
		isolated, faulty := h.isolated || to.isolated, h.fleet.faults != nil
		h.fleet.mu.Unlock()
		if faulty {
			return h.callWithFaults(ctx, to, req, resp)
		}
		if isolated {
			<-ctx.Done()
			return peer.ErrNoResponse
		}
		time.Sleep(latency)
		response, err := to.handler(ctx, h.member.Identity(), req)
		time.Sleep(latency)
		if err == nil {
			proto.Merge(resp, response)
		}
		return err
	}
	return peer.ErrNotSent
}

// newTestFleet starts a fleet in epoch 1. Leases are valid for an hour unless the test ends them.
func newTestFleet(hosts int, limits Limits) *testFleet {
	f := &testFleet{limits: limits, epoch: fleet.Epoch{Number: 1}}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range hosts {
		f.epoch.Members = append(f.epoch.Members, fleet.Member{
			ID: fleet.HostID(fmt.Sprintf("host-%02d", i)), Incarnation: 1, PeerAddress: fmt.Sprint("peer-", i), Capacity: 1,
			State: fleet.Active,
		})
	}
	for _, member := range f.epoch.Members {
		h := &testHost{fleet: f, member: member}
		h.view = fleet.View{Self: member.Identity(), Epoch: f.epoch, ActiveUntil: time.Now().Add(time.Hour), LearnedAt: time.Now()}
		h.limiter = New(Options{
			Views: h, Caller: h, Registrar: h, Clock: clock.Standard{},
			Limits: f.limitsOf, Record: f.record,
		})
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		f.stopped.Go(func() { h.limiter.Run(ctx) })
	}
	synctest.Wait()
	return f
}

func (f *testFleet) limitsOf(string) (rate, burst float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.Rate, f.limits.Burst, f.limits.Rate > 0
}

func (f *testFleet) record(at time.Time, customer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded = append(f.recorded, Admission{At: at, Customer: customer})
}

func (f *testFleet) stop() {
	f.cancel()
	f.stopped.Wait()
	// Calls that Run does not wait for end by their deadline.
	time.Sleep(time.Second)
}

// exclude ends the lease of a host and issues the next epoch without it.
func (f *testFleet) exclude(host int) {
	f.mu.Lock()
	excluded := f.hosts[host]
	excluded.isolated = true
	excluded.view.ActiveUntil = time.Now()
	next := fleet.Epoch{Number: f.epoch.Number + 1}
	for _, m := range f.epoch.Members {
		if m.ID != excluded.member.ID {
			next.Members = append(next.Members, m)
		}
	}
	f.epoch = next
	f.mu.Unlock()
	for i, h := range f.hosts {
		if i == host {
			continue
		}
		f.mu.Lock()
		old := h.view
		h.view.Epoch, h.view.LearnedAt, h.view.TakeoverAt = next, time.Now(), time.Now().Add(2*time.Second)
		latest := h.view
		f.mu.Unlock()
		h.limiter.OnView(&old, &latest)
	}
}

func (f *testFleet) ownerOf(customer string) int {
	owner, _ := f.epoch.Owner(ownerKey(customer))
	for i, h := range f.hosts {
		if h.member.ID == owner.ID {
			return i
		}
	}
	return -1
}

// load sends perSecond requests per second to each given host for the duration and returns the number of decisions by reason.
func (f *testFleet) load(hosts []int, customer string, perSecond int, duration time.Duration) map[Reason]int {
	counts := make(map[Reason]int)
	var mu sync.Mutex
	var requests sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		for _, host := range hosts {
			requests.Go(func() {
				decision := f.host(host).limiter.Admit(context.Background(), customer)
				mu.Lock()
				defer mu.Unlock()
				counts[decision.Reason]++
			})
		}
	}
	requests.Wait()
	return counts
}

// checkBound checks that the admissions of each customer are within its limits.
func (f *testFleet) checkBound(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	limits := f.limits
	result := Check(f.recorded, func(string) (Limits, bool) { return limits, true })
	if len(result.Violations) > 0 {
		t.Errorf("%d admissions over the limit, by at most %v tokens", len(result.Violations), result.MaxExcess)
	}
}

var allHosts = []int{0, 1, 2, 3}

// Guards against admissions above or below the rate when every host alone receives requests at the rate.
func TestLimiterDividesRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4, Limits{Rate: 100, Burst: 50})
		counts := f.load(allHosts, "zoo", 100, 10*time.Second)
		f.stop()
		f.checkBound(t)
		if got := counts[Allowed]; got < 1000 || got > 1050 {
			t.Errorf("allowed %d of %v, want 1000 to 1050", got, counts)
		}
		if counts[Unavailable]+counts[Inactive] > 0 {
			t.Errorf("decisions %v: want only allowed and rate limited", counts)
		}
	})
}

// Guards against requests that are rejected, or a burst that is granted twice, when the owner is lost and replaced.
func TestLimiterLossOfOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4, Limits{Rate: 200, Burst: 100})
		owner := f.ownerOf("zoo")
		others := make([]int, 0, 3)
		for _, i := range allHosts {
			if i != owner {
				others = append(others, i)
			}
		}
		before := f.load(others, "zoo", 40, 5*time.Second)
		f.exclude(owner)
		during := f.load(others, "zoo", 40, 2*time.Second)
		after := f.load(others, "zoo", 400, 10*time.Second)
		f.stop()
		f.checkBound(t)
		if before[Allowed] != 600 {
			t.Errorf("before the loss: %v, want 600 allowed", before)
		}
		if during[Allowed] < 230 {
			t.Errorf("without an owner: %v, want at least 230 of 240 allowed", during)
		}
		if after[Allowed] < 1900 {
			t.Errorf("over the limit with the new owner: %v, want at least 1900 allowed", after)
		}
	})
}

// Guards against admissions after the lease has ended, also of a request that was waiting when it ended.
func TestLimiterInactive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 10, Burst: 10})
		host := 1 - f.ownerOf("zoo")
		h := f.hosts[host]
		f.mu.Lock()
		h.view.ActiveUntil = time.Now().Add(time.Millisecond)
		f.mu.Unlock()
		// The first request must borrow, which takes 2 ms. The lease ends while it waits.
		if d := h.limiter.Admit(context.Background(), "zoo"); d.Reason != Inactive {
			t.Errorf("decision %+v after the lease ended in the wait, want inactive", d)
		}
		f.stop()
		if len(f.recorded) > 0 {
			t.Errorf("%d tokens taken", len(f.recorded))
		}
	})
}

// Guards against a wrong reason of the rejection, and against waits longer than BorrowTimeout, while the owner is unreachable.
func TestLimiterUnreachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 10, Burst: 10})
		owner := f.ownerOf("zoo")
		f.mu.Lock()
		f.hosts[owner].isolated = true
		// The epoch is too old to be a reason to wait longer.
		f.hosts[1-owner].view.LearnedAt = time.Now().Add(-handoverWindow)
		f.mu.Unlock()
		start := time.Now()
		d := f.hosts[1-owner].limiter.Admit(context.Background(), "zoo")
		if d.Reason != Unavailable || d.RetryAfter <= 0 {
			t.Errorf("decision %+v, want unavailable with a retry time", d)
		}
		if waited := time.Since(start); waited > BorrowTimeout {
			t.Errorf("waited %v, longer than BorrowTimeout", waited)
		}
		f.stop()
	})
}

// Guards against a host that leaves gracefully and keeps its slice until it expires.
func TestLimiterReleaseSlices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 100, Burst: 100})
		owner := f.ownerOf("zoo")
		leaving := f.hosts[1-owner].limiter
		f.load([]int{1 - owner}, "zoo", 50, 3*time.Second)
		if held := leaving.Status().Held; len(held) != 1 || held[0].RateShare == 0 {
			t.Fatalf("held before: %+v, want a slice", held)
		}
		if err := leaving.ReleaseSlices(t.Context()); err != nil {
			t.Fatal(err)
		}
		owned := f.hosts[owner].limiter.Status().Owned
		if len(owned) != 1 || owned[0].Loans[0].RateShare != 0 || owned[0].ReserveTokens < 90 {
			t.Errorf("owned after: %+v, want no slice and at least 90 tokens in the reserve", owned)
		}
		if d := leaving.Admit(t.Context(), "zoo"); d.Reason != Inactive {
			t.Errorf("decision %+v, want inactive", d)
		}
		f.stop()
		f.checkBound(t)
	})
}

// Guards against slices that keep the rate of a former, higher limit.
func TestLimiterLoweredLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4, Limits{Rate: 400, Burst: 40})
		f.load(allHosts, "zoo", 100, 3*time.Second)
		f.mu.Lock()
		f.limits = Limits{Rate: 40, Burst: 4}
		f.recorded = nil
		f.mu.Unlock()
		for _, h := range f.hosts {
			h.limiter.OnLimitsChanged()
		}
		f.load(allHosts, "zoo", 100, 5*time.Second)
		f.stop()
		f.checkBound(t)
		if got := len(f.recorded); got < 190 {
			t.Errorf("admitted %d after the change, want at least 190", got)
		}
	})
}

// Guards against an owner that keeps its loans although another host may have owned the customer in an epoch that this host did
// not learn.
func TestOwnerAfterGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, Limits{Rate: 100, Burst: 100})
		owner := f.hosts[f.ownerOf("zoo")]
		for _, next := range []struct {
			epoch    uint64
			granting bool
		}{{2, true}, {4, false}} {
			f.load([]int{0, 1}, "zoo", 20, time.Second)
			f.mu.Lock()
			old := owner.view
			view := old
			view.Epoch.Number = next.epoch
			owner.view = view
			f.hosts[1-f.ownerOf("zoo")].isolated = true
			f.mu.Unlock()
			owner.limiter.OnView(&old, &view)
			owner.limiter.Admit(t.Context(), "zoo")
			time.Sleep(RenewInterval + tickInterval)
			owned := owner.limiter.Status().Owned
			if len(owned) != 1 || owned[0].Granting != next.granting {
				t.Errorf("epoch %d: %+v, want granting %v", next.epoch, owned, next.granting)
			}
		}
		f.stop()
	})
}

// Guards against state that is kept for every customer ever seen, and against a burst that is granted again when a dropped owner
// is recreated.
func TestIdleStateIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4, Limits{Rate: 1, Burst: 20})
		for _, wait := range []time.Duration{90 * time.Second, 90 * time.Second, 0} {
			f.load(allHosts, "zoo", 30, time.Second)
			time.Sleep(wait)
			if wait == 0 {
				continue
			}
			for _, h := range f.hosts {
				if s := h.limiter.Status(); len(s.Held)+len(s.Owned) > 0 {
					t.Errorf("state after %v without requests: %+v %+v", wait, s.Held, s.Owned)
				}
			}
		}
		f.stop()
		f.checkBound(t)
		if got := len(f.recorded); got < 57 {
			t.Errorf("admitted %d in three bursts of 20, want at least 57", got)
		}
	})
}

// Guards against a burst that is granted twice because the new owner has no state of the customer.
func TestNewOwnerStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4, Limits{Rate: 0.1, Burst: 20})
		f.load(allHosts, "zoo", 30, time.Second)
		time.Sleep(30 * time.Second)
		f.exclude(f.ownerOf("zoo"))
		time.Sleep(10 * time.Second)
		f.load(allHosts, "zoo", 30, time.Second)
		f.stop()
		f.checkBound(t)
		if got := len(f.recorded); got < 20 {
			t.Errorf("admitted %d, want at least the burst of 20", got)
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	h := &testHost{fleet: &testFleet{limits: Limits{Rate: 1e9, Burst: 1e9}}}
	h.member = fleet.Member{ID: "a", Incarnation: 1, Capacity: 1, State: fleet.Active}
	view := fleet.View{Self: h.member.Identity(), Epoch: fleet.Epoch{Number: 1, Members: []fleet.Member{h.member}}, ActiveUntil: time.Now().Add(time.Hour)}
	l := New(Options{Views: fixedView{&view}, Caller: h, Registrar: h, Clock: clock.System{}, Limits: h.fleet.limitsOf})
	view.ActiveUntil = clock.System{}.Now().Add(time.Hour)
	l.OnView(nil, &view)
	customers := make([]string, 1000)
	for i := range customers {
		customers[i] = fmt.Sprint("customer-", i)
		l.Admit(b.Context(), customers[i])
		// A demand of half the rate gives a slice with more tokens than the benchmark uses.
		l.shards[shardIndex(customers[i])].customers[customers[i]].demand = 5e8
	}
	l.renewAll(false)
	l.calls.running.Wait()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			l.Admit(context.Background(), customers[i%len(customers)])
		}
	})
}

type fixedView struct{ view *fleet.View }

func (f fixedView) View() *fleet.View { return f.view }

// BenchmarkMemory reports the memory of a customer that is held and owned by one host.
func BenchmarkMemory(b *testing.B) {
	h := &testHost{fleet: &testFleet{limits: Limits{Rate: 1e9, Burst: 1e9}}}
	h.member = fleet.Member{ID: "a", Incarnation: 1, Capacity: 1, State: fleet.Active}
	view := fleet.View{Self: h.member.Identity(), Epoch: fleet.Epoch{Number: 1, Members: []fleet.Member{h.member}}}
	view.ActiveUntil = time.Now().Add(time.Hour)
	l := New(Options{Views: fixedView{&view}, Caller: h, Registrar: h, Clock: clock.Standard{}, Limits: h.fleet.limitsOf})
	l.OnView(nil, &view)
	const customers = 100_000
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		for _, name := range names {
			l.Admit(context.Background(), name)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/customers, "B/customer")
	runtime.KeepAlive(l)
}
