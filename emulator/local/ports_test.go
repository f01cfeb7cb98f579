package local

import "testing"

// Guards against two hosts that get the same port because the first does not listen yet when the port of the second is
// chosen. This failed once with "address already in use" in TestRollingReplacementKeepsInvariants.
func TestPortsAreNotChosenTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 400 {
		addresses, err := freeAddresses(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			if seen[address] {
				t.Fatalf("%s was chosen twice", address)
			}
			seen[address] = true
		}
	}
}
