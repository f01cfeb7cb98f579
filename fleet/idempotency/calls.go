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

// Methods of calls between hosts.
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
	maxWait := min(maxClaimWait, time.Duration(m.GetWaitMs())*time.Millisecond)
	return decisionToProto(o.claimLocal(ctx, request, maxWait)), nil
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

// claimRemote sends one claim to the owner at address, which may hold the call for up to maxWait. The bool is true if
// there is no response although the claim may have been granted.
func (o *Operations) claimRemote(ctx context.Context, address string, request ClaimRequest, maxWait time.Duration) (Decision, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait+o.options.CallTimeout)
	defer cancel()
	message := &idempotencypb.ClaimRequest{
		Operation: operationToProto(&request), RemainingMs: request.Remaining.Milliseconds(), WaitMs: maxWait.Milliseconds(),
	}
	response := &idempotencypb.ClaimAnswer{}
	if err := o.options.Caller.Call(ctx, address, MethodClaim, message, response); err != nil {
		return Decision{}, !errors.Is(err, peer.ErrNotSent), err
	}
	decision := decisionFromProto(response)
	if decision.Verdict == NotOwner {
		return decision, false, errNotServing
	}
	return decision, false, nil
}

func (o *Operations) completeRemote(ctx context.Context, address string, request ClaimRequest, result Result) bool {
	ctx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()
	message := &idempotencypb.CompleteRequest{Operation: operationToProto(&request), Result: resultToProto(&result)}
	response := &idempotencypb.CompleteAnswer{}
	err := o.options.Caller.Call(ctx, address, MethodComplete, message, response)
	return err == nil && response.GetAccepted()
}

func (o *Operations) transferTo(ctx context.Context, address string, request *idempotencypb.TransferRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()
	response := &idempotencypb.TransferAnswer{}
	err := o.options.Caller.Call(ctx, address, MethodTransfer, request, response)
	return err == nil && response.GetAccepted()
}
