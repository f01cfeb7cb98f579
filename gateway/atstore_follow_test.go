package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/traffic/rendezvous"
)

// preceding returns records of two hosts that come before this one in the order of those that wait at the store.
func precedingHosts(f *syncer, incarnation uint64) []gossip.Record {
	own := rendezvous.Score(pollerHashKey, f.options.HostID)
	var records []gossip.Record
	for i := 0; len(records) < pollersPerDataCentre; i++ {
		if id := fmt.Sprint("edge-", i); rendezvous.Score(pollerHashKey, id) > own {
			records = append(records, gossip.Record{
				ID: id, Incarnation: incarnation, Address: "127.0.0.1:1", DataCentre: f.options.DataCentre,
			})
		}
	}
	return records
}

// Guards against a whole fleet that waits at the store for configurationWait after its start: a host that begins to wait
// before it knows the others did not look again at its place while it waited.
func TestHostThatOthersPrecedeEndsItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		f := startSyncer(t, source)
		synctest.Wait()
		if !f.longPolling.Load() {
			t.Fatal("a host that knows no other does not wait at the store")
		}
		whole, feed := source.fullReads(), source.feedReads()
		begin := time.Now()
		waits := true
		for incarnation := uint64(1); waits && time.Since(begin) < configurationWait; incarnation++ {
			f.node.Update(time.Now(), precedingHosts(f, incarnation)) // a new record counts as heard now
			time.Sleep(gossip.HeartbeatInterval)
			waits = f.longPolling.Load()
		}
		if took := time.Since(begin); took > 4*time.Second {
			t.Errorf("the host waits at the store for %v although two others come first, want 4s at most", took)
		}
		if calls := source.fullReads() - whole + source.feedReads() - feed; calls != 0 {
			t.Errorf("the end of the wait has cost %d calls of the store", calls)
		}
		source.set(func() { source.newest = 2 })
		receiveVersion(f.Gateway, 2)
		time.Sleep(time.Second)
		if f.version() != 2 {
			t.Errorf("version %d is in force a second after the host has heard of version 2", f.version())
		}
	})
}

// Guards against a host that ends its wait because of records of hosts that have ended: nobody would wait at the store until
// these count as away.
func TestRecordsOfEndedHostsDoNotEndAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeConfigurationSource(1)
		f := startSyncer(t, source)
		synctest.Wait()
		f.node.Update(time.Now(), precedingHosts(f, 1))
		for range 10 {
			time.Sleep(pollerCheckInterval)
			if !f.longPolling.Load() {
				t.Fatal("the host does not wait at the store any more")
			}
		}
		source.set(func() { source.newest = 2 })
		synctest.Wait()
		if f.version() != 2 {
			t.Errorf("version %d is in force, want 2", f.version())
		}
	})
}
