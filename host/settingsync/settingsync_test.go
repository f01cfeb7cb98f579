package settingsync_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer/peertest"
	"github.com/bronzeyard/bronzeyard/host/settingsync"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

// fixture has two hosts that share a table and an object store.
type fixture struct {
	table   *memory.Table
	objects *memory.ObjectStore
	network *peertest.Network
	stores  [2]*store.Store
	syncers [2]*settingsync.Syncer
}

var addresses = [2]string{"host-a", "host-b"}

func newFixture() *fixture {
	f := &fixture{table: memory.NewTable(), objects: memory.NewObjectStore(), network: peertest.NewNetwork(1)}
	for i, address := range addresses {
		host := f.network.Host(fleet.Identity{ID: fleet.HostID(address), Incarnation: 1}, address)
		f.stores[i] = store.New(store.Options{Table: f.table, Objects: f.objects, Clock: clock.Standard{}})
		f.syncers[i] = settingsync.New(settingsync.Options{
			Store: f.stores[i], Caller: host, Registrar: host, Seeds: []string{addresses[1-i]},
		})
	}
	return f
}

func (f *fixture) change(t *testing.T, id string) uint64 {
	t.Helper()
	edit := settings.Edit{Op: settings.Set, Path: "data_centres/" + id, Value: []byte(`{}`)}
	revision, err := f.stores[0].Apply(t.Context(), store.Change{ID: id, Operator: "test", Edits: []settings.Edit{edit}})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// Guards against a host that keeps an old revision although it observed a newer one: reported by another host, by the
// table, or by another host that has become unreachable.
func TestObservedRevisionIsApplied(t *testing.T) {
	cases := []struct {
		name, address string
		fault         func(*fixture)
	}{
		{"by a host while the table is down", addresses[0], func(f *fixture) { f.table.Faults.SetDown(true) }},
		{"by the table", "", func(f *fixture) { f.network.Isolate(addresses[0]) }},
		{"by a host that has become unreachable", addresses[0], func(f *fixture) { f.network.Isolate(addresses[0]) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				ctx, cancel := context.WithCancel(t.Context())
				go f.syncers[1].Run(ctx)
				revision := f.change(t, "dc-1")
				c.fault(f)
				f.syncers[1].ObserveRevision(revision, c.address)
				time.Sleep(4 * time.Second) // the target for the activation of a change is 4 s; the clock is fake
				if applied := f.syncers[1].Applied(); applied != revision {
					t.Errorf("active revision is %d, want %d", applied, revision)
				}
				cancel()
				synctest.Wait()
				f.network.Close()
			})
		})
	}
}

// Guards against a host that cannot start while the platform is unavailable although its seeds have the settings.
func TestStartFromSeedDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		revision := f.change(t, "dc-1")
		f.table.Faults.SetDown(true)
		f.objects.Faults.SetDown(true)
		if err := f.syncers[1].Start(t.Context()); err != nil || f.syncers[1].Applied() != revision {
			t.Errorf("revision %d, %v; want %d", f.syncers[1].Applied(), err, revision)
		}
		f.network.Isolate(addresses[1])
		if err := f.syncers[0].Start(t.Context()); err == nil {
			t.Error("Start returned no error although platform and seeds are unreachable")
		}
		f.network.Close()
	})
}
