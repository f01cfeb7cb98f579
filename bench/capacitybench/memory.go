package capacitybench

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"runtime"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Memory is the live heap that the settings take in one host for a number of entries.
type Memory struct {
	Entry string `json:"entry"`
	Count int    `json:"count"`
	// TreeKiB is the heap of the tree. SnapshotKiB is what the validated snapshot adds.
	TreeKiB     float64 `json:"tree_kib"`
	SnapshotKiB float64 `json:"snapshot_kib"`
	// TransferKiB is the size of the tree as one host sends it to another, JSON compressed by gzip.
	TransferKiB float64 `json:"transfer_kib"`
}

// targetServices is the number of services in the design target. Routes and upstreams are spread over them.
const targetServices = 2100

// measureMemory measures each kind of entry at a hundredth, a tenth and all of its design target.
func measureMemory() ([]Memory, error) {
	kinds := []struct {
		entry  string
		target int
		add    func(tree *settings.Tree, i int)
	}{
		{"customer", 250_000, addCustomer},
		{"route", 34_000, addRoute},
		{"upstream", 43_000, addUpstream},
	}
	var all []Memory
	for _, kind := range kinds {
		for _, count := range []int{kind.target / 100, kind.target / 10, kind.target} {
			m, err := settingsMemory(count, kind.add)
			if err != nil {
				return all, err
			}
			m.Entry = kind.entry
			all = append(all, m)
		}
	}
	return all, nil
}

func settingsMemory(count int, add func(*settings.Tree, int)) (Memory, error) {
	tree := settings.NewTree()
	tree.DataCentres = map[string]*settings.DataCentreSpec{"dc-1": {}}
	tree.Services = make(map[string]*settings.ServiceSpec)
	tree.Customers = make(map[string]*settings.CustomerSpec)
	for i := range targetServices {
		tree.Services[serviceName(i)] = &settings.ServiceSpec{
			Upstreams: make(map[string]*settings.UpstreamSpec), Routes: make(map[string]*settings.RouteSpec),
		}
	}
	start := liveHeap()
	for i := range count {
		add(tree, i)
	}
	withTree := liveHeap()
	if err := tree.Validate(); err != nil {
		return Memory{}, err
	}
	snapshot, err := tree.Snapshot(1, "dc-1")
	if err != nil {
		return Memory{}, err
	}
	withSnapshot := liveHeap()
	transfer, err := compressedSize(tree)
	runtime.KeepAlive(tree)
	runtime.KeepAlive(snapshot)
	return Memory{
		Count: count, TreeKiB: kib(withTree-start, 1), SnapshotKiB: kib(withSnapshot-withTree, 1), TransferKiB: kib(transfer, 1),
	}, err
}

func compressedSize(tree *settings.Tree) (int64, error) {
	encoded, err := tree.Encode()
	if err != nil {
		return 0, err
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, err = writer.Write(encoded)
	err = errors.Join(err, writer.Close())
	return int64(buffer.Len()), err
}

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i%targetServices) }

func addCustomer(tree *settings.Tree, i int) {
	id := fmt.Sprintf("customer-%06d", i)
	tree.Customers[id] = &settings.CustomerSpec{Rate: 20, Burst: 40, Keys: settings.KeyList{
		{ID: "k1", Hash: settings.HashKey(id), Granted: 1_780_000_000},
	}}
}

func addRoute(tree *settings.Tree, i int) {
	tree.Services[serviceName(i)].Routes[fmt.Sprintf("route-%05d", i)] = &settings.RouteSpec{
		Host: fmt.Sprintf("host-%d.example", i%50), PathPrefix: fmt.Sprintf("/v1/part-%d/item-%05d", i%100, i),
		Methods: []string{"GET"},
	}
}

func addUpstream(tree *settings.Tree, i int) {
	tree.Services[serviceName(i)].Upstreams[fmt.Sprintf("u%05d", i)] = &settings.UpstreamSpec{
		Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), DataCentre: "dc-1", Slots: 6, Connections: 360,
	}
}
