package gateway

import (
	"runtime/metrics"
	"time"
)

// Status is the state of a host that is exported as metrics.
type Status struct {
	Ready                bool
	ConfigurationVersion uint64
	ConfigurationAge     time.Duration
	Upstreams            int
	RegistryAge          time.Duration
	LiveHosts            int
	Hosts                int
	InFlight             int64
	Connections          int64
	DatagramsSent        int64
	// ProbesSent counts the probes of hosts that were lost.
	ProbesSent        int64
	DatagramsRejected int64
	DatagramsRepeated int64
	LogLinesSkipped   int64
	// LateGrants counts the grants of dispatchers that were returned because they came too late.
	LateGrants int64
	// UpstreamsLeaving have stated that they leave, and UpstreamsInBackoff ask for no requests from this host now.
	UpstreamsLeaving, UpstreamsInBackoff int
	// EvacuatedDataCentres is the number of data centres whose upstreams receive no requests.
	EvacuatedDataCentres int
	// UpstreamsCold is the number of upstreams that are warming up.
	UpstreamsCold int
	// BufferedBytes is the size of the buffered requests and responses, with headers, and BufferedLimit its bound.
	BufferedBytes, BufferedLimit int64
	// ResponsesWaiting is the number of responses of upstreams that wait for memory.
	ResponsesWaiting int
	// RuntimeBytes is the memory that the Go runtime holds for the whole process, with garbage and free memory that it keeps.
	RuntimeBytes uint64
	// AddressWeight is the share of this host in the capacity of the live hosts of its data centre, 0 while address responses do not
	// weight hosts. AddressesListed is the number of addresses in a response to a caller of this data centre.
	AddressWeight   float64
	AddressesListed int
	// CallersHandedOver counts the connections of callers that were closed because this host served more than its share.
	CallersHandedOver int64
}

// Status returns the current state of the host.
func (g *Gateway) Status() Status {
	now := time.Now()
	view, hosts := g.router.registry.View(), g.node.Hosts(now)
	status := Status{
		Ready: g.Ready(), ConfigurationVersion: g.version(), ConfigurationAge: g.settingsAge(), Upstreams: view.Len(),
		Hosts: len(hosts) + 1, InFlight: g.server.InFlight(), Connections: g.server.Connections(),
		LogLinesSkipped: g.log.skipped.Load(),
	}
	if !view.ReadAt.IsZero() {
		status.RegistryAge = now.Sub(view.ReadAt)
	}
	for i := range hosts {
		if hosts[i].Alive(now) {
			status.LiveHosts++
		}
	}
	status.UpstreamsCold = g.router.coldUpstreams(now)
	status.EvacuatedDataCentres = len(g.router.evacuations.View().DataCentres)
	status.UpstreamsLeaving, status.UpstreamsInBackoff = g.router.refusingUpstreams(now)
	budget := g.forwarder.Budget()
	status.BufferedBytes, status.BufferedLimit, status.ResponsesWaiting = budget.Used(), budget.Limit(), budget.Waiting()
	status.RuntimeBytes = runtimeBytes()
	status.LateGrants = g.router.dispatchers.client.LateGrants()
	status.CallersHandedOver = g.server.HandedOver()
	status.AddressWeight, status.AddressesListed = g.weights.gauges()
	status.ProbesSent = g.node.ProbesSent()
	status.DatagramsSent, status.DatagramsRejected, status.DatagramsRepeated = g.node.Counters()
	return status
}

// runtimeBytes returns the memory that the Go runtime holds and has not returned to the operating system, as bounded by its limit.
func runtimeBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
