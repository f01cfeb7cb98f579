package fleetbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
)

const (
	// exclusionDelay is the time from the loss of a host until the epoch without it is issued.
	exclusionDelay = 4 * time.Second
	// takeoverDelay is the time from an epoch until a new owner may take over what excluded hosts held: the length F of
	// the activity lease plus the drift margin of the membership.
	takeoverDelay = 2 * time.Second
	// epochPropagationTime is the time within which all hosts learn of a new epoch, one after the other.
	epochPropagationTime = 10 * time.Millisecond
	// frameOverhead is the estimated size in bytes of the headers of a message on a peer connection.
	frameOverhead = 24
	// localLatency is the one-way latency between hosts of the same data centre.
	localLatency = 100 * time.Microsecond
)

// cluster holds the hosts of one run.
type cluster struct {
	hosts         []*host
	byAddress     map[string]*host
	remoteLatency time.Duration
	customers     map[string]ratelimit.Limits
	// messages and bytes count requests and responses between hosts.
	messages, bytes atomic.Int64
	mu              sync.Mutex
	admissions      []ratelimit.Admission
}

// host is one host with its limiter. It implements fleet.ViewSource, peer.Caller and peer.Registrar.
type host struct {
	cluster *cluster
	member  fleet.Member
	view    atomic.Pointer[fleet.View]
	lost    atomic.Bool
	handler peer.HandlerFunc
	limiter *ratelimit.Limiter
}

func newCluster(d *deployment.Deployment, hosts int, customers []customer) *cluster {
	c := &cluster{byAddress: make(map[string]*host), remoteLatency: d.DataCentreDelay, customers: make(map[string]ratelimit.Limits)}
	for _, customer := range customers {
		c.customers[customer.name] = customer.limits
	}
	epoch := fleet.Epoch{Number: 1}
	for i := range hosts {
		epoch.Members = append(epoch.Members, fleet.Member{
			ID: fleet.HostID(fmt.Sprintf("host-%02d", i)), Incarnation: 1, PeerAddress: fmt.Sprintf("peer-%02d", i),
			CallerAddress: fmt.Sprintf("caller-%02d", i), DataCentre: d.DataCentres[i%len(d.DataCentres)],
			Capacity: 1, State: fleet.Active,
		})
	}
	for _, member := range epoch.Members {
		h := &host{cluster: c, member: member}
		h.installView(epoch, time.Now(), time.Now())
		h.limiter = ratelimit.New(ratelimit.Options{
			Views: h, Caller: h, Registrar: h, Clock: clock.Standard{}, Limits: c.limits, Record: c.recordAdmission,
		})
		c.hosts = append(c.hosts, h)
		c.byAddress[member.PeerAddress] = h
	}
	return c
}

// installView gives the host a view of the epoch. The lease outlasts every run; stopHosts ends it.
func (h *host) installView(epoch fleet.Epoch, learnedAt, takeoverAt time.Time) {
	const leaseDuration = 24 * time.Hour
	old := h.view.Load()
	view := &fleet.View{
		Self: h.member.Identity(), Epoch: epoch, ActiveUntil: learnedAt.Add(leaseDuration), TakeoverAt: takeoverAt, LearnedAt: learnedAt,
	}
	h.view.Store(view)
	if h.limiter != nil {
		h.limiter.OnView(old, view)
	}
}

// View implements fleet.ViewSource.
func (h *host) View() *fleet.View { return h.view.Load() }

// Handle implements peer.Registrar. The limiter registers one method.
func (h *host) Handle(_ peer.Method, _ func() proto.Message, handler peer.HandlerFunc) {
	h.handler = handler
}

// Call implements peer.Caller. A lost host neither sends nor receives responses: the call blocks until ctx ends.
func (h *host) Call(ctx context.Context, address string, _ peer.Method, req, resp proto.Message) error {
	to := h.cluster.byAddress[address]
	latency := localLatency
	if to.member.DataCentre != h.member.DataCentre {
		latency = h.cluster.remoteLatency
	}
	h.cluster.countMessage(req)
	time.Sleep(latency)
	if to.lost.Load() || h.lost.Load() {
		<-ctx.Done()
		return peer.ErrNoResponse
	}
	handlerResp, err := to.handler(ctx, h.member.Identity(), req)
	if err != nil {
		return err
	}
	h.cluster.countMessage(handlerResp)
	time.Sleep(latency)
	if to.lost.Load() || h.lost.Load() {
		<-ctx.Done()
		return peer.ErrNoResponse
	}
	proto.Merge(resp, handlerResp)
	return nil
}

func (c *cluster) countMessage(message proto.Message) {
	c.messages.Add(1)
	c.bytes.Add(int64(proto.Size(message) + frameOverhead))
}

func (c *cluster) limits(customer string) (rate, burst float64, ok bool) {
	limits, ok := c.customers[customer]
	return limits.Rate, limits.Burst, ok
}

func (c *cluster) recordAdmission(at time.Time, customer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admissions = append(c.admissions, ratelimit.Admission{At: at, Customer: customer})
}

// stopHosts stops the hosts simultaneously. It issues the epoch without them after exclusionDelay, unless the table is
// down.
func (c *cluster) stopHosts(ctx context.Context, lost []int, tableDown bool, random *rand.Rand) {
	excluded := make(map[fleet.HostID]bool)
	for _, i := range lost {
		h := c.hosts[i]
		excluded[h.member.ID] = true
		h.lost.Store(true)
		view := *h.view.Load()
		view.ActiveUntil = time.Now()
		h.view.Store(&view)
	}
	if tableDown || !sleep(ctx, exclusionDelay) {
		return
	}
	previous := c.hosts[0].view.Load().Epoch
	next := fleet.Epoch{Number: previous.Number + 1}
	for _, m := range previous.Members {
		if !excluded[m.ID] {
			next.Members = append(next.Members, m)
		}
	}
	for _, i := range random.Perm(len(c.hosts)) {
		if h := c.hosts[i]; !h.lost.Load() {
			now := time.Now()
			h.installView(next, now, now.Add(takeoverDelay))
			if !sleep(ctx, epochPropagationTime/time.Duration(len(c.hosts))) {
				return
			}
		}
	}
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
