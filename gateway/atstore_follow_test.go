package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

// precedingHosts returns records of two hosts that rank before this one among those that long-poll the store.
func precedingHosts(s *syncer, incarnation uint64) []gossip.Record {
	own := rendezvous.Score(pollerHashKey, s.options.HostID)
	var records []gossip.Record
	for i := 0; len(records) < pollersPerDataCentre; i++ {
		if id := fmt.Sprint("edge-", i); rendezvous.Score(pollerHashKey, id) > own {
			records = append(records, gossip.Record{
				ID: id, Incarnation: incarnation, Address: "127.0.0.1:1", DataCentre: s.options.DataCentre,
			})
		}
	}
	return records
}

// Guards against a fleet in which all hosts long-poll the store for configurationWait after their start. A host begins to poll
// before it knows the others, and did not check its rank again during the long poll.
func TestLowerRankedHostEndsItsLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		s := startSyncer(t, source)
		synctest.Wait()
		if !s.longPolling.Load() {
			t.Fatal("a host that knows no other host does not long-poll the store")
		}
		full, feed := source.fullReads(), source.feedReads()
		begin := time.Now()
		polls := true
		for incarnation := uint64(1); polls && time.Since(begin) < configurationWait; incarnation++ {
			s.node.Update(time.Now(), precedingHosts(s, incarnation)) // a new record counts as a sign of life now
			time.Sleep(gossip.HeartbeatInterval)
			polls = s.longPolling.Load()
		}
		if took := time.Since(begin); took > 4*time.Second {
			t.Errorf("the host long-polls the store for %v although two others rank before it, want 4s at most", took)
		}
		if calls := source.fullReads() - full + source.feedReads() - feed; calls != 0 {
			t.Errorf("%d calls to the store at the end of the long poll, want 0", calls)
		}
		source.set(func() { source.newest = 2 })
		receiveVersion(s.Gateway, 2)
		time.Sleep(time.Second)
		if s.version() != 2 {
			t.Errorf("version %d is active a second after version 2 was reported, want 2", s.version())
		}
	})
}

// Guards against a host that ends its long poll because of records of hosts that have ended. No host would poll the store until
// these are no longer counted as alive.
func TestRecordsOfEndedHostsDoNotEndALongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		s := startSyncer(t, source)
		synctest.Wait()
		s.node.Update(time.Now(), precedingHosts(s, 1))
		for range 10 {
			time.Sleep(pollerCheckInterval)
			if !s.longPolling.Load() {
				t.Fatal("the host no longer long-polls the store")
			}
		}
		source.set(func() { source.newest = 2 })
		synctest.Wait()
		if s.version() != 2 {
			t.Errorf("version %d is active, want 2", s.version())
		}
	})
}
