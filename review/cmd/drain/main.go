// Command drain plays a backend that leaves just before the store is away for some seconds.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/review/stage"
)

const (
	hosts      = 1
	requesters = 16 // at each host
	// The bounds of the settings: stable_ms and drain_ms.
	stable = 3 * time.Second
	drain  = 2 * time.Second
	// The store is away for minAway to maxAway.
	minAway = 3 * time.Second
	maxAway = 4500 * time.Millisecond
	// recent is the age of the newest read without an answer at which the store comes back before maxAway.
	recent = 100 * time.Millisecond
	// watch is how long requesters go on after the store's return.
	watch = 8 * time.Second

	work      = 20 * time.Millisecond
	timeLimit = 4 * time.Second
)

func main() { stage.Play(play) }

func play(s *stage.Scene) (stage.Verdict, error) {
	if err := s.StartStore(); err != nil {
		return stage.Verdict{}, err
	}
	s.Store.Configure(1, stage.Hostname, stage.Tenant, stage.Key, 5000, 5000, []stage.Route{
		{Name: "look", Prefix: "/look/", Service: "logbook", Kind: "safe", TimeoutMs: 4000},
	})
	var backends []*stage.Backend
	for i := range 6 {
		b := &stage.Backend{
			ID: fmt.Sprintf("i-look-%02d", i), Service: "logbook", Zone: [...]string{"north", "south"}[i%2], Slots: 12, Work: work,
		}
		backends = append(backends, b)
		if err := b.Start(s.Store); err != nil {
			return stage.Verdict{}, err
		}
	}
	if err := s.StartHosts(hosts); err != nil {
		return stage.Verdict{}, err
	}
	if err := s.AwaitReady(); err != nil {
		return stage.Verdict{}, err
	}
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, host := range s.Hosts {
		for range requesters {
			group.Go(func() { ask(host, sent, &mu, stop) })
		}
	}
	time.Sleep(5 * time.Second)
	// Two backends leave, one in each zone: their entries are removed, and they go on to serve for some seconds.
	leaving := backends[:2]
	for _, b := range leaving {
		b.Leave(s.Store)
		s.Printf("the store has acknowledged that %s is gone", b.ID)
	}
	acknowledged := time.Now()
	back := acknowledged
	if s.Trouble {
		back = away(s)
	}
	time.Sleep(watch)
	close(stop)
	group.Wait()
	return judge(s, leaving, sent, acknowledged, back), nil
}

// away makes the store silent for some seconds and returns when it is back.
func away(s *stage.Scene) time.Time {
	began := time.Now()
	s.Store.SetSilent(true)
	s.Printf("the store doesn't answer")
	for time.Since(began) < maxAway {
		time.Sleep(5 * time.Millisecond)
		reads := s.Store.Unanswered()
		fresh := 0
		for _, at := range reads {
			if time.Since(at) < recent {
				fresh++
			}
		}
		if time.Since(began) >= minAway && fresh == hosts {
			break
		}
	}
	s.Store.SetSilent(false)
	back := time.Now()
	s.Printf("the store answers again, after %.3f s", back.Sub(began).Seconds())
	return back
}

// ask sends requests to a host until stop is closed.
func ask(host *stage.Host, sent map[string]time.Time, mu *sync.Mutex, stop chan struct{}) {
	r := stage.Requester{Address: host.Front}
	defer r.Close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := stage.NewID()
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		_ = r.Do("GET", "/look/today", id, timeLimit, "")
		time.Sleep(50 * time.Millisecond)
	}
}

// judge counts the requests that reached a backend that is gone, later than drain_ms after the acknowledgement and sent when
// store and hosts had been without impairment for stable_ms.
func judge(s *stage.Scene, leaving []*stage.Backend, sent map[string]time.Time, acknowledged, back time.Time) stage.Verdict {
	late, last := 0, time.Duration(0)
	for _, b := range leaving {
		for _, run := range b.Runs() {
			after := run.ArrivedAt.Sub(acknowledged)
			if after < 0 {
				continue
			}
			last = max(last, after)
			if after > drain && sent[run.ID].Sub(back) > stable {
				late++
				s.Printf("%s, sent %.3f s after the store's return, reached %s %.3f s after the acknowledgement",
					run.ID, sent[run.ID].Sub(back).Seconds(), b.ID, after.Seconds())
			}
		}
	}
	for _, host := range s.Hosts {
		for _, line := range host.LogLines(`"change":"kept"`, `"dependency":"upstreams"`, `"change":"removed"`) {
			s.Printf("log: %s", line)
		}
	}
	return stage.Verdict{Rule: "DRAIN", Broken: late > 0, Text: fmt.Sprintf(
		"%d requests of machines in touch reached backends that were gone, the last request %.3f s after the acknowledgement; the bound is %.0f s",
		late, last.Seconds(), drain.Seconds())}
}
