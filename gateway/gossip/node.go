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
	urgentInterval = 150 * time.Millisecond
	// lateFrom is the lateness that is reported: the process was frozen or short of processor time.
	maxLoopDelay = 250 * time.Millisecond
	// drainTime is the time after a pause in which what is read from the socket may have come during the pause.
	socketDrainTime = 100 * time.Millisecond
	// coalesceNotices is for how long notices wait for others to share a datagram.
	noticeCoalesceDelay = 5 * time.Millisecond
	// headBytes precede the body of a packet: its passage and the MAC of the body.
	headerBytes = 1 + macBytes
	macBytes    = 16
	// transit is added to the ages that are stated, for the way of the datagram.
	transitTime    = 5 * time.Millisecond
	maxPacketBytes = 2048
	// readPause follows a failed read of the socket.
	readRetryDelay = 10 * time.Millisecond
)

// Message is a received datagram.
type Message struct {
	Host     string
	Sequence uint64
	// Old is true if a newer datagram has come before, or this host was paused while it waited: what it says of the sender's
	// state is out of date.
	Stale         bool
	Leaving       bool
	Configuration uint64
	// ConfigurationAge is the time since a read of the store has confirmed Configuration; 0 if not known.
	ConfigurationAge time.Duration
	// StoreAway is true if the sender could not read the store lately.
	StoreUnavailable bool
	Notices          []breaker.Notice
	Usage            []quota.Use
	// Retries counts the use of retry budgets; Customer holds the name of the service.
	RetryUsage []quota.Use
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
	Synced bool
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
	StoreUnavailable func() bool
	// Registry returns this host's own newest read of the upstreams. Required.
	Registry func(now time.Time) RegistryState
	// Uses returns the counts to report. Required.
	Usage func(now time.Time, onlyNear bool) []quota.Use
	// Retries returns the use of retry budgets. Required.
	RetryUsage func(now time.Time, onlyNear bool) []quota.Use
	// Receive takes verified messages, one at a time. Required.
	Receive func(now time.Time, m *Message)
	// Found is called when a host that has started has introduced itself. Required.
	HostFound func(host string)
	// Unknown is called when the record of a host must be read, because it has not introduced itself. Required.
	UnknownHost func(host string)
	// Late is called when the node's loop ran late by more than lateFrom. Default none.
	LoopDelayed func(by time.Duration)
	// HubFleet is the number of other hosts from which datagrams go by way of hubs. Default hubFleet.
	MinHostsForHubs int
	// HubFailed is called when a host did not pass on this host's datagrams in time. Default none.
	HubFailed func(host string)
	// Returned is called when a host is heard for the first time or after it was away. Required.
	HostReturned func(host string)
}

// Node sends and receives datagrams. It is safe for concurrent use.
type Node struct {
	options  Options
	table    table
	sequence atomic.Uint64
	leaving  atomic.Bool
	// ticked is the time of the last turn of the loop, and woken the time until which datagrams may have waited for the end of a
	// pause. nil before the loop runs.
	lastTick, staleUntil atomic.Pointer[time.Time]
	// announced is set when a heartbeat is to be sent at once.
	heartbeatDue atomic.Bool
	wake         chan struct{}

	mu           sync.Mutex
	notices      []breaker.Notice
	localNotices []breaker.Notice // for the own data centre only
	loads        map[settings.UpstreamID]float64

	uplink uplink
	outbox outbox

	sent     atomic.Int64
	rejected atomic.Int64
	repeated atomic.Int64
}

// passage says how a packet has come. It is not authenticated: it decides only whether the packet is passed on.
type packetKind byte

const (
	// direct packets come from their sender. One of another data centre is passed on to all hosts of the own one.
	packetDirect packetKind = iota
	// passedOn packets come from a host of the own data centre that has passed them on to all others.
	packetRelayed
	// collect packets are to be bundled by the receiver for all hosts, and collectNear for those of the own data centre.
	packetToBundle
	packetToBundleLocal
	// bundle packets hold several datagrams. bundleFar are such from another data centre, to be passed on to all hosts of the
	// own one.
	packetBundle
	packetBundleToRelay
	// introduction packets hold the record of a host that has started; one of another data centre is passed on to all hosts of
	// the own one.
	packetIntroduction
	packetIntroductionRelayed
)

// seal makes a packet.
func newPacket(key, body []byte) []byte {
	packet := make([]byte, 0, headerBytes+len(body))
	packet = append(packet, byte(packetDirect))
	packet = append(packet, computeMAC(key, body)...)
	return append(packet, body...)
}

// New returns a Node that knows no other host.
func New(options Options) *Node {
	if options.LoopDelayed == nil {
		options.LoopDelayed = func(time.Duration) {}
	}
	if options.StoreUnavailable == nil {
		options.StoreUnavailable = func() bool { return false }
	}
	if options.HubFailed == nil {
		options.HubFailed = func(string) {}
	}
	if options.MinHostsForHubs == 0 {
		options.MinHostsForHubs = defaultMinHostsForHubs
	}
	n := &Node{options: options, wake: make(chan struct{}, 1)}
	n.uplink.avoidedUntil = make(map[string]time.Time)
	n.loads = make(map[settings.UpstreamID]float64)
	n.table.self, n.table.dataCentre = options.Self.ID, options.Self.DataCentre
	n.table.hosts = make(map[string]*Host)
	n.table.replaced, n.table.unknownSince = make(map[pastIncarnation]bool), make(map[string]time.Time)
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
func (n *Node) QueueNotices(notices []breaker.Notice) {
	if len(notices) == 0 {
		return
	}
	n.mu.Lock()
	n.notices = append(n.notices, notices...)
	n.mu.Unlock()
	n.wakeLoop()
}

// TellNear sends notices soon to the hosts of the own data centre.
func (n *Node) QueueLocalNotices(notices []breaker.Notice) {
	if len(notices) == 0 {
		return
	}
	n.mu.Lock()
	n.localNotices = append(n.localNotices, notices...)
	n.mu.Unlock()
	n.wakeLoop()
}

// TellLoad sends the load of an upstream to all hosts with the next datagram, within usesInterval.
func (n *Node) QueueLoad(report placement.Report) {
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

// Announce sends a heartbeat to all hosts soon.
func (n *Node) Announce() {
	n.heartbeatDue.Store(true)
	n.wakeLoop()
}

// Leave tells all hosts that this one leaves.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.Announce()
}

func (n *Node) wakeLoop() {
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
	uses := time.NewTicker(urgentInterval)
	defer uses.Stop()
	n.broadcast(n.collectContent(false), scopeAllHosts)
	begun := time.Now()
	ticked := begun
	n.lastTick.Store(&begun)
	go n.receive(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			n.broadcast(n.collectContent(false), scopeAllHosts)
		case <-uses.C:
			now := time.Now()
			if late := now.Sub(ticked) - urgentInterval; late > maxLoopDelay {
				woken := now.Add(socketDrainTime)
				n.staleUntil.Store(&woken)
				n.options.LoopDelayed(late)
			}
			ticked = now
			n.lastTick.Store(&now)
			n.checkHub(now)
			n.sendUrgent(n.collectContent(true))
		case <-n.wake:
			time.Sleep(noticeCoalesceDelay)
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
		n.broadcast(c, scopeAllHosts)
		return
	}
	n.sendLocal(onlyLoads)
}

// sendNear sends to the hosts of the own data centre.
func (n *Node) sendLocal(c content) {
	for !c.empty() {
		n.send(c.takeNext(), scopeLocal)
	}
}

// sendNotices sends the notices that wait, and announces a change of this host.
func (n *Node) sendNotices() {
	n.mu.Lock()
	near := content{notices: n.localNotices}
	n.localNotices = nil
	n.mu.Unlock()
	notices := n.takeNotices()
	switch {
	case n.heartbeatDue.Swap(false):
		n.broadcast(content{notices: notices}, scopeAllHostsDirect)
	case len(notices) > 0:
		n.broadcast(content{notices: notices}, scopeAllHosts)
	}
	n.sendLocal(near)
}

func (n *Node) takeNotices() []breaker.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	notices := n.notices
	n.notices = nil
	return notices
}

// collect returns the counts to report. Notices that wait go with them.
func (n *Node) collectContent(onlyNear bool) content {
	now := time.Now()
	c := content{
		usage: n.options.Usage(now, onlyNear), retryUsage: n.options.RetryUsage(now, onlyNear), loads: n.takeLoads(),
	}
	if !onlyNear || !c.empty() {
		c.notices = n.takeNotices()
	}
	return c
}

// broadcast sends to all hosts, in as many datagrams as the content needs.
func (n *Node) broadcast(c content, lane sendScope) {
	for {
		n.send(c.takeNext(), lane)
		if c.empty() {
			return
		}
	}
}

// lane says to whom a datagram goes, and how soon.
type sendScope int

const (
	scopeAllHosts sendScope = iota
	// ownDataCentre is for the hosts of the own data centre only.
	scopeLocal
	// atOnce is for all hosts and does not wait for a bundle.
	scopeAllHostsDirect
)

// send sends one datagram. It is the same for all hosts, so that it is encoded once. Notices go directly to the hosts of the
// own data centre, besides being bundled.
func (n *Node) send(c content, lane sendScope) {
	m := &gossippb.Datagram{
		Host: n.options.Self.ID, Incarnation: n.options.Self.Incarnation, Sequence: n.sequence.Add(1),
		Leaving: n.leaving.Load(), StoreAway: n.options.StoreUnavailable(),
	}
	version, age := n.options.Configuration()
	m.Configuration, m.ConfigurationAgeMs = version, uint32(min((age+transitTime).Milliseconds(), math.MaxUint32))
	now := time.Now()
	encodeRegistry(m, n.options.Registry(now))
	encodeContent(m, c)
	body, err := proto.Marshal(m)
	if err != nil {
		n.rejected.Add(1) // an id that is not UTF-8
		return
	}
	packet := newPacket(n.options.Self.Key, body)
	near, nearOnly := n.table.localHosts(now), lane == scopeLocal
	switch {
	case lane == scopeAllHostsDirect, !n.sendViaHub(now, slices.Clone(packet), m.GetSequence(), nearOnly):
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
func (n *Node) EncodedRecord() ([]byte, error) { return n.options.Self.Encode() }
