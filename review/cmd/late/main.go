// Command late plays a write of a host's record that is performed late, after the host has been restarted.
package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/review/stage"
)

const (
	hosts = 3
	rate  = 40 // requests a second of the tenant
	burst = 40
	// The bounds of the settings: quota_window_s, quota_overshoot, quota_slack.
	window    = 5 * time.Second
	overshoot = 0.1
	slack     = 20
	// lateBy is the time after which the lost write is performed, killAfter the time from the start to the kill.
	lateBy    = 5 * time.Second
	killAfter = 2 * time.Second
	// From loadAt on, for the time of load, requesters ask each host for more than the tenant's whole rate.
	loadAt = 104 * time.Second
	load   = 8 * time.Second

	work      = 30 * time.Millisecond
	timeLimit = 4 * time.Second
	routeKind = "safe"
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
	s.Store.Configure(1, stage.Hostname, stage.Tenant, stage.Key, rate, burst, []stage.Route{
		{Name: "look", Prefix: "/look/", Service: "logbook", Kind: routeKind, TimeoutMs: 4000},
	})
	var backends []*stage.Backend
	for i := range 8 {
		b := &stage.Backend{
			ID: fmt.Sprintf("i-look-%02d", i), Service: "logbook", Zone: [...]string{"north", "south"}[i%2], Slots: 12, Work: work,
		}
		backends = append(backends, b)
		if err := b.Start(s.Store); err != nil {
			return stage.Verdict{}, err
		}
	}
	const restarted = "edge-c"
	var mu sync.Mutex
	lost, writes := 0, 0
	s.Store.LoseWrites(func(put []stage.Row) stage.Loss {
		mu.Lock()
		defer mu.Unlock()
		writes++
		for _, row := range put {
			s.Printf("the store gets a write of %s/%s: %s", row.Table, row.Key, row.Value)
			if s.Trouble && row.Key == restarted && lost == 0 {
				lost++
				s.Printf("the store doesn't answer this write and performs it %v later", lateBy)
				return stage.Loss{Lost: true, PerformAfter: lateBy}
			}
		}
		return stage.Loss{}
	})
	if err := s.StartHosts(hosts); err != nil {
		return stage.Verdict{}, err
	}
	if err := s.AwaitReady(); err != nil {
		return stage.Verdict{}, err
	}
	third := s.Hosts[2]
	sleepUntil(began, killAfter)
	if s.Trouble {
		third.Kill()
		s.Printf("host %s was killed", third.Name)
		time.Sleep(200 * time.Millisecond)
		if err := third.Start(); err != nil {
			return stage.Verdict{}, err
		}
		s.Printf("host %s was started again", third.Name)
		if err := third.AwaitReady(10 * time.Second); err != nil {
			return stage.Verdict{}, err
		}
		s.Printf("host %s is ready again", third.Name)
	}
	for _, at := range []time.Duration{5, 10, 60, 70, 100} {
		sleepUntil(began, at*time.Second)
		var record hostRecord
		_ = json.Unmarshal(s.Store.Value("hosts", restarted), &record)
		s.Printf("the store's record of %s has incarnation %d", restarted, record.Incarnation)
	}
	sleepUntil(began, loadAt)
	sent := requesters(s)
	return judge(s, backends, sent, writes, lost)
}

func sleepUntil(began time.Time, at time.Duration) { time.Sleep(time.Until(began.Add(at))) }

// requesters sends more than the tenant's rate to each host, and returns when each request was sent.
func requesters(s *stage.Scene) map[string]time.Time {
	sent, statuses := make(map[string]time.Time), make(map[string]map[int]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(load)
	s.Printf("requesters begin to ask each host for 80 requests a second; the tenant has %d, with a burst of %d", rate, burst)
	for _, host := range s.Hosts {
		statuses[host.Name] = make(map[int]int)
		for range 16 {
			group.Go(func() {
				r := stage.Requester{Address: host.Front}
				defer r.Close()
				for time.Now().Before(end) {
					next, id := time.Now().Add(200*time.Millisecond), stage.NewID()
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					answer := r.Do("GET", "/look/today", id, timeLimit, "")
					mu.Lock()
					statuses[host.Name][answer.Status]++
					mu.Unlock()
					time.Sleep(time.Until(next))
				}
			})
		}
	}
	group.Wait()
	for _, host := range s.Hosts {
		s.Printf("answers of %s by status (0: none): %v", host.Name, statuses[host.Name])
	}
	return sent
}

func judge(s *stage.Scene, backends []*stage.Backend, sent map[string]time.Time, writes, lost int) (stage.Verdict, error) {
	var runs []stage.Run
	for _, b := range backends {
		for _, run := range b.Runs() {
			if run.Ran {
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(runs, func(a, b stage.Run) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	for _, run := range runs {
		s.Printf("%s sent at %.3f s ran at %s from %.3f s", run.ID, s.Since(sent[run.ID]), run.Backend, s.Since(run.ArrivedAt))
	}
	// Only requests that are both sent and run within a window count.
	most, from := 0, time.Time{}
	for _, first := range runs {
		start := sent[first.ID]
		count := 0
		for _, run := range runs {
			if !sent[run.ID].Before(start) && run.ArrivedAt.Sub(start) <= window {
				count++
			}
		}
		if count > most {
			most, from = count, start
		}
	}
	allowed := (rate*window.Seconds()+burst)*(1+overshoot) + slack
	if len(runs) == 0 {
		return stage.Verdict{}, fmt.Errorf("no request ran")
	}
	return stage.Verdict{Rule: "QUOTA", Broken: float64(most) > allowed, Text: fmt.Sprintf(
		"%d requests of the tenant were sent and run in 5 s from %.3f s; allowed are %.0f; %d of %d writes of the system were lost",
		most, s.Since(from), allowed, lost, writes)}, nil
}
