package idempotency

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/clock"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// network is an in-process peer network.
type network struct {
	mu    sync.Mutex
	hosts map[string]*testHost
	// fault returns the fault of a call: "" for none, "request" for a lost request, "answer" for a lost response.
	fault func(method peer.Method) string
}

// testHost is one host with its Operations.
type testHost struct {
	*Operations
	network  *network
	member   fleet.Member
	mu       sync.Mutex
	view     *fleet.View
	handlers map[peer.Method]peer.HandlerFunc
	requests map[peer.Method]func() proto.Message
	stop     context.CancelFunc
	dead     bool
}

func (h *testHost) View() *fleet.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

func (h *testHost) Handle(method peer.Method, newRequest func() proto.Message, handler peer.HandlerFunc) {
	h.handlers[method], h.requests[method] = handler, newRequest
}

func (h *testHost) Call(ctx context.Context, address string, method peer.Method, req, resp proto.Message) error {
	h.network.mu.Lock()
	target, fault := h.network.hosts[address], h.network.fault(method)
	dead := target == nil || target.dead || h.dead
	h.network.mu.Unlock()
	if dead || fault == "request" {
		<-ctx.Done()
		return peer.ErrNoResponse
	}
	message := target.requests[method]()
	proto.Merge(message, req)
	response, err := target.handlers[method](ctx, h.member.Identity(), message)
	if err != nil {
		return errors.Join(peer.ErrRejected, err)
	}
	if fault == "answer" {
		<-ctx.Done()
		return peer.ErrNoResponse
	}
	proto.Merge(resp, response)
	return nil
}

func newNetwork(t *testing.T, names ...string) *network {
	n := &network{hosts: make(map[string]*testHost), fault: func(peer.Method) string { return "" }}
	for i, name := range names {
		h := &testHost{
			network: n, view: &fleet.View{},
			member:   fleet.Member{ID: fleet.HostID(name), Incarnation: fleet.Incarnation(i + 1), PeerAddress: name, Capacity: 1, State: fleet.Active},
			handlers: make(map[peer.Method]peer.HandlerFunc), requests: make(map[peer.Method]func() proto.Message),
		}
		h.Operations = New(Options{Views: h, Caller: h, Registrar: h, Clock: clock.Standard{}, Logger: zerolog.Nop()})
		ctx, stop := context.WithCancel(t.Context())
		h.stop = stop
		n.hosts[name] = h
		go func() { _ = h.Run(ctx) }()
	}
	n.startEpoch(1, time.Now())
	return n
}

func (n *network) setFault(fault func(peer.Method) string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = fault
}

func (n *network) kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name].dead = true
}

// startEpoch starts an epoch with all live hosts at every host.
func (n *network) startEpoch(number uint64, takeoverAt time.Time) {
	epoch := fleet.Epoch{Number: number}
	for _, name := range []string{"a", "b", "c"} {
		if h, ok := n.hosts[name]; ok && !h.dead {
			epoch.Members = append(epoch.Members, h.member)
		}
	}
	for _, h := range n.hosts {
		old := h.View()
		current := &fleet.View{Self: h.member.Identity(), Epoch: epoch, TakeoverAt: takeoverAt, ActiveUntil: time.Now().Add(time.Hour)}
		h.mu.Lock()
		h.view = current
		h.mu.Unlock()
		h.OnView(old, current)
	}
}

// operationOwnedBy returns a new operation whose slot belongs to the named host.
func (n *network) operationOwnedBy(t *testing.T, name string) Operation {
	t.Helper()
	for serial := uint64(1); serial < 1000; serial++ {
		key := Key{Customer: "c", ID: idAt(time.Now(), serial)}
		if n.hosts[name].View().Owns(SlotKey(key.Slot())) {
			return Operation{Customer: "c", ID: key.ID.String(), Deadline: time.Now().Add(2 * time.Second)}
		}
	}
	t.Fatal("no slot belongs to " + name)
	return Operation{}
}

func (n *network) close() {
	synctest.Wait()
	for _, h := range n.hosts {
		h.stop()
	}
	time.Sleep(time.Minute) // fake time; retries of undelivered results end
}

func begin(h *testHost, op Operation) (Claim, errkind.Kind) {
	op.Deadline = time.Now().Add(2 * time.Second)
	claim, err := h.Begin(context.Background(), op)
	var known *errkind.Error
	if errors.As(err, &known) {
		return claim, known.Kind
	}
	return claim, ""
}

// loseOnce returns a fault for the first call of a method.
func loseOnce(method peer.Method, fault string) func(peer.Method) string {
	lost := false
	return func(m peer.Method) string {
		if m != method || lost {
			return ""
		}
		lost = true
		return fault
	}
}

// TestOperations guards against lost results and second runs of operations when calls are lost, when an owner fails or
// leaves, and when the host that runs an operation fails.
func TestOperations(t *testing.T) {
	done := Result{State: Done, Status: 201, Body: []byte("booked")}
	for name, run := range map[string]func(t *testing.T, n *network, op Operation){
		"result is replayed at another host": func(t *testing.T, n *network, op Operation) {
			claim, _ := begin(n.hosts["b"], op)
			claim.Complete(done)
			synctest.Wait()
			if again, kind := begin(n.hosts["c"], op); again.Replay == nil || string(again.Replay.Body) != "booked" {
				t.Errorf("repeat returned %q, want the replayed result", kind)
			}
			op.Fingerprint[0] = 1
			if _, kind := begin(n.hosts["c"], op); kind != errkind.OperationMismatch {
				t.Errorf("another request with the same id returned %q, want operation_mismatch", kind)
			}
		},
		"claim is repeated after a lost response": func(t *testing.T, n *network, op Operation) {
			n.setFault(loseOnce(MethodClaim, "answer"))
			if claim, kind := begin(n.hosts["b"], op); claim.Complete == nil {
				t.Errorf("claim was not granted: %q", kind)
			}
		},
		"lost result is repeated": func(t *testing.T, n *network, op Operation) {
			n.setFault(loseOnce(MethodComplete, "request"))
			claim, _ := begin(n.hosts["b"], op)
			claim.Complete(done)
			if again, kind := begin(n.hosts["c"], op); again.Replay == nil {
				t.Errorf("repeat returned %q, want the replayed result", kind)
			}
		},
		"repeat waits for the run": func(t *testing.T, n *network, op Operation) {
			claim, _ := begin(n.hosts["b"], op)
			time.AfterFunc(time.Second, func() { claim.Complete(done) })
			if again, kind := begin(n.hosts["c"], op); again.Replay == nil {
				t.Errorf("repeat returned %q, want the replayed result", kind)
			}
		},
		"attempt that did not run is followed by another": func(t *testing.T, n *network, op Operation) {
			claim, _ := begin(n.hosts["b"], op)
			claim.Complete(Result{State: NotRun})
			synctest.Wait()
			if again, kind := begin(n.hosts["c"], op); again.Complete == nil {
				t.Errorf("claim was not granted: %q", kind)
			}
		},
		"claim without a response is released": func(t *testing.T, n *network, op Operation) {
			n.setFault(func(m peer.Method) string {
				if m == MethodClaim {
					return "answer"
				}
				return ""
			})
			if _, kind := begin(n.hosts["b"], op); kind != errkind.OperationNotOwned {
				t.Errorf("claim without a response returned %q, want operation_owner_unavailable", kind)
			}
			synctest.Wait()
			n.setFault(func(peer.Method) string { return "" })
			if claim, kind := begin(n.hosts["c"], op); claim.Complete == nil {
				t.Errorf("claim was not granted: %q", kind)
			}
		},
		"host fails between claim and result": func(t *testing.T, n *network, op Operation) {
			_, _ = begin(n.hosts["b"], op)
			time.Sleep(time.Second)
			if _, kind := begin(n.hosts["c"], op); kind != errkind.OutcomeUnknown {
				t.Errorf("repeat returned %q, want outcome_unknown", kind)
			}
		},
		"owner fails": func(t *testing.T, n *network, op Operation) {
			claim, _ := begin(n.hosts["b"], op)
			claim.Complete(done)
			synctest.Wait()
			n.kill("a")
			n.startEpoch(2, time.Now().Add(takeoverDelay))
			if _, kind := begin(n.hosts["b"], op); kind != errkind.OperationNotOwned && kind != errkind.OutcomeUnknown {
				t.Errorf("repeat right after the failure returned %q", kind)
			}
			time.Sleep(10 * time.Second)
			if _, kind := begin(n.hosts["b"], op); kind != errkind.OutcomeUnknown {
				t.Errorf("repeat 10 s after the failure returned %q, want outcome_unknown", kind)
			}
			fresh := op
			fresh.ID = idAt(time.Now(), 1<<20).String()
			if claim, kind := begin(n.hosts["c"], fresh); claim.Complete == nil {
				t.Errorf("new operation was not granted: %q", kind)
			}
		},
		"owner leaves": func(t *testing.T, n *network, op Operation) {
			claim, _ := begin(n.hosts["b"], op)
			claim.Complete(done)
			synctest.Wait()
			n.setFault(loseOnce(MethodTransfer, "answer"))
			n.hosts["a"].member.State = fleet.Leaving
			n.startEpoch(2, time.Now().Add(time.Hour))
			if err := n.hosts["a"].HandOver(context.Background()); err != nil {
				t.Error(err)
			}
			n.kill("a")
			n.startEpoch(3, time.Now().Add(time.Hour))
			if again, kind := begin(n.hosts["c"], op); again.Replay == nil {
				t.Errorf("repeat returned %q, want the replayed result", kind)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, "a", "b", "c")
				defer n.close()
				run(t, n, n.operationOwnedBy(t, "a"))
			})
		})
	}
}
