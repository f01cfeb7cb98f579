// Command late plays a write of a host's record that is performed late, after the host has been restarted.
package main

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/review/stage"
)

const (
	hosts = 3
	rate  = 40 // requests a second of the tenant
	burst = 40
	// lateBy is the time after which the lost write is performed, killAfter the time from the start to the kill.
	lateBy    = 5 * time.Second
	killAfter = 2 * time.Second
	// From loadAt on, for the time of load, requesters ask each host for more than the tenant's whole rate.
	loadAt = 104 * time.Second
	load   = 8 * time.Second
	// restarted is the host whose record is written late.
	restarted = "edge-c"
)

func main() { stage.Play(play) }

type hostRecord struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

func play(s *stage.Scene) (stage.Verdict, error) {
	began := time.Now()
	if err := s.StartStore(); err != nil {
		return stage.Verdict{}, err
	}
	backends, err := s.StartLookups(rate, burst)
	if err != nil {
		return stage.Verdict{}, err
	}
	loseFirstWrite(s)
	if err := s.StartHosts(hosts); err != nil {
		return stage.Verdict{}, err
	}
	if err := s.AwaitReady(); err != nil {
		return stage.Verdict{}, err
	}
	sleepUntil(began, killAfter)
	if s.Trouble {
		if err := s.Restart(s.Hosts[2], 200*time.Millisecond); err != nil {
			return stage.Verdict{}, err
		}
	}
	for _, at := range []time.Duration{5, 10, 60, 70, 100} {
		sleepUntil(began, at*time.Second)
		var record hostRecord
		_ = json.Unmarshal(s.Store.Value("hosts", restarted), &record)
		s.Printf("the store's record of %s has incarnation %d", restarted, record.Incarnation)
	}
	sleepUntil(began, loadAt)
	return stage.JudgeQuota(s, backends, stage.Press(s, load), rate, burst)
}

// loseFirstWrite makes the store lose the answer to the first write of the record, and perform the write late.
func loseFirstWrite(s *stage.Scene) {
	var mu sync.Mutex
	lost := false
	s.Store.LoseWrites(func(put []stage.Row) stage.Loss {
		mu.Lock()
		defer mu.Unlock()
		for _, row := range put {
			s.Printf("the store gets a write of %s/%s: %s", row.Table, row.Key, row.Value)
			if s.Trouble && row.Key == restarted && !lost {
				lost = true
				s.Printf("the store doesn't answer this write and performs it %v later", lateBy)
				return stage.Loss{Lost: true, PerformAfter: lateBy}
			}
		}
		return stage.Loss{}
	})
}

func sleepUntil(began time.Time, at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
