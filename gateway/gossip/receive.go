package gossip

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/settings"
)

func computeMAC(key, body []byte) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write(body)
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

// deliver takes a packet, and passes on what is for other hosts too.
func (n *Node) deliver(packet []byte) {
	if len(packet) == 0 {
		n.rejected.Add(1)
		return
	}
	as := packetKind(packet[0])
	switch as {
	case packetBundle, packetBundleToRelay:
		n.unbundle(packet)
		return
	case packetIntroduction, packetIntroductionRelayed:
		n.receiveIntroduction(packet)
		return
	default:
	}
	from, accepted := n.accept(packet[1:])
	switch {
	case !accepted, n.mayBeStale(time.Now()):
	case as == packetDirect:
		n.relay(packet, from)
	case as == packetToBundle || as == packetToBundleLocal:
		n.addToBundle(packet[1:], as == packetToBundleLocal)
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
		n.acceptEcho(&m, sealed)
		return "", false
	}
	key, newest, known := n.table.find(m.GetHost(), m.GetIncarnation())
	if !known {
		n.rejected.Add(1)
		if n.table.noteUnknown(time.Now(), m.GetHost()) {
			n.options.UnknownHost(m.GetHost())
		}
		return "", false
	}
	if m.GetSequence()+replayWindowSize <= newest {
		n.repeated.Add(1)
		return "", false
	}
	if !hmac.Equal(sealed[:macBytes], computeMAC(key, sealed[macBytes:])) {
		n.rejected.Add(1)
		return "", false
	}
	now := time.Now()
	message := decode(&m)
	accepted, returned := n.table.accept(now, message, n.mayBeStale(now))
	if !accepted {
		n.repeated.Add(1)
		return "", false
	}
	if returned {
		n.options.HostReturned(message.Host)
	}
	n.options.Receive(now, message)
	return message.Host, true
}

// paused reports whether what is read from the socket may have waited there while this process did not run. How long is not
// known, so it is not passed on, and does not count as news of its sender.
func (n *Node) mayBeStale(now time.Time) bool {
	ticked, woken := n.lastTick.Load(), n.staleUntil.Load()
	return ticked == nil || now.Sub(*ticked) > urgentInterval+maxLoopDelay || (woken != nil && now.Before(*woken))
}

// SilentFor is the time since the last turn of the node's loop; 0 before its first. It turns each 0.15 s while the process runs.
func (n *Node) SinceLastTick(now time.Time) time.Duration {
	ticked := n.lastTick.Load()
	if ticked == nil {
		return 0
	}
	return now.Sub(*ticked)
}

// acceptOwn takes a datagram of this host that has come back in a bundle.
func (n *Node) acceptEcho(m *gossippb.Datagram, sealed []byte) {
	self := &n.options.Self
	if m.GetIncarnation() != self.Incarnation || !hmac.Equal(sealed[:macBytes], computeMAC(self.Key, sealed[macBytes:])) {
		n.rejected.Add(1)
		return
	}
	n.confirmEcho(m.GetSequence())
}

// passOn sends a packet of another data centre to the other hosts of the own one.
func (n *Node) relay(packet []byte, from string) {
	packet[0] = byte(packetRelayed)
	for _, to := range n.table.relayTargets(from) {
		n.write(packet, to)
	}
}

func decode(m *gossippb.Datagram) *Message {
	message := &Message{
		Host: m.GetHost(), Sequence: m.GetSequence(), Leaving: m.GetLeaving(), Configuration: m.GetConfiguration(),
		Registry: decodeRegistry(m), StoreUnavailable: m.GetStoreAway(),
		ConfigurationAge: time.Duration(m.GetConfigurationAgeMs()) * time.Millisecond,
	}
	for _, notice := range m.GetNotices() {
		message.Notices = append(message.Notices, decodeNotice(notice))
	}
	for _, load := range m.GetLoads() {
		message.Loads = append(message.Loads, placement.Report{
			Upstream: settings.UpstreamID(load.GetUpstream()), Load: float64(load.GetPercent()) / 100,
		})
	}
	message.Usage, message.RetryUsage = decodeUsage(m.GetUses()), decodeUsage(m.GetRetries())
	return message
}
