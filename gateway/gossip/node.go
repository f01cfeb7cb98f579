package gossip

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval = time.Second
	// usesInterval is the time between urgent reports of customers' use, and between those of full upstreams.
	usesInterval = 150 * time.Millisecond
	// lateFrom is the lateness that is reported: the process was frozen or short of processor time.
	lateFrom = 250 * time.Millisecond
	// coalesceNotices is for how long notices wait for others to share a datagram.
	coalesceNotices = 5 * time.Millisecond
	// headBytes precede the body of a packet: its passage and the MAC of the body.
	headBytes = 1 + macBytes
	macBytes  = 16
	// transit is added to the ages that are stated, for the way of the datagram.
	transit   = 5 * time.Millisecond
	maxPacket = 2048
	// readPause follows a failed read of the socket.
	readPause = 10 * time.Millisecond
)

// Message is a received datagram.
type Message struct {
	Host          string
	Sequence      uint64
	Leaving       bool
	Configuration uint64
	Notices       []breaker.Notice
	Uses          []quota.Use
	// Retries counts the use of retry budgets; Customer holds the name of the service.
	Retries []quota.Use
	// Loads are the upstreams that the sender has found to be full.
	Loads []placement.Report
	// Registry is the sender's newest read of the upstreams. Its Digest is 0 without a read.
	Registry RegistryState
}

// RegistryState tells what a host has read of the upstreams.
type RegistryState struct {
	Digest uint64
	// Age is how long ago the read was started.
	Age time.Duration
	// Settled is true if no living upstream can be missing.
	Settled bool
	// Version is that of the store, and Delta the difference to the read before. Delta is nil if nothing or much has
	// changed, and Version is then 0.
	Version uint64
	Delta   *registry.Delta
}

// Options configure a Node.
type Options struct {
	Self Record
	// Conn receives datagrams at Self.Address. Required.
	Conn net.PacketConn
	// Configuration returns the version in force at this host. Required.
	Configuration func() uint64
	// Registry returns this host's own newest read of the upstreams. Required.
	Registry func(now time.Time) RegistryState
	// Uses returns the counts to report. Required.
	Uses func(now time.Time, onlyNear bool) []quota.Use
	// Retries returns the use of retry budgets. Required.
	Retries func(now time.Time, onlyNear bool) []quota.Use
	// Receive takes verified messages, one at a time. Required.
	Receive func(now time.Time, m *Message)
	// Unknown is called when a datagram cannot be verified because its sender's record is not known. Required.
	Unknown func(host string)
	// Late is called when the node's loop ran late by more than lateFrom. Default none.
	Late func(by time.Duration)
	// HubFleet is the number of other hosts from which datagrams go by way of hubs. Default hubFleet.
	HubFleet int
	// HubFailed is called when a host did not pass on this host's datagrams in time. Default none.
	HubFailed func(host string)
	// Returned is called when a host is heard for the first time or after it was away. Required.
	Returned func(host string)
}

// Node sends and receives datagrams. It is safe for concurrent use.
type Node struct {
	options  Options
	table    table
	sequence atomic.Uint64
	leaving  atomic.Bool
	wake     chan struct{}

	mu      sync.Mutex
	notices []breaker.Notice
	near    []breaker.Notice // for the own data centre only
	loads   map[settings.UpstreamID]float64

	uplink uplink
	outbox outbox

	sent     atomic.Int64
	rejected atomic.Int64
	repeated atomic.Int64
}

// passage says how a packet has come. It is not authenticated: it decides only whether the packet is passed on.
type passage byte

const (
	// direct packets come from their sender. One of another data centre is passed on to all hosts of the own one.
	direct passage = iota
	// passedOn packets come from a host of the own data centre that has passed them on to all others.
	passedOn
	// collect packets are to be bundled by the receiver for all hosts, and collectNear for those of the own data centre.
	collect
	collectNear
	// bundle packets hold several datagrams. bundleFar are such from another data centre, to be passed on to all hosts of the
	// own one.
	bundle
	bundleFar
)

// seal makes a packet.
func seal(key, body []byte) []byte {
	packet := make([]byte, 0, headBytes+len(body))
	packet = append(packet, byte(direct))
	packet = append(packet, mac(key, body)...)
	return append(packet, body...)
}

// New returns a Node that knows no other host.
func New(options Options) *Node {
	if options.Late == nil {
		options.Late = func(time.Duration) {}
	}
	if options.HubFailed == nil {
		options.HubFailed = func(string) {}
	}
	if options.HubFleet == 0 {
		options.HubFleet = hubFleet
	}
	n := &Node{options: options, wake: make(chan struct{}, 1)}
	n.uplink.avoided = make(map[string]time.Time)
	n.loads = make(map[settings.UpstreamID]float64)
	n.table.self, n.table.dataCentre = options.Self.ID, options.Self.DataCentre
	n.table.hosts = make(map[string]*Host)
	return n
}

// Update takes the records of the store and returns the ids of hosts whose process is new.
func (n *Node) Update(now time.Time, records []Record) []string { return n.table.update(now, records) }

// Hosts returns the other hosts of the fleet.
func (n *Node) Hosts(now time.Time) []Host { return n.table.list(now) }

// Counters returns the datagrams sent, those that could not be verified, and those that were received already or overtaken.
func (n *Node) Counters() (sent, rejected, repeated int64) {
	return n.sent.Load(), n.rejected.Load(), n.repeated.Load()
}

// Tell sends notices to all hosts soon.
func (n *Node) Tell(notices []breaker.Notice) {
	if len(notices) == 0 {
		return
	}
	n.mu.Lock()
	n.notices = append(n.notices, notices...)
	n.mu.Unlock()
	n.poke()
}

// TellNear sends notices soon to the hosts of the own data centre.
func (n *Node) TellNear(notices []breaker.Notice) {
	if len(notices) == 0 {
		return
	}
	n.mu.Lock()
	n.near = append(n.near, notices...)
	n.mu.Unlock()
	n.poke()
}

// TellLoad sends the load of an upstream to all hosts with the next datagram, within usesInterval.
func (n *Node) TellLoad(report placement.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads[report.Upstream] = report.Load
}

// takeLoads returns the loads to tell.
func (n *Node) takeLoads() []placement.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	reports := make([]placement.Report, 0, len(n.loads))
	for id, load := range n.loads {
		reports = append(reports, placement.Report{Upstream: id, Load: load})
	}
	clear(n.loads)
	return reports
}

// Announce sends a heartbeat soon.
func (n *Node) Announce() { n.poke() }

// Leave tells all hosts that this one leaves.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.poke()
}

func (n *Node) poke() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.options.Conn.Close() })
	defer stop()
	go n.receive(ctx)
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	uses := time.NewTicker(usesInterval)
	defer uses.Stop()
	n.broadcast(n.collect(false))
	ticked := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			n.broadcast(n.collect(false))
		case <-uses.C:
			now := time.Now()
			if late := now.Sub(ticked) - usesInterval; late > lateFrom {
				n.options.Late(late)
			}
			ticked = now
			n.checkHub(now)
			n.sendUrgent(n.collect(true))
		case <-n.wake:
			time.Sleep(coalesceNotices)
			n.sendNotices()
		}
	}
}

// sendUrgent sends what cannot wait for the heartbeat. Loads alone go only to the own data centre, from where upstreams get
// most of their requests.
func (n *Node) sendUrgent(c content) {
	onlyLoads := content{loads: c.loads}
	c.loads = nil
	if !c.empty() {
		c.loads = onlyLoads.loads
		n.broadcast(c)
		return
	}
	n.sendNear(onlyLoads)
}

// sendNear sends to the hosts of the own data centre.
func (n *Node) sendNear(c content) {
	for !c.empty() {
		n.send(c.take(), true)
	}
}

// sendNotices sends the notices that wait. A wake without any announces a change of this host.
func (n *Node) sendNotices() {
	n.mu.Lock()
	near := content{notices: n.near}
	n.near = nil
	n.mu.Unlock()
	notices := n.take()
	if len(notices) > 0 || near.empty() {
		n.broadcast(content{notices: notices})
	}
	n.sendNear(near)
}

func (n *Node) take() []breaker.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	notices := n.notices
	n.notices = nil
	return notices
}

// collect returns the counts to report. Notices that wait go with them.
func (n *Node) collect(onlyNear bool) content {
	now := time.Now()
	c := content{
		uses: n.options.Uses(now, onlyNear), retries: n.options.Retries(now, onlyNear), loads: n.takeLoads(),
	}
	if !onlyNear || !c.empty() {
		c.notices = n.take()
	}
	return c
}

// broadcast sends to all hosts, in as many datagrams as the content needs.
func (n *Node) broadcast(c content) {
	for {
		n.send(c.take(), false)
		if c.empty() {
			return
		}
	}
}

// send sends one datagram to all hosts, or to those of the own data centre. It is the same for all, so that it is encoded
// once.
func (n *Node) send(c content, nearOnly bool) {
	m := &gossippb.Datagram{
		Host: n.options.Self.ID, Incarnation: n.options.Self.Incarnation, Sequence: n.sequence.Add(1),
		Leaving: n.leaving.Load(), Configuration: n.options.Configuration(),
	}
	now := time.Now()
	encodeRegistry(m, n.options.Registry(now))
	encodeContent(m, c)
	body, err := proto.Marshal(m)
	if err != nil {
		n.rejected.Add(1) // an id that is not UTF-8
		return
	}
	packet := seal(n.options.Self.Key, body)
	if !n.sendByHub(now, packet, m.GetSequence(), nearOnly) {
		n.sendDirectly(packet, n.table.nearTargets(now), n.table.farTargets(now), nearOnly)
	}
}

// write sends a packet. One that cannot be sent is lost like one on the way; heartbeats show a host that is away.
func (n *Node) write(packet []byte, to netip.AddrPort) {
	if _, err := n.options.Conn.WriteTo(packet, net.UDPAddrFromAddrPort(to)); err == nil {
		n.sent.Add(1)
	}
}

func mac(key, body []byte) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write(body)
	return hash.Sum(nil)[:macBytes]
}

func (n *Node) receive(ctx context.Context) {
	packet := make([]byte, maxPacket)
	for ctx.Err() == nil {
		size, _, err := n.options.Conn.ReadFrom(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readPause)
			continue
		}
		n.deliver(packet[:size])
	}
}

// deliver takes a packet, and passes on what is for other hosts too.
func (n *Node) deliver(packet []byte) {
	if len(packet) == 0 {
		n.rejected.Add(1)
		return
	}
	as := passage(packet[0])
	if as == bundle || as == bundleFar {
		n.unbundle(packet)
		return
	}
	from, accepted := n.accept(packet[1:])
	switch {
	case !accepted:
	case as == direct:
		n.passOn(packet, from)
	case as == collect || as == collectNear:
		n.gather(packet[1:], as == collectNear)
	}
}

// accept verifies one datagram and hands it over. It reports false for one that brings nothing.
func (n *Node) accept(sealed []byte) (from string, accepted bool) {
	var m gossippb.Datagram
	if len(sealed) <= macBytes || proto.Unmarshal(sealed[macBytes:], &m) != nil {
		n.rejected.Add(1)
		return "", false
	}
	if m.GetHost() == n.options.Self.ID {
		n.acceptOwn(&m, sealed)
		return "", false
	}
	key, newest, known := n.table.find(m.GetHost(), m.GetIncarnation())
	if !known {
		n.rejected.Add(1)
		n.options.Unknown(m.GetHost())
		return "", false
	}
	if m.GetSequence() <= newest {
		n.repeated.Add(1)
		return "", false
	}
	if !hmac.Equal(sealed[:macBytes], mac(key, sealed[macBytes:])) {
		n.rejected.Add(1)
		return "", false
	}
	now := time.Now()
	message := decode(&m)
	accepted, returned := n.table.accept(now, message)
	if !accepted {
		n.repeated.Add(1)
		return "", false
	}
	if returned {
		n.options.Returned(message.Host)
	}
	n.options.Receive(now, message)
	return message.Host, true
}

// acceptOwn takes a datagram of this host that has come back in a bundle.
func (n *Node) acceptOwn(m *gossippb.Datagram, sealed []byte) {
	self := &n.options.Self
	if m.GetIncarnation() != self.Incarnation || !hmac.Equal(sealed[:macBytes], mac(self.Key, sealed[macBytes:])) {
		n.rejected.Add(1)
		return
	}
	n.echoed(m.GetSequence())
}

// passOn sends a packet of another data centre to the other hosts of the own one.
func (n *Node) passOn(packet []byte, from string) {
	packet[0] = byte(passedOn)
	for _, to := range n.table.relayTargets(from) {
		n.write(packet, to)
	}
}

func decode(m *gossippb.Datagram) *Message {
	message := &Message{
		Host: m.GetHost(), Sequence: m.GetSequence(), Leaving: m.GetLeaving(), Configuration: m.GetConfiguration(),
		Registry: decodeRegistry(m),
	}
	for _, notice := range m.GetNotices() {
		message.Notices = append(message.Notices, decodeNotice(notice))
	}
	for _, load := range m.GetLoads() {
		message.Loads = append(message.Loads, placement.Report{
			Upstream: settings.UpstreamID(load.GetUpstream()), Load: float64(load.GetPercent()) / 100,
		})
	}
	message.Uses, message.Retries = decodeUses(m.GetUses()), decodeUses(m.GetRetries())
	return message
}

// Record returns the stored form of this host's record.
func (n *Node) Record() ([]byte, error) { return n.options.Self.Encode() }
