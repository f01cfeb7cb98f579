package gateway

import "time"

// AddressAnswer tells callers where to connect.
type AddressAnswer struct {
	Addresses []string
	// TTL is for how long callers should keep the answer.
	TTL time.Duration
}

const (
	// addressTTL is for how long callers keep addresses, where the platform allows it.
	addressTTL = 2 * time.Second
	// isolatedShare is the share of the other hosts below which this host takes itself for the one that is cut off.
	isolatedShare = 0.5
)

func (g *Gateway) addressTTL() time.Duration {
	if bound := g.boundsNow().AddressTTL; bound > 0 {
		return min(addressTTL, bound)
	}
	return addressTTL
}

// Addresses answers a caller: all hosts that are alive and stay. A host that hears less than half of the others cannot
// tell whether they or itself are cut off, and hands out all hosts that it knows.
func (g *Gateway) Addresses() AddressAnswer {
	now := time.Now()
	answer := AddressAnswer{TTL: g.addressTTL()}
	if g.Ready() {
		answer.Addresses = append(answer.Addresses, g.options.CallerAddress)
	}
	hosts := g.node.Hosts(now)
	alive := 0
	for i := range hosts {
		if hosts[i].Alive(now) {
			alive++
		}
	}
	isolated := float64(alive) < isolatedShare*float64(len(hosts))
	for i := range hosts {
		if !hosts[i].Leaving && (isolated || hosts[i].Alive(now)) {
			answer.Addresses = append(answer.Addresses, hosts[i].CallerAddress)
		}
	}
	return answer
}
