package registry

import (
	"math/rand/v2"
	"testing"

	"github.com/bronzeyard/bronzeyard/settings"
)

// applyLocalRead applies the newest local read of one registry to another one.
func applyLocalRead(from, to *Registry) bool {
	read, _ := from.LocalRead()
	_, ok := to.Apply(read.At, read.Version, read.Digest, read.Delta)
	return ok
}

// Guards against every host reading the store for each change, and against a host that continues to use an upstream after the
// reading host has found it leaving or removed.
func TestApplyYieldsSameView(t *testing.T) {
	reader, other := New(), New()
	first := []Entry{entry("a", false), entry("b", false), entry("c", false)}
	reader.Update(at(0), 1, first)
	other.Update(at(0.1), 1, first)
	reader.Update(at(1), 2, []Entry{entry("a", false), entry("c", true), entry("d", false)})
	if !applyLocalRead(reader, other) {
		t.Fatal("the delta was rejected")
	}
	checkUpstreams(t, other, "acd")
	if !other.View().Upstreams("desk")[1].Leaving {
		t.Error("upstream c is not leaving")
	}
	if !other.View().ReadAt.Equal(at(1)) || other.View().Digest() != reader.View().Digest() {
		t.Error("the view does not have the time and digest of the read")
	}
	if read, _ := other.LocalRead(); !read.At.Equal(at(0.1)) {
		t.Error("applying the delta of another host changed the local read")
	}
}

// Guards against applying a delta to another state than its base, after a gap, while entries are kept, or over a newer read.
func TestApplyRejectsMismatchedDelta(t *testing.T) {
	first := []Entry{entry("a", false), entry("b", false)}
	second := []Entry{entry("a", false)}
	reader := New()
	reader.Update(at(0), 1, first)
	reader.Update(at(1), 2, second)
	read, _ := reader.LocalRead()
	for name, prepare := range map[string]func(*Registry){
		"no read":        func(*Registry) {},
		"other upstream": func(r *Registry) { r.Update(at(0), 1, append(first, entry("z", false))) },
		"newer read":     func(r *Registry) { r.Update(at(1.1), 2, first) },
		"after a gap":    func(r *Registry) { r.Update(at(-3), 1, first) },
		"kept entries": func(r *Registry) {
			r.Update(at(-9), 1, append(first, entry("k", false)))
			r.Update(at(0), 1, first)
		},
	} {
		r := New()
		prepare(r)
		before := r.View()
		if _, ok := r.Apply(read.At, read.Version, read.Digest, read.Delta); ok || r.View() != before {
			t.Errorf("%s: the delta was applied", name)
		}
	}
	damaged := *read.Delta
	damaged.Removed = nil
	r := New()
	r.Update(at(0), 1, first)
	if _, ok := r.Apply(read.At, read.Version, read.Digest, &damaged); ok {
		t.Error("a delta whose result has another digest was applied")
	}
}

// Guards against deltas that do not fit into a datagram.
func TestLargeDeltaIsNotShared(t *testing.T) {
	r := New()
	r.Update(at(0), 1, nil)
	var entries []Entry
	for i := range maxDeltaEntries + 1 {
		entries = append(entries, entry(string(rune('a'+i)), false))
	}
	r.Update(at(1), 2, entries)
	if read, _ := r.LocalRead(); read.Delta != nil {
		t.Errorf("the local read has a delta of %d entries, want none", len(read.Delta.Put))
	}
}

// Guards against views that diverge while hosts take turns to read the store and some deltas are lost. After each applied
// delta, a host must hold what the store held at that read.
func TestAppliedDeltasAgreeWithStore(t *testing.T) {
	applied := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		store := make(map[string]bool) // leaving
		hosts := []*Registry{New(), New(), New()}
		for step := range 60 {
			now := 0.3 * float64(step+1)
			mutateStore(random, store)
			reader := hosts[random.IntN(len(hosts))]
			reader.Update(at(now), uint64(step), entriesOf(store))
			read, _ := reader.LocalRead()
			for _, h := range hosts {
				switch {
				case h == reader, random.IntN(5) == 0, h.Confirm(read.At, read.Digest):
				case applyLocalRead(reader, h):
					applied++
					checkStore(t, seed, h, store)
				default:
					h.Update(at(now+0.1), uint64(step), entriesOf(store))
				}
			}
		}
	}
	if applied < 1000 {
		t.Errorf("only %d deltas were applied, want at least 1000", applied)
	}
}

// mutateStore adds or removes an upstream, or marks one as leaving.
func mutateStore(random *rand.Rand, store map[string]bool) {
	id := string(rune('a' + random.IntN(12)))
	_, exists := store[id]
	switch random.IntN(3) {
	case 0:
		delete(store, id)
	case 1:
		store[id] = false
	default:
		if exists {
			store[id] = true
		}
	}
}

func entriesOf(store map[string]bool) []Entry {
	var entries []Entry
	for id, leaving := range store {
		entries = append(entries, entry(id, leaving))
	}
	return entries
}

func checkStore(t *testing.T, seed uint64, r *Registry, store map[string]bool) {
	t.Helper()
	if r.View().Len() != len(store) {
		t.Errorf("seed %d: %d upstreams are in use, the store holds %d", seed, r.View().Len(), len(store))
	}
	for id, leaving := range store {
		if known, ok := r.View().known[settings.UpstreamID(id)]; !ok || known.Upstream.Leaving != leaving {
			t.Errorf("seed %d: %s is %+v, leaving in the store: %v", seed, id, known, leaving)
		}
	}
}
