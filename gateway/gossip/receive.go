package gossip

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/settings"
)

// computeMAC returns the authentication code of the concatenated parts.
func computeMAC(key []byte, parts ...[]byte) []byte {
	hash := hmac.New(sha256.New, key)
	for _, part := range parts {
		hash.Write(part)
	}
	return hash.Sum(nil)[:macBytes]
}

func (n *Node) receive(ctx context.Context) {
	packet := make([]byte, maxPacketBytes)
	for ctx.Err() == nil {
		size, _, err := n.options.Conn.ReadFrom(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryDelay)
			continue
		}
		n.deliver(packet[:size])
	}
}

// deliver processes a received packet according to its kind, and relays or bundles it if it is for other hosts too.
func (n *Node) deliver(packet []byte) {
	if len(packet) == 0 {
		n.rejected.Add(1)
		return
	}
	kind := packetKind(packet[0])
	switch kind {
	case packetBundle, packetBundleToRelay:
		n.unbundle(packet)
		return
	case packetIntroduction, packetIntroductionRelayed, packetProbeIntroduction:
		n.receiveIntroduction(packet)
		return
	case packetDispatch:
		n.receiveDispatch(packet[1:])
		return
	default:
	}
	from, result := n.accept(packet[1:])
	switch {
	case !result.accepted, n.mayBeStale(time.Now()):
	case kind == packetDirect:
		n.relay(packet, n.table.relayTargets(from))
	case kind == packetProbe:
		n.relay(packet, n.table.probeRelayTargets(time.Now(), from, result.rejoined))
	case kind == packetToBundle || kind == packetToBundleLocal:
		n.addToBundle(packet[1:], kind == packetToBundleLocal)
	}
}

// accept verifies one datagram and passes its message to Options.Receive. A datagram that was rejected or repeated, or comes from this
// host itself, is not accepted.
func (n *Node) accept(signed []byte) (from string, result acceptance) {
	var m gossippb.Datagram
	if len(signed) <= macBytes || proto.Unmarshal(signed[macBytes:], &m) != nil {
		n.rejected.Add(1)
		return "", acceptance{}
	}
	if m.GetHost() == n.options.Self.ID {
		n.acceptEcho(&m, signed)
		return "", acceptance{}
	}
	if now := time.Now(); !n.mayBeStale(now) {
		n.table.noteClaim(now, m.GetHost(), m.GetHosts())
	}
	key, newest, known := n.table.find(m.GetHost(), m.GetIncarnation())
	if !known {
		n.rejected.Add(1)
		if n.table.noteUnknown(time.Now(), m.GetHost()) {
			n.options.UnknownHost(m.GetHost())
		}
		return "", acceptance{}
	}
	if m.GetSequence()+replayWindowSize <= newest {
		n.repeated.Add(1)
		return "", acceptance{}
	}
	if !hmac.Equal(signed[:macBytes], computeMAC(key, signed[macBytes:])) {
		n.rejected.Add(1)
		return "", acceptance{}
	}
	now := time.Now()
	message := decode(&m)
	result = n.table.accept(now, message, n.mayBeStale(now))
	if !result.accepted {
		n.repeated.Add(1)
		return "", acceptance{}
	}
	if result.returned {
		n.options.HostReturned(message.Host)
	}
	if result.unheard != nil {
		n.introduceTo(*result.unheard)
	}
	n.options.Receive(now, message)
	return message.Host, result
}

// mayBeStale reports whether a datagram that is read from the socket now may have waited there while this process did not run.
// For how long is not known, so the datagram is not relayed and does not update the state of its sender.
func (n *Node) mayBeStale(now time.Time) bool {
	lastTick, staleUntil := n.lastTick.Load(), n.staleUntil.Load()
	return lastTick == nil || now.Sub(*lastTick) > urgentInterval+maxLoopDelay || (staleUntil != nil && now.Before(*staleUntil))
}

// SinceLastTick returns the time since the last tick of the node's loop, or 0 before the first one. The loop ticks each 0.15 s
// while the process runs.
func (n *Node) SinceLastTick(now time.Time) time.Duration {
	lastTick := n.lastTick.Load()
	if lastTick == nil {
		return 0
	}
	return now.Sub(*lastTick)
}

// acceptEcho verifies a datagram of this host that has come back in a bundle.
func (n *Node) acceptEcho(m *gossippb.Datagram, signed []byte) {
	self := &n.options.Self
	if m.GetIncarnation() != self.Incarnation || !hmac.Equal(signed[:macBytes], computeMAC(self.Key, signed[macBytes:])) {
		n.rejected.Add(1)
		return
	}
	n.confirmEcho(m.GetSequence())
}

// relay sends a packet to hosts of the local data centre, which do not relay it again.
func (n *Node) relay(packet []byte, targets []netip.AddrPort) {
	packet[0] = byte(packetRelayed)
	for _, addr := range targets {
		n.write(packet, addr)
	}
}

func decode(m *gossippb.Datagram) *Message {
	message := &Message{
		Host: m.GetHost(), Sequence: m.GetSequence(), Leaving: m.GetLeaving(), Configuration: m.GetConfiguration(),
		Registry: decodeRegistry(m), StoreUnavailable: m.GetStoreAway(), StoreEra: m.GetStoreEra(),
		Hosts:            int(min(m.GetHosts(), maxClaimedHosts)),
		ConfigurationAge: time.Duration(m.GetConfigurationAgeMs()) * time.Millisecond, Evacuations: decodeEvacuations(m.GetEvacuations()),
		WarmUps: decodeWarmUps(time.Now(), m.GetWarmUps()), Served: max(0, int(m.GetServedPlusOne())-1), Counted: m.GetServedPlusOne() > 0,
	}
	for _, notice := range m.GetNotices() {
		message.Notices = append(message.Notices, decodeNotice(notice))
	}
	for _, load := range m.GetLoads() {
		message.Loads = append(message.Loads, placement.LoadReport{
			Upstream: settings.UpstreamID(load.GetUpstream()), Load: float64(load.GetPercent()) / 100,
		})
	}
	message.Usage, message.RetryUsage = decodeUsage(m.GetUses()), decodeUsage(m.GetRetries())
	return message
}
