package loadbalancer

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/settings"
)

var start = time.Unix(1000, 0)

func upstreams(n int) []settings.Upstream {
	list := make([]settings.Upstream, n)
	for i := range list {
		list[i] = settings.Upstream{
			ID: settings.UpstreamID(fmt.Sprintf("u%d", i)), DataCentre: fmt.Sprintf("dc%d", i%3), Slots: 6, Connections: 360,
		}
	}
	return list
}

func hosts(n int) []Host {
	list := make([]Host, n)
	for i := range list {
		list[i] = Host{ID: fleet.HostID(fmt.Sprintf("h%02d", i)), DataCentre: fmt.Sprintf("dc%d", i%3)}
	}
	return list
}

type weights map[settings.UpstreamID]float64

func (w weights) Weight(id settings.UpstreamID) float64 {
	if weight, ok := w[id]; ok {
		return weight
	}
	return 1
}

// pickCounts picks n times with at most two requests in flight and returns how often each upstream was chosen.
func pickCounts(t *testing.T, b *Balancer, now time.Time, w Weighter, n int) map[settings.UpstreamID]int {
	t.Helper()
	counts := map[settings.UpstreamID]int{}
	var inFlight []settings.UpstreamID
	for range n {
		u, err := b.Pick(now, w, nil)
		if err != nil {
			t.Fatal(err)
		}
		counts[u.ID]++
		inFlight = append(inFlight, u.ID)
		if len(inFlight) == 2 {
			b.Done(now, inFlight[0], Result{OK: true})
			inFlight = inFlight[1:]
		}
	}
	for _, id := range inFlight {
		b.Done(now, id, Result{OK: true})
	}
	return counts
}

// Guards against requests to upstreams that must get none: leaving (invariant I9), draining, ejected and excluded ones.
func TestUnusableUpstreamsGetNothing(t *testing.T) {
	list := upstreams(6)
	list[1].Leaving = true
	b := New(Options{DataCentre: "dc0", Seed: 1})
	b.Update(start, Config{Upstreams: list, Self: Host{ID: "h00"}})
	b.Done(start, "u3", Result{OK: true, Draining: true})
	ejected := weights{"u2": 0}
	for range 500 {
		u, err := b.Pick(start, ejected, []settings.UpstreamID{"u4"})
		if err != nil {
			t.Fatal(err)
		}
		if u.ID != "u0" && u.ID != "u5" {
			t.Fatalf("picked %s, want u0 or u5", u.ID)
		}
		b.Done(start, u.ID, Result{OK: true})
	}
	if _, err := b.Pick(start, ejected, []settings.UpstreamID{"u0", "u3", "u4", "u5"}); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("no usable upstream: error %v, want ErrNoUpstream", err)
	}
}

// Guards against a full share of requests for upstreams that have just been added or return from ejection.
func TestSlowStart(t *testing.T) {
	list := upstreams(6)
	for i := range list {
		list[i].DataCentre = "dc0"
	}
	b := New(Options{DataCentre: "dc0", Seed: 1})
	b.Update(start, Config{Upstreams: list[:5], Self: Host{ID: "h00"}})
	b.Update(start, Config{Upstreams: list, Self: Host{ID: "h00"}})
	for _, test := range []struct {
		age       time.Duration
		w         weights
		low, high int
	}{
		{0, nil, 10, 60},
		{5 * time.Second, nil, 150, 330},
		{10 * time.Second, nil, 420, 580},
		{10 * time.Second, weights{"u5": 0.1}, 10, 60},
	} {
		if n := pickCounts(t, b, start.Add(test.age), test.w, 3000)["u5"]; n < test.low || n > test.high {
			t.Errorf("age %v, weights %v: new upstream got %d of 3000, want %d to %d", test.age, test.w, n, test.low, test.high)
		}
	}
}

// Guards against the use of remote upstreams without need, and against requests that stay in a loaded local data centre.
func TestLocalDataCentreFirst(t *testing.T) {
	b := New(Options{DataCentre: "dc0", Seed: 1})
	b.Update(start, Config{Upstreams: upstreams(6), Self: Host{ID: "h00"}})
	counts := pickCounts(t, b, start, nil, 300)
	if counts["u0"]+counts["u3"] != 300 {
		t.Errorf("unloaded: %v, want only u0 and u3", counts)
	}
	for _, id := range []settings.UpstreamID{"u0", "u3"} {
		b.Done(start, id, Result{OK: true, Load: 0.95, HasLoad: true})
	}
	counts = pickCounts(t, b, start, nil, 300)
	if counts["u0"]+counts["u3"] > 0 {
		t.Errorf("local data centre reports load 0.95: %v, want only remote upstreams", counts)
	}
	counts = pickCounts(t, b, start.Add(10*time.Second), nil, 300)
	if counts["u0"]+counts["u3"] != 300 {
		t.Errorf("10 s after the report: %v, want only u0 and u3", counts)
	}
}

// Guards against a host that does not reduce its requests in flight to an upstream that sheds load.
func TestLimitAdaptsToShedResponses(t *testing.T) {
	b := New(Options{Seed: 1})
	b.Update(start, Config{Upstreams: upstreams(1), Hosts: hosts(3), Self: hosts(3)[0]})
	inFlight := func(now time.Time) int {
		n := 0
		for {
			u, err := b.Pick(now, nil, nil)
			if err != nil {
				break
			}
			defer b.Done(now, u.ID, Result{})
			n++
		}
		return n
	}
	if n := inFlight(start); n != 4 {
		t.Fatalf("initially %d in flight, want 4, twice the share of 2", n)
	}
	now := start
	for range 10 {
		now = now.Add(minShedInterval)
		b.Done(now, "u0", Result{Shed: true})
	}
	if n := inFlight(now); n != 2 {
		t.Errorf("after shed responses %d in flight, want the share of 2", n)
	}
	for range 200 {
		u, _ := b.Pick(now, nil, nil)
		v, _ := b.Pick(now, nil, nil)
		b.Done(now, u.ID, Result{OK: true})
		b.Done(now, v.ID, Result{OK: true})
	}
	if n := inFlight(now); n <= 2 {
		t.Errorf("after 400 responses without shedding %d in flight, want more than 2", n)
	}
}

// Guards against more connections to an upstream than it accepts when many hosts share it.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	for _, n := range []int{1, 14, 16, 90, 91, 500} {
		list := hosts(n)
		for _, connections := range []int{360, 330, 7} {
			for i := range 6 {
				u := settings.Upstream{ID: settings.UpstreamID(fmt.Sprint(i)), DataCentre: "dc1", Connections: connections}
				members := Subset(u, list)
				share := ConnectionShare(u, list, members[0].ID)
				if sum := share * len(members); share < 1 || sum > connections {
					t.Errorf("%d hosts, upstream %d: %d connections with a limit of %d, shared by %d hosts", n, i, sum, connections, len(members))
				}
				for _, h := range list {
					if !slices.Contains(members, h) && h.DataCentre == "dc1" && slices.ContainsFunc(members, isRemote) {
						t.Errorf("%d hosts, upstream %d: the subset lacks local host %s but contains a remote one", n, i, h.ID)
					}
				}
			}
		}
	}
}

func isRemote(h Host) bool { return h.DataCentre != "dc1" }

// Guards against too many additional requests to a suspected upstream.
func TestSamplingIsBounded(t *testing.T) {
	b := New(Options{DataCentre: "dc0", Seed: 1})
	b.Update(start, Config{Upstreams: upstreams(6), Hosts: hosts(15), Self: hosts(15)[0]})
	suspect := weights{"u1": 2}
	sampled := 0
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		sampled += pickCounts(t, b, now, suspect, 1)["u1"]
	}
	if sampled < 7 || sampled > 9 {
		t.Errorf("remote suspected upstream got %d requests in 10 s, want one every 1.2 s", sampled)
	}
}

// Guards against all hosts that sample a suspected upstream at once when they receive its weight.
func TestSamplingIsSpread(t *testing.T) {
	sampled := 0
	for i, h := range hosts(15) {
		b := New(Options{DataCentre: "dc0", Seed: uint64(i)})
		b.Update(start, Config{Upstreams: upstreams(6), Hosts: hosts(15), Self: h})
		sampled += pickCounts(t, b, start, weights{"u1": 2}, 1)["u1"]
	}
	if sampled > 3 {
		t.Errorf("%d of 15 hosts sampled at once, want at most 3", sampled)
	}
}

// Guards against an upstream that attracts requests because it fails immediately: it reports no load, while its peers report
// some.
func TestUpstreamWithoutLoadReportsIsNotIdle(t *testing.T) {
	list := upstreams(4)
	for i := range list {
		list[i].DataCentre = "dc0"
	}
	b := New(Options{DataCentre: "dc0", Seed: 1})
	b.Update(start, Config{Upstreams: list, Self: Host{ID: "h00"}})
	now := start
	picked := 0
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		u, err := b.Pick(now, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if u.ID == "u2" {
			picked++
			b.Done(now, u.ID, Result{})
			continue
		}
		b.Done(now, u.ID, Result{OK: true, Load: 0.2, HasLoad: true})
	}
	if picked > 300 {
		t.Errorf("the upstream that reports no load got %d of 1000 requests, want about 250", picked)
	}
}
