package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
)

// partialHostStore is a HostStore of which reads or writes fail.
type partialHostStore struct {
	failReads  atomic.Bool
	failWrites bool
	records    map[string][]byte
}

var errTableAway = errors.New("the table does not respond")

func (p *partialHostStore) PutHost(context.Context, string, []byte) error {
	if p.failWrites {
		return errTableAway
	}
	return nil
}

func (p *partialHostStore) Hosts(context.Context) (map[string][]byte, error) {
	if p.failReads.Load() {
		return nil, errTableAway
	}
	return p.records, nil
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

// Guards against a host that does not read the records of the others because it cannot write its own: it would not know its share of
// the limits, and could not introduce itself.
func TestHostThatCannotWriteItsRecordReadsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := gossip.Record{ID: "b", Incarnation: 1, Address: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Key: gossip.NewKey()}
		data, err := other.Encode()
		if err != nil {
			t.Fatal(err)
		}
		g := startHostSync(t, &partialHostStore{failWrites: true, records: map[string][]byte{"b": data}})
		time.Sleep(time.Second)
		if hosts := g.node.Hosts(time.Now()); len(hosts) != 1 || !g.hostsLoaded.Load() {
			t.Errorf("%d other hosts are known, want 1", len(hosts))
		}
		if sent, _, _ := g.node.Counters(); sent == 0 {
			t.Error("the host has not introduced itself")
		}
	})
}
