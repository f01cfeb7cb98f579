package ejection

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
)

// testFleet is a group of hosts that report to one arbiter without network faults.
type testFleet struct {
	now     time.Time
	service *settings.Service
	arbiter *Arbiter
	hosts   []*simulatedHost
}

func newTestFleet(hosts, upstreams int, options ArbiterOptions) *testFleet {
	f := &testFleet{now: start, service: service(upstreams, 0.5), arbiter: NewArbiter(start, start, options)}
	f.arbiter.SetService(f.service)
	for i := range hosts {
		f.hosts = append(f.hosts, &simulatedHost{
			Reporter: NewReporter(), id: fleet.Identity{ID: fleet.HostID(fmt.Sprint("h", i)), Incarnation: 1}, service: f.service,
			counts: map[settings.UpstreamID]outlier.Counts{}, unhealthy: map[settings.UpstreamID]bool{},
		})
		f.hosts[i].SetEpoch(1)
	}
	f.run(Lease+Margin, 1)
	return f
}

// run advances the time by d. In each interval of 250 ms each host gets the given number of samples of each upstream and
// reports them.
func (f *testFleet) run(d time.Duration, samples uint64) {
	for range d / (250 * time.Millisecond) {
		f.now = f.now.Add(250 * time.Millisecond)
		for _, h := range f.hosts {
			h.sample(nil, samples)
			h.Apply(f.now, 1, f.arbiter.ProcessDigest(f.now, h.id, h.Digest(f.now, h.eachCount, nil)))
		}
	}
}

// setUnhealthy makes the given upstreams fail for all hosts, and all others succeed.
func (f *testFleet) setUnhealthy(ids ...settings.UpstreamID) {
	for _, h := range f.hosts {
		clear(h.unhealthy)
		for _, id := range ids {
			h.unhealthy[id] = true
		}
	}
}

// ejected lists the upstreams that the host has ejected, in order of id.
func (f *testFleet) ejected(host int) []settings.UpstreamID {
	var ids []settings.UpstreamID
	for _, e := range f.hosts[host].Set(f.now, f.service).Ejections() {
		ids = append(ids, e.Upstream)
	}
	slices.Sort(ids)
	return ids
}

// Guards the rules for ejections for all hosts, for single hosts and for none. Each case fails if its rule is removed.
func TestRules(t *testing.T) {
	for _, test := range []struct {
		name             string
		hosts, upstreams int
		fault            func(*testFleet)
		// first and second are the upstreams that host 0 and host 1 have ejected after 3 s.
		first, second []settings.UpstreamID
	}{
		{"one unhealthy upstream", 4, 6, func(f *testFleet) { f.setUnhealthy("u01") }, []settings.UpstreamID{"u01"}, []settings.UpstreamID{"u01"}},
		{"half of the upstreams unhealthy", 4, 6, func(f *testFleet) { f.setUnhealthy("u01", "u02", "u03") }, []settings.UpstreamID{"u01", "u02", "u03"}, []settings.UpstreamID{"u01", "u02", "u03"}},
		{"all upstreams unhealthy", 4, 6, func(f *testFleet) { f.setUnhealthy("u00", "u01", "u02", "u03", "u04", "u05") }, nil, nil},
		{"one host blames one upstream", 4, 6, func(f *testFleet) { f.hosts[0].unhealthy["u01"] = true }, []settings.UpstreamID{"u01"}, nil},
		{"one host blames one upstream, the other host is idle", 2, 6, func(f *testFleet) {
			f.hosts[0].unhealthy["u01"] = true
			f.hosts[1].idle = true
		}, []settings.UpstreamID{"u01"}, nil},
		{"one host blames all upstreams", 4, 6, func(f *testFleet) { f.hosts[0].blamesAll = true }, nil, nil},
		{"one host blames half of the upstreams", 4, 6, func(f *testFleet) {
			for _, id := range []settings.UpstreamID{"u00", "u01", "u02"} {
				f.hosts[0].unhealthy[id] = true
			}
		}, nil, nil},
		{"fleet of a single host", 1, 6, func(f *testFleet) { f.setUnhealthy("u01") }, []settings.UpstreamID{"u01"}, nil},
		{"a leaving upstream", 4, 6, func(f *testFleet) {
			f.service.Upstreams[1].Leaving = true
			f.arbiter.SetService(f.service)
			f.setUnhealthy("u01")
		}, nil, nil},
	} {
		f := newTestFleet(test.hosts, test.upstreams, ArbiterOptions{})
		test.fault(f)
		f.run(3*time.Second, 1)
		if got := f.ejected(0); !slices.Equal(got, test.first) {
			t.Errorf("%s: host 0 ejects %v, want %v", test.name, got, test.first)
		}
		if test.hosts == 1 {
			continue
		}
		if got := f.ejected(1); !slices.Equal(got, test.second) {
			t.Errorf("%s: host 1 ejects %v, want %v", test.name, got, test.second)
		}
	}
}

// Guards against a small budget being used for the upstream with less evidence. 2 of 3 upstreams must stay in use, so
// only the one with more bad samples may be ejected.
func TestWorstUpstreamFirst(t *testing.T) {
	f := newTestFleet(1, 3, ArbiterOptions{})
	h := f.hosts[0]
	for id, bad := range map[settings.UpstreamID]uint64{"u00": 4, "u02": 5} {
		h.counts[id] = outlier.Counts{OK: h.counts[id].OK, Failed: bad}
	}
	h.counts["u01"] = outlier.Counts{OK: h.counts["u01"].OK + 9}
	f.arbiter.options.BurstLimit = 10
	h.Apply(f.now, 1, f.arbiter.ProcessDigest(f.now, h.id, h.Digest(f.now, h.eachCount, nil)))
	if got := f.ejected(0); !slices.Equal(got, []settings.UpstreamID{"u02"}) {
		t.Errorf("ejected %v, want u02 alone", got)
	}
}

// Guards against ejection times that do not grow, a return without a probe or slow start, and a late ejection of an
// upstream that fails again while it returns.
func TestRecovery(t *testing.T) {
	f := newTestFleet(4, 6, ArbiterOptions{Probes: true})
	f.setUnhealthy("u01")
	f.run(3*time.Second, 1)
	f.run(5*time.Second, 0)
	if due := f.arbiter.Probes(f.now); !slices.Equal(due, []settings.UpstreamID{"u01"}) {
		t.Fatalf("probes due after 5 s: %v", due)
	}
	f.arbiter.ProbeResult(f.now, "u01", errors.New("no response"))
	f.run(9*time.Second, 0)
	if due := f.arbiter.Probes(f.now); len(due) > 0 {
		t.Errorf("after a failed probe: probes due within 10 s: %v", due)
	}
	f.run(time.Second, 0)
	f.arbiter.ProbeResult(f.now, "u01", nil)
	var weights []float64
	for range 3 {
		f.run(3*time.Second, 0)
		weights = append(weights, f.hosts[0].Set(f.now, f.service).Weight("u01"))
	}
	if want := []float64{0.3, 0.6, 0.9}; !slices.Equal(weights, want) {
		t.Errorf("weights while it returns: %v, want %v", weights, want)
	}
	f.run(500*time.Millisecond, 1)
	if w := f.hosts[0].Set(f.now, f.service).Weight("u01"); w != 0 {
		t.Errorf("after four bad samples while it returns: weight %v, want 0", w)
	}
	f.setUnhealthy()
	f.run(19*time.Second, 0)
	if due := f.arbiter.Probes(f.now); len(due) > 0 {
		t.Errorf("third ejection: probes due within 20 s: %v", due)
	}
}

// Guards against an ejection that outlives its lease on an isolated host.
func TestLeaseExpiry(t *testing.T) {
	f := newTestFleet(2, 6, ArbiterOptions{})
	f.setUnhealthy("u01")
	f.run(3*time.Second, 1)
	f.now = f.now.Add(Lease - time.Millisecond)
	if got := f.ejected(0); len(got) != 1 {
		t.Errorf("within the lease: ejected %v, want u01", got)
	}
	f.now = f.now.Add(time.Millisecond)
	if got := f.ejected(0); len(got) != 0 {
		t.Errorf("after the lease: ejected %v, want none", got)
	}
}

// Guards against samples of a suspect host being counted. Host 0 blames half of the upstreams, and two others had one bad
// sample each of u01, which are too few to eject it.
func TestSuspectSamplesAreIgnored(t *testing.T) {
	f := newTestFleet(4, 6, ArbiterOptions{})
	for _, id := range []settings.UpstreamID{"u01", "u02", "u03"} {
		f.hosts[0].unhealthy[id] = true
	}
	f.run(time.Second, 1)
	for _, h := range f.hosts[1:3] {
		c := h.counts["u01"]
		c.Failed++
		h.counts["u01"] = c
	}
	for _, h := range f.hosts[1:] {
		h.idle = true
	}
	f.run(2*time.Second, 1)
	if got := f.ejected(1); len(got) > 0 {
		t.Errorf("ejected %v, want none", got)
	}
}

// Guards against delayed responses: neither an older grant nor a grant of the previous epoch's arbiter may replace a newer
// one.
func TestLateGrants(t *testing.T) {
	f := newTestFleet(2, 6, ArbiterOptions{})
	h := f.hosts[0]
	old := f.arbiter.ProcessDigest(f.now, h.id, h.Digest(f.now, h.eachCount, nil))
	f.setUnhealthy("u01")
	f.run(3*time.Second, 1)
	if h.Apply(f.now, 1, old) || len(f.ejected(0)) != 1 {
		t.Errorf("delayed grant of the same arbiter: ejected %v, want u01", f.ejected(0))
	}
	last := f.arbiter.ProcessDigest(f.now, h.id, h.Digest(f.now, h.eachCount, nil))
	h.SetEpoch(2)
	if h.Apply(f.now, 1, last) || h.applied != 0 {
		t.Error("a grant of the previous epoch's arbiter was applied")
	}
}

// Guards against a new arbiter that renews an ejection whose budget slot the previous arbiter may already have reused. A
// new arbiter may only renew ejections that the previous one still counts when it stops acting.
func TestAdoptedEjections(t *testing.T) {
	for _, test := range []struct {
		age  time.Duration
		want int
	}{{500 * time.Millisecond, 1}, {1500 * time.Millisecond, 0}} {
		f := newTestFleet(2, 6, ArbiterOptions{})
		f.setUnhealthy("u01")
		f.run(3*time.Second, 1)
		f.now = f.now.Add(test.age)
		f.arbiter = NewArbiter(f.now, f.now.Add(2*time.Second), ArbiterOptions{})
		f.arbiter.SetService(f.service)
		for _, h := range f.hosts {
			h.SetEpoch(1000)
			h.Apply(f.now, 1000, f.arbiter.ProcessDigest(f.now, h.id, h.Digest(f.now, h.eachCount, nil)))
		}
		f.now = f.now.Add(Lease - time.Millisecond)
		if got := f.ejected(1); len(got) != test.want {
			t.Errorf("lease granted %v before the new arbiter: ejected %v, want %d", test.age, got, test.want)
		}
	}
}

// Guards against additional requests to upstreams without evidence against them or to more than maxSuspects upstreams, and
// against a weight above 1 for requests that must not be retried.
func TestSuspects(t *testing.T) {
	f := newTestFleet(4, 13, ArbiterOptions{})
	suspects := func() (n int) {
		set := f.hosts[3].Set(f.now, f.service)
		for _, u := range f.service.Upstreams {
			if (Sampling{set}).Weight(u.ID) == SuspectWeight {
				n++
			}
			if w := set.Weight(u.ID); w > 1 {
				t.Errorf("weight %v for requests that must not be retried", w)
			}
		}
		return n
	}
	if n := suspects(); n != 0 {
		t.Errorf("all healthy: %d suspects", n)
	}
	f.setUnhealthy("u01", "u02", "u03")
	f.run(250*time.Millisecond, 1)
	if n := suspects(); n != maxSuspects {
		t.Errorf("two bad samples each of three upstreams: %d suspects, want %d", n, maxSuspects)
	}
	f.run(3*time.Second, 1)
	if n := suspects(); n != 0 {
		t.Errorf("all ejected: %d suspects", n)
	}
}

// Guards I9: an upstream whose drain sign one host has seen gets no requests from that host, nor from any host that reaches
// the arbiter. If all upstreams drain, all stay in use.
func TestDraining(t *testing.T) {
	f := newTestFleet(3, 4, ArbiterOptions{})
	first := f.hosts[0]
	weight := func(host int, id settings.UpstreamID) float64 { return f.hosts[host].Set(f.now, f.service).Weight(id) }
	digest := first.Digest(f.now, first.eachCount, []settings.UpstreamID{"u02"})
	if w := weight(0, "u02"); w != 0 {
		t.Errorf("before any grant: weight %v on the host that saw the sign, want 0", w)
	}
	f.arbiter.ProcessDigest(f.now, first.id, digest)
	f.run(250*time.Millisecond, 1)
	if w := weight(2, "u02"); w != 0 {
		t.Errorf("after one interval: weight %v on another host, want 0", w)
	}
	f.run(6*time.Second, 1)
	if w := weight(2, "u02"); w != 1 {
		t.Errorf("drain sign no longer reported: weight %v, want 1", w)
	}
	first.Digest(f.now, first.eachCount, []settings.UpstreamID{"u00", "u01", "u02", "u03"})
	if w := weight(0, "u02"); w != 1 {
		t.Errorf("all upstreams drain: weight %v, want 1", w)
	}
}

// Guards the floor over the union of the ejections of isolated and connected hosts. After an ejection was released, another
// upstream may take its budget slot only once the lease of the isolated host has ended.
func TestReleasedBudgetWaitsForLeases(t *testing.T) {
	f := newTestFleet(3, 4, ArbiterOptions{})
	f.service.Policy.Floor = 0.75
	f.arbiter.SetService(f.service)
	isolated := f.hosts[0]
	isolated.unhealthy["u00"] = true
	f.run(3*time.Second, 1)
	if got := f.ejected(0); !slices.Equal(got, []settings.UpstreamID{"u00"}) {
		t.Fatalf("host 0 alone ejects %v, want u00", got)
	}
	f.hosts = f.hosts[1:]
	f.setUnhealthy("u01")
	for range 40 {
		f.run(250*time.Millisecond, 1)
		if n := len(isolated.Set(f.now, f.service).Ejections()) + len(f.ejected(0)); n > 1 {
			t.Fatalf("%d of 4 upstreams ejected over all hosts at floor 0.75", n)
		}
	}
	if got := f.ejected(0); !slices.Equal(got, []settings.UpstreamID{"u01"}) {
		t.Errorf("after the lease: ejected %v, want u01", got)
	}
}

// Guards against ejections in a service that is unhealthy as a whole, however long this lasts. They would only move its load.
func TestUnhealthyServiceStaysInUse(t *testing.T) {
	f := newTestFleet(4, 6, ArbiterOptions{})
	for _, h := range f.hosts {
		h.blamesAll = true
	}
	f.run(time.Minute, 1)
	if got := f.ejected(0); len(got) > 0 {
		t.Errorf("ejected %v, want none", got)
	}
}
