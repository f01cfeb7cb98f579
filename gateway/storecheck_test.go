package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
)

// Guards against a change that no host receives because the store does not respond to long polls (incident DENIED).
func TestChangeIsReadWithoutAResponseToTheLongPoll(t *testing.T) {
	for name, oldest := range map[string]Position{"history kept": 0, "history dropped": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeConfigurationSource(1)
				source.neverResponds = true
				s := startSyncer(t, source)
				time.Sleep(time.Second)
				source.set(func() { source.newest, source.oldest = 2, oldest })
				s.recordStoreRead(time.Now(), 2)
				time.Sleep(maxConfigurationDelay / 4)
				if s.version() != 2 {
					t.Errorf("version %d is active %v after a change was detected, want 2", s.version(), maxConfigurationDelay/4)
				}
			})
		})
	}
}

// Guards against a call for the configuration with each read of the upstreams. No call is needed while the store has not changed,
// and one call is enough if only another table has changed.
func TestUnchangedStoreIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		s := startSyncer(t, source)
		time.Sleep(time.Second)
		reads := func() int { return source.feedReads() + source.fullReads() }
		before := reads()
		for range 15 {
			s.recordStoreRead(time.Now(), 1)
			time.Sleep(time.Second)
		}
		if calls := reads() - before; calls != 0 {
			t.Errorf("%d calls in 15 s without a change, want 0", calls)
		}
		for range 4 {
			s.recordStoreRead(time.Now(), 5)
			time.Sleep(time.Second)
		}
		if calls := reads() - before; calls > 2 { // the check and the next long poll
			t.Errorf("%d calls after a change of another table, want 2 at most", calls)
		}
	})
}

// Guards against a change that is detected while the response to a long poll is in transit. The signal was consumed by that poll,
// and the next one, to which the store does not respond, continued although the store was known to be ahead.
func TestChangeDetectedAtTheEndOfALongPollIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		s := startSyncer(t, source)
		time.Sleep(time.Second)
		s.recordStoreRead(time.Now(), 3)
		time.Sleep(time.Duration(hintGraceFraction / 2 * float64(maxConfigurationDelay)))
		source.set(func() { source.newest, source.neverResponds = 2, true }) // responds to the running long poll, and to no later one
		synctest.Wait()
		source.set(func() { source.newest = 3 })
		time.Sleep(maxConfigurationDelay / 4)
		if s.version() != 3 {
			t.Errorf("version %d is active %v after version 3 was detected, want 3", s.version(), maxConfigurationDelay/4)
		}
	})
}

// makeOthersPollers adds hosts that long-poll the store instead of this one, for as long as they count as alive.
func makeOthersPollers(s *syncer, incarnation uint64) {
	records := make([]gossip.Record, 10)
	for i := range records {
		records[i] = gossip.Record{
			ID: fmt.Sprint("other-", i), Incarnation: incarnation, Address: "127.0.0.1:1", CallerAddress: "127.0.0.1:2",
		}
	}
	s.node.Update(time.Now(), records)
}

// Guards against a change that does not become active because earlier reads of the configuration have failed. The reads of the
// upstreams kept working, so only they showed that the store was ahead, and none of them ended the wait after a failure.
func TestFailedCheckIsRetried(t *testing.T) {
	const period = time.Duration(freshFraction * float64(maxConfigurationDelay)) // between two reads of the upstreams
	for _, polls := range []bool{true, false} {
		for failing := time.Second; failing < 5*time.Second; failing += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeConfigurationSource(1)
				source.neverResponds = true
				s := startSyncer(t, source)
				synctest.Wait()
				start := time.Now()
				ended := false
				await := func(end time.Time) {
					for ; !ended && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						if !polls {
							makeOthersPollers(s, uint64(time.Since(start))+1)
						}
						if time.Since(start)%period < 50*time.Millisecond {
							s.recordStoreRead(time.Now(), source.newest)
						}
						ended = s.version() == 2
					}
				}
				await(start.Add(100 * time.Millisecond))
				notify(s.retryConfiguration) // ends the long poll that began before the others were known
				await(start.Add(time.Second))
				if s.longPolling.Load() != polls {
					t.Fatalf("the host long-polls the store: %v, want %v", !polls, polls)
				}
				source.set(func() { source.unavailable, source.newest = true, 2 })
				await(time.Now().Add(failing))
				source.set(func() { source.unavailable = false })
				recovered := time.Now()
				await(recovered.Add(2 * maxConfigurationDelay))
				if took := time.Since(recovered); took > maxConfigurationDelay {
					t.Errorf("long poll %v: after %v of failures version 2 became active %v after their end, want %v at most",
						polls, failing, took, maxConfigurationDelay)
				}
			})
		}
	}
}

// Guards against changes that are skipped because a read of the changes returned only some of them, while the position advanced
// to the version of the store.
func TestPartialReadDoesNotSkipChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		source.neverResponds, source.oneAtATime = true, true
		s := startSyncer(t, source)
		time.Sleep(time.Second)
		source.set(func() { source.newest = 3 })
		s.recordStoreRead(time.Now(), 3)
		time.Sleep(maxConfigurationDelay)
		if s.version() != 3 {
			t.Errorf("version %d is active %v after version 3 was detected, want 3", s.version(), maxConfigurationDelay)
		}
	})
}

// Guards against a configuration age that stays small while no read of the store confirms the configuration. In incident DENIED
// it stayed small for 10 s, because each host treated the running long polls of the others as confirmations.
func TestConfigurationAgeCountsFromAReadOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		source.neverResponds = true
		s := startSyncer(t, source)
		synctest.Wait()
		expect := func(want time.Duration, what string) {
			t.Helper()
			synctest.Wait()
			if age := s.settingsAge(); age != want {
				t.Errorf("age %v, want %v: %s", age, want, what)
			}
		}
		time.Sleep(5 * time.Second)
		expect(5*time.Second, "a long poll without a response is no confirmation")
		s.recordStoreRead(time.Now().Add(-time.Second), 1)
		expect(time.Second, "a read of the upstreams that began 1 s ago has shown that the store has not changed")
		state := func(version uint64, age time.Duration) {
			s.receiveState(time.Now(), &gossip.Message{Host: "b", Configuration: version, ConfigurationAge: age})
		}
		time.Sleep(9 * time.Second)
		state(1, 12*time.Second)
		expect(10*time.Second, "the other host's confirmation is older")
		state(1, 0)
		expect(10*time.Second, "the time of the other host's confirmation is not known")
		state(1, 4*time.Second)
		expect(4*time.Second, "the other host's confirmation is newer")
	})
}

// Guards against a host that keeps reporting that it cannot read the store after a successful read. It never polled the store
// again, so fewer hosts did.
func TestStoreIsAvailableAfterASuccessfulRead(t *testing.T) {
	for name, read := range map[string]func(s *syncer){
		"check": func(s *syncer) { s.recordStoreRead(time.Now(), 2) },
		"hint":  func(s *syncer) { receiveVersion(s.Gateway, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeConfigurationSource(1)
				s := startSyncer(t, source)
				synctest.Wait()
				makeOthersPollers(s, 1)
				notify(s.retryConfiguration) // ends the long poll that began before the others were known
				synctest.Wait()
				s.storeUnavailable.Store(true) // a read has failed, and other hosts poll instead of this one
				source.set(func() { source.newest = 2 })
				read(s)
				time.Sleep(time.Second)
				if s.version() != 2 || s.storeUnavailable.Load() {
					t.Errorf("version %d is active, want 2; store unavailable: %v, want false", s.version(), s.storeUnavailable.Load())
				}
			})
		})
	}
}
