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

// TestMain fixes the seed of rapid, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// faultyTable is the table as one host reaches it. Its faults affect the calls of that host only.
type faultyTable struct {
	table *memory.Table
	// writeOutcomes are the outcomes of the next transactions, one each. readFailuresAfterWrite is the number of reads that
	// fail after the next of these transactions.
	writeOutcomes          []string
	readFailuresAfterWrite int
	readFailures           int
	down                   bool
	corruptReads           bool
	delayedWrites          *[][]storage.Write
}

func (l *faultyTable) readError() error {
	if l.down {
		return storage.ErrUnavailable
	}
	if l.readFailures > 0 {
		l.readFailures--
		return storage.ErrUnavailable
	}
	return nil
}

func (l *faultyTable) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if err := l.readError(); err != nil {
		return storage.Item{}, err
	}
	return l.table.Get(ctx, key)
}

func (l *faultyTable) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	if err := l.readError(); err != nil {
		return nil, err
	}
	items, err := l.table.Query(ctx, partition, after, limit)
	if l.corruptReads && len(items) > 0 {
		items[len(items)/2].Value = []byte(`{"revision":`)
	}
	return items, err
}

func (l *faultyTable) Transact(ctx context.Context, writes []storage.Write) error {
	if l.down {
		return storage.ErrUnavailable
	}
	outcome := "ok"
	if len(l.writeOutcomes) > 0 {
		outcome, l.writeOutcomes = l.writeOutcomes[0], l.writeOutcomes[1:]
		l.readFailures, l.readFailuresAfterWrite = l.readFailuresAfterWrite, 0
	}
	switch outcome {
	case "response lost":
		if err := l.table.Transact(ctx, writes); err != nil {
			return err
		}
		return storage.ErrUnknownOutcome
	case "write lost":
		return storage.ErrUnknownOutcome
	case "delayed":
		*l.delayedWrites = append(*l.delayedWrites, writes)
		return storage.ErrUnknownOutcome
	case "rejected":
		return storage.ErrUnavailable
	default:
		return l.table.Transact(ctx, writes)
	}
}

// outcome is the result of a change as reported to the operator.
type outcome struct {
	change   store.Change
	revision uint64
	unknown  bool
}

// stateMachine is a fleet of hosts with faults, and the outcomes that were reported to operators.
type stateMachine struct {
	t             *rapid.T
	table         *memory.Table
	objects       *memory.ObjectStore
	hostTables    []*faultyTable
	hosts         []*store.Store
	observed      []uint64
	delayedWrites [][]storage.Write
	outcomes      map[string]*outcome
	ids           []string
	rejected      map[string]bool
	trees         map[uint64]string
	nextName      int
}

const stateMachineHosts = 3

func newStateMachine(t *rapid.T) *stateMachine {
	m := &stateMachine{
		t: t, table: memory.NewTable(), objects: memory.NewObjectStore(), observed: make([]uint64, stateMachineHosts),
		outcomes: make(map[string]*outcome), rejected: make(map[string]bool), trees: make(map[uint64]string),
	}
	for i := range stateMachineHosts {
		m.hostTables = append(m.hostTables, &faultyTable{table: m.table, delayedWrites: &m.delayedWrites})
		m.hosts = append(m.hosts, nil)
		m.start(i)
	}
	return m
}

func (m *stateMachine) start(i int) {
	m.hosts[i] = store.New(store.Options{Table: m.hostTables[i], Objects: m.objects, Clock: clock.Standard{}, SnapshotInterval: 4})
	m.observed[i] = 0
	m.hosts[i].OnChange(func(_ *settings.Tree, revision uint64) {
		if revision < m.observed[i] {
			m.t.Fatalf("host %d: active revision went back from %d to %d", i, m.observed[i], revision)
		}
		m.observed[i] = revision
	})
}

func (m *stateMachine) drawHost() int {
	return rapid.IntRange(0, stateMachineHosts-1).Draw(m.t, "host")
}

func (m *stateMachine) drawChange(base uint64) store.Change {
	m.nextName++
	id := fmt.Sprintf("c%d", m.nextName)
	edits := []settings.Edit{addCustomer(id)}
	if rapid.Bool().Draw(m.t, "shared") {
		value := fmt.Sprintf(`"%ds"`, m.nextName)
		edits = append(edits, settings.Edit{Op: settings.Set, Path: "policy/timeout", Value: json.RawMessage(value)})
	}
	return store.Change{ID: id, Operator: "ada", Base: base, Edits: edits}
}

func (m *stateMachine) apply(i int, change store.Change) {
	known := m.outcomes[change.ID]
	revision, err := m.hosts[i].Apply(context.Background(), change)
	switch {
	case err == nil:
		if known != nil && !known.unknown && known.revision != revision {
			m.t.Fatalf("change %s was accepted as revision %d, and its repeat as revision %d", change.ID, known.revision, revision)
		}
		m.outcomes[change.ID] = &outcome{change: change, revision: revision}
	case errors.Is(err, store.ErrOutcomeUnknown):
		if known == nil {
			m.outcomes[change.ID] = &outcome{change: change, unknown: true}
		}
	case known == nil:
		m.rejected[change.ID] = true
	}
	if m.outcomes[change.ID] != nil && known == nil {
		m.ids = append(m.ids, change.ID)
	}
}

// check compares the hosts with each other and with the outcomes reported to operators.
func (m *stateMachine) check() {
	for i, host := range m.hosts {
		tree, revision := host.Current()
		if revision != m.observed[i] {
			m.t.Fatalf("host %d: active revision is %d, but OnChange last reported %d", i, revision, m.observed[i])
		}
		encoded, err := tree.Encode()
		if err != nil {
			m.t.Fatal(err)
		}
		if other, found := m.trees[revision]; found && other != string(encoded) {
			m.t.Fatalf("hosts have different trees at revision %d:\n%s\n%s", revision, other, encoded)
		}
		m.trees[revision] = string(encoded)
		for id, outcome := range m.outcomes {
			if _, has := tree.Customers[id]; !outcome.unknown && revision >= outcome.revision && !has {
				m.t.Fatalf("host %d at revision %d lacks change %s, which was accepted as revision %d", i, revision, id, outcome.revision)
			}
		}
		for id := range m.rejected {
			if _, has := tree.Customers[id]; has {
				m.t.Fatalf("host %d has change %s, for which the operator got an error that means nothing was changed", i, id)
			}
		}
	}
}

// heal ends all faults, repeats the changes of unknown outcome and restarts one host. It requires that all hosts reach the
// head and agree.
func (m *stateMachine) heal() {
	for i, l := range m.hostTables {
		*l = faultyTable{table: m.table, delayedWrites: &m.delayedWrites}
		if err := m.hosts[i].Poll(context.Background()); err != nil {
			m.t.Fatalf("host %d: poll after the faults failed: %v", i, err)
		}
	}
	for _, id := range m.ids {
		if m.outcomes[id].unknown {
			m.apply(0, m.outcomes[id].change)
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
		if err == nil && m.observed[i] != head.Version {
			m.t.Fatalf("host %d is at revision %d after the faults, want the head %d", i, m.observed[i], head.Version)
		}
	}
}

// Guards against a host that goes back to an older revision, an accepted change that is lost or made twice, a rejected change
// that is made, and two hosts that differ at the same revision. Random sequences of changes, lost or delayed writes, outages,
// damaged reads, restarts and peer transfers provoke these failures.
func TestStoreStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) {
				i := m.drawHost()
				m.apply(i, m.drawChange(m.observed[i]))
			},
			"change with an old base": func(*rapid.T) {
				i := m.drawHost()
				m.apply(i, m.drawChange(rapid.Uint64Range(0, m.observed[i]).Draw(t, "base")))
			},
			"repeat": func(t *rapid.T) {
				if len(m.ids) == 0 {
					t.Skip("no change yet")
				}
				m.apply(m.drawHost(), m.outcomes[rapid.SampledFrom(m.ids).Draw(t, "id")].change)
			},
			"poll": func(*rapid.T) { _ = m.hosts[m.drawHost()].Poll(context.Background()) },
			"restart": func(t *rapid.T) {
				i := m.drawHost()
				head, err := m.table.Get(context.Background(), store.HeadKey())
				m.start(i)
				if _, revision, loadErr := m.hosts[i].Load(context.Background()); err == nil && loadErr == nil && revision < head.Version {
					t.Fatalf("host loaded revision %d without an error, want at least the head %d", revision, head.Version)
				}
			},
			"transfer": func(t *rapid.T) { m.transfer(t) },
			"snapshot": func(*rapid.T) { _ = m.hosts[m.drawHost()].WriteSnapshot(context.Background()) },
			"write faults": func(t *rapid.T) {
				l := m.hostTables[m.drawHost()]
				l.writeOutcomes = rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "response lost", "write lost", "delayed", "rejected"}), 1, 4).Draw(t, "outcomes")
				l.readFailuresAfterWrite = rapid.IntRange(0, 2).Draw(t, "reads")
			},
			"outage": func(t *rapid.T) {
				l := m.hostTables[m.drawHost()]
				l.down, l.corruptReads = rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "garble")
			},
			"delayed write is applied": func(t *rapid.T) {
				if len(m.delayedWrites) == 0 {
					t.Skip("no delayed write")
				}
				_ = m.table.Transact(context.Background(), m.delayedWrites[0])
				m.delayedWrites = m.delayedWrites[1:]
			},
			"": func(*rapid.T) { m.check() },
		})
		m.heal()
	})
}

// transfer imports the export of one host at another, sometimes truncated.
func (m *stateMachine) transfer(t *rapid.T) {
	from, to := m.hosts[m.drawHost()], m.drawHost()
	data, err := from.Export()
	if rapid.Bool().Draw(t, "after") {
		data, err = from.ExportAfter(m.observed[to])
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
