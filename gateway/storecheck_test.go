package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
)

// Guards against a change that no host hears of because the store answers no read that waits for it (incident DENIED).
func TestChangeIsReadThoughTheWaitIsNotAnswered(t *testing.T) {
	for name, oldest := range map[string]Position{"history kept": 0, "history dropped": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeConfigurationSource(1)
				source.neverResponds = true
				f := startSyncer(t, source)
				time.Sleep(time.Second)
				source.set(func() { source.newest, source.oldest = 2, oldest })
				f.recordStoreRead(time.Now(), 2)
				time.Sleep(maxConfigurationDelay / 4)
				if f.version() != 2 {
					t.Errorf("version %d is in force %v after the store was seen to have changed, want 2", f.version(), maxConfigurationDelay/4)
				}
			})
		})
	}
}

// Guards against calls of the store for each read of the upstreams: where the store has not changed, and where its change
// is one of another table, one call tells all.
func TestUnchangedStoreIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		f := startSyncer(t, source)
		time.Sleep(time.Second)
		reads := func() int { return source.feedReads() + source.fullReads() }
		before := reads()
		for range 15 {
			f.recordStoreRead(time.Now(), 1)
			time.Sleep(time.Second)
		}
		if calls := reads() - before; calls != 0 {
			t.Errorf("%d calls in 15 s in which nothing has changed", calls)
		}
		for range 4 {
			f.recordStoreRead(time.Now(), 5)
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
		source := newFakeConfigurationSource(1)
		f := startSyncer(t, source)
		time.Sleep(time.Second)
		f.recordStoreRead(time.Now(), 3)
		time.Sleep(time.Duration(hintGraceFraction / 2 * float64(maxConfigurationDelay)))
		source.set(func() { source.newest, source.neverResponds = 2, true }) // answers the wait that runs, and no later one
		synctest.Wait()
		source.set(func() { source.newest = 3 })
		time.Sleep(maxConfigurationDelay / 4)
		if f.version() != 3 {
			t.Errorf("version %d is in force %v after the store was seen to have version 3", f.version(), maxConfigurationDelay/4)
		}
	})
}

// makeOthersPollers makes hosts known that wait at the store in place of this one, for as long as they count as heard.
func makeOthersPollers(f *syncer, incarnation uint64) {
	records := make([]gossip.Record, 10)
	for i := range records {
		records[i] = gossip.Record{
			ID: fmt.Sprint("other-", i), Incarnation: incarnation, Address: "127.0.0.1:1", CallerAddress: "127.0.0.1:2",
		}
	}
	f.node.Update(time.Now(), records)
}

// Guards against a change that stays out of force because reads of the configuration have failed before: those of the
// upstreams worked all along, so nothing but them told that the store was ahead, and none ended the pause after a failure.
func TestCheckThatFailedIsRepeated(t *testing.T) {
	const period = time.Duration(freshFraction * float64(maxConfigurationDelay)) // between two reads of the upstreams
	for _, waits := range []bool{true, false} {
		for failing := time.Second; failing < 5*time.Second; failing += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeConfigurationSource(1)
				source.neverResponds = true
				f := startSyncer(t, source)
				synctest.Wait()
				start := time.Now()
				ended := false
				await := func(end time.Time) {
					for ; !ended && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						if !waits {
							makeOthersPollers(f, uint64(time.Since(start))+1)
						}
						if time.Since(start)%period < 50*time.Millisecond {
							f.recordStoreRead(time.Now(), source.newest)
						}
						ended = f.version() == 2
					}
				}
				await(start.Add(100 * time.Millisecond))
				notify(f.retryConfiguration) // ends the wait that has begun before the others were known
				await(start.Add(time.Second))
				if f.longPolling.Load() != waits {
					t.Fatalf("the host waits at the store: %v, want %v", !waits, waits)
				}
				source.set(func() { source.unavailable, source.newest = true, 2 })
				await(time.Now().Add(failing))
				source.set(func() { source.unavailable = false })
				back := time.Now()
				await(back.Add(2 * maxConfigurationDelay))
				if took := time.Since(back); took > maxConfigurationDelay {
					t.Errorf("waits %v: after %v of failures version 2 came into force %v after their end, want %v at most",
						waits, failing, took, maxConfigurationDelay)
				}
			})
		}
	}
}

// Guards against changes that are passed over because a read of the changes has returned a part of them, while the position
// moved to the store's version.
func TestChangesReadInPartAreNotPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		source.neverResponds, source.oneAtATime = true, true
		f := startSyncer(t, source)
		time.Sleep(time.Second)
		source.set(func() { source.newest = 3 })
		f.recordStoreRead(time.Now(), 3)
		time.Sleep(maxConfigurationDelay)
		if f.version() != 3 {
			t.Errorf("version %d is in force %v after the store was seen to have version 3", f.version(), maxConfigurationDelay)
		}
	})
}

// Guards against an age of the configuration that stays small while no read of the store confirms it: in incident DENIED it
// did for 10 s, because each host took the others' waits at the store for a confirmation.
func TestAgeOfTheConfigurationCountsFromAReadOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		source.neverResponds = true
		f := startSyncer(t, source)
		synctest.Wait()
		expect := func(want time.Duration, what string) {
			t.Helper()
			synctest.Wait()
			if age := f.settingsAge(); age != want {
				t.Errorf("age %v, want %v: %s", age, want, what)
			}
		}
		time.Sleep(5 * time.Second)
		expect(5*time.Second, "a wait that has no answer is no confirmation")
		f.recordStoreRead(time.Now().Add(-time.Second), 1)
		expect(time.Second, "a read of the upstreams, begun 1 s ago, has shown that the store has not changed")
		state := func(version uint64, age time.Duration) {
			f.receiveState(time.Now(), &gossip.Message{Host: "b", Configuration: version, ConfigurationAge: age})
		}
		time.Sleep(9 * time.Second)
		state(1, 12*time.Second)
		expect(10*time.Second, "the other host's confirmation is older")
		state(1, 0)
		expect(10*time.Second, "the other host's confirmation is not known")
		state(1, 4*time.Second)
		expect(4*time.Second, "the other host's confirmation is newer")
	})
}

// Guards against a host that goes on stating that it cannot read the store after it has: it was never again one of those that
// wait there, so that fewer did.
func TestHostThatHasReadTheStoreIsNotAway(t *testing.T) {
	for name, read := range map[string]func(f *syncer){
		"check": func(f *syncer) { f.recordStoreRead(time.Now(), 2) },
		"hint":  func(f *syncer) { receiveVersion(f.Gateway, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeConfigurationSource(1)
				f := startSyncer(t, source)
				synctest.Wait()
				makeOthersPollers(f, 1)
				notify(f.retryConfiguration) // ends the wait that has begun before the others were known
				synctest.Wait()
				f.storeUnavailable.Store(true) // a read has failed, and others wait in place of this host
				source.set(func() { source.newest = 2 })
				read(f)
				time.Sleep(time.Second)
				if f.version() != 2 || f.storeUnavailable.Load() {
					t.Errorf("version %d is in force and the host states that it cannot read the store: %v", f.version(), f.storeUnavailable.Load())
				}
			})
		})
	}
}
