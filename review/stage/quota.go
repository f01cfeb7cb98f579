package stage

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// The bounds of the settings on a tenant's allowance: quota_window_s, quota_overshoot and quota_slack.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// Press sends requests of the tenant at a rate, in requests a second, divided evenly among the hosts. It returns when each
// request was sent. The requesters connect anew when a host is away.
func Press(s *Scene, perSecond float64, load time.Duration) map[string]time.Time {
	const connections, timeLimit = 16, 4 * time.Second
	interval := time.Duration(float64(connections*len(s.Hosts)) / perSecond * float64(time.Second))
	sent, statuses := make(map[string]time.Time), make(map[string]map[int]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(load)
	s.Printf("requesters begin to send %.0f requests a second, to %d hosts", perSecond, len(s.Hosts))
	for _, host := range s.Hosts {
		statuses[host.Name] = make(map[int]int)
		for range connections {
			group.Go(func() {
				r := Requester{Address: host.Front}
				defer r.Close()
				for time.Now().Before(end) {
					next, id := time.Now().Add(interval), NewID()
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

// JudgeQuota counts the requests of the tenant that were both sent and run within a window. A request that ran at two backends
// counts once, from its first run.
func JudgeQuota(s *Scene, backends []*Backend, sent map[string]time.Time, rate, burst float64) (Verdict, error) {
	first := make(map[string]Run)
	for _, b := range backends {
		for _, run := range b.Runs() {
			if earlier, ok := first[run.ID]; run.Ran && (!ok || run.ArrivedAt.Before(earlier.ArrivedAt)) {
				first[run.ID] = run
			}
		}
	}
	runs := slices.Collect(maps.Values(first))
	if len(runs) == 0 {
		return Verdict{}, fmt.Errorf("no request ran")
	}
	slices.SortFunc(runs, func(a, b Run) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	for _, run := range runs {
		s.Printf("%s sent at %.3f s ran at %s from %.3f s", run.ID, s.Since(sent[run.ID]), run.Backend, s.Since(run.ArrivedAt))
	}
	most, from := 0, time.Time{}
	for _, begin := range runs {
		start := sent[begin.ID]
		count := 0
		for _, run := range runs {
			if !sent[run.ID].Before(start) && run.ArrivedAt.Sub(start) <= quotaWindow {
				count++
			}
		}
		if count > most {
			most, from = count, start
		}
	}
	allowed := (rate*quotaWindow.Seconds()+burst)*(1+quotaOvershoot) + quotaSlack
	return Verdict{Rule: "QUOTA", Broken: float64(most) > allowed, Text: fmt.Sprintf(
		"%d requests of the tenant were sent and run in 5 s from %.3f s; allowed are %.0f", most, s.Since(from), allowed)}, nil
}

// StartLookups writes a configuration with one safe route and a tenant, and starts eight backends.
func (s *Scene) StartLookups(rate, burst int) ([]*Backend, error) {
	s.Store.Configure(1, Hostname, Tenant, Key, rate, burst, []Route{
		{Name: "look", Prefix: "/look/", Service: "logbook", Kind: "safe", TimeoutMs: 4000},
	})
	var backends []*Backend
	for i := range 8 {
		b := &Backend{
			ID: fmt.Sprintf("i-look-%02d", i), Service: "logbook", Zone: [...]string{"north", "south"}[i%2], Slots: 12,
			Work: 30 * time.Millisecond,
		}
		backends = append(backends, b)
		if err := b.Start(s.Store); err != nil {
			return nil, err
		}
	}
	return backends, nil
}
