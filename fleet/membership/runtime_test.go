package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// TestStoreOutage guards against leases that depend on the table: all hosts must stay active for hours without it. All time
// constants are ten times the defaults, because under the race detector two hours of default heartbeats take 25 s.
func TestStoreOutage(t *testing.T) {
	durations := Durations{
		HeartbeatInterval: 3 * time.Second, Lease: 15 * time.Second, Margin: 5 * time.Second, SuspicionTimeout: 15 * time.Second,
	}
	runCellWith(t, 3, durations, func(c *cell) {
		c.table.Faults.SetDown(true)
		c.requireDuring(2*time.Hour, 50*time.Second, "all hosts stay active", func() bool { return c.active() == 3 })
		c.table.Faults.SetDown(false)
		c.waitUntil(5*time.Second, "all hosts are active members", func() bool { return c.complete(3) })
		if n := c.hosts["h00"].View().Epoch.Number; n > 3 {
			t.Fatalf("epoch %d after the outage, want at most 3, the epoch before it", n)
		}
	})
}

// TestPausedHost guards against a host that resumes after its lease has expired and continues as before. It must become
// inactive when its lease ends, be excluded, and rejoin as a new incarnation.
func TestPausedHost(t *testing.T) {
	runCell(t, 4, func(c *cell) {
		paused := c.hosts["h01"]
		old := paused.View().Self
		c.table.Faults.SetDown(true) // Hold does not stop the paused host's table reads, which would renew its lease.
		c.network.Hold(paused.address)
		time.Sleep(1600 * time.Millisecond)
		if paused.View().ActiveAt(time.Now()) {
			t.Fatal("the paused host is active after its lease has expired")
		}
		c.table.Faults.SetDown(false)
		c.waitUntil(5*time.Second, "excluded", func() bool {
			_, member := epochOf(c.hosts["h00"]).Member(old)
			return !member
		})
		c.requireDuring(5*time.Second, 10*time.Millisecond, "the others stay active", func() bool { return c.active() >= 3 })
		c.network.Release(paused.address)
		c.waitUntil(10*time.Second, "the paused host has rejoined", func() bool { return c.complete(4) })
		if paused.View().Self == old || paused.incarnationChanges.Load() != 1 {
			t.Fatalf("identity %v after %d changes, want one new incarnation", paused.View().Self, paused.incarnationChanges.Load())
		}
	})
}

func epochOf(h *cellHost) *fleet.Epoch { return &h.View().Epoch }

// TestOneWayCut guards against a failure of one direction of a connection that is reported at one of its ends only, and
// against the exclusion of a host whose messages reach a majority.
func TestOneWayCut(t *testing.T) {
	runCell(t, 3, func(c *cell) {
		epoch := epochOf(c.hosts["h00"]).Number
		c.network.Cut(c.hosts["h00"].address, c.hosts["h01"].address)
		c.waitUntil(3*time.Second, "the cut is reported at both ends", func() bool {
			suspected := slices.Contains(c.hosts["h01"].Suspected(), "h00")
			return suspected && !c.hosts["h00"].Status().Members[1].HearsUs
		})
		if !slices.Equal(c.hosts["h00"].Suspected(), nil) {
			t.Fatal("h00 suspects a member although it receives messages from all")
		}
		c.requireDuring(10*time.Second, 10*time.Millisecond, "all hosts stay active in the same epoch", func() bool {
			return c.active() == 3 && epochOf(c.hosts["h02"]).Number == epoch
		})
	})
}

// TestLearnerDuringStoreOutage guards against a new host that cannot become active while the store is down, and against one
// that owns a key before it is a member.
func TestLearnerDuringStoreOutage(t *testing.T) {
	runCell(t, 3, func(c *cell) {
		c.table.Faults.SetDown(true)
		c.kill("h02")
		learner := c.start("h03")
		c.waitUntil(3*time.Second, "the learner is active", func() bool { return learner.View().ActiveAt(time.Now()) })
		c.requireDuring(2*time.Minute, time.Second, "the learner stays active and owns nothing", func() bool {
			v := learner.View()
			return c.active() == 3 && v.Learner && !v.Owns("key")
		})
		c.table.Faults.SetDown(false)
		took := c.waitUntil(10*time.Second, "the learner has replaced the lost host", func() bool { return c.complete(3) })
		t.Logf("joined %v after the end of the outage", took)
	})
}

// TestHalfOfCellLost guards against a cell that cannot change its epoch after half of its hosts are lost for good and another
// host joins. In that case the lost hosts' keys could never be taken over.
func TestHalfOfCellLost(t *testing.T) {
	for _, count := range []int{2, 4} {
		runCell(t, count, func(c *cell) {
			for i := count / 2; i < count; i++ {
				c.kill(fmt.Sprintf("h%02d", i))
			}
			c.start("h08")
			left := count/2 + 1
			took := c.waitUntil(10*time.Second, "the lost hosts are excluded and the takeover time has passed", func() bool {
				for _, h := range c.hosts {
					if time.Now().Before(h.View().TakeoverAt) {
						return false
					}
				}
				return c.complete(left)
			})
			t.Logf("%d of %d hosts excluded %v after their processes ended", count-count/2, count, took)
		})
	}
}

// TestRollingRestart guards against exclusions, and against hosts that become inactive, while the hosts leave and rejoin one
// after the other.
func TestRollingRestart(t *testing.T) {
	for _, count := range []int{2, 5} {
		runCell(t, count, func(c *cell) { c.rollingRestart(count) })
	}
}

func (c *cell) rollingRestart(count int) {
	for i := range count {
		name := fmt.Sprintf("h%02d", i)
		c.table.Faults.LoseResponses(1)
		ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
		if err := c.hosts[name].Leave(ctx); err != nil {
			c.t.Fatalf("Leave of %s: %v", name, err)
		}
		if err := c.hosts[name].Remove(ctx); err != nil {
			c.t.Fatalf("Remove of %s: %v", name, err)
		}
		cancel()
		c.kill(name)
		c.requireDuring(4*time.Second, 10*time.Millisecond, "the others stay active", func() bool { return c.active() == count-1 })
		c.start(name)
		c.waitUntil(10*time.Second, "all hosts are active members again", func() bool { return c.complete(count) })
	}
	for name, h := range c.hosts {
		if h.incarnationChanges.Load() > 0 {
			c.t.Errorf("%s was excluded", name)
		}
	}
}

// TestAllRestarted guards against a cell that cannot change its epoch any more after all its processes have crashed and were
// restarted.
func TestAllRestarted(t *testing.T) {
	for _, count := range []int{1, 3} {
		runCell(t, count, func(c *cell) {
			names := []string{"h00", "h01", "h02"}[:count]
			for _, name := range names {
				c.kill(name)
			}
			for _, name := range names {
				c.start(name)
			}
			took := c.waitUntil(10*time.Second, "all hosts are active members", func() bool { return c.complete(count) })
			t.Logf("%d hosts joined %v after their restart", count, took)
		})
	}
}

// TestWaitActivated guards against a revision that is reported as activated while a host with an older one is active, and
// against a result that does not name that host.
func TestWaitActivated(t *testing.T) {
	runCell(t, 5, func(c *cell) {
		outdated := c.hosts["h04"]
		outdated.ignoresRevisions.Store(true)
		revision := c.commitRevision()
		c.hosts["h00"].NotifyRevision(c.t.Context(), revision)
		shortCtx, cancel := context.WithTimeout(c.t.Context(), time.Second)
		defer cancel()
		missing, err := c.hosts["h00"].WaitActivated(shortCtx, revision)
		if err == nil || !slices.Equal(missing, []fleet.HostID{"h04"}) {
			t.Fatalf("missing %v, error %v after 1 s, want h04 and a timeout", missing, err)
		}
		longCtx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
		defer cancel()
		missing, err = c.hosts["h00"].WaitActivated(longCtx, revision)
		if err != nil || !slices.Equal(missing, []fleet.HostID{"h04"}) {
			t.Fatalf("missing %v, error %v, want h04, whose lease has expired, and no error", missing, err)
		}
		if outdated.View().ActiveAt(time.Now()) || c.active() != 4 {
			t.Fatalf("%d hosts are active, want all but the one with the older revision%s", c.active(), c.describeHosts())
		}
		outdated.applied.Store(revision)
		c.waitUntil(3*time.Second, "all hosts are active again", func() bool { return c.active() == 5 })
	})
}
