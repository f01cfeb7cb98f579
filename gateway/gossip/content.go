package gossip

import (
	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
)

const (
	// contentBytes bounds the content of one datagram, so that it fits into one packet of usual size beside the state of the
	// host.
	contentBytes = 1200
	// useBytes and idBytes bound what an encoded use, and an encoded notice or load, takes beside its id.
	useBytes = 32
	idBytes  = 10
)

// content is what datagrams tell besides the state of the host.
type content struct {
	notices []breaker.Notice
	uses    []quota.Use
	retries []quota.Use
	loads   []placement.LoadReport
}

func (c *content) empty() bool {
	return len(c.notices)+len(c.uses)+len(c.retries)+len(c.loads) == 0
}

// take removes as much as fits into one datagram, the most urgent first and one item at least.
func (c *content) take() content {
	var first content
	left := contentBytes
	sizeOfUse := func(use quota.Use) int { return len(use.Customer) + useBytes }
	first.notices, c.notices = fitting(c.notices, &left, func(notice breaker.Notice) int { return len(notice.Upstream) + idBytes })
	first.loads, c.loads = fitting(c.loads, &left, func(load placement.LoadReport) int { return len(load.Upstream) + idBytes })
	first.retries, c.retries = fitting(c.retries, &left, sizeOfUse)
	first.uses, c.uses = fitting(c.uses, &left, sizeOfUse)
	return first
}

// fitting splits off the items that fit into what is left of a datagram. The first item of a datagram always fits.
func fitting[T any](all []T, left *int, size func(T) int) (first, rest []T) {
	for i, item := range all {
		need := size(item)
		if need > *left && *left < contentBytes {
			return all[:i], all[i:]
		}
		*left -= need
	}
	return all, nil
}
