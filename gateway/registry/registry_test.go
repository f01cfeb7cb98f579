package registry

import (
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func entry(id string, leaving bool) Entry {
	return Entry{Service: "desk", Upstream: settings.Upstream{
		ID: settings.UpstreamID(id), Address: id + ":80", Leaving: leaving,
	}}
}

func ids(r *Registry) string {
	list := ""
	for _, u := range r.View().Upstreams("desk") {
		list += string(u.ID)
	}
	return list
}

func expect(t *testing.T, r *Registry, want string) {
	t.Helper()
	if got := ids(r); got != want {
		t.Errorf("upstreams in use are %q, want %q", got, want)
	}
}

// Guards against requests to upstreams that are gone, when the store was readable all the time.
func TestMissingEntryIsGoneWithoutGap(t *testing.T) {
	r := New()
	r.Update(at(0), 1, []Entry{entry("a", false), entry("b", false)})
	r.Update(at(1), 2, []Entry{entry("a", false)})
	expect(t, r, "a")
}

// Guards against an empty list of upstreams after an outage in which all entries lapsed.
func TestEntriesThatLapsedInAGapAreKeptForAWhile(t *testing.T) {
	r := New()
	r.Update(at(0), 1, []Entry{entry("a", false), entry("b", false)})
	r.Update(at(10), 2, nil)
	expect(t, r, "ab")
	r.Update(at(11), 3, []Entry{entry("a", false)})
	expect(t, r, "ab")
	r.Update(at(12.4), 4, []Entry{entry("a", false)})
	expect(t, r, "a")
}

// Guards against keeping an upstream that was in the store after the gap and has left since: hunt-ce58-27 on the daan
// deployment sent it a request 2,020 ms after its entry was gone.
func TestEntrySeenAfterTheGapIsGoneWhenItIsMissing(t *testing.T) {
	r := New()
	r.Update(at(0), 1, []Entry{entry("a", false), entry("b", false)})
	r.Update(at(10), 2, []Entry{entry("a", false), entry("b", false)})
	r.Update(at(11), 3, []Entry{entry("a", false)})
	expect(t, r, "a")
}

// Guards against keeping an upstream that was leaving before the gap.
func TestLeavingEntryIsNotKept(t *testing.T) {
	r := New()
	r.Update(at(0), 1, []Entry{entry("a", false), entry("b", true)})
	r.Update(at(10), 2, []Entry{entry("a", false)})
	expect(t, r, "a")
}

// Guards against use of kept entries beyond the grace between two reads: scale-2 on the daan deployment sent a request
// 3.1 s after the return of the store, in the second after the grace.
func TestKeptEntriesEndAtAKnownTime(t *testing.T) {
	r := New()
	r.Update(at(0), 1, []Entry{entry("a", false)})
	r.Update(at(10), 2, nil)
	until, kept := r.KeptUntil()
	if !kept || until.After(at(12.2)) {
		t.Errorf("kept entries end at %v (%v), want at most 2.2 s after the return", until.Sub(start), kept)
	}
}

// Guards against sending the requests of a service to another one that took over an address.
func TestKeptEntryEndsWhenItsAddressIsReused(t *testing.T) {
	r := New()
	r.Update(at(0), 1, []Entry{entry("a", false)})
	taken := entry("z", false)
	taken.Service, taken.Upstream.Address = "other", "a:80"
	r.Update(at(10), 2, []Entry{taken})
	expect(t, r, "")
}

// Guards against keeping upstreams that are gone after this host alone was cut off: scale-2 on the daan deployment, seed
// 865137023364, sent a request after the bound because the read that found the gap came late.
func TestKeptEntriesEndWhenAnotherHostHasReadAllTheTime(t *testing.T) {
	r := New()
	r.Update(at(0), 1, []Entry{entry("a", false), entry("b", false)})
	if r.Synced(at(1)) || !r.Synced(at(2.2)) {
		t.Error("a registry is settled after 2.1 s of reads, not before")
	}
	r.Update(at(10), 2, []Entry{entry("a", false)})
	if r.Synced(at(11)) {
		t.Error("a registry is settled right after a gap")
	}
	if !r.DropKept() {
		t.Fatal("no entries were kept")
	}
	r.Update(at(10.1), 2, []Entry{entry("a", false)})
	expect(t, r, "a")
}

// Guards against an old read that seems fresh for ever because hosts pass it on to each other (DRAIN on scale-1 of the
// grown daan deployment: 22 requests reached upstreams that had left 2.5 s before).
func TestConfirmedReadsAreNotOwnReads(t *testing.T) {
	r := New()
	if _, ok := r.LocalRead(); ok {
		t.Error("a registry without reads has one of its own")
	}
	r.Update(at(0), 1, []Entry{entry("a", false)})
	if !r.Confirm(at(1), r.View().Digest()) {
		t.Fatal("a read with the same digest was not taken")
	}
	if own, _ := r.LocalRead(); !own.At.Equal(at(0)) {
		t.Errorf("the own read is of %v", own.At.Sub(start))
	}
	if !r.View().ReadAt.Equal(at(1)) {
		t.Error("the view is not as fresh as the read of the other host")
	}
	if r.Confirm(at(2), 12345) || !r.View().ReadAt.Equal(at(1)) {
		t.Error("a read with another digest was taken")
	}
}
