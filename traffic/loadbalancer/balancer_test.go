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

// shares picks n times with at most two requests in flight and returns how often each upstream was taken.
func shares(t *testing.T, b *Balancer, now time.Time, w Weighter, n int) map[settings.UpstreamID]int {
	t.Helper()
	taken := map[settings.UpstreamID]int{}
	var open []settings.UpstreamID
	for range n {
		u, err := b.Pick(now, w, nil)
		if err != nil {
			t.Fatal(err)
		}
		taken[u.ID]++
		open = append(open, u.ID)
		if len(open) == 2 {
			b.Done(now, open[0], Result{OK: true})
			open = open[1:]
		}
	}
	for _, id := range open {
		b.Done(now, id, Result{OK: true})
	}
	return taken
}

// Guards against requests to upstreams that must get none: leaving (I9), draining, ejected and excluded ones.
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
			t.Fatalf("picked %s", u.ID)
		}
		b.Done(start, u.ID, Result{OK: true})
	}
	if _, err := b.Pick(start, ejected, []settings.UpstreamID{"u0", "u3", "u4", "u5"}); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("nothing usable: %v, want ErrNoUpstream", err)
	}
}

// Guards against a full share for upstreams that just appeared or return from ejection.
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
		if n := shares(t, b, start.Add(test.age), test.w, 3000)["u5"]; n < test.low || n > test.high {
			t.Errorf("age %v, weights %v: new upstream got %d of 3000, want %d to %d", test.age, test.w, n, test.low, test.high)
		}
	}
}

// Guards against remote upstreams being used without need, and against a loaded own data centre being kept.
func TestOwnDataCentreFirst(t *testing.T) {
	b := New(Options{DataCentre: "dc0", Seed: 1})
	b.Update(start, Config{Upstreams: upstreams(6), Self: Host{ID: "h00"}})
	taken := shares(t, b, start, nil, 300)
	if taken["u0"]+taken["u3"] != 300 {
		t.Errorf("unloaded: %v, want only u0 and u3", taken)
	}
	for _, id := range []settings.UpstreamID{"u0", "u3"} {
		b.Done(start, id, Result{OK: true, Load: 0.95, HasLoad: true})
	}
	taken = shares(t, b, start, nil, 300)
	if taken["u0"]+taken["u3"] > 0 {
		t.Errorf("own data centre reports load 0.95: %v, want only others", taken)
	}
	taken = shares(t, b, start.Add(10*time.Second), nil, 300)
	if taken["u0"]+taken["u3"] != 300 {
		t.Errorf("10 s after the report: %v, want only u0 and u3", taken)
	}
}

// Guards against a host that goes on sending at the same rate to an upstream that sheds load.
func TestLimitAdaptsToShedAnswers(t *testing.T) {
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
		t.Fatalf("at first %d in flight, want twice the share of 2", n)
	}
	now := start
	for range 10 {
		now = now.Add(shedInterval)
		b.Done(now, "u0", Result{Shed: true})
	}
	if n := inFlight(now); n != 2 {
		t.Errorf("after shed answers %d in flight, want the share of 2", n)
	}
	for range 200 {
		u, _ := b.Pick(now, nil, nil)
		v, _ := b.Pick(now, nil, nil)
		b.Done(now, u.ID, Result{OK: true})
		b.Done(now, v.ID, Result{OK: true})
	}
	if n := inFlight(now); n <= 2 {
		t.Errorf("after a time without shed answers %d in flight, want more than 2", n)
	}
}

// Guards against more connections than an upstream accepts when many hosts share it.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	for _, n := range []int{1, 14, 16, 90, 91, 500} {
		list := hosts(n)
		for _, connections := range []int{360, 330, 7} {
			for i := range 6 {
				u := settings.Upstream{ID: settings.UpstreamID(fmt.Sprint(i)), DataCentre: "dc1", Connections: connections}
				members := Subset(u, list)
				share := ConnectionShare(u, list, members[0].ID)
				if sum := share * len(members); share < 1 || sum > connections {
					t.Errorf("%d hosts, upstream %d: %d connections of %d by %d hosts", n, i, sum, connections, len(members))
				}
				for _, h := range list {
					if !slices.Contains(members, h) && h.DataCentre == "dc1" && slices.ContainsFunc(members, isRemote) {
						t.Errorf("%d hosts, upstream %d: host %s of its data centre is left out for a remote one", n, i, h.ID)
					}
				}
			}
		}
	}
}

func isRemote(h Host) bool { return h.DataCentre != "dc1" }

// Guards against additional requests to a suspect that are too many.
func TestSamplingIsBounded(t *testing.T) {
	b := New(Options{DataCentre: "dc0", Seed: 1})
	b.Update(start, Config{Upstreams: upstreams(6), Hosts: hosts(15), Self: hosts(15)[0]})
	suspect := weights{"u1": 2}
	taken := 0
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		taken += shares(t, b, now, suspect, 1)["u1"]
	}
	if taken < 7 || taken > 9 {
		t.Errorf("suspect in another data centre got %d requests in 10 s, want one each 1.2 s", taken)
	}
}

// Guards against all hosts sampling a suspect at once when they learn of it.
func TestSamplingIsSpread(t *testing.T) {
	first := 0
	for i, h := range hosts(15) {
		b := New(Options{DataCentre: "dc0", Seed: uint64(i)})
		b.Update(start, Config{Upstreams: upstreams(6), Hosts: hosts(15), Self: h})
		first += shares(t, b, start, weights{"u1": 2}, 1)["u1"]
	}
	if first > 3 {
		t.Errorf("%d of 15 hosts sampled at once", first)
	}
}

// Guards against an upstream that fails at once drawing requests: it reports no load, while its peers report some.
func TestSilentUpstreamIsNotIdle(t *testing.T) {
	list := upstreams(4)
	for i := range list {
		list[i].DataCentre = "dc0"
	}
	b := New(Options{DataCentre: "dc0", Seed: 1})
	b.Update(start, Config{Upstreams: list, Self: Host{ID: "h00"}})
	now := start
	silent := 0
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		u, err := b.Pick(now, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if u.ID == "u2" {
			silent++
			b.Done(now, u.ID, Result{})
			continue
		}
		b.Done(now, u.ID, Result{OK: true, Load: 0.2, HasLoad: true})
	}
	if silent > 300 {
		t.Errorf("the upstream that reports nothing got %d of 1000 requests, want about 250", silent)
	}
}
