package gateway

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
)

// partialHostStore is a HostStore of which reads or writes fail.
type partialHostStore struct {
	failReads, failWrites atomic.Bool
	// loseResponses performs writes and reports that they have failed.
	loseResponses bool

	mu      sync.Mutex
	records map[string][]byte
}

var errTableAway = errors.New("the table does not respond")

func (p *partialHostStore) PutHost(_ context.Context, id string, record []byte) error {
	if p.failWrites.Load() {
		return errTableAway
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.records == nil {
		p.records = make(map[string][]byte)
	}
	p.records[id] = record
	if p.loseResponses {
		return errTableAway
	}
	return nil
}

func (p *partialHostStore) Hosts(context.Context) (map[string][]byte, error) {
	if p.failReads.Load() {
		return nil, errTableAway
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.records), nil
}

// startHostSync runs the parts of the syncer that concern other hosts and returns its gateway.
func startHostSync(t *testing.T, store HostStore) *Gateway {
	t.Helper()
	g := startConfigurationSync(t, newFakeConfigurationSource(1))
	g.options.Hosts = store
	g.router, g.limiter = newRouter("north", g.boundsNow, "a"), quota.New()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	s := newSyncer(g)
	for _, run := range []func(context.Context){s.syncHosts, s.expectHosts} {
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return g
}

// discardingSocket is a socket that discards the packets which are sent.
type discardingSocket struct{ net.PacketConn }

// WriteTo implements net.PacketConn.
func (discardingSocket) WriteTo(packet []byte, _ net.Addr) (int, error) { return len(packet), nil }

// Guards against a host that serves as if it were alone while the records of the hosts cannot be read (review/5: 376 requests in
// 5 s, 284 are allowed), for customers' limits and for the retry budget.
func TestHostWithoutHostRecordsAdmitsNothingOfALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := quota.Limit{Rate: 100, Burst: 100}
		store := &partialHostStore{}
		store.failReads.Store(true)
		g := startHostSync(t, store)
		time.Sleep(2 * maxHostsWait)
		if d := g.limiter.Admit(time.Now(), "c", limit); !d.Unavailable {
			t.Errorf("the decision is %+v before the records were read, want unavailable", d)
		}
		if g.router.retries.WouldAdmit(time.Now(), "s", limit) {
			t.Error("a retry is allowed before the records were read")
		}
		store.failReads.Store(false)
		time.Sleep(2 * maxRecoveryWait)
		if !g.limiter.Admit(time.Now(), "c", limit).Allowed || !g.router.retries.WouldAdmit(time.Now(), "s", limit) {
			t.Error("a host that has read that it is alone rejects requests within a limit")
		}
	})
}

// Guards against hosts that cannot write their records, read that there are none, and each admit a whole limit: none of them can know
// of the others.
func TestHostThatCannotWriteItsRecordIsNotAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := quota.Limit{Rate: 100, Burst: 100}
		store := &partialHostStore{}
		store.failWrites.Store(true)
		g := startHostSync(t, store)
		time.Sleep(30 * time.Second) // longer than a silent host counts as a member
		if d := g.limiter.Admit(time.Now(), "c", limit); !d.Unavailable {
			t.Errorf("the decision is %+v, want unavailable", d)
		}
		store.failWrites.Store(false)
		time.Sleep(2 * maxRecoveryWait)
		if !g.limiter.Admit(time.Now(), "c", limit).Allowed {
			t.Error("a host that is registered and alone rejects a request within the limit")
		}
	})
}

// Guards against a host that takes a write whose response was lost for one that was not performed, and rejects requests for as long as
// responses are lost.
func TestLostResponseToTheWriteOfTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startHostSync(t, &partialHostStore{loseResponses: true})
		time.Sleep(time.Second)
		if !g.limiter.Admit(time.Now(), "c", quota.Limit{Rate: 100, Burst: 100}).Allowed {
			t.Error("a host whose record is in the store rejects a request within the limit")
		}
	})
}

// Guards against a host whose record is replaced by that of an earlier process (issue 36): the others then do not hear it until it is
// restarted. It must write its record again at its next read, unless it is leaving.
func TestHostWritesItsRecordAgainAfterItWasReplaced(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &partialHostStore{}
			g := startHostSync(t, store)
			time.Sleep(time.Second)
			own, err := g.node.EncodedRecord()
			if err != nil {
				t.Fatal(err)
			}
			earlier := gossip.Record{
				ID: g.options.HostID, Incarnation: 1, Address: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Key: gossip.NewKey(),
			}
			data, err := earlier.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if err := store.PutHost(t.Context(), g.options.HostID, data); err != nil {
				t.Fatal(err)
			}
			g.leaving.Store(leaving)
			time.Sleep(hostsInterval + maxRecoveryWait)
			stored, err := store.Hosts(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if written := bytes.Equal(stored[g.options.HostID], own); written == leaving {
				t.Errorf("the record was written again: %v, want %v", written, !leaving)
			}
		})
	}
}

// Guards against a host that cannot write its record and therefore neither introduces itself nor admits a part of the limits, and
// against one that admits more than an equal share after the silent others no longer count as members.
func TestHostThatCannotWriteItsRecordReadsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &partialHostStore{records: make(map[string][]byte)}
		store.failWrites.Store(true)
		for _, id := range []string{"b", "c", "d"} {
			other := gossip.Record{ID: id, Incarnation: 1, Address: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Key: gossip.NewKey()}
			data, err := other.Encode()
			if err != nil {
				t.Fatal(err)
			}
			store.records[id] = data
		}
		g := startHostSync(t, store)
		time.Sleep(time.Second)
		if hosts := g.node.Hosts(time.Now()); len(hosts) != 3 {
			t.Errorf("%d other hosts are known, want 3", len(hosts))
		}
		if sent, _, _ := g.node.Counters(); sent == 0 {
			t.Error("the host has not introduced itself")
		}
		time.Sleep(30 * time.Second)
		admitted := 0
		for range 4000 {
			if g.limiter.Admit(time.Now(), "c", quota.Limit{Rate: 100, Burst: 100}).Allowed {
				admitted++
			}
			time.Sleep(time.Millisecond)
		}
		if admitted < 90 || admitted > 105 {
			t.Errorf("%d requests were admitted in 4 s by one of 4 hosts with 100/s, want its equal share", admitted)
		}
	})
}
