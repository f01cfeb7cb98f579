package stage

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/platform/platformtest"
)

// heartbeat is the time between two writes of the entry of a backend.
const heartbeat = 1500 * time.Millisecond

// Arrival is a request that has arrived at a backend.
type Arrival struct {
	At         time.Time
	AnsweredAt time.Time
	ID         string
	// Machine is the IP address from which the request came.
	Machine string
	// Born is the start of the process at which it arrived, in Unix milliseconds.
	Born int64
	// Status is that of the response. RetryAfter is the stated time; 0 if none.
	Status     int
	RetryAfter time.Duration
}

// Behaviour decides how a backend handles a request. It is called when the request has arrived, and the response is sent after wait.
type Behaviour func(b *Backend, since time.Duration) (wait time.Duration, reject bool, retryAfter time.Duration)

// Backend is a stand-in for a backend. It keeps its id and its address when it is restarted.
type Backend struct {
	ID, Service, Zone string
	Slots             int
	Behave            Behaviour
	record            *Record
	store             *platformtest.Store
	address           string

	mu       sync.Mutex
	server   *http.Server
	born     int64
	bornAt   time.Time
	sequence int
	running  int
	arrivals []Arrival
	stop     chan struct{}
}

// NewBackend starts a backend and registers it.
func NewBackend(s *Stage, id, service, zone string, slots int, behave Behaviour) (*Backend, error) {
	b := &Backend{ID: id, Service: service, Zone: zone, Slots: slots, Behave: behave, record: s.Record, store: s.Store, address: "127.0.0.1:0"}
	return b, b.Start()
}

// Start starts a process of the backend, which registers itself at once.
func (b *Backend) Start() error {
	listener, err := Listen(b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.address = listener.Addr().String()
	b.bornAt = time.Now()
	b.born, b.sequence, b.running = b.bornAt.UnixMilli(), 0, 0
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	server, stop := b.server, make(chan struct{})
	b.stop = stop
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go b.beat(stop)
	b.record.Add("backend %s started at %s, born %d", b.ID, b.address, b.born)
	return nil
}

// Crash ends the process: its connections are closed, and it writes nothing more.
func (b *Backend) Crash() {
	b.mu.Lock()
	server, stop := b.server, b.stop
	b.mu.Unlock()
	close(stop)
	_ = server.Close()
	b.record.Add("backend %s crashed", b.ID)
}

// Running returns the number of requests at work.
func (b *Backend) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// Arrivals returns the requests that have arrived.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

func (b *Backend) beat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		b.sequence++
		entry := JSON(map[string]any{
			"service": b.Service, "address": b.address, "zone": b.Zone, "version": "v1", "capacity": b.Slots, "state": "ready",
			"warmup_left_ms": 0, "sequence": b.sequence, "born": b.born,
		})
		b.mu.Unlock()
		select {
		case <-stop:
			return
		default:
			b.store.Put("servers", b.ID, entry)
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	machine, _, _ := net.SplitHostPort(r.RemoteAddr)
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get(wire.Instance); target != b.ID {
		w.Header().Set("X-Instance-Id", b.ID)
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.running++
	born, since := b.born, at.Sub(b.bornAt)
	w.Header().Set(wire.Load, fmt.Sprintf("%d,0,%d", b.running, b.Slots))
	b.mu.Unlock()
	wait, reject, retryAfter := b.Behave(b, since)
	select {
	case <-time.After(wait):
	case <-r.Context().Done(): // the machine has closed the connection and gets no answer
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
		b.record.AddAt(at, "request %s reached %s (born %d), which has not answered it: its connection was closed", id, b.ID, born)
		return
	}
	a := Arrival{At: at, AnsweredAt: time.Now(), ID: id, Machine: machine, Born: born, Status: http.StatusOK}
	if reject {
		a.Status, a.RetryAfter = http.StatusServiceUnavailable, retryAfter
		w.Header().Set(wire.NotRun, "1")
		if retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(a.Status)
	} else {
		w.Header().Set(wire.Signature, "signed."+id)
		_, _ = io.WriteString(w, "answer to "+id)
	}
	_ = http.NewResponseController(w).Flush()
	b.mu.Lock()
	b.running--
	b.arrivals = append(b.arrivals, a)
	b.mu.Unlock()
	b.record.AddAt(at, "request %s from %s reached %s (born %d), answered %d after %.3f s, Retry-After %v", id, machine, b.ID, born, a.Status,
		a.AnsweredAt.Sub(at).Seconds(), retryAfter)
}
