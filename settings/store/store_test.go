package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

// testEnv is a platform that several stores share, one for each host.
type testEnv struct {
	t       testing.TB
	table   *memory.Table
	objects *memory.ObjectStore
}

func newTestEnv(t testing.TB) *testEnv {
	return &testEnv{t: t, table: memory.NewTable(), objects: memory.NewObjectStore()}
}

func (env *testEnv) newStore() *store.Store {
	return store.New(store.Options{
		Table: env.table, Objects: env.objects, Clock: clock.Standard{}, CallTimeout: time.Minute, SnapshotInterval: 5,
	})
}

func (env *testEnv) apply(s *store.Store, id string, base uint64, edits ...settings.Edit) uint64 {
	env.t.Helper()
	revision, err := s.Apply(env.t.Context(), store.Change{ID: id, Operator: "ada", Base: base, Edits: edits})
	if err != nil {
		env.t.Fatalf("change %s: %v", id, err)
	}
	return revision
}

func set(path, value string) settings.Edit {
	return settings.Edit{Op: settings.Set, Path: path, Value: json.RawMessage(value)}
}

func addCustomer(id string) settings.Edit {
	return settings.Edit{Op: settings.Add, Path: "customers/" + id, Value: json.RawMessage(`{"rate":"5/s","burst":10}`)}
}

func requireRevision(t testing.TB, s *store.Store, want uint64) {
	t.Helper()
	if _, got := s.Current(); got != want {
		t.Fatalf("active revision is %d, want %d", got, want)
	}
}

// Guards against a silent overwrite when two operators change the same path, and against a conflict when they change
// different paths.
func TestConflictingAndMergedChanges(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.newStore(), env.newStore()
	env.apply(a, "c1", 0, addCustomer("harbour"))
	env.apply(a, "c2", 1, set("customers/harbour/rate", `"7/s"`))

	_, err := b.Apply(t.Context(), store.Change{
		ID: "c3", Operator: "bo", Base: 1, Edits: []settings.Edit{set("customers/harbour", `{"rate":"9/s","burst":9}`)},
	})
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Changes) != 1 || conflict.Changes[0].Operator != "ada" ||
		conflict.Changes[0].Paths[0] != "customers/harbour/rate" || conflict.Head != 2 {
		t.Fatalf("got %v, want a conflict that names ada and customers/harbour/rate", err)
	}
	if got := env.apply(b, "c4", 1, set("customers/harbour/burst", "20")); got != 3 {
		t.Fatalf("a change of another path got revision %d, want it merged as 3", got)
	}
	if err := a.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	tree, _ := a.Current()
	if c := tree.Customers["harbour"]; c.Rate != 7 || c.Burst != 20 {
		t.Fatalf("merged customer is %+v, want rate 7 and burst 20", c)
	}
}

// Guards against a change that is applied twice, lost, or reported as failed when a write or its response is lost.
func TestLostResponses(t *testing.T) {
	faults := map[string]func(*testEnv){
		"lost response": func(env *testEnv) { env.table.Faults.LoseResponses(1) },
		"lost write":    func(env *testEnv) { env.table.Faults.LoseWrites(1) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			a := env.newStore()
			env.apply(a, "c1", 0, addCustomer("harbour"))
			inject(env)
			if got := env.apply(a, "c2", 1, addCustomer("mill")); got != 2 {
				t.Fatalf("change got revision %d, want 2", got)
			}
			if got := env.apply(env.newStore(), "c2", 1, addCustomer("mill")); got != 2 {
				t.Fatalf("change repeated at another host got revision %d, want 2", got)
			}
			_, err := a.Apply(t.Context(), store.Change{
				ID: "c2", Operator: "ada", Base: 1, Edits: []settings.Edit{addCustomer("hall")},
			})
			if !errors.Is(err, store.ErrChangeIDReused) {
				t.Fatalf("a different change with the same id: got %v, want ErrChangeIDReused", err)
			}
			requireRevision(t, a, 2)
		})
	}
}

// Guards against a change that is reported as not made although its write took effect and can't be read back.
func TestOutcomeUnknown(t *testing.T) {
	env := newTestEnv(t)
	table := &interruptedTable{Table: env.table}
	a := store.New(store.Options{Table: table, Objects: env.objects, Clock: clock.Standard{}})
	change := store.Change{ID: "c1", Operator: "ada", Edits: []settings.Edit{addCustomer("harbour")}}
	table.interrupt = true
	if _, err := a.Apply(t.Context(), change); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
	table.interrupt, table.down = false, false
	if revision, err := a.Apply(t.Context(), change); err != nil || revision != 1 {
		t.Fatalf("repeated change: got revision %d and error %v, want 1 and none", revision, err)
	}
}

// interruptedTable becomes unavailable during a write that takes effect.
type interruptedTable struct {
	*memory.Table
	interrupt, down bool
}

func (c *interruptedTable) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if c.down {
		return storage.Item{}, storage.ErrUnavailable
	}
	return c.Table.Get(ctx, key)
}

func (c *interruptedTable) Transact(ctx context.Context, writes []storage.Write) error {
	if !c.interrupt {
		return c.Table.Transact(ctx, writes)
	}
	c.down = true
	if err := c.Table.Transact(ctx, writes); err != nil {
		return err
	}
	return storage.ErrUnknownOutcome
}

// Guards against a starting host that stays at a stale snapshot or reads the whole log, and against a host that replaces
// the snapshot by an older one.
func TestLoadFromSnapshot(t *testing.T) {
	env := newTestEnv(t)
	a := env.newStore()
	for i := range uint64(12) {
		env.apply(a, fmt.Sprintf("c%d", i), i, addCustomer(fmt.Sprintf("customer-%d", i)))
		if err := a.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	before, _ := env.table.Counts()
	b := env.newStore()
	tree, revision, err := b.Load(t.Context())
	if err != nil || revision != 12 || len(tree.Customers) != 12 {
		t.Fatalf("loaded revision %d with %d customers and error %v, want 12, 12 and none", revision, len(tree.Customers), err)
	}
	if after, _ := env.table.Counts(); after-before != 3 {
		t.Fatalf("a starting host made %d reads, want 3: manifest, head, log", after-before)
	}
	if got := b.Status().SnapshotRevision; got != 10 {
		t.Fatalf("host loaded a snapshot of revision %d, want 10", got)
	}
	stale := env.newStore()
	if err := env.importInto(stale, a, 0); err != nil {
		t.Fatal(err)
	}
	env.apply(a, "c12", 12, addCustomer("customer-12"))
	if err := errors.Join(a.WriteSnapshot(t.Context()), stale.WriteSnapshot(t.Context())); err != nil {
		t.Fatal(err)
	}
	manifest, err := env.table.Get(t.Context(), storage.Key{Partition: "settings", Sort: "manifest"})
	if err != nil || manifest.Version != 13 {
		t.Fatalf("a host at revision 12 replaced the snapshot of revision 13 by one of %d (%v)", manifest.Version, err)
	}
}

// importInto transfers from one host to another and returns the error of the receiver.
func (env *testEnv) importInto(to, from *store.Store, after uint64) error {
	env.t.Helper()
	data, err := from.ExportAfter(after)
	if err != nil {
		env.t.Fatal(err)
	}
	_, err = to.Import(data)
	return err
}

// hookedObjectStore calls beforeGet before it reads an object.
type hookedObjectStore struct {
	*memory.ObjectStore
	beforeGet func()
}

func (o *hookedObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	o.beforeGet()
	return o.ObjectStore.Get(ctx, name)
}

// Guards against a change too large for a row that is lost, made only in part, or applied although its object is damaged.
func TestLargeChange(t *testing.T) {
	env := newTestEnv(t)
	a, b, c := env.newStore(), env.newStore(), env.newStore()
	var edits []settings.Edit
	for i := range 4000 {
		edits = append(edits, addCustomer(fmt.Sprintf("customer-%d", i)))
	}
	change := store.Change{ID: "c1", Operator: "ada", Edits: edits}
	env.objects.Faults.SetDown(true)
	if _, err := a.Apply(t.Context(), change); !errors.Is(err, storage.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want unavailable with a known outcome", err)
	}
	env.objects.Faults.SetDown(false)
	env.apply(a, "c1", 0, edits...)
	if tree, revision, err := b.Load(t.Context()); err != nil || revision != 1 || len(tree.Customers) != 4000 {
		t.Fatalf("loaded revision %d with %d customers and error %v, want 1, 4000 and none", revision, len(tree.Customers), err)
	}
	items, err := env.table.Query(t.Context(), "settings/log/00000000000000000000", "", 10)
	if err != nil || len(items) != 1 {
		t.Fatalf("the log has %d rows, error %v; want 1 row", len(items), err)
	}
	record, err := store.DecodeRecord(items[0].Value)
	if err != nil || record.Object == "" {
		t.Fatalf("row of %d bytes does not refer to an object; error %v", len(items[0].Value), err)
	}
	if err := env.objects.Put(t.Context(), record.Object, []byte(`[]`)); err != nil {
		t.Fatal(err)
	}
	var damaged *store.DamagedError
	if _, revision, err := c.Load(t.Context()); !errors.As(err, &damaged) || revision != 0 {
		t.Fatalf("damaged object: got revision %d and %v, want 0 and a DamagedError", revision, err)
	}
}

// Guards against data races, and against a change that is lost, rejected or made twice when several hosts accept changes at
// the same time.
func TestConcurrentOperators(t *testing.T) {
	env := newTestEnv(t)
	const hosts, changes = 4, 10
	var group sync.WaitGroup
	for h := range hosts {
		group.Go(func() {
			s := env.newStore()
			for i := range changes {
				change := store.Change{ID: fmt.Sprintf("c-%d-%d", h, i), Operator: "ada", Edits: []settings.Edit{addCustomer(fmt.Sprintf("customer-%d-%d", h, i))}}
				for {
					_, err := s.Apply(t.Context(), change)
					if err == nil {
						break
					}
					if !errors.Is(err, storage.ErrUnavailable) {
						t.Errorf("change %s: %v", change.ID, err)
						return
					}
				}
			}
		})
	}
	group.Wait()
	tree, revision, err := env.newStore().Load(t.Context())
	if err != nil || revision != hosts*changes || len(tree.Customers) != hosts*changes {
		t.Fatalf("revision %d, %d customers, %v; want %d of both", revision, len(tree.Customers), err, hosts*changes)
	}
}

// countingObjectStore counts writes of objects.
type countingObjectStore struct {
	*memory.ObjectStore
	puts atomic.Int64
}

func (c *countingObjectStore) Put(ctx context.Context, name string, data []byte) error {
	c.puts.Add(1)
	return c.ObjectStore.Put(ctx, name, data)
}

// Guards against a snapshot that writes the whole tree again after one change, or that loads as a different tree.
func TestSnapshotSharesChunks(t *testing.T) {
	env := newTestEnv(t)
	objects := &countingObjectStore{ObjectStore: env.objects}
	a := store.New(store.Options{Table: env.table, Objects: objects, Clock: clock.Standard{}})
	var edits []settings.Edit
	for i := range 5000 {
		edits = append(edits, addCustomer(fmt.Sprintf("customer-%d", i)))
	}
	env.apply(a, "c1", 0, edits...)
	if err := a.WriteSnapshot(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := objects.puts.Load()
	env.apply(a, "c2", 1, set("customers/customer-7/burst", "11"))
	if err := a.WriteSnapshot(t.Context()); err != nil {
		t.Fatal(err)
	}
	if after := objects.puts.Load(); before < 8 || after-before != 1 {
		t.Fatalf("%d objects for the first snapshot and %d for one changed customer, want 8 or more and 1", before, after-before)
	}
	ignore := cmpopts.IgnoreUnexported(settings.Tree{}, settings.CustomerSpec{})
	loaded, _, err := env.newStore().Load(t.Context())
	if tree, _ := a.Current(); err != nil || !cmp.Equal(tree, loaded, ignore) {
		t.Fatalf("the snapshot differs from the tree: %v", err)
	}
}

// Guards against a host that goes back to an older revision when a peer's transfer arrives while it reads an older snapshot,
// or when the table is restored to an older state; and against a host that applies changes with a gap before them.
func TestRevisionNeverDecreases(t *testing.T) {
	env := newTestEnv(t)
	a := env.newStore()
	for i := range uint64(5) {
		env.apply(a, fmt.Sprintf("c%d", i), i, addCustomer(fmt.Sprintf("customer-%d", i)))
	}
	if err := a.WriteSnapshot(t.Context()); err != nil {
		t.Fatal(err)
	}
	env.apply(a, "c5", 5, addCustomer("customer-5"))

	var b *store.Store
	objects := &hookedObjectStore{ObjectStore: env.objects, beforeGet: func() {
		if err := env.importInto(b, a, 0); err != nil {
			t.Error(err)
		}
	}}
	b = store.New(store.Options{Table: env.table, Objects: objects, Clock: clock.Standard{}})
	var seen []uint64
	b.OnChange(func(_ *settings.Tree, revision uint64) { seen = append(seen, revision) })
	if _, _, err := b.Load(t.Context()); err != nil || fmt.Sprint(seen) != "[0 6]" {
		t.Fatalf("revisions %v became active, want 0 and 6; %v", seen, err)
	}

	var damaged *store.DamagedError
	if err := env.importInto(env.newStore(), a, 5); !errors.As(err, &damaged) {
		t.Fatalf("import of revision 6 without 1 to 5: got %v, want a DamagedError", err)
	}
	olderHead := storage.Write{Kind: storage.Put, Key: store.HeadKey(), Version: 2}
	if err := env.table.Transact(t.Context(), []storage.Write{olderHead}); err != nil {
		t.Fatal(err)
	}
	if err := b.Poll(t.Context()); !errors.As(err, &damaged) || b.Status().Fault == "" {
		t.Fatalf("table restored to revision 2: got %v and %+v, want a DamagedError and a fault", err, b.Status())
	}
	requireRevision(t, b, 6)
}

// Guards against changes that are made in part during an outage, and against a host that cannot start from a peer.
func TestStoreOutage(t *testing.T) {
	env := newTestEnv(t)
	a, starting := env.newStore(), env.newStore()
	env.apply(a, "c1", 0, addCustomer("harbour"))
	env.table.Faults.SetDown(true)
	env.objects.Faults.SetDown(true)
	change := store.Change{ID: "c2", Operator: "ada", Base: 1, Edits: []settings.Edit{addCustomer("mill")}}
	if _, err := a.Apply(t.Context(), change); !errors.Is(err, storage.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want unavailable with a known outcome", err)
	}
	if _, _, err := starting.Load(t.Context()); !errors.Is(err, storage.ErrUnavailable) {
		t.Fatalf("got %v, want unavailable", err)
	}
	data, err := a.Export()
	if err != nil {
		t.Fatal(err)
	}
	if revision, err := starting.Import(data); err != nil || revision != 1 {
		t.Fatalf("import: got revision %d and error %v, want 1 and none", revision, err)
	}
	requireRevision(t, a, 1)
}

// Guards against a host that applies a damaged row, goes back to an older revision, or does not report the fault.
func TestDamagedRows(t *testing.T) {
	for name, damage := range map[string]func(storage.Item) storage.Item{
		"not JSON":        func(item storage.Item) storage.Item { item.Value = []byte("{"); return item },
		"unknown member":  func(item storage.Item) storage.Item { item.Value = []byte(`{"x":1}`); return item },
		"other revision":  func(item storage.Item) storage.Item { item.Version = 9; return item },
		"invalid setting": withInvalidEdit,
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			a, b := env.newStore(), env.newStore()
			env.apply(a, "c1", 0, addCustomer("harbour"))
			env.apply(a, "c2", 1, addCustomer("mill"))
			key := storage.Key{Partition: "settings/log/00000000000000000000", Sort: "00000000000000000002"}
			item, err := env.table.Get(t.Context(), key)
			if err != nil {
				t.Fatal(err)
			}
			item = damage(item)
			write := storage.Write{Kind: storage.Put, Key: key, Value: item.Value, Version: item.Version}
			if err := env.table.Transact(t.Context(), []storage.Write{write}); err != nil {
				t.Fatal(err)
			}
			_, revision, err := b.Load(t.Context())
			var damaged *store.DamagedError
			if !errors.As(err, &damaged) || damaged.Revision != 2 || revision != 1 || b.Status().Fault == "" {
				t.Fatalf("loaded revision %d, error %v, status %+v; want revision 1 and a DamagedError at 2", revision, err, b.Status())
			}
			if err := a.WriteSnapshot(t.Context()); err != nil {
				t.Fatal(err)
			}
			if err := b.Poll(t.Context()); err != nil || b.Status().Fault != "" {
				t.Fatalf("after a newer snapshot: %v, %+v", err, b.Status())
			}
			requireRevision(t, b, 2)
		})
	}
}

func withInvalidEdit(item storage.Item) storage.Item {
	item.Value = []byte(`{"revision":2,"id":"c2","operator":"x","time":"2026-01-01T00:00:00Z","base":1,` +
		`"edits":[{"op":"set","path":"customers/harbour/burst","value":0}]}`)
	return item
}

// Guards against panics on damaged rows, and against accepted rows that are rejected after encoding them again.
func FuzzDecodeRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := store.DecodeRecord(data)
		if err != nil {
			return
		}
		if record.Revision == 0 || len(record.Edits) > 0 && record.Object != "" {
			t.Fatalf("accepted %+v", record)
		}
		encoded, err := json.Marshal(record)
		if err != nil {
			t.Fatalf("accepted %+v, which cannot be encoded: %v", record, err)
		}
		if _, err := store.DecodeRecord(encoded); err != nil {
			t.Fatalf("%v in %s", err, encoded)
		}
	})
}
