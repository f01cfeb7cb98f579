package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	hundredsOfHosts = 177
	// leastHubHosts is the smallest fleet whose reports go by way of hubs.
	leastHubHosts = 61
	// hubDelay bounds the way of a report: two hubs gather for 80 ms each, and links between data centres add to that.
	hubDelay = 300 * time.Millisecond
	hubLoss  = 0.02
	// usualShare is the part of its limit that a customer uses before a rush.
	usualShare = 0.62
	warmUp     = youngFor + time.Second/5
)

// newHubFleet returns a fleet in 5 data centres whose reports go by way of hubs, after warmUp.
func newHubFleet(seed uint64, hosts int, rate float64) (f *faultyFleet, weights []float64) {
	f, weights = newFaultyFleet(seed, hosts, rate, func(r *rand.Rand) float64 { return 0.5 + r.Float64() })
	f.delay, f.learning, f.loss, f.dataCentres = hubDelay, 0, hubLoss, 5
	for i := range f.hosts {
		f.start(i, 0)
	}
	f.run(warmUp, func(time.Duration) float64 { return usualShare * rate }, weights)
	return f, weights
}

// run offers perSecond requests, as a function of the time since the call.
func (f *faultyFleet) run(d time.Duration, perSecond func(time.Duration) float64, weights []float64) {
	for begin := f.now; f.now < begin+d; f.now += faultStep {
		f.talk()
		f.offer(perSecond(f.now-begin), weights)
	}
}

// Guards against admissions over a limit in a rush while reports take up to 0.3 s: the sum over 177 hosts was 256 in 5 s
// for a rate of 30, of 218 allowed, because each view was pulled up by those that were late.
func TestSumOverHostsThatHearLate(t *testing.T) {
	for _, test := range []struct {
		hosts       int
		rate, times float64
		seeds       uint64
	}{
		{hundredsOfHosts, 30, 8, 1},
		{leastHubHosts, 120, 8, 2},
		{leastHubHosts, 2, 8, 2},
	} {
		for seed := range test.seeds {
			t.Run(fmt.Sprintf("%d hosts, rate %v, %v times, seed %d", test.hosts, test.rate, test.times, seed), func(t *testing.T) {
				f, weights := newHubFleet(seed, test.hosts, test.rate)
				f.run(allowedWindow, func(time.Duration) float64 { return test.times * test.rate }, weights)
				most, at := f.mostIn(allowedWindow)
				t.Logf("at most %d in %v, from %v", most, allowedWindow, at)
				f.expectBound(t)
			})
		}
	}
}

// Guards against admissions over a limit in a large fleet in a rush, while hosts are killed, cut off or frozen and reports
// take up to 0.3 s. With these seeds the views of late hosts broke the bound.
func TestSumOverHostsThatHearLateUnderFaults(t *testing.T) {
	playHubFaults(t, 9, 12, 27)
}

// Guards against admissions over a limit when most hosts are cut off as a rush begins, while reports take up to 0.3 s.
func TestSumOverHostsCutOffInARush(t *testing.T) {
	playHubFaults(t, 23, 34)
}

func playHubFaults(t *testing.T, seeds ...uint64) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			size := rand.New(rand.NewPCG(seed, 3))
			rate, rush := 10+110*size.Float64(), 1+8*size.Float64()
			f, weights := newHubFleet(seed, leastHubHosts, rate)
			f.playFaults(t, rate*rush, weights)
		})
	}
}

// Guards against refusals of bursts within the limit while reports take up to 0.3 s: the whole burst must be there again
// when the customer has used less than its rate.
func TestBurstsWithinTheLimitAreAdmittedByHostsThatHearLate(t *testing.T) {
	const (
		rate  = 30.0
		every = 1600 * time.Millisecond
		burst = every / 4
	)
	f, weights := newHubFleet(1, hundredsOfHosts, rate)
	before, asked := len(f.admitted), f.asked
	f.run(allowedWindow, func(at time.Duration) float64 {
		if at%every >= burst {
			return 0
		}
		return usualShare * rate * float64(every/burst)
	}, weights)
	if admitted, asked := len(f.admitted)-before, f.asked-asked; admitted != asked {
		t.Errorf("%d of %d requests were refused", asked-admitted, asked)
	}
}

// Guards against a view of a bucket that many late views of others pull up again: of 60 requests that a host had been told
// of within 0.3 s, most came back, because each report bore the view of a host that had not heard of the others.
func TestLateViewsDoNotHideUse(t *testing.T) {
	const used = 60
	limit := Limit{Rate: 10, Burst: 100}
	limitOf := func(settings.CustomerID) (Limit, bool) { return limit, true }
	names := others(0, hundredsOfHosts)
	now := simulationStart
	l := New()
	l.SetHosts(names)
	hear := func(name string, admitted uint64, after time.Duration) {
		now = now.Add(after)
		l.ApplyReport(now, name, []Usage{{
			Customer: customer, Admitted: admitted, Requested: admitted, Tokens: int64(limit.capacity()), Synced: true,
		}}, limitOf)
	}
	for range 10 {
		for _, name := range names {
			hear(name, 0, heartbeatEvery/hundredsOfHosts)
		}
	}
	for _, name := range names[:used] {
		hear(name, 1, hubDelay/used)
	}
	left := l.Admit(now, customer, limit).Tokens
	if most := limit.capacity() - 0.75*used; left > most {
		t.Errorf("%.0f tokens are left after %d requests, want at most %.0f", left, used, most)
	}
}
