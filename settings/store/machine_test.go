package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// link is one host's way to the platform. Each fault applies to the next calls of that host only.
type link struct {
	table *memory.Table
	// writes are the fates of the next transactions; reads is the number of reads that fail after the next transaction.
	writes []string
	reads  int
	armed  int
	down   bool
	garble bool
	late   *[][]storage.Write
}

func (l *link) read() error {
	if l.down {
		return storage.ErrUnavailable
	}
	if l.armed > 0 {
		l.armed--
		return storage.ErrUnavailable
	}
	return nil
}

func (l *link) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if err := l.read(); err != nil {
		return storage.Item{}, err
	}
	return l.table.Get(ctx, key)
}

func (l *link) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	if err := l.read(); err != nil {
		return nil, err
	}
	items, err := l.table.Query(ctx, partition, after, limit)
	if l.garble && len(items) > 0 {
		items[len(items)/2].Value = []byte(`{"revision":`)
	}
	return items, err
}

func (l *link) Transact(ctx context.Context, writes []storage.Write) error {
	if l.down {
		return storage.ErrUnavailable
	}
	fate := "ok"
	if len(l.writes) > 0 {
		fate, l.writes = l.writes[0], l.writes[1:]
		l.armed, l.reads = l.reads, 0
	}
	switch fate {
	case "answer lost":
		if err := l.table.Transact(ctx, writes); err != nil {
			return err
		}
		return storage.ErrUnknownOutcome
	case "write lost":
		return storage.ErrUnknownOutcome
	case "late":
		*l.late = append(*l.late, writes)
		return storage.ErrUnknownOutcome
	case "refused":
		return storage.ErrUnavailable
	default:
		return l.table.Transact(ctx, writes)
	}
}

// outcome is what the operator was told about a change.
type outcome struct {
	change   store.Change
	revision uint64
	unknown  bool
}

// machine is a fleet of hosts with faults, and what operators were told.
type machine struct {
	t        *rapid.T
	table    *memory.Table
	objects  *memory.ObjectStore
	links    []*link
	hosts    []*store.Store
	applied  []uint64
	late     [][]storage.Write
	changes  map[string]*outcome
	ids      []string
	refused  map[string]bool
	trees    map[uint64]string
	nextName int
}

const machineHosts = 3

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t: t, table: memory.NewTable(), objects: memory.NewObjectStore(), applied: make([]uint64, machineHosts),
		changes: make(map[string]*outcome), refused: make(map[string]bool), trees: make(map[uint64]string),
	}
	for i := range machineHosts {
		m.links = append(m.links, &link{table: m.table, late: &m.late})
		m.hosts = append(m.hosts, nil)
		m.start(i)
	}
	return m
}

func (m *machine) start(i int) {
	m.hosts[i] = store.New(store.Options{Table: m.links[i], Objects: m.objects, Clock: clock.Standard{}, SnapshotInterval: 4})
	m.applied[i] = 0
	m.hosts[i].OnChange(func(_ *settings.Tree, revision uint64) {
		if revision < m.applied[i] {
			m.t.Fatalf("host %d went from revision %d to %d", i, m.applied[i], revision)
		}
		m.applied[i] = revision
	})
}

func (m *machine) host() int { return rapid.IntRange(0, machineHosts-1).Draw(m.t, "host") }

func (m *machine) newChange(base uint64) store.Change {
	m.nextName++
	id := fmt.Sprintf("c%d", m.nextName)
	edits := []settings.Edit{addCustomer(id)}
	if rapid.Bool().Draw(m.t, "shared") {
		value := fmt.Sprintf(`"%ds"`, m.nextName)
		edits = append(edits, settings.Edit{Op: settings.Set, Path: "policy/timeout", Value: json.RawMessage(value)})
	}
	return store.Change{ID: id, Operator: "ada", Base: base, Edits: edits}
}

func (m *machine) apply(i int, change store.Change) {
	known := m.changes[change.ID]
	revision, err := m.hosts[i].Apply(context.Background(), change)
	switch {
	case err == nil:
		if known != nil && !known.unknown && known.revision != revision {
			m.t.Fatalf("change %s was accepted as %d and then as %d", change.ID, known.revision, revision)
		}
		m.changes[change.ID] = &outcome{change: change, revision: revision}
	case errors.Is(err, store.ErrOutcomeUnknown):
		if known == nil {
			m.changes[change.ID] = &outcome{change: change, unknown: true}
		}
	case known == nil:
		m.refused[change.ID] = true
	}
	if m.changes[change.ID] != nil && known == nil {
		m.ids = append(m.ids, change.ID)
	}
}

// check compares every host with every other and with what operators were told.
func (m *machine) check() {
	for i, host := range m.hosts {
		tree, revision := host.Current()
		if revision != m.applied[i] {
			m.t.Fatalf("host %d has revision %d in force and announced %d", i, revision, m.applied[i])
		}
		encoded, err := tree.Encode()
		if err != nil {
			m.t.Fatal(err)
		}
		if other, found := m.trees[revision]; found && other != string(encoded) {
			m.t.Fatalf("revision %d differs between hosts:\n%s\n%s", revision, other, encoded)
		}
		m.trees[revision] = string(encoded)
		for id, outcome := range m.changes {
			if _, has := tree.Customers[id]; !outcome.unknown && revision >= outcome.revision && !has {
				m.t.Fatalf("host %d at revision %d lacks change %s, accepted as %d", i, revision, id, outcome.revision)
			}
		}
		for id := range m.refused {
			if _, has := tree.Customers[id]; has {
				m.t.Fatalf("host %d has change %s, of which the operator was told that nothing was changed", i, id)
			}
		}
	}
}

// heal ends all faults, and requires that all hosts and a new one reach the head and agree.
func (m *machine) heal() {
	for i, l := range m.links {
		*l = link{table: m.table, late: &m.late}
		if err := m.hosts[i].Poll(context.Background()); err != nil {
			m.t.Fatalf("host %d does not recover: %v", i, err)
		}
	}
	for _, id := range m.ids {
		if m.changes[id].unknown {
			m.apply(0, m.changes[id].change)
		}
	}
	m.start(0)
	for i := range m.hosts {
		if _, _, err := m.hosts[i].Load(context.Background()); err != nil {
			m.t.Fatal(err)
		}
	}
	m.check()
	head, err := m.table.Get(context.Background(), store.HeadKey())
	for i := range m.hosts {
		if err == nil && m.applied[i] != head.Version {
			m.t.Fatalf("host %d is at revision %d, the head at %d", i, m.applied[i], head.Version)
		}
	}
}

// Guards against any sequence of changes, lost or late writes, outages, damaged reads, restarts and peer transfers after
// which a host goes back to an older revision, an accepted change is lost or made twice, a refused one is made, or two
// hosts differ at the same revision.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) {
				i := m.host()
				m.apply(i, m.newChange(m.applied[i]))
			},
			"change with an old base": func(*rapid.T) {
				i := m.host()
				m.apply(i, m.newChange(rapid.Uint64Range(0, m.applied[i]).Draw(t, "base")))
			},
			"repeat": func(t *rapid.T) {
				if len(m.ids) == 0 {
					t.Skip("no change yet")
				}
				m.apply(m.host(), m.changes[rapid.SampledFrom(m.ids).Draw(t, "id")].change)
			},
			"poll": func(*rapid.T) { _ = m.hosts[m.host()].Poll(context.Background()) },
			"restart": func(t *rapid.T) {
				i := m.host()
				head, err := m.table.Get(context.Background(), store.HeadKey())
				m.start(i)
				if _, revision, loadErr := m.hosts[i].Load(context.Background()); err == nil && loadErr == nil && revision < head.Version {
					t.Fatalf("a host started at revision %d, the head was %d", revision, head.Version)
				}
			},
			"transfer": func(t *rapid.T) { m.transfer(t) },
			"snapshot": func(*rapid.T) { _ = m.hosts[m.host()].WriteSnapshot(context.Background()) },
			"write faults": func(t *rapid.T) {
				l := m.links[m.host()]
				l.writes = rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "answer lost", "write lost", "late", "refused"}), 1, 4).Draw(t, "fates")
				l.reads = rapid.IntRange(0, 2).Draw(t, "reads")
			},
			"outage": func(t *rapid.T) {
				l := m.links[m.host()]
				l.down, l.garble = rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "garble")
			},
			"late write lands": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip("no late write")
				}
				_ = m.table.Transact(context.Background(), m.late[0])
				m.late = m.late[1:]
			},
			"": func(*rapid.T) { m.check() },
		})
		m.heal()
	})
}

func (m *machine) transfer(t *rapid.T) {
	from, to := m.hosts[m.host()], m.host()
	data, err := from.Export()
	if rapid.Bool().Draw(t, "after") {
		data, err = from.ExportAfter(m.applied[to])
	}
	if err != nil {
		t.Fatal(err)
	}
	if data == nil {
		return
	}
	if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
		data = data[:len(data)/2]
	}
	if _, err := m.hosts[to].Import(data); err != nil && len(data) == 0 {
		t.Fatal(err)
	}
}
