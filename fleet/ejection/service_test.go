package ejection

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
)

// node is one host of an in-memory fleet. It implements the interfaces that its Service needs.
type node struct {
	*Service
	fleet   *memoryFleet
	member  fleet.Member
	view    atomic.Pointer[fleet.View]
	handler peer.HandlerFunc
	stop    context.CancelFunc
	down    atomic.Bool
}

type memoryFleet struct {
	nodes   map[string]*node
	service *settings.Service
}

func (n *node) View() *fleet.View { return n.view.Load() }

func (n *node) Handle(_ peer.Method, _ func() proto.Message, handler peer.HandlerFunc) {
	n.handler = handler
}

func (n *node) Call(ctx context.Context, address string, _ peer.Method, req, resp proto.Message) error {
	to := n.fleet.nodes[address]
	if to.down.Load() {
		<-ctx.Done()
		return peer.ErrNoResponse
	}
	response, err := to.handler(ctx, n.member.Identity(), proto.Clone(req))
	if err != nil {
		return err
	}
	proto.Merge(resp, response)
	return nil
}

func (f *memoryFleet) start(ctx context.Context, i int, probe func(context.Context, settings.Upstream) error) {
	n := &node{fleet: f, member: fleet.Member{
		ID: fleet.HostID(fmt.Sprint("h", i)), Incarnation: 1, PeerAddress: fmt.Sprint("h", i), Capacity: 1, State: fleet.Active,
	}}
	f.nodes[n.member.PeerAddress] = n
	n.view.Store(&fleet.View{Self: n.member.Identity()})
	n.Service = NewService(Options{
		Views: n, Caller: n, Registrar: n, Clock: clock.Standard{}, Probe: probe,
		Services: func(yield func(*settings.Service) bool) { yield(f.service) },
	})
	ctx, n.stop = context.WithCancel(ctx)
	go func() { _ = n.Run(ctx) }()
}

func (f *memoryFleet) live() []*node {
	var live []*node
	for _, n := range f.nodes {
		if !n.down.Load() {
			live = append(live, n)
		}
	}
	slices.SortFunc(live, func(a, b *node) int { return cmp.Compare(a.member.ID, b.member.ID) })
	return live
}

// enter starts an epoch whose members are the live nodes, on all live nodes.
func (f *memoryFleet) enter(number uint64) {
	epoch := fleet.Epoch{Number: number}
	for _, n := range f.live() {
		epoch.Members = append(epoch.Members, n.member)
	}
	now := time.Now()
	for _, n := range f.live() {
		old := n.View()
		view := &fleet.View{
			Self: n.member.Identity(), Epoch: epoch, ActiveUntil: now.Add(time.Hour), TakeoverAt: now.Add(2 * time.Second), LearnedAt: now,
		}
		n.view.Store(view)
		n.OnView(old, view)
	}
}

// serve sends one request per second from each live host to each upstream that it has not ejected. u01 fails them all. It
// returns the hosts that have ejected u01 at the end.
func (f *memoryFleet) serve(d time.Duration) (ejecting []string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for _, n := range f.live() {
			for _, u := range f.service.Upstreams {
				if n.Ejected(f.service.Name).Weight(u.ID) == 0 {
					continue
				}
				done := n.Start(f.service.Name, u.ID)
				if u.ID == "u01" {
					done(outlier.Failed)
				}
				done(outlier.OK)
			}
		}
	}
	for _, n := range f.live() {
		if n.Ejected(f.service.Name).Weight("u01") == 0 {
			ejecting = append(ejecting, n.member.PeerAddress)
		}
	}
	return ejecting
}

// Guards the exchange between hosts. All hosts must receive an ejection, the next arbiter must adopt it when the first one
// fails, and the upstream must be probed before it returns.
func TestServiceOverPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &memoryFleet{nodes: map[string]*node{}, service: service(6, 0.5)}
		var probed atomic.Int64
		for i := range 4 {
			f.start(ctx, i, func(context.Context, settings.Upstream) error {
				probed.Add(1)
				return context.DeadlineExceeded
			})
		}
		f.enter(1)
		if got := f.serve(9 * time.Second); len(got) != 4 {
			t.Fatalf("hosts that have ejected u01: %v, want all 4", got)
		}
		owner, _ := f.nodes["h0"].View().Epoch.Owner(ownerKey(f.service.Name))
		f.nodes[owner.PeerAddress].stop()
		f.nodes[owner.PeerAddress].down.Store(true)
		time.Sleep(500 * time.Millisecond)
		f.enter(2)
		for range 5 {
			if got := f.serve(time.Second); len(got) != 3 {
				t.Errorf("after the loss of the arbiter, hosts that have ejected u01: %v, want all 3", got)
			}
		}
		f.serve(20 * time.Second)
		if probed.Load() == 0 {
			t.Error("u01 was never probed")
		}
	})
}
