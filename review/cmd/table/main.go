// Command table plays a store of which one table doesn't answer for some seconds while hosts are killed and start again.
package main

import (
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/review/stage"
)

const (
	hosts = 4
	rate  = 40 // requests a second of the tenant
	burst = 40
	// The tenant's usual traffic is its rate divided by quota_x of the site file, 1.6. hot_tenant makes it hot times as much, for
	// the time of load.
	usual = rate / 1.6
	hot   = 7.5
	load  = 6500 * time.Millisecond
	// The requesters press from pressAfter on. The table is away from awayAfter on, for the time of away. Two of the four hosts
	// are killed killAfter after that and start again after down.
	pressAfter = 4 * time.Second
	awayAfter  = time.Second
	away       = 4500 * time.Millisecond
	killAfter  = 100 * time.Millisecond
	down       = 500 * time.Millisecond
)

func main() { stage.Play(play) }

func play(s *stage.Scene) (stage.Verdict, error) {
	if err := s.StartStore(); err != nil {
		return stage.Verdict{}, err
	}
	backends, err := s.StartLookups(rate, burst)
	if err != nil {
		return stage.Verdict{}, err
	}
	if err := s.StartHosts(hosts); err != nil {
		return stage.Verdict{}, err
	}
	if err := s.AwaitReady(); err != nil {
		return stage.Verdict{}, err
	}
	time.Sleep(pressAfter)
	var group sync.WaitGroup
	if s.Trouble {
		group.Go(func() {
			time.Sleep(awayAfter)
			s.Store.Silence("hosts", away)
			s.Printf("the store's table hosts doesn't answer for %v; the other tables do", away)
			time.Sleep(killAfter)
			for _, host := range s.Hosts[:2] {
				group.Go(func() {
					if err := s.Restart(host, down); err != nil {
						s.Printf("%v", err)
					}
				})
			}
		})
	}
	sent := stage.Press(s, hot*usual, load)
	group.Wait()
	return stage.JudgeQuota(s, backends, sent, rate, burst)
}
