// Package stage holds the stand-ins of the review's scripts: a store, backends, requesters and the control of host processes.
package stage

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes what was sent, answered and run to a file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, began: time.Now()}, err
}

// Since returns the time from the start of the record.
func (r *Record) Since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Verdict is the outcome of a scene.
type Verdict struct {
	Rule   string
	Broken bool
	Text   string
}

// Play runs a scene and ends the process with its exit code. The arguments are the root of the repository and the folder of
// the case.
func Play(scene func(s *Scene) (Verdict, error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM ROOT CASE-FOLDER")
		os.Exit(NotRun)
	}
	os.Exit(play(scene, os.Args[1], os.Args[2]))
}

func play(scene func(s *Scene) (Verdict, error), root, folder string) int {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	s := &Scene{Record: record, Root: root, Folder: temporary, Trouble: os.Getenv("TROUBLE") != "0"}
	defer s.end()
	verdict, err := scene(s)
	if err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	word, code := "held", Held
	if verdict.Broken {
		word, code = "BROKEN", Broken
	}
	record.Printf("verdict: %s %s: %s", verdict.Rule, word, verdict.Text)
	fmt.Printf("%s %s: %s\n", verdict.Rule, word, verdict.Text)
	return code
}

// Scene is one run of a script.
type Scene struct {
	*Record
	Root, Folder string
	// Trouble is false if the disruption is left out.
	Trouble bool
	Store   *Store
	Hosts   []*Host
}

// StartStore starts the store.
func (s *Scene) StartStore() (err error) {
	s.Store, err = NewStore(FreeIP())
	return err
}

// StartHosts starts a number of hosts.
func (s *Scene) StartHosts(count int) error {
	for i := range count {
		zone := [...]string{"north", "south"}[i%2]
		host, err := NewHost(s.Root, s.Folder, fmt.Sprintf("edge-%c", 'a'+i), zone, s.Store.Address())
		if err != nil {
			return err
		}
		s.Hosts = append(s.Hosts, host)
		if err := host.Start(); err != nil {
			return err
		}
		s.Printf("host %s started, callers at %s", host.Name, host.Front)
	}
	return nil
}

// AwaitReady waits until all hosts are ready.
func (s *Scene) AwaitReady() error {
	for _, host := range s.Hosts {
		if err := host.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	s.Printf("all hosts are ready")
	return nil
}

// Restart kills a host, starts it again after a time and waits until it is ready.
func (s *Scene) Restart(host *Host, after time.Duration) error {
	host.Kill()
	s.Printf("host %s was killed", host.Name)
	time.Sleep(after)
	if err := host.Start(); err != nil {
		return err
	}
	s.Printf("host %s was started again", host.Name)
	if err := host.AwaitReady(10 * time.Second); err != nil {
		return err
	}
	s.Printf("host %s is ready again", host.Name)
	return nil
}

func (s *Scene) end() {
	for _, host := range s.Hosts {
		host.Kill()
	}
	if s.Store != nil {
		s.Store.Close()
	}
}
