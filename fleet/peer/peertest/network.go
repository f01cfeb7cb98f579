package peertest

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
)

// Network connects hosts by address. It is safe for concurrent use.
type Network struct {
	seed   uint64
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu    sync.Mutex
	hosts map[string]*Host
	links map[direction]*link
	holds map[string]chan struct{}
	sent  map[string]Traffic
}

// direction is an ordered pair of addresses.
type direction struct{ from, to string }

// link is the state of one direction: its faults and the position of its last message.
type link struct {
	cut           bool
	dropRequests  int
	dropResponses int
	duplicate     int
	delay, jitter time.Duration
	lastPosition  uint64
}

// Traffic counts what one address has sent, requests and responses together.
type Traffic struct {
	Messages int
	// Bytes is the total length of the serialized bodies, without headers of the transport.
	Bytes int
}

// NewNetwork returns a network without hosts and without faults.
func NewNetwork(seed uint64) *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		seed: seed, ctx: ctx, cancel: cancel,
		hosts: make(map[string]*Host), links: make(map[direction]*link),
		holds: make(map[string]chan struct{}), sent: make(map[string]Traffic),
	}
}

// Host returns a new host with the given identity that listens at the address. It replaces a host that listened there,
// as the restart of a process does; calls of the replaced host fail with peer.ErrNotSent from then on.
func (n *Network) Host(self fleet.Identity, address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{network: n, self: self, address: address, handlers: make(map[peer.Method]handler)}
	n.hosts[address] = h
	return h
}

// Caller returns the host that listens at the address. If there is none with this identity, it creates one as Host does.
func (n *Network) Caller(self fleet.Identity, address string) peer.Caller {
	return n.find(self, address)
}

// Registrar returns the same host as Caller does.
func (n *Network) Registrar(self fleet.Identity, address string) peer.Registrar {
	return n.find(self, address)
}

func (n *Network) find(self fleet.Identity, address string) *Host {
	n.mu.Lock()
	h := n.hosts[address]
	n.mu.Unlock()
	if h != nil && h.identity() == self {
		return h
	}
	return n.Host(self, address)
}

// Remove stops the listener at the address, as the end of a process does. Calls to it fail with peer.ErrNotSent.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, address)
}

// Close ends all deliveries and the contexts of the running handlers, and waits for the handlers.
func (n *Network) Close() {
	n.cancel()
	n.tasks.Wait()
}

// Cut drops all messages from one address to the other, both requests and responses, until Heal. It does not change the
// reverse direction.
func (n *Network) Cut(from, to string) { n.change(from, to, func(l *link) { l.cut = true }) }

// Heal ends a Cut of one direction.
func (n *Network) Heal(from, to string) { n.change(from, to, func(l *link) { l.cut = false }) }

// Isolate cuts both directions between the address and all other hosts that exist now.
func (n *Network) Isolate(address string) {
	n.forEachOther(address, func(other string) { n.Cut(address, other); n.Cut(other, address) })
}

// Rejoin ends Isolate.
func (n *Network) Rejoin(address string) {
	n.forEachOther(address, func(other string) { n.Heal(address, other); n.Heal(other, address) })
}

// DropRequests drops the next count requests in this direction.
func (n *Network) DropRequests(from, to string, count int) {
	n.change(from, to, func(l *link) { l.dropRequests = count })
}

// DropResponses drops the responses to the next count requests in this direction. The requests are handled.
func (n *Network) DropResponses(from, to string, count int) {
	n.change(from, to, func(l *link) { l.dropResponses = count })
}

// Duplicate makes the called host handle each of the next count requests in this direction twice. The second response is
// dropped.
func (n *Network) Duplicate(from, to string, count int) {
	n.change(from, to, func(l *link) { l.duplicate = count })
}

// Delay delays each message in this direction by delay plus a random part below jitter. Jitter reorders messages.
func (n *Network) Delay(from, to string, delay, jitter time.Duration) {
	n.change(from, to, func(l *link) { l.delay, l.jitter = delay, jitter })
}

// Hold delays all messages from and to the address until Release, as when a process is suspended.
func (n *Network) Hold(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.holds[address] == nil {
		n.holds[address] = make(chan struct{})
	}
}

// Release ends Hold.
func (n *Network) Release(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if held := n.holds[address]; held != nil {
		close(held)
		delete(n.holds, address)
	}
}

// Sent returns the traffic that the address has sent so far.
func (n *Network) Sent(address string) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[address]
}

func (n *Network) change(from, to string, apply func(*link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply(n.link(from, to))
}

func (n *Network) forEachOther(address string, apply func(other string)) {
	n.mu.Lock()
	others := make([]string, 0, len(n.hosts))
	for other := range n.hosts {
		if other != address {
			others = append(others, other)
		}
	}
	n.mu.Unlock()
	for _, other := range others {
		apply(other)
	}
}

// link returns the state of a direction. The caller must hold mu.
func (n *Network) link(from, to string) *link {
	d := direction{from, to}
	if n.links[d] == nil {
		n.links[d] = &link{}
	}
	return n.links[d]
}

// nextDelay returns the delay of the next message in the direction. The caller must hold mu.
func (n *Network) nextDelay(from, to string) time.Duration {
	l := n.link(from, to)
	l.lastPosition++
	if l.jitter <= 0 {
		return l.delay
	}
	text := strconv.FormatUint(n.seed, 10) + "/" + from + "/" + to + "/" + strconv.FormatUint(l.lastPosition, 10)
	return l.delay + time.Duration(xxhash.Sum64String(text)%uint64(l.jitter))
}

// transmit counts the message, waits for its arrival and reports whether it arrives.
func (n *Network) transmit(from, to string, size int) bool {
	n.mu.Lock()
	delay := n.nextDelay(from, to)
	traffic := n.sent[from]
	n.sent[from] = Traffic{Messages: traffic.Messages + 1, Bytes: traffic.Bytes + size}
	n.mu.Unlock()
	if !n.wait(delay) || !n.waitReleased(from) || !n.waitReleased(to) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.link(from, to).cut
}

func (n *Network) wait(delay time.Duration) bool {
	if delay <= 0 {
		return n.ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// waitReleased waits while the messages of the address are held. It returns false if the network is closed.
func (n *Network) waitReleased(address string) bool {
	for {
		n.mu.Lock()
		held := n.holds[address]
		n.mu.Unlock()
		if held == nil {
			return true
		}
		select {
		case <-held:
		case <-n.ctx.Done():
			return false
		}
	}
}

// handler is a registered method.
type handler struct {
	newRequest func() proto.Message
	handle     peer.HandlerFunc
}

// Host is one process on the network. It implements peer.Caller and peer.Registrar.
type Host struct {
	network  *Network
	self     fleet.Identity
	address  string
	mu       sync.Mutex
	handlers map[peer.Method]handler
}

var (
	_ peer.Caller    = (*Host)(nil)
	_ peer.Registrar = (*Host)(nil)
)

// Address returns the address at which the host listens.
func (h *Host) Address() string { return h.address }

// SetIdentity changes the identity that later calls state.
func (h *Host) SetIdentity(self fleet.Identity) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.self = self
}

func (h *Host) identity() fleet.Identity {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// Handle implements peer.Registrar.
func (h *Host) Handle(method peer.Method, newRequest func() proto.Message, handle peer.HandlerFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, taken := h.handlers[method]; taken {
		panic(fmt.Sprintf("peertest: method %q already has a handler", method))
	}
	h.handlers[method] = handler{newRequest: newRequest, handle: handle}
}
