package gateway

import (
	"context"

	"github.com/bronzeyard/bronzeyard/gateway/registry"
)

// upstreamResult is the result of a read of the upstreams.
type upstreamResult struct {
	// id is the number of the read.
	id      uint64
	entries []registry.Entry
	version uint64
	err     error
}

// upstreamCall is a read of the upstreams that has not ended.
type upstreamCall struct {
	cancel context.CancelFunc
	// aborted is closed when the result of the read is no longer wanted.
	aborted chan struct{}
}

// upstreamCalls makes the reads of an upstreamReader, which may overlap. It is used by one goroutine.
type upstreamCalls struct {
	source UpstreamSource
	// results delivers each read that has ended, and was not aborted, exactly once.
	results chan upstreamResult
	running map[uint64]upstreamCall
}

// start begins the read with a number.
func (c *upstreamCalls) start(ctx context.Context, id uint64) {
	reading, cancel := context.WithTimeout(ctx, callTimeout)
	aborted := make(chan struct{})
	if c.running == nil {
		c.running = make(map[uint64]upstreamCall)
	}
	c.running[id] = upstreamCall{cancel: cancel, aborted: aborted}
	go func() {
		result := upstreamResult{id: id}
		result.entries, result.version, result.err = c.source.Upstreams(reading)
		select {
		case c.results <- result:
		case <-aborted: // the end of callTimeout must not drop the result, which would leave the read pending
		}
	}()
}

// finish releases a read that has ended.
func (c *upstreamCalls) finish(id uint64) {
	if call, ok := c.running[id]; ok {
		call.cancel()
		delete(c.running, id)
	}
}

// abort ends all reads.
func (c *upstreamCalls) abort() {
	for _, call := range c.running {
		call.cancel()
		close(call.aborted)
	}
	c.running = nil
}
