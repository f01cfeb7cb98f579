package addresses

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
)

// Defaults of Options.
const (
	DefaultHosts = 3
	DefaultTTL   = 10 * time.Second
)

// Options configure the computation of responses.
type Options struct {
	// Hosts is the number of hosts in a shuffle shard. Default 3.
	Hosts int
	// TTL is the time for which callers may cache a response, in whole seconds. A leaving host keeps serving for as long.
	// Default 10 s.
	TTL time.Duration
}

// Address is one address of a response.
type Address struct {
	// Address is IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Weight is the host's capacity; 1 is a host of ordinary size. Callers choose addresses in proportion to it.
	Weight float64 `json:"weight"`
}

// Response lists the addresses that callers should use. Hosts of the caller's data centre come first.
type Response struct {
	Addresses []Address
	TTL       time.Duration
}

// MarshalJSON encodes the response as callers receive it: {"addresses": [...], "keep_seconds": 10}.
func (r Response) MarshalJSON() ([]byte, error) {
	document := struct {
		Addresses   []Address `json:"addresses"`
		KeepSeconds int64     `json:"keep_seconds"`
	}{Addresses: r.Addresses, KeepSeconds: int64(r.TTL / time.Second)}
	if document.Addresses == nil {
		document.Addresses = []Address{}
	}
	return json.Marshal(document)
}

// Compute returns the shuffle shard of a customer for callers in a data centre. suspected may be nil. The response is empty only
// if the epoch has no active member. It depends only on the arguments, so all hosts of an epoch that suspect the same hosts
// return the same response.
func Compute(epoch *fleet.Epoch, suspected func(fleet.Identity) bool, customer, dataCentre string, options Options) Response {
	if options.Hosts <= 0 {
		options.Hosts = DefaultHosts
	}
	if options.TTL <= 0 {
		options.TTL = DefaultTTL
	}
	ranked := epoch.Ranked(customer, len(epoch.Members))
	members := dropSuspected(ranked, suspected)
	// The stable sort keeps the rendezvous order within the caller's data centre and within the others.
	slices.SortStableFunc(members, func(a, b fleet.Member) int {
		return distance(a, dataCentre) - distance(b, dataCentre)
	})
	response := Response{TTL: options.TTL}
	for _, m := range spreadDataCentres(members, options.Hosts) {
		response.Addresses = append(response.Addresses,
			Address{Address: m.CallerAddress, DataCentre: m.DataCentre, Weight: m.Capacity})
	}
	return response
}

// spreadDataCentres returns the first n members. If they are all in one data centre, the first member of another data centre
// replaces the last of them: callers cache a response, and the loss of a data centre must not make all their hosts unreachable.
func spreadDataCentres(members []fleet.Member, n int) []fleet.Member {
	if n >= len(members) {
		return members
	}
	chosen := members[:n]
	other := slices.IndexFunc(members, func(m fleet.Member) bool { return m.DataCentre != members[0].DataCentre })
	if n > 1 && other >= n {
		chosen[n-1] = members[other]
	}
	return chosen
}

// dropSuspected returns the members that are not suspected, or all members if every one is suspected.
func dropSuspected(ranked []fleet.Member, suspected func(fleet.Identity) bool) []fleet.Member {
	if suspected == nil {
		return ranked
	}
	trusted := make([]fleet.Member, 0, len(ranked))
	for _, m := range ranked {
		if !suspected(m.Identity()) {
			trusted = append(trusted, m)
		}
	}
	if len(trusted) == 0 {
		return ranked
	}
	return trusted
}

// distance returns 0 for a member in the data centre and 1 for any other.
func distance(m fleet.Member, dataCentre string) int {
	if m.DataCentre == dataCentre {
		return 0
	}
	return 1
}
