package membership

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"
)

var measureLarge = flag.Bool("measure", false, "measure cells of 8 and 16 hosts too")

// requiredTime is the time in which a lost host must be excluded and a settings revision must be in force.
const requiredTime = 4 * time.Second

// TestMeasure logs what the protocol costs and how long it takes, in fake time with 0.5 ms between any two hosts, and guards
// against times above the requirement. Run it with -measure -v for the figures of all sizes.
func TestMeasure(t *testing.T) {
	sizes := []int{3}
	if *measureLarge {
		sizes = []int{3, 8, 16}
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint("hosts=", size), func(t *testing.T) {
			runCell(t, size, func(c *cell) {
				c.slow(500 * time.Microsecond)
				c.measureTraffic(size)
				c.measureInForce()
				c.measureLoss(size)
			})
		})
	}
}

func (c *cell) slow(delay time.Duration) {
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

func (c *cell) measureInForce() {
	const count = 20
	var sum, most time.Duration
	for range count {
		revision, started := c.commit(), time.Now()
		ctx, cancel := context.WithTimeout(c.t.Context(), requiredTime)
		c.hosts["h00"].applied.Store(revision)
		c.hosts["h00"].NotifyRevision(ctx, revision)
		if missing, err := c.hosts["h00"].WaitActivated(ctx, revision); err != nil {
			c.t.Fatalf("revision %d is not in force, missing %v: %v", revision, missing, err)
		}
		cancel()
		took := time.Since(started)
		sum, most = sum+took, max(most, took)
		time.Sleep(370 * time.Millisecond)
	}
	c.t.Logf("in force after %v on average, %v at most, of %d changes that each host applies at once", sum/count, most, count)
}

func (c *cell) measureLoss(size int) {
	lost := c.hosts[fmt.Sprintf("h%02d", size-1)]
	old := lost.View().Self
	started := time.Now()
	c.network.Hold(lost.address)
	excluded := func(h *cellHost) bool {
		_, member := epochOf(h).Member(old)
		return !member
	}
	all := func() bool {
		for _, h := range c.hosts {
			if h != lost && !excluded(h) {
				return false
			}
		}
		return true
	}
	// The table still answers the lost host, which is then active by reading it until it is excluded.
	took := c.until(requiredTime, "excluded at all hosts", all)
	free := c.until(requiredTime, "free at all hosts", func() bool { return c.allFree(lost) })
	c.t.Logf("a host that goes silent is excluded at all others after %v, and what it held is free after %v",
		took, free+took)
	if total := time.Since(started); total > requiredTime {
		c.t.Fatalf("free after %v, required %v", total, requiredTime)
	}
}

func (c *cell) allFree(except *cellHost) bool {
	for _, h := range c.hosts {
		if h != except && time.Now().Before(h.View().TakeoverAt) {
			return false
		}
	}
	return true
}
