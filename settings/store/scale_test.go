package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

// meteredObjectStore counts reads and writes of objects and their bytes.
type meteredObjectStore struct {
	*memory.ObjectStore
	written, read, puts, gets atomic.Int64
}

func (m *meteredObjectStore) Put(ctx context.Context, name string, data []byte) error {
	m.written.Add(int64(len(data)))
	m.puts.Add(1)
	return m.ObjectStore.Put(ctx, name, data)
}

func (m *meteredObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := m.ObjectStore.Get(ctx, name)
	m.read.Add(int64(len(data)))
	m.gets.Add(1)
	return data, err
}

// newPopulatedEnv returns a platform with the given number of customers, each with one key, and with a snapshot. The store
// that it returns has the same settings.
func newPopulatedEnv(b *testing.B, customers int) (*testEnv, *meteredObjectStore, *store.Store) {
	env := newTestEnv(b)
	objects := &meteredObjectStore{ObjectStore: env.objects}
	s := store.New(store.Options{Table: env.table, Objects: objects, Clock: clock.Standard{}, SnapshotInterval: 1 << 40})
	const perChange = 10_000
	for from, revision := 0, uint64(0); from < customers; from += perChange {
		var edits []settings.Edit
		for i := from; i < min(from+perChange, customers); i++ {
			id := fmt.Sprintf("customer-%06d", i)
			hash, _ := settings.HashKey(id).MarshalText()
			value := fmt.Sprintf(`{"rate":"20/s","burst":40,"keys":{"k1":{"hash":%q,"granted":"2026-12-01T00:00:00Z"}}}`, hash)
			edits = append(edits, settings.Edit{Op: settings.Add, Path: "customers/" + id, Value: json.RawMessage(value)})
		}
		revision = env.apply(s, fmt.Sprintf("fill-%d", from), revision, edits...)
	}
	if err := s.WriteSnapshot(b.Context()); err != nil {
		b.Fatal(err)
	}
	return env, objects, s
}

var customerCounts = []int{1000, 10_000, 100_000}

// BenchmarkLoad measures the start of a host from a snapshot and 100 changes after it.
func BenchmarkLoad(b *testing.B) {
	for _, customers := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			env, objects, s := newPopulatedEnv(b, customers)
			for i := range 100 {
				_, base := s.Current()
				env.apply(s, fmt.Sprintf("c%d", i), base, set(fmt.Sprintf("customers/customer-%06d/burst", i), "50"))
			}
			reads, _ := env.table.Counts()
			objects.read.Store(0)
			objects.gets.Store(0)
			b.ResetTimer()
			for range b.N {
				host := store.New(store.Options{Table: env.table, Objects: objects, Clock: clock.Standard{}})
				if _, _, err := host.Load(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			after, _ := env.table.Counts()
			b.ReportMetric(float64(after-reads)/float64(b.N), "table-reads/start")
			b.ReportMetric(float64(objects.gets.Load())/float64(b.N), "object-reads/start")
			b.ReportMetric(float64(objects.read.Load())/float64(b.N), "object-B/start")
		})
	}
}

// BenchmarkChange measures one change of one customer at the accepting host without network delays, and the size of the
// snapshot after all changes.
func BenchmarkChange(b *testing.B) {
	for _, customers := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			env, objects, s := newPopulatedEnv(b, customers)
			reads, writes := env.table.Counts()
			n := 0
			b.ResetTimer()
			for range b.N {
				_, base := s.Current()
				env.apply(s, fmt.Sprintf("c%d", n), base, set(fmt.Sprintf("customers/customer-%06d/burst", n%1000), fmt.Sprint(n%50+1)))
				n++
			}
			b.StopTimer()
			readsAfter, writesAfter := env.table.Counts()
			objects.written.Store(0)
			objects.puts.Store(0)
			if err := s.WriteSnapshot(b.Context()); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(readsAfter-reads)/float64(b.N), "table-reads/change")
			b.ReportMetric(float64(writesAfter-writes)/float64(b.N), "rows-written/change")
			b.ReportMetric(float64(objects.written.Load()), "next-snapshot-B")
			b.ReportMetric(float64(objects.puts.Load()), "next-snapshot-objects")
		})
	}
}

// BenchmarkPoll measures the work of a host for one change made on another host: poll, apply, validate.
func BenchmarkPoll(b *testing.B) {
	for _, customers := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			env, _, s := newPopulatedEnv(b, customers)
			poller := env.newStore()
			if _, _, err := poller.Load(b.Context()); err != nil {
				b.Fatal(err)
			}
			reads := 0
			b.ResetTimer()
			for n := range b.N {
				b.StopTimer()
				_, base := s.Current()
				env.apply(s, fmt.Sprintf("c%d", n), base, set(fmt.Sprintf("customers/customer-%06d/burst", n%1000), fmt.Sprint(n%50+1)))
				before, _ := env.table.Counts()
				b.StartTimer()
				if err := poller.Poll(b.Context()); err != nil {
					b.Fatal(err)
				}
				after, _ := env.table.Counts()
				reads += after - before
			}
			b.ReportMetric(float64(reads)/float64(b.N), "table-reads/change")
		})
	}
}
