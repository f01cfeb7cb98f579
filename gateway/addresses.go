package gateway

import (
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip"
)

// AddressAnswer tells callers where to connect.
type AddressResponse struct {
	Addresses []string
	// TTL is for how long callers should keep the answer.
	TTL time.Duration
}

const (
	// addressTTL is for how long callers keep addresses, where the platform allows it.
	addressTTL = 2 * time.Second
	// isolatedShare is the share of the other hosts below which this host takes itself for the one that is cut off.
	isolatedShare = 0.5
	// leastNear is the number of hosts in the caller's data centre from which callers are kept there. A caller that holds an
	// answer must have others to turn to when a host fails.
	minLocalHosts = 2
)

func (g *Gateway) addressTTL() time.Duration {
	if bound := g.boundsNow().MaxAddressTTL; bound > 0 {
		return min(addressTTL, bound)
	}
	return addressTTL
}

// Addresses answers a caller of a data centre: the hosts there that are alive and stay, or those everywhere if there are
// too few. A host that hears less than half of the others cannot tell whether they or itself are cut off, and hands out
// all hosts that it knows.
func (g *Gateway) Addresses(dataCentre string) AddressResponse {
	now := time.Now()
	hosts := g.node.Hosts(now)
	if g.Ready() {
		hosts = append(hosts, gossip.Host{HeardAt: now, Record: gossip.Record{
			CallerAddress: g.options.CallerAddress, DataCentre: g.options.DataCentre,
		}})
	}
	answer := AddressResponse{TTL: g.addressTTL()}
	var near []string
	alive := 0
	for i := range hosts {
		if hosts[i].Alive(now) {
			alive++
		}
	}
	isolated := float64(alive) < isolatedShare*float64(len(hosts))
	for i := range hosts {
		if hosts[i].Leaving || (!isolated && !hosts[i].Alive(now)) {
			continue
		}
		answer.Addresses = append(answer.Addresses, hosts[i].CallerAddress)
		if hosts[i].DataCentre == dataCentre {
			near = append(near, hosts[i].CallerAddress)
		}
	}
	if len(near) >= minLocalHosts {
		answer.Addresses = near
	}
	return answer
}
