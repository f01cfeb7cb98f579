package registry

import (
	"math/rand/v2"
	"testing"

	"github.com/bronzeyard/bronzeyard/settings"
)

// told applies the newest own read of one registry to another one.
func told(from, to *Registry) bool {
	own, _ := from.LocalRead()
	_, ok := to.Apply(own.At, own.Version, own.Digest, own.Delta)
	return ok
}

// Guards against hosts that all read the store for each change, and against one that goes on using an upstream after the
// host that reads has found it leaving or gone.
func TestDeltaBringsAnotherHostToTheSameView(t *testing.T) {
	reader, other := New(), New()
	first := []Entry{entry("a", false), entry("b", false), entry("c", false)}
	reader.Update(at(0), 1, first)
	other.Update(at(0.1), 1, first)
	reader.Update(at(1), 2, []Entry{entry("a", false), entry("c", true), entry("d", false)})
	if !told(reader, other) {
		t.Fatal("the difference was not taken")
	}
	expect(t, other, "acd")
	if !other.View().Upstreams("desk")[1].Leaving {
		t.Error("c is not leaving")
	}
	if !other.View().ReadAt.Equal(at(1)) || other.View().Digest() != reader.View().Digest() {
		t.Error("the view is not that of the read")
	}
	if own, _ := other.LocalRead(); !own.At.Equal(at(0.1)) {
		t.Error("a difference that was told counts as an own read")
	}
}

// Guards against a difference that is applied to another state than it was made for, after a gap, while entries are kept, or
// again.
func TestDeltaThatDoesNotFit(t *testing.T) {
	first := []Entry{entry("a", false), entry("b", false)}
	second := []Entry{entry("a", false)}
	reader := New()
	reader.Update(at(0), 1, first)
	reader.Update(at(1), 2, second)
	own, _ := reader.LocalRead()
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
		if _, ok := r.Apply(own.At, own.Version, own.Digest, own.Delta); ok || r.View() != before {
			t.Errorf("%s: the difference was taken", name)
		}
	}
	damaged := *own.Delta
	damaged.Removed = nil
	r := New()
	r.Update(at(0), 1, first)
	if _, ok := r.Apply(own.At, own.Version, own.Digest, &damaged); ok {
		t.Error("a difference that does not lead to the digest was taken")
	}
}

// Guards against differences that do not fit into a datagram.
func TestLargeDeltaIsNotTold(t *testing.T) {
	r := New()
	r.Update(at(0), 1, nil)
	var entries []Entry
	for i := range maxDelta + 1 {
		entries = append(entries, entry(string(rune('a'+i)), false))
	}
	r.Update(at(1), 2, entries)
	if own, _ := r.LocalRead(); own.Delta != nil {
		t.Errorf("a difference of %d entries is told", len(own.Delta.Put))
	}
}

// Guards against views that drift apart: whenever a host takes a difference, it must hold what the store held at that read,
// while hosts take turns to read and some differences are lost.
func TestDeltasOfManyReadsAgreeWithTheStore(t *testing.T) {
	taken := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		store := make(map[string]bool) // leaving
		hosts := []*Registry{New(), New(), New()}
		for step := range 60 {
			now := 0.3 * float64(step+1)
			change(random, store)
			reader := hosts[random.IntN(len(hosts))]
			reader.Update(at(now), uint64(step), entriesOf(store))
			own, _ := reader.LocalRead()
			for _, h := range hosts {
				switch {
				case h == reader, random.IntN(5) == 0, h.Confirm(own.At, own.Digest):
				case told(reader, h):
					taken++
					expectStore(t, seed, h, store)
				default:
					h.Update(at(now+0.1), uint64(step), entriesOf(store))
				}
			}
		}
	}
	if taken < 1000 {
		t.Errorf("only %d differences were taken", taken)
	}
}

// change adds or removes an upstream, or marks one as leaving.
func change(random *rand.Rand, store map[string]bool) {
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

func expectStore(t *testing.T, seed uint64, r *Registry, store map[string]bool) {
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
