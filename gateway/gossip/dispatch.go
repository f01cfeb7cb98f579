package gossip

import (
	"crypto/hmac"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/dispatch"
	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/settings"
)

// DispatcherID identifies a dispatcher: it assigns the slots of the upstreams of a service in a data centre.
type DispatcherID struct {
	Service    settings.ServiceName
	DataCentre string
}

// DispatchAsk asks a dispatcher for a slot.
type DispatchAsk struct {
	DispatcherID
	Request dispatch.Request
}

// DispatchReply is the reply of a dispatcher.
type DispatchReply struct {
	DispatcherID
	Reply dispatch.Reply
}

// DispatchRelease reports the end of a granted attempt to the dispatcher.
type DispatchRelease struct {
	DispatcherID
	Release dispatch.Release
}

// DispatchWithdrawal ends an ask that no longer needs a slot.
type DispatchWithdrawal struct {
	DispatcherID
	ID dispatch.RequestID
}

// OverdueReport is an update about an attempt without a response.
type OverdueReport struct {
	Upstream settings.UpstreamID
	Update   breaker.OverdueUpdate
}

// DispatchMessage is a message to one host. The ids of its asks, releases and withdrawals have the sender as their host, and those of
// its replies the receiver.
type DispatchMessage struct {
	// Host is the sender. It is set by the receiving Node.
	Host string
	// Stale is true if the message may have waited in the socket while the process of the receiver did not run. It is set by the
	// receiving Node.
	Stale bool

	Asks        []DispatchAsk
	Replies     []DispatchReply
	Releases    []DispatchRelease
	Withdrawals []DispatchWithdrawal
	Overdue     []OverdueReport
	Notices     []breaker.Notice
}

// dispatchOverheadBytes bounds the encoded size of an item of a dispatch message without its ids.
const dispatchOverheadBytes = 64

// SendDispatch sends a message to another host, in as many datagrams as it needs. It reports false if the host is not known.
func (n *Node) SendDispatch(host string, m *DispatchMessage) bool {
	now := time.Now()
	for rest := *m; ; {
		part := rest.takeNext()
		sequence, target, known := n.table.nextDispatch(host)
		if !known {
			return false
		}
		encoded := encodeDispatch(now, &part)
		encoded.Host, encoded.Incarnation, encoded.To = n.options.Self.ID, n.options.Self.Incarnation, host
		encoded.Sequence = sequence
		body, err := proto.Marshal(encoded)
		if err != nil {
			n.rejected.Add(1) // an id is not valid UTF-8
			return false
		}
		n.write(newDispatchPacket(n.options.Self.Key, body), target.addr)
		if rest.empty() {
			return true
		}
	}
}

// dispatchLabel is authenticated before the body of a dispatch message. The kind of a packet is not authenticated, so the same bytes must
// not be valid as a datagram.
var dispatchLabel = []byte("bronzeyard dispatch message\x00")

func newDispatchPacket(key, body []byte) []byte {
	packet := make([]byte, 0, headerBytes+len(body))
	packet = append(packet, byte(packetDispatch))
	packet = append(packet, computeMAC(key, dispatchLabel, body)...)
	return append(packet, body...)
}

// nextDispatch returns the sequence number of the next dispatch message to a host.
func (t *table) nextDispatch(id string) (sequence uint64, target destination, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.hosts[id]
	if host == nil {
		return 0, destination{}, false
	}
	t.dispatchesSent[id]++
	return t.dispatchesSent[id], destination{host.addr, host.Key}, true
}

func (m *DispatchMessage) empty() bool {
	return len(m.Asks)+len(m.Replies)+len(m.Releases)+len(m.Withdrawals)+len(m.Overdue)+len(m.Notices) == 0
}

// takeNext removes and returns the items that fit into one datagram, the most urgent first. It takes at least one item.
func (m *DispatchMessage) takeNext() DispatchMessage {
	var first DispatchMessage
	remaining := maxContentBytes
	idBytes := func(id DispatcherID) int { return len(id.Service) + len(id.DataCentre) + dispatchOverheadBytes }
	first.Replies, m.Replies = takeFitting(m.Replies, &remaining, func(r DispatchReply) int {
		return idBytes(r.DispatcherID) + len(r.Reply.Upstream)
	})
	first.Asks, m.Asks = takeFitting(m.Asks, &remaining, func(a DispatchAsk) int {
		size := idBytes(a.DispatcherID) + len(a.Request.Customer)
		for _, id := range a.Request.Exclude {
			size += len(id) + 2
		}
		return size + hintBytes(a.Request.Connected) + hintBytes(a.Request.Unreachable)
	})
	first.Releases, m.Releases = takeFitting(m.Releases, &remaining, func(r DispatchRelease) int {
		return idBytes(r.DispatcherID) + len(r.Release.Upstream)
	})
	first.Withdrawals, m.Withdrawals = takeFitting(m.Withdrawals, &remaining, func(w DispatchWithdrawal) int {
		return idBytes(w.DispatcherID)
	})
	first.Notices, m.Notices = takeFitting(m.Notices, &remaining, func(notice breaker.Notice) int {
		return len(notice.Upstream) + noticeOverheadBytes
	})
	first.Overdue, m.Overdue = takeFitting(m.Overdue, &remaining, func(o OverdueReport) int {
		return len(o.Upstream) + noticeOverheadBytes
	})
	return first
}

// hintBytes returns a bound of the encoded size of a list of hints.
func hintBytes(hints []uint32) int {
	const tagAndLengthBytes, hashBytes = 3, 4
	return tagAndLengthBytes + hashBytes*min(len(hints), dispatch.MaxHints)
}

// boundHints returns the hints that a message holds: a longer list would make each choice of the dispatcher slower.
func boundHints(hints []uint32) []uint32 { return hints[:min(len(hints), dispatch.MaxHints)] }

// receiveDispatch verifies a dispatch message and passes it to Options.ReceiveDispatch.
func (n *Node) receiveDispatch(signed []byte) {
	var encoded gossippb.DispatchMessage
	if len(signed) <= macBytes || proto.Unmarshal(signed[macBytes:], &encoded) != nil || encoded.GetTo() != n.options.Self.ID {
		n.rejected.Add(1)
		return
	}
	key, _, known := n.table.find(encoded.GetHost(), encoded.GetIncarnation())
	if !known || !hmac.Equal(signed[:macBytes], computeMAC(key, dispatchLabel, signed[macBytes:])) {
		n.rejected.Add(1)
		return
	}
	if !n.table.acceptDispatch(encoded.GetHost(), encoded.GetSequence()) {
		n.repeated.Add(1)
		return
	}
	now := time.Now()
	m := decodeDispatch(now, &encoded)
	m.Stale = n.mayBeStale(now)
	n.options.ReceiveDispatch(now, m)
}

// acceptDispatch records a verified dispatch message. It reports false if the message is repeated or older than the replay window.
func (t *table) acceptDispatch(id string, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.hosts[id]
	if host == nil {
		return false
	}
	fresh, _ := host.dispatches.record(sequence)
	return fresh
}

// toMilliseconds returns a time that is left, rounded up so that what is left does not become 0.
func toMilliseconds(left time.Duration) uint32 {
	return uint32(min(max(0, left+time.Millisecond-1).Milliseconds(), math.MaxUint32))
}

func fromMilliseconds(left uint32) time.Duration { return time.Duration(left) * time.Millisecond }

func encodeDispatch(now time.Time, m *DispatchMessage) *gossippb.DispatchMessage {
	encoded := &gossippb.DispatchMessage{}
	for i := range m.Asks {
		encoded.Asks = append(encoded.Asks, encodeAsk(now, &m.Asks[i]))
	}
	for i := range m.Replies {
		reply := &m.Replies[i].Reply
		encoded.Replies = append(encoded.Replies, &gossippb.DispatchReply{
			Service: string(m.Replies[i].Service), DataCentre: m.Replies[i].DataCentre, Number: reply.ID.Number, Kind: uint32(reply.Kind),
			Upstream: string(reply.Upstream), Trial: reply.Trial, LoadPercent: toHundredths(reply.Load),
			RetryAfterMs: toMilliseconds(reply.RetryAfter),
		})
	}
	for i := range m.Releases {
		encoded.Releases = append(encoded.Releases, encodeRelease(&m.Releases[i]))
	}
	for _, w := range m.Withdrawals {
		encoded.Withdrawals = append(encoded.Withdrawals, &gossippb.DispatchWithdrawal{
			Service: string(w.Service), DataCentre: w.DataCentre, Number: w.ID.Number,
		})
	}
	for _, o := range m.Overdue {
		encoded.Overdue = append(encoded.Overdue, &gossippb.DispatchOverdue{
			Upstream: string(o.Upstream), Before: toHundredths(o.Update.Previous), Now: toHundredths(o.Update.Current),
		})
	}
	for _, notice := range m.Notices {
		encoded.Notices = append(encoded.Notices, encodeNotice(notice))
	}
	return encoded
}

func encodeAsk(now time.Time, ask *DispatchAsk) *gossippb.DispatchAsk {
	r := &ask.Request
	encoded := &gossippb.DispatchAsk{
		Service: string(ask.Service), DataCentre: ask.DataCentre, Number: r.ID.Number, Customer: string(r.Customer),
		Weight: float32(r.Weight), CustomerPriority: int32(r.Priority.Customer), RoutePriority: int32(r.Priority.Route),
		DeadlineMs: toMilliseconds(r.Deadline.Sub(now)), Idempotent: r.Idempotent, Retryable: r.Retryable,
		NeedsToken: r.NeedsToken, Hedge: r.Hedge, Remote: r.Remote,
	}
	if !r.Target.IsZero() {
		encoded.TargetMs = toMilliseconds(r.Target.Sub(now))
	}
	for _, id := range r.Exclude {
		encoded.Exclude = append(encoded.Exclude, string(id))
	}
	encoded.Rejected = r.Rejected
	encoded.Connected = boundHints(r.Connected)
	encoded.Unreachable = boundHints(r.Unreachable)
	return encoded
}

func encodeRelease(release *DispatchRelease) *gossippb.DispatchRelease {
	r := &release.Release
	encoded := &gossippb.DispatchRelease{
		Service: string(release.Service), DataCentre: release.DataCentre, Number: r.ID.Number, Upstream: string(r.Upstream),
		Outcome: uint32(r.Outcome), TookUs: uint32(min(max(0, r.Took).Microseconds(), math.MaxUint32)), Leaving: r.Leaving,
		BackoffMs: toMilliseconds(r.Backoff),
	}
	if r.Load != nil {
		encoded.Load = &gossippb.UpstreamLoad{
			Running: uint32(max(0, r.Load.Running)), Waiting: uint32(max(0, r.Load.Waiting)), Slots: uint32(max(0, r.Load.Slots)),
		}
	}
	return encoded
}

func decodeDispatch(now time.Time, encoded *gossippb.DispatchMessage) *DispatchMessage {
	m := &DispatchMessage{Host: encoded.GetHost()}
	for _, ask := range encoded.GetAsks() {
		m.Asks = append(m.Asks, decodeAsk(now, m.Host, ask))
	}
	for _, reply := range encoded.GetReplies() {
		m.Replies = append(m.Replies, DispatchReply{dispatcherID(reply), dispatch.Reply{
			ID: dispatch.RequestID{Host: encoded.GetTo(), Number: reply.GetNumber()}, Kind: dispatch.ReplyKind(reply.GetKind()),
			Upstream: settings.UpstreamID(reply.GetUpstream()), Trial: reply.GetTrial(), Load: float64(reply.GetLoadPercent()) / 100,
			RetryAfter: fromMilliseconds(reply.GetRetryAfterMs()),
		}})
	}
	for _, release := range encoded.GetReleases() {
		m.Releases = append(m.Releases, decodeRelease(m.Host, release))
	}
	for _, w := range encoded.GetWithdrawals() {
		m.Withdrawals = append(m.Withdrawals, DispatchWithdrawal{dispatcherID(w), dispatch.RequestID{Host: m.Host, Number: w.GetNumber()}})
	}
	for _, o := range encoded.GetOverdue() {
		m.Overdue = append(m.Overdue, OverdueReport{settings.UpstreamID(o.GetUpstream()), breaker.OverdueUpdate{
			Previous: float64(o.GetBefore()) / 100, Current: float64(o.GetNow()) / 100,
		}})
	}
	for _, notice := range encoded.GetNotices() {
		m.Notices = append(m.Notices, decodeNotice(notice))
	}
	return m
}

// dispatcherID returns the dispatcher that an item of a message names.
func dispatcherID(item interface {
	GetService() string
	GetDataCentre() string
},
) DispatcherID {
	return DispatcherID{settings.ServiceName(item.GetService()), item.GetDataCentre()}
}

func decodeAsk(now time.Time, host string, ask *gossippb.DispatchAsk) DispatchAsk {
	request := dispatch.Request{
		ID: dispatch.RequestID{Host: host, Number: ask.GetNumber()}, Customer: settings.CustomerID(ask.GetCustomer()),
		Weight:   float64(ask.GetWeight()),
		Priority: dispatch.Priority{Customer: int(ask.GetCustomerPriority()), Route: int(ask.GetRoutePriority())},
		Deadline: now.Add(fromMilliseconds(ask.GetDeadlineMs())), Idempotent: ask.GetIdempotent(), Retryable: ask.GetRetryable(),
		NeedsToken: ask.GetNeedsToken(), Hedge: ask.GetHedge(), Remote: ask.GetRemote(),
	}
	if left := ask.GetTargetMs(); left > 0 {
		request.Target = now.Add(fromMilliseconds(left))
	}
	for _, id := range ask.GetExclude() {
		request.Exclude = append(request.Exclude, settings.UpstreamID(id))
	}
	request.Rejected = ask.GetRejected()
	request.Connected = boundHints(ask.GetConnected())
	request.Unreachable = boundHints(ask.GetUnreachable())
	return DispatchAsk{dispatcherID(ask), request}
}

func decodeRelease(host string, release *gossippb.DispatchRelease) DispatchRelease {
	decoded := dispatch.Release{
		ID:       dispatch.RequestID{Host: host, Number: release.GetNumber()},
		Upstream: settings.UpstreamID(release.GetUpstream()), Outcome: dispatch.Outcome(release.GetOutcome()),
		Took: time.Duration(release.GetTookUs()) * time.Microsecond, Leaving: release.GetLeaving(),
		Backoff: fromMilliseconds(release.GetBackoffMs()),
	}
	if load := release.GetLoad(); load != nil {
		decoded.Load = &placement.Load{
			Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots()),
		}
	}
	return DispatchRelease{dispatcherID(release), decoded}
}
