package dispatchclient

import (
	"time"
)

const (
	// maxReplyTimeout bounds the wait for a reply. A longer one would use up more of the target latency than a poor choice of the upstream
	// costs.
	maxReplyTimeout = 150 * time.Millisecond
	// maxSentAsks and sentAskPeriod bound the asks of which the time of sending is kept, so that late replies count too.
	maxSentAsks   = 512
	sentAskPeriod = 2 * time.Second
)

// replyTime estimates how long replies take, as TCP does for its retransmission timeout. On a host whose link carries large responses,
// replies wait behind them, and a fixed timeout would expire for a part of the asks.
type replyTime struct{ mean, deviation time.Duration }

func (r *replyTime) observe(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	r.deviation += ((took - r.mean).Abs() - r.deviation) / 4
	r.mean += (took - r.mean) / 8
}

// timeout returns the time after which a reply is unlikely to come, but at least the minimum.
func (r *replyTime) timeout(minimum time.Duration) time.Duration {
	return min(max(minimum, r.mean+4*r.deviation), maxReplyTimeout)
}

// sentAsk is an ask without a reply.
type sentAsk struct {
	at     time.Time
	remote bool
}

// replyTimes measures the replies of dispatchers in the local data centre and in others.
type replyTimes struct {
	local, remote replyTime
	sent          map[uint64]sentAsk
}

func (r *replyTimes) of(remote bool) *replyTime {
	if remote {
		return &r.remote
	}
	return &r.local
}

func (r *replyTimes) noteSent(now time.Time, number uint64, remote bool) {
	if r.sent == nil {
		r.sent = make(map[uint64]sentAsk)
	}
	if len(r.sent) >= maxSentAsks {
		for other, ask := range r.sent {
			if now.Sub(ask.at) > sentAskPeriod {
				delete(r.sent, other)
			}
		}
	}
	if len(r.sent) < maxSentAsks {
		r.sent[number] = sentAsk{now, remote}
	}
}

func (r *replyTimes) noteReply(now time.Time, number uint64) {
	if ask, ok := r.sent[number]; ok {
		delete(r.sent, number)
		r.of(ask.remote).observe(now.Sub(ask.at))
	}
}
