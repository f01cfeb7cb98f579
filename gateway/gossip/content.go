package gossip

import (
	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
)

const (
	// contentBytes bounds the content of one datagram, so that it fits into one packet of usual size beside the state of the
	// host.
	maxContentBytes = 1200
	// useBytes and idBytes bound what an encoded use, and an encoded notice or load, takes beside its id.
	usageOverheadBytes  = 32
	noticeOverheadBytes = 10
)

// content is what datagrams tell besides the state of the host.
type content struct {
	notices    []breaker.Notice
	usage      []quota.Use
	retryUsage []quota.Use
	loads      []placement.Report
}

func (c *content) empty() bool {
	return len(c.notices)+len(c.usage)+len(c.retryUsage)+len(c.loads) == 0
}

// take removes as much as fits into one datagram, the most urgent first and one item at least.
func (c *content) takeNext() content {
	var first content
	left := maxContentBytes
	sizeOfUse := func(use quota.Use) int { return len(use.Customer) + usageOverheadBytes }
	first.notices, c.notices = takeFitting(c.notices, &left, func(notice breaker.Notice) int { return len(notice.Upstream) + noticeOverheadBytes })
	first.loads, c.loads = takeFitting(c.loads, &left, func(load placement.Report) int { return len(load.Upstream) + noticeOverheadBytes })
	first.retryUsage, c.retryUsage = takeFitting(c.retryUsage, &left, sizeOfUse)
	first.usage, c.usage = takeFitting(c.usage, &left, sizeOfUse)
	return first
}

// fitting splits off the items that fit into what is left of a datagram. The first item of a datagram always fits.
func takeFitting[T any](all []T, left *int, size func(T) int) (first, rest []T) {
	for i, item := range all {
		need := size(item)
		if need > *left && *left < maxContentBytes {
			return all[:i], all[i:]
		}
		*left -= need
	}
	return all, nil
}
