package dispatchclient

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/dispatch"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
)

const (
	// replyTimeout and remoteReplyTimeout are the minimum time for which the first reply of a dispatcher in the local data centre, and in
	// another one, is awaited.
	replyTimeout       = 25 * time.Millisecond
	remoteReplyTimeout = 30 * time.Millisecond
	// targetFraction is the part of the time until the end of the target latency for which a reply is awaited at least. A request with
	// much time gains more from a good choice than it loses by waiting.
	targetFraction = 20
	// repeatInterval is the time after which a queued request is asked again, in case a reply was lost or the dispatcher has stopped.
	repeatInterval = 250 * time.Millisecond
	// remoteRepeatInterval is the time after which the dispatchers of other data centres are asked again for a queued request. In a trial
	// of 9 hosts with 1.25 times the load that their upstreams can serve, asking them with each repeat cost 15.9 datagrams per request
	// instead of 10.0.
	remoteRepeatInterval = time.Second
	// maxSilent is the number of requests in a row without a reply after which a dispatcher is avoided for avoidPeriod.
	maxSilent   = 2
	avoidPeriod = time.Second
	// silencePeriod is the time for which it is known when a dispatcher replied or was silent.
	silencePeriod = time.Minute
	// maxTimerDelay is the delay of a timer above which this process is assumed to have been short of processor time. The replies may
	// wait in its socket then, so it waits for another lateGrace.
	maxTimerDelay = 5 * time.Millisecond
	lateGrace     = 10 * time.Millisecond
)

// Options configure a Client. All fields are required.
type Options struct {
	// Self is the id of this host, and DataCentre its data centre.
	Self, DataCentre string
	// Send sends a message to a host, which may be this one. It reports false if the host is not known. It is called without a lock and
	// may call Deliver.
	Send func(host string, m *gossip.DispatchMessage) bool
}

// Client asks dispatchers for slots. It is safe for concurrent use.
type Client struct {
	options Options

	mu sync.Mutex
	// number is that of the last ask.
	number uint64
	// pending holds the asks that wait for a reply.
	pending map[uint64]*wait
	// granted holds the numbers of the grants in use, so that a repeated reply does not release them.
	granted map[uint64]bool
	silence map[string]silence
	times   replyTimes
	// lateGrants counts the grants that were released because they came too late.
	lateGrants int64
}

// silence is the state of a dispatcher that did not reply.
type silence struct {
	inRow        int
	avoidedUntil time.Time
	repliedAt    time.Time // last reply
	changedAt    time.Time // last reply, or ask without a reply
}

// New returns a Client. The numbers of its asks start at random, because those of an earlier process of this host must not be used
// again.
func New(options Options) *Client {
	return &Client{
		options: options, number: rand.Uint64(), pending: make(map[uint64]*wait), granted: make(map[uint64]bool),
		silence: make(map[string]silence),
	}
}

// Deliver processes the replies of a dispatcher.
func (c *Client) Deliver(now time.Time, from string, replies []gossip.DispatchReply) {
	for i := range replies {
		if !c.deliver(now, from, &replies[i]) {
			c.release(from, replies[i].DispatcherID, dispatch.Release{
				ID: replies[i].Reply.ID, Upstream: replies[i].Reply.Upstream, Outcome: dispatch.Unused,
			})
		}
	}
}

// deliver passes a reply to the request that waits for it. It reports false for a grant that must be released.
func (c *Client) deliver(now time.Time, from string, reply *gossip.DispatchReply) (used bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	grant := reply.Reply.Kind == dispatch.Granted
	number := reply.Reply.ID.Number
	c.times.noteReply(now, number)
	s := c.silence[from]
	s.repliedAt, s.changedAt = now, now
	if now.After(s.avoidedUntil) {
		s.inRow = 0 // it replies, if only late
	}
	c.silence[from] = s
	if w := c.pending[number]; w != nil {
		select {
		case w.replies <- reply.Reply:
			if grant {
				delete(c.pending, number) // a repeated grant must not be used twice
				c.granted[number] = true
			}
			return true
		default:
			return !grant
		}
	}
	if !grant || c.granted[number] {
		return true
	}
	c.lateGrants++
	return false
}

// Release reports the end of a granted attempt to the dispatcher that has granted it. It must be called once for each grant.
func (c *Client) Release(grant *Grant, release dispatch.Release) {
	c.mu.Lock()
	delete(c.granted, grant.reply.ID.Number)
	c.mu.Unlock()
	release.ID, release.Upstream = grant.reply.ID, grant.reply.Upstream
	c.release(grant.Dispatcher, grant.id, release)
}

func (c *Client) release(host string, id gossip.DispatcherID, release dispatch.Release) {
	c.options.Send(host, &gossip.DispatchMessage{Releases: []gossip.DispatchRelease{{DispatcherID: id, Release: release}}})
}

// ReportOverdue reports an update about a granted attempt without a response to the dispatcher that has granted it.
func (c *Client) ReportOverdue(grant *Grant, report gossip.OverdueReport) {
	c.options.Send(grant.Dispatcher, &gossip.DispatchMessage{Overdue: []gossip.OverdueReport{report}})
}

// LateGrants returns the number of grants that were released because they came too late.
func (c *Client) LateGrants() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lateGrants
}

// choose returns the first host that is not avoided.
func (c *Client) choose(now time.Time, hosts []string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range hosts {
		if !now.Before(c.silence[host].avoidedUntil) {
			return host, true
		}
	}
	return "", false
}

// noteSilence records that a dispatcher did not reply in time to an ask. If it has replied to another one since, a message was lost.
func (c *Client) noteSilence(now, askedAt time.Time, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.silence[host]
	if s.repliedAt.After(askedAt) {
		return
	}
	if s.inRow++; s.inRow >= maxSilent {
		s = silence{avoidedUntil: now.Add(avoidPeriod)}
	}
	s.changedAt = now
	c.silence[host] = s
	for id, other := range c.silence { // hosts that have left the fleet
		if now.Sub(other.changedAt) > silencePeriod {
			delete(c.silence, id)
		}
	}
}

// register returns the id of a new ask whose replies go to w.
func (c *Client) register(w *wait) dispatch.RequestID {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	c.pending[c.number] = w
	return dispatch.RequestID{Host: c.options.Self, Number: c.number}
}

// noteSent records that an ask was sent, and returns the time within which its reply is expected, which is at least the minimum.
func (c *Client) noteSent(now time.Time, number uint64, remote bool, minimum time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times.noteSent(now, number, remote)
	return c.times.of(remote).timeout(minimum)
}

// forget ends an ask. Later grants are released when they arrive.
func (c *Client) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}
