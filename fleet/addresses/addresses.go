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

// Options configure the computation of answers.
type Options struct {
	// Hosts is the size of a home set. Default 3.
	Hosts int
	// KeepFor is how long callers may keep an answer, in whole seconds. A leaving host serves for as long. Default 10 s.
	TTL time.Duration
}

// Address is one address of an answer.
type Address struct {
	// Address is IP number and port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Weight is the host's capacity; 1 is a host of ordinary size. Callers choose addresses in proportion to it.
	Weight float64 `json:"weight"`
}

// Answer tells callers which addresses to use. Hosts of the caller's data centre come first.
type Response struct {
	Addresses []Address
	TTL       time.Duration
}

// MarshalJSON writes the form that callers read: {"addresses": [...], "keep_seconds": 10}.
func (a Response) MarshalJSON() ([]byte, error) {
	document := struct {
		Addresses   []Address `json:"addresses"`
		KeepSeconds int64     `json:"keep_seconds"`
	}{Addresses: a.Addresses, KeepSeconds: int64(a.TTL / time.Second)}
	if document.Addresses == nil {
		document.Addresses = []Address{}
	}
	return json.Marshal(document)
}

// Compute returns the home set of a customer for callers in a data centre. suspected may be nil. The answer is empty only
// if the epoch has no active member. The result depends only on the arguments, so all hosts of an epoch that suspect the
// same hosts give the same answer.
func Compute(epoch *fleet.Epoch, suspected func(fleet.Identity) bool, customer, dataCentre string, options Options) Response {
	if options.Hosts <= 0 {
		options.Hosts = DefaultHosts
	}
	if options.TTL <= 0 {
		options.TTL = DefaultTTL
	}
	ranked := epoch.Ranked(customer, len(epoch.Members))
	members := withoutSuspected(ranked, suspected)
	// A stable order keeps the rendezvous order within the caller's data centre and within the others.
	slices.SortStableFunc(members, func(a, b fleet.Member) int {
		return distance(a, dataCentre) - distance(b, dataCentre)
	})
	answer := Response{TTL: options.TTL}
	for _, m := range spread(members, options.Hosts) {
		answer.Addresses = append(answer.Addresses, Address{Address: m.CallerAddress, DataCentre: m.DataCentre, Weight: m.Capacity})
	}
	return answer
}

// spread returns the first n members. If they are all in one data centre, the last one makes place for the first member of
// another: callers keep an answer for a while, and the loss of a data centre must not take their whole home set.
func spread(members []fleet.Member, n int) []fleet.Member {
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

func withoutSuspected(ranked []fleet.Member, suspected func(fleet.Identity) bool) []fleet.Member {
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

func distance(m fleet.Member, dataCentre string) int {
	if m.DataCentre == dataCentre {
		return 0
	}
	return 1
}
