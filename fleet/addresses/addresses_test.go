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

func addressesOf(a Response) string {
	var all string
	for _, address := range a.Addresses {
		all += address.Address + " " + address.DataCentre + " "
	}
	return all
}

// TestCompute guards against answers with leaving or suspected hosts, with too few hosts, or with distant hosts first.
func TestCompute(t *testing.T) {
	leaving := epochOf(6)
	leaving.Members[0].State = fleet.Leaving
	allLeaving := epochOf(1)
	allLeaving.Members[0].State = fleet.Leaving
	for _, test := range []struct {
		name      string
		epoch     *fleet.Epoch
		suspected []fleet.HostID
		// local and all are how many addresses are in dc-0, which come first, and how many there are.
		local, all int
		absent     string
	}{
		{name: "own data centre first", epoch: epochOf(6), local: 2, all: 3},
		{name: "not only one data centre", epoch: epochOf(15), local: 2, all: 3},
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
			answer := Compute(test.epoch, suspected, "zoo", "dc-0", Options{})
			if len(answer.Addresses) != test.all {
				t.Fatalf("%d addresses, want %d", len(answer.Addresses), test.all)
			}
			for i, address := range answer.Addresses {
				if (address.DataCentre == "dc-0") != (i < test.local) || address.Address == test.absent {
					t.Errorf("addresses %v", answer.Addresses)
				}
			}
		})
	}
}

// TestComputeMovesLittle guards against a loss of one host that changes the home sets of customers who did not use it.
func TestComputeMovesLittle(t *testing.T) {
	before := epochOf(14)
	after := epochOf(14)
	after.Members = after.Members[1:]
	for i := range 200 {
		customer := fmt.Sprint("customer-", i)
		old := Compute(before, nil, customer, "dc-1", Options{})
		kept := Compute(after, nil, customer, "dc-1", Options{})
		used := false
		for _, address := range old.Addresses {
			used = used || address.Address == before.Members[0].CallerAddress
		}
		if !used && addressesOf(old) != addressesOf(kept) {
			t.Errorf("%s moved from %v to %v", customer, old.Addresses, kept.Addresses)
		}
	}
}

// TestAnswerJSON guards the form that callers parse.
func TestAnswerJSON(t *testing.T) {
	for want, answer := range map[string]Response{
		`{"addresses":[],"keep_seconds":10}`: {TTL: DefaultTTL},
		`{"addresses":[{"address":"10.0.0.0:80","data_centre":"dc-0","weight":1}],"keep_seconds":10}`: Compute(
			epochOf(1), nil, "zoo", "dc-0", Options{}),
	} {
		got, err := json.Marshal(answer)
		if err != nil || string(got) != want {
			t.Errorf("%s, %v, want %s", got, err, want)
		}
	}
}
