package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a change that no host hears of because the store answers no read that waits for it (incident DENIED).
func TestChangeIsReadThoughTheWaitIsNotAnswered(t *testing.T) {
	for name, oldest := range map[string]Position{"history kept": 0, "history dropped": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := newVersions(1)
				source.forgets = true
				f := followWith(t, source)
				time.Sleep(time.Second)
				source.set(func() { source.newest, source.oldest = 2, oldest })
				f.storeRead(2)
				time.Sleep(applyBound / 4)
				if f.version() != 2 {
					t.Errorf("version %d is in force %v after the store was seen to have changed, want 2", f.version(), applyBound/4)
				}
			})
		})
	}
}

// Guards against calls of the store for each read of the upstreams: where the store has not changed, and where its change
// is one of another table, one call tells all.
func TestUnchangedStoreIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newVersions(1)
		f := followWith(t, source)
		time.Sleep(time.Second)
		reads := func() int { return source.feedReads() + source.wholeReads() }
		before := reads()
		for range 15 {
			f.storeRead(1)
			time.Sleep(time.Second)
		}
		if calls := reads() - before; calls != 0 {
			t.Errorf("%d calls in 15 s in which nothing has changed", calls)
		}
		for range 4 {
			f.storeRead(5)
			time.Sleep(time.Second)
		}
		if calls := reads() - before; calls > 2 { // the check, and the next wait
			t.Errorf("%d calls after a change of another table, want 2 at most", calls)
		}
	})
}

// Guards against a change that is seen while the answer to a wait is on its way: the signal ended with that wait, and the
// next wait, which the store does not answer, went on although the store was known to be ahead.
func TestChangeSeenAtTheEndOfAWaitIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newVersions(1)
		f := followWith(t, source)
		time.Sleep(time.Second)
		f.storeRead(3)
		time.Sleep(time.Duration(hintGracePart / 2 * float64(applyBound)))
		source.set(func() { source.newest, source.forgets = 2, true }) // answers the wait that runs, and no later one
		synctest.Wait()
		source.set(func() { source.newest = 3 })
		time.Sleep(applyBound / 4)
		if f.version() != 3 {
			t.Errorf("version %d is in force %v after the store was seen to have version 3", f.version(), applyBound/4)
		}
	})
}
