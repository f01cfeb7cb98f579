package addresses

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/bronzeyard/bronzeyard/fleet"
)

func epochOf(hosts int) *fleet.Epoch {
	epoch := &fleet.Epoch{Number: 1}
	for i := range hosts {
		epoch.Members = append(epoch.Members, fleet.Member{
			ID: fleet.HostID(fmt.Sprint("host-", i)), Incarnation: 1, CallerAddress: fmt.Sprint("10.0.0.", i, ":80"),
			DataCentre: fmt.Sprint("dc-", i%3), Capacity: 1, State: fleet.Active,
		})
	}
	return epoch
}

func addressesOf(r Response) string {
	var all string
	for _, address := range r.Addresses {
		all += address.Address + " " + address.DataCentre + " "
	}
	return all
}

// TestCompute guards against responses with leaving or suspected hosts, with too few hosts, or with hosts of other data centres
// first.
func TestCompute(t *testing.T) {
	leaving := epochOf(6)
	leaving.Members[0].State = fleet.Leaving
	allLeaving := epochOf(1)
	allLeaving.Members[0].State = fleet.Leaving
	for _, test := range []struct {
		name      string
		epoch     *fleet.Epoch
		suspected []fleet.HostID
		// local is the number of addresses in dc-0, which must come first; all is the number of all addresses.
		local, all int
		absent     string
	}{
		{name: "local data centre first", epoch: epochOf(6), local: 2, all: 3},
		{name: "more than one data centre", epoch: epochOf(15), local: 2, all: 3},
		{name: "leaving", epoch: leaving, local: 1, all: 3, absent: "10.0.0.0:80"},
		{name: "suspected", epoch: epochOf(6), suspected: []fleet.HostID{"host-3"}, local: 1, all: 3, absent: "10.0.0.3:80"},
		{name: "all suspected", epoch: epochOf(1), suspected: []fleet.HostID{"host-0"}, local: 1, all: 1},
		{name: "no active host", epoch: allLeaving},
	} {
		t.Run(test.name, func(t *testing.T) {
			suspected := func(id fleet.Identity) bool {
				for _, host := range test.suspected {
					if host == id.ID {
						return true
					}
				}
				return false
			}
			response := Compute(test.epoch, suspected, "zoo", "dc-0", Options{})
			if len(response.Addresses) != test.all {
				t.Fatalf("%d addresses, want %d", len(response.Addresses), test.all)
			}
			for i, address := range response.Addresses {
				if (address.DataCentre == "dc-0") != (i < test.local) || address.Address == test.absent {
					t.Errorf("addresses %v have a wrong order of data centres or an address that must be absent", response.Addresses)
				}
			}
		})
	}
}

// TestComputeMovesOnlyAffectedCustomers guards against a loss of one host that changes the shuffle shards of customers who did
// not use it.
func TestComputeMovesOnlyAffectedCustomers(t *testing.T) {
	before := epochOf(14)
	after := epochOf(14)
	after.Members = after.Members[1:]
	for i := range 200 {
		customer := fmt.Sprint("customer-", i)
		previous := Compute(before, nil, customer, "dc-1", Options{})
		current := Compute(after, nil, customer, "dc-1", Options{})
		used := false
		for _, address := range previous.Addresses {
			used = used || address.Address == before.Members[0].CallerAddress
		}
		if !used && addressesOf(previous) != addressesOf(current) {
			t.Errorf("%s moved from %v to %v but did not use the lost host", customer, previous.Addresses, current.Addresses)
		}
	}
}

// TestResponseJSON guards against a change of the JSON document that callers parse.
func TestResponseJSON(t *testing.T) {
	for want, response := range map[string]Response{
		`{"addresses":[],"keep_seconds":10}`: {TTL: DefaultTTL},
		`{"addresses":[{"address":"10.0.0.0:80","data_centre":"dc-0","weight":1}],"keep_seconds":10}`: Compute(
			epochOf(1), nil, "zoo", "dc-0", Options{}),
	} {
		got, err := json.Marshal(response)
		if err != nil || string(got) != want {
			t.Errorf("got %s, error %v, want %s", got, err, want)
		}
	}
}
