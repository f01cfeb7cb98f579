package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/dispatchclient"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
)

// membersInterval is the time for which the list of live hosts is reused. A host counts as live for 2.5 s after its last message, so the
// list need not be newer. Reading the list of a fleet of 4,900 hosts takes about a millisecond.
const membersInterval = 250 * time.Millisecond

// memberList caches the live hosts and the orders of dispatchers that result from them.
type memberList struct {
	// read returns the live hosts that are not leaving, with this one.
	read func() []dispatchclient.Candidate

	mu          sync.Mutex
	readAt      time.Time
	dataCentres map[string]string // by host
	hosts       []dispatchclient.Candidate
	// local holds the hosts by data centre.
	local  map[string][]dispatchclient.Candidate
	orders map[gossip.DispatcherID][]string
}

func (m *memberList) refresh(now time.Time) {
	if !m.readAt.IsZero() && now.Sub(m.readAt) < membersInterval {
		return
	}
	byID := func(a, b dispatchclient.Candidate) int { return cmp.Compare(a.Host, b.Host) }
	hosts := slices.SortedFunc(slices.Values(m.read()), byID)
	m.readAt = now
	if m.orders != nil && slices.Equal(hosts, m.hosts) {
		return // computing the orders of thousands of services again would take seconds
	}
	m.hosts = hosts
	m.orders = make(map[gossip.DispatcherID][]string)
	m.dataCentres = make(map[string]string, len(m.hosts))
	m.local = make(map[string][]dispatchclient.Candidate)
	for _, host := range m.hosts {
		m.dataCentres[host.Host] = host.DataCentre
		m.local[host.DataCentre] = append(m.local[host.DataCentre], host)
	}
}

// ranked returns the host of a dispatcher, followed by its successors.
func (m *memberList) ranked(now time.Time, id gossip.DispatcherID) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	return m.order(id)
}

// first returns the host of a dispatcher, empty if there is none, and the number of live hosts.
func (m *memberList) first(now time.Time, id gossip.DispatcherID) (host string, live int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	if order := m.order(id); len(order) > 0 {
		host = order[0]
	}
	return host, len(m.hosts)
}

func (m *memberList) order(id gossip.DispatcherID) []string {
	order, ok := m.orders[id]
	if !ok {
		candidates := m.local[id.DataCentre]
		if len(candidates) == 0 {
			candidates = m.hosts
		}
		order = dispatchclient.Rank(id, candidates)
		m.orders[id] = order
	}
	return order
}

// dataCentre returns the data centre of a live host; empty if it is not known.
func (m *memberList) dataCentre(now time.Time, host string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	return m.dataCentres[host]
}

// candidates returns the hosts that may be dispatchers: the live ones that are not leaving. This host is one of them, unless it is
// leaving and there are others.
func (g *Gateway) candidates() []dispatchclient.Candidate {
	now := time.Now()
	hosts := g.node.Hosts(now)
	candidates := make([]dispatchclient.Candidate, 0, len(hosts)+1)
	for i := range hosts {
		if host := &hosts[i]; host.Alive(now) && !host.Leaving {
			candidates = append(candidates, dispatchclient.Candidate{
				Host: host.ID, DataCentre: host.DataCentre, ProcessorShare: host.ProcessorShare,
				LinkMbps: host.LinkMbps,
			})
		}
	}
	if !g.leaving.Load() || len(candidates) == 0 {
		candidates = append(candidates, dispatchclient.Candidate{
			Host: g.options.HostID, DataCentre: g.options.DataCentre, ProcessorShare: g.options.ProcessorShare,
			LinkMbps: g.options.LinkMbps,
		})
	}
	return candidates
}
