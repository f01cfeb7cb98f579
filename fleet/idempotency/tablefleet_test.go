package idempotency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer/peertest"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/memory"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// faultyTable is the table of one host with faults around writes. The faults simulate a paused process or network.
type faultyTable struct {
	storage.Table
	mu sync.Mutex
	// mode is "" without a fault, "before" or "after" for a pause before or after a write, "late" for a write that takes
	// effect after its call has failed, or "down" for a table that is unavailable.
	mode   string
	resume chan struct{} // closed to end a pause
}

func (p *faultyTable) setMode(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
	if p.mode = mode; mode != "" {
		p.resume = make(chan struct{})
	}
}

func (p *faultyTable) Transact(ctx context.Context, writes []storage.Write) error {
	p.mu.Lock()
	mode, resume := p.mode, p.resume
	p.mu.Unlock()
	uncancelled := context.WithoutCancel(ctx)
	switch mode {
	case "down":
		return storage.ErrUnavailable
	case "before":
		<-resume
		return p.Table.Transact(uncancelled, writes)
	case "after":
		err := p.Table.Transact(ctx, writes)
		<-resume
		return err
	case "late":
		go func() {
			<-resume
			_ = p.Table.Transact(uncancelled, writes)
		}()
		<-ctx.Done()
		return storage.ErrUnknownOutcome
	default:
		return p.Table.Transact(ctx, writes)
	}
}

func (p *faultyTable) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	p.mu.Lock()
	down := p.mode == "down"
	p.mu.Unlock()
	if down {
		return storage.Item{}, storage.ErrUnavailable
	}
	return p.Table.Get(ctx, key)
}

// skewedClock is a clock whose wall clock deviates by offset.
type skewedClock struct {
	clock.Standard
	offset time.Duration
}

func (s skewedClock) Wall() time.Time { return s.Standard.Wall().Add(s.offset) }

// tableHost is a host process with real Operations.
type tableHost struct {
	member fleet.Member
	ops    *Operations
	table  *faultyTable
	view   atomic.Pointer[fleet.View]
	until  atomic.Pointer[time.Time] // end of the lease, nil while it is renewed
	stop   context.CancelFunc
	lost   bool
}

func (h *tableHost) View() *fleet.View {
	view := *h.view.Load()
	view.ActiveUntil = time.Now().Add(leaseTime)
	if until := h.until.Load(); until != nil {
		view.ActiveUntil = *until
	}
	return &view
}

func (h *tableHost) learn(epoch fleet.Epoch) {
	old := h.view.Load()
	view := &fleet.View{Self: h.member.Identity(), Epoch: epoch, TakeoverAt: time.Now().Add(takeoverDelay), LearnedAt: time.Now()}
	h.view.Store(view)
	h.until.Store(nil)
	if h.ops != nil {
		h.ops.OnView(old, view)
	}
}

// tableFleet is a fleet of real Operations in a synctest bubble that share a table.
type tableFleet struct {
	network *peertest.Network
	table   *memory.Table
	hosts   []*tableHost
	epoch   fleet.Epoch
}

func newTableFleet(hosts int) *tableFleet {
	f := &tableFleet{network: peertest.NewNetwork(1), table: memory.NewTable()}
	for range hosts {
		f.start(0)
	}
	f.changeEpoch()
	f.learnAll()
	return f
}

func (f *tableFleet) start(skew time.Duration) *tableHost {
	n := len(f.hosts) + 1
	address := fmt.Sprint("10.0.0.", n)
	h := &tableHost{table: &faultyTable{Table: f.table}, member: fleet.Member{
		ID: fleet.HostID(fmt.Sprint("h", n)), Incarnation: fleet.Incarnation(n), PeerAddress: address, Capacity: 1,
		State: fleet.Active,
	}}
	h.view.Store(&fleet.View{Self: h.member.Identity()})
	end := f.network.Host(h.member.Identity(), address)
	h.ops = New(Options{Views: h, Caller: end, Registrar: end, Clock: skewedClock{offset: skew}, Table: h.table})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { _ = h.ops.Run(ctx) }()
	f.hosts = append(f.hosts, h)
	return h
}

// changeEpoch creates the next epoch with all hosts that are not lost. The lease of a host is not renewed until the host
// learns the epoch.
func (f *tableFleet) changeEpoch() {
	f.epoch = fleet.Epoch{Number: f.epoch.Number + 1}
	until := time.Now().Add(leaseTime)
	for _, h := range f.hosts {
		if !h.lost {
			f.epoch.Members = append(f.epoch.Members, h.member)
		}
		if h.until.Load() == nil {
			h.until.Store(&until)
		}
	}
}

func (f *tableFleet) learnAll() {
	for _, h := range f.hosts {
		if !h.lost && h.view.Load().Epoch.Number < f.epoch.Number {
			h.learn(f.epoch)
		}
	}
}

// lose removes a host from the network and the epoch. It keeps running with its current lease.
func (f *tableFleet) lose(h *tableHost) {
	h.lost = true
	f.network.Remove(h.member.PeerAddress)
	f.changeEpoch()
}

func (f *tableFleet) owner(key Key) *tableHost {
	owner, _ := f.epoch.Owner(SlotKey(key.Slot()))
	for _, h := range f.hosts {
		if h.member.Identity() == owner.Identity() {
			return h
		}
	}
	return nil
}

func (f *tableFleet) close() {
	f.table.Faults.SetDown(false)
	for _, h := range f.hosts {
		h.table.setMode("")
		h.stop()
	}
	time.Sleep(time.Minute) // fake time; every call and retry ends
	f.network.Close()
	synctest.Wait()
}

// begin claims an operation at a host. It returns the error kind, "granted" or "replayed", and the outcome of an error.
func (h *tableHost) begin(id uuid.UUID, mode settings.ClaimMode, timeout time.Duration) (Claim, string, errkind.Outcome) {
	claim, err := h.ops.Begin(context.Background(), Operation{
		Customer: "c", ID: id.String(), Deadline: time.Now().Add(timeout), Claims: mode, Fingerprint: Fingerprint{1},
	})
	var rejection *errkind.Error
	switch {
	case errors.As(err, &rejection):
		return claim, string(rejection.Kind), rejection.StatedOutcome()
	case claim.Replay != nil:
		return claim, "replayed", ""
	default:
		return claim, "granted", ""
	}
}
