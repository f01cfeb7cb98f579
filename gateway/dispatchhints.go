package gateway

import (
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/dispatch"
	"github.com/bronzeyard/bronzeyard/gateway/dispatchclient"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/settings"
)

// hints are the lists of hints of the asks of one attempt, by data centre.
type hints map[string][]uint32

// add adds an upstream, unless the list of its data centre is full.
func (h hints) add(u *settings.Upstream) {
	if list := h[u.DataCentre]; len(list) < dispatch.MaxHints {
		h[u.DataCentre] = append(list, dispatch.HashOf(u.ID))
	}
}

// maxIdleAddresses is the number of upstreams with an idle connection of which up to dispatch.MaxHints are stated for each data centre.
// Most are in the local one.
const maxIdleAddresses = 2 * dispatch.MaxHints

// connectedHints returns the hints about upstreams to which this host has an idle connection, the one used last first. addresses are those of
// the upstreams, in this order.
func connectedHints(addresses []string, upstreams []settings.Upstream) hints {
	if len(addresses) == 0 {
		return nil
	}
	rank := make(map[string]int, len(addresses))
	for i, address := range addresses {
		rank[address] = i
	}
	connected := make([]*settings.Upstream, len(addresses))
	for i := range upstreams {
		if at, ok := rank[upstreams[i].Address]; ok {
			connected[at] = &upstreams[i]
		}
	}
	h := make(hints)
	for _, u := range connected {
		if u != nil { // otherwise the upstream has left
			h.add(u)
		}
	}
	return h
}

// unreachableHints returns the hints about upstreams to which this host could not connect lately, the last one that failed first.
func unreachableHints(now time.Time, unreachable *dispatchclient.Unreachable, upstreams []settings.Upstream) hints {
	recent := unreachable.Recent(now)
	if len(recent) == 0 {
		return nil
	}
	byID := make(map[settings.UpstreamID]*settings.Upstream, len(upstreams))
	for i := range upstreams {
		byID[upstreams[i].ID] = &upstreams[i]
	}
	h := make(hints)
	for _, id := range recent {
		if u := byID[id]; u != nil {
			h.add(u)
		}
	}
	return h
}

// noteReachability records whether an attempt has reached its upstream.
func noteReachability(unreachable *dispatchclient.Unreachable, id settings.UpstreamID, outcome relay.Outcome) {
	switch outcome {
	case relay.NotConnected:
		unreachable.Failed(time.Now(), id)
	case relay.Answered, relay.FailedStatus, relay.NotRun, relay.Broken, relay.NotSent, relay.WrongInstance:
		unreachable.Connected(id)
	case relay.TimedOut, relay.Cancelled, relay.NoMemory, relay.NotPassedOn: // it may not have been tried
	}
}
