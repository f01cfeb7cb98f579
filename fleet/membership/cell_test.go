package membership

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer/peertest"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

// cell is a fleet of Runtimes on an in-memory network and table, in fake time.
type cell struct {
	t            *testing.T
	network      *peertest.Network
	table        *memory.Table
	hosts        map[string]*cellHost
	mu           sync.Mutex
	incarnations int
	// durations are the time constants of hosts that are started from now on; zero fields stand for the defaults.
	durations Durations
}

// cellHost is one process of a host. It applies every settings revision that it learns of, unless ignoresRevisions is true.
type cellHost struct {
	*Runtime
	address          string
	stop             func()
	applied          atomic.Uint64
	ignoresRevisions atomic.Bool
	// incarnationChanges counts the changes of the incarnation that were reported to OnView.
	incarnationChanges atomic.Int32
}

// runCell runs a test on a cell of count hosts in a synctest bubble, after all of them have become active members.
func runCell(t *testing.T, count int, test func(c *cell)) {
	t.Helper()
	runCellWith(t, count, Durations{}, test)
}

// runCellWith is runCell with the given time constants.
func runCellWith(t *testing.T, count int, durations Durations, test func(c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cell{t: t, network: peertest.NewNetwork(1), table: memory.NewTable(), hosts: map[string]*cellHost{}, durations: durations}
		defer c.close()
		for i := range count {
			c.start(fmt.Sprintf("h%02d", i))
		}
		took := c.waitUntil(30*time.Second, "all hosts are active members", func() bool { return c.complete(count) })
		t.Logf("%d hosts that start together are members of one epoch after %v", count, took)
		time.Sleep(3 * time.Second)
		test(c)
	})
}

// close ends all goroutines of the bubble, after a failure too.
func (c *cell) close() {
	for _, h := range c.hosts {
		h.stop()
	}
	c.network.Close()
}

// start starts a process of the host. The peer address of h00 is 10.0.0.1, that of h01 is 10.0.0.2, and so on.
func (c *cell) start(name string) *cellHost {
	c.incarnations++
	var number int
	_, _ = fmt.Sscanf(name, "h%d", &number)
	h := &cellHost{address: fmt.Sprintf("10.0.0.%d:7000", number+1)}
	self := fleet.Member{
		ID: fleet.HostID(name), Incarnation: fleet.Incarnation(c.incarnations), PeerAddress: h.address, CallerAddress: h.address,
		DataCentre: "dc", Capacity: 1,
	}
	node := c.network.Host(self.Identity(), h.address)
	runtime, err := New(Options{
		Table: c.table, Cell: "test", Self: self, Seeds: []string{"10.0.0.1:7000", "10.0.0.2:7000"},
		Caller: node, Registrar: node, Clock: clock.Standard{}, Durations: c.durations, AppliedRevision: h.applied.Load,
		OnNewerRevision: func(revision uint64, _ string) {
			if !h.ignoresRevisions.Load() {
				h.applied.Store(revision)
			}
		},
		OnView: func(old, updated *fleet.View) {
			if old.Self != updated.Self {
				h.incarnationChanges.Add(1)
			}
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	h.Runtime = runtime
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- runtime.Run(ctx) }()
	h.stop = func() {
		c.network.Remove(h.address)
		cancel()
		if err := <-done; err != nil {
			c.t.Errorf("Run of %s: %v", name, err)
		}
		delete(c.hosts, name)
	}
	c.hosts[name] = h
	return h
}

// kill ends a process without leaving the cell.
func (c *cell) kill(name string) { c.hosts[name].stop() }

// waitUntil advances time until the condition holds, and returns the time that it took. It fails the test at the limit.
func (c *cell) waitUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > limit {
			c.t.Fatalf("condition not met within %v: %s%s", limit, what, c.describeHosts())
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// describeHosts returns the state of each host for failure messages.
func (c *cell) describeHosts() string {
	text := ""
	for name, h := range c.hosts {
		s := h.Status()
		text += fmt.Sprintf("\n%s: epoch %d settled %v learner %v active %v members", name, s.Epoch, s.Settled, s.Guest, s.Active)
		for _, member := range s.Members {
			text += fmt.Sprintf(" %s/%d", member.Member.ID, member.Member.Incarnation)
		}
	}
	return text
}

// complete reports whether exactly count hosts are active members in one epoch.
func (c *cell) complete(count int) bool {
	epochs := map[uint64]bool{}
	for _, h := range c.hosts {
		v := h.View()
		epochs[v.Epoch.Number] = true
		if v.Learner || !v.ActiveAt(time.Now()) || len(v.Epoch.Members) != count {
			return false
		}
	}
	return len(c.hosts) == count && len(epochs) == 1
}

// active returns the number of hosts that are active now.
func (c *cell) active() int {
	n := 0
	for _, h := range c.hosts {
		if h.View().ActiveAt(time.Now()) {
			n++
		}
	}
	return n
}

// requireDuring advances time in steps and asserts the condition at each step.
func (c *cell) requireDuring(duration, step time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(step) {
		if !condition() {
			c.t.Fatalf("condition violated: %s%s", what, c.describeHosts())
		}
	}
}

// commitRevision stores the next settings revision and returns it.
func (c *cell) commitRevision() uint64 {
	c.t.Helper()
	item, err := getOrZero(c.t.Context(), c.table, headKey)
	if err != nil {
		c.t.Fatal(err)
	}
	err = c.table.Transact(c.t.Context(), []storage.Write{{Kind: storage.Put, Key: headKey, Version: item.Version + 1}})
	if err != nil {
		c.t.Fatal(err)
	}
	return item.Version + 1
}
