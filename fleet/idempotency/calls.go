package idempotency

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/idempotency/idempotencypb"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
)

// The calls between hosts.
const (
	MethodClaim    peer.Method = "idempotency.claim"
	MethodComplete peer.Method = "idempotency.complete"
	MethodTransfer peer.Method = "idempotency.transfer"
)

func (o *Operations) register() {
	r := o.options.Registrar
	r.Handle(MethodClaim, func() proto.Message { return &idempotencypb.ClaimRequest{} }, o.handleClaim)
	r.Handle(MethodComplete, func() proto.Message { return &idempotencypb.CompleteRequest{} }, o.handleComplete)
	r.Handle(MethodTransfer, func() proto.Message { return &idempotencypb.TransferRequest{} }, o.handleTransfer)
}

func (o *Operations) handleClaim(ctx context.Context, _ fleet.Identity, message proto.Message) (proto.Message, error) {
	m := message.(*idempotencypb.ClaimRequest)
	request, err := operationFromProto(m.GetOperation())
	if err != nil {
		return nil, err
	}
	request.Remaining = time.Duration(m.GetRemainingMs()) * time.Millisecond
	hold := min(maxClaimWait, time.Duration(m.GetWaitMs())*time.Millisecond)
	return decisionToProto(o.claimLocal(ctx, request, hold)), nil
}

func (o *Operations) handleComplete(_ context.Context, _ fleet.Identity, message proto.Message) (proto.Message, error) {
	m := message.(*idempotencypb.CompleteRequest)
	request, err := operationFromProto(m.GetOperation())
	if err != nil {
		return nil, err
	}
	accepted := o.completeLocal(request, resultFromProto(m.GetResult()))
	return &idempotencypb.CompleteAnswer{Accepted: accepted}, nil
}

func (o *Operations) handleTransfer(_ context.Context, from fleet.Identity, message proto.Message) (proto.Message, error) {
	accepted := o.acceptTransfer(from, message.(*idempotencypb.TransferRequest))
	return &idempotencypb.TransferAnswer{Accepted: accepted}, nil
}

// claimAt makes one claim at another host.
func (o *Operations) claimRemote(ctx context.Context, address string, request ClaimRequest, hold time.Duration) (Decision, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+o.options.CallTimeout)
	defer cancel()
	message := &idempotencypb.ClaimRequest{
		Operation: operationToProto(&request), RemainingMs: request.Remaining.Milliseconds(), WaitMs: hold.Milliseconds(),
	}
	answer := &idempotencypb.ClaimAnswer{}
	if err := o.options.Caller.Call(ctx, address, MethodClaim, message, answer); err != nil {
		return Decision{}, !errors.Is(err, peer.ErrNotSent), err
	}
	decision := decisionFromProto(answer)
	if decision.Verdict == NotOwner {
		return decision, false, errNotServing
	}
	return decision, false, nil
}

func (o *Operations) completeRemote(ctx context.Context, address string, request ClaimRequest, result Result) bool {
	ctx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()
	message := &idempotencypb.CompleteRequest{Operation: operationToProto(&request), Result: resultToProto(&result)}
	answer := &idempotencypb.CompleteAnswer{}
	err := o.options.Caller.Call(ctx, address, MethodComplete, message, answer)
	return err == nil && answer.GetAccepted()
}

func (o *Operations) transferTo(ctx context.Context, address string, request *idempotencypb.TransferRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()
	answer := &idempotencypb.TransferAnswer{}
	err := o.options.Caller.Call(ctx, address, MethodTransfer, request, answer)
	return err == nil && answer.GetAccepted()
}
