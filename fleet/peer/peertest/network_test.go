package peertest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/peer"
)

// echo registers a handler that records the text of each request and returns it after the caller's host id.
func echo(h *Host, handled *[]string) {
	h.Handle("echo", func() proto.Message { return &wrapperspb.StringValue{} },
		func(_ context.Context, from fleet.Identity, req proto.Message) (proto.Message, error) {
			text := req.(*wrapperspb.StringValue).GetValue()
			if text == "inactive" {
				return nil, peer.ErrInactive
			}
			*handled = append(*handled, text)
			return wrapperspb.String(string(from.ID) + ":" + text), nil
		})
}

// TestFaults guards against a fault that is not injected or is injected in the wrong direction. The tests of all other
// packages would then pass without the fault.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(n *Network)
		text    string
		want    error
		handled int
	}{
		{"none", func(*Network) {}, "x", nil, 1},
		{"cut forward", func(n *Network) { n.Cut("a", "b") }, "x", peer.ErrNoResponse, 0},
		{"cut back", func(n *Network) { n.Cut("b", "a") }, "x", peer.ErrNoResponse, 1},
		{"cut healed", func(n *Network) { n.Isolate("a"); n.Rejoin("a") }, "x", nil, 1},
		{"request lost", func(n *Network) { n.DropRequests("a", "b", 1) }, "x", peer.ErrNoResponse, 0},
		{"response lost", func(n *Network) { n.DropResponses("a", "b", 1) }, "x", peer.ErrNoResponse, 1},
		{"duplicated", func(n *Network) { n.Duplicate("a", "b", 1) }, "x", nil, 2},
		{"too late", func(n *Network) { n.Delay("a", "b", 2*time.Second, 0) }, "x", peer.ErrNoResponse, 1},
		{"held", func(n *Network) { n.Hold("b"); time.AfterFunc(3*time.Second, func() { n.Release("b") }) }, "x", peer.ErrNoResponse, 1},
		{"removed", func(n *Network) { n.Remove("b") }, "x", peer.ErrNotSent, 0},
		{"handler's error", func(*Network) {}, "inactive", peer.ErrInactive, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := NewNetwork(1)
				defer n.Close()
				var handled []string
				a := n.Host(fleet.Identity{ID: "a"}, "a")
				echo(n.Host(fleet.Identity{ID: "b"}, "b"), &handled)
				c.fault(n)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				resp := &wrapperspb.StringValue{}
				err := a.Call(ctx, "b", "echo", wrapperspb.String(c.text), resp)
				if !errors.Is(err, c.want) {
					t.Fatalf("error %v, want %v", err, c.want)
				}
				if err == nil && resp.GetValue() != "a:x" {
					t.Fatalf("response %q, want a:x", resp.GetValue())
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if len(handled) != c.handled {
					t.Fatalf("handled %d times, want %d", len(handled), c.handled)
				}
			})
		})
	}
}

// TestJitterIsDeterministic guards against an order of messages that differs between two runs with the same seed.
func TestJitterIsDeterministic(t *testing.T) {
	run := func() (order []string) {
		synctest.Test(t, func(t *testing.T) {
			n := NewNetwork(7)
			defer n.Close()
			a := n.Host(fleet.Identity{ID: "a"}, "a")
			echo(n.Host(fleet.Identity{ID: "b"}, "b"), &order)
			n.Delay("a", "b", 0, time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			for _, text := range strings.Split("abcdefgh", "") {
				go func() { _ = a.Call(ctx, "b", "echo", wrapperspb.String(text), &wrapperspb.StringValue{}) }()
				synctest.Wait()
			}
			time.Sleep(5 * time.Second)
		})
		return order
	}
	first, second := run(), run()
	if !slices.Equal(first, second) || slices.IsSorted(first) {
		t.Fatalf("orders %v and %v, want equal orders that differ from the order of sending", first, second)
	}
}
