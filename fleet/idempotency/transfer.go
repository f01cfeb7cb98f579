package idempotency

import (
	"context"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency/tableclaims"
)

// maxTransferBytes is the size in bytes at which a message with records is closed and a new one is started.
const maxTransferBytes = 256 << 10

// Run hands over slots and ends attempts whose deadline has passed, until ctx ends. Results that no owner has accepted by
// then are lost. A host that leaves gracefully must therefore call HandOver first.
func (o *Operations) Run(ctx context.Context) error {
	defer o.stop()
	if o.options.Table != nil {
		go o.expireRows(ctx)
		go o.keepLease(ctx)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		o.tick()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-o.notify:
		}
	}
}

// OnView updates the epoch to that of the current view. It should be called for each epoch in order: an owner that misses
// an epoch must assume that another host granted claims in it.
func (o *Operations) OnView(_, current *fleet.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if current.Epoch.Number > o.ledger.epoch {
		o.enterEpoch(o.readClocks(), current)
	}
}

// enterEpoch switches the ledger to the epoch of view. The caller must hold mu.
func (o *Operations) enterEpoch(t ClockReading, view *fleet.View) {
	o.view = view
	for slot := range o.owners {
		owner, _ := view.Epoch.Owner(SlotKey(slot))
		o.owners[slot] = owner.Identity()
	}
	o.ledger.EnterEpoch(t, view, func(slot int) bool { return !view.Learner && view.Self.ID != "" && o.owners[slot] == view.Self })
	for key := range o.waiters {
		o.wake(key)
	}
	for member := range o.acknowledged {
		if _, ok := view.Epoch.Member(member); !ok {
			delete(o.acknowledged, member)
		}
	}
	o.options.Logger.Info().Uint64("epoch", view.Epoch.Number).Int("owned_slots", o.ledger.owned()).
		Msg("operation slots switched to a new epoch")
	select {
	case o.notify <- struct{}{}:
	default:
	}
}

// tick applies the current time to the ledger and starts the transfers that are due.
func (o *Operations) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, _ := o.enterCurrentEpoch()
	if o.ledger.Tick(t) {
		for key := range o.waiters {
			o.wake(key)
		}
	}
	view := o.view
	for i := range view.Epoch.Members {
		member := view.Epoch.Members[i]
		id := member.Identity()
		if id == view.Self || o.sending[id] || o.acknowledged[id] >= o.ledger.epoch {
			continue
		}
		o.sending[id] = true
		go o.transferSlots(member, o.ledger.epoch)
	}
}

// transferSlots sends a member the state of its slots, and then the declaration that this host grants nothing in them.
func (o *Operations) transferSlots(member fleet.Member, epoch uint64) {
	slots, requests := o.transferRequests(member, epoch)
	done := true
	for _, request := range requests {
		if done = o.transferTo(o.baseContext, member.PeerAddress, request); !done {
			break
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.sending, member.Identity())
	if !done || o.ledger.epoch != epoch {
		return
	}
	o.acknowledged[member.Identity()] = epoch
	for _, slot := range slots {
		o.ledger.Forget(slot, epoch)
	}
}

// transferRequests returns the slots to transfer to a member and the messages with their state. The last message is final.
func (o *Operations) transferRequests(member fleet.Member, epoch uint64) ([]int, []*idempotencypb.TransferRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ledger.epoch != epoch {
		return nil, []*idempotencypb.TransferRequest{{Epoch: epoch}}
	}
	t := o.readClocks()
	var slots []int
	batcher := &transferBatcher{epoch: epoch}
	for slot := range Slots {
		if o.owners[slot] != member.Identity() {
			continue
		}
		if transfer, ok := o.ledger.Outgoing(t, slot); ok {
			batcher.add(&transfer)
			slots = append(slots, slot)
		}
	}
	return slots, batcher.finish()
}

// transferBatcher splits transfers into messages of about maxTransferBytes. The reports of a slot come after its last
// record, because the owner may start to serve the slot once it has them.
type transferBatcher struct {
	epoch    uint64
	requests []*idempotencypb.TransferRequest
	slots    []*idempotencypb.SlotTransfer
	bytes    int
}

func (p *transferBatcher) add(transfer *Transfer) {
	message := &idempotencypb.SlotTransfer{Slot: uint32(transfer.Slot), EvictedToNs: unixNano(transfer.EvictedThrough)}
	p.slots = append(p.slots, message)
	for i := range transfer.Records {
		r := &transfer.Records[i]
		message.Records = append(message.Records, recordToProto(r))
		p.bytes += recordBytes + len(r.Result.Body)
		if p.bytes >= maxTransferBytes {
			p.flush()
			message = &idempotencypb.SlotTransfer{Slot: uint32(transfer.Slot), EvictedToNs: unixNano(transfer.EvictedThrough)}
			p.slots = append(p.slots, message)
		}
	}
	message.Reports = reportsToProto(transfer.Reports)
}

func (p *transferBatcher) flush() {
	p.requests = append(p.requests, &idempotencypb.TransferRequest{Epoch: p.epoch, Slots: p.slots})
	p.slots, p.bytes = nil, 0
}

func (p *transferBatcher) finish() []*idempotencypb.TransferRequest {
	p.flush()
	p.requests[len(p.requests)-1].Final = true
	return p.requests
}

// acceptTransfer applies a message with transfers from another host. It reports whether all were accepted.
func (o *Operations) acceptTransfer(from fleet.Identity, request *idempotencypb.TransferRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, _ := o.enterCurrentEpoch()
	if request.GetEpoch() != o.ledger.epoch {
		return false
	}
	for _, slot := range request.GetSlots() {
		transfer, err := transferFromProto(slot)
		if err != nil || !o.ledger.Accept(t, request.GetEpoch(), &transfer) {
			return false
		}
	}
	if request.GetFinal() {
		o.ledger.Release(from, request.GetEpoch())
	}
	if o.ledger.Tick(t) {
		for key := range o.waiters {
			o.wake(key)
		}
	}
	return true
}

// HandOver waits until the other members have accepted the state of their slots, owners have accepted all results, and the
// results are in the table unless writes to it fail. The host must have left or be leaving the epoch, so it owns no slot.
// HandOver returns the error of ctx if that ends first.
func (o *Operations) HandOver(ctx context.Context) error {
	for !o.handedOver() {
		sleep(ctx, o.options.RetryDelay)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func (o *Operations) handedOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.enterCurrentEpoch()
	if o.pending.Load() > 0 || o.ledger.owned() > 0 {
		return false
	}
	if rows := o.rows.Status(); rows.Pending > 0 && !rows.Failing {
		return false // results are being written to the table; an outage of the table does not keep the host from leaving
	}
	view := o.view
	for i := range view.Epoch.Members {
		member := &view.Epoch.Members[i]
		owns := member.State == fleet.Active && member.Identity() != view.Self
		if owns && o.acknowledged[member.Identity()] < o.ledger.epoch {
			return false
		}
	}
	return true
}

// Status describes the state of Operations, for metrics and the admin API.
type Status struct {
	Epoch uint64
	// OwnedSlots and ServingSlots count slots. An owned slot is served once all earlier grants are known or void.
	OwnedSlots, ServingSlots int
	Records                  int
	// Bytes is the memory of the records.
	Bytes int64
	// Evicted counts records that were evicted for lack of memory.
	Evicted uint64
	// PendingResults counts results that no owner has accepted yet.
	PendingResults int64
	// Table counts the calls and pending writes of claims in the table.
	Table tableclaims.Status
	// Granted, Replayed and Refused count the decisions on the claims of this host.
	Granted, Replayed, Refused int64
}

// Status returns the current state.
func (o *Operations) Status() Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	status := Status{
		Epoch: o.ledger.epoch, OwnedSlots: o.ledger.owned(), Bytes: o.ledger.usedBytes, Evicted: o.ledger.evicted,
		Records: len(o.ledger.evictable) + len(o.ledger.running), PendingResults: o.pending.Load(),
		Table: o.rows.Status(), Granted: o.granted.Load(), Replayed: o.replayed.Load(), Refused: o.rejected.Load(),
	}
	for i := range o.ledger.slots {
		if o.ledger.slots[i].serving {
			status.ServingSlots++
		}
	}
	return status
}

func (l *Ledger) owned() int {
	n := 0
	for i := range l.slots {
		if l.slots[i].owned {
			n++
		}
	}
	return n
}
