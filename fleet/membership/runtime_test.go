package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// TestStoreOutage guards against leases that depend on the table: all hosts stay active through hours without it. All time
// constants are ten times the defaults, because the race detector takes 25 s for two hours of default heartbeats.
func TestStoreOutage(t *testing.T) {
	durations := Durations{
		HeartbeatInterval: 3 * time.Second, Lease: 15 * time.Second, Margin: 5 * time.Second, SuspicionTimeout: 15 * time.Second,
	}
	runCellWith(t, 3, durations, func(c *cell) {
		c.table.Faults.SetDown(true)
		c.during(2*time.Hour, 50*time.Second, "all hosts stay active", func() bool { return c.active() == 3 })
		c.table.Faults.SetDown(false)
		c.until(5*time.Second, "complete", func() bool { return c.complete(3) })
		if n := c.hosts["h00"].View().Epoch.Number; n > 3 {
			t.Fatalf("epoch %d after the outage, want no change", n)
		}
	})
}

// TestPausedHost guards against a host that wakes after its lease and goes on: it is inactive when its lease ends, is
// excluded, and joins as a new incarnation.
func TestPausedHost(t *testing.T) {
	runCell(t, 4, func(c *cell) {
		paused := c.hosts["h01"]
		old := paused.View().Self
		c.table.Faults.SetDown(true) // So that the paused host's table reads, which Hold does not stop, give no lease.
		c.network.Hold(paused.address)
		time.Sleep(1600 * time.Millisecond)
		if paused.View().ActiveAt(time.Now()) {
			t.Fatal("the paused host is active beyond its lease")
		}
		c.table.Faults.SetDown(false)
		c.until(5*time.Second, "excluded", func() bool {
			_, member := epochOf(c.hosts["h00"]).Member(old)
			return !member
		})
		c.during(5*time.Second, 10*time.Millisecond, "the others stay active", func() bool { return c.active() >= 3 })
		c.network.Release(paused.address)
		c.until(10*time.Second, "joined anew", func() bool { return c.complete(4) })
		if paused.View().Self == old || paused.selves.Load() != 1 {
			t.Fatalf("identity %v after %d changes, want one new incarnation", paused.View().Self, paused.selves.Load())
		}
	})
}

func epochOf(h *cellHost) *fleet.Epoch { return &h.View().Epoch }

// TestOneWayCut guards against a connection that works in one direction only and is noticed at one end only, and against
// the exclusion of a host that a majority hears.
func TestOneWayCut(t *testing.T) {
	runCell(t, 3, func(c *cell) {
		epoch := epochOf(c.hosts["h00"]).Number
		c.network.Cut(c.hosts["h00"].address, c.hosts["h01"].address)
		c.until(3*time.Second, "noticed on both ends", func() bool {
			unheard := slices.Contains(c.hosts["h01"].Suspected(), "h00")
			return unheard && !c.hosts["h00"].Status().Members[1].HearsUs
		})
		if !slices.Equal(c.hosts["h00"].Suspected(), nil) {
			t.Fatal("h00 suspects somebody although it hears all")
		}
		c.during(10*time.Second, 10*time.Millisecond, "all hosts stay active in the same epoch", func() bool {
			return c.active() == 3 && epochOf(c.hosts["h02"]).Number == epoch
		})
	})
}

// TestReplacedDuringOutage guards against a new host that cannot serve while the store is down, and against one that owns
// something before it is a member.
func TestReplacedDuringOutage(t *testing.T) {
	runCell(t, 3, func(c *cell) {
		c.table.Faults.SetDown(true)
		c.kill("h02")
		guest := c.start("h03")
		c.until(3*time.Second, "the guest is active", func() bool { return guest.View().ActiveAt(time.Now()) })
		c.during(2*time.Minute, time.Second, "the guest stays active and owns nothing", func() bool {
			v := guest.View()
			return c.active() == 3 && v.Learner && !v.Owns("key")
		})
		c.table.Faults.SetDown(false)
		took := c.until(10*time.Second, "the guest has replaced the lost host", func() bool { return c.complete(3) })
		t.Logf("joined %v after the end of the outage", took)
	})
}

// TestLostHalfIsReplaced guards against a cell that stays in one epoch, without free keys, after half of its hosts are lost
// for good and another host joins.
func TestLostHalfIsReplaced(t *testing.T) {
	for _, count := range []int{2, 4} {
		runCell(t, count, func(c *cell) {
			for i := count / 2; i < count; i++ {
				c.kill(fmt.Sprintf("h%02d", i))
			}
			c.start("h08")
			left := count/2 + 1
			took := c.until(10*time.Second, "the lost hosts are excluded and all keys are free", func() bool {
				for _, h := range c.hosts {
					if time.Now().Before(h.View().TakeoverAt) {
						return false
					}
				}
				return c.complete(left)
			})
			t.Logf("%d of %d hosts excluded %v after their end", count-count/2, count, took)
		})
	}
}

// TestRollingRestart guards against lost activity of the hosts that stay, and against exclusions, when each host leaves in
// turn and comes back.
func TestRollingRestart(t *testing.T) {
	for _, count := range []int{2, 5} {
		runCell(t, count, func(c *cell) { c.rollingRestart(count) })
	}
}

func (c *cell) rollingRestart(count int) {
	for i := range count {
		name := fmt.Sprintf("h%02d", i)
		c.table.Faults.LoseAnswers(1)
		ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
		if err := c.hosts[name].Leave(ctx); err != nil {
			c.t.Fatalf("Leave of %s: %v", name, err)
		}
		if err := c.hosts[name].Remove(ctx); err != nil {
			c.t.Fatalf("Remove of %s: %v", name, err)
		}
		cancel()
		c.kill(name)
		c.during(4*time.Second, 10*time.Millisecond, "the others stay active", func() bool { return c.active() == count-1 })
		c.start(name)
		c.until(10*time.Second, "complete again", func() bool { return c.complete(count) })
	}
	for name, h := range c.hosts {
		if h.selves.Load() > 0 {
			c.t.Errorf("%s was excluded", name)
		}
	}
}

// TestAllRestarted guards against a cell that can never change its epoch again after all its processes have crashed.
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
			took := c.until(10*time.Second, "complete", func() bool { return c.complete(count) })
			t.Logf("%d hosts joined %v after their restart", count, took)
		})
	}
}

// TestInForce guards against a revision that is reported in force while a host with an older one is active, and against an
// answer that does not name that host.
func TestInForce(t *testing.T) {
	runCell(t, 5, func(c *cell) {
		stuck := c.hosts["h04"]
		stuck.stuck.Store(true)
		revision := c.commit()
		c.hosts["h00"].NotifyRevision(c.t.Context(), revision)
		short, cancel := context.WithTimeout(c.t.Context(), time.Second)
		defer cancel()
		missing, err := c.hosts["h00"].WaitActivated(short, revision)
		if err == nil || !slices.Equal(missing, []fleet.HostID{"h04"}) {
			t.Fatalf("missing %v, error %v after 1 s, want h04 and a timeout", missing, err)
		}
		long, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
		defer cancel()
		missing, err = c.hosts["h00"].WaitActivated(long, revision)
		if err != nil || !slices.Equal(missing, []fleet.HostID{"h04"}) {
			t.Fatalf("missing %v, error %v, want h04 without its lease", missing, err)
		}
		if stuck.View().ActiveAt(time.Now()) || c.active() != 4 {
			t.Fatalf("%d hosts are active, want all but the one with the older revision%s", c.active(), c.states())
		}
		stuck.applied.Store(revision)
		c.until(3*time.Second, "active again", func() bool { return c.active() == 5 })
	})
}
