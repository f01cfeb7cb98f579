package gateway

import (
	"net/netip"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/addressing"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
)

// AddressResponse lists the addresses that a caller may connect to.
type AddressResponse struct {
	Addresses []string
	// TTL is how long callers should cache the addresses.
	TTL time.Duration
}

// MaxAddresses is the number of addresses in a response. Callers use no more than this.
const MaxAddresses = 64

const (
	// addressTTL is how long callers cache addresses, unless Bounds.MaxAddressTTL is shorter.
	addressTTL = 2 * time.Second
	// isolatedShare is the share of live hosts among the known hosts below which this host may be isolated itself.
	isolatedShare = 0.5
	// minLocalHosts is the minimum number of hosts in the caller's data centre for a response that lists only those. A caller that
	// has cached a response needs alternatives when a host fails.
	minLocalHosts = 2
)

func (g *Gateway) addressTTL() time.Duration {
	if bound := g.boundsNow().MaxAddressTTL; bound > 0 {
		return min(addressTTL, bound)
	}
	return addressTTL
}

// maxContactAge is the age of the list of upstreams up to which this host is in touch with the store, by its own reads or by those of
// hosts that it hears. A host that is in touch takes hosts that it does not hear for ended, however many they are.
const maxContactAge = 3 * time.Second

// Addresses returns the addresses for a caller in a data centre: the live hosts there that are not leaving, or those of all data
// centres if there are too few. If the hosts there are uneven, a part of them is selected for the caller by weight. If less than half
// of the known hosts are alive and this host is not in touch with the store, it cannot determine whether they or itself are isolated.
// It then ignores which hosts are alive, and weights none. This host is included, also in the count, if it is ready.
func (g *Gateway) Addresses(dataCentre string, caller netip.Addr) AddressResponse {
	now := time.Now()
	hosts, inTouch := g.knownHosts(now), g.inTouch(now)
	response := AddressResponse{TTL: g.addressTTL()}
	if weighted := g.weights.hosts(now, hosts, dataCentre, inTouch); caller.IsValid() && addressing.Uneven(weighted) {
		response.Addresses = addressing.Select(weighted, caller.String(), MaxAddresses)
	} else {
		response.Addresses = addressesOf(now, hosts, dataCentre, inTouch)
	}
	return response
}

// knownHosts returns the other hosts, and this one if it is ready.
func (g *Gateway) knownHosts(now time.Time) []gossip.Host {
	hosts := g.node.Hosts(now)
	if g.Ready() {
		hosts = append(hosts, gossip.Host{LastSeenAt: now, Heard: true, Record: gossip.Record{
			ID: g.options.HostID, CallerAddress: g.options.CallerAddress, DataCentre: g.options.DataCentre,
			ProcessorShare: g.options.ProcessorShare, LinkMbps: g.options.LinkMbps, MemoryBytes: g.options.MemoryBytes,
		}})
	}
	return hosts
}

// inTouch reports whether this host cannot be isolated. A host that has just started knows the records of hosts that may have ended long
// ago, and has heard none yet, so it is in touch until its first read.
func (g *Gateway) inTouch(now time.Time) bool {
	readAt := g.router.registry.View().ReadAt
	return readAt.IsZero() || now.Sub(readAt) <= maxContactAge
}

// addressesOf returns the addresses of hosts for a caller in a data centre. inTouch is true if this host cannot be isolated.
func addressesOf(now time.Time, hosts []gossip.Host, dataCentre string, inTouch bool) []string {
	var all, local []string
	isolated := mayBeIsolated(now, hosts, inTouch)
	for i := range hosts {
		if hosts[i].Leaving || (!isolated && !isHeard(now, &hosts[i])) {
			continue
		}
		all = append(all, hosts[i].CallerAddress)
		if hosts[i].DataCentre == dataCentre {
			local = append(local, hosts[i].CallerAddress)
		}
	}
	if len(local) >= minLocalHosts {
		return local
	}
	return all
}

func isHeard(now time.Time, host *gossip.Host) bool { return host.Heard && host.Alive(now) }

// mayBeIsolated reports whether this host may be isolated from the hosts that it does not hear.
func mayBeIsolated(now time.Time, hosts []gossip.Host, inTouch bool) bool {
	alive := 0
	for i := range hosts {
		if isHeard(now, &hosts[i]) {
			alive++
		}
	}
	return !inTouch && float64(alive) < isolatedShare*float64(len(hosts))
}
