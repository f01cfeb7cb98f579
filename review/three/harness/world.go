package harness

import (
	"context"
	"time"

	"github.com/bronzeyard/bronzeyard/platform/platformtest"
)

// Servers are the stand-ins for back ends of one service. They tell the store each heartbeat that they are alive.
type Servers struct {
	All   []*platformtest.Upstream
	store *platformtest.Store
	stop  chan struct{}
}

// heartbeatInterval is the time between two writes of a server.
const heartbeatInterval = 1500 * time.Millisecond

// NewServers returns no servers yet.
func NewServers(store *platformtest.Store) *Servers {
	s := &Servers{store: store, stop: make(chan struct{})}
	return s
}

// Add starts a server.
func (s *Servers) Add(id, service, zone string, slots int, processing time.Duration) error {
	u, err := platformtest.NewUpstream(context.Background(), id, service, zone, slots, processing)
	if err != nil {
		return err
	}
	s.store.Register(u, "ready")
	s.All = append(s.All, u)
	return nil
}

// Run writes the entries of the servers each heartbeat until Close.
func (s *Servers) Run() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			for _, u := range s.All {
				s.store.Register(u, "ready")
			}
		}
	}
}

// Close ends the servers.
func (s *Servers) Close() {
	close(s.stop)
	for _, u := range s.All {
		u.Close()
	}
}

// Runs returns what all servers have run.
func (s *Servers) Runs() []platformtest.Run {
	var runs []platformtest.Run
	for _, u := range s.All {
		runs = append(runs, u.Runs()...)
	}
	return runs
}
