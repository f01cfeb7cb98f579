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
	"github.com/bronzeyard/bronzeyard/gateway/evacuation"
	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval = time.Second
	// urgentInterval is the time between urgent reports of customers' usage, and between reports of full upstreams.
	urgentInterval = 150 * time.Millisecond
	// maxLoopDelay is the delay of the loop above which the process is considered to have been frozen or short of CPU time, and
	// the delay is reported.
	maxLoopDelay = 250 * time.Millisecond
	// socketDrainTime is the time after a pause during which datagrams that are read from the socket may have arrived in the
	// pause.
	socketDrainTime = 100 * time.Millisecond
	// noticeCoalesceDelay is how long notices wait for others to share a datagram with.
	noticeCoalesceDelay = 5 * time.Millisecond
	// headerBytes is the size of what precedes the body of a packet: its kind and the MAC of the body.
	headerBytes = 1 + macBytes
	macBytes    = 16
	// transitTime is added to the ages that a datagram reports, to account for its transit.
	transitTime    = 5 * time.Millisecond
	maxPacketBytes = 2048
	// readRetryDelay is the delay after a failed read of the socket.
	readRetryDelay = 10 * time.Millisecond
)

// Message is a received datagram.
type Message struct {
	Host     string
	Sequence uint64
	// Stale is true if a newer datagram was received before this one, or if this host may have been paused while the datagram
	// waited in the socket. The sender's state in it may then be out of date.
	Stale         bool
	Leaving       bool
	Configuration uint64
	// ConfigurationAge is the time since a read of the store last confirmed Configuration; 0 if not known.
	ConfigurationAge time.Duration
	// StoreUnavailable is true if the sender's recent reads of the store have failed.
	StoreUnavailable bool
	// StoreEra is the newest era of the store that the sender knows.
	StoreEra uint64
	// Hosts is the number of hosts, with itself, from which the sender has heard lately; 0 if it does not know the fleet.
	Hosts   int
	Notices []breaker.Notice
	Usage   []quota.Usage
	// RetryUsage counts the use of retry budgets; Customer holds the name of the service.
	RetryUsage []quota.Usage
	// Loads are the loads of upstreams that the sender has found to be full.
	Loads []placement.LoadReport
	// Registry is the sender's newest read of the upstreams. Its Digest is 0 without a read.
	Registry RegistryState
	// Evacuations are the evacuated data centres that the sender knows; nil if it has not sent them.
	Evacuations *evacuation.State
	// WarmUps are changes of the warm-up of upstreams that the sender has read.
	WarmUps []WarmUp
	// Served is the number of requests that the sender has served in the last 2 s, if Counted is true.
	Served  int
	Counted bool
}

// RegistryState describes a host's newest read of the upstreams.
type RegistryState struct {
	Digest uint64
	// Era is the era of the store at the read.
	Era uint64
	// Age is how long ago the read was started.
	Age time.Duration
	// Synced is true if no live upstream can be missing.
	Synced bool
	// GraceLeft is the time after which no live upstream is missing. It is 0 if Synced is true or if the time is not known.
	GraceLeft time.Duration
	// Version is the version of the store, and Delta the difference from the previous read. If nothing or much has changed,
	// Delta is nil and Version is 0.
	Version uint64
	Delta   *registry.Delta
}

// Options configure a Node.
type Options struct {
	Self Record
	// Conn receives datagrams at Self.Address. Required.
	Conn net.PacketConn
	// Configuration returns the active version of this host and the time since a read of the store last confirmed it. Required.
	Configuration func() (version uint64, age time.Duration)
	// StoreUnavailable reports whether this host's recent reads of the store have failed. By default, it returns false.
	StoreUnavailable func() bool
	// Registry returns this host's newest own read of the upstreams. Required.
	Registry func(now time.Time) RegistryState
	// Evacuations returns the evacuated data centres that this host knows, nil if it does not know them. Default nil.
	Evacuations func(now time.Time) *evacuation.State
	// WarmUps returns changes of the warm-up of upstreams to report with a heartbeat. Default none.
	WarmUps func() []WarmUp
	// Served returns the number of requests that this host has served in the last 2 s, and false if they need not be reported. Default
	// false.
	Served func() (requests int, report bool)
	// Usage returns the counts to report; with urgentOnly, those that cannot wait for the heartbeat. Required.
	Usage func(now time.Time, urgentOnly bool) []quota.Usage
	// RetryUsage returns the counts of the use of retry budgets to report, as Usage does. Required.
	RetryUsage func(now time.Time, urgentOnly bool) []quota.Usage
	// Receive is called with each verified message, one at a time. Required.
	Receive func(now time.Time, m *Message)
	// ReceiveDispatch is called with each verified dispatch message, one at a time. It must not block. Default none.
	ReceiveDispatch func(now time.Time, m *DispatchMessage)
	// HostFound is called when a host that has started has introduced itself. Required.
	HostFound func(host string)
	// UnknownHost is called when the record of a host must be read because the host has not introduced itself. Required.
	UnknownHost func(host string)
	// LoopDelayed is called when the node's loop was delayed by more than maxLoopDelay. Default none.
	LoopDelayed func(by time.Duration)
	// MinHostsForHubs is the minimum number of other hosts for which datagrams go through hubs. Default defaultMinHostsForHubs.
	MinHostsForHubs int
	// HubFailed is called when a hub did not send this host's datagrams in a bundle within echoTimeout. Default none.
	HubFailed func(host string)
	// HostReturned is called for the first datagram of a host, and for the first one after it was unavailable. Required.
	HostReturned func(host string)
}

// Node sends and receives datagrams. It is safe for concurrent use.
type Node struct {
	options  Options
	table    table
	sequence atomic.Uint64
	leaving  atomic.Bool
	// storeEra is the newest era of the store that this host knows.
	storeEra atomic.Uint64
	// lastTick is the time of the last tick of the loop; nil before the loop runs. staleUntil is the time until which received
	// datagrams may have waited in the socket during a pause; nil before the first pause.
	lastTick, staleUntil atomic.Pointer[time.Time]
	// heartbeatDue is set when a heartbeat is to be sent without delay.
	heartbeatDue atomic.Bool
	wake         chan struct{}

	mu           sync.Mutex
	notices      []breaker.Notice
	localNotices []breaker.Notice // for the local data centre only
	loads        map[settings.UpstreamID]float64

	uplink uplink
	outbox outbox

	sent     atomic.Int64
	rejected atomic.Int64
	repeated atomic.Int64
	probes   atomic.Int64 // probes that were sent to lost hosts
}

// packetKind determines how a packet is processed. It is not authenticated: it decides only how the content is parsed and
// whether the packet is relayed.
type packetKind byte

const (
	// packetDirect is a datagram that comes from its sender. If it comes from a remote data centre, it is relayed to all hosts
	// of the local one.
	packetDirect packetKind = iota
	// packetRelayed is a datagram that a host of the local data centre has relayed to all others there.
	packetRelayed
	// packetToBundle is a datagram that the receiver is to bundle for all hosts, and packetToBundleLocal one that it is to
	// bundle for the hosts of the local data centre.
	packetToBundle
	packetToBundleLocal
	// packetBundle holds several datagrams. packetBundleToRelay is a bundle from a remote data centre, which is to be relayed to
	// all hosts of the local one.
	packetBundle
	packetBundleToRelay
	// packetIntroduction holds the record of a host that has started. If it comes from a remote data centre, it is relayed to
	// all hosts of the local one as packetIntroductionRelayed.
	packetIntroduction
	packetIntroductionRelayed
	// packetDispatch is a dispatch message, which is for the receiver alone.
	packetDispatch
	// packetProbe is a datagram to a host that the sender has not heard for membershipTimeout. If the receiver has not heard the sender
	// either, or if it comes from a remote data centre, it is relayed to all hosts of the local one. packetProbeIntroduction is an
	// introduction that precedes it, for a receiver that knows an earlier process of the sender.
	packetProbe
	packetProbeIntroduction
)

// newPacket returns a packet of kind packetDirect: the kind, the MAC of the body and the body.
func newPacket(key, body []byte) []byte {
	packet := make([]byte, 0, headerBytes+len(body))
	packet = append(packet, byte(packetDirect))
	packet = append(packet, computeMAC(key, body)...)
	return append(packet, body...)
}

// New returns a Node that does not know any other host yet.
func New(options Options) *Node {
	if options.LoopDelayed == nil {
		options.LoopDelayed = func(time.Duration) {}
	}
	if options.StoreUnavailable == nil {
		options.StoreUnavailable = func() bool { return false }
	}
	if options.Evacuations == nil {
		options.Evacuations = func(time.Time) *evacuation.State { return nil }
	}
	if options.Served == nil {
		options.Served = func() (int, bool) { return 0, false }
	}
	if options.WarmUps == nil {
		options.WarmUps = func() []WarmUp { return nil }
	}
	if options.HubFailed == nil {
		options.HubFailed = func(string) {}
	}
	if options.ReceiveDispatch == nil {
		options.ReceiveDispatch = func(time.Time, *DispatchMessage) {}
	}
	if options.MinHostsForHubs == 0 {
		options.MinHostsForHubs = defaultMinHostsForHubs
	}
	n := &Node{options: options, wake: make(chan struct{}, 1)}
	n.uplink.avoidedUntil = make(map[string]time.Time)
	n.loads = make(map[settings.UpstreamID]float64)
	n.table.self, n.table.dataCentre = options.Self.ID, options.Self.DataCentre
	n.table.hosts, n.table.dispatchesSent = make(map[string]*Host), make(map[string]uint64)
	n.table.replaced, n.table.unknownSince = make(map[pastIncarnation]bool), make(map[string]time.Time)
	return n
}

// Update adds the records from a read of the store that began at readAt. It returns the ids of hosts that are new or have a
// new incarnation.
func (n *Node) Update(readAt time.Time, records []Record) []string {
	return n.table.update(readAt, records)
}

// Hosts returns the other hosts of the fleet, sorted by id.
func (n *Node) Hosts(now time.Time) []Host { return n.table.list(now) }

// Counters returns the number of packets sent, of packets and datagrams that could not be verified, and of those that were
// repeated or older than the replay window.
func (n *Node) Counters() (sent, rejected, repeated int64) {
	return n.sent.Load(), n.rejected.Load(), n.repeated.Load()
}

// ProbesSent returns the number of probes that were sent to hosts that are no longer members of the fleet.
func (n *Node) ProbesSent() int64 { return n.probes.Load() }

// QueueNotices queues notices for all hosts. They are sent within noticeCoalesceDelay.
func (n *Node) QueueNotices(notices []breaker.Notice) {
	if len(notices) == 0 {
		return
	}
	n.mu.Lock()
	n.notices = append(n.notices, notices...)
	n.mu.Unlock()
	n.wakeLoop()
}

// QueueLocalNotices queues notices for the hosts of the local data centre. They are sent within noticeCoalesceDelay.
func (n *Node) QueueLocalNotices(notices []breaker.Notice) {
	if len(notices) == 0 {
		return
	}
	n.mu.Lock()
	n.localNotices = append(n.localNotices, notices...)
	n.mu.Unlock()
	n.wakeLoop()
}

// QueueLoad queues the load of an upstream. It is sent within urgentInterval: to all hosts together with other content, or to the
// hosts of the local data centre alone if there is none.
func (n *Node) QueueLoad(report placement.LoadReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads[report.Upstream] = report.Load
}

// takeLoads removes and returns the queued loads.
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

// Announce sends a heartbeat to all hosts without waiting for the next interval.
func (n *Node) Announce() {
	n.heartbeatDue.Store(true)
	n.wakeLoop()
}

// Leave announces to all hosts that this one is leaving.
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

// Run sends and receives until ctx is done. It closes Options.Conn.
func (n *Node) Run(ctx context.Context) {
	defer func() { _ = n.options.Conn.Close() }() // which also ends receive
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	urgent := time.NewTicker(urgentInterval)
	defer urgent.Stop()
	n.broadcast(n.collectContent(false), scopeAllHosts)
	startedAt := time.Now()
	lastTick := startedAt
	n.lastTick.Store(&startedAt)
	go n.receive(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			n.broadcast(n.collectContent(false), scopeAllHosts)
			n.probeLost(time.Now())
		case <-urgent.C:
			now := time.Now()
			if delay := now.Sub(lastTick) - urgentInterval; delay > maxLoopDelay {
				staleUntil := now.Add(socketDrainTime)
				n.staleUntil.Store(&staleUntil)
				n.options.LoopDelayed(delay)
			}
			lastTick = now
			n.lastTick.Store(&now)
			n.checkHub(now)
			n.sendUrgent(n.collectContent(true))
		case <-n.wake:
			time.Sleep(noticeCoalesceDelay)
			n.sendNotices()
		}
	}
}

// sendUrgent sends content that cannot wait for the heartbeat. Content that consists only of loads goes to the local data
// centre alone, because upstreams get most of their requests from there.
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

// sendLocal sends to the hosts of the local data centre.
func (n *Node) sendLocal(c content) {
	for !c.empty() {
		n.send(c.takeNext(), scopeLocal)
	}
}

// sendNotices sends the queued notices, and a heartbeat if one is due.
func (n *Node) sendNotices() {
	n.mu.Lock()
	local := content{notices: n.localNotices}
	n.localNotices = nil
	n.mu.Unlock()
	notices := n.takeNotices()
	switch {
	case n.heartbeatDue.Swap(false):
		n.broadcast(content{notices: notices, warmUps: n.options.WarmUps()}, scopeAllHostsDirect)
	case len(notices) > 0:
		n.broadcast(content{notices: notices}, scopeAllHosts)
	}
	n.sendLocal(local)
}

func (n *Node) takeNotices() []breaker.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	notices := n.notices
	n.notices = nil
	return notices
}

// collectContent returns the counts and loads to report. Queued notices are added if there is a datagram to send.
func (n *Node) collectContent(urgentOnly bool) content {
	now := time.Now()
	c := content{
		usage: n.options.Usage(now, urgentOnly), retryUsage: n.options.RetryUsage(now, urgentOnly), loads: n.takeLoads(),
	}
	if !urgentOnly {
		c.warmUps = n.options.WarmUps()
	}
	if !urgentOnly || !c.empty() {
		c.notices = n.takeNotices()
	}
	return c
}

// broadcast sends the content in as many datagrams as it needs, and at least one.
func (n *Node) broadcast(c content, scope sendScope) {
	for {
		n.send(c.takeNext(), scope)
		if c.empty() {
			return
		}
	}
}

// sendScope determines which hosts a datagram is sent to, and whether it goes through hubs.
type sendScope int

const (
	scopeAllHosts sendScope = iota
	// scopeLocal is for the hosts of the local data centre only.
	scopeLocal
	// scopeAllHostsDirect is for all hosts, without the delay of a bundle.
	scopeAllHostsDirect
)

// send sends one datagram. It is the same for all hosts and is encoded once. A datagram with notices that goes through a hub is
// also sent directly to the hosts of the local data centre.
func (n *Node) send(c content, scope sendScope) {
	now := time.Now()
	packet, sequence, ok := n.newDatagram(now, c)
	if !ok {
		return
	}
	local, localOnly := n.table.localHosts(now), scope == scopeLocal
	switch {
	case scope == scopeAllHostsDirect, !n.sendViaHub(now, slices.Clone(packet), sequence, localOnly):
		n.sendDirectly(packet, local, n.table.relays(now), localOnly)
	case len(c.notices) > 0 && !localOnly:
		n.sendDirectly(packet, local, nil, true)
	}
}

// newDatagram returns a datagram with the next sequence number. It reports false if the content cannot be encoded.
func (n *Node) newDatagram(now time.Time, c content) (packet []byte, sequence uint64, ok bool) {
	m := &gossippb.Datagram{
		Host: n.options.Self.ID, Incarnation: n.options.Self.Incarnation, Sequence: n.sequence.Add(1),
		Leaving: n.leaving.Load(), StoreAway: n.options.StoreUnavailable(), StoreEra: n.storeEra.Load(),
	}
	version, age := n.options.Configuration()
	m.Configuration, m.ConfigurationAgeMs = version, uint32(min((age+transitTime).Milliseconds(), math.MaxUint32))
	m.Hosts = uint32(n.table.size(now))
	m.ServedPlusOne = encodeServed(n.options.Served())
	encodeRegistry(m, n.options.Registry(now))
	encodeContent(m, c)
	encodeEvacuations(m, n.options.Evacuations(now))
	body, err := proto.Marshal(m)
	if err != nil {
		n.rejected.Add(1) // an id is not valid UTF-8
		return nil, 0, false
	}
	return newPacket(n.options.Self.Key, body), m.GetSequence(), true
}

// write sends a packet. A send error is ignored like a loss in transit: missing heartbeats reveal an unavailable host.
func (n *Node) write(packet []byte, addr netip.AddrPort) {
	if _, err := n.options.Conn.WriteTo(packet, net.UDPAddrFromAddrPort(addr)); err == nil {
		n.sent.Add(1)
	}
}

// EncodedRecord returns this host's record as it is stored.
func (n *Node) EncodedRecord() ([]byte, error) {
	record := n.record()
	return record.Encode()
}

// record returns this host's record as of the newest era of the store.
func (n *Node) record() Record {
	record := n.options.Self
	record.StoreEra = n.storeEra.Load()
	return record
}

// SetStoreEra sets the newest era of the store that this host knows.
func (n *Node) SetStoreEra(era uint64) { n.storeEra.Store(era) }
