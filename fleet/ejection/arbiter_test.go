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

// bench is a group of hosts that report to one arbiter without faults of the network.
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

// run lets each host have the given number of samples of each upstream in each interval of 250 ms.
func (f *testFleet) run(d time.Duration, samples uint64) {
	for range d / (250 * time.Millisecond) {
		f.now = f.now.Add(250 * time.Millisecond)
		for _, h := range f.hosts {
			h.sample(nil, samples)
			h.Apply(f.now, 1, f.arbiter.ProcessDigest(f.now, h.id, h.Digest(f.now, h.eachCount, nil)))
		}
	}
}

func (f *testFleet) setUnhealthy(ids ...settings.UpstreamID) {
	for _, h := range f.hosts {
		clear(h.unhealthy)
		for _, id := range ids {
			h.unhealthy[id] = true
		}
	}
}

// out lists what the host has ejected, in order of id.
func (f *testFleet) ejected(host int) []settings.UpstreamID {
	var ids []settings.UpstreamID
	for _, e := range f.hosts[host].Set(f.now, f.service).Ejections() {
		ids = append(ids, e.Upstream)
	}
	slices.Sort(ids)
	return ids
}

// Guards the rules about who may eject what; each case fails if its rule is removed.
func TestRules(t *testing.T) {
	for _, test := range []struct {
		name             string
		hosts, upstreams int
		fault            func(*testFleet)
		// first and second are what host 0 and host 1 have ejected after 3 s.
		first, second []settings.UpstreamID
	}{
		{"one sick upstream", 4, 6, func(f *testFleet) { f.setUnhealthy("u01") }, []settings.UpstreamID{"u01"}, []settings.UpstreamID{"u01"}},
		{"half of the upstreams sick", 4, 6, func(f *testFleet) { f.setUnhealthy("u01", "u02", "u03") }, []settings.UpstreamID{"u01", "u02", "u03"}, []settings.UpstreamID{"u01", "u02", "u03"}},
		{"service sick as a whole", 4, 6, func(f *testFleet) { f.setUnhealthy("u00", "u01", "u02", "u03", "u04", "u05") }, nil, nil},
		{"one host alone blames one upstream", 4, 6, func(f *testFleet) { f.hosts[0].unhealthy["u01"] = true }, []settings.UpstreamID{"u01"}, nil},
		{"one host blames one upstream, the other was idle since", 2, 6, func(f *testFleet) {
			f.hosts[0].unhealthy["u01"] = true
			f.hosts[1].idle = true
		}, []settings.UpstreamID{"u01"}, nil},
		{"one host blames everything", 4, 6, func(f *testFleet) { f.hosts[0].blamesAll = true }, nil, nil},
		{"one host blames half", 4, 6, func(f *testFleet) {
			for _, id := range []settings.UpstreamID{"u00", "u01", "u02"} {
				f.hosts[0].unhealthy[id] = true
			}
		}, nil, nil},
		{"a single host in all", 1, 6, func(f *testFleet) { f.setUnhealthy("u01") }, []settings.UpstreamID{"u01"}, nil},
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

// Guards against a short budget being spent on the lesser suspect: with 2 of 3 upstreams to stay, the one with more bad
// samples is ejected.
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

// Guards against holds that do not grow, returns without probe or slow start, and late ejection of an upstream that is
// sick again while it returns.
func TestRecovery(t *testing.T) {
	f := newTestFleet(4, 6, ArbiterOptions{Probes: true})
	f.setUnhealthy("u01")
	f.run(3*time.Second, 1)
	f.run(5*time.Second, 0)
	if due := f.arbiter.Probes(f.now); !slices.Equal(due, []settings.UpstreamID{"u01"}) {
		t.Fatalf("probes due after 5 s: %v", due)
	}
	f.arbiter.ProbeResult(f.now, "u01", errors.New("no answer"))
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
		t.Errorf("third hold: probes due within 20 s: %v", due)
	}
}

// Guards against an ejection that outlives its lease on a host that is cut off.
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

// Guards against the samples of a suspect host: host 0 blames half of the upstreams, and two others had one bad sample each of u01,
// which alone are noise.
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

// Guards against late answers: neither an older grant nor one of an earlier epoch's arbiter replaces a newer one.
func TestLateGrants(t *testing.T) {
	f := newTestFleet(2, 6, ArbiterOptions{})
	h := f.hosts[0]
	old := f.arbiter.ProcessDigest(f.now, h.id, h.Digest(f.now, h.eachCount, nil))
	f.setUnhealthy("u01")
	f.run(3*time.Second, 1)
	if h.Apply(f.now, 1, old) || len(f.ejected(0)) != 1 {
		t.Errorf("late grant of the same arbiter: ejected %v, want u01", f.ejected(0))
	}
	last := f.arbiter.ProcessDigest(f.now, h.id, h.Digest(f.now, h.eachCount, nil))
	h.SetEpoch(2)
	if h.Apply(f.now, 1, last) || h.applied != 0 {
		t.Error("a grant of the former epoch's arbiter was applied")
	}
}

// Guards against a new arbiter that renews an ejection whose place the former one may already have given away: renewed is
// only what the former arbiter counts until it stops.
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
			t.Errorf("lease granted %v before: ejected %v, want %d", test.age, got, test.want)
		}
	}
}

// Guards against additional requests for upstreams without evidence against them, and for more than a few at once.
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

// Guards I9: an upstream whose drain sign one host has seen gets no work from any host that reaches the arbiter, and none from
// that host if it does not; when all drain, none is left out.
func TestDraining(t *testing.T) {
	f := newTestFleet(3, 4, ArbiterOptions{})
	first := f.hosts[0]
	weight := func(host int, id settings.UpstreamID) float64 { return f.hosts[host].Set(f.now, f.service).Weight(id) }
	digest := first.Digest(f.now, first.eachCount, []settings.UpstreamID{"u02"})
	if w := weight(0, "u02"); w != 0 {
		t.Errorf("before any answer: weight %v on the host that saw the sign, want 0", w)
	}
	f.arbiter.ProcessDigest(f.now, first.id, digest)
	f.run(250*time.Millisecond, 1)
	if w := weight(2, "u02"); w != 0 {
		t.Errorf("after one interval: weight %v on another host, want 0", w)
	}
	f.run(6*time.Second, 1)
	if w := weight(2, "u02"); w != 1 {
		t.Errorf("sign no longer reported: weight %v, want 1", w)
	}
	first.Digest(f.now, first.eachCount, []settings.UpstreamID{"u00", "u01", "u02", "u03"})
	if w := weight(0, "u02"); w != 1 {
		t.Errorf("all upstreams drain: weight %v, want 1", w)
	}
}

// Guards the union of hosts that are cut off from each other: the place of an ejection that was released is given to another
// upstream only after the lease of the host that was cut off has ended.
func TestReleasedBudgetWaitsForLeases(t *testing.T) {
	f := newTestFleet(3, 4, ArbiterOptions{})
	f.service.Policy.Floor = 0.75
	f.arbiter.SetService(f.service)
	lost := f.hosts[0]
	lost.unhealthy["u00"] = true
	f.run(3*time.Second, 1)
	if got := f.ejected(0); !slices.Equal(got, []settings.UpstreamID{"u00"}) {
		t.Fatalf("host 0 alone ejects %v, want u00", got)
	}
	f.hosts = f.hosts[1:]
	f.setUnhealthy("u01")
	for range 40 {
		f.run(250*time.Millisecond, 1)
		if n := len(lost.Set(f.now, f.service).Ejections()) + len(f.ejected(0)); n > 1 {
			t.Fatalf("%d of 4 upstreams out of use over all hosts at floor 0.75", n)
		}
	}
	if got := f.ejected(0); !slices.Equal(got, []settings.UpstreamID{"u01"}) {
		t.Errorf("after the lease: ejected %v, want u01", got)
	}
}

// Guards against ejections that only move the load of a service that is sick as a whole, however long it lasts.
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
