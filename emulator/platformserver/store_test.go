package platformserver_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage"
)

// Guards against changes that are lost or applied twice because of a mismatch between the clients and the store, although
// each passes its own tests. It injects lost responses, lost writes and an outage over the real wire formats.
func TestStoreOverTheWire(t *testing.T) {
	c := start(t, longTimeout)
	host := func() *store.Store {
		return store.New(store.Options{Table: c.table, Objects: c.objects, Clock: clock.Standard{}, CallTimeout: longTimeout, SnapshotInterval: 10})
	}
	a := host()
	change := func(i int) store.Change {
		edit := settings.Edit{Op: settings.Add, Path: fmt.Sprintf("customers/customer-%d", i), Value: json.RawMessage(`{"rate":"5/s","burst":10}`)}
		return store.Change{ID: fmt.Sprintf("c%d", i), Operator: "ada", Base: uint64(i), Edits: []settings.Edit{edit}}
	}
	const changes = 25
	for i := range changes {
		c.server.Table.Faults.LoseResponses(i % 4) // 2: also that of the client's retry; 3: also that of the store's next attempt
		c.server.Table.Faults.LoseWrites(i % 3)
		revision, err := a.Apply(t.Context(), change(i))
		if err != nil || revision != uint64(i)+1 {
			t.Fatalf("change %d: revision %d, %v", i, revision, err)
		}
		if err := a.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	tree, revision, err := host().Load(t.Context())
	if err != nil || revision != changes || len(tree.Customers) != changes {
		t.Fatalf("revision %d, %d customers, %v", revision, len(tree.Customers), err)
	}
	c.server.Table.Faults.SetDown(true)
	if _, err := a.Apply(t.Context(), change(changes)); !errors.Is(err, storage.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) {
		t.Fatalf("apply during an outage: got %v, want unavailable", err)
	}
}
