package addressing

import "time"

const (
	// HandoverWindow is the time over which the requests of hosts are compared.
	HandoverWindow = 2 * time.Second
	// maxRelativeLoad is the share of the requests, relative to the share of the capacity, from which a host hands callers over.
	maxRelativeLoad = 2
	// minServed is the number of requests in HandoverWindow below which a host hands no callers over. Fewer vary too much by chance.
	minServed = 8
	// handoverTime is the time over which a host closes the connections of the callers that it has too many.
	handoverTime = 10 * time.Second
	// maxClosedShare is the share of its connections that a host may close in a second.
	maxClosedShare = 0.1
)

// Load is the load of a host in the last HandoverWindow.
type Load struct {
	Host
	// Served is the number of requests that the host has served.
	Served int
}

// Handover returns the number of connections of callers that a host may close in the next second, because it serves more than
// maxRelativeLoad times its share of the requests. The loads are those of the live hosts of its data centre whose counts are known, with
// its own. seconds are the requests that it has served in each second of HandoverWindow: a burst in one of them is no reason.
func Handover(loads []Load, self string, seconds [2]int, connections int) int {
	hosts, total, served := make([]Host, len(loads)), 0, 0
	for i := range loads {
		hosts[i] = loads[i].Host
		total += loads[i].Served
		if loads[i].ID == self {
			served = loads[i].Served
		}
	}
	fair := Share(hosts, self) * float64(total)
	perSecond := maxRelativeLoad * fair / float64(len(seconds))
	if fair == 0 || served < minServed || float64(min(seconds[0], seconds[1])) <= perSecond {
		return 0
	}
	excess := 1 - fair/float64(served)
	atMost := int(maxClosedShare * float64(connections))
	return min(atMost, max(1, int(excess*float64(connections)/handoverTime.Seconds())))
}
