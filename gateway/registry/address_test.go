package registry

import (
	"testing"

	"github.com/bronzeyard/bronzeyard/settings"
)

// processEntry returns the entry of a process of an upstream.
func processEntry(id, address string, incarnation int64) Entry {
	e := entry(id, false)
	e.Upstream.Address, e.Upstream.Incarnation = address, incarnation
	return e
}

func misdirected(r *Registry, e Entry) bool { return r.Misdirected(&e.Upstream) }

// Guards against requests to the entry of a crashed upstream, which stays for three heartbeat intervals beside that of its successor
// at the same address. The successor rejects them.
func TestSuccessorAtSameAddressSupersedesCrashedUpstream(t *testing.T) {
	old, next, other := processEntry("a", "x:80", 100), processEntry("b", "x:80", 200), processEntry("c", "y:80", 50)
	r := New()
	r.Update(at(0), 1, []Entry{old, other})
	changes := r.Update(at(1), 2, []Entry{old, next, other})
	checkUpstreams(t, r, "bc")
	if len(changes) != 2 || changes[0].Kind != Superseded || changes[1].Kind != Added {
		t.Errorf("changes are %+v, want a superseded and b added", changes)
	}
	if r.View().Has("a") {
		t.Error("the view has the crashed upstream")
	}
	if changes := r.Update(at(2), 3, []Entry{next, other}); len(changes) != 0 {
		t.Errorf("changes after the old entry has expired are %+v, want none", changes)
	}
	starting := New()
	starting.Update(at(0), 1, []Entry{old, next, other})
	checkUpstreams(t, starting, "bc")
}

// Guards against a successor of another service that is not seen as such, and against a superseded entry that is kept as missing.
func TestSuccessorOfAnotherServiceSupersedes(t *testing.T) {
	old, next := processEntry("a", "x:80", 100), processEntry("b", "x:80", 200)
	next.Service = "other"
	r := New()
	r.Update(at(0), 1, []Entry{old})
	r.Update(at(1), 2, []Entry{old, next})
	checkUpstreams(t, r, "")
	r.Update(at(10), 3, nil)
	checkUpstreams(t, r, "")
	if !r.View().Has("b") || r.View().Has("a") {
		t.Error("after a gap, the superseded upstream is kept, or the successor is not")
	}
}

// Guards against dropping a live upstream on the word of an entry without a start time, or with the same one.
func TestUnknownOrEqualStartTimesSupersedeNothing(t *testing.T) {
	for _, born := range [][2]int64{{0, 0}, {0, 5}, {5, 0}, {5, 5}} {
		r := New()
		r.Update(at(0), 1, []Entry{processEntry("a", "x:80", born[0]), processEntry("b", "x:80", born[1])})
		checkUpstreams(t, r, "ab")
		misdirected(r, processEntry("a", "x:80", born[0])) // a response decides
		checkUpstreams(t, r, "b")
	}
}

// Guards against requests to the entry of an upstream at whose address another one has responded: each read brought it back into use.
func TestMisdirectedUpstreamStaysOutOfUseUntilAReadShowsItAnew(t *testing.T) {
	old, other := processEntry("a", "x:80", 100), processEntry("c", "y:80", 50)
	again, moved := processEntry("a", "x:80", 300), processEntry("a", "z:80", 100)
	for name, anew := range map[string]Entry{"restarted": again, "moved": moved} {
		r := New()
		r.Update(at(0), 1, []Entry{old, other})
		if !misdirected(r, old) || misdirected(r, old) {
			t.Error("the first rejection must take the upstream out of use, and the second must not be reported")
		}
		checkUpstreams(t, r, "c")
		for i := range 3 {
			r.Update(at(float64(i+1)), 2, []Entry{old, other})
			checkUpstreams(t, r, "c")
		}
		if changes := r.Update(at(4), 3, []Entry{anew, other}); len(changes) != 1 || changes[0].Kind != Added {
			t.Errorf("%s: changes are %+v, want a added", name, changes)
		}
		checkUpstreams(t, r, "ac")
		if misdirected(r, old) {
			t.Errorf("%s: a late rejection of the earlier process took the present one out of use", name)
		}
	}
	r := New()
	r.Update(at(0), 1, []Entry{old})
	misdirected(r, old)
	r.Update(at(1), 2, nil)
	r.Update(at(2), 3, []Entry{old})
	checkUpstreams(t, r, "a") // its entry was gone and is back
}

// Guards against an address without any upstream in use: the entry with the later start time is the wrong one, for example because the
// clock of a machine was set back between the two starts.
func TestMisdirectedSuccessorReturnsTheOtherUpstream(t *testing.T) {
	first, second := processEntry("a", "x:80", 100), processEntry("b", "x:80", 200)
	r := New()
	r.Update(at(0), 1, []Entry{first, second})
	checkUpstreams(t, r, "b")
	misdirected(r, second)
	checkUpstreams(t, r, "a")
	r.Update(at(1), 2, []Entry{first, second})
	checkUpstreams(t, r, "a")
}

// Guards against digests that differ between hosts because only one of them has met a misdirected request.
func TestMisdirectedUpstreamDoesNotChangeTheDigest(t *testing.T) {
	old := processEntry("a", "x:80", 100)
	r, other := New(), New()
	r.Update(at(0), 1, []Entry{old})
	other.Update(at(0), 1, []Entry{old})
	misdirected(r, old)
	if !r.Confirm(at(1), other.View().Digest()) {
		t.Error("the read of another host is not confirmed")
	}
	checkUpstreams(t, r, "")
	other.Update(at(2), 2, []Entry{old, processEntry("b", "y:80", 1)})
	read, _ := other.LocalRead()
	if read.Delta == nil {
		t.Fatal("the read has no delta")
	}
	if _, ok := r.Apply(read.At, read.Version, read.Digest, read.Delta); !ok {
		t.Error("the changes that another host has found were not applied")
	}
	checkUpstreams(t, r, "b")
}

// Guards against a rejection that is lost because a read replaces the view at the same time.
func TestMisdirectedBesideReads(t *testing.T) {
	r := New()
	entries := []Entry{processEntry("a", "x:80", 100), processEntry("b", "y:80", 100)}
	r.Update(at(0), 1, entries)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := range 300 {
			r.Update(at(float64(i+1)/10), uint64(i), entries)
		}
	}()
	var id settings.UpstreamID = "a"
	misdirected(r, entries[0])
	for range 300 {
		if r.View().Has(id) {
			t.Fatal("the upstream is in use after the rejection")
		}
	}
	<-ended
	checkUpstreams(t, r, "b")
}
