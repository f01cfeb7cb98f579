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

// TestChaos guards the runtime, with its own timers and its own messages, against what TestMachine guards the state machine
// against, over a fixed sequence of random faults.
func TestChaos(t *testing.T) {
	const hosts, faults = 5, 80
	runCell(t, hosts, func(c *cell) {
		k := &chaos{cell: c, random: rand.New(rand.NewPCG(*chaosSeed, 2)), holders: map[string]*modelHost{}}
		for range faults {
			k.fault()
			k.watch(time.Duration(k.random.IntN(2500)) * time.Millisecond)
		}
		k.heal()
		k.watch(20 * time.Second)
		c.until(10*time.Second, "recovered", func() bool { return c.complete(hosts) })
		if k.epochs < 10 || k.inForce == 0 {
			t.Fatalf("only %d epochs, revision %d in force: the faults did not do much", k.epochs, k.inForce)
		}
		t.Logf("%d epochs, revision %d in force", k.epochs, k.inForce)
	})
}

type chaos struct {
	*cell
	random  *rand.Rand
	holders map[string]*modelHost
	inForce uint64
	epochs  uint64
}

func (k *chaos) host() *cellHost { return k.hosts[k.name()] }

func (k *chaos) name() string { return fmt.Sprintf("h%02d", k.random.IntN(len(k.hosts))) }

func (k *chaos) fault() {
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
		k.holders[name] = nil
	case 5:
		k.table.Faults.SetDown(k.random.IntN(2) == 0)
	case 6:
		k.table.Faults.LoseAnswers(1)
		k.table.Faults.LoseWrites(k.random.IntN(2))
	case 7:
		k.table.Faults.SetDelay(time.Duration(k.random.IntN(2500)) * time.Millisecond)
	case 8:
		k.network.Delay(a.address, b.address, 0, time.Duration(k.random.IntN(2000))*time.Millisecond)
	case 9:
		a.stuck.Store(!a.stuck.Load())
	case 10:
		k.change(a)
	default:
		k.heal()
	}
}

func (k *chaos) heal() {
	k.table.Faults.SetDown(false)
	k.table.Faults.SetDelay(0)
	for _, a := range k.hosts {
		a.stuck.Store(false)
		k.network.Release(a.address)
		for _, b := range k.hosts {
			k.network.Heal(a.address, b.address)
			k.network.Delay(a.address, b.address, 0, 0)
		}
	}
}

// change stores a revision as an operator does, and notes it when the host reports it in force.
func (k *chaos) change(h *cellHost) {
	k.table.Faults.SetDown(false)
	k.table.Faults.SetDelay(0)
	k.table.Faults.LoseAnswers(0)
	k.table.Faults.LoseWrites(0)
	revision := k.commit()
	h.applied.Store(revision)
	ctx, cancel := context.WithTimeout(k.t.Context(), 8*time.Second)
	go func() {
		defer cancel()
		h.NotifyRevision(ctx, revision)
		if _, err := h.WaitActivated(ctx, revision); err == nil {
			k.mu.Lock()
			k.inForce = max(k.inForce, revision)
			k.mu.Unlock()
		}
	}()
}

// watch lets time pass and asserts at each step what must hold of the views of all hosts.
func (k *chaos) watch(duration time.Duration) {
	k.during(duration, 20*time.Millisecond, "one claimant for each key, nobody active in a closed epoch or with old settings", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		now, free, views := time.Now(), uint64(0), map[string]*fleet.View{}
		for name, h := range k.hosts {
			views[name] = h.View()
			if !now.Before(views[name].TakeoverAt) {
				free = max(free, views[name].Epoch.Number)
			}
		}
		k.epochs = max(k.epochs, free)
		claimed := map[string]bool{}
		for name, v := range views {
			closed := v.Epoch.Number < free || k.hosts[name].applied.Load() < k.inForce
			if !k.holds(name, v, now, claimed) || closed && v.ActiveAt(now) {
				return false
			}
		}
		return true
	})
}

// holds notes what the host claims, and reports whether nobody else does.
func (k *chaos) holds(name string, view *fleet.View, now time.Time, claimed map[string]bool) bool {
	if k.holders[name] == nil {
		k.holders[name] = &modelHost{}
	}
	holder := k.holders[name]
	holder.hold(view, now)
	if !view.ActiveAt(now) {
		return true
	}
	for key := range holder.holds {
		if claimed[key] {
			return false
		}
		claimed[key] = true
	}
	return true
}
