package quota

import (
	"slices"
	"time"
)

// SetHosts sets the names of the other hosts, whether they have reported or not.
func (l *Limiter) SetHosts(others []string) { l.SetFleet(others, 0) }

// SetFleet sets the names of the other hosts, and the size of the fleet with this host if that is larger. Hosts without a name are
// assumed to use their equal shares.
func (l *Limiter) SetFleet(others []string, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = true
	l.resize(max(size, len(others)+1))
	for host := range l.lastReports {
		if !slices.Contains(others, host) {
			l.removeHost(host)
		}
	}
}

// maxFormerHosts bounds the hosts that are remembered although they are no longer in the fleet.
const maxFormerHosts = 10_000

// removeHost drops the state of a host that has left the fleet.
func (l *Limiter) removeHost(host string) {
	if len(l.former) < maxFormerHosts {
		l.former[host] = true
	}
	delete(l.lastReports, host)
	delete(l.timedOut, host)
	for _, b := range l.buckets {
		if p := b.predictions[host]; p != nil {
			b.remoteRate = max(0, b.remoteRate-p.rate)
			delete(b.predictions, host)
		}
	}
}

// ExpectHosts sets the number of hosts, with this one, before their names are known; 0 if it is not known. The host then admits an
// equal share, as an isolated one does. ExpectHosts has no effect after SetHosts.
func (l *Limiter) ExpectHosts(hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed {
		l.resize(hosts)
	}
}

// resize sets the number of hosts. In a larger fleet, the tokens of this host's share that have accumulated are worth less.
func (l *Limiter) resize(hosts int) {
	if hosts > l.hosts {
		for _, b := range l.buckets {
			b.shareTokens = min(b.shareTokens, max(1, b.tokens/float64(hosts)))
		}
	}
	l.hosts = hosts
}

// startShare returns the tokens of this host's share with which a bucket starts. While the other hosts are not known by name, they
// do not hear what this host admits, so it gets no part of the burst.
func (l *Limiter) startShare(limit Limit, tokens float64) float64 {
	if !l.listed {
		return min(1, limit.Rate*l.equalShare()*unlistedStartSeconds)
	}
	return max(1, tokens*l.equalShare())
}

// unlistedStartSeconds is the part of its share, in seconds of the rate, with which a host starts while the others do not hear it.
const unlistedStartSeconds = 1.0

// equalShare is the share of each host if all have the same.
func (l *Limiter) equalShare() float64 { return 1 / float64(max(1, l.hosts)) }

// checkTimeouts finds hosts that have timed out. It runs at most once per checkInterval, because it iterates over all hosts.
func (l *Limiter) checkTimeouts(now time.Time) {
	if now.Sub(l.checkedAt) < checkInterval {
		return
	}
	l.checkedAt = now
	for host, at := range l.lastReports {
		if l.timedOut[host] || now.Sub(at) <= ReportTimeout {
			continue
		}
		l.timedOut[host] = true
		for _, b := range l.buckets {
			b.assumeShare(now, host, at, b.limit.Rate*l.equalShare())
		}
	}
	if l.inMinority() {
		l.minorityAt = now
	}
	if l.missesHosts() {
		l.hostsMissingAt = now
	}
}

// assumeShare assumes that a host that has timed out has used a rate, in requests per second, since its last report. What was
// predicted of it may be less: its report may have been lost because it was cut off, and then it admits its share.
func (b *bucket) assumeShare(now time.Time, host string, lastReport time.Time, rate float64) {
	p := b.prediction(host)
	p.advance(now)
	if missing := rate*now.Sub(lastReport).Seconds() - p.predicted; missing > 0 {
		b.tokens = max(b.tokens-missing, -b.limit.Rate*maxDebtSeconds)
		p.predicted += missing
	}
	b.setPredictedRate(now, p, rate)
}

// liveHosts counts the other hosts that have not timed out.
func (l *Limiter) liveHosts() int { return max(0, min(len(l.lastReports)-len(l.timedOut), l.hosts-1)) }

// clearTimeout marks a host that reports again as live. The requests that it was assumed to have admitted in the meantime stay
// subtracted until its counts correct them.
func (l *Limiter) clearTimeout(now time.Time, host string) {
	if !l.timedOut[host] {
		return
	}
	delete(l.timedOut, host)
	for _, b := range l.buckets {
		l.refill(now, b)
		b.setPredictedRate(now, b.prediction(host), 0)
	}
}
