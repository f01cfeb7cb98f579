package settings_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Numbers of entries at the design target.
const (
	targetServices  = 2100
	targetUpstreams = 43_000
	targetRoutes    = 34_000
	targetCustomers = 250_000
)

// newScaledTree returns a tree with the given numbers of entries, with upstreams and routes spread over the services.
func newScaledTree(services, upstreams, routes, customers int) *settings.Tree {
	tree := settings.NewTree()
	tree.DataCentres = map[string]*settings.DataCentreSpec{"dc-1": {}}
	tree.Services = make(map[string]*settings.ServiceSpec, services)
	tree.Customers = make(map[string]*settings.CustomerSpec, customers)
	name := func(i int) string { return fmt.Sprintf("service-%04d", i%services) }
	for i := range services {
		tree.Services[name(i)] = &settings.ServiceSpec{
			Upstreams: make(map[string]*settings.UpstreamSpec), Routes: make(map[string]*settings.RouteSpec),
		}
	}
	for i := range upstreams {
		tree.Services[name(i)].Upstreams[fmt.Sprintf("u%05d", i)] = &settings.UpstreamSpec{
			Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), DataCentre: "dc-1", Slots: 6, Connections: 360,
		}
	}
	for i := range routes {
		tree.Services[name(i)].Routes[fmt.Sprintf("route-%05d", i)] = &settings.RouteSpec{
			Host: fmt.Sprintf("host-%d.example", i%50), PathPrefix: fmt.Sprintf("/v1/part-%d/item-%05d", i%100, i), Methods: []string{"GET"},
		}
	}
	for i := range customers {
		id := fmt.Sprintf("customer-%06d", i)
		tree.Customers[id] = &settings.CustomerSpec{Rate: 20, Burst: 40, Keys: settings.KeyList{
			{ID: "k1", Hash: settings.HashKey(id), Granted: 1_780_000_000},
		}}
	}
	return tree
}

func encodedSize(b *testing.B, tree *settings.Tree) float64 {
	encoded, err := tree.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(encoded))
}

// liveHeapBytes collects garbage and returns the size of the live heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkMemory reports the memory, in bytes, that one entry takes in the tree and in the snapshot, and its size in JSON.
func BenchmarkMemory(b *testing.B) {
	for name, n := range map[string][4]int{
		"customer": {1, 0, 0, 100_000}, "route": {targetServices, 0, targetRoutes, 0}, "upstream": {targetServices, targetUpstreams, 0, 0},
	} {
		b.Run(name, func(b *testing.B) {
			count := float64(max(n[1], n[2], n[3]))
			for b.Loop() {
				start := liveHeapBytes()
				tree := newScaledTree(n[0], n[1], n[2], n[3])
				size := encodedSize(b, tree)
				withTree := liveHeapBytes()
				if err := tree.Validate(); err != nil {
					b.Fatal(err)
				}
				snapshot, err := tree.Snapshot(1, "dc-1")
				if err != nil {
					b.Fatal(err)
				}
				withSnapshot := liveHeapBytes()
				b.ReportMetric((withTree-start)/count, "tree-B/entry")
				b.ReportMetric((withSnapshot-withTree)/count, "snapshot-B/entry")
				b.ReportMetric(size/count, "json-B/entry")
				runtime.KeepAlive(tree)
				runtime.KeepAlive(snapshot)
			}
		})
	}
}

// BenchmarkRoute looks up routes, with up to as many routes as at the design target.
func BenchmarkRoute(b *testing.B) {
	for _, routes := range []int{34, 3400, targetRoutes} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			snapshot, err := newScaledTree(min(routes, targetServices), 0, routes, 0).Snapshot(1, "dc-1")
			if err != nil {
				b.Fatal(err)
			}
			type query struct{ host, path string }
			queries := make([]query, 1024)
			for i := range queries {
				n := i * 7919 % routes
				queries[i] = query{fmt.Sprintf("host-%d.example", n%50), fmt.Sprintf("/v1/part-%d/item-%05d/and/more", n%100, n)}
			}
			i := 0
			for b.Loop() {
				q := &queries[i%len(queries)]
				if _, ok := snapshot.Route(q.host, "GET", q.path); !ok {
					b.Fatal(q)
				}
				i++
			}
		})
	}
}

// BenchmarkApplyChange measures the work of a host for each change: apply, validate, snapshot. "cold" is without state derived
// from an earlier tree.
func BenchmarkApplyChange(b *testing.B) {
	for _, customers := range []int{1000, 10_000, 100_000, targetCustomers} {
		share := func(target int) int { return target*customers/targetCustomers + 1 }
		work := func(tree *settings.Tree, edits ...settings.Edit) (*settings.Tree, error) {
			next, _, err := tree.Apply(edits)
			if err != nil {
				return nil, err
			}
			if err := next.Validate(); err != nil {
				return nil, err
			}
			_, err = next.Snapshot(1, "dc-1")
			return next, err
		}
		tree := newScaledTree(share(targetServices), share(targetUpstreams), share(targetRoutes), customers)
		set := func(path, value string) []settings.Edit {
			return []settings.Edit{{Op: settings.Set, Path: path, Value: []byte(value)}}
		}
		for _, change := range []struct {
			name  string
			edits []settings.Edit
		}{
			{"cold", nil},
			{"customer", set("customers/customer-000007/burst", "50")},
			{"upstream", set("services/service-0000/upstreams/u00000/leaving", "true")},
			{"route", set("services/service-0000/routes/route-00000/policy/timeout", `"1s"`)},
			{"policy", set("policy/timeout", `"1s"`)},
		} {
			b.Run(fmt.Sprintf("customers=%d/%s", customers, change.name), func(b *testing.B) {
				start := tree
				if change.name != "cold" {
					warm, err := work(tree)
					if err != nil {
						b.Fatal(err)
					}
					start = warm
				}
				for b.Loop() {
					if change.name == "cold" {
						start = settings.NewTree()
						start.DataCentres, start.Services, start.Customers = tree.DataCentres, tree.Services, tree.Customers
					}
					if _, err := work(start, change.edits...); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
