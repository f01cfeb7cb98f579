package membership

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"
)

var measureLarge = flag.Bool("measure", false, "measure cells of 8 and 16 hosts too")

// maxReactionTime is the required maximum of two times: from the loss of a host until keys that it held can be taken over, and
// from the commit of a settings revision until it is activated.
const maxReactionTime = 4 * time.Second

// TestMeasure guards against reaction times above maxReactionTime. It also logs these times and the traffic of the protocol, in
// fake time with a delay of 0.5 ms between any two hosts. Run it with -measure -v for the figures of all sizes.
func TestMeasure(t *testing.T) {
	sizes := []int{3}
	if *measureLarge {
		sizes = []int{3, 8, 16}
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint("hosts=", size), func(t *testing.T) {
			runCell(t, size, func(c *cell) {
				c.setDelay(500 * time.Microsecond)
				c.measureTraffic(size)
				c.measureActivation()
				c.measureLoss(size)
			})
		})
	}
}

func (c *cell) setDelay(delay time.Duration) {
	for _, a := range c.hosts {
		for _, b := range c.hosts {
			c.network.Delay(a.address, b.address, delay, 0)
		}
	}
}

func (c *cell) measureTraffic(size int) {
	const seconds = 30
	before := c.network.Sent(c.hosts["h01"].address)
	readsBefore, writesBefore := c.table.Counts()
	time.Sleep(seconds * time.Second)
	sent := c.network.Sent(c.hosts["h01"].address)
	reads, writes := c.table.Counts()
	c.t.Logf("sent by a host per second: %.1f messages, %.0f bytes of bodies; table: %.1f reads per host and second, %d writes",
		float64(sent.Messages-before.Messages)/seconds, float64(sent.Bytes-before.Bytes)/seconds,
		float64(reads-readsBefore)/seconds/float64(size), writes-writesBefore)
}

func (c *cell) measureActivation() {
	const count = 20
	var sum, longest time.Duration
	for range count {
		revision, started := c.commitRevision(), time.Now()
		ctx, cancel := context.WithTimeout(c.t.Context(), maxReactionTime)
		c.hosts["h00"].applied.Store(revision)
		c.hosts["h00"].NotifyRevision(ctx, revision)
		if missing, err := c.hosts["h00"].WaitActivated(ctx, revision); err != nil {
			c.t.Fatalf("revision %d is not activated, missing hosts %v: %v", revision, missing, err)
		}
		cancel()
		took := time.Since(started)
		sum, longest = sum+took, max(longest, took)
		time.Sleep(370 * time.Millisecond)
	}
	c.t.Logf("activated after %v on average, %v at most, of %d changes that each host applies at once", sum/count, longest, count)
}

func (c *cell) measureLoss(size int) {
	lost := c.hosts[fmt.Sprintf("h%02d", size-1)]
	lostIdentity := lost.View().Self
	started := time.Now()
	c.network.Hold(lost.address)
	excluded := func(h *cellHost) bool {
		_, member := epochOf(h).Member(lostIdentity)
		return !member
	}
	excludedAtAll := func() bool {
		for _, h := range c.hosts {
			if h != lost && !excluded(h) {
				return false
			}
		}
		return true
	}
	// The lost host can still read the table, so it stays active by its reads until it is excluded.
	exclusion := c.waitUntil(maxReactionTime, "excluded at all hosts", excludedAtAll)
	takeover := c.waitUntil(maxReactionTime, "takeover time passed at all hosts", func() bool { return c.allPastTakeover(lost) })
	c.t.Logf("a host that stops responding is excluded at all others after %v, and its keys can be taken over after %v",
		exclusion, takeover+exclusion)
	if total := time.Since(started); total > maxReactionTime {
		c.t.Fatalf("takeover time passed after %v, required %v", total, maxReactionTime)
	}
}

func (c *cell) allPastTakeover(except *cellHost) bool {
	for _, h := range c.hosts {
		if h != except && time.Now().Before(h.View().TakeoverAt) {
			return false
		}
	}
	return true
}
