// Command again plays backends that run bookings and lose the answers, and requesters that book with several methods.
package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/review/stage"
)

const (
	hosts      = 2
	requesters = 16 // at each host
	// From warmUp on, for the time of lossy, the lossy backends lose the answers of a share of the requests that they ran.
	warmUp = 4 * time.Second
	lossy  = 4 * time.Second
	after  = 2 * time.Second
	// lossyBackends of the twelve backends lose lostAnswers of their answers.
	lossyBackends = 6
	lostAnswers   = 0.05

	work      = 60 * time.Millisecond
	timeLimit = 4 * time.Second
)

func main() { stage.Play(play) }

func play(s *stage.Scene) (stage.Verdict, error) {
	if err := s.StartStore(); err != nil {
		return stage.Verdict{}, err
	}
	s.Store.Configure(1, stage.Hostname, stage.Tenant, stage.Key, 5000, 5000, []stage.Route{
		{Name: "book", Prefix: "/book/", Service: "intake", Kind: "unsafe", TimeoutMs: 4000},
	})
	var mu sync.Mutex
	began := time.Now().Add(time.Hour)
	loses := func(*http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(began)
		return s.Trouble && since >= warmUp && since < warmUp+lossy && rand.Float64() < lostAnswers
	}
	var backends []*stage.Backend
	for i := range 12 {
		b := &stage.Backend{
			ID: fmt.Sprintf("i-book-%02d", i), Service: "intake", Zone: [...]string{"north", "south"}[i%2], Slots: 6, Work: work,
		}
		if i < lossyBackends {
			b.Lost = loses
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
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	answers := book(s, time.Now().Add(warmUp+lossy+after))
	return judge(s, backends, answers), nil
}

// book sends bookings until end. It returns the status of each by its id.
func book(s *stage.Scene, end time.Time) map[string]int {
	answers := make(map[string]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, host := range s.Hosts {
		for i := range requesters {
			group.Go(func() {
				r := stage.Requester{Address: host.Front}
				defer r.Close()
				for time.Now().Before(end) {
					id, method, body := stage.NewID(), "TRACE", ""
					if i%2 == 0 {
						method, body = "POST", "a maple"
					}
					answer := r.Do(method, "/book/tree", id, timeLimit, body)
					mu.Lock()
					answers[id] = answer.Status
					mu.Unlock()
					time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	return answers
}

func judge(s *stage.Scene, backends []*stage.Backend, answers map[string]int) stage.Verdict {
	runs := make(map[string][]stage.Run)
	for _, b := range backends {
		for _, run := range b.Runs() {
			if run.Ran {
				runs[run.ID] = append(runs[run.ID], run)
			}
		}
	}
	twice, counts := make(map[string]int), make(map[string]int)
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		method := runs[id][0].Method
		counts[fmt.Sprintf("%s %d", method, answers[id])]++
		if len(runs[id]) < 2 {
			continue
		}
		twice[method]++
		for _, run := range runs[id] {
			s.Printf("%s %s ran at %s from %.3f s to %.3f s; its requester got %d",
				method, id, run.Backend, s.Since(run.ArrivedAt), s.Since(run.EndedAt), answers[id])
		}
	}
	s.Printf("requests that ran, by method and status (0: none): %v", counts)
	return stage.Verdict{Rule: "TWICE", Broken: len(twice) > 0, Text: fmt.Sprintf(
		"requests of an unsafe route that ran more than once, by method: %v, of %d that ran", twice, len(runs))}
}
