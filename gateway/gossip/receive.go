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
	switch as {
	case bundle, bundleFar:
		n.unbundle(packet)
		return
	case introduction, introductionPassedOn:
		n.introduced(packet)
		return
	default:
	}
	from, accepted := n.accept(packet[1:])
	switch {
	case !accepted, n.paused(time.Now()):
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
		if n.table.overdue(time.Now(), m.GetHost()) {
			n.options.Unknown(m.GetHost())
		}
		return "", false
	}
	if m.GetSequence()+takenBits <= newest {
		n.repeated.Add(1)
		return "", false
	}
	if !hmac.Equal(sealed[:macBytes], mac(key, sealed[macBytes:])) {
		n.rejected.Add(1)
		return "", false
	}
	now := time.Now()
	message := decode(&m)
	accepted, returned := n.table.accept(now, message, n.paused(now))
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

// paused reports whether what is read from the socket may have waited there while this process did not run. How long is not
// known, so it is not passed on, and does not count as news of its sender.
func (n *Node) paused(now time.Time) bool {
	ticked, woken := n.ticked.Load(), n.woken.Load()
	return ticked == nil || now.Sub(*ticked) > usesInterval+lateFrom || (woken != nil && now.Before(*woken))
}

// SilentFor is the time since the last turn of the node's loop; 0 before its first. It turns each 0.15 s while the process runs.
func (n *Node) SilentFor(now time.Time) time.Duration {
	ticked := n.ticked.Load()
	if ticked == nil {
		return 0
	}
	return now.Sub(*ticked)
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
		Registry: decodeRegistry(m), StoreAway: m.GetStoreAway(),
		ConfigurationAge: time.Duration(m.GetConfigurationAgeMs()) * time.Millisecond,
	}
	for _, notice := range m.GetNotices() {
		message.Notices = append(message.Notices, decodeNotice(notice))
	}
	for _, load := range m.GetLoads() {
		message.Loads = append(message.Loads, placement.LoadReport{
			Upstream: settings.UpstreamID(load.GetUpstream()), Load: float64(load.GetPercent()) / 100,
		})
	}
	message.Uses, message.Retries = decodeUses(m.GetUses()), decodeUses(m.GetRetries())
	return message
}
