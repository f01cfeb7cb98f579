package idempotency

import (
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

const grantedInOutage = "granted in an outage"

// tableMachine runs random actions on a fleet whose claims are in the table.
type tableMachine struct {
	*tableFleet
	mu       sync.Mutex
	ops      []Key
	runs     map[int]int
	results  map[string]int
	failures []string
	serial   uint64
	mode     settings.ClaimMode
	down     bool
}

// TestTableClaimsRunOperationsOnce guards against a second run of an operation, and against the outcome "not run" for an
// operation that ran. They could come from owners that change, or that are paused around a write and resume after their
// lease, from lost or late writes and responses, and from a table that is down or slow.
func TestTableClaimsRunOperationsOnce(t *testing.T) {
	total := make(map[string]int)
	checks := flag.Lookup("rapid.checks").Value.String()
	defer func() { _ = flag.Set("rapid.checks", checks) }()
	_ = flag.Set("rapid.checks", "30")
	synctest.Test(t, func(t *testing.T) {
		// Check must not get the *testing.T of a bubble, because it would call Deadline.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			mode := rapid.SampledFrom([]settings.ClaimMode{settings.ClaimsInTable, settings.ClaimsAuto}).Draw(t, "mode")
			m := &tableMachine{tableFleet: newTableFleet(3), runs: make(map[int]int), results: total, mode: mode}
			defer m.close()
			t.Repeat(map[string]func(*rapid.T){
				"begin": m.actBegin, "begin2": m.actBegin, "begin3": m.actBegin,
				"time": m.actTime, "time2": m.actTime,
				"table": m.actTable, "outage": m.actOutage,
				"pause": func(t *rapid.T) {
					m.host(t).table.setMode(rapid.SampledFrom([]string{"", "before", "after", "late", "down"}).Draw(t, "mode"))
				},
				"wake": func(*rapid.T) {
					for _, h := range m.hosts {
						h.table.setMode("")
					}
				},
				"epoch":  m.actEpoch,
				"learn":  func(t *rapid.T) { m.actLearn(m.host(t)) },
				"learn2": func(*rapid.T) { m.learnAll() }, "learn3": func(*rapid.T) { m.learnAll() },
				"": m.check,
			})
		})
	})
	for _, kind := range []string{"granted", grantedInOutage, "replayed", string(errkind.ClaimsUnavailable), string(errkind.OutcomeUnknown)} {
		if total[kind] == 0 {
			t.Errorf("no claim had the result %s", kind)
		}
	}
	t.Logf("results: %v", total)
}

func (m *tableMachine) host(t *rapid.T) *tableHost {
	return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
}

func (m *tableMachine) actBegin(t *rapid.T) {
	op := rapid.IntRange(max(0, len(m.ops)-4), len(m.ops)).Draw(t, "op")
	if op == len(m.ops) {
		m.serial++
		ahead := time.Duration(rapid.IntRange(-6000, 2000).Draw(t, "ahead")) * time.Millisecond
		m.ops = append(m.ops, Key{Customer: "c", ID: idAt(time.Now().Add(ahead), m.serial)})
	}
	h := m.host(t)
	if h.lost {
		h = m.hosts[len(m.hosts)-1]
	}
	fate := rapid.SampledFrom([]string{"run", "run", "not run", "die"}).Draw(t, "fate")
	timeout := time.Duration(rapid.IntRange(300, 4000).Draw(t, "timeout")) * time.Millisecond
	m.mu.Lock()
	ranBefore := m.runs[op] > 0
	m.mu.Unlock()
	go m.attempt(h, op, fate, timeout, ranBefore)
}

func (m *tableMachine) attempt(h *tableHost, op int, fate string, timeout time.Duration, ranBefore bool) {
	claim, kind, outcome := h.begin(m.ops[op].ID, m.mode, timeout)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.results[kind]++
	if kind == "granted" && m.down {
		m.results[grantedInOutage]++
	}
	switch {
	case kind == "granted" && fate == "not run":
		claim.Complete(Result{State: NotRun})
	case kind == "granted":
		m.runs[op]++
		if m.runs[op] > 1 {
			m.failures = append(m.failures, "an operation ran twice")
		}
		if fate == "run" {
			time.AfterFunc(timeout/8, func() { claim.Complete(Result{State: Done, Status: 200}) })
		}
	case kind == "replayed" && m.runs[op] != 1:
		m.failures = append(m.failures, "a result was replayed for an operation that did not run once")
	case outcome == errkind.NotRun && ranBefore:
		m.failures = append(m.failures, kind+" has the outcome not run for an operation that ran")
	}
}

func (m *tableMachine) actTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (m *tableMachine) actTable(t *rapid.T) {
	n := rapid.IntRange(1, 3).Draw(t, "n")
	switch rapid.SampledFrom([]string{"down", "up", "up", "up", "lose answers", "lose writes", "slow", "fast"}).Draw(t, "fault") {
	case "down":
		m.setDown(true)
	case "up":
		m.setDown(false)
	case "lose answers":
		m.table.Faults.LoseResponses(n)
	case "lose writes":
		m.table.Faults.LoseWrites(n)
	case "slow":
		m.table.Faults.SetDelay(time.Duration(n) * 120 * time.Millisecond)
	default:
		m.table.Faults.SetDelay(0)
	}
}

func (m *tableMachine) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.table.Faults.SetDown(down)
}

// actOutage starts or ends an outage and waits for about as long as the hosts need to grant memory-only claims or to renew
// their leases.
func (m *tableMachine) actOutage(t *rapid.T) {
	down := rapid.Bool().Draw(t, "down")
	m.setDown(down)
	if !down {
		m.table.Faults.SetDelay(0)
	}
	time.Sleep(time.Duration(rapid.IntRange(2000, 14000).Draw(t, "ms")) * time.Millisecond)
}

// actEpoch makes a host leave or fail, and starts another one.
func (m *tableMachine) actEpoch(t *rapid.T) {
	h := m.host(t)
	if len(m.hosts) >= 6 || h.lost || h.member.State == fleet.Leaving {
		return
	}
	if rapid.Bool().Draw(t, "leave") {
		h.member.State = fleet.Leaving // it remains a member and owns nothing
	} else {
		m.lose(h)
	}
	m.start(time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond)
	m.changeEpoch()
	if rapid.IntRange(0, 2).Draw(t, "learn") > 0 {
		m.learnAll()
	}
}

func (m *tableMachine) actLearn(h *tableHost) {
	if !h.lost && h.view.Load().Epoch.Number < m.epoch.Number {
		h.learn(m.epoch)
	}
}

func (m *tableMachine) check(t *rapid.T) {
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, failure := range m.failures {
		t.Fatal(failure)
	}
}
