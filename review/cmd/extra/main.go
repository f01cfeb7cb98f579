// Command extra plays faulty backends that send additional bytes after complete answers, late.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/review/stage"
)

const (
	hosts      = 2
	requesters = 16 // at each host
	// From warmUp on, for the time of faulty, the faulty backends send additional bytes after a share of their answers.
	warmUp = 5 * time.Second
	faulty = 5 * time.Second
	after  = 3 * time.Second
	// faultyBackends of the twelve backends of a service are faulty, faultyAnswers of their answers.
	faultyBackends = 7
	faultyAnswers  = 0.03

	work      = 60 * time.Millisecond
	timeLimit = 4 * time.Second
	// additional is what the faulty backends send: it bears no id, no signature and belongs to no request.
	additional = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nleft over"
)

func main() { stage.Play(play) }

func play(s *stage.Scene) (stage.Verdict, error) {
	if err := s.StartStore(); err != nil {
		return stage.Verdict{}, err
	}
	s.Store.Configure(1, stage.Hostname, stage.Tenant, stage.Key, 5000, 5000, []stage.Route{
		{Name: "book", Prefix: "/book/", Service: "intake", Kind: "unsafe", TimeoutMs: 4000},
		{Name: "look", Prefix: "/look/", Service: "logbook", Kind: "safe", TimeoutMs: 4000},
	})
	began := time.Now().Add(time.Hour)
	var mu sync.Mutex
	inFault := func() bool {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(began)
		return s.Trouble && since >= warmUp && since < warmUp+faulty
	}
	var backends []*stage.Backend
	for i := range 12 {
		for _, service := range []string{"intake", "logbook"} {
			b := &stage.Backend{
				ID: fmt.Sprintf("i-%s-%02d", service, i), Service: service, Zone: [...]string{"north", "south"}[i%2], Slots: 6, Work: work,
			}
			if i < faultyBackends {
				b.Late = func(*http.Request) []byte {
					if inFault() && rand.Float64() < faultyAnswers {
						return []byte(additional)
					}
					return nil
				}
				b.Sent = func(waiting string) {
					s.Printf("backend %s sends additional bytes after an earlier answer; request %s waits on that connection", b.ID, waiting)
				}
			}
			backends = append(backends, b)
			if err := b.Start(s.Store); err != nil {
				return stage.Verdict{}, err
			}
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
	counts := make(map[string]int)
	unsigned := 0
	var group sync.WaitGroup
	end := time.Now().Add(warmUp + faulty + after)
	for _, host := range s.Hosts {
		for i := range requesters {
			group.Go(func() {
				r := stage.Requester{Address: host.Front}
				defer r.Close()
				for time.Now().Before(end) {
					id, method, path, body := stage.NewID(), "GET", "/look/today", ""
					if i%2 == 0 {
						method, path, body = "POST", "/book/tree", "a maple"
					}
					answer := r.Do(method, path, id, timeLimit, body)
					mu.Lock()
					counts[fmt.Sprintf("%s %d", method, answer.Status)]++
					if answer.Status/100 == 2 && answer.Signature != stage.Signature(id) {
						unsigned++
						s.Printf("%s %s at %s is answered %d, signature %q, body %q", method, id, host.Name, answer.Status, answer.Signature, answer.Body)
					}
					mu.Unlock()
					time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	s.Printf("answers by method and status (0: none): %v", counts)
	ran := 0
	for _, b := range backends {
		for _, run := range b.Runs() {
			if run.Ran {
				ran++
			}
		}
	}
	s.Printf("requests that ran at backends: %d", ran)
	return stage.Verdict{Rule: "MIXED", Broken: unsigned > 0, Text: fmt.Sprintf(
		"%d successes without the backend's signature; answers %v", unsigned, counts)}, nil
}
