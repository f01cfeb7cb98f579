package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/bronzeyard/bronzeyard/settings"
)

const subsetHosts = 43

func manyUpstreams(n int) []settings.Upstream {
	upstreams := make([]settings.Upstream, n)
	for i := range upstreams {
		zone := [...]string{"north", "south", "east"}[i%3]
		upstreams[i] = settings.Upstream{ID: settings.UpstreamID(fmt.Sprint("i-", i)), DataCentre: zone}
	}
	return upstreams
}

func subsets(upstreams []settings.Upstream, hosts int) [][]settings.Upstream {
	var all [][]settings.Upstream
	for h := range hosts {
		zone := [...]string{"north", "south", "east"}[h%3]
		all = append(all, NewSubset(fmt.Sprint("edge-", h), zone).Of(upstreams, hosts))
	}
	return all
}

// Guards against upstreams of a large service that are used by no host, with 4, 43 and 300 hosts. The test log shows the
// smallest and the largest number of hosts that use an upstream.
func TestSubsetsUseEveryUpstream(t *testing.T) {
	for _, c := range []struct{ hosts, upstreams int }{{subsetHosts, 143}, {4, 143}, {300, 2600}} {
		users := make(map[settings.UpstreamID]int)
		for _, chosen := range subsets(manyUpstreams(c.upstreams), c.hosts) {
			for _, u := range chosen {
				users[u.ID]++
			}
		}
		least, most := c.hosts, 0
		for _, u := range manyUpstreams(c.upstreams) {
			least, most = min(least, users[u.ID]), max(most, users[u.ID])
		}
		t.Logf("%d hosts, %d upstreams: used by %d to %d hosts", c.hosts, c.upstreams, least, most)
		if least == 0 {
			t.Errorf("%d hosts, %d upstreams: some upstream is used by no host", c.hosts, c.upstreams)
		}
	}
}

// Guards against a change of whole subsets, and with it of most connections, when one upstream is removed.
func TestSubsetIsStable(t *testing.T) {
	upstreams := manyUpstreams(143)
	before := subsets(upstreams, subsetHosts)
	after := subsets(slices.Delete(slices.Clone(upstreams), 7, 8), subsetHosts)
	for h := range before {
		changed := 0
		for _, u := range after[h] {
			if !slices.ContainsFunc(before[h], func(v settings.Upstream) bool { return v.ID == u.ID }) {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("host %d has %d new upstreams after one was removed, want at most 1", h, changed)
		}
	}
}

// Guards against small services of which a host uses only a part, and against leaving upstreams in a subset.
func TestSubsetOfSmallServicesAndLeavingUpstreams(t *testing.T) {
	small := manyUpstreams(minSubset)
	if got := NewSubset("a", "north").Of(small, subsetHosts); len(got) != minSubset {
		t.Errorf("%d of %d upstreams of a small service are used", len(got), minSubset)
	}
	large := manyUpstreams(90)
	for i := range 45 {
		large[i].Leaving = true
	}
	got := NewSubset("a", "north").Of(large, subsetHosts)
	if len(got) != minSubset || slices.ContainsFunc(got, func(u settings.Upstream) bool { return u.Leaving }) {
		t.Errorf("the subset has %d upstreams or contains leaving ones", len(got))
	}
}
