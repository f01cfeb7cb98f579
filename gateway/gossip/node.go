package gossip

import (
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
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
	// drainTime is the time after a pause in which what is read from the socket may have come during the pause.
	drainTime = 100 * time.Millisecond
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
	Host     string
	Sequence uint64
	// Old is true if a newer datagram has come before, or this host was paused while it waited: what it says of the sender's
	// state is out of date.
	Old           bool
	Leaving       bool
	Configuration uint64
	// ConfigurationAge is the time since a read of the store has confirmed Configuration; 0 if not known.
	ConfigurationAge time.Duration
	// StoreAway is true if the sender could not read the store lately.
	StoreAway bool
	Notices   []breaker.Notice
	Uses      []quota.Use
	// Retries counts the use of retry budgets; Customer holds the name of the service.
	Retries []quota.Use
	// Loads are the upstreams that the sender has found to be full.
	Loads []placement.LoadReport
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
	// Configuration returns the version in force at this host and the time since a read of the store has confirmed it. Required.
	Configuration func() (version uint64, age time.Duration)
	// StoreAway returns whether this host could not read the store lately. Default no.
	StoreAway func() bool
	// Registry returns this host's own newest read of the upstreams. Required.
	Registry func(now time.Time) RegistryState
	// Uses returns the counts to report. Required.
	Uses func(now time.Time, onlyNear bool) []quota.Use
	// Retries returns the use of retry budgets. Required.
	Retries func(now time.Time, onlyNear bool) []quota.Use
	// Receive takes verified messages, one at a time. Required.
	Receive func(now time.Time, m *Message)
	// Found is called when a host that has started has introduced itself. Required.
	Found func(host string)
	// Unknown is called when the record of a host must be read, because it has not introduced itself. Required.
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
	// ticked is the time of the last turn of the loop, and woken the time until which datagrams may have waited for the end of a
	// pause. nil before the loop runs.
	ticked, woken atomic.Pointer[time.Time]
	// announced is set when a heartbeat is to be sent at once.
	announced atomic.Bool
	wake      chan struct{}

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
	// introduction packets hold the record of a host that has started; one of another data centre is passed on to all hosts of
	// the own one.
	introduction
	introductionPassedOn
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
	if options.StoreAway == nil {
		options.StoreAway = func() bool { return false }
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
	n.table.replaced, n.table.unknownSince = make(map[former]bool), make(map[string]time.Time)
	return n
}

// Update takes the records of a read of the store that began at readAt, and returns the ids of hosts whose process is new.
func (n *Node) Update(readAt time.Time, records []Record) []string {
	return n.table.update(readAt, records)
}

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
func (n *Node) TellLoad(report placement.LoadReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads[report.Upstream] = report.Load
}

// takeLoads returns the loads to tell.
func (n *Node) takeLoads() []placement.LoadReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	reports := make([]placement.LoadReport, 0, len(n.loads))
	for id, load := range n.loads {
		reports = append(reports, placement.LoadReport{Upstream: id, Load: load})
	}
	clear(n.loads)
	return reports
}

// Announce sends a heartbeat to all hosts soon.
func (n *Node) Announce() {
	n.announced.Store(true)
	n.poke()
}

// Leave tells all hosts that this one leaves.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.Announce()
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
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	uses := time.NewTicker(usesInterval)
	defer uses.Stop()
	n.broadcast(n.collect(false), allHosts)
	begun := time.Now()
	ticked := begun
	n.ticked.Store(&begun)
	go n.receive(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			n.broadcast(n.collect(false), allHosts)
		case <-uses.C:
			now := time.Now()
			if late := now.Sub(ticked) - usesInterval; late > lateFrom {
				woken := now.Add(drainTime)
				n.woken.Store(&woken)
				n.options.Late(late)
			}
			ticked = now
			n.ticked.Store(&now)
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
		n.broadcast(c, allHosts)
		return
	}
	n.sendNear(onlyLoads)
}

// sendNear sends to the hosts of the own data centre.
func (n *Node) sendNear(c content) {
	for !c.empty() {
		n.send(c.take(), ownDataCentre)
	}
}

// sendNotices sends the notices that wait, and announces a change of this host.
func (n *Node) sendNotices() {
	n.mu.Lock()
	near := content{notices: n.near}
	n.near = nil
	n.mu.Unlock()
	notices := n.take()
	switch {
	case n.announced.Swap(false):
		n.broadcast(content{notices: notices}, atOnce)
	case len(notices) > 0:
		n.broadcast(content{notices: notices}, allHosts)
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
func (n *Node) broadcast(c content, lane lane) {
	for {
		n.send(c.take(), lane)
		if c.empty() {
			return
		}
	}
}

// lane says to whom a datagram goes, and how soon.
type lane int

const (
	allHosts lane = iota
	// ownDataCentre is for the hosts of the own data centre only.
	ownDataCentre
	// atOnce is for all hosts and does not wait for a bundle.
	atOnce
)

// send sends one datagram. It is the same for all hosts, so that it is encoded once. Notices go directly to the hosts of the
// own data centre, besides being bundled.
func (n *Node) send(c content, lane lane) {
	m := &gossippb.Datagram{
		Host: n.options.Self.ID, Incarnation: n.options.Self.Incarnation, Sequence: n.sequence.Add(1),
		Leaving: n.leaving.Load(), StoreAway: n.options.StoreAway(),
	}
	version, age := n.options.Configuration()
	m.Configuration, m.ConfigurationAgeMs = version, uint32(min((age+transit).Milliseconds(), math.MaxUint32))
	now := time.Now()
	encodeRegistry(m, n.options.Registry(now))
	encodeContent(m, c)
	body, err := proto.Marshal(m)
	if err != nil {
		n.rejected.Add(1) // an id that is not UTF-8
		return
	}
	packet := seal(n.options.Self.Key, body)
	near, nearOnly := n.table.near(now), lane == ownDataCentre
	switch {
	case lane == atOnce, !n.sendByHub(now, slices.Clone(packet), m.GetSequence(), nearOnly):
		n.sendDirectly(packet, near, n.table.relays(now), nearOnly)
	case len(c.notices) > 0 && !nearOnly:
		n.sendDirectly(packet, near, nil, true)
	}
}

// write sends a packet. One that cannot be sent is lost like one on the way; heartbeats show a host that is away.
func (n *Node) write(packet []byte, to netip.AddrPort) {
	if _, err := n.options.Conn.WriteTo(packet, net.UDPAddrFromAddrPort(to)); err == nil {
		n.sent.Add(1)
	}
}

// Record returns the stored form of this host's record.
func (n *Node) Record() ([]byte, error) { return n.options.Self.Encode() }
