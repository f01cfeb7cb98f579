package gateway

import (
	"testing"
	"time"
)

// foundDepartures are histories that the search has found, shrunk, by the fault that they show.
var foundDepartures = map[string]history{
	"a pause hides the return of the store": {hosts: 1, seed: 754, commands: []command{
		{kind: silentStore, at: 4750 * time.Millisecond, length: 3100 * time.Millisecond, hosts: 0b1},
		{kind: frozen, at: 6150 * time.Millisecond, length: 1700 * time.Millisecond, hosts: 0b1},
	}},
	"a pause hides the return of a store that rejects": {hosts: 1, seed: 71, commands: []command{
		{kind: rejectingStore, at: 1300 * time.Millisecond, length: 5600 * time.Millisecond, hosts: 0b1},
		{kind: frozen, at: 4100 * time.Millisecond, length: 2800 * time.Millisecond, hosts: 0b1},
	}},
	"a pause is noticed after the first read that follows it": {hosts: 3, seed: 1000734, commands: []command{
		{kind: rejectingStore, at: 1500 * time.Millisecond, length: 3450 * time.Millisecond, hosts: 0b111},
		{kind: isolated, at: 4200 * time.Millisecond, length: 150 * time.Millisecond, hosts: 0b100},
		{kind: frozen, at: 4100 * time.Millisecond, length: 1000 * time.Millisecond, hosts: 0b111},
	}},
	"the read of another host confirms the view after a second outage": {hosts: 2, seed: 4740, commands: []command{
		{kind: rejectingStore, at: 2000 * time.Millisecond, length: 3700 * time.Millisecond, hosts: 0b11},
		{kind: silentStore, at: 7850 * time.Millisecond, length: 4000 * time.Millisecond, hosts: 0b11},
	}},
	"the read of another host confirms the view after a second outage, rejected": {hosts: 2, seed: 10318, commands: []command{
		{kind: silentStore, at: 1500 * time.Millisecond, length: 4200 * time.Millisecond, hosts: 0b11},
		{kind: rejectingStore, at: 7850 * time.Millisecond, length: 3100 * time.Millisecond, hosts: 0b11},
	}},
	"reports that waited during a pause hide a gap": {hosts: 2, seed: 573, commands: []command{
		{kind: silentStore, at: 4800 * time.Millisecond, length: 3150 * time.Millisecond, hosts: 0b11},
		{kind: frozen, at: 4200 * time.Millisecond, length: 1650 * time.Millisecond, hosts: 0b1},
	}},
}

// Guards against the faults that the search for late departures has found.
func TestFoundDepartures(t *testing.T) {
	for name, h := range foundDepartures {
		t.Run(name, func(t *testing.T) {
			for range 40 {
				if v := h.play(); len(v) > 0 {
					t.Fatalf("seed %d: %s at host %d at %v", h.seed, v[0].what, v[0].host, v[0].at-searchBegin)
				}
				h.seed++
			}
		})
	}
}
