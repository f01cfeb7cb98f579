package peertest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet/peer"
)

// result is the outcome of one handled request: the serialized response or an error.
type result struct {
	body []byte
	err  error
}

// request is one call in flight.
type request struct {
	caller   *Host
	address  string
	method   peer.Method
	body     []byte
	deadline time.Time
}

// Call implements peer.Caller.
func (h *Host) Call(ctx context.Context, address string, method peer.Method, req, resp proto.Message) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return fmt.Errorf("%w: the context of a call to %q has no deadline", peer.ErrNotSent, method)
	}
	if ctx.Err() != nil {
		return errors.Join(peer.ErrNotSent, ctx.Err())
	}
	body, err := proto.Marshal(req)
	if err != nil {
		return errors.Join(peer.ErrNotSent, err)
	}
	if !h.network.listening(h) || h.network.hostAt(address) == nil {
		return fmt.Errorf("%w: connection from %s to %s refused", peer.ErrNotSent, h.address, address)
	}
	results := make(chan result, 1)
	h.network.send(&request{caller: h, address: address, method: method, body: body, deadline: deadline}, results)
	select {
	case res := <-results:
		if res.err != nil {
			return res.err
		}
		return proto.Unmarshal(res.body, resp)
	case <-ctx.Done():
		return errors.Join(peer.ErrNoResponse, ctx.Err())
	case <-h.network.ctx.Done():
		return fmt.Errorf("%w: the network is closed", peer.ErrNoResponse)
	}
}

func (n *Network) hostAt(address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// listening reports whether the host still listens at its address, that is, has not been replaced or removed.
func (n *Network) listening(h *Host) bool { return n.hostAt(h.address) == h }

// send starts the delivery of the request and applies the faults of the direction: lost requests, lost responses and
// duplicates.
func (n *Network) send(r *request, results chan<- result) {
	n.mu.Lock()
	l := n.link(r.caller.address, r.address)
	dropRequest := consume(&l.dropRequests)
	dropResponse := !dropRequest && consume(&l.dropResponses)
	twice := !dropRequest && consume(&l.duplicate)
	n.mu.Unlock()
	if dropRequest {
		return
	}
	if dropResponse {
		results = nil
	}
	n.deliver(r, results)
	if twice {
		n.deliver(r, nil)
	}
}

// consume reports whether the count is positive, and decrements it then.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// deliver transmits the request to the host, lets it handle the request and transmits the response back. If results is nil,
// the response is dropped.
func (n *Network) deliver(r *request, results chan<- result) {
	n.tasks.Go(func() {
		if !n.transmit(r.caller.address, r.address, len(r.body)) {
			return
		}
		callee := n.hostAt(r.address)
		if callee == nil {
			return
		}
		res := callee.serve(n.ctx, r)
		if results == nil || !n.listening(callee) || !n.transmit(r.address, r.caller.address, len(res.body)) {
			return
		}
		results <- res
	})
}

func (h *Host) serve(ctx context.Context, r *request) result {
	h.mu.Lock()
	registered, ok := h.handlers[r.method]
	h.mu.Unlock()
	if !ok {
		return result{err: fmt.Errorf("%w: method %q has no handler", peer.ErrRejected, r.method)}
	}
	message := registered.newRequest()
	if err := proto.Unmarshal(r.body, message); err != nil {
		return result{err: errors.Join(peer.ErrRejected, err)}
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	resp, err := registered.handle(ctx, r.caller.identity(), message)
	if err != nil {
		return result{err: peer.RemoteError(err)}
	}
	body, err := proto.Marshal(resp)
	if err != nil {
		return result{err: errors.Join(peer.ErrRejected, err)}
	}
	return result{body: body}
}
