package gossip

import (
	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
)

const (
	// maxContentBytes bounds the content of one datagram. Together with the state of the host, it fits into one packet of
	// usual size.
	maxContentBytes = 1200
	// usageOverheadBytes and noticeOverheadBytes bound the encoded size of a usage count, and of a notice or load, without
	// its id.
	usageOverheadBytes  = 32
	noticeOverheadBytes = 10
	// warmUpOverheadBytes is the same for the warm-up of an upstream.
	warmUpOverheadBytes = 16
)

// content is what datagrams carry besides the state of the host.
type content struct {
	notices    []breaker.Notice
	usage      []quota.Usage
	retryUsage []quota.Usage
	loads      []placement.LoadReport
	warmUps    []WarmUp
}

func (c *content) empty() bool {
	return len(c.notices)+len(c.usage)+len(c.retryUsage)+len(c.loads)+len(c.warmUps) == 0
}

// takeNext removes and returns the items that fit into one datagram, the most urgent first. It takes at least one item.
func (c *content) takeNext() content {
	var first content
	remaining := maxContentBytes
	usageSize := func(usage quota.Usage) int { return len(usage.Customer) + usageOverheadBytes }
	first.notices, c.notices = takeFitting(c.notices, &remaining, func(notice breaker.Notice) int {
		return len(notice.Upstream) + noticeOverheadBytes
	})
	first.warmUps, c.warmUps = takeFitting(c.warmUps, &remaining, func(warmUp WarmUp) int {
		return len(warmUp.Upstream) + warmUpOverheadBytes
	})
	first.loads, c.loads = takeFitting(c.loads, &remaining, func(load placement.LoadReport) int {
		return len(load.Upstream) + noticeOverheadBytes
	})
	first.retryUsage, c.retryUsage = takeFitting(c.retryUsage, &remaining, usageSize)
	first.usage, c.usage = takeFitting(c.usage, &remaining, usageSize)
	return first
}

// takeFitting splits off the items that fit into the remaining bytes of a datagram. The first item of a datagram always fits.
func takeFitting[T any](all []T, remaining *int, size func(T) int) (first, rest []T) {
	for i, item := range all {
		need := size(item)
		if need > *remaining && *remaining < maxContentBytes {
			return all[:i], all[i:]
		}
		*remaining -= need
	}
	return all, nil
}
