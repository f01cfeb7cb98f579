package membership

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

var chaosSeed = flag.Uint64("chaos-seed", 3, "seed of the faults of TestChaos")

// TestChaos guards against the failures named at TestMachine, here in the Runtime with its own timers and messages. It injects a
// fixed sequence of random faults.
func TestChaos(t *testing.T) {
	const hosts, faults = 5, 80
	runCell(t, hosts, func(c *cell) {
		k := &chaos{cell: c, random: rand.New(rand.NewPCG(*chaosSeed, 2)), claims: map[string]*modelHost{}}
		for range faults {
			k.injectFault()
			k.checkDuring(time.Duration(k.random.IntN(2500)) * time.Millisecond)
		}
		k.endFaults()
		k.checkDuring(20 * time.Second)
		c.waitUntil(10*time.Second, "recovered", func() bool { return c.complete(hosts) })
		if k.epochs < 10 || k.activated == 0 {
			t.Fatalf("only %d epochs, revision %d activated: the faults had too little effect", k.epochs, k.activated)
		}
		t.Logf("%d epochs, revision %d activated", k.epochs, k.activated)
	})
}

type chaos struct {
	*cell
	random    *rand.Rand
	claims    map[string]*modelHost
	activated uint64
	epochs    uint64
}

func (k *chaos) host() *cellHost { return k.hosts[k.name()] }

func (k *chaos) name() string { return fmt.Sprintf("h%02d", k.random.IntN(len(k.hosts))) }

func (k *chaos) injectFault() {
	a, b := k.host(), k.host()
	switch k.random.IntN(12) {
	case 0:
		k.network.Cut(a.address, b.address)
	case 1:
		k.network.Isolate(a.address)
	case 2:
		k.network.Hold(a.address)
	case 3:
		k.network.Release(a.address)
	case 4:
		name := k.name()
		k.kill(name)
		k.start(name)
		k.claims[name] = nil
	case 5:
		k.table.Faults.SetDown(k.random.IntN(2) == 0)
	case 6:
		k.table.Faults.LoseResponses(1)
		k.table.Faults.LoseWrites(k.random.IntN(2))
	case 7:
		k.table.Faults.SetDelay(time.Duration(k.random.IntN(2500)) * time.Millisecond)
	case 8:
		k.network.Delay(a.address, b.address, 0, time.Duration(k.random.IntN(2000))*time.Millisecond)
	case 9:
		a.ignoresRevisions.Store(!a.ignoresRevisions.Load())
	case 10:
		k.commitChange(a)
	default:
		k.endFaults()
	}
}

func (k *chaos) endFaults() {
	k.table.Faults.SetDown(false)
	k.table.Faults.SetDelay(0)
	for _, a := range k.hosts {
		a.ignoresRevisions.Store(false)
		k.network.Release(a.address)
		for _, b := range k.hosts {
			k.network.Heal(a.address, b.address)
			k.network.Delay(a.address, b.address, 0, 0)
		}
	}
}

// commitChange stores a revision as an operator does, and records it when the host reports it as activated.
func (k *chaos) commitChange(h *cellHost) {
	k.table.Faults.SetDown(false)
	k.table.Faults.SetDelay(0)
	k.table.Faults.LoseResponses(0)
	k.table.Faults.LoseWrites(0)
	revision := k.commitRevision()
	h.applied.Store(revision)
	ctx, cancel := context.WithTimeout(k.t.Context(), 8*time.Second)
	go func() {
		defer cancel()
		h.NotifyRevision(ctx, revision)
		if _, err := h.WaitActivated(ctx, revision); err == nil {
			k.mu.Lock()
			k.activated = max(k.activated, revision)
			k.mu.Unlock()
		}
	}()
}

// checkDuring advances time and asserts at each step the invariants of the views of all hosts.
func (k *chaos) checkDuring(duration time.Duration) {
	k.requireDuring(duration, 20*time.Millisecond, "one claimant per key, none active with old epoch or settings", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		now, newestTakeover, views := time.Now(), uint64(0), map[string]*fleet.View{}
		for name, h := range k.hosts {
			views[name] = h.View()
			if !now.Before(views[name].TakeoverAt) {
				newestTakeover = max(newestTakeover, views[name].Epoch.Number)
			}
		}
		k.epochs = max(k.epochs, newestTakeover)
		claimed := map[string]bool{}
		for name, v := range views {
			outdated := v.Epoch.Number < newestTakeover || k.hosts[name].applied.Load() < k.activated
			if !k.checkClaims(name, v, now, claimed) || outdated && v.ActiveAt(now) {
				return false
			}
		}
		return true
	})
}

// checkClaims records which keys the host claims, and reports whether no other host claims any of them.
func (k *chaos) checkClaims(name string, view *fleet.View, now time.Time, claimed map[string]bool) bool {
	if k.claims[name] == nil {
		k.claims[name] = &modelHost{}
	}
	holder := k.claims[name]
	holder.updateHeldKeys(view, now)
	if !view.ActiveAt(now) {
		return true
	}
	for key := range holder.heldKeys {
		if claimed[key] {
			return false
		}
		claimed[key] = true
	}
	return true
}
